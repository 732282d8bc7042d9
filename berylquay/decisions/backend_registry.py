"""The registry: which backend servers exist, by what they last said of themselves.

An entry that lapsed while the store was in trouble is kept for a grace period after the store is
back: a live backend server registers again within it.
"""

from enum import Enum
from hashlib import blake2b
from typing import Final

from attrs import evolve, field, frozen

from berylquay.decisions.fleet import Address, Role

# Time after the store's return in which a live backend server has registered again.
RETURN_GRACE_S: Final = 2.0
MARK_BYTES: Final = 8
# Names of which the latest age is kept: the largest fleet, with several replacements of each.
MAX_REMEMBERED: Final = 50000


class EntryState(Enum):
    """What a backend server says of itself."""

    READY = "ready"
    # It finishes what it has and takes nothing new.
    LEAVING = "leaving"


@frozen
class BackendEntry:
    """A backend server's own entry in the platform's store."""

    # Unique name of this incarnation, mostly.
    name: str
    # Pool that the backend server belongs to.
    pool: str
    # Where it listens.
    address: Address
    # Data centre that it stands in.
    data_centre: str
    # Requests that it runs at once.
    slots: int
    state: EntryState
    # Role of an engine; None for a plain service.
    role: Role | None = None
    # Time of its start in Unix milliseconds, which tells incarnations of one name apart, or 0.
    born_unix_ms: int = 0
    # Number of this heartbeat, counted from the start; it alone makes no entry differ.
    beat: int = field(default=0, eq=False)

    def with_role(self, role: Role) -> "BackendEntry":
        """Returns the entry as it would be in another role."""
        return evolve(self, role=role)

    def unnumbered(self) -> "BackendEntry":
        """Returns the entry without the number of its heartbeat."""
        return evolve(self, beat=0)

    @property
    def age_order(self) -> tuple[int, int]:
        """Returns a value that is higher for a later entry of the same name."""
        return self.born_unix_ms, self.beat


@frozen
class RegistryChange:
    """A change of what the registry believes."""

    # Backend server that it is about.
    name: str
    # What it was, or None if it is new.
    before: BackendEntry | None
    # What it is, or None if it is gone.
    after: BackendEntry | None

    @property
    def restarted(self) -> bool:
        """Tells whether the backend server is another incarnation under the same name."""
        before, after = self.before, self.after
        return (
            before is not None and after is not None and before.born_unix_ms != after.born_unix_ms
        )


class BackendRegistry:
    """All backend servers that are believed to exist."""

    # Entries by name.
    _entries: dict[str, BackendEntry]
    # Age of the latest entry of each name, also of those that are gone, so that a heartbeat that
    # the store carries out late changes nothing.
    _latest: dict[str, tuple[int, int]]
    # Names whose entry lapsed during trouble of the store.
    _lapsed: set[str]
    # Whether the store does not answer this host.
    _store_away: bool
    # Monotonic time at which the store answered again after trouble.
    _store_back_s: float
    # Hash of all entries, or empty once one has changed.
    _mark: str

    def __init__(self) -> None:
        self._mark = ""
        self._entries = {}
        self._latest = {}
        self._lapsed = set()
        self._store_away = False
        self._store_back_s = float("-inf")

    def get(self, name: str) -> BackendEntry | None:
        """Returns the entry of a backend server that is believed to exist."""
        return self._entries.get(name)

    def in_pool(self, pool: str) -> list[BackendEntry]:
        """Returns the backend servers of a pool that take new requests."""
        return [
            entry
            for entry in self._entries.values()
            if entry.pool == pool and entry.state is EntryState.READY
        ]

    def all(self) -> list[BackendEntry]:
        """Returns every backend server that is believed to exist."""
        return list(self._entries.values())

    def mark(self) -> str:
        """Returns a hash of all entries; two hosts with equal entries have equal hashes."""
        if not self._mark:
            entries = sorted(repr(entry.unnumbered()) for entry in self._entries.values())
            self._mark = blake2b("|".join(entries).encode(), digest_size=MARK_BYTES).hexdigest()
        return self._mark

    def on_store_away(self) -> None:
        """Takes note that the store does not answer."""
        self._store_away = True

    def on_store_answered(self, now_s: float) -> None:
        """Takes note that the store has answered."""
        if self._store_away:
            self._store_away = False
            self._store_back_s = now_s

    def on_entry(self, entry: BackendEntry) -> RegistryChange | None:
        """Takes an entry and returns what changes by it; an outdated one changes nothing."""
        latest = self._latest.get(entry.name)
        if latest is not None and entry.age_order < latest:
            return None
        self._remember(entry)
        self._lapsed.discard(entry.name)
        before = self._entries.get(entry.name)
        if before == entry:
            return None
        self._entries[entry.name] = entry
        self._mark = ""
        return RegistryChange(entry.name, before, entry)

    def on_removed(self, name: str, now_s: float) -> RegistryChange | None:
        """Takes the removal of an entry and returns what changes by it."""
        if name not in self._entries:
            return None
        if self._store_away or now_s < self._store_back_s + RETURN_GRACE_S:
            self._lapsed.add(name)
            return None
        return self._drop(name)

    def on_snapshot(self, entries: list[BackendEntry], now_s: float) -> list[RegistryChange]:
        """Takes the newest entry of every backend server."""
        changes = [self.on_entry(entry) for entry in entries]
        known = {entry.name for entry in entries}
        missing = [name for name in self._entries if name not in known]
        changes += [self.on_removed(name, now_s) for name in missing]
        return [change for change in changes if change is not None]

    def expire(self, now_s: float) -> list[RegistryChange]:
        """Drops entries that lapsed during trouble and did not return in time."""
        if not self._lapsed or self._store_away or now_s < self._store_back_s + RETURN_GRACE_S:
            return []
        return [self._drop(name) for name in sorted(self._lapsed)]

    def _remember(self, entry: BackendEntry) -> None:
        # Names that were heard of longest ago yield first.
        self._latest.pop(entry.name, None)
        self._latest[entry.name] = entry.age_order
        while len(self._latest) > MAX_REMEMBERED:
            del self._latest[next(iter(self._latest))]

    def _drop(self, name: str) -> RegistryChange:
        self._lapsed.discard(name)
        self._mark = ""
        return RegistryChange(name, self._entries.pop(name), None)

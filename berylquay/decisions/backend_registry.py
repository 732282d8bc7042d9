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
RECOVERY_GRACE_S: Final = 2.0
STATE_HASH_BYTES: Final = 8
# Names of which the latest age is kept: the largest fleet, with several replacements of each.
MAX_TRACKED_NAMES: Final = 50000


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
    started_unix_ms: int = 0
    # Number of this heartbeat, counted from the start; it alone makes no entry differ.
    heartbeat_number: int = field(default=0, eq=False)

    def with_role(self, role: Role) -> "BackendEntry":
        """Returns the entry as it would be in another role."""
        return evolve(self, role=role)

    def without_heartbeat_number(self) -> "BackendEntry":
        """Returns the entry without the number of its heartbeat."""
        return evolve(self, heartbeat_number=0)

    @property
    def recency_key(self) -> tuple[int, int]:
        """Returns a value that is higher for a later entry of the same name."""
        return self.started_unix_ms, self.heartbeat_number


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
            before is not None
            and after is not None
            and before.started_unix_ms != after.started_unix_ms
        )


class BackendRegistry:
    """All backend servers that are believed to exist."""

    # Entries by name.
    _entries: dict[str, BackendEntry]
    # Age of the latest entry of each name, also of those that are gone, so that a heartbeat that
    # the store carries out late changes nothing.
    _latest_recency: dict[str, tuple[int, int]]
    # Names whose entry lapsed during trouble of the store.
    _expired_in_outage: set[str]
    # Whether the store does not answer this host.
    _store_unreachable: bool
    # Monotonic time at which the store answered again after trouble.
    _store_recovered_s: float
    # Hash of all entries, or empty once one has changed.
    _state_hash: str

    def __init__(self) -> None:
        self._state_hash = ""
        self._entries = {}
        self._latest_recency = {}
        self._expired_in_outage = set()
        self._store_unreachable = False
        self._store_recovered_s = float("-inf")

    def get(self, name: str) -> BackendEntry | None:
        """Returns the entry of a backend server that is believed to exist."""
        return self._entries.get(name)

    def ready_in_pool(self, pool: str) -> list[BackendEntry]:
        """Returns the backend servers of a pool that take new requests."""
        return [
            entry
            for entry in self._entries.values()
            if entry.pool == pool and entry.state is EntryState.READY
        ]

    def all(self) -> list[BackendEntry]:
        """Returns every backend server that is believed to exist."""
        return list(self._entries.values())

    def state_hash(self) -> str:
        """Returns a hash of all entries; two hosts with equal entries have equal hashes."""
        if not self._state_hash:
            entries = sorted(
                repr(entry.without_heartbeat_number()) for entry in self._entries.values()
            )
            self._state_hash = blake2b(
                "|".join(entries).encode(), digest_size=STATE_HASH_BYTES
            ).hexdigest()
        return self._state_hash

    def on_store_unreachable(self) -> None:
        """Takes note that the store does not answer."""
        self._store_unreachable = True

    def on_store_answered(self, now_s: float) -> None:
        """Takes note that the store has answered."""
        if self._store_unreachable:
            self._store_unreachable = False
            self._store_recovered_s = now_s

    def on_entry(self, entry: BackendEntry) -> RegistryChange | None:
        """Takes an entry and returns what changes by it; an outdated one changes nothing."""
        latest = self._latest_recency.get(entry.name)
        if latest is not None and entry.recency_key < latest:
            return None
        self._track_recency(entry)
        self._expired_in_outage.discard(entry.name)
        before = self._entries.get(entry.name)
        if before == entry:
            return None
        self._entries[entry.name] = entry
        self._state_hash = ""
        return RegistryChange(entry.name, before, entry)

    def on_removed(self, name: str, now_s: float) -> RegistryChange | None:
        """Takes the removal of an entry and returns what changes by it."""
        if name not in self._entries:
            return None
        if self._store_unreachable or now_s < self._store_recovered_s + RECOVERY_GRACE_S:
            self._expired_in_outage.add(name)
            return None
        return self._drop(name)

    def on_snapshot(self, entries: list[BackendEntry], now_s: float) -> list[RegistryChange]:
        """Takes the newest entry of every backend server."""
        changes = [self.on_entry(entry) for entry in entries]
        known = {entry.name for entry in entries}
        missing = [name for name in self._entries if name not in known]
        changes += [self.on_removed(name, now_s) for name in missing]
        return [change for change in changes if change is not None]

    def drop_expired(self, now_s: float) -> list[RegistryChange]:
        """Drops entries that lapsed during trouble and did not return in time."""
        if (
            not self._expired_in_outage
            or self._store_unreachable
            or now_s < self._store_recovered_s + RECOVERY_GRACE_S
        ):
            return []
        return [self._drop(name) for name in sorted(self._expired_in_outage)]

    def _track_recency(self, entry: BackendEntry) -> None:
        # Names that were heard of longest ago yield first.
        self._latest_recency.pop(entry.name, None)
        self._latest_recency[entry.name] = entry.recency_key
        while len(self._latest_recency) > MAX_TRACKED_NAMES:
            del self._latest_recency[next(iter(self._latest_recency))]

    def _drop(self, name: str) -> RegistryChange:
        self._expired_in_outage.discard(name)
        self._state_hash = ""
        return RegistryChange(name, self._entries.pop(name), None)

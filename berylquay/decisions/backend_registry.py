"""Registry of backend servers, from the entries that they write to the store themselves.

An entry that expires during an outage of the store is kept for a grace period after the store has
recovered: a live backend server registers again within it.
"""

from enum import Enum
from hashlib import blake2b
from typing import Final

from attrs import evolve, field, frozen

from berylquay.decisions.fleet import Address, Role
from berylquay.decisions.server_instance import ServerInstance
from berylquay.decisions.server_notices import ServerNotices

# Time after the store's recovery within which a live backend server registers again.
RECOVERY_GRACE_S: Final = 2.0
STATE_HASH_BYTES: Final = 8
MS_PER_S: Final = 1000.0
HASH_MODULUS: Final = 256**STATE_HASH_BYTES
# Most names whose recency is tracked: the largest fleet, with several replacements of each server.
MAX_TRACKED_NAMES: Final = 50000
# Number of fields in an entry's identity, separated by spaces.
IDENTITY_FIELDS: Final = 4


class EntryState(Enum):
    """State that a backend server reports for itself."""

    READY = "ready"
    # It completes the requests that it has and accepts no new ones.
    LEAVING = "leaving"


@frozen
class BackendEntry:
    """A backend server's own entry in the platform's store."""

    # Name, in most cases unique to this incarnation.
    name: str
    # Pool that the backend server belongs to.
    pool: str
    # Address on which it listens.
    address: Address
    # Data centre that it is in.
    data_centre: str
    # Most requests that it runs concurrently.
    slots: int
    state: EntryState
    # Role of an engine; None for a plain service.
    role: Role | None = None
    # Start time in Unix milliseconds, which distinguishes incarnations of one name; 0 if unknown.
    started_unix_ms: int = 0
    # Version of its software, not of the weights; versions have no order.
    software_version: str = ""
    # Number of this heartbeat since the start; entries that differ only in it are equal.
    heartbeat_number: int = field(default=0, eq=False)
    # Whether the platform may reclaim it with a few seconds of notice.
    spot: bool = field(default=False, repr=False)
    # Time from this heartbeat until it is reclaimed, or None. It differs between heartbeats, so
    # entries that differ only in it are equal.
    leaves_ms: int | None = field(default=None, eq=False, repr=False)

    @property
    def instance(self) -> ServerInstance:
        """Returns the incarnation that the entry is of."""
        return ServerInstance(self.name, self.started_unix_ms)

    @property
    def states_start(self) -> bool:
        """Tells whether the server is an engine that says when it started."""
        return self.role is not None and bool(self.started_unix_ms)

    @property
    def identity(self) -> str:
        """Returns what a request must find at the address, in `IDENTITY_FIELDS`; last the name."""
        role = "" if self.role is None else self.role.value
        return f"{self.started_unix_ms} {self.address} {role} {self.name}"

    def with_role(self, role: Role) -> "BackendEntry":
        """Returns a copy of the entry with another role."""
        return evolve(self, role=role)

    def without_heartbeat_number(self) -> "BackendEntry":
        """Returns a copy of the entry with the heartbeat number 0."""
        return evolve(self, heartbeat_number=0)

    @property
    def recency_key(self) -> tuple[int, int]:
        """Returns a sort key that is higher for a later entry of the same name."""
        return self.started_unix_ms, self.heartbeat_number


@frozen
class RegistryChange:
    """A change of one entry in the registry."""

    # Name of the backend server.
    name: str
    # Entry before the change, or None if the backend server is new.
    before: BackendEntry | None
    # Entry after the change, or None if the backend server is gone.
    after: BackendEntry | None
    # Whether an earlier incarnation of the name was listed, and its entry has been removed since.
    is_back: bool = False

    @property
    def restarted(self) -> bool:
        """Tells whether the entry is now of another incarnation with the same name."""
        before, after = self.before, self.after
        return (
            before is not None
            and after is not None
            and before.started_unix_ms != after.started_unix_ms
        )


class BackendRegistry:
    """Cached view of all backend servers."""

    # What the servers state of themselves in answers, which goes before their entries.
    notices: ServerNotices
    # Entries by name, as read in the store.
    _entries: dict[str, BackendEntry]
    # Monotonic time at which each server that announced it is reclaimed, by instance.
    _leaves_at_s: dict[ServerInstance, float]
    # Recency key of the latest entry of each name, also of names that are gone, so that a heartbeat
    # that the store applies late changes nothing.
    _latest_recency: dict[str, tuple[int, int]]
    # Names whose entry expired during an outage of the store or in the grace period after it.
    _expired_in_outage: set[str]
    # Whether the store is unreachable from this host.
    _store_unreachable: bool
    # Monotonic time at which the store answered again after the last outage.
    _store_recovered_s: float
    # Sum of the hashes of all entries, so that a change costs the same however many there are.
    _hash_sum: int

    def __init__(self) -> None:
        self.notices = ServerNotices()
        self._hash_sum = 0
        self._entries = {}
        self._leaves_at_s = {}
        self._latest_recency = {}
        self._expired_in_outage = set()
        self._store_unreachable = False
        self._store_recovered_s = float("-inf")

    def get(self, name: str) -> BackendEntry | None:
        """Returns the entry of a backend server, or None if there is none."""
        return self._entries.get(name)

    def newer_instance(self, instance: ServerInstance) -> ServerInstance | None:
        """Returns the listed instance of the same name if it has started later, or None."""
        entry = self._entries.get(instance.name)
        is_newer = entry is not None and entry.started_unix_ms > instance.started_unix_ms
        return None if entry is None or not is_newer else entry.instance

    def answering_instance(self, asked: ServerInstance, sent_unix_ms: int) -> ServerInstance:
        """Returns the instance that has answered a request, as far as the entries tell.

        Args:
            asked: The instance of which the request was sent.
            sent_unix_ms: Unix time at which it was sent.
        """
        newer = self.newer_instance(asked)
        return asked if newer is None or not newer.may_answer(sent_unix_ms) else newer

    def ready_in_pool(self, pool: str) -> list[BackendEntry]:
        """Returns the backend servers of a pool that accept new requests."""
        listed, notices = self._listed_as_ready(pool), self.notices
        if not notices.names:
            return listed
        return [
            entry
            for entry in listed
            if entry.name not in notices.names or notices.accepts_requests(entry.instance)
        ]

    def on_leaves_ms(self, entry: BackendEntry, now_s: float) -> None:
        """Records when a server is reclaimed; entries that arrive late do not postpone it."""
        if entry.leaves_ms is not None:
            leaves_at_s = now_s + entry.leaves_ms / MS_PER_S
            before_s = self._leaves_at_s.get(entry.instance, leaves_at_s)
            self._leaves_at_s[entry.instance] = min(before_s, leaves_at_s)

    def is_reclaimed(self, entry: BackendEntry) -> bool:
        """Tells whether a server has said when the platform reclaims it."""
        return entry.instance in self._leaves_at_s

    def without_leaving_before(
        self, entries: list[BackendEntry], end_s: float
    ) -> list[BackendEntry]:
        """Returns the servers that are not reclaimed before work that is expected to end then."""
        if not self._leaves_at_s:
            return entries
        return [entry for entry in entries if self._leaves_at_s.get(entry.instance, end_s) >= end_s]

    def earliest_return_s(self, pool: str, now_s: float) -> float | None:
        """Returns the time until a server of the pool accepts requests again.

        None if one accepts requests now, or if none will.
        """
        instances = [entry.instance for entry in self._listed_as_ready(pool)]
        return self.notices.earliest_return_s(instances, now_s)

    def _listed_as_ready(self, pool: str) -> list[BackendEntry]:
        return [
            entry
            for entry in self._entries.values()
            if entry.pool == pool and entry.state is EntryState.READY
        ]

    def all_entries(self) -> list[BackendEntry]:
        """Returns all entries, in any state."""
        return list(self._entries.values())

    def state_hash(self) -> str:
        """Returns a hash of all entries; it is equal on two hosts with equal entries."""
        return self._hash_sum.to_bytes(STATE_HASH_BYTES, "big").hex()

    def on_store_unreachable(self) -> None:
        """Records that the store does not answer."""
        self._store_unreachable = True

    def on_store_answered(self, now_s: float) -> None:
        """Records that the store has answered; after an outage the grace period begins."""
        if self._store_unreachable:
            self._store_unreachable = False
            self._store_recovered_s = now_s

    def on_store_restored(self, now_s: float) -> None:
        """Records that the store came back older, so that servers write their entries again."""
        self._store_recovered_s = now_s

    def on_entry(self, entry: BackendEntry) -> RegistryChange | None:
        """Applies an entry and returns the change; None if it is outdated or changes nothing."""
        latest = self._latest_recency.get(entry.name)
        if latest is not None and entry.recency_key < latest:
            return None
        is_gone = latest is not None and entry.name not in self._entries
        if is_gone and entry.recency_key == latest and entry.heartbeat_number:
            # An older copy of the store shows a server that has left.
            return None
        has_later_start = latest is not None and entry.started_unix_ms > latest[0]
        self._track_recency(entry)
        if entry.name in self.notices.names:
            self.notices.on_instance(entry.instance)
        self._expired_in_outage.discard(entry.name)
        before = self._entries.get(entry.name)
        if before == entry:
            return None
        self._entries[entry.name] = entry
        if before is not None:
            if before.instance != entry.instance:
                self._leaves_at_s.pop(before.instance, None)
            self._add_to_hash(-_hash_entry(before))
        self._add_to_hash(_hash_entry(entry))
        return RegistryChange(entry.name, before, entry, is_back=is_gone and has_later_start)

    def on_removed(self, name: str, now_s: float) -> RegistryChange | None:
        """Applies the removal of an entry and returns the change.

        None if there is no such entry, or it is kept because of an outage of the store.
        """
        if name not in self._entries:
            return None
        if self._store_unreachable or now_s < self._store_recovered_s + RECOVERY_GRACE_S:
            self._expired_in_outage.add(name)
            return None
        return self._drop(name)

    def on_snapshot(self, entries: list[BackendEntry], now_s: float) -> list[RegistryChange]:
        """Applies the newest entry of every backend server and returns the changes."""
        changes = [self.on_entry(entry) for entry in entries]
        for entry in entries:
            self.on_leaves_ms(entry, now_s)
        known = {entry.name for entry in entries}
        missing = [name for name in self._entries if name not in known]
        changes += [self.on_removed(name, now_s) for name in missing]
        return [change for change in changes if change is not None]

    def drop_expired(self, now_s: float) -> list[RegistryChange]:
        """Drops entries that expired in an outage, once the grace period is over."""
        if (
            not self._expired_in_outage
            or self._store_unreachable
            or now_s < self._store_recovered_s + RECOVERY_GRACE_S
        ):
            return []
        return [self._drop(name) for name in sorted(self._expired_in_outage)]

    def _track_recency(self, entry: BackendEntry) -> None:
        # The least recently updated names are dropped first.
        self._latest_recency.pop(entry.name, None)
        self._latest_recency[entry.name] = entry.recency_key
        while len(self._latest_recency) > MAX_TRACKED_NAMES:
            del self._latest_recency[next(iter(self._latest_recency))]

    def _drop(self, name: str) -> RegistryChange:
        self._expired_in_outage.discard(name)
        entry = self._entries.pop(name)
        self._leaves_at_s.pop(entry.instance, None)
        self._add_to_hash(-_hash_entry(entry))
        return RegistryChange(name, entry, None)

    def _add_to_hash(self, entry_hash: int) -> None:
        self._hash_sum = (self._hash_sum + entry_hash) % HASH_MODULUS


def _hash_entry(entry: BackendEntry) -> int:
    """Returns the hash of all fields but the heartbeat number and the time left.

    Entries of on-demand servers have the hash that hosts without knowledge of spot servers compute.
    """
    text = repr(entry.without_heartbeat_number()).encode() + (b"spot" if entry.spot else b"")
    return int.from_bytes(blake2b(text, digest_size=STATE_HASH_BYTES).digest(), "big")

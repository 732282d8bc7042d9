"""Software versions that each pool has had of late, from its record in the store and the list.

The record tells a host that has just started which versions streams may have begun at. It is
complete because hosts begin streams only at recorded versions, as long as these have servers.
"""

from collections.abc import Iterable, Mapping
from math import isfinite
from typing import Final

from attrs import field, frozen

from berylquay.decisions.backend_registry import BackendEntry
from berylquay.decisions.stream_versions import MAX_LIST_AGE_S, STREAM_RETENTION_S
from berylquay.decisions.suspension_meter import SuspensionMeter

# Time for which a version counts after its absence was noticed: that of a stream's retention, and
# the difference between the clocks of the host that noticed it and of the one that reads it.
ABSENT_VERSION_S: Final = STREAM_RETENTION_S + 30.0
# Time after which an absent version is dropped from the record.
DROP_ABSENT_MS: Final = 120_000
# Time for which a version must be missing from the list before it is recorded as absent. Lists of
# two hosts differ by up to `MAX_LIST_AGE_S`.
ABSENCE_DELAY_S: Final = 3.0
# Time for which the monotonic clock may stand still before the list counts as outdated.
MAX_SUSPENSION_S: Final = 0.5
MS_PER_S: Final = 1000.0
# Era of a record that can't be read; lower than any that a store states.
UNKNOWN_ERA: Final = -1


@frozen
class PoolVersionRecord:
    """What the store retains of the versions of one pool."""

    present: frozenset[str]
    # Unix time at which each version's absence was noticed.
    absent_unix_ms: Mapping[str, int] = field(factory=dict)
    # Era of the store in which the record was written, or None if the store states no era.
    era: int | None = None
    # Unix time from which on the record names every version of the pool; 0 if it always has.
    since_unix_ms: int = 0


class PoolVersionHistory:
    """Versions that streams of each pool can have begun at, and those that are recorded."""

    # Monotonic time since which this host knows the list of servers without a gap, or None.
    _known_since_s: float | None
    # Monotonic time as of which the list was last known to be current, and by whose report.
    _confirmed_s: float
    _confirmed_by: str
    # Monotonic time before which no confirmation of the list counts.
    _confirmed_from_s: float
    _suspensions: SuspensionMeter
    # Monotonic time at which the last complete read of the records was sent, or None.
    _read_sent_s: float | None
    # Pools whose record was current at a time at which the list was known, without a gap since.
    _complete_pools: set[str]
    # Versions of the listed servers, and the newest known record, by pool.
    _listed: dict[str, frozenset[str]]
    _records: dict[str, PoolVersionRecord]
    # Whether a record of any pool was of a former era at the last read.
    _has_former_era: bool
    # Monotonic time until which each version counts besides the listed ones, by pool.
    _counts_until_s: dict[str, dict[str, float]]
    # Monotonic time since which a recorded version is missing from the list.
    _absent_since_s: dict[tuple[str, str], float]
    # Recorded versions at which streams may begin, by pool.
    _recorded: dict[str, frozenset[str]]
    # Present era of the store, or None if it states none.
    _era: int | None
    # Whether this process began with the fleet, and has known the list without a gap since.
    _knows_all_versions: bool

    def __init__(self, *, is_first_start: bool = False) -> None:
        """Starts without knowledge of servers and records.

        Args:
            is_first_start: Whether the whole fleet starts for the first time, so that no former
                process can have begun a stream at a version that is not recorded.
        """
        self._knows_all_versions = is_first_start
        self._known_since_s = None
        self._confirmed_s = float("-inf")
        self._confirmed_by = ""
        self._confirmed_from_s = float("-inf")
        self._suspensions = SuspensionMeter()
        self._read_sent_s = None
        self._complete_pools = set()
        self._listed = {}
        self._records = {}
        self._has_former_era = False
        self._counts_until_s = {}
        self._absent_since_s = {}
        self._recorded = {}
        self._era = None

    @property
    def is_list_known(self) -> bool:
        """Returns whether the list of servers is current."""
        return self._known_since_s is not None

    @property
    def needs_read(self) -> bool:
        """Returns whether the records must be read: at the start, and after a gap in the list."""
        known_since_s, read_sent_s = self._known_since_s, self._read_sent_s
        return known_since_s is not None and (read_sent_s is None or read_sent_s < known_since_s)

    @property
    def pools(self) -> set[str]:
        """Returns the pools that have servers or a record."""
        return {*self._listed, *self._records}

    def on_clocks(self, now_s: float, boot_s: float) -> None:
        """Takes both clocks; a list from before a suspension of the host is outdated.

        Args:
            now_s: Present time of the monotonic clock, which stands still in a suspension.
            boot_s: Present time of the clock that does not.
        """
        if self._suspensions.observe(boot_s, now_s) > MAX_SUSPENSION_S:
            self._confirmed_from_s = now_s

    def describe_list(self, now_s: float) -> dict[str, int | str | None]:
        """Returns, for logs, how old the list is, by whom it is known, and since when."""
        known_since_s = self._known_since_s
        has_list = isfinite(self._confirmed_s)
        return {
            "list_age_ms": round((now_s - self._confirmed_s) * MS_PER_S) if has_list else None,
            "list_from": self._confirmed_by or "store",
            "list_known_ms": (
                None if known_since_s is None else round((now_s - known_since_s) * MS_PER_S)
            ),
        }

    def on_list_confirmed(self, confirmed_s: float, now_s: float, confirmed_by: str = "") -> None:
        """Records when the list of servers was last known to be current.

        Args:
            confirmed_s: Monotonic time as of which all changes are known.
            now_s: Present time.
            confirmed_by: Name of the host whose report said so; empty if this host has read.
        """
        self._confirmed_s, self._confirmed_by = confirmed_s, confirmed_by
        if now_s - confirmed_s > MAX_LIST_AGE_S or confirmed_s < self._confirmed_from_s:
            if self._known_since_s is not None:
                self._knows_all_versions = False
            self._known_since_s = None
            self._complete_pools.clear()
        elif self._known_since_s is None:
            self._known_since_s = now_s

    def on_entry_replaced(self, entry: BackendEntry, now_s: float) -> None:
        """Records the version of an entry that was changed or removed."""
        self._count(entry.pool, entry.software_version, now_s + STREAM_RETENTION_S)

    def on_listed(self, entries: Iterable[BackendEntry], now_s: float) -> None:
        """Records the entries of all servers."""
        versions: dict[str, set[str]] = {}
        for entry in entries:
            versions.setdefault(entry.pool, set()).add(entry.software_version)
        self._listed = {pool: frozenset(names) for pool, names in versions.items()}
        for counts_until_s in self._counts_until_s.values():
            for version in [name for name, until_s in counts_until_s.items() if until_s <= now_s]:
                del counts_until_s[version]
        for pool, record in self._records.items():
            self._update_absences(pool, record, now_s)

    def on_store_era(self, era: int) -> None:
        """Takes the present era; what was recorded may be lost if it has risen."""
        if era != self._era:
            self._era = era
            self._recorded.clear()

    def on_records_read(
        self, records: Mapping[str, PoolVersionRecord], sent_s: float, now_s: float, unix_ms: int
    ) -> None:
        """Takes all records of the store, by pool.

        Args:
            records: Records by pool.
            sent_s: Monotonic time at which the first read was sent.
            now_s: Present time.
            unix_ms: Present Unix time of this host.
        """
        self._read_sent_s = sent_s
        self._has_former_era = any(self._is_former(record) for record in records.values())
        self._records = {}
        for pool, record in records.items():
            self.on_record(pool, record, now_s, unix_ms, current_s=sent_s)

    def on_record(
        self,
        pool: str,
        record: PoolVersionRecord,
        now_s: float,
        unix_ms: int,
        *,
        current_s: float,
    ) -> None:
        """Takes a pool's record.

        Args:
            pool: Name of the pool.
            record: The record, as it was in the store at `current_s`.
            now_s: Present time.
            unix_ms: Present Unix time of this host.
            current_s: Monotonic time.
        """
        self._records[pool] = record
        for version in record.present:
            self._count(pool, version, now_s + ABSENT_VERSION_S)
        for version, absent_ms in record.absent_unix_ms.items():
            age_s = max(0.0, (unix_ms - absent_ms) / MS_PER_S)
            self._count(pool, version, now_s + ABSENT_VERSION_S - age_s)
        if self._is_former(record):
            self._recorded.pop(pool, None)
            return
        self._recorded[pool] = record.present
        is_old_enough = unix_ms - record.since_unix_ms >= ABSENT_VERSION_S * MS_PER_S
        known_since_s = self._known_since_s
        if known_since_s is not None and current_s >= known_since_s and is_old_enough:
            self._complete_pools.add(pool)
        self._update_absences(pool, record, now_s)

    def only_version(self, pool: str, listed: Iterable[BackendEntry], now_s: float) -> str | None:
        """Returns the one version that a stream of the pool can have begun at, or None.

        Args:
            pool: Name of the pool.
            listed: Entries of the pool's servers.
            now_s: Present time.
        """
        # The host may have stood still since the list was last checked.
        is_outdated = now_s - self._confirmed_s > MAX_LIST_AGE_S
        if is_outdated or not self._is_complete(pool, now_s):
            return None
        versions = {entry.software_version for entry in listed} | self._counting(pool, now_s)
        return versions.pop() if len(versions) == 1 else None

    def has_several(self, pool: str, now_s: float) -> bool:
        """Tells whether a pool has had several versions of late, as far as this host knows."""
        return len(self._listed.get(pool, frozenset()) | self._counting(pool, now_s)) > 1

    def recorded_versions(self, pool: str) -> frozenset[str]:
        """Returns the recorded versions at which streams may begin; none if none is recorded."""
        return self._recorded.get(pool, frozenset())

    def is_recorded_since(self, pool: str, since_s: float) -> bool:
        """Tells whether a read that was sent at `since_s` or later has found a current record."""
        read_sent_s = self._read_sent_s
        return read_sent_s is not None and read_sent_s >= since_s and pool in self._recorded

    def has_unrecorded(self, pool: str) -> bool:
        """Tells whether a listed version is not known to be recorded."""
        return bool(self._listed.get(pool, frozenset()) - self.recorded_versions(pool))

    def is_record_outdated(self, pool: str, now_s: float) -> bool:
        """Tells whether the pool's record must be written, and this host can write it."""
        if self._known_since_s is None or self.needs_read:
            return False
        record, listed = self._records.get(pool), self._listed.get(pool, frozenset())
        if record is None:
            # A store that came back older may lack the record of a pool that had one.
            return bool(listed) and (not self._has_former_era or self._is_complete(pool, now_s))
        if self._is_former(record):
            return self._is_complete(pool, now_s)
        if listed - record.present or self._absent(pool, record, now_s):
            return True
        unrecorded = self._counting(pool, now_s) - record.present - record.absent_unix_ms.keys()
        return bool(unrecorded)

    def make_record(self, pool: str, now_s: float, unix_ms: int) -> PoolVersionRecord:
        """Returns the record that follows on the one that was read last."""
        stored = self._records.get(pool, PoolVersionRecord(frozenset()))
        listed = self._listed.get(pool, frozenset())
        present = listed | (stored.present - self._absent(pool, stored, now_s))
        absent_unix_ms = dict.fromkeys(
            (stored.present | self._counting(pool, now_s)) - present, unix_ms
        )
        absent_unix_ms |= {
            version: absent_ms
            for version, absent_ms in stored.absent_unix_ms.items()
            if version not in present and unix_ms - absent_ms < DROP_ABSENT_MS
        }
        since_unix_ms = stored.since_unix_ms
        if pool not in self._records and not (
            self._knows_all_versions or self._is_complete(pool, now_s)
        ):
            # Former processes may have begun streams at versions that nobody has recorded.
            since_unix_ms = unix_ms
        return PoolVersionRecord(present, absent_unix_ms, self._era, since_unix_ms)

    def _is_former(self, record: PoolVersionRecord) -> bool:
        """Tells whether the record is of a former era, so that later ones may be lost."""
        if record.era == UNKNOWN_ERA:
            return True
        return self._era is not None and (record.era is None or record.era < self._era)

    def _is_complete(self, pool: str, now_s: float) -> bool:
        """Tells whether all versions are known that streams can have begun at."""
        known_since_s = self._known_since_s
        if known_since_s is None:
            return False
        return pool in self._complete_pools or known_since_s <= now_s - STREAM_RETENTION_S

    def _count(self, pool: str, version: str, until_s: float) -> None:
        counts_until_s = self._counts_until_s.setdefault(pool, {})
        counts_until_s[version] = max(until_s, counts_until_s.get(version, until_s))

    def _counting(self, pool: str, now_s: float) -> frozenset[str]:
        """Returns the versions that the pool has had of late, besides the listed ones."""
        return frozenset(
            version
            for version, until_s in self._counts_until_s.get(pool, {}).items()
            if until_s > now_s
        )

    def _absent(self, pool: str, record: PoolVersionRecord, now_s: float) -> frozenset[str]:
        """Returns the recorded versions that have been missing from the list for some time."""
        return frozenset(
            version
            for version in record.present
            if now_s - self._absent_since_s.get((pool, version), now_s) >= ABSENCE_DELAY_S
        )

    def _update_absences(self, pool: str, record: PoolVersionRecord, now_s: float) -> None:
        listed = self._listed.get(pool, frozenset())
        for version in record.present:
            if version in listed:
                self._absent_since_s.pop((pool, version), None)
            else:
                self._absent_since_s.setdefault((pool, version), now_s)
        if pool in self._recorded:
            # Another host may have recorded the absence; a server that returns is recorded again.
            self._recorded[pool] -= self._absent(pool, record, now_s)

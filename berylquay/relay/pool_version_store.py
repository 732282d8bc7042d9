"""Reads and writes which software versions each pool has, for hosts that all start anew.

Each host reads the records once, when it knows the list of servers. When the versions of a pool
change, the first host of each group reads the records again and writes that pool's, on condition
that the topic has not changed since. It tells its group what the store then has.
"""

import json
from collections.abc import Callable
from random import Random
from typing import Final

import logbook
from attrs import define, field

from berylquay.decisions.arrival_bounds import ArrivalBounds
from berylquay.decisions.backend_registry import BackendRegistry
from berylquay.decisions.pool_version_history import (
    UNKNOWN_ERA,
    PoolVersionHistory,
    PoolVersionRecord,
)
from berylquay.platform.store_client import (
    AppendResult,
    NewestRecordsPage,
    StoreClient,
    StoreFailure,
    encode_keyed_record,
)
from berylquay.platform.wire_names import TOPIC_POOL_VERSIONS
from berylquay.relay.datagram_wait import add_wait
from berylquay.relay.follower import FAILURE_BACKOFF
from berylquay.relay.metrics import RelayMetrics
from berylquay.relay.version_datagrams import MAX_NUMBER, PoolRecordNotice, encode_pool_record

MS_PER_S: Final = 1000.0
# Longest name of a pool that can be the key of a record.
MAX_KEY_BYTES: Final = 255
# Interval at which absences are checked; changes of the list are checked at once.
CHECK_INTERVAL_S: Final = 0.5
# Time for which a host that is not the first of its group waits to be told that a listed version is
# recorded. It then reads the records itself, as the datagram may be lost.
TOLD_WITHIN_S: Final = 1.0
# Time over which hosts spread their writes after their start, when none knows the first host yet.
START_SPREAD_S: Final = 0.3
START_WINDOW_S: Final = 3.0
# Time over which hosts spread repeated reads.
READ_SPREAD_S: Final = 0.5
# Least time between two reads for streams that callers take up.
REQUESTED_READ_INTERVAL_S: Final = 0.25
# Stands for a value that can't be read: of a former era, as later ones than it shows may exist.
UNREADABLE_RECORD: Final = PoolVersionRecord(frozenset(), era=UNKNOWN_ERA)
_log = logbook.Logger("pool-versions")


def encode_record(record: PoolVersionRecord) -> bytes:
    """Returns the value of a pool's record."""
    value = {
        "present": sorted(record.present),
        "absent": dict(sorted(record.absent_unix_ms.items())),
        "era": record.era,
        "since": record.since_unix_ms,
    }
    return json.dumps(value).encode()


def decode_record(value: bytes) -> PoolVersionRecord | None:
    """Returns a pool's record, or None if the value is malformed."""
    try:
        fields = json.loads(value)
        present, absent, era = fields["present"], fields["absent"], fields["era"]
        since_unix_ms = fields["since"]
        is_valid = (
            isinstance(present, list)
            and all(isinstance(version, str) for version in present)
            and isinstance(absent, dict)
            and all(_is_number(unix_ms) for unix_ms in absent.values())
            and (era is None or _is_number(era))
            and _is_number(since_unix_ms)
        )
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
    if not is_valid:
        return None
    return PoolVersionRecord(frozenset(present), absent, era, since_unix_ms)


def _is_number(value: object) -> bool:
    return type(value) is int and 0 <= value <= MAX_NUMBER


@define(eq=False, kw_only=True)
class PoolVersionStore:
    """Keeps the records of the pools' versions up to date, and passes on what they state."""

    _history: PoolVersionHistory
    _registry: BackendRegistry
    _store_client: StoreClient
    _metrics: RelayMetrics
    _rng: Random
    # Reads the wall clock, as Unix time in milliseconds.
    _unix_ms: Callable[[], int]
    # Reads the clock that also runs while the machine is suspended.
    _boot_clock: Callable[[], float]
    # Tells whether this host is the first of those that exchange load reports.
    _is_first_of_group: Callable[[float], bool]
    _send_to_group: Callable[[bytes], None]
    # Called with the monotonic time after the first read, and each one after a gap in the list.
    _on_read: Callable[[float], None]
    # Pools whose streams callers may continue.
    pools: frozenset[str] = field(default=frozenset(), init=False)
    _entries_changed: bool = field(default=True, init=False)
    _next_check_s: float = field(default=float("-inf"), init=False)
    # Era and offset of the newest record known of each pool.
    _known_order: dict[str, tuple[int, int]] = field(factory=dict, init=False)
    # Monotonic times of the first tick, of the last one, from which the records are read (None: not
    # due), and before which no call is made.
    _started_s: float | None = field(default=None, init=False)
    _now_s: float = field(default=float("-inf"), init=False)
    _due_s: float | None = field(default=None, init=False)
    _next_call_s: float = field(default=float("-inf"), init=False)
    # Monotonic time from which this host, not being the first, has missed a record, or None.
    _unrecorded_since_s: float | None = field(default=None, init=False)
    # The read in progress: when it was sent, the records by pool, the topic's end offset at its
    # first page, and whether outdated records are written when it ends.
    _read_sent_s: float = field(default=float("-inf"), init=False)
    _read_records: dict[str, PoolVersionRecord] = field(factory=dict, init=False)
    _end_offset: int | None = field(default=None, init=False)
    _writes_after_read: bool = field(default=False, init=False)
    # Times at which the last call was sent, on the monotonic and on the boot clock: what its answer
    # states is as old.
    _call_sent_s: float = field(default=float("-inf"), init=False)
    _call_sent_boot_s: float = field(default=float("-inf"), init=False)
    # Records of the append in flight, by pool.
    _writing: dict[str, PoolVersionRecord] = field(factory=dict, init=False)
    _consecutive_failures: int = field(default=0, init=False)

    @property
    def is_read_missing(self) -> bool:
        """Returns whether the records are still to be read, though the list of servers is known."""
        return self._history.needs_read

    def is_record_read(self, pool: str, since_s: float) -> bool:
        """Tells whether a pool's record was read at a time or later; True if it can't have one.

        One of a former era of the store, or a missing one, may lack a version.
        """
        has_record = pool in self.pools and len(pool.encode()) <= MAX_KEY_BYTES
        return not has_record or self._history.is_recorded_since(pool, since_s)

    def request_read(self, since_s: float, now_s: float) -> None:
        """Has the records read, unless one that was sent at `since_s` or later is in progress."""
        if self._store_client.busy and self._read_sent_s >= since_s:
            return
        due_s = max(now_s, self._read_sent_s + REQUESTED_READ_INTERVAL_S)
        self._due_s = due_s if self._due_s is None else min(self._due_s, due_s)

    def on_entries_changed(self) -> None:
        """Notes that the list of servers has changed."""
        self._entries_changed = True

    def on_new_era(self) -> None:
        """Drops the call in flight: the store has come back from an older copy."""
        self._store_client.abandon_call()
        self._writing = {}
        self._next_check_s = float("-inf")

    def on_notice(self, notice: PoolRecordNotice, arrival: ArrivalBounds) -> None:
        """Takes a record that the first host of the group has found or written."""
        order = _order_of(notice.record, notice.offset)
        if order <= self._known_order.get(notice.pool, (UNKNOWN_ERA, -1)):
            return
        self._known_order[notice.pool] = order
        self._history.on_record(
            notice.pool,
            notice.record,
            arrival.latest_s,
            self._unix_ms(),
            current_s=arrival.earliest_s,
        )

    def on_tick(self, now_s: float) -> None:
        """Sends the next call to the store when it is due."""
        self._now_s = now_s
        if self._started_s is None:
            self._started_s = now_s
        self._store_client.on_tick(now_s)
        if self._entries_changed or now_s >= self._next_check_s:
            self._entries_changed = False
            self._next_check_s = now_s + CHECK_INTERVAL_S
            self._history.on_listed(self._registry.all_entries(), now_s)
            self._check_records(now_s)
        if self._store_client.busy or now_s < self._next_call_s:
            return
        is_due = self._due_s is not None and now_s >= self._due_s
        if self._history.is_list_known and (self._history.needs_read or is_due):
            self._writes_after_read, self._due_s = is_due, None
            self._read_sent_s, self._read_records, self._end_offset = now_s, {}, None
            self._note_call()
            self._store_client.read_newest(TOPIC_POOL_VERSIONS, "", self._on_newest)

    def _check_records(self, now_s: float) -> None:
        """Decides whether records must be read again, to write them or to learn of them."""
        if self._history.needs_read or not self._history.is_list_known or self._due_s is not None:
            return
        if self._is_first_of_group(now_s):
            self._unrecorded_since_s = None
            if self._outdated_pools(now_s):
                is_starting = now_s - (self._started_s or now_s) < START_WINDOW_S
                spread_s = START_SPREAD_S if is_starting else 0.0
                self._due_s = now_s + self._rng.uniform(0.0, spread_s)
        elif not any(self._history.has_unrecorded(pool) for pool in self.pools):
            self._unrecorded_since_s = None
        elif self._unrecorded_since_s is None:
            self._unrecorded_since_s = now_s
        elif now_s - self._unrecorded_since_s >= TOLD_WITHIN_S:
            self._unrecorded_since_s = None
            self._due_s = now_s + self._rng.uniform(0.0, READ_SPREAD_S)

    def _outdated_pools(self, now_s: float) -> list[str]:
        return [
            pool
            for pool in sorted(self.pools)
            if len(pool.encode()) <= MAX_KEY_BYTES and self._history.is_record_outdated(pool, now_s)
        ]

    def _on_newest(self, result: NewestRecordsPage | StoreFailure) -> None:
        if isinstance(result, StoreFailure) and not result.is_topic_missing:
            self._on_failure(result)
            return
        if isinstance(result, NewestRecordsPage):
            if self._end_offset is None:
                self._end_offset = result.end_offset
            for item in result.records:
                record = decode_record(item.value or b"")
                if record is None:
                    _log.warning("unreadable pool versions", pool=item.key)
                self._read_records[item.key] = record or UNREADABLE_RECORD
            if result.has_more and result.records:
                after_key = result.records[-1].key
                self._store_client.read_newest(TOPIC_POOL_VERSIONS, after_key, self._on_newest)
                return
        self._on_records_read()

    def _on_records_read(self) -> None:
        now_s, offset = self._now_s, self._end_offset or 0
        self._consecutive_failures = 0
        is_first_read = self._history.needs_read
        changed = [
            pool
            for pool, record in self._read_records.items()
            if _order_of(record, offset) > self._known_order.get(pool, (UNKNOWN_ERA, -1))
        ]
        for pool in changed:
            self._known_order[pool] = _order_of(self._read_records[pool], offset)
        self._history.on_records_read(self._read_records, self._read_sent_s, now_s, self._unix_ms())
        if is_first_read:
            _log.info(
                "pool versions read",
                pools={
                    pool: {"present": sorted(record.present), "absent": dict(record.absent_unix_ms)}
                    for pool, record in self._read_records.items()
                    if pool in self.pools
                },
                waited_ms=round((now_s - self._read_sent_s) * MS_PER_S),
            )
            self._on_read(now_s)
        self._next_check_s = float("-inf")
        if not self._writes_after_read or not self._is_first_of_group(now_s):
            return
        outdated = self._outdated_pools(now_s)
        for pool in self.pools.intersection(changed).difference(outdated):
            # Written by the first host of another group.
            self._tell_group(pool, self._read_records[pool], offset)
        if outdated:
            unix_ms = self._unix_ms()
            self._writing = {
                pool: self._history.make_record(pool, now_s, unix_ms) for pool in outdated
            }
            contents = [
                encode_keyed_record(pool, encode_record(record))
                for pool, record in self._writing.items()
            ]
            self._note_call()
            self._store_client.append(
                TOPIC_POOL_VERSIONS, contents, self._on_appended, expected_end_offset=offset
            )

    def _on_appended(self, result: AppendResult | StoreFailure) -> None:
        writing, self._writing = self._writing, {}
        if isinstance(result, StoreFailure):
            self._due_s = self._now_s
            if result.has_other_end_offset:
                # Another group's first host has written; its records are read first.
                self._next_call_s = self._now_s + self._rng.uniform(0.0, START_SPREAD_S)
            else:
                self._on_failure(result)
            return
        self._consecutive_failures = 0
        offset = result.offset + len(writing)
        for pool, record in writing.items():
            self._known_order[pool] = _order_of(record, offset)
            self._history.on_record(
                pool, record, self._now_s, self._unix_ms(), current_s=self._call_sent_s
            )
            self._metrics.on_pool_versions_written(pool)
            _log.info(
                "pool versions written",
                pool=pool,
                present=sorted(record.present),
                absent=dict(record.absent_unix_ms),
                era=record.era,
            )
            self._tell_group(pool, record, offset)

    def _tell_group(self, pool: str, record: PoolVersionRecord, offset: int) -> None:
        waited_ms = round((self._boot_clock() - self._call_sent_boot_s) * MS_PER_S)
        notice = encode_pool_record(PoolRecordNotice(pool, record, offset))
        self._send_to_group(add_wait(notice, waited_ms))

    def _note_call(self) -> None:
        self._call_sent_s, self._call_sent_boot_s = self._now_s, self._boot_clock()

    def _on_failure(self, failure: StoreFailure) -> None:
        self._consecutive_failures += 1
        if self._writes_after_read:
            self._due_s = self._now_s
        self._next_call_s = self._now_s + FAILURE_BACKOFF.delay_s(
            self._consecutive_failures, self._rng
        )
        _log.info("pool versions request failed", status=failure.status, detail=failure.detail)


def _order_of(record: PoolVersionRecord, offset: int) -> tuple[int, int]:
    """Returns a key that is higher for what was found in the store later."""
    return UNKNOWN_ERA if record.era is None else record.era, offset

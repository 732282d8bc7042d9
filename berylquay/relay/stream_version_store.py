"""Writes the versions of streams to the store while a pool has several, and reads them.

The first host of each group writes the streams that its group begins. A host that can't learn a
stream's version from the others reads what was written; in a large group only the first host does.
"""

from collections import deque
from collections.abc import Callable, Sequence
from random import Random
from typing import Final

import logbook
from attrs import define, field

from berylquay.decisions.fleet import Address
from berylquay.decisions.pool_version_history import PoolVersionHistory
from berylquay.decisions.stream_ledger import LedgerReading, StreamLedger, hash_stream
from berylquay.platform.store_client import AppendResult, RecordPage, StoreClient, StoreFailure
from berylquay.platform.wire_names import TOPIC_STREAM_VERSIONS
from berylquay.relay.follower import FAILURE_BACKOFF
from berylquay.relay.metrics import RelayMetrics
from berylquay.relay.version_datagrams import (
    StreamsNotice,
    decode_stream_record,
    encode_stream_record,
    encode_streams,
)

# Interval between two appends.
APPEND_INTERVAL_S: Final = 0.1
# Interval at which it is checked which pools have had several versions.
CHECK_INTERVAL_S: Final = 0.1
# Least time between the starts of two reads.
READ_INTERVAL_S: Final = 0.2
# Bounds on what is read at the start: records of 60 s of ten groups with two versions, and bytes.
MAX_READ_RECORDS: Final = 12_000
MAX_READ_BYTES: Final = 4_000_000
# Size of the first read, which shows where the topic ends.
FIRST_READ_KB: Final = 1
# Largest group in which each host reads for itself.
MAX_READING_GROUP: Final = 32
# Streams a datagram to the first host.
STREAMS_PER_DATAGRAM: Final = 100
# Queries of other hosts that wait for a read, and the longest time for which one waits.
MAX_WAITING_QUERIES: Final = 5_000
QUERY_WAIT_S: Final = 1.0
MS_PER_S: Final = 1000.0
_log = logbook.Logger("stream-versions")


@define(eq=False, kw_only=True)
class StreamVersionStore:
    """Writes the streams that the group has begun, and reads those of all groups on demand."""

    ledger: StreamLedger = field(factory=StreamLedger, init=False)
    _history: PoolVersionHistory
    _append_client: StoreClient
    _read_client: StoreClient
    _metrics: RelayMetrics
    _rng: Random
    # Returns the address of the first host of the group, or None if it is this one.
    _first_host: Callable[[float], Address | None]
    # Returns name and start of that host; a new start lacks what the one before was told.
    _first_host_start: Callable[[float], tuple[str, str]]
    _get_group_size: Callable[[], int]
    _send: Callable[[bytes, Address], None]
    # Asks a host for the version of a stream, and sends one that is known now.
    _ask: Callable[[str, Address], None]
    _reply: Callable[[str, Address], object]
    _now_s: float = field(default=float("-inf"), init=False)
    # First host of the group at the last check.
    _told_first: tuple[str, str] = field(default=("", ""), init=False)
    # Pools that have had several versions, at the last check.
    _mixed_pools: set[str] = field(factory=set, init=False)
    _next_check_s: float = field(default=float("-inf"), init=False)
    # Streams of the append in flight.
    _saving: dict[bytes, str] = field(factory=dict, init=False)
    _next_append_s: float = field(default=float("-inf"), init=False)
    _append_failures: int = field(default=0, init=False)
    _reading: LedgerReading = field(
        factory=lambda: LedgerReading(MAX_READ_RECORDS, MAX_READ_BYTES), init=False
    )
    # Monotonic times: from which a read is wanted, of the start of the read in progress (None: no
    # read), of the start of the last one that reached the end, and before which none is sent.
    _wanted_s: float = field(default=float("-inf"), init=False)
    _read_started_s: float | None = field(default=None, init=False)
    _complete_s: float = field(default=float("-inf"), init=False)
    _next_read_s: float = field(default=float("-inf"), init=False)
    _read_failures: int = field(default=0, init=False)
    _read_streams: int = field(default=0, init=False)
    # Queries of other hosts: when each arrived, where to reply, and the stream's id.
    _queries: deque[tuple[float, Address, str]] = field(
        factory=lambda: deque(maxlen=MAX_WAITING_QUERIES), init=False
    )

    def on_stream_begun(self, pool: str, call_id: str, software_version: str, now_s: float) -> None:
        """Records a stream that this host has begun; it is written if the pool is mixed."""
        stream = hash_stream(call_id)
        self.ledger.record_begun(pool, stream, software_version, now_s)
        if self._history.has_several(pool, now_s):
            self._pass_on(software_version, [stream], now_s)

    def on_notice(self, notice: StreamsNotice, now_s: float) -> None:
        """Takes streams that a host of the group has begun."""
        self.ledger.collect(notice.software_version, notice.streams, now_s)

    def on_new_era(self, now_s: float) -> None:
        """Writes and reads again: the store has come back from an older copy."""
        self._append_client.abandon_call()
        self._read_client.abandon_call()
        self._saving = {}
        self.ledger.on_store_restored(now_s)
        self._reading.restart()
        self._read_started_s, self._complete_s = None, float("-inf")

    def request_read(self, now_s: float, call_id: str = "") -> None:
        """Has this host read what was written until now, or asks the first host, which does that.

        Args:
            now_s: Present time.
            call_id: Id of the stream whose version is wanted; empty to prepare for any.
        """
        first_host = self._first_host(now_s)
        if self._may_read():
            self._wanted_s = now_s
        elif call_id and first_host is not None:
            self._ask(call_id, first_host)

    def is_read_pending(self, since_s: float) -> bool:
        """Tells whether what was written until a time may still become known to this host."""
        return not self._may_read() or self._complete_s < since_s

    def on_unknown_query(self, call_id: str, reply_to: Address, now_s: float) -> None:
        """Reads for another host of a large group, and replies if the stream is found."""
        is_large = self._get_group_size() > MAX_READING_GROUP
        if is_large and self._may_read() and self._mixed_pools:
            self._queries.append((now_s, reply_to, call_id))
            self._wanted_s = now_s

    def on_tick(self, now_s: float) -> None:
        """Sends the next calls to the store when they are due."""
        self._now_s = now_s
        self._append_client.on_tick(now_s)
        self._read_client.on_tick(now_s)
        if now_s >= self._next_check_s:
            self._next_check_s = now_s + CHECK_INTERVAL_S
            self._update_mixed_pools(now_s)
            self.ledger.expire(now_s)
        self._answer_queries(now_s)
        if (
            self.ledger.has_unsaved
            and not self._append_client.busy
            and now_s >= self._next_append_s
        ):
            self._append(now_s)
        is_wanted = self._complete_s < self._wanted_s or self._read_started_s is not None
        if (
            is_wanted
            and not self._read_client.busy
            and now_s >= self._next_read_s
            and self._may_read()
        ):
            self._read(now_s)

    def _may_read(self) -> bool:
        is_small = self._get_group_size() <= MAX_READING_GROUP
        return is_small or self._first_host(self._now_s) is None

    def _update_mixed_pools(self, now_s: float) -> None:
        """Passes on the streams of before a pool's second version, once it has one.

        Also those of pools that had several before, if the first host is another one or has started
        anew: what it was told while it was gone is lost.
        """
        pools = {pool for pool in self._history.pools if self._history.has_several(pool, now_s)}
        first = self._first_host_start(now_s)
        before, self._told_first = self._told_first, first
        for pool in pools if first != before else pools - self._mixed_pools:
            for version, streams in self.ledger.begun_streams(pool, now_s).items():
                self._pass_on(version, streams, now_s)
        if first != before and pools:
            _log.info("streams passed on to another first host", host=first[0], start=first[1])
        for pool in pools - self._mixed_pools:
            _log.info("pool has several versions", pool=pool)
        for pool in self._mixed_pools - pools:
            _log.info("pool has one version again", pool=pool)
        self._mixed_pools = pools

    def _pass_on(self, software_version: str, streams: Sequence[bytes], now_s: float) -> None:
        first_host = self._first_host(now_s)
        if first_host is None:
            self.ledger.collect(software_version, streams, now_s)
            return
        for start in range(0, len(streams), STREAMS_PER_DATAGRAM):
            part = streams[start : start + STREAMS_PER_DATAGRAM]
            self._send(encode_streams(software_version, part), first_host)

    def _append(self, now_s: float) -> None:
        self._next_append_s = now_s + APPEND_INTERVAL_S
        self._saving = self.ledger.take_unsaved()
        by_version: dict[str, list[bytes]] = {}
        for stream, version in self._saving.items():
            by_version.setdefault(version, []).append(stream)
        contents = [encode_stream_record(version, by_version[version]) for version in by_version]
        self._append_client.append(TOPIC_STREAM_VERSIONS, contents, self._on_appended)

    def _on_appended(self, result: AppendResult | StoreFailure) -> None:
        saving, self._saving = self._saving, {}
        if isinstance(result, StoreFailure):
            self._append_failures += 1
            self.ledger.put_back(saving)
            self._next_append_s = self._now_s + FAILURE_BACKOFF.delay_s(
                self._append_failures, self._rng
            )
            _log.info(
                "stream versions not written",
                streams=len(saving),
                status=result.status,
                detail=result.detail,
            )
            return
        if self._append_failures:
            _log.info("stream versions written", streams=len(saving), after=self._append_failures)
        self._append_failures = 0
        self._metrics.on_stream_versions_written(len(saving))

    def _read(self, now_s: float) -> None:
        if self._read_started_s is None:
            self._read_started_s = now_s
            self._next_read_s = now_s + READ_INTERVAL_S
            self._read_streams = 0
        offset = self._reading.next_offset
        if offset is None:
            self._read_client.read(
                TOPIC_STREAM_VERSIONS, 0, 0.0, self._on_page, max_kb=FIRST_READ_KB
            )
        else:
            self._read_client.read(TOPIC_STREAM_VERSIONS, offset, 0.0, self._on_page)

    def _on_page(self, result: RecordPage | StoreFailure) -> None:
        if isinstance(result, StoreFailure):
            if result.is_topic_missing:
                self._finish_read()
            elif result.records_gone and self._reading.next_offset != result.first_offset:
                self._reading.on_records_gone(result.first_offset)
                self._read(self._now_s)
            else:
                self._on_read_failed(result)
            return
        if not result.contents and not result.is_at_end:
            self._on_read_failed(StoreFailure("a page without records", 0, False))
            return
        notices = [decode_stream_record(content) for content in result.contents]
        for notice in notices:
            if notice is not None:
                self._read_streams += len(notice.streams)
                self.ledger.on_read(notice.software_version, notice.streams, self._now_s)
        if None in notices:
            _log.warning("unreadable stream versions", records=notices.count(None))
        size_bytes = sum(len(content) for content in result.contents)
        is_end = self._reading.on_page(
            result.next_offset, result.end_offset, len(result.contents), size_bytes
        )
        if is_end:
            self._finish_read()
        else:
            self._read(self._now_s)

    def _finish_read(self) -> None:
        started_s, self._read_started_s = self._read_started_s, None
        self._read_failures = 0
        if started_s is None:
            return
        self._complete_s = started_s
        self._metrics.on_stream_versions_read(self._read_streams)
        _log.info(
            "stream versions read",
            streams=self._read_streams,
            end_offset=self._reading.next_offset,
            waited_ms=round((self._now_s - started_s) * MS_PER_S),
        )
        self._answer_queries(self._now_s)

    def _on_read_failed(self, failure: StoreFailure) -> None:
        self._read_failures += 1
        self._read_started_s = None
        self._reading.restart()
        self._next_read_s = self._now_s + FAILURE_BACKOFF.delay_s(self._read_failures, self._rng)
        _log.info("stream versions not read", status=failure.status, detail=failure.detail)

    def _answer_queries(self, now_s: float) -> None:
        """Replies to the queries whose streams are known; drops those that were read in vain."""
        for _ in range(len(self._queries)):
            asked_s, reply_to, call_id = query = self._queries.popleft()
            if self.ledger.find(call_id) is not None:
                self._reply(call_id, reply_to)
            elif self._complete_s < asked_s and now_s - asked_s < QUERY_WAIT_S:
                self._queries.append(query)

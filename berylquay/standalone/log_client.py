"""The log client: appends records to the platform's log and follows its streams.

The decisions are made in `berylquay.decisions.pending_appends` and
`berylquay.decisions.stream_reads`; this component sends the requests and posts the results.
"""

import time
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Final

import logbook
from circuits import BaseComponent, handler
from returns.result import Failure

from berylquay.call_verdicts import Verdict
from berylquay.component_messages import (
    LogReachabilityChanged,
    RecordAppendFailed,
    RecordAppendRequested,
    RecordAppendUnsettled,
    RecordsRead,
    StreamFollowRequested,
)
from berylquay.decisions.fleet import Address
from berylquay.decisions.pending_appends import (
    AppendAttempt,
    AppendLimits,
    AppendRequest,
    LogReachability,
    PendingAppends,
)
from berylquay.decisions.stream_reads import PageOffsets, ReadAttempt, StreamReadScheduler
from berylquay.net.http_client import STATUS_OK, HttpRequest
from berylquay.net.message_bus import BUS, post
from berylquay.net.process_messages import Tick
from berylquay.net.tcp_connections import TcpConnections
from berylquay.standalone.json_exchange import ExchangeOutcome, JsonExchange, JsonResponse
from berylquay.standalone.records import LogRecord, decode_records, encode_records

APPEND_REQUEST_TIMEOUT_S: Final = 1.0
# Added to the time for which a long poll may wait at the log.
READ_TIMEOUT_MARGIN_S: Final = 1.5
MAX_RECORDS_PER_PAGE: Final = 100
CLIENT_ERROR_STATUSES: Final = range(400, 500)
_log = logbook.Logger("log")


class LogClient(BaseComponent):
    """Appends records and follows streams on behalf of all components of the process."""

    channel = BUS

    _connections: TcpConnections
    # Where the log service listens.
    _address: Address
    # Records that are queued for appending or whose appends are not confirmed yet.
    _pending_appends: PendingAppends
    # Schedules the reads of the followed streams.
    _read_scheduler: StreamReadScheduler
    # Tracks whether the log is reachable.
    _reachability: LogReachability
    # Exchanges in flight.
    _exchanges: set[JsonExchange]

    def __init__(
        self, connections: TcpConnections, address: Address, limits: AppendLimits, rng: Random
    ) -> None:
        super().__init__()
        self._connections = connections
        self._address = address
        self._pending_appends = PendingAppends(limits, rng)
        self._read_scheduler = StreamReadScheduler(rng)
        self._reachability = LogReachability()
        self._exchanges = set()

    @handler("RecordAppendRequested")
    def _on_append_requested(self, message: RecordAppendRequested) -> None:
        request = AppendRequest(
            message.stream, message.record, message.groupable, message.timeout_s
        )
        now_s = time.monotonic()
        refused = self._pending_appends.add(request, now_s)
        if refused is not None:
            post(self, RecordAppendFailed(refused.stream, refused.record_id, refused.detail))
        self._start_appends(now_s)

    @handler("StreamFollowRequested")
    def _on_follow_requested(self, message: StreamFollowRequested) -> None:
        now_s = time.monotonic()
        self._read_scheduler.follow(message.stream, message.from_offset, now_s)
        self._start_reads(now_s)

    @handler("Tick")
    def _on_tick(self, message: Tick) -> None:
        for exchange in tuple(self._exchanges):
            exchange.expire_if_overdue(message.now_s)
        self._start_appends(message.now_s)
        self._start_reads(message.now_s)
        for abandoned in self._pending_appends.abandon_overdue(message.now_s):
            message_class = (
                RecordAppendFailed
                if abandoned.verdict is Verdict.NOT_RUN
                else RecordAppendUnsettled
            )
            post(self, message_class(abandoned.stream, abandoned.record_id, abandoned.detail))

    def _start_appends(self, now_s: float) -> None:
        for attempt in self._pending_appends.start_due(now_s):
            body = encode_records(attempt.records).encode()
            request = HttpRequest("POST", f"/v1/streams/{attempt.stream}/records", body)
            self._start_exchange(
                request, now_s + APPEND_REQUEST_TIMEOUT_S, partial(self._on_append_outcome, attempt)
            )

    def _start_reads(self, now_s: float) -> None:
        for attempt in self._read_scheduler.start_due(now_s):
            query = (
                f"from={attempt.from_offset}&max={MAX_RECORDS_PER_PAGE}"
                f"&wait_s={attempt.long_poll_wait_s}"
            )
            request = HttpRequest("GET", f"/v1/streams/{attempt.stream}/records?{query}")
            deadline_s = now_s + attempt.long_poll_wait_s + READ_TIMEOUT_MARGIN_S
            self._start_exchange(request, deadline_s, partial(self._on_read_outcome, attempt))

    def _start_exchange(
        self, request: HttpRequest, deadline_s: float, on_outcome: Callable[[ExchangeOutcome], None]
    ) -> None:
        def on_end(outcome: ExchangeOutcome) -> None:
            self._exchanges.discard(exchange)
            self._update_reachability(outcome)
            on_outcome(outcome)

        exchange = JsonExchange(self._connections, self._address, request, deadline_s, on_end)
        self._exchanges.add(exchange)

    def _update_reachability(self, outcome: ExchangeOutcome) -> None:
        now_s = time.monotonic()
        if isinstance(outcome, Failure):
            changed = self._reachability.on_failure(now_s)
        else:
            changed = self._reachability.on_answer(now_s)
        if changed:
            reachable = bool(self._reachability.reachable)
            _log.info("reachability changed", reachable=reachable, address=str(self._address))
            post(self, LogReachabilityChanged(reachable))

    def _on_append_outcome(self, attempt: AppendAttempt, outcome: ExchangeOutcome) -> None:
        now_s = time.monotonic()
        if isinstance(outcome, Failure):
            error = outcome.failure()
            self._pending_appends.on_failed(attempt.attempt_id, error.verdict, error.detail, now_s)
            return
        response = outcome.unwrap()
        if response.status == STATUS_OK:
            self._pending_appends.on_appended(attempt.attempt_id)
            self._read_scheduler.read_soon(attempt.stream, now_s)
            return
        self._pending_appends.on_failed(
            attempt.attempt_id,
            Verdict.NOT_RUN if response.status in CLIENT_ERROR_STATUSES else Verdict.MAY_HAVE_RUN,
            f"the log answered with status {response.status}",
            now_s,
            response.retry_after_s,
        )

    def _on_read_outcome(self, attempt: ReadAttempt, outcome: ExchangeOutcome) -> None:
        now_s = time.monotonic()
        if isinstance(outcome, Failure):
            self._read_scheduler.on_failed(attempt, now_s)
            return
        try:
            offsets, records = _parse_page(outcome.unwrap())
        except (ValueError, KeyError, TypeError) as error:
            _log.warning("invalid response to a log read", stream=attempt.stream, error=repr(error))
            self._read_scheduler.on_failed(attempt, now_s)
            return
        if not self._read_scheduler.on_page(attempt, offsets, now_s):
            return
        self._pending_appends.on_read_back(record.record_id for record in records)
        post(
            self,
            RecordsRead(
                stream=attempt.stream,
                records=records,
                first_offset=offsets.first_offset,
                next_offset=offsets.next_offset,
                sent_s=attempt.sent_s,
            ),
        )


def _parse_page(response: JsonResponse) -> tuple[PageOffsets, tuple[LogRecord, ...]]:
    if response.status != STATUS_OK:
        raise ValueError(response.status)
    items = response.body["records"]
    if not isinstance(items, list):
        raise TypeError(items)
    records = [record for offset, data in items for record in decode_records(int(offset), data)]
    offsets = PageOffsets(
        first_offset=int(str(response.body["first_offset"])),
        next_offset=int(str(response.body["next_offset"])),
        end_offset=records[-1].offset + 1 if records else None,
    )
    return offsets, tuple(records)

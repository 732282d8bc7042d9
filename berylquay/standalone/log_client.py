"""The log client: appends records to the platform's log and follows its streams.

The decisions are in `berylquay.decisions.pending_appends` and `berylquay.decisions.stream_reads`;
this component sends what they ask for and posts what comes back.
"""

import time
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Final

import logbook
from circuits import BaseComponent, handler
from returns.result import Failure

from berylquay.decisions.fleet import Address
from berylquay.decisions.pending_appends import (
    AppendAttempt,
    AppendLimits,
    AppendRequest,
    LogReachability,
    PendingAppends,
)
from berylquay.decisions.stream_reads import PageOffsets, ReadAttempt, StreamReadScheduler
from berylquay.messages import (
    LogReachabilityChanged,
    RecordAppendFailed,
    RecordAppendRequested,
    RecordAppendUnsettled,
    RecordsRead,
    StreamFollowRequested,
    Tick,
)
from berylquay.net.bus import BUS, post
from berylquay.net.connections import Connections
from berylquay.net.http_client import STATUS_OK, HttpRequest
from berylquay.standalone.json_exchange import JsonAnswer, JsonExchange, Outcome
from berylquay.standalone.records import LogRecord, decode_records, encode_records
from berylquay.verdicts import Verdict

APPEND_TIMEOUT_S: Final = 1.0
READ_TIMEOUT_S: Final = 1.5
PAGE_RECORDS: Final = 100
CLIENT_ERRORS: Final = range(400, 500)
_log = logbook.Logger("log")


class LogClient(BaseComponent):
    """Serves appends and follows streams for all components of the process."""

    channel = BUS

    # Opens the connections.
    _outbound: Connections
    # Where the log service listens.
    _address: Address
    # What is still to be appended.
    _appends: PendingAppends
    # What is to be read when.
    _reads: StreamReadScheduler
    # Whether the log answers.
    _reachability: LogReachability
    # Exchanges that are under way.
    _exchanges: set[JsonExchange]

    def __init__(
        self, outbound: Connections, address: Address, limits: AppendLimits, rng: Random
    ) -> None:
        super().__init__()
        self._outbound = outbound
        self._address = address
        self._appends = PendingAppends(limits, rng)
        self._reads = StreamReadScheduler(rng)
        self._reachability = LogReachability()
        self._exchanges = set()

    @handler("RecordAppendRequested")
    def _on_append_requested(self, message: RecordAppendRequested) -> None:
        request = AppendRequest(
            message.stream, message.record, message.groupable, message.give_up_after_s
        )
        now_s = time.monotonic()
        refused = self._appends.add(request, now_s)
        if refused is not None:
            post(self, RecordAppendFailed(refused.stream, refused.record_id, refused.detail))
        self._start_appends(now_s)

    @handler("StreamFollowRequested")
    def _on_follow_requested(self, message: StreamFollowRequested) -> None:
        now_s = time.monotonic()
        self._reads.follow(message.stream, message.from_offset, now_s)
        self._start_reads(now_s)

    @handler("Tick")
    def _on_tick(self, message: Tick) -> None:
        for exchange in tuple(self._exchanges):
            exchange.expire(message.now_s)
        self._start_appends(message.now_s)
        self._start_reads(message.now_s)
        for ended in self._appends.abandon_overdue(message.now_s):
            kind = RecordAppendFailed if ended.verdict is Verdict.NOT_RUN else RecordAppendUnsettled
            post(self, kind(ended.stream, ended.record_id, ended.detail))

    def _start_appends(self, now_s: float) -> None:
        for attempt in self._appends.start_due(now_s):
            body = encode_records(attempt.records).encode()
            request = HttpRequest("POST", f"/v1/streams/{attempt.stream}/records", body)
            self._exchange(request, now_s + APPEND_TIMEOUT_S, partial(self._on_append, attempt))

    def _start_reads(self, now_s: float) -> None:
        for attempt in self._reads.start_due(now_s):
            query = (
                f"from={attempt.from_offset}&max={PAGE_RECORDS}&wait_s={attempt.long_poll_wait_s}"
            )
            request = HttpRequest("GET", f"/v1/streams/{attempt.stream}/records?{query}")
            deadline_s = now_s + attempt.long_poll_wait_s + READ_TIMEOUT_S
            self._exchange(request, deadline_s, partial(self._on_page, attempt))

    def _exchange(
        self, request: HttpRequest, deadline_s: float, on_outcome: Callable[[Outcome], None]
    ) -> None:
        def end(outcome: Outcome) -> None:
            self._exchanges.discard(exchange)
            self._note_reachability(outcome)
            on_outcome(outcome)

        exchange = JsonExchange(self._outbound, self._address, request, deadline_s, end)
        self._exchanges.add(exchange)

    def _note_reachability(self, outcome: Outcome) -> None:
        now_s = time.monotonic()
        if isinstance(outcome, Failure):
            changed = self._reachability.on_failure(now_s)
        else:
            changed = self._reachability.on_answer(now_s)
        if changed:
            reachable = bool(self._reachability.reachable)
            _log.info("reachability changed", reachable=reachable, address=str(self._address))
            post(self, LogReachabilityChanged(reachable))

    def _on_append(self, attempt: AppendAttempt, outcome: Outcome) -> None:
        now_s = time.monotonic()
        if isinstance(outcome, Failure):
            error = outcome.failure()
            self._appends.on_failed(attempt.attempt_id, error.verdict, error.detail, now_s)
            return
        answer = outcome.unwrap()
        if answer.status == STATUS_OK:
            self._appends.on_appended(attempt.attempt_id)
            self._reads.read_soon(attempt.stream, now_s)
            return
        self._appends.on_failed(
            attempt.attempt_id,
            Verdict.NOT_RUN if answer.status in CLIENT_ERRORS else Verdict.MAY_HAVE_RUN,
            f"the log answered with status {answer.status}",
            now_s,
            answer.retry_after_s,
        )

    def _on_page(self, attempt: ReadAttempt, outcome: Outcome) -> None:
        now_s = time.monotonic()
        if isinstance(outcome, Failure):
            self._reads.on_failed(attempt, now_s)
            return
        try:
            bounds, records = _parse_page(outcome.unwrap())
        except (ValueError, KeyError, TypeError) as error:
            _log.warning("unusable page", stream=attempt.stream, error=repr(error))
            self._reads.on_failed(attempt, now_s)
            return
        if not self._reads.on_page(attempt, bounds, now_s):
            return
        self._appends.on_read(record.record_id for record in records)
        post(
            self,
            RecordsRead(
                stream=attempt.stream,
                records=records,
                first_offset=bounds.first_offset,
                next_offset=bounds.next_offset,
                asked_s=attempt.sent_s,
            ),
        )


def _parse_page(answer: JsonAnswer) -> tuple[PageOffsets, tuple[LogRecord, ...]]:
    if answer.status != STATUS_OK:
        raise ValueError(answer.status)
    items = answer.value["records"]
    if not isinstance(items, list):
        raise TypeError(items)
    records = [record for offset, data in items for record in decode_records(int(offset), data)]
    bounds = PageOffsets(
        first_offset=int(str(answer.value["first_offset"])),
        next_offset=int(str(answer.value["next_offset"])),
        end_offset=records[-1].offset + 1 if records else None,
    )
    return bounds, tuple(records)

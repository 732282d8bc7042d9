"""Pending appends of this host to the platform's log: attempts, retries and outcomes.

An append adds one record to a stream of the log. It is retried under its record id until it is
answered, is read back (a read of the stream returned the record), or reaches its deadline. An
attempt whose response was lost may have taken effect, so an append with such an attempt is never
reported as failed: only reading the stream further shows its outcome.
"""

from collections.abc import Iterable, Sequence
from random import Random
from typing import Final

from attrs import define, field, frozen

from berylquay.call_verdicts import Verdict
from berylquay.decisions.backoff import Backoff
from berylquay.decisions.token_bucket import TokenBucket
from berylquay.standalone.records import NewRecord

APPEND_BACKOFF: Final = Backoff(min_delay_s=0.05, max_delay_s=2.0)


@frozen
class AppendLimits:
    """Limits on this host's append requests to the log."""

    # Sustained rate of append requests.
    appends_per_s: float = 20.0
    # Append requests that may be sent in a burst.
    burst_appends: float = 20.0
    # Maximum number of append requests in flight.
    max_in_flight: int = 8
    # Maximum number of pending records.
    max_pending: int = 2000
    # Maximum number of records in one group, which is sent as one append request.
    max_group_records: int = 64


@frozen
class AppendRequest:
    """A component's request to append a record to the log."""

    stream: str
    record: NewRecord
    # Whether the record may share an offset with others of this host.
    groupable: bool
    # Time from the request after which no further attempt is started.
    timeout_s: float


@frozen
class AppendAttempt:
    """Command: append the records, in this order, as one record of the stream."""

    attempt_id: int
    stream: str
    records: tuple[NewRecord, ...]


@frozen
class AppendAbandoned:
    """Outcome of an append that is no longer attempted and was not seen to succeed."""

    stream: str
    record_id: str
    # NOT_RUN if the record is not in the log and will not be; MAY_HAVE_RUN if that is unknown.
    verdict: Verdict
    detail: str


@define(eq=False)
class _PendingAppend:
    """A record that is not known to be in the log and whose append is not abandoned."""

    request: AppendRequest
    deadline_s: float
    next_attempt_s: float
    failures: int = 0
    in_flight: bool = False
    may_have_succeeded: bool = False
    was_read_back: bool = False
    detail: str = "the log was not reached"


class PendingAppends:
    """Decides which appends to attempt and when, and tracks what is known of their outcome."""

    _limits: AppendLimits
    # Source of the retry jitter.
    _rng: Random
    # Pending appends by record id, oldest first.
    _pending: dict[str, _PendingAppend]
    # Pending appends of each attempt in flight, by attempt id.
    _attempts_in_flight: dict[int, tuple[_PendingAppend, ...]]
    # Number of attempts so far, which is the id of the latest.
    _attempt_count: int
    # Limits the attempts per second.
    _rate_limit: TokenBucket

    def __init__(self, limits: AppendLimits, rng: Random) -> None:
        self._limits = limits
        self._rng = rng
        self._pending = {}
        self._attempts_in_flight = {}
        self._attempt_count = 0
        self._rate_limit = TokenBucket(limits.appends_per_s, limits.burst_appends)

    def __len__(self) -> int:
        """Returns the number of pending appends."""
        return len(self._pending)

    def add(self, request: AppendRequest, now_s: float) -> AppendAbandoned | None:
        """Adds an append, or returns why it is not attempted at all.

        A record whose id is already pending is ignored.
        """
        record_id = request.record.record_id
        if record_id in self._pending:
            return None
        if len(self._pending) >= self._limits.max_pending:
            detail = "too many records wait for the log"
            return AppendAbandoned(request.stream, record_id, Verdict.NOT_RUN, detail)
        deadline_s = now_s + request.timeout_s
        self._pending[record_id] = _PendingAppend(request, deadline_s, next_attempt_s=now_s)
        return None

    def start_due(self, now_s: float) -> list[AppendAttempt]:
        """Starts the attempts that are due, within the limits, and returns them."""
        started: list[AppendAttempt] = []
        for pending in list(self._pending.values()):
            if not self._may_start(now_s):
                break
            if not self._is_due(pending, now_s):
                continue
            group = self._collect_group(pending, now_s)
            if group:
                started.append(self._start(group))
        return started

    def on_appended(self, attempt_id: int) -> None:
        """Drops the attempt's appends: the log has answered with an offset."""
        for pending in self._attempts_in_flight.pop(attempt_id, ()):
            self._pending.pop(pending.request.record.record_id, None)

    def on_failed(
        self,
        attempt_id: int,
        verdict: Verdict,
        detail: str,
        now_s: float,
        retry_after_s: float = 0.0,
    ) -> None:
        """Schedules a retry of the attempt's appends, except for records already read from the log.

        Args:
            attempt_id: Attempt that failed; an unknown one is ignored.
            verdict: Whether the attempt may have taken effect; only NOT_RUN rules it out.
            detail: Reason of the failure, for the outcome if the append is abandoned.
            now_s: Present time.
            retry_after_s: Minimum time until the retry.
        """
        for pending in self._attempts_in_flight.pop(attempt_id, ()):
            if pending.was_read_back:
                self._pending.pop(pending.request.record.record_id, None)
                continue
            pending.in_flight = False
            pending.failures += 1
            pending.detail = detail
            pending.may_have_succeeded |= verdict is not Verdict.NOT_RUN
            delay_s = APPEND_BACKOFF.delay_s(pending.failures, self._rng)
            pending.next_attempt_s = now_s + max(delay_s, retry_after_s)

    def on_read_back(self, record_ids: Iterable[str]) -> None:
        """Drops the appends whose records were read from the log, once they are not in flight."""
        for record_id in record_ids:
            pending = self._pending.get(record_id)
            if pending is None:
                continue
            pending.was_read_back = True
            if not pending.in_flight:
                del self._pending[record_id]

    def abandon_overdue(self, now_s: float) -> list[AppendAbandoned]:
        """Drops the appends past their deadline that are not in flight; returns their outcomes."""
        abandoned: list[AppendAbandoned] = []
        for record_id, pending in list(self._pending.items()):
            if pending.in_flight or now_s < pending.deadline_s:
                continue
            del self._pending[record_id]
            verdict = Verdict.MAY_HAVE_RUN if pending.may_have_succeeded else Verdict.NOT_RUN
            abandoned.append(
                AppendAbandoned(pending.request.stream, record_id, verdict, pending.detail)
            )
        return abandoned

    def _may_start(self, now_s: float) -> bool:
        return (
            self._rate_limit.has_token(now_s)
            and len(self._attempts_in_flight) < self._limits.max_in_flight
        )

    def _is_due(self, pending: _PendingAppend, now_s: float) -> bool:
        return not pending.in_flight and pending.next_attempt_s <= now_s < pending.deadline_s

    def _collect_group(self, first: _PendingAppend, now_s: float) -> tuple[_PendingAppend, ...]:
        if not first.request.groupable:
            return (first,)
        stream = first.request.stream
        if self._has_group_in_flight(stream):
            # Records that are added meanwhile share the next append.
            return ()
        group = [
            pending
            for pending in self._pending.values()
            if pending.request.groupable
            and pending.request.stream == stream
            and self._is_due(pending, now_s)
        ]
        return tuple(group[: self._limits.max_group_records])

    def _has_group_in_flight(self, stream: str) -> bool:
        return any(
            group[0].request.groupable and group[0].request.stream == stream
            for group in self._attempts_in_flight.values()
        )

    def _start(self, group: Sequence[_PendingAppend]) -> AppendAttempt:
        self._rate_limit.take()
        self._attempt_count += 1
        self._attempts_in_flight[self._attempt_count] = tuple(group)
        for pending in group:
            pending.in_flight = True
        records = tuple(pending.request.record for pending in group)
        return AppendAttempt(self._attempt_count, group[0].request.stream, records)


@define
class LogReachability:
    """Derives from the outcomes of requests whether the log service is reachable."""

    # Time without an answer after which a failure marks the service as unreachable.
    unreachable_after_s: float = 3.0
    # Whether the service is reachable, or None while unknown.
    reachable: bool | None = None
    # Time of the last answer or, before any, of the first failure.
    _last_answer_s: float | None = field(default=None, init=False)

    def on_answer(self, now_s: float) -> bool:
        """Records an answer; returns whether `reachable` changed."""
        self._last_answer_s = now_s
        changed = self.reachable is not True
        self.reachable = True
        return changed

    def on_failure(self, now_s: float) -> bool:
        """Records a failure; returns whether `reachable` changed."""
        if self._last_answer_s is None:
            self._last_answer_s = now_s
        if self.reachable is False or now_s < self._last_answer_s + self.unreachable_after_s:
            return False
        self.reachable = False
        return True

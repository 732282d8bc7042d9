"""Pending appends: what this host still has to get into the platform's log, and what is settled.

An append is retried under its record id until it was answered, was read back, or its time is up.
An attempt whose answer was lost may have taken effect, so an append with such an attempt is never
called failed: only reading on tells.
"""

from collections.abc import Iterable, Sequence
from random import Random
from typing import Final

from attrs import define, field, frozen

from berylquay.decisions.backoff import Backoff
from berylquay.decisions.token_bucket import TokenBucket
from berylquay.standalone.records import NewRecord
from berylquay.verdicts import Verdict

APPEND_BACKOFF: Final = Backoff(min_delay_s=0.05, max_delay_s=2.0)


@frozen
class AppendLimits:
    """Bounds on what this host asks of the log."""

    # Exchanges that append, per second.
    appends_per_s: float = 20.0
    # Exchanges that append, at once after a quiet time.
    burst: float = 20.0
    # Exchanges that append and are under way.
    max_in_flight: int = 8
    # Records that wait for their append.
    max_pending: int = 2000
    # Records in one group.
    max_group_records: int = 64


@frozen
class AppendRequest:
    """A record that a component wants in the log."""

    stream: str
    record: NewRecord
    # Whether the record may share an offset with others of this host.
    groupable: bool
    # Time after which no further attempt is started.
    give_up_after_s: float


@frozen
class AppendAttempt:
    """Command: append the records, in this order, as one record of the stream."""

    attempt_id: int
    stream: str
    records: tuple[NewRecord, ...]


@frozen
class AppendAbandoned:
    """Outcome of an append that is tried no more."""

    stream: str
    record_id: str
    # NOT_RUN if the record is not in the log and will not be; MAY_HAVE_RUN if that is unknown.
    verdict: Verdict
    detail: str


@define(eq=False)
class _PendingAppend:
    """A record that is neither known to be in the log nor given up on."""

    request: AppendRequest
    deadline_s: float
    next_attempt_s: float
    failures: int = 0
    in_flight: bool = False
    may_have_succeeded: bool = False
    was_read_back: bool = False
    detail: str = "the log was not reached"


class PendingAppends:
    """Decides which append to send when, and what is known of each."""

    # Bounds.
    _limits: AppendLimits
    # Draws the jitter.
    _rng: Random
    # Records by id, oldest first.
    _pending: dict[str, _PendingAppend]
    # Records of each attempt that is under way.
    _attempts: dict[int, tuple[_PendingAppend, ...]]
    # Number of attempts so far.
    _attempt_count: int
    # Bounds the attempts per second.
    _rate_limit: TokenBucket

    def __init__(self, limits: AppendLimits, rng: Random) -> None:
        self._limits = limits
        self._rng = rng
        self._pending = {}
        self._attempts = {}
        self._attempt_count = 0
        self._rate_limit = TokenBucket(limits.appends_per_s, limits.burst)

    def __len__(self) -> int:
        """Returns the number of records that wait."""
        return len(self._pending)

    def add(self, request: AppendRequest, now_s: float) -> AppendAbandoned | None:
        """Takes a record in, or returns why it is not tried at all."""
        record_id = request.record.record_id
        if record_id in self._pending:
            return None
        if len(self._pending) >= self._limits.max_pending:
            detail = "too many records wait for the log"
            return AppendAbandoned(request.stream, record_id, Verdict.NOT_RUN, detail)
        deadline_s = now_s + request.give_up_after_s
        self._pending[record_id] = _PendingAppend(request, deadline_s, next_attempt_s=now_s)
        return None

    def start_due(self, now_s: float) -> list[AppendAttempt]:
        """Returns the attempts to send now."""
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
        """Notes that the log answered the attempt with an offset."""
        for pending in self._attempts.pop(attempt_id, ()):
            self._pending.pop(pending.request.record.record_id, None)

    def on_failed(
        self,
        attempt_id: int,
        verdict: Verdict,
        detail: str,
        now_s: float,
        retry_after_s: float = 0.0,
    ) -> None:
        """Notes that the attempt failed; the verdict says whether it may have taken effect."""
        for pending in self._attempts.pop(attempt_id, ()):
            if pending.was_read_back:
                self._pending.pop(pending.request.record.record_id, None)
                continue
            pending.in_flight = False
            pending.failures += 1
            pending.detail = detail
            pending.may_have_succeeded |= verdict is not Verdict.NOT_RUN
            delay_s = APPEND_BACKOFF.delay_s(pending.failures, self._rng)
            pending.next_attempt_s = now_s + max(delay_s, retry_after_s)

    def on_read(self, record_ids: Iterable[str]) -> None:
        """Settles the records that were read back."""
        for record_id in record_ids:
            pending = self._pending.get(record_id)
            if pending is None:
                continue
            pending.was_read_back = True
            if not pending.in_flight:
                del self._pending[record_id]

    def abandon_overdue(self, now_s: float) -> list[AppendAbandoned]:
        """Drops the appends whose time is up and returns what is known of them."""
        ended: list[AppendAbandoned] = []
        for record_id, pending in list(self._pending.items()):
            if pending.in_flight or now_s < pending.deadline_s:
                continue
            del self._pending[record_id]
            verdict = Verdict.MAY_HAVE_RUN if pending.may_have_succeeded else Verdict.NOT_RUN
            ended.append(
                AppendAbandoned(pending.request.stream, record_id, verdict, pending.detail)
            )
        return ended

    def _may_start(self, now_s: float) -> bool:
        return (
            self._rate_limit.has_token(now_s) and len(self._attempts) < self._limits.max_in_flight
        )

    def _is_due(self, pending: _PendingAppend, now_s: float) -> bool:
        return not pending.in_flight and pending.next_attempt_s <= now_s < pending.deadline_s

    def _collect_group(self, first: _PendingAppend, now_s: float) -> tuple[_PendingAppend, ...]:
        if not first.request.groupable:
            return (first,)
        stream = first.request.stream
        if self._has_group_in_flight(stream):
            # Records that come meanwhile share the next append.
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
            for group in self._attempts.values()
        )

    def _start(self, group: Sequence[_PendingAppend]) -> AppendAttempt:
        self._rate_limit.take()
        self._attempt_count += 1
        self._attempts[self._attempt_count] = tuple(group)
        for pending in group:
            pending.in_flight = True
        records = tuple(pending.request.record for pending in group)
        return AppendAttempt(self._attempt_count, group[0].request.stream, records)


@define
class LogReachability:
    """Judges from the exchanges' outcomes whether the log service answers."""

    # Time without an answer after which the service counts as away.
    unreachable_after_s: float = 3.0
    # The last judgement, or None before the first.
    reachable: bool | None = None
    # Time of the last answer or, before any, of the first failure.
    _last_answer_s: float | None = field(default=None, init=False)

    def on_answer(self, now_s: float) -> bool:
        """Notes an answer; returns whether the judgement changed."""
        self._last_answer_s = now_s
        changed = self.reachable is not True
        self.reachable = True
        return changed

    def on_failure(self, now_s: float) -> bool:
        """Notes a failure; returns whether the judgement changed."""
        if self._last_answer_s is None:
            self._last_answer_s = now_s
        if self.reachable is False or now_s < self._last_answer_s + self.unreachable_after_s:
            return False
        self.reachable = False
        return True

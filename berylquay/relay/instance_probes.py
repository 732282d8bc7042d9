"""Asks backend servers whether the instance still runs that has sent an answer.

All answers of a server that end at the same time share one question.
"""

from collections.abc import Callable
from typing import Final

import logbook
from attrs import define, field

from berylquay.decisions.attempt_outcomes import AttemptOutcome
from berylquay.decisions.backend_registry import BackendEntry, BackendRegistry
from berylquay.decisions.response_end import InstanceEvidence, InstanceState, WaitingTime
from berylquay.decisions.server_instance import ServerInstance
from berylquay.decisions.server_starts import ServerStarts
from berylquay.net.persistent_http import PersistentConnection, RawResponseHead
from berylquay.net.tcp_connections import CONNECTION_REFUSED
from berylquay.platform.request_codec import (
    decode_instance_statement,
    encode_health_request,
    encode_report_request,
)
from berylquay.relay.upstream_request import NoticeListener, UpstreamRequest

# Most bytes kept of an answer, which holds the server's state.
MAX_ANSWER_BYTES: Final = 65536
# Time after which a question is given up; a sound server may be silent for a second or so.
REPORT_TIMEOUT_S: Final = 2.0
# The same for a health check, which waits for a slot.
HEALTH_CHECK_TIMEOUT_S: Final = 10.0
NEWER_START: Final = "the list of servers has a newer start"
_log = logbook.Logger("exchange")


@define(eq=False)
class _Question:
    """One question to a server; handles the answer."""

    backend: BackendEntry
    asked_s: float
    # Called with the question when it has an answer, and when it has failed: outcome and detail.
    _on_answered: "Callable[[_Question, UpstreamRequest], None]"
    _on_failed: "Callable[[_Question, UpstreamRequest, AttemptOutcome, str], None]"
    body: bytearray = field(factory=bytearray)

    def on_upstream_head(self, upstream: UpstreamRequest, head: RawResponseHead) -> None:
        """Does nothing: the response is evaluated once it is complete."""

    def on_upstream_data(self, upstream: UpstreamRequest, data: bytes) -> None:
        """Appends to the body, up to the size limit."""
        self.body += data[: MAX_ANSWER_BYTES - len(self.body)]

    def on_upstream_complete(self, upstream: UpstreamRequest) -> None:
        """Passes on the answer."""
        self._on_answered(self, upstream)

    def on_upstream_failed(
        self, upstream: UpstreamRequest, outcome: AttemptOutcome, detail: str
    ) -> None:
        """Passes on a rejection, which states the server's name too, or the failure."""
        if outcome in (AttemptOutcome.REJECTED, AttemptOutcome.WRONG_SERVER):
            self._on_answered(self, upstream)
        else:
            self._on_failed(self, upstream, outcome, detail)


@define(eq=False)
class _Series:
    """The questions to one instance."""

    evidence: InstanceEvidence = field(factory=InstanceEvidence)
    # Open question, or None.
    upstream: UpstreamRequest | None = None
    # Time for which its answer has been awaited, and after which it is given up.
    waiting_time: WaitingTime = field(factory=lambda: WaitingTime(0.0))
    answer_timeout_s: float = REPORT_TIMEOUT_S
    # Whether a report has stated neither the server's name nor its start, so that a health check
    # is sent instead.
    states_no_start: bool = False
    # Whether the question was asked that a server may get while it wants no requests.
    has_asked_in_pause: bool = False


class InstanceProbes:
    """The questions to all servers."""

    _registry: BackendRegistry
    # Starts of servers that are known to have run.
    _starts: ServerStarts
    # Returns a new connection to a server, with the present time.
    _connect: Callable[[BackendEntry, float], PersistentConnection]
    # Returns the path of a pool's health checks; empty if it has none.
    _health_path: Callable[[str], str]
    _on_notice: NoticeListener
    # Reads the monotonic clock.
    _clock: Callable[[], float]
    _series: dict[ServerInstance, _Series]

    def __init__(
        self,
        registry: BackendRegistry,
        starts: ServerStarts,
        *,
        connect: Callable[[BackendEntry, float], PersistentConnection],
        health_path: Callable[[str], str],
        on_notice: NoticeListener,
        clock: Callable[[], float],
    ) -> None:
        self._registry = registry
        self._starts = starts
        self._connect = connect
        self._health_path = health_path
        self._on_notice = on_notice
        self._clock = clock
        self._series = {}

    def state_since(
        self, backend: BackendEntry, since_s: float, now_s: float
    ) -> tuple[InstanceState, str]:
        """Returns whether a server ran at a time or later, and why; asks it if that is not known.

        Args:
            backend: Entry of the instance.
            since_s: Monotonic time.
            now_s: Present monotonic time.
        """
        entry = self._registry.get(backend.name)
        if entry is not None and entry.started_unix_ms > backend.started_unix_ms:
            return InstanceState.ENDED, NEWER_START
        series = self._series.setdefault(backend.instance, _Series())
        evidence = series.evidence
        state = evidence.state_since(since_s)
        is_open = series.upstream is not None
        if state is InstanceState.UNKNOWN and not is_open and evidence.may_ask(now_s):
            self._ask(backend, series, now_s)
        return state, evidence.reason

    def on_start_stated(self, backend: BackendEntry, started_unix_ms: int, asked_s: float) -> None:
        """Records the start that has answered a question.

        Args:
            backend: Entry of the server that was asked.
            started_unix_ms: Start that the answer states.
            asked_s: Monotonic time at which the question was asked.
        """
        is_new = self._starts.on_answered(backend.name, started_unix_ms, asked_s, self._clock())
        if is_new:
            _log.warning(
                "server has started again",
                backend=backend.name,
                started_unix_ms=started_unix_ms,
                listed_unix_ms=backend.started_unix_ms,
                software_version=backend.software_version,
            )

    def on_tick(self, now_s: float) -> None:
        """Gives up questions that are not answered in time, and drops old results."""
        for instance, series in list(self._series.items()):
            upstream = series.upstream
            if upstream is None:
                is_paused = self._registry.notices.is_paused(instance)
                if series.evidence.is_outdated(now_s) and not is_paused:
                    del self._series[instance]
            elif upstream.is_stuck_connecting(now_s):
                upstream.give_up_connecting()
                self._fail(series, "no connection in time", upstream.started_s, was_refused=False)
            elif series.waiting_time.on_tick(now_s) > series.answer_timeout_s:
                upstream.cancel()
                self._fail(series, "no answer in time", upstream.started_s, was_refused=False)

    def _ask(self, backend: BackendEntry, series: _Series, now_s: float) -> None:
        is_paused = self._registry.notices.is_paused(backend.instance)
        if is_paused and series.has_asked_in_pause:
            self._fail(series, "the server wants no requests", now_s, was_refused=False)
            return
        if not self._registry.notices.limits.has_permit(backend.instance):
            # All answers that end until the next permit share its question.
            return
        series.has_asked_in_pause = is_paused
        health_path = self._health_path(backend.pool)
        if health_path and (backend.role is None or series.states_no_start):
            request = encode_health_request(backend.address, health_path, backend.name)
            series.answer_timeout_s = HEALTH_CHECK_TIMEOUT_S
        else:
            request = encode_report_request(backend.address, backend.name)
            series.answer_timeout_s = REPORT_TIMEOUT_S
        series.waiting_time = WaitingTime(now_s)
        series.upstream = UpstreamRequest(
            _Question(backend, now_s, self._on_answered, self._on_question_failed),
            backend,
            self._connect(backend, now_s),
            request,
            call_id="",
            on_notice=self._on_notice,
            now_s=now_s,
        )

    def _on_answered(self, question: _Question, upstream: UpstreamRequest) -> None:
        instance = question.backend.instance
        series, head = self._series.get(instance), upstream.head
        if series is None or head is None:
            return
        series.upstream = None
        statement = decode_instance_statement(head, bytes(question.body))
        if statement.started_unix_ms and statement.name in ("", instance.name):
            self.on_start_stated(question.backend, statement.started_unix_ms, question.asked_s)
        state = statement.judge(instance)
        if state is InstanceState.UNKNOWN:
            # A server that has turned the question away is the one that was asked: others answer
            # 421. What gives any other answer may be anything.
            if not (series.states_no_start and upstream.outcome is AttemptOutcome.REJECTED):
                series.states_no_start = True
                detail = "the answer names no server"
                self._fail(series, detail, question.asked_s, was_refused=False)
                return
            state = InstanceState.RUNNING
        reason = f"status {head.status}, name {statement.name!r}, born {statement.started_unix_ms}"
        series.evidence.on_result(state, reason, question.asked_s)

    def _on_question_failed(
        self,
        question: _Question,
        upstream: UpstreamRequest,
        outcome: AttemptOutcome,
        detail: str,
    ) -> None:
        series = self._series.get(question.backend.instance)
        if series is not None:
            # A gateway that can't be used says nothing of the server.
            was_refused = outcome is AttemptOutcome.NOT_SENT and detail == CONNECTION_REFUSED
            self._fail(series, detail, question.asked_s, was_refused=was_refused)

    def _fail(self, series: _Series, reason: str, asked_s: float, *, was_refused: bool) -> None:
        series.upstream = None
        series.evidence.on_failure(reason, asked_s, self._clock(), was_refused=was_refused)

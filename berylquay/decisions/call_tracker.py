"""Tracks each call through its attempts, from receipt to its complete answer or its refusal.

This state machine connects the callers' side with the backends' side. It takes messages with the
present time and returns messages to post; it has no sockets and reads no clock. A non-repeatable
call arrives here only after its idempotency key was granted to this host.
"""

from collections.abc import Sequence
from heapq import heappop, heappush
from random import Random
from typing import Final

from attrs import field, frozen

from berylquay.call_verdicts import Refusal, RefusalReason, Verdict
from berylquay.component_messages import (
    AttemptAnswered,
    AttemptCancelled,
    AttemptCompleted,
    AttemptFailed,
    AttemptRequested,
    AttemptSent,
    AttemptTokens,
    CallCompleted,
    CallRefused,
    PeerSendRequested,
    ProbeEnded,
    ProbeRequested,
    TokensForCaller,
)
from berylquay.decisions.admission import AdmissionPolicy, AdmitAll
from berylquay.decisions.available_servers import AvailableServers, HostLocation
from berylquay.decisions.calls import Attempt, Call
from berylquay.decisions.crash_history import Suspicion
from berylquay.decisions.failure_detection import FailureDetector, FailureDetectorLimits
from berylquay.decisions.fleet import LoadReport, MembershipView
from berylquay.decisions.isolation import IsolationClaims, IsolationTimings
from berylquay.decisions.open_calls import CallStage, OpenCall, OpenCalls
from berylquay.decisions.refusals import (
    CALLER_GONE_DETAIL,
    DEADLINE_DETAIL,
    QUARANTINE_DETAIL,
    refusal_of,
    refusal_without_servers,
)
from berylquay.decisions.retries import RetryBudget, RetryLimits, backoff_with_jitter_s
from berylquay.decisions.routing import RoutingPolicy
from berylquay.decisions.server_selection import ServerSelector
from berylquay.decisions.stall_detection import AttemptPhase, StallTimeouts
from berylquay.peers.payloads import CrashCleared, CrashReport, IsolationClaim, PeerPayload

CallCommand = (
    AttemptRequested
    | AttemptCancelled
    | TokensForCaller
    | CallCompleted
    | CallRefused
    | PeerSendRequested
    | ProbeRequested
)

# Interval between checks for stalled attempts.
STALL_CHECK_INTERVAL_S: Final = 0.25
# Interval at which a waiting call of a suspected content checks whether its server is available.
ISOLATION_POLL_INTERVAL_S: Final = 0.05
# Time after which an expected message from another part of this process counts as lost.
INTERNAL_TIMEOUT_S: Final = 3.0


@frozen
class CallTrackerOptions:
    """Limits and timeouts for the handling of calls, and the location of the host."""

    retry_limits: RetryLimits = field(factory=RetryLimits)
    stall_timeouts: StallTimeouts = field(factory=StallTimeouts)
    failure_detector: FailureDetectorLimits = field(factory=FailureDetectorLimits)
    isolation: IsolationTimings = field(factory=IsolationTimings)
    location: HostLocation = field(factory=HostLocation)


class CallTracker:
    """Keeps all open calls and decides the next step of each."""

    # Limits and timeouts.
    _options: CallTrackerOptions
    # Decides whether a call is admitted before its first attempt.
    _admission: AdmissionPolicy
    # Source of jitter.
    _rng: Random
    # Prefix that makes attempt ids unique among hosts and restarts.
    _incarnation: str
    # Calls without a final answer.
    _open_calls: OpenCalls
    # Budget that limits the retries of this host.
    _retry_budget: RetryBudget
    # Health of servers and crashes by content.
    _failure_detector: FailureDetector
    # Servers that can accept new work.
    _servers: AvailableServers
    # Claims of servers for isolated contents.
    _isolation: IsolationClaims
    # Selects servers for attempts.
    _server_selector: ServerSelector
    # Heap of start times and call ids of scheduled attempts, earliest first.
    _scheduled_attempts: list[tuple[float, str]]
    # Monotonic time of the next check for stalled attempts.
    _next_stall_check_s: float
    # Number of attempts started so far, used in their ids.
    _attempt_count: int

    def __init__(
        self,
        routing: RoutingPolicy,
        incarnation: str,
        options: CallTrackerOptions | None = None,
        admission: AdmissionPolicy | None = None,
        rng: Random | None = None,
    ) -> None:
        self._options = options or CallTrackerOptions()
        self._admission = admission or AdmitAll()
        self._rng = rng or Random(incarnation)
        self._incarnation = incarnation
        self._open_calls = OpenCalls()
        self._retry_budget = RetryBudget(self._options.retry_limits)
        self._failure_detector = FailureDetector(self._options.failure_detector, self._rng)
        self._servers = AvailableServers(self._options.location, self._failure_detector.health)
        self._isolation = IsolationClaims(self._options.isolation, self._options.location.host)
        self._server_selector = ServerSelector(
            routing, self._servers, self._failure_detector.crash_history, self._isolation
        )
        self._scheduled_attempts = []
        self._next_stall_check_s = 0.0
        self._attempt_count = 0

    @property
    def open_count(self) -> int:
        """Returns the number of calls without a final answer."""
        return len(self._open_calls)

    def in_flight(self, backend: str) -> int:
        """Returns the number of attempts that this host has in flight on a backend server."""
        return self._servers.in_flight(backend)

    def on_membership(self, view: MembershipView) -> None:
        """Replaces the membership list."""
        self._servers.on_membership(view)

    def on_load(self, report: LoadReport) -> None:
        """Records a load report."""
        self._servers.on_load(report)

    def on_configured_drains(self, draining: frozenset[str]) -> None:
        """Replaces the set of servers that the configuration in force drains."""
        self._servers.on_configured_drains(draining)

    def on_drain_changed(self, backend: str, draining: bool) -> None:
        """Applies an order to start or end the drain of a server."""
        self._servers.on_drain_changed(backend, draining)

    def on_peer_payload(self, host: str, payload: PeerPayload, now_s: float) -> None:
        """Applies a report or claim about a content from another host of the data centre."""
        if isinstance(payload, CrashReport):
            self._failure_detector.on_crash_report(payload, now_s)
        elif isinstance(payload, CrashCleared):
            self._failure_detector.crash_history.clear(payload.fingerprint)
        elif isinstance(payload, IsolationClaim):
            self._isolation.on_peer_claim(host, payload, now_s)

    def on_peer_linked(self, host: str, now_s: float) -> Sequence[CallCommand]:
        """Sends a host the crash reports that it may have missed while unreachable.

        Hosts of other data centres get none.
        """
        return (
            self._failure_detector.reports_for(host, now_s) if host in self._servers.peers() else []
        )

    def on_call(self, call: Call, now_s: float) -> Sequence[CallCommand]:
        """Opens a call and starts its first attempt, schedules it, or refuses the call."""
        self._retry_budget.on_call()
        open_call = self._open_calls.add(call)
        if now_s >= call.deadline_s:
            return [self._refuse_call(open_call, RefusalReason.DEADLINE, DEADLINE_DETAIL, now_s)]
        return self._start_attempt(open_call, now_s)

    def on_sent(self, message: AttemptSent, now_s: float) -> None:
        """Records that the request of an attempt is being sent."""
        open_call = self._open_calls.get_by_attempt(message.attempt_id)
        if open_call is not None:
            open_call.phase = AttemptPhase.SENT
            open_call.last_progress_s = now_s

    def on_answered(self, message: AttemptAnswered, now_s: float) -> Sequence[CallCommand]:
        """Records the response head of an attempt with its model version.

        Fails the attempt if an earlier one delivered tokens of another version.
        """
        open_call = self._open_calls.get_by_attempt(message.attempt_id)
        if open_call is None or open_call.attempt is None:
            return []
        open_call.phase = AttemptPhase.ANSWERED
        open_call.last_progress_s = now_s
        self._failure_detector.on_answered(open_call.attempt.backend, message)
        if not open_call.tokens_delivered:
            open_call.model_version = message.model_version
        elif message.model_version != open_call.model_version:
            detail = f"the model changed to version {message.model_version} amid the answer"
            return self._fail_attempt(open_call, open_call.attempt, detail, now_s)
        return []

    def on_tokens(self, message: AttemptTokens, now_s: float) -> Sequence[CallCommand]:
        """Delivers the tokens that follow those already delivered.

        Fails the attempt if tokens are missing in between.
        """
        open_call = self._open_calls.get_by_attempt(message.attempt_id)
        if open_call is None or open_call.attempt is None:
            return []
        open_call.last_progress_s = now_s
        overlap = open_call.tokens_delivered - message.first_index
        if overlap < 0:
            detail = "tokens are missing in the stream"
            return self._fail_attempt(open_call, open_call.attempt, detail, now_s)
        if open_call.phase is not AttemptPhase.STREAMING:
            open_call.phase = AttemptPhase.STREAMING
            self._failure_detector.health.on_success(open_call.attempt.backend)
            self._servers.on_first_token(open_call.call, open_call.attempt.backend)
            if not open_call.tokens_delivered:
                self._admission.on_first_token(open_call.call, now_s)
        new_texts = message.texts[overlap:]
        if not new_texts:
            return []
        first_index = open_call.tokens_delivered
        open_call.tokens_delivered += len(new_texts)
        return [TokensForCaller(open_call.call.call_id, first_index, new_texts)]

    def on_completed(self, message: AttemptCompleted, now_s: float) -> Sequence[CallCommand]:
        """Completes the call if all tokens were delivered, else handles the attempt as failed."""
        open_call = self._open_calls.get_by_attempt(message.attempt_id)
        if open_call is None or open_call.attempt is None:
            return []
        if open_call.tokens_delivered != message.total_tokens:
            detail = "tokens are missing at the end"
            failure = AttemptFailed(message.attempt_id, Verdict.MAY_HAVE_RUN, detail, False)
            return self.on_failed(failure, now_s)
        backend = open_call.attempt.backend
        notifications = self._end_attempt(open_call)
        self._close(open_call, now_s)
        call = open_call.call
        return [
            *notifications,
            CallCompleted(call.call_id, message.status, message.body, message.content_type),
            *self._failure_detector.on_completed(backend, call.fingerprint, self._servers.peers()),
        ]

    def on_failed(self, message: AttemptFailed, now_s: float) -> Sequence[CallCommand]:
        """Ends the failed attempt, then retries the call or refuses it.

        The refusal carries the verdict of all attempts. After a lost connection the call may first
        wait for a probe of the server.
        """
        open_call = self._open_calls.get_by_attempt(message.attempt_id)
        if open_call is None or open_call.attempt is None:
            return []
        backend = open_call.attempt.backend
        return [
            *self._end_attempt(open_call),
            *self._after_failure(open_call, message, backend, now_s),
        ]

    def _after_failure(
        self, open_call: OpenCall, message: AttemptFailed, backend: str, now_s: float
    ) -> Sequence[CallCommand]:
        was_cancelled = open_call.stage is CallStage.CANCELLING
        open_call.failed_backends.add(backend)
        open_call.may_have_run |= message.verdict is not Verdict.NOT_RUN
        if open_call.cancel_reason is not None:
            return [
                self._refuse_call(
                    open_call, open_call.cancel_reason, open_call.failure_detail, now_s
                )
            ]
        if not was_cancelled:
            open_call.failure_detail = message.detail
            open_call.retry_after_s = message.retry_after_s
        if message.connection_lost:
            return self._on_connection_lost(open_call, backend, now_s)
        commands = [] if was_cancelled else self._record_failure(open_call, message, backend, now_s)
        return [*commands, *self._retry_or_refuse(open_call, now_s)]

    def on_probe_ended(self, message: ProbeEnded, now_s: float) -> Sequence[CallCommand]:
        """Retries or refuses the calls that waited for the probe of a server."""
        outcome = self._failure_detector.on_probe_ended(message, self._servers.peers(), now_s)
        if not self._servers.is_member(message.backend):
            self._failure_detector.health.forget(message.backend)
        commands: list[CallCommand] = list(outcome.commands)
        min_backoff_s = self._options.retry_limits.min_crash_backoff_s if outcome.crashed else 0.0
        for call_id in outcome.waiting_calls:
            open_call = self._open_calls.get(call_id)
            if open_call is not None and open_call.stage is CallStage.AWAITING_PROBE:
                commands.extend(self._retry_or_refuse(open_call, now_s, min_backoff_s))
        return commands

    def on_caller_gone(self, call_id: str, now_s: float) -> Sequence[CallCommand]:
        """Cancels the attempt of a call whose caller has disconnected, or closes the call."""
        open_call = self._open_calls.get(call_id)
        if open_call is None:
            return []
        open_call.caller_gone = True
        return self._abandon(open_call, RefusalReason.DEADLINE, CALLER_GONE_DETAIL, now_s)

    def on_tick(self, now_s: float) -> Sequence[CallCommand]:
        """Abandons calls past their deadline, starts due attempts and checks for stalls."""
        commands: list[CallCommand] = list(self._failure_detector.on_tick(now_s))
        for open_call in self._open_calls.pop_expired(now_s):
            commands.extend(
                self._abandon(open_call, RefusalReason.DEADLINE, DEADLINE_DETAIL, now_s)
            )
        while self._scheduled_attempts and self._scheduled_attempts[0][0] <= now_s:
            due_call = self._open_calls.get(heappop(self._scheduled_attempts)[1])
            if due_call is not None and due_call.stage is CallStage.BACKING_OFF:
                commands.extend(self._start_attempt(due_call, now_s))
        if now_s >= self._next_stall_check_s:
            self._next_stall_check_s = now_s + STALL_CHECK_INTERVAL_S
            commands.extend(self._check_for_stalls(now_s))
            for claim in self._isolation.renew_due(now_s):
                commands.extend(self._notify_peers(claim))
        return commands

    def _start_attempt(self, open_call: OpenCall, now_s: float) -> Sequence[CallCommand]:
        call = open_call.call
        if (
            self._failure_detector.crash_history.suspicion_of(call.fingerprint)
            is Suspicion.QUARANTINED
        ):
            return [self._refuse_quarantined(open_call, now_s)]
        selection = self._server_selector.select(call, frozenset(open_call.failed_backends), now_s)
        if selection.must_wait:
            self._schedule_attempt(open_call, now_s + ISOLATION_POLL_INTERVAL_S)
            return self._notify_peers(selection.claim)
        if selection.candidate is None:
            return [self._refuse_without_servers(open_call, now_s)]
        if not open_call.attempts_made:
            refusal = self._admission.check_admission(call, selection.candidate, now_s)
            if refusal is not None:
                self._open_calls.remove(open_call)
                return [CallRefused(call.call_id, refusal)]
            self._admission.on_started(call, now_s)
        attempt = self._new_attempt(open_call, selection.candidate.server.name)
        self._servers.on_attempt_started(call, attempt.backend)
        self._isolation.on_attempt_started(call.fingerprint, call.call_id)
        self._open_calls.start_attempt(open_call, attempt, now_s)
        return [AttemptRequested(attempt)]

    def _new_attempt(self, open_call: OpenCall, backend: str) -> Attempt:
        self._attempt_count += 1
        attempt_id = f"{self._incarnation}-{self._attempt_count}"
        first_token_index = open_call.tokens_delivered
        model_version = open_call.model_version if first_token_index else ""
        return Attempt(attempt_id, open_call.call, backend, first_token_index, model_version)

    def _end_attempt(self, open_call: OpenCall) -> Sequence[CallCommand]:
        attempt = self._open_calls.end_attempt(open_call)
        if attempt is None:
            return []
        call = open_call.call
        if open_call.phase is not AttemptPhase.STREAMING:
            self._servers.on_first_token(call, attempt.backend)
        self._servers.on_attempt_ended(attempt.backend)
        return self._notify_peers(self._isolation.on_attempt_ended(call.fingerprint, call.call_id))

    def _notify_peers(self, claim: IsolationClaim | None) -> Sequence[CallCommand]:
        if claim is None:
            return []
        return [PeerSendRequested(peer, claim) for peer in self._servers.peers()]

    def _close(self, open_call: OpenCall, now_s: float) -> None:
        self._open_calls.remove(open_call)
        if open_call.attempts_made:
            self._admission.on_ended(open_call.call, open_call.tokens_delivered, now_s)

    def _record_failure(
        self, open_call: OpenCall, message: AttemptFailed, backend: str, now_s: float
    ) -> Sequence[CallCommand]:
        if open_call.phase is AttemptPhase.CONNECTING:
            return self._failure_detector.on_unreachable(backend, now_s)
        # A server that refuses before it starts a request is busy or leaving, not failing.
        if message.verdict is not Verdict.NOT_RUN:
            self._failure_detector.health.on_failure(backend, now_s)
        return []

    def _on_connection_lost(
        self, open_call: OpenCall, backend: str, now_s: float
    ) -> Sequence[CallCommand]:
        wait_for_probe = self._retry_obstacle(open_call, now_s) is None
        call = open_call.call
        waiting_call_id = call.call_id if wait_for_probe else None
        commands = self._failure_detector.on_connection_lost(
            backend, call.fingerprint, waiting_call_id, now_s
        )
        if not wait_for_probe:
            return [*commands, *self._retry_or_refuse(open_call, now_s)]
        open_call.stage = CallStage.AWAITING_PROBE
        open_call.last_progress_s = now_s
        return commands

    def _fail_attempt(
        self, open_call: OpenCall, attempt: Attempt, detail: str, now_s: float
    ) -> Sequence[CallCommand]:
        # Ended without waiting for the verdict: messages that the attempt has already sent must not
        # become part of the answer.
        failure = AttemptFailed(attempt.attempt_id, Verdict.MAY_HAVE_RUN, detail, False)
        return [AttemptCancelled(attempt.attempt_id), *self.on_failed(failure, now_s)]

    def _retry_obstacle(self, open_call: OpenCall, now_s: float) -> str | None:
        if open_call.may_have_run and not open_call.call.repeatable:
            return "the call may not be repeated"
        if now_s >= open_call.call.deadline_s:
            return DEADLINE_DETAIL
        if open_call.attempts_made >= self._options.retry_limits.max_attempts:
            return f"{open_call.attempts_made} attempts were made"
        if not self._retry_budget.has_budget:
            return "the host's retry budget is spent"
        return None

    def _retry_or_refuse(
        self, open_call: OpenCall, now_s: float, min_backoff_s: float = 0.0
    ) -> Sequence[CallCommand]:
        obstacle = self._retry_obstacle(open_call, now_s)
        if obstacle is not None:
            detail = f"{open_call.failure_detail}; not retried: {obstacle}"
            return [self._refuse_call(open_call, RefusalReason.BACKEND_FAILED, detail, now_s)]
        self._retry_budget.spend()
        delay_s = backoff_with_jitter_s(
            self._options.retry_limits, open_call.attempts_made, self._rng
        )
        self._schedule_attempt(open_call, now_s + min_backoff_s + delay_s)
        return []

    def _schedule_attempt(self, open_call: OpenCall, start_s: float) -> None:
        open_call.stage = CallStage.BACKING_OFF
        heappush(self._scheduled_attempts, (start_s, open_call.call.call_id))

    def _abandon(
        self, open_call: OpenCall, reason: RefusalReason, detail: str, now_s: float
    ) -> Sequence[CallCommand]:
        if open_call.attempt is None:
            return [self._refuse_call(open_call, reason, detail, now_s)]
        if open_call.phase is not AttemptPhase.CONNECTING:
            fingerprint = open_call.call.fingerprint
            self._failure_detector.on_abandoned(open_call.attempt.backend, fingerprint, now_s)
        # The refusal waits for the verdict of the attempt, which arrives in the same round of
        # message handling.
        return self._cancel(open_call, reason, detail, now_s)

    def _cancel(
        self, open_call: OpenCall, refusal_reason: RefusalReason | None, detail: str, now_s: float
    ) -> Sequence[CallCommand]:
        open_call.cancel_reason = refusal_reason or open_call.cancel_reason
        open_call.failure_detail = detail
        if open_call.stage is CallStage.CANCELLING or open_call.attempt is None:
            return []
        open_call.stage = CallStage.CANCELLING
        open_call.last_progress_s = now_s
        return [AttemptCancelled(open_call.attempt.attempt_id)]

    def _check_for_stalls(self, now_s: float) -> Sequence[CallCommand]:
        commands: list[CallCommand] = []
        for open_call in list(self._open_calls):
            if open_call.stage is CallStage.RUNNING:
                commands.extend(self._check_for_stall(open_call, now_s))
            elif open_call.stage is not CallStage.BACKING_OFF:
                commands.extend(self._check_for_internal_timeout(open_call, now_s))
        return commands

    def _check_for_stall(self, open_call: OpenCall, now_s: float) -> Sequence[CallCommand]:
        attempt = open_call.attempt
        if attempt is None:
            return []
        timeouts = self._options.stall_timeouts
        timeout_s = timeouts.stall_timeout_s(
            open_call.call, open_call.phase, attempt.first_token_index
        )
        if now_s < open_call.last_progress_s + timeout_s:
            return []
        commands: list[CallCommand] = list(
            self._failure_detector.on_unreachable(attempt.backend, now_s)
        )
        # If no retry is possible, it is better to continue to wait.
        if self._can_retry_elsewhere(open_call, attempt, now_s):
            detail = f"no progress for {timeout_s:.1f} s ({open_call.phase.value})"
            return [*commands, *self._cancel(open_call, None, detail, now_s)]
        open_call.last_progress_s = now_s
        return commands

    def _can_retry_elsewhere(self, open_call: OpenCall, attempt: Attempt, now_s: float) -> bool:
        if self._retry_obstacle(open_call, now_s) is not None:
            return False
        if open_call.phase is AttemptPhase.CONNECTING:
            return True
        failed = frozenset(open_call.failed_backends | {attempt.backend})
        return open_call.call.repeatable and self._servers.has_alternative(
            open_call.call, failed, now_s
        )

    def _check_for_internal_timeout(
        self, open_call: OpenCall, now_s: float
    ) -> Sequence[CallCommand]:
        if now_s < open_call.last_progress_s + INTERNAL_TIMEOUT_S:
            return []
        if open_call.stage is CallStage.AWAITING_PROBE:
            return self._retry_or_refuse(open_call, now_s)
        if open_call.attempt is None:
            return []
        failure = AttemptFailed(
            open_call.attempt.attempt_id, Verdict.MAY_HAVE_RUN, open_call.failure_detail, False
        )
        return self.on_failed(failure, now_s)

    def _refuse_call(
        self, open_call: OpenCall, reason: RefusalReason, detail: str, now_s: float
    ) -> CallRefused:
        retry_after_s = self._options.retry_limits.default_retry_after_s
        return self._refuse(open_call, refusal_of(open_call, reason, detail, retry_after_s), now_s)

    def _refuse_without_servers(self, open_call: OpenCall, now_s: float) -> CallRefused:
        until_next_probe_s = self._failure_detector.health.until_next_probe_s(now_s)
        retry_after_s = self._options.retry_limits.default_retry_after_s
        refusal = refusal_without_servers(open_call, until_next_probe_s, retry_after_s)
        return self._refuse(open_call, refusal, now_s)

    def _refuse_quarantined(self, open_call: OpenCall, now_s: float) -> CallRefused:
        fingerprint = open_call.call.fingerprint
        open_call.retry_after_s = self._failure_detector.crash_history.quarantine_remaining_s(
            fingerprint, now_s
        )
        return self._refuse_call(open_call, RefusalReason.QUARANTINED, QUARANTINE_DETAIL, now_s)

    def _refuse(self, open_call: OpenCall, refusal: Refusal, now_s: float) -> CallRefused:
        self._close(open_call, now_s)
        return CallRefused(open_call.call.call_id, refusal)

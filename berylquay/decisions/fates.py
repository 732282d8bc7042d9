"""The fate of each call: from its receipt to its whole answer or its refusal.

This state machine stands between the callers' side and the backends' side. It takes messages with
the present time and returns messages to post; it holds no socket and reads no clock. A
non-repeatable call comes here only after its key was granted to this host.
"""

from collections.abc import Sequence
from heapq import heappop, heappush
from random import Random
from typing import Final

from attrs import field, frozen

from berylquay.decisions.admission import AdmissionPolicy, AdmitAll
from berylquay.decisions.calls import Attempt, Call
from berylquay.decisions.fleet import LoadReport, MembershipView
from berylquay.decisions.isolation import Isolation, IsolationLimits
from berylquay.decisions.judging import JudgeLimits, ServerJudge
from berylquay.decisions.open_calls import OpenCall, OpenCalls, Stage
from berylquay.decisions.placement import Placement
from berylquay.decisions.progress import Phase, ProgressLimits
from berylquay.decisions.refusals import (
    CALLER_GONE_DETAIL,
    DEADLINE_DETAIL,
    QUARANTINE_DETAIL,
    refusal_for_lack_of_servers,
    refusal_of,
)
from berylquay.decisions.retries import RetryBudget, RetryLimits, backoff_s
from berylquay.decisions.routing import RoutingPolicy
from berylquay.decisions.serving import HostPlace, ServingSet
from berylquay.decisions.suspects import Standing
from berylquay.messages import (
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
from berylquay.peers.payloads import CrashCleared, CrashReport, IsolationClaim, PeerPayload
from berylquay.verdicts import Refusal, RefusalReason, Verdict

Command = (
    AttemptRequested
    | AttemptCancelled
    | TokensForCaller
    | CallCompleted
    | CallRefused
    | PeerSendRequested
    | ProbeRequested
)

STALL_CHECK_INTERVAL_S: Final = 0.25
# Time between two looks whether a suspect may have a server to itself.
ISOLATION_POLL_S: Final = 0.05
# Time after which a message that this process owes itself counts as lost.
INTERNAL_TIMEOUT_S: Final = 3.0


@frozen
class FatesOptions:
    """Bounds on what is done for calls, and where the host stands."""

    retries: RetryLimits = field(factory=RetryLimits)
    progress: ProgressLimits = field(factory=ProgressLimits)
    judge: JudgeLimits = field(factory=JudgeLimits)
    isolation: IsolationLimits = field(factory=IsolationLimits)
    place: HostPlace = field(factory=HostPlace)


class CallFates:
    """Holds every open call and decides what happens to it next."""

    # Bounds.
    _options: FatesOptions
    # Turns calls away at the door.
    _admission: AdmissionPolicy
    # Source of jitter.
    _rng: Random
    # Prefix that makes attempt ids unique among hosts and restarts.
    _incarnation: str
    # Calls without a final answer.
    _open: OpenCalls
    # Retries that may still be made.
    _budget: RetryBudget
    # What is known of servers and contents.
    _judge: ServerJudge
    # Servers that may take new work.
    _serving: ServingSet
    # Servers that suspects have to themselves.
    _isolation: Isolation
    # Chooses servers for attempts.
    _placement: Placement
    # Time and call id of attempts to come, soonest first.
    _resumptions: list[tuple[float, str]]
    # Monotonic time of the next look for stalled attempts.
    _next_stall_check_s: float
    # Number of attempts made so far, for their ids.
    _attempt_count: int

    def __init__(
        self,
        routing: RoutingPolicy,
        incarnation: str,
        options: FatesOptions | None = None,
        admission: AdmissionPolicy | None = None,
        rng: Random | None = None,
    ) -> None:
        self._options = options or FatesOptions()
        self._admission = admission or AdmitAll()
        self._rng = rng or Random(incarnation)
        self._incarnation = incarnation
        self._open = OpenCalls()
        self._budget = RetryBudget(self._options.retries)
        self._judge = ServerJudge(self._options.judge, self._rng)
        self._serving = ServingSet(self._options.place, self._judge.health)
        self._isolation = Isolation(self._options.isolation, self._options.place.host)
        self._placement = Placement(routing, self._serving, self._judge.ledger, self._isolation)
        self._resumptions = []
        self._next_stall_check_s = 0.0
        self._attempt_count = 0

    @property
    def open_count(self) -> int:
        """Returns the number of calls without a final answer."""
        return len(self._open)

    def in_flight(self, backend: str) -> int:
        """Returns the number of attempts that this host has in flight on a backend server."""
        return self._serving.in_flight(backend)

    def on_membership(self, view: MembershipView) -> None:
        """Takes a newer membership list."""
        self._serving.on_membership(view)

    def on_load(self, report: LoadReport) -> None:
        """Takes a load report."""
        self._serving.on_load(report)

    def on_configured_drains(self, draining: frozenset[str]) -> None:
        """Takes the servers that the configuration in force drains."""
        self._serving.on_configured_drains(draining)

    def on_drain_changed(self, backend: str, draining: bool) -> None:
        """Begins or ceases to keep new work away from a server."""
        self._serving.on_drain_changed(backend, draining)

    def on_peer(self, host: str, payload: PeerPayload, now_s: float) -> None:
        """Takes what another host of the data centre has learnt about contents."""
        if isinstance(payload, CrashReport):
            self._judge.on_crash_report(payload, now_s)
        elif isinstance(payload, CrashCleared):
            self._judge.ledger.clear(payload.fingerprint)
        elif isinstance(payload, IsolationClaim):
            self._isolation.on_peer(host, payload, now_s)

    def on_peer_linked(self, host: str, now_s: float) -> Sequence[Command]:
        """Tells a host of the data centre what it may have missed while it was out of reach."""
        return self._judge.reports_for(host, now_s) if host in self._serving.peers() else []

    def on_call(self, call: Call, now_s: float) -> Sequence[Command]:
        """Starts the first attempt of a call, or refuses it."""
        self._budget.on_offered()
        state = self._open.add(call)
        if now_s >= call.deadline_s:
            return [self._give_up(state, RefusalReason.DEADLINE, DEADLINE_DETAIL, now_s)]
        return self._start_attempt(state, now_s)

    def on_sent(self, message: AttemptSent, now_s: float) -> None:
        """Takes note that an attempt's request is being handed over."""
        state = self._open.of_attempt(message.attempt_id)
        if state is not None:
            state.phase = Phase.SENT
            state.progress_s = now_s

    def on_answered(self, message: AttemptAnswered, now_s: float) -> Sequence[Command]:
        """Takes note of an answer's beginning, and of the model version that gives it."""
        state = self._open.of_attempt(message.attempt_id)
        if state is None or state.attempt is None:
            return []
        state.phase = Phase.ANSWERED
        state.progress_s = now_s
        self._judge.on_answered(state.attempt.backend, message)
        if not state.tokens_delivered:
            state.model_version = message.model_version
        elif message.model_version != state.model_version:
            detail = f"the model changed to version {message.model_version} amid the answer"
            return self._fail_attempt(state, state.attempt, detail, now_s)
        return []

    def on_tokens(self, message: AttemptTokens, now_s: float) -> Sequence[Command]:
        """Passes on tokens that follow those already delivered."""
        state = self._open.of_attempt(message.attempt_id)
        if state is None or state.attempt is None:
            return []
        state.progress_s = now_s
        already = state.tokens_delivered - message.first_index
        if already < 0:
            detail = "tokens are missing in the stream"
            return self._fail_attempt(state, state.attempt, detail, now_s)
        if state.phase is not Phase.STREAMING:
            state.phase = Phase.STREAMING
            self._judge.health.on_success(state.attempt.backend)
            self._serving.on_first_token(state.call, state.attempt.backend)
            if not state.tokens_delivered:
                self._admission.on_first_token(state.call, now_s)
        fresh = message.texts[already:]
        if not fresh:
            return []
        first_index = state.tokens_delivered
        state.tokens_delivered += len(fresh)
        return [TokensForCaller(state.call.call_id, first_index, fresh)]

    def on_completed(self, message: AttemptCompleted, now_s: float) -> Sequence[Command]:
        """Completes the call if every token was delivered, else treats it as a failure."""
        state = self._open.of_attempt(message.attempt_id)
        if state is None or state.attempt is None:
            return []
        if state.tokens_delivered != message.total_tokens:
            detail = "tokens are missing at the end"
            failure = AttemptFailed(message.attempt_id, Verdict.MAY_HAVE_RUN, detail, False)
            return self.on_failed(failure, now_s)
        backend = state.attempt.backend
        released = self._end_attempt(state)
        self._close(state, now_s)
        call = state.call
        return [
            *released,
            CallCompleted(call.call_id, message.status, message.body, message.content_type),
            *self._judge.on_whole_answer(backend, call.fingerprint, self._serving.peers()),
        ]

    def on_failed(self, message: AttemptFailed, now_s: float) -> Sequence[Command]:
        """Retries the call elsewhere, or refuses it with a true verdict."""
        state = self._open.of_attempt(message.attempt_id)
        if state is None or state.attempt is None:
            return []
        backend = state.attempt.backend
        return [*self._end_attempt(state), *self._after_failure(state, message, backend, now_s)]

    def _after_failure(
        self, state: OpenCall, message: AttemptFailed, backend: str, now_s: float
    ) -> Sequence[Command]:
        cancelled = state.stage is Stage.CANCELLING
        state.avoided.add(backend)
        state.may_have_run |= message.verdict is not Verdict.NOT_RUN
        if state.giving_up is not None:
            return [self._give_up(state, state.giving_up, state.last_failure, now_s)]
        if not cancelled:
            state.last_failure = message.detail
            state.retry_after_s = message.retry_after_s
        if message.lost_connection:
            return self._on_broken_off(state, backend, now_s)
        commands = [] if cancelled else self._judge_failure(state, message, backend, now_s)
        return [*commands, *self._retry_or_give_up(state, now_s)]

    def on_probe_ended(self, message: ProbeEnded, now_s: float) -> Sequence[Command]:
        """Goes on with the calls that waited to hear whether a server was lost."""
        outcome = self._judge.on_probe_ended(message, self._serving.peers(), now_s)
        if not self._serving.knows(message.backend):
            self._judge.health.forget(message.backend)
        commands: list[Command] = list(outcome.commands)
        wait_s = self._options.retries.crash_backoff_s if outcome.lost else 0.0
        for call_id in outcome.held:
            state = self._open.get(call_id)
            if state is not None and state.stage is Stage.HELD:
                commands.extend(self._retry_or_give_up(state, now_s, wait_s))
        return commands

    def on_caller_gone(self, call_id: str, now_s: float) -> Sequence[Command]:
        """Cancels the call's attempt, since nobody waits for its answer."""
        state = self._open.get(call_id)
        if state is None:
            return []
        state.caller_gone = True
        return self._abandon(state, RefusalReason.DEADLINE, CALLER_GONE_DETAIL, now_s)

    def on_tick(self, now_s: float) -> Sequence[Command]:
        """Gives up on calls whose deadline has passed and starts attempts that are due."""
        commands: list[Command] = list(self._judge.on_tick(now_s))
        for state in self._open.pop_late(now_s):
            commands.extend(self._abandon(state, RefusalReason.DEADLINE, DEADLINE_DETAIL, now_s))
        while self._resumptions and self._resumptions[0][0] <= now_s:
            resumed = self._open.get(heappop(self._resumptions)[1])
            if resumed is not None and resumed.stage is Stage.BACKING_OFF:
                commands.extend(self._start_attempt(resumed, now_s))
        if now_s >= self._next_stall_check_s:
            self._next_stall_check_s = now_s + STALL_CHECK_INTERVAL_S
            commands.extend(self._check_for_stalls(now_s))
            for claim in self._isolation.renewals(now_s):
                commands.extend(self._tell_peers(claim))
        return commands

    def _start_attempt(self, state: OpenCall, now_s: float) -> Sequence[Command]:
        call = state.call
        if self._judge.ledger.standing_of(call.fingerprint) is Standing.QUARANTINED:
            return [self._quarantine(state, now_s)]
        choice = self._placement.choose(call, frozenset(state.avoided), now_s)
        if choice.wait:
            self._resume_at(state, now_s + ISOLATION_POLL_S)
            return self._tell_peers(choice.claim)
        if choice.candidate is None:
            return [self._give_up_for_lack_of_servers(state, now_s)]
        if not state.attempts_made:
            refusal = self._admission.refusal_of(call, choice.candidate, now_s)
            if refusal is not None:
                self._open.remove(state)
                return [CallRefused(call.call_id, refusal)]
            self._admission.on_started(call, now_s)
        attempt = self._new_attempt(state, choice.candidate.server.name)
        self._serving.on_started(call, attempt.backend)
        self._isolation.on_started(call.fingerprint, call.call_id)
        self._open.start_attempt(state, attempt, now_s)
        return [AttemptRequested(attempt)]

    def _new_attempt(self, state: OpenCall, backend: str) -> Attempt:
        self._attempt_count += 1
        attempt_id = f"{self._incarnation}-{self._attempt_count}"
        first_token = state.tokens_delivered
        version = state.model_version if first_token else ""
        return Attempt(attempt_id, state.call, backend, first_token, version)

    def _end_attempt(self, state: OpenCall) -> Sequence[Command]:
        attempt = self._open.end_attempt(state)
        if attempt is None:
            return []
        call = state.call
        if state.phase is not Phase.STREAMING:
            self._serving.on_first_token(call, attempt.backend)
        self._serving.on_ended(attempt.backend)
        return self._tell_peers(self._isolation.on_ended(call.fingerprint, call.call_id))

    def _tell_peers(self, claim: IsolationClaim | None) -> Sequence[Command]:
        if claim is None:
            return []
        return [PeerSendRequested(peer, claim) for peer in self._serving.peers()]

    def _close(self, state: OpenCall, now_s: float) -> None:
        self._open.remove(state)
        if state.attempts_made:
            self._admission.on_ended(state.call, state.tokens_delivered, now_s)

    def _judge_failure(
        self, state: OpenCall, message: AttemptFailed, backend: str, now_s: float
    ) -> Sequence[Command]:
        if state.phase is Phase.CONNECTING:
            return self._judge.on_unreachable(backend, now_s)
        # A server that refuses before it starts is busy or leaving, not ill.
        if message.verdict is not Verdict.NOT_RUN:
            self._judge.health.on_failure(backend, now_s)
        return []

    def _on_broken_off(self, state: OpenCall, backend: str, now_s: float) -> Sequence[Command]:
        held = self._retry_obstacle(state, now_s) is None
        call = state.call
        held_id = call.call_id if held else None
        commands = self._judge.on_broken_off(backend, call.fingerprint, held_id, now_s)
        if not held:
            return [*commands, *self._retry_or_give_up(state, now_s)]
        state.stage = Stage.HELD
        state.progress_s = now_s
        return commands

    def _fail_attempt(
        self, state: OpenCall, attempt: Attempt, detail: str, now_s: float
    ) -> Sequence[Command]:
        # Ended here at once: what the attempt has already sent must not be taken for the answer.
        failure = AttemptFailed(attempt.attempt_id, Verdict.MAY_HAVE_RUN, detail, False)
        return [AttemptCancelled(attempt.attempt_id), *self.on_failed(failure, now_s)]

    def _retry_obstacle(self, state: OpenCall, now_s: float) -> str | None:
        if state.may_have_run and not state.call.repeatable:
            return "the call may not be repeated"
        if now_s >= state.call.deadline_s:
            return DEADLINE_DETAIL
        if state.attempts_made >= self._options.retries.max_attempts:
            return f"{state.attempts_made} attempts were made"
        if not self._budget.has_retry:
            return "the host's retry budget is spent"
        return None

    def _retry_or_give_up(
        self, state: OpenCall, now_s: float, wait_s: float = 0.0
    ) -> Sequence[Command]:
        obstacle = self._retry_obstacle(state, now_s)
        if obstacle is not None:
            detail = f"{state.last_failure}; not retried: {obstacle}"
            return [self._give_up(state, RefusalReason.BACKEND_FAILED, detail, now_s)]
        self._budget.spend()
        jitter_s = backoff_s(self._options.retries, state.attempts_made, self._rng)
        self._resume_at(state, now_s + wait_s + jitter_s)
        return []

    def _resume_at(self, state: OpenCall, resume_s: float) -> None:
        state.stage = Stage.BACKING_OFF
        heappush(self._resumptions, (resume_s, state.call.call_id))

    def _abandon(
        self, state: OpenCall, reason: RefusalReason, detail: str, now_s: float
    ) -> Sequence[Command]:
        if state.attempt is None:
            return [self._give_up(state, reason, detail, now_s)]
        if state.phase is not Phase.CONNECTING:
            fingerprint = state.call.fingerprint
            self._judge.on_abandoned(state.attempt.backend, fingerprint, now_s)
        # The refusal waits for the attempt's verdict, which comes back in the same round.
        return self._cancel(state, reason, detail, now_s)

    def _cancel(
        self, state: OpenCall, giving_up: RefusalReason | None, detail: str, now_s: float
    ) -> Sequence[Command]:
        state.giving_up = giving_up or state.giving_up
        state.last_failure = detail
        if state.stage is Stage.CANCELLING or state.attempt is None:
            return []
        state.stage = Stage.CANCELLING
        state.progress_s = now_s
        return [AttemptCancelled(state.attempt.attempt_id)]

    def _check_for_stalls(self, now_s: float) -> Sequence[Command]:
        commands: list[Command] = []
        for state in list(self._open):
            if state.stage is Stage.RUNNING:
                commands.extend(self._check_for_stall(state, now_s))
            elif state.stage is not Stage.BACKING_OFF:
                commands.extend(self._check_for_lost_message(state, now_s))
        return commands

    def _check_for_stall(self, state: OpenCall, now_s: float) -> Sequence[Command]:
        attempt = state.attempt
        if attempt is None:
            return []
        limits = self._options.progress
        timeout_s = limits.timeout_s(state.call, state.phase, attempt.first_token)
        if now_s < state.progress_s + timeout_s:
            return []
        commands: list[Command] = list(self._judge.on_unreachable(attempt.backend, now_s))
        # Without a retry to be had, waiting on can only be better.
        if self._can_go_on_elsewhere(state, attempt, now_s):
            detail = f"no progress for {timeout_s:.1f} s ({state.phase.value})"
            return [*commands, *self._cancel(state, None, detail, now_s)]
        state.progress_s = now_s
        return commands

    def _can_go_on_elsewhere(self, state: OpenCall, attempt: Attempt, now_s: float) -> bool:
        if self._retry_obstacle(state, now_s) is not None:
            return False
        if state.phase is Phase.CONNECTING:
            return True
        failed = frozenset(state.avoided | {attempt.backend})
        return state.call.repeatable and self._serving.has_other(state.call, failed, now_s)

    def _check_for_lost_message(self, state: OpenCall, now_s: float) -> Sequence[Command]:
        if now_s < state.progress_s + INTERNAL_TIMEOUT_S:
            return []
        if state.stage is Stage.HELD:
            return self._retry_or_give_up(state, now_s)
        if state.attempt is None:
            return []
        failure = AttemptFailed(
            state.attempt.attempt_id, Verdict.MAY_HAVE_RUN, state.last_failure, False
        )
        return self.on_failed(failure, now_s)

    def _give_up(
        self, state: OpenCall, reason: RefusalReason, detail: str, now_s: float
    ) -> CallRefused:
        retry_after_s = self._options.retries.default_retry_after_s
        return self._refuse(state, refusal_of(state, reason, detail, retry_after_s), now_s)

    def _give_up_for_lack_of_servers(self, state: OpenCall, now_s: float) -> CallRefused:
        probe_s = self._judge.health.soonest_probe_s(now_s)
        retry_after_s = self._options.retries.default_retry_after_s
        refusal = refusal_for_lack_of_servers(state, probe_s, retry_after_s)
        return self._refuse(state, refusal, now_s)

    def _quarantine(self, state: OpenCall, now_s: float) -> CallRefused:
        fingerprint = state.call.fingerprint
        state.retry_after_s = self._judge.ledger.quarantine_left_s(fingerprint, now_s)
        return self._give_up(state, RefusalReason.QUARANTINED, QUARANTINE_DETAIL, now_s)

    def _refuse(self, state: OpenCall, refusal: Refusal, now_s: float) -> CallRefused:
        self._close(state, now_s)
        return CallRefused(state.call.call_id, refusal)

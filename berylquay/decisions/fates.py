"""The fate of each call: from its receipt to its whole answer or its refusal.

This state machine stands between the callers' side and the backends' side. It takes messages with
the present time and returns messages to post; it holds no socket and reads no clock.
"""

from collections import Counter
from collections.abc import Sequence

from attrs import define, field, frozen

from berylquay.decisions.calls import Attempt, Call
from berylquay.decisions.fleet import BackendServer, Liveness, LoadReport, MembershipView
from berylquay.decisions.routing import Candidate, Candidates, RoutingPolicy
from berylquay.messages import (
    AttemptCancelled,
    AttemptCompleted,
    AttemptFailed,
    AttemptRequested,
    AttemptTokens,
    CallCompleted,
    CallRefused,
    TokensForCaller,
)
from berylquay.verdicts import Refusal, RefusalReason, Verdict

Command = AttemptRequested | AttemptCancelled | TokensForCaller | CallCompleted | CallRefused


@frozen
class RetryLimits:
    """Bounds on retries."""

    # Most attempts for one call.
    max_attempts: int = 3
    # When a caller should come back if nothing better is known.
    default_retry_after_s: float = 1.0


@define
class _OpenCall:
    """A call without its final answer."""

    call: Call
    attempt: Attempt
    attempts_made: int = 1
    tokens_delivered: int = 0
    # Whether any attempt may have reached a backend server.
    may_have_run: bool = False
    # Servers that failed the call.
    avoided: set[str] = field(factory=set)


class CallFates:
    """Holds every open call and decides what happens to it next."""

    # Chooses backend servers.
    _routing: RoutingPolicy
    # Bounds on retries.
    _limits: RetryLimits
    # Prefix that makes attempt ids unique among hosts and restarts.
    _incarnation: str
    # Open calls by call id.
    _open: dict[str, _OpenCall]
    # Call id by attempt id, for the current attempt of each call only.
    _call_of_attempt: dict[str, str]
    # Attempts in flight by backend server.
    _in_flight: Counter[str]
    # Backend servers by name.
    _backends: dict[str, BackendServer]
    # Newest load report by backend server.
    _reports: dict[str, LoadReport]
    # Number of attempts made so far, for their ids.
    _attempt_count: int

    def __init__(
        self, routing: RoutingPolicy, incarnation: str, limits: RetryLimits | None = None
    ) -> None:
        self._routing = routing
        self._limits = limits or RetryLimits()
        self._incarnation = incarnation
        self._open = {}
        self._call_of_attempt = {}
        self._in_flight = Counter()
        self._backends = {}
        self._reports = {}
        self._attempt_count = 0

    @property
    def open_count(self) -> int:
        """Returns the number of calls without a final answer."""
        return len(self._open)

    def on_membership(self, view: MembershipView) -> None:
        """Takes a newer membership list."""
        self._backends = {server.name: server for server in view.backends}

    def on_load(self, report: LoadReport) -> None:
        """Takes a load report."""
        self._reports[report.backend] = report

    def on_call(self, call: Call, now_s: float) -> Sequence[Command]:
        """Starts the first attempt of a call, or refuses it."""
        if now_s >= call.deadline_s:
            return [self._refuse(call, RefusalReason.DEADLINE, Verdict.NOT_RUN, "deadline passed")]
        backend = self._choose(call, frozenset(), now_s)
        if backend is None:
            return [self._refuse_for_lack_of_backends(call, Verdict.NOT_RUN)]
        attempt = self._new_attempt(call, backend, first_token=0)
        self._open[call.call_id] = _OpenCall(call, attempt)
        return [AttemptRequested(attempt)]

    def on_tokens(self, message: AttemptTokens) -> Sequence[Command]:
        """Passes on tokens that follow those already delivered."""
        state = self._state_of(message.attempt_id)
        if state is None:
            return []
        already = state.tokens_delivered - message.first_index
        fresh = message.texts[max(already, 0) :]
        if already < 0 or not fresh:
            return []
        first_index = state.tokens_delivered
        state.tokens_delivered += len(fresh)
        return [TokensForCaller(state.call.call_id, first_index, fresh)]

    def on_completed(self, message: AttemptCompleted, now_s: float) -> Sequence[Command]:
        """Completes the call if every token was delivered, else treats it as a failure."""
        state = self._state_of(message.attempt_id)
        if state is None:
            return []
        if state.tokens_delivered != message.total_tokens:
            failure = AttemptFailed(
                message.attempt_id, Verdict.MAY_HAVE_RUN, "tokens are missing", False
            )
            return self.on_failed(failure, now_s)
        self._forget(state)
        return [
            CallCompleted(state.call.call_id, message.status, message.body, message.content_type)
        ]

    def on_failed(self, message: AttemptFailed, now_s: float) -> Sequence[Command]:
        """Retries the call elsewhere, or refuses it with a true verdict."""
        state = self._state_of(message.attempt_id)
        if state is None:
            return []
        self._end_attempt(state)
        state.avoided.add(state.attempt.backend)
        if message.verdict is not Verdict.NOT_RUN:
            state.may_have_run = True
        if not self._may_retry(state, now_s):
            return [self._give_up(state, message)]
        backend = self._choose(state.call, frozenset(state.avoided), now_s)
        if backend is None:
            return [self._give_up(state, message)]
        state.attempt = self._new_attempt(state.call, backend, state.tokens_delivered)
        state.attempts_made += 1
        return [AttemptRequested(state.attempt)]

    def on_caller_gone(self, call_id: str) -> Sequence[Command]:
        """Cancels the call's attempt, since nobody waits for its answer."""
        state = self._open.get(call_id)
        if state is None:
            return []
        self._forget(state)
        return [AttemptCancelled(state.attempt.attempt_id)]

    def on_tick(self, now_s: float) -> Sequence[Command]:
        """Gives up on calls whose deadline has passed."""
        late = [state for state in self._open.values() if now_s >= state.call.deadline_s]
        commands: list[Command] = []
        for state in late:
            self._forget(state)
            commands.append(AttemptCancelled(state.attempt.attempt_id))
            commands.append(
                self._refuse(
                    state.call, RefusalReason.DEADLINE, Verdict.MAY_HAVE_RUN, "deadline passed"
                )
            )
        return commands

    def _choose(self, call: Call, avoided: frozenset[str], now_s: float) -> str | None:
        candidates = [
            Candidate(server, self._in_flight[server.name], self._reports.get(server.name))
            for server in self._backends.values()
            if server.pool == call.spec.pool
            and server.liveness is Liveness.LIVE
            and server.name not in avoided
        ]
        chosen = self._routing.choose(call, Candidates(candidates), now_s)
        return None if chosen is None else chosen.server.name

    def _new_attempt(self, call: Call, backend: str, first_token: int) -> Attempt:
        self._attempt_count += 1
        attempt_id = f"{self._incarnation}-{self._attempt_count}"
        self._call_of_attempt[attempt_id] = call.call_id
        self._in_flight[backend] += 1
        return Attempt(attempt_id, call, backend, first_token)

    def _state_of(self, attempt_id: str) -> _OpenCall | None:
        call_id = self._call_of_attempt.get(attempt_id)
        return None if call_id is None else self._open[call_id]

    def _end_attempt(self, state: _OpenCall) -> None:
        if self._call_of_attempt.pop(state.attempt.attempt_id, None) is not None:
            self._in_flight[state.attempt.backend] -= 1

    def _forget(self, state: _OpenCall) -> None:
        self._end_attempt(state)
        del self._open[state.call.call_id]

    def _may_retry(self, state: _OpenCall, now_s: float) -> bool:
        if state.attempts_made >= self._limits.max_attempts or now_s >= state.call.deadline_s:
            return False
        return state.call.repeatable or not state.may_have_run

    def _give_up(self, state: _OpenCall, failure: AttemptFailed) -> CallRefused:
        self._forget(state)
        verdict = Verdict.MAY_HAVE_RUN if state.may_have_run else Verdict.NOT_RUN
        retry_after_s = failure.retry_after_s
        if retry_after_s is None and (state.call.repeatable or verdict is Verdict.NOT_RUN):
            retry_after_s = self._limits.default_retry_after_s
        refusal = Refusal(RefusalReason.BACKEND_FAILED, verdict, failure.detail, retry_after_s)
        return CallRefused(state.call.call_id, refusal)

    def _refuse_for_lack_of_backends(self, call: Call, verdict: Verdict) -> CallRefused:
        detail = f"no backend server of pool {call.spec.pool} is in reach"
        return self._refuse(call, RefusalReason.NO_BACKEND, verdict, detail)

    def _refuse(
        self, call: Call, reason: RefusalReason, verdict: Verdict, detail: str
    ) -> CallRefused:
        refusal = Refusal(reason, verdict, detail, self._limits.default_retry_after_s)
        return CallRefused(call.call_id, refusal)

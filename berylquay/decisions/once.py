"""At most once: decides whether a call that may not be repeated is handed on to dispatch.

A call with a plain idempotency key runs where its claim won in the platform's log; a call with a
ticket runs where the ticket's issuer lets it. Only the host that holds this right may say that the
call was not run. Without a key each sending runs at most once.
"""

from collections.abc import Sequence
from typing import Final

from berylquay.decisions.calls import Call
from berylquay.decisions.claim_desk import OTHER_CONTENT, ClaimDesk
from berylquay.decisions.claims import KEY_MEMORY_S, ClaimDecision, key_hash
from berylquay.decisions.key_runs import KeyRun, KeyRuns, RunState, StoredAnswer
from berylquay.decisions.ticket_desk import OUT_OF_REACH, TicketDesk, refusal_for
from berylquay.decisions.tickets import TicketIssuer, TicketOutcome, parse_ticket
from berylquay.messages import (
    CallCompleted,
    CallGranted,
    CallRefused,
    PeerSendRequested,
    RecordAppendRequested,
    RecordsRead,
)
from berylquay.peers.payloads import PeerPayload, TicketAnswered, TicketAsked, TicketReturned
from berylquay.verdicts import Refusal, RefusalReason, Verdict

Command = CallGranted | CallRefused | CallCompleted | RecordAppendRequested | PeerSendRequested

# Longest idempotency key.
MAX_KEY_CHARACTERS: Final = 255
_RETRY_AFTER_S: Final = 1.0
_OUTCOMES: Final = {outcome.value: outcome for outcome in TicketOutcome}

_TOO_LONG: Final = Refusal(
    RefusalReason.INVALID,
    Verdict.NOT_RUN,
    f"Idempotency-Key is longer than {MAX_KEY_CHARACTERS} characters",
)
_TOO_MANY: Final = Refusal(
    RefusalReason.OVERLOADED,
    Verdict.MAY_HAVE_RUN,
    "this host did not run the call; it keeps too many idempotency keys to take another",
    _RETRY_AFTER_S,
)
_IN_PROGRESS: Final = Refusal(
    RefusalReason.DUPLICATE,
    Verdict.MAY_HAVE_RUN,
    "the call under this key is in progress",
    _RETRY_AFTER_S,
)
_UNKNOWN_END: Final = Refusal(
    RefusalReason.DUPLICATE, Verdict.MAY_HAVE_RUN, "the call under this key may have run"
)
_COMPLETED: Final = Refusal(
    RefusalReason.DUPLICATE, Verdict.COMPLETED, "the call under this key was completed"
)


class AtMostOnce:
    """Holds back each call that may not be repeated until this host may run it."""

    # What this host did with each key.
    _runs: KeyRuns
    # Decides plain keys.
    _claims: ClaimDesk
    # Decides tickets.
    _tickets: TicketDesk

    def __init__(self, issuer: TicketIssuer) -> None:
        self._runs = KeyRuns()
        self._claims = ClaimDesk(issuer.incarnation)
        self._tickets = TicketDesk(issuer, self._runs)

    def issue_ticket(self, tenant: str, now_s: float) -> str:
        """Returns a single-use ticket for the tenant."""
        return self._tickets.issue(tenant, now_s)

    def on_reachability(self, reachable: bool) -> None:
        """Notes whether the platform's log answers."""
        self._claims.on_reachability(reachable)

    def on_hosts(self, count: int) -> None:
        """Notes how many entry hosts there are."""
        self._claims.on_hosts(count)

    def on_link(self, host: str, connected: bool) -> None:
        """Notes whether a link to another host is up."""
        self._tickets.on_link(host, connected)

    def on_call(self, call: Call, now_s: float, now_unix_s: float) -> Sequence[Command]:
        """Grants, holds or refuses a call that may not be repeated."""
        if not call.idempotency_key:
            return [CallGranted(call)]
        if len(call.idempotency_key) > MAX_KEY_CHARACTERS:
            return [CallRefused(call.call_id, _TOO_LONG)]
        key = key_hash(call.tenant, call.idempotency_key)
        earlier = self._runs.get(key)
        if earlier is not None:
            return [_repeat(earlier, call)]
        if self._runs.full:
            return [CallRefused(call.call_id, _TOO_MANY)]
        run = KeyRun(key, call.idempotency_key, call, expires_s=now_s + KEY_MEMORY_S)
        return self._begin(run, now_s, now_unix_s)

    def on_caller_gone(self, call_id: str) -> None:
        """Notes that nobody waits for the call any more."""
        run = self._runs.of_call(call_id)
        if run is None:
            return
        if run.state is RunState.WAITING:
            self._claims.give_up(run)
            self._runs.remove(run)
        else:
            run.state = RunState.MAY_HAVE_RUN

    def on_completed(self, message: CallCompleted, now_s: float) -> None:
        """Notes that the whole answer of a granted call was delivered."""
        run = self._runs.of_call(message.call_id)
        if run is None or run.state is RunState.WAITING:
            return
        answer = None
        if not run.call.is_generation:
            answer = StoredAnswer(message.status, message.body, message.content_type)
        self._runs.complete(run, answer)
        if run.claim_offset:
            self._claims.complete(run.key, run.claim_offset, now_s)

    def on_refused(self, message: CallRefused, now_s: float) -> Sequence[Command]:
        """Notes that dispatch gave a granted call up; gives the right back if it was not run."""
        run = self._runs.of_call(message.call_id)
        if run is None or run.state is RunState.WAITING:
            return []
        if message.refusal.verdict is not Verdict.NOT_RUN:
            run.state = RunState.MAY_HAVE_RUN
            return []
        if run.claim_offset:
            self._runs.remove(run)
            self._claims.release(run.key, run.claim_offset, now_s)
            return []
        run.state = RunState.NOT_RUN
        given_back = self._tickets.give_back(run)
        return [] if given_back is None else [given_back]

    def on_records(
        self, message: RecordsRead, now_s: float, now_unix_s: float
    ) -> Sequence[Command]:
        """Takes in what the log decided about claims."""
        decisions = self._claims.on_records(message, now_s, now_unix_s)
        commands = [self._on_decision(decision, now_s) for decision in decisions]
        return [command for command in commands if command is not None]

    def on_peer(self, host: str, payload: PeerPayload, now_s: float) -> Sequence[Command]:
        """Takes in what another host says about tickets."""
        if isinstance(payload, TicketAsked):
            key = key_hash(payload.tenant, payload.ticket)
            return [self._tickets.on_asked(host, key, payload, now_s)]
        if isinstance(payload, TicketAnswered):
            return self._on_answered(host, payload)
        if isinstance(payload, TicketReturned):
            self._tickets.on_returned(host, payload)
        return []

    def on_tick(self, now_s: float) -> Sequence[Command]:
        """Appends what is due, and gives up on calls that have waited too long."""
        commands: list[Command] = [self._give_up(run) for run in self._runs.waiting_too_long(now_s)]
        append = self._claims.on_tick(now_s)
        if append is not None:
            commands.append(append)
        self._runs.forget_expired(now_s)
        self._tickets.forget_expired(now_s)
        return commands

    def _begin(self, run: KeyRun, now_s: float, now_unix_s: float) -> Sequence[Command]:
        ticket = parse_ticket(run.text)
        if ticket is None:
            refusal = self._claims.begin(run, now_s, now_unix_s)
            if refusal is not None:
                return [CallRefused(run.call.call_id, refusal)]
            self._runs.add(run)
            return []
        begun = self._tickets.begin(run, ticket, now_s)
        if isinstance(begun, Refusal):
            return [CallRefused(run.call.call_id, begun)]
        self._runs.add(run)
        if begun is None:
            return [_grant(run)]
        return [begun]

    def _on_decision(self, decision: ClaimDecision, now_s: float) -> Command | None:
        run = self._runs.get(decision.key)
        waiting = run is not None and run.state is RunState.WAITING and not run.issuer
        if run is None or not waiting:
            held = run is not None and run.claim_offset == decision.offset
            if decision.won and not held:
                # The call was given up on before its claim was read back.
                self._claims.release(decision.key, decision.offset, now_s)
            return None
        if decision.won:
            run.claim_offset = decision.offset
            return _grant(run)
        self._runs.remove(run)
        return CallRefused(run.call.call_id, self._claims.lost(run))

    def _on_answered(self, host: str, answered: TicketAnswered) -> Sequence[Command]:
        run = self._runs.of_ask(answered.ask_id)
        outcome = _OUTCOMES.get(answered.outcome, TicketOutcome.SPENT)
        if run is None:
            passed = outcome is TicketOutcome.PASSED
            return [self._tickets.on_unwanted(host, answered)] if passed else []
        if run.issuer != host or run.state is not RunState.WAITING:
            return []
        if outcome is TicketOutcome.PASSED:
            return [_grant(run)]
        self._runs.remove(run)
        return [CallRefused(run.call.call_id, refusal_for(outcome))]

    def _give_up(self, run: KeyRun) -> CallRefused:
        self._runs.remove(run)
        refusal = OUT_OF_REACH if run.issuer else self._claims.give_up(run)
        return CallRefused(run.call.call_id, refusal)


def _grant(run: KeyRun) -> CallGranted:
    run.state = RunState.RUNNING
    return CallGranted(run.call)


def _repeat(earlier: KeyRun, call: Call) -> CallCompleted | CallRefused:
    """Returns what a repeated key gets from the host that took the key before."""
    if earlier.call.fingerprint != call.fingerprint:
        return CallRefused(call.call_id, OTHER_CONTENT)
    if earlier.answer is not None:
        answer = earlier.answer
        return CallCompleted(call.call_id, answer.status, answer.body, answer.content_type)
    refusal = {
        RunState.WAITING: _IN_PROGRESS,
        RunState.RUNNING: _IN_PROGRESS,
        RunState.COMPLETED: _COMPLETED,
        RunState.MAY_HAVE_RUN: _UNKNOWN_END,
        RunState.NOT_RUN: refusal_for(TicketOutcome.VOID),
    }[earlier.state]
    return CallRefused(call.call_id, refusal)

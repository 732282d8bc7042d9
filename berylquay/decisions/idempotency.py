"""At most once: decides whether a call that may not be repeated is handed on to dispatch.

A call with a plain idempotency key runs where its claim won in the platform's log; a call with a
ticket runs where the ticket's issuer lets it. Only the host that holds this right may say that the
call was not run. Without a key each sending runs at most once.
"""

from collections.abc import Sequence
from typing import Final

from berylquay.decisions.calls import Call
from berylquay.decisions.claim_coordinator import CONTENT_MISMATCH, ClaimCoordinator
from berylquay.decisions.key_claims import KEY_RETENTION_S, ClaimDecision, hash_key
from berylquay.decisions.keyed_calls import KeyedCall, KeyedCallState, KeyedCallTable, StoredAnswer
from berylquay.decisions.ticket_coordinator import (
    ISSUER_UNREACHABLE,
    TicketCoordinator,
    refusal_for,
)
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

IdempotencyCommand = (
    CallGranted | CallRefused | CallCompleted | RecordAppendRequested | PeerSendRequested
)

# Longest idempotency key.
MAX_KEY_CHARACTERS: Final = 255
_RETRY_AFTER_S: Final = 1.0
_TICKET_OUTCOMES: Final = {outcome.value: outcome for outcome in TicketOutcome}

_KEY_TOO_LONG: Final = Refusal(
    RefusalReason.INVALID,
    Verdict.NOT_RUN,
    f"Idempotency-Key is longer than {MAX_KEY_CHARACTERS} characters",
)
_TOO_MANY_KEYS: Final = Refusal(
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
_OUTCOME_UNKNOWN: Final = Refusal(
    RefusalReason.DUPLICATE, Verdict.MAY_HAVE_RUN, "the call under this key may have run"
)
_ALREADY_COMPLETED: Final = Refusal(
    RefusalReason.DUPLICATE, Verdict.COMPLETED, "the call under this key was completed"
)


class IdempotencyController:
    """Holds back each call that may not be repeated until this host may run it."""

    # What this host did with each key.
    _runs: KeyedCallTable
    # Decides plain keys.
    _claims: ClaimCoordinator
    # Decides tickets.
    _tickets: TicketCoordinator

    def __init__(self, issuer: TicketIssuer) -> None:
        self._runs = KeyedCallTable()
        self._claims = ClaimCoordinator(issuer.incarnation)
        self._tickets = TicketCoordinator(issuer, self._runs)

    def issue_ticket(self, tenant: str, now_s: float) -> str:
        """Returns a single-use ticket for the tenant."""
        return self._tickets.issue(tenant, now_s)

    def on_log_reachability(self, reachable: bool) -> None:
        """Notes whether the platform's log answers."""
        self._claims.on_log_reachability(reachable)

    def on_host_count(self, count: int) -> None:
        """Notes how many entry hosts there are."""
        self._claims.on_host_count(count)

    def on_peer_link(self, host: str, connected: bool) -> None:
        """Notes whether a link to another host is up."""
        self._tickets.on_peer_link(host, connected)

    def on_call(self, call: Call, now_s: float, now_unix_s: float) -> Sequence[IdempotencyCommand]:
        """Grants, holds or refuses a call that may not be repeated."""
        if not call.idempotency_key:
            return [CallGranted(call)]
        if len(call.idempotency_key) > MAX_KEY_CHARACTERS:
            return [CallRefused(call.call_id, _KEY_TOO_LONG)]
        key_hash = hash_key(call.tenant, call.idempotency_key)
        earlier = self._runs.get(key_hash)
        if earlier is not None:
            return [_answer_repeat(earlier, call)]
        if self._runs.is_full:
            return [CallRefused(call.call_id, _TOO_MANY_KEYS)]
        keyed_call = KeyedCall(
            key_hash, call.idempotency_key, call, expires_s=now_s + KEY_RETENTION_S
        )
        return self._begin(keyed_call, now_s, now_unix_s)

    def on_caller_gone(self, call_id: str) -> None:
        """Notes that nobody waits for the call any more."""
        keyed_call = self._runs.find_by_call_id(call_id)
        if keyed_call is None:
            return
        if keyed_call.state is KeyedCallState.WAITING:
            self._claims.cancel_claim(keyed_call)
            self._runs.remove(keyed_call)
        else:
            keyed_call.state = KeyedCallState.MAY_HAVE_RUN

    def on_call_completed(self, message: CallCompleted, now_s: float) -> None:
        """Notes that the whole answer of a granted call was delivered."""
        keyed_call = self._runs.find_by_call_id(message.call_id)
        if keyed_call is None or keyed_call.state is KeyedCallState.WAITING:
            return
        answer = None
        if not keyed_call.call.is_generation:
            answer = StoredAnswer(message.status, message.body, message.content_type)
        self._runs.complete(keyed_call, answer)
        if keyed_call.claim_offset:
            self._claims.complete_claim(keyed_call.key_hash, keyed_call.claim_offset, now_s)

    def on_call_refused(self, message: CallRefused, now_s: float) -> Sequence[IdempotencyCommand]:
        """Notes that dispatch gave a granted call up; gives the right back if it was not run."""
        keyed_call = self._runs.find_by_call_id(message.call_id)
        if keyed_call is None or keyed_call.state is KeyedCallState.WAITING:
            return []
        if message.refusal.verdict is not Verdict.NOT_RUN:
            keyed_call.state = KeyedCallState.MAY_HAVE_RUN
            return []
        if keyed_call.claim_offset:
            self._runs.remove(keyed_call)
            self._claims.release_claim(keyed_call.key_hash, keyed_call.claim_offset, now_s)
            return []
        keyed_call.state = KeyedCallState.NOT_RUN
        return_request = self._tickets.return_ticket(keyed_call)
        return [] if return_request is None else [return_request]

    def on_records(
        self, message: RecordsRead, now_s: float, now_unix_s: float
    ) -> Sequence[IdempotencyCommand]:
        """Takes in what the log decided about claims."""
        decisions = self._claims.on_records(message, now_s, now_unix_s)
        commands = [self._on_claim_decision(decision, now_s) for decision in decisions]
        return [command for command in commands if command is not None]

    def on_peer_message(
        self, host: str, payload: PeerPayload, now_s: float
    ) -> Sequence[IdempotencyCommand]:
        """Takes in what another host says about tickets."""
        if isinstance(payload, TicketAsked):
            key_hash = hash_key(payload.tenant, payload.ticket)
            return [self._tickets.on_ticket_asked(host, key_hash, payload, now_s)]
        if isinstance(payload, TicketAnswered):
            return self._on_ticket_answered(host, payload)
        if isinstance(payload, TicketReturned):
            self._tickets.on_ticket_returned(host, payload)
        return []

    def on_tick(self, now_s: float) -> Sequence[IdempotencyCommand]:
        """Appends what is due, and gives up on calls that have waited too long."""
        commands: list[IdempotencyCommand] = [
            self._refuse_timed_out(keyed_call) for keyed_call in self._runs.timed_out(now_s)
        ]
        append = self._claims.on_tick(now_s)
        if append is not None:
            commands.append(append)
        self._runs.forget_expired(now_s)
        self._tickets.forget_expired(now_s)
        return commands

    def _begin(
        self, keyed_call: KeyedCall, now_s: float, now_unix_s: float
    ) -> Sequence[IdempotencyCommand]:
        ticket = parse_ticket(keyed_call.idempotency_key)
        if ticket is None:
            refusal = self._claims.begin_claim(keyed_call, now_s, now_unix_s)
            if refusal is not None:
                return [CallRefused(keyed_call.call.call_id, refusal)]
            self._runs.add(keyed_call)
            return []
        result = self._tickets.begin_call(keyed_call, ticket, now_s)
        if isinstance(result, Refusal):
            return [CallRefused(keyed_call.call.call_id, result)]
        self._runs.add(keyed_call)
        if result is None:
            return [_grant(keyed_call)]
        return [result]

    def _on_claim_decision(
        self, decision: ClaimDecision, now_s: float
    ) -> IdempotencyCommand | None:
        keyed_call = self._runs.get(decision.key_hash)
        waiting = (
            keyed_call is not None
            and keyed_call.state is KeyedCallState.WAITING
            and not keyed_call.issuer
        )
        if keyed_call is None or not waiting:
            holds_claim = keyed_call is not None and keyed_call.claim_offset == decision.offset
            if decision.won and not holds_claim:
                # The call was given up on before its claim was read back.
                self._claims.release_claim(decision.key_hash, decision.offset, now_s)
            return None
        if decision.won:
            keyed_call.claim_offset = decision.offset
            return _grant(keyed_call)
        self._runs.remove(keyed_call)
        return CallRefused(keyed_call.call.call_id, self._claims.refusal_for_lost_claim(keyed_call))

    def _on_ticket_answered(
        self, host: str, answered: TicketAnswered
    ) -> Sequence[IdempotencyCommand]:
        keyed_call = self._runs.find_by_ask_id(answered.ask_id)
        outcome = _TICKET_OUTCOMES.get(answered.outcome, TicketOutcome.SPENT)
        if keyed_call is None:
            passed = outcome is TicketOutcome.GRANTED
            return [self._tickets.return_late_grant(host, answered)] if passed else []
        if keyed_call.issuer != host or keyed_call.state is not KeyedCallState.WAITING:
            return []
        if outcome is TicketOutcome.GRANTED:
            return [_grant(keyed_call)]
        self._runs.remove(keyed_call)
        return [CallRefused(keyed_call.call.call_id, refusal_for(outcome))]

    def _refuse_timed_out(self, keyed_call: KeyedCall) -> CallRefused:
        self._runs.remove(keyed_call)
        refusal = ISSUER_UNREACHABLE if keyed_call.issuer else self._claims.cancel_claim(keyed_call)
        return CallRefused(keyed_call.call.call_id, refusal)


def _grant(keyed_call: KeyedCall) -> CallGranted:
    keyed_call.state = KeyedCallState.RUNNING
    return CallGranted(keyed_call.call)


def _answer_repeat(earlier: KeyedCall, call: Call) -> CallCompleted | CallRefused:
    """Returns what a repeated key gets from the host that took the key before."""
    if earlier.call.fingerprint != call.fingerprint:
        return CallRefused(call.call_id, CONTENT_MISMATCH)
    if earlier.answer is not None:
        answer = earlier.answer
        return CallCompleted(call.call_id, answer.status, answer.body, answer.content_type)
    refusal = {
        KeyedCallState.WAITING: _IN_PROGRESS,
        KeyedCallState.RUNNING: _IN_PROGRESS,
        KeyedCallState.COMPLETED: _ALREADY_COMPLETED,
        KeyedCallState.MAY_HAVE_RUN: _OUTCOME_UNKNOWN,
        KeyedCallState.NOT_RUN: refusal_for(TicketOutcome.VOID),
    }[earlier.state]
    return CallRefused(call.call_id, refusal)

"""At-most-once execution: decides whether a non-repeatable call is passed to dispatch.

A call with a plain idempotency key runs on the host whose claim won in the platform's log; a call
with a ticket runs on the host that the ticket's issuer allows. Only the host that holds this right
may report that the call was not run. Without a key each request runs at most once.
"""

from collections.abc import Sequence
from typing import Final

from berylquay.call_verdicts import Refusal, RefusalReason, Verdict
from berylquay.component_messages import (
    CallCompleted,
    CallGranted,
    CallRefused,
    PeerSendRequested,
    RecordAppendRequested,
    RecordsRead,
)
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
from berylquay.peers.payloads import PeerPayload, TicketAnswered, TicketAsked, TicketReturned

IdempotencyCommand = (
    CallGranted | CallRefused | CallCompleted | RecordAppendRequested | PeerSendRequested
)

# Maximum length of an idempotency key.
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
    """Keeps each non-repeatable call waiting until this host has the right to run it."""

    # Calls on this host by idempotency key.
    _keyed_calls: KeyedCallTable
    # Obtains the right to run calls with plain keys.
    _claim_coordinator: ClaimCoordinator
    # Obtains and grants the right to run calls with tickets.
    _ticket_coordinator: TicketCoordinator

    def __init__(self, issuer: TicketIssuer) -> None:
        self._keyed_calls = KeyedCallTable()
        self._claim_coordinator = ClaimCoordinator(issuer.incarnation)
        self._ticket_coordinator = TicketCoordinator(issuer, self._keyed_calls)

    def issue_ticket(self, tenant: str, now_s: float) -> str:
        """Returns a single-use ticket for the tenant."""
        return self._ticket_coordinator.issue(tenant, now_s)

    def on_log_reachability(self, reachable: bool) -> None:
        """Updates whether the platform's log is reachable."""
        self._claim_coordinator.on_log_reachability(reachable)

    def on_host_count(self, count: int) -> None:
        """Updates the number of entry hosts."""
        self._claim_coordinator.on_host_count(count)

    def on_peer_link(self, host: str, connected: bool) -> None:
        """Updates whether the link to another host is up."""
        self._ticket_coordinator.on_peer_link(host, connected)

    def on_call(self, call: Call, now_s: float, now_unix_s: float) -> Sequence[IdempotencyCommand]:
        """Grants or refuses a non-repeatable call, or keeps it waiting for the right to run.

        A repeated key gets the stored answer or the state of the earlier call.

        Args:
            call: The call.
            now_s: Present monotonic time.
            now_unix_s: Present wall-clock time.
        """
        if not call.idempotency_key:
            return [CallGranted(call)]
        if len(call.idempotency_key) > MAX_KEY_CHARACTERS:
            return [CallRefused(call.call_id, _KEY_TOO_LONG)]
        key_hash = hash_key(call.tenant, call.idempotency_key)
        earlier = self._keyed_calls.get(key_hash)
        if earlier is not None:
            return [_answer_repeat(earlier, call)]
        if self._keyed_calls.is_full:
            return [CallRefused(call.call_id, _TOO_MANY_KEYS)]
        keyed_call = KeyedCall(
            key_hash, call.idempotency_key, call, expires_s=now_s + KEY_RETENTION_S
        )
        return self._begin_call(keyed_call, now_s, now_unix_s)

    def on_caller_gone(self, call_id: str) -> None:
        """Handles a caller's disconnection: a waiting call is dropped, a running one may have run.

        The claim of a dropped call is cancelled, or released when it is read back as won.
        """
        keyed_call = self._keyed_calls.find_by_call_id(call_id)
        if keyed_call is None:
            return
        if keyed_call.state is KeyedCallState.WAITING:
            self._claim_coordinator.cancel_claim(keyed_call)
            self._keyed_calls.remove(keyed_call)
        else:
            keyed_call.state = KeyedCallState.MAY_HAVE_RUN

    def on_call_completed(self, message: CallCompleted, now_s: float) -> None:
        """Records that the complete answer of a granted call was delivered.

        The answer is stored for repetitions unless the call is a generation.
        """
        keyed_call = self._keyed_calls.find_by_call_id(message.call_id)
        if keyed_call is None or keyed_call.state is KeyedCallState.WAITING:
            return
        answer = None
        if not keyed_call.call.is_generation:
            answer = StoredAnswer(message.status, message.body, message.content_type)
        self._keyed_calls.complete(keyed_call, answer)
        if keyed_call.claim_offset:
            self._claim_coordinator.complete_claim(
                keyed_call.key_hash, keyed_call.claim_offset, now_s
            )

    def on_call_refused(self, message: CallRefused, now_s: float) -> Sequence[IdempotencyCommand]:
        """Handles dispatch's refusal of a granted call; returns the right if it was not run."""
        keyed_call = self._keyed_calls.find_by_call_id(message.call_id)
        if keyed_call is None or keyed_call.state is KeyedCallState.WAITING:
            return []
        if message.refusal.verdict is not Verdict.NOT_RUN:
            keyed_call.state = KeyedCallState.MAY_HAVE_RUN
            return []
        if keyed_call.claim_offset:
            self._keyed_calls.remove(keyed_call)
            self._claim_coordinator.release_claim(
                keyed_call.key_hash, keyed_call.claim_offset, now_s
            )
            return []
        keyed_call.state = KeyedCallState.NOT_RUN
        return_request = self._ticket_coordinator.return_ticket(keyed_call)
        return [] if return_request is None else [return_request]

    def on_records(
        self, message: RecordsRead, now_s: float, now_unix_s: float
    ) -> Sequence[IdempotencyCommand]:
        """Applies records of the log and handles the decisions on this host's claims."""
        decisions = self._claim_coordinator.on_records(message, now_s, now_unix_s)
        commands = [self._on_claim_decision(decision, now_s) for decision in decisions]
        return [command for command in commands if command is not None]

    def on_peer_message(
        self, host: str, payload: PeerPayload, now_s: float
    ) -> Sequence[IdempotencyCommand]:
        """Handles another host's message about a ticket; other messages are ignored."""
        if isinstance(payload, TicketAsked):
            key_hash = hash_key(payload.tenant, payload.ticket)
            return [self._ticket_coordinator.on_ticket_asked(host, key_hash, payload, now_s)]
        if isinstance(payload, TicketAnswered):
            return self._on_ticket_answered(host, payload)
        if isinstance(payload, TicketReturned):
            self._ticket_coordinator.on_ticket_returned(host, payload)
        return []

    def on_tick(self, now_s: float) -> Sequence[IdempotencyCommand]:
        """Refuses calls that waited past their deadline, and returns the append that is due."""
        commands: list[IdempotencyCommand] = [
            self._refuse_timed_out(keyed_call)
            for keyed_call in self._keyed_calls.find_timed_out(now_s)
        ]
        append = self._claim_coordinator.on_tick(now_s)
        if append is not None:
            commands.append(append)
        self._keyed_calls.drop_expired(now_s)
        self._ticket_coordinator.drop_expired(now_s)
        return commands

    def _begin_call(
        self, keyed_call: KeyedCall, now_s: float, now_unix_s: float
    ) -> Sequence[IdempotencyCommand]:
        ticket = parse_ticket(keyed_call.idempotency_key)
        if ticket is None:
            refusal = self._claim_coordinator.begin_claim(keyed_call, now_s, now_unix_s)
            if refusal is not None:
                return [CallRefused(keyed_call.call.call_id, refusal)]
            self._keyed_calls.add(keyed_call)
            return []
        result = self._ticket_coordinator.begin_call(keyed_call, ticket, now_s)
        if isinstance(result, Refusal):
            return [CallRefused(keyed_call.call.call_id, result)]
        self._keyed_calls.add(keyed_call)
        if result is None:
            return [_grant(keyed_call)]
        return [result]

    def _on_claim_decision(
        self, decision: ClaimDecision, now_s: float
    ) -> IdempotencyCommand | None:
        keyed_call = self._keyed_calls.get(decision.key_hash)
        is_waiting_for_claim = (
            keyed_call is not None
            and keyed_call.state is KeyedCallState.WAITING
            and not keyed_call.ticket_issuer_host
        )
        if keyed_call is None or not is_waiting_for_claim:
            holds_claim = keyed_call is not None and keyed_call.claim_offset == decision.offset
            if decision.won and not holds_claim:
                # The call was abandoned before its claim was read back.
                self._claim_coordinator.release_claim(decision.key_hash, decision.offset, now_s)
            return None
        if decision.won:
            keyed_call.claim_offset = decision.offset
            return _grant(keyed_call)
        self._keyed_calls.remove(keyed_call)
        return CallRefused(
            keyed_call.call.call_id, self._claim_coordinator.refusal_for_lost_claim(keyed_call)
        )

    def _on_ticket_answered(
        self, host: str, answered: TicketAnswered
    ) -> Sequence[IdempotencyCommand]:
        keyed_call = self._keyed_calls.find_by_ask_id(answered.ask_id)
        outcome = _TICKET_OUTCOMES.get(answered.outcome, TicketOutcome.SPENT)
        if keyed_call is None:
            granted = outcome is TicketOutcome.GRANTED
            return [self._ticket_coordinator.return_late_grant(host, answered)] if granted else []
        if keyed_call.ticket_issuer_host != host or keyed_call.state is not KeyedCallState.WAITING:
            return []
        if outcome is TicketOutcome.GRANTED:
            return [_grant(keyed_call)]
        self._keyed_calls.remove(keyed_call)
        return [CallRefused(keyed_call.call.call_id, refusal_for(outcome))]

    def _refuse_timed_out(self, keyed_call: KeyedCall) -> CallRefused:
        self._keyed_calls.remove(keyed_call)
        refusal = (
            ISSUER_UNREACHABLE
            if keyed_call.ticket_issuer_host
            else self._claim_coordinator.cancel_claim(keyed_call)
        )
        return CallRefused(keyed_call.call.call_id, refusal)


def _grant(keyed_call: KeyedCall) -> CallGranted:
    keyed_call.state = KeyedCallState.RUNNING
    return CallGranted(keyed_call.call)


def _answer_repeat(earlier: KeyedCall, call: Call) -> CallCompleted | CallRefused:
    """Returns the answer or refusal for a repeated key on the host that took the earlier call."""
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

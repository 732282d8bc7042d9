"""Decides which host may spend a ticket, that is, run the call whose idempotency key it is."""

from typing import Final

from attrs import define

from berylquay.call_verdicts import Refusal, RefusalReason, Verdict
from berylquay.component_messages import PeerSendRequested
from berylquay.decisions.keyed_calls import KeyedCall, KeyedCallState, KeyedCallTable
from berylquay.decisions.tickets import (
    TICKET_LIFETIME_S,
    Ticket,
    TicketIssuer,
    TicketOutcome,
    parse_ticket,
    ticket_expiry_s,
)
from berylquay.peers.payloads import TicketAnswered, TicketAsked, TicketReturned

# Maximum time that a call waits for the issuer of its ticket.
TICKET_TIMEOUT_S: Final = 2.0
_RETRY_AFTER_S: Final = 1.0

ISSUER_UNREACHABLE: Final = Refusal(
    RefusalReason.DUPLICATE,
    Verdict.MAY_HAVE_RUN,
    "the host that issued the ticket is out of reach; it may have run the call",
    _RETRY_AFTER_S,
)
_REFUSALS: Final = {
    TicketOutcome.SPENT: Refusal(
        RefusalReason.DUPLICATE,
        Verdict.MAY_HAVE_RUN,
        "the ticket was spent already",
        _RETRY_AFTER_S,
    ),
    TicketOutcome.COMPLETED: Refusal(
        RefusalReason.DUPLICATE, Verdict.COMPLETED, "the call under this ticket was completed"
    ),
    TicketOutcome.VOID: Refusal(
        RefusalReason.DUPLICATE,
        Verdict.NOT_RUN,
        "the call under this ticket was not run and never will be; send it under a new ticket",
    ),
    TicketOutcome.CONTENT_MISMATCH: Refusal(
        RefusalReason.INVALID, Verdict.NOT_RUN, "another request was sent under the same ticket"
    ),
    TicketOutcome.EXPIRED: Refusal(
        RefusalReason.DUPLICATE, Verdict.MAY_HAVE_RUN, "the ticket has expired"
    ),
    TicketOutcome.ISSUER_GONE: Refusal(
        RefusalReason.DUPLICATE,
        Verdict.MAY_HAVE_RUN,
        "the process that issued the ticket is gone; it may have run the call",
    ),
    TicketOutcome.INVALID: Refusal(
        RefusalReason.INVALID, Verdict.NOT_RUN, "nobody issued this ticket to this tenant"
    ),
}


@define
class _TicketGrant:
    """The right to spend a ticket, granted to another host."""

    host: str
    ask_id: str
    fingerprint: str
    expires_s: float
    # Whether the other host reported that it did not and will not use the right.
    void: bool = False


class TicketCoordinator:
    """Issues tickets, which are single-use idempotency keys, and decides who may spend them.

    It grants other hosts the right to spend this host's tickets, and asks the issuers of other
    tickets for that right.
    """

    # Issues and validates tickets.
    _issuer: TicketIssuer
    # Keyed calls of this host.
    _keyed_calls: KeyedCallTable
    # Hosts to which the link is up.
    _linked_hosts: set[str]
    # Rights granted to other hosts, by the ticket's text.
    _grants: dict[str, _TicketGrant]
    # Number of requests to issuers so far, used for their ids.
    _ask_count: int

    def __init__(self, issuer: TicketIssuer, keyed_calls: KeyedCallTable) -> None:
        self._issuer = issuer
        self._keyed_calls = keyed_calls
        self._linked_hosts = set()
        self._grants = {}
        self._ask_count = 0

    def issue(self, tenant: str, now_s: float) -> str:
        """Returns a new ticket for the tenant."""
        return self._issuer.issue(tenant, now_s)

    def on_peer_link(self, host: str, connected: bool) -> None:
        """Updates whether the link to another host is up."""
        if connected:
            self._linked_hosts.add(host)
        else:
            self._linked_hosts.discard(host)

    def begin_call(
        self, keyed_call: KeyedCall, ticket: Ticket, now_s: float
    ) -> Refusal | PeerSendRequested | None:
        """Begins a call under a ticket.

        Returns:
            None if the call may run now, a request to the ticket's issuer, or a refusal.
        """
        if ticket.host == self._issuer.host:
            return self._begin_with_own_ticket(keyed_call, ticket, now_s)
        if ticket.host not in self._linked_hosts:
            return ISSUER_UNREACHABLE
        self._ask_count += 1
        keyed_call.ticket_issuer_host = ticket.host
        keyed_call.ask_id = f"{self._issuer.incarnation}-{self._ask_count}"
        keyed_call.expires_s = now_s + TICKET_LIFETIME_S
        keyed_call.wait_deadline_s = min(keyed_call.call.deadline_s, now_s + TICKET_TIMEOUT_S)
        asked = TicketAsked(
            keyed_call.ask_id,
            keyed_call.idempotency_key,
            keyed_call.call.tenant,
            keyed_call.call.fingerprint,
        )
        return PeerSendRequested(keyed_call.ticket_issuer_host, asked)

    def on_ticket_asked(
        self, host: str, key_hash: str, asked: TicketAsked, now_s: float
    ) -> PeerSendRequested:
        """Returns the answer to another host that asks to spend a ticket of this host."""
        outcome = self._decide_outcome(host, key_hash, asked, now_s)
        return PeerSendRequested(host, TicketAnswered(asked.ask_id, asked.ticket, outcome.value))

    def on_ticket_returned(self, host: str, returned: TicketReturned) -> None:
        """Marks a grant as void because the other host did not use it.

        The ticket is not granted again. Another host may have received the call before the caller
        was told that it was not run; if that host asks only now, it must not run the call either.
        """
        grant = self._grants.get(returned.ticket)
        if grant is not None and (grant.host, grant.ask_id) == (host, returned.ask_id):
            grant.void = True

    def return_ticket(self, keyed_call: KeyedCall) -> PeerSendRequested | None:
        """Returns the message that gives the right back to the issuing host.

        Returns None if this host issued the ticket.
        """
        if not keyed_call.ticket_issuer_host:
            return None
        return PeerSendRequested(
            keyed_call.ticket_issuer_host,
            TicketReturned(keyed_call.ask_id, keyed_call.idempotency_key),
        )

    def return_late_grant(self, host: str, answered: TicketAnswered) -> PeerSendRequested:
        """Returns the message that gives back a right granted too late to be used."""
        return PeerSendRequested(host, TicketReturned(answered.ask_id, answered.ticket))

    def drop_expired(self, now_s: float) -> None:
        """Drops the grants of tickets that have expired."""
        while self._grants:
            text, grant = next(iter(self._grants.items()))
            if grant.expires_s > now_s:
                return
            del self._grants[text]

    def _begin_with_own_ticket(
        self, keyed_call: KeyedCall, ticket: Ticket, now_s: float
    ) -> Refusal | None:
        outcome = self._issuer.validate(ticket, keyed_call.call.tenant, now_s)
        if outcome is not None:
            return _REFUSALS[outcome]
        grant = self._grants.get(keyed_call.idempotency_key)
        if grant is not None:
            return _REFUSALS[_outcome_of_grant(grant, keyed_call.call.fingerprint)]
        keyed_call.expires_s = ticket_expiry_s(ticket)
        return None

    def _decide_outcome(
        self, host: str, key_hash: str, asked: TicketAsked, now_s: float
    ) -> TicketOutcome:
        ticket = parse_ticket(asked.ticket)
        if ticket is None:
            return TicketOutcome.INVALID
        outcome = self._issuer.validate(ticket, asked.tenant, now_s)
        if outcome is not None:
            return outcome
        keyed_call = self._keyed_calls.get(key_hash)
        if keyed_call is not None:
            return _outcome_of_keyed_call(keyed_call, asked.fingerprint)
        grant = self._grants.get(asked.ticket)
        if grant is not None:
            return _outcome_of_grant(grant, asked.fingerprint)
        self._grants[asked.ticket] = _TicketGrant(
            host, asked.ask_id, asked.fingerprint, ticket_expiry_s(ticket)
        )
        return TicketOutcome.GRANTED


def refusal_for(outcome: TicketOutcome) -> Refusal:
    """Returns the refusal for an outcome other than GRANTED."""
    return _REFUSALS[outcome]


def _outcome_of_keyed_call(keyed_call: KeyedCall, fingerprint: str) -> TicketOutcome:
    if keyed_call.call.fingerprint != fingerprint:
        return TicketOutcome.CONTENT_MISMATCH
    if keyed_call.state is KeyedCallState.COMPLETED:
        return TicketOutcome.COMPLETED
    return TicketOutcome.VOID if keyed_call.state is KeyedCallState.NOT_RUN else TicketOutcome.SPENT


def _outcome_of_grant(grant: _TicketGrant, fingerprint: str) -> TicketOutcome:
    if grant.fingerprint != fingerprint:
        return TicketOutcome.CONTENT_MISMATCH
    return TicketOutcome.VOID if grant.void else TicketOutcome.SPENT

"""The ticket desk: who may spend a ticket, among the hosts that are linked with its issuer."""

from typing import Final

from attrs import define

from berylquay.decisions.key_runs import KeyRun, KeyRuns, RunState
from berylquay.decisions.tickets import (
    TICKET_LIFETIME_S,
    Ticket,
    TicketIssuer,
    TicketOutcome,
    parse_ticket,
    ticket_expiry_s,
)
from berylquay.messages import PeerSendRequested
from berylquay.peers.payloads import TicketAnswered, TicketAsked, TicketReturned
from berylquay.verdicts import Refusal, RefusalReason, Verdict

# Longest time that a call waits for the issuer of its ticket.
TICKET_WAIT_S: Final = 2.0
_RETRY_AFTER_S: Final = 1.0

OUT_OF_REACH: Final = Refusal(
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
    TicketOutcome.OTHER_CONTENT: Refusal(
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
class _Transfer:
    """The right to spend a ticket, passed to another host."""

    host: str
    ask_id: str
    fingerprint: str
    expires_s: float
    # Whether the other host said that it did not and will not use the right.
    void: bool = False


class TicketDesk:
    """Issues tickets, passes the right to spend them on, and asks for it."""

    # Makes and checks tickets.
    _issuer: TicketIssuer
    # Runs of this host.
    _runs: KeyRuns
    # Hosts to which a link is up.
    _linked: set[str]
    # Rights passed on, by the ticket's text.
    _transfers: dict[str, _Transfer]
    # Number of questions so far, for their ids.
    _ask_count: int

    def __init__(self, issuer: TicketIssuer, runs: KeyRuns) -> None:
        self._issuer = issuer
        self._runs = runs
        self._linked = set()
        self._transfers = {}
        self._ask_count = 0

    def issue(self, tenant: str, now_s: float) -> str:
        """Returns a new ticket."""
        return self._issuer.issue(tenant, now_s)

    def on_link(self, host: str, connected: bool) -> None:
        """Notes whether a link is up."""
        if connected:
            self._linked.add(host)
        else:
            self._linked.discard(host)

    def begin(
        self, run: KeyRun, ticket: Ticket, now_s: float
    ) -> Refusal | PeerSendRequested | None:
        """Begins a run under a ticket.

        Returns:
            None if the call may run now, a question to the issuer, or why the call is refused.
        """
        if ticket.host == self._issuer.host:
            return self._begin_own(run, ticket, now_s)
        if ticket.host not in self._linked:
            return OUT_OF_REACH
        self._ask_count += 1
        run.issuer = ticket.host
        run.ask_id = f"{self._issuer.incarnation}-{self._ask_count}"
        run.expires_s = now_s + TICKET_LIFETIME_S
        run.wait_until_s = min(run.call.deadline_s, now_s + TICKET_WAIT_S)
        asked = TicketAsked(run.ask_id, run.text, run.call.tenant, run.call.fingerprint)
        return PeerSendRequested(run.issuer, asked)

    def on_asked(self, host: str, key: str, asked: TicketAsked, now_s: float) -> PeerSendRequested:
        """Answers another host that wants to spend a ticket of this one."""
        outcome = self._outcome_of(host, key, asked, now_s)
        return PeerSendRequested(host, TicketAnswered(asked.ask_id, asked.ticket, outcome.value))

    def on_returned(self, host: str, returned: TicketReturned) -> None:
        """Notes that a right that was passed on was not used.

        The ticket stays void: a host that got the ticket before the caller heard that its call was
        not run, and asks only now, must not run it either.
        """
        transfer = self._transfers.get(returned.ticket)
        if transfer is not None and (transfer.host, transfer.ask_id) == (host, returned.ask_id):
            transfer.void = True

    def give_back(self, run: KeyRun) -> PeerSendRequested | None:
        """Returns the message that says that the right is not used, if another host issued it."""
        if not run.issuer:
            return None
        return PeerSendRequested(run.issuer, TicketReturned(run.ask_id, run.text))

    def on_unwanted(self, host: str, answered: TicketAnswered) -> PeerSendRequested:
        """Says that a right that came too late is not used."""
        return PeerSendRequested(host, TicketReturned(answered.ask_id, answered.ticket))

    def forget_expired(self, now_s: float) -> None:
        """Forgets the transfers of tickets that have expired."""
        while self._transfers:
            text, transfer = next(iter(self._transfers.items()))
            if transfer.expires_s > now_s:
                return
            del self._transfers[text]

    def _begin_own(self, run: KeyRun, ticket: Ticket, now_s: float) -> Refusal | None:
        outcome = self._issuer.check(ticket, run.call.tenant, now_s)
        if outcome is not None:
            return _REFUSALS[outcome]
        transfer = self._transfers.get(run.text)
        if transfer is not None:
            return _REFUSALS[_outcome_of_transfer(transfer, run.call.fingerprint)]
        run.expires_s = ticket_expiry_s(ticket)
        return None

    def _outcome_of(self, host: str, key: str, asked: TicketAsked, now_s: float) -> TicketOutcome:
        ticket = parse_ticket(asked.ticket)
        if ticket is None:
            return TicketOutcome.INVALID
        outcome = self._issuer.check(ticket, asked.tenant, now_s)
        if outcome is not None:
            return outcome
        run = self._runs.get(key)
        if run is not None:
            return _outcome_of_run(run, asked.fingerprint)
        transfer = self._transfers.get(asked.ticket)
        if transfer is not None:
            return _outcome_of_transfer(transfer, asked.fingerprint)
        self._transfers[asked.ticket] = _Transfer(
            host, asked.ask_id, asked.fingerprint, ticket_expiry_s(ticket)
        )
        return TicketOutcome.PASSED


def refusal_for(outcome: TicketOutcome) -> Refusal:
    """Returns the refusal that stands for an issuer's answer other than PASSED."""
    return _REFUSALS[outcome]


def _outcome_of_run(run: KeyRun, fingerprint: str) -> TicketOutcome:
    if run.call.fingerprint != fingerprint:
        return TicketOutcome.OTHER_CONTENT
    if run.state is RunState.COMPLETED:
        return TicketOutcome.COMPLETED
    return TicketOutcome.VOID if run.state is RunState.NOT_RUN else TicketOutcome.SPENT


def _outcome_of_transfer(transfer: _Transfer, fingerprint: str) -> TicketOutcome:
    if transfer.fingerprint != fingerprint:
        return TicketOutcome.OTHER_CONTENT
    return TicketOutcome.VOID if transfer.void else TicketOutcome.SPENT

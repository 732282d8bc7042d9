"""Attempts: runs each attempt over a connection of its own to a backend server."""

from circuits import BaseComponent, handler

from berylquay.backends.exchanges import AttemptExchange, AttemptReport
from berylquay.decisions.fleet import Address
from berylquay.messages import (
    AttemptCancelled,
    AttemptCompleted,
    AttemptFailed,
    AttemptRequested,
    AttemptTokens,
    MembershipRead,
    TokensArrived,
    TokensCollected,
)
from berylquay.net.bus import BUS, post
from berylquay.net.connections import Connections
from berylquay.verdicts import Verdict


class BackendAttempts(BaseComponent):
    """Owns the exchanges of all attempts in flight; each attempt ends with exactly one report."""

    channel = BUS

    # Opens the connections.
    _outbound: Connections
    # Address by backend server.
    _addresses: dict[str, Address]
    # Running exchange by attempt id.
    _exchanges: dict[str, AttemptExchange]
    # Tokens that were read since the last hand-over.
    _collected: list[AttemptTokens]

    def __init__(self, outbound: Connections) -> None:
        super().__init__()
        self._outbound = outbound
        self._addresses = {}
        self._exchanges = {}
        self._collected = []

    @handler("MembershipRead")
    def _on_membership(self, message: MembershipRead) -> None:
        self._addresses = {server.name: server.address for server in message.view.backends}

    @handler("AttemptRequested")
    def _on_requested(self, message: AttemptRequested) -> None:
        attempt = message.attempt
        address = self._addresses.get(attempt.backend)
        if address is None:
            detail = "the backend server is gone"
            post(self, AttemptFailed(attempt.attempt_id, Verdict.NOT_RUN, detail, False))
            return
        self._exchanges[attempt.attempt_id] = AttemptExchange(
            self._outbound, address, attempt, self._report
        )

    @handler("AttemptCancelled")
    def _on_cancelled(self, message: AttemptCancelled) -> None:
        exchange = self._exchanges.get(message.attempt_id)
        if exchange is not None:
            exchange.cancel()

    @handler("TokensCollected")
    def _on_collected(self, _message: TokensCollected) -> None:
        self._hand_over_tokens()

    def _report(self, message: AttemptReport) -> None:
        if isinstance(message, AttemptTokens):
            self._collect(message)
            return
        # What ends an attempt must not overtake its tokens.
        self._hand_over_tokens()
        if isinstance(message, AttemptCompleted | AttemptFailed):
            self._exchanges.pop(message.attempt_id, None)
        post(self, message)

    def _collect(self, message: AttemptTokens) -> None:
        if not self._collected:
            post(self, TokensCollected())
        self._collected.append(message)

    def _hand_over_tokens(self) -> None:
        if self._collected:
            post(self, TokensArrived(tuple(self._collected)))
            self._collected.clear()

"""Runs each attempt on a separate connection to a backend server."""

import time
from collections.abc import Callable
from functools import partial

from circuits import BaseComponent, handler

from berylquay.backends.answer_end_check import AnswerEndCheck
from berylquay.backends.upstream_attempt import AttemptReport, UpstreamAttempt
from berylquay.call_verdicts import Verdict
from berylquay.component_messages import (
    AttemptCancelled,
    AttemptCompleted,
    AttemptFailed,
    AttemptRequested,
    AttemptTokens,
    MembershipRead,
    TokensArrived,
    TokensCollected,
)
from berylquay.decisions.fleet import Address
from berylquay.decisions.response_end import EndVerdict
from berylquay.net.message_bus import BUS, post
from berylquay.net.process_messages import Tick
from berylquay.net.tcp_connections import TcpConnections


class AttemptRunner(BaseComponent):
    """Owns all attempts in flight.

    Each attempt ends with exactly one `AttemptCompleted` or `AttemptFailed`.
    """

    channel = BUS

    # Opens the connections.
    _connections: TcpConnections
    # Address by backend server.
    _addresses: dict[str, Address]
    # Attempts in flight by attempt id.
    _in_flight: dict[str, UpstreamAttempt]
    # Checks of answers whose end is uncertain.
    _end_checks: list[AnswerEndCheck]
    # Tokens received since the last `TokensArrived` was posted.
    _buffered_tokens: list[AttemptTokens]

    def __init__(self, connections: TcpConnections) -> None:
        super().__init__()
        self._connections = connections
        self._addresses = {}
        self._in_flight = {}
        self._end_checks = []
        self._buffered_tokens = []

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
        self._in_flight[attempt.attempt_id] = UpstreamAttempt(
            self._connections,
            address,
            attempt,
            self._on_attempt_report,
            partial(self._start_end_check, address),
        )

    @handler("AttemptCancelled")
    def _on_cancelled(self, message: AttemptCancelled) -> None:
        upstream_attempt = self._in_flight.get(message.attempt_id)
        if upstream_attempt is not None:
            upstream_attempt.cancel()

    @handler("Tick")
    def _on_tick(self, message: Tick) -> None:
        for check in list(self._end_checks):
            check.on_tick(message.now_s)
        self._end_checks = [check for check in self._end_checks if not check.is_done]

    @handler("TokensCollected")
    def _on_collected(self, _message: TokensCollected) -> None:
        self._flush_tokens()

    def _on_attempt_report(self, message: AttemptReport) -> None:
        if isinstance(message, AttemptTokens):
            self._buffer_tokens(message)
            return
        # The buffered tokens go first: the end of an attempt must not overtake its tokens.
        self._flush_tokens()
        if isinstance(message, AttemptCompleted | AttemptFailed):
            self._in_flight.pop(message.attempt_id, None)
        post(self, message)

    def _start_end_check(
        self, address: Address, incarnation: str, on_verdict: Callable[[EndVerdict, str], None]
    ) -> AnswerEndCheck:
        check = AnswerEndCheck(
            self._connections, address, incarnation, on_verdict, clock=time.monotonic
        )
        self._end_checks.append(check)
        return check

    def _buffer_tokens(self, message: AttemptTokens) -> None:
        if not self._buffered_tokens:
            post(self, TokensCollected())
        self._buffered_tokens.append(message)

    def _flush_tokens(self) -> None:
        if self._buffered_tokens:
            post(self, TokensArrived(tuple(self._buffered_tokens)))
            self._buffered_tokens.clear()

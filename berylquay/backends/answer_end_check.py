"""Checks whether a service still runs after an answer that only the end of its connection ended."""

import json
from collections.abc import Callable
from typing import Final

from berylquay.decisions.fleet import Address
from berylquay.decisions.response_end import EndVerdict, InstanceEvidence, InstanceState, judge_end
from berylquay.errors import TransportError
from berylquay.net.http_client import HttpExchange, HttpRequest, HttpResponseHead
from berylquay.net.tcp_connections import CONNECTION_REFUSED, TcpConnections

STATE_PATH: Final = "/v1/state"
# Header with the incarnation of a backend server, which changes with each restart.
INCARNATION_HEADER: Final = "x-incarnation"
# Time after the end of an answer at which the check gives up, and that of one question.
CHECK_TIMEOUT_S: Final = 2.0
QUESTION_TIMEOUT_S: Final = 1.0
# Most bytes kept of a response, which holds the server's state.
MAX_STATE_BYTES: Final = 65536


class AnswerEndCheck:
    """Asks a service for its state until it is known whether the answer's sender still runs.

    A process that answers a question asked after the end of its answer was not ended by it.
    """

    _connections: TcpConnections
    _address: Address
    # Incarnation that the answer stated; empty if it stated none.
    _incarnation: str
    # Called once with what the end of the answer is taken for, and why.
    _on_verdict: Callable[[EndVerdict, str], None]
    # Reads the monotonic clock.
    _clock: Callable[[], float]
    _ended_s: float
    _asked_s: float
    _evidence: InstanceEvidence
    # Question in flight, or None, and what was received of its answer.
    _exchange: HttpExchange | None
    _head: HttpResponseHead
    _body: bytearray
    # Whether the verdict is known, or nobody waits for it any more.
    is_done: bool

    def __init__(
        self,
        connections: TcpConnections,
        address: Address,
        incarnation: str,
        on_verdict: Callable[[EndVerdict, str], None],
        clock: Callable[[], float],
    ) -> None:
        self._connections = connections
        self._address = address
        self._incarnation = incarnation
        self._on_verdict = on_verdict
        self._clock = clock
        self._ended_s = clock()
        self._evidence = InstanceEvidence()
        self.is_done = False
        self._ask(self._ended_s)

    def on_tick(self, now_s: float) -> None:
        """Gives up a question that takes too long, asks again, and ends the check in time."""
        if self._exchange is not None and now_s - self._asked_s > QUESTION_TIMEOUT_S:
            self._exchange.abort("no answer in time")
        self._judge(now_s)
        if not self.is_done and self._exchange is None and self._evidence.may_ask(now_s):
            self._ask(now_s)

    def cancel(self) -> None:
        """Ends the check without a verdict."""
        self.is_done = True
        if self._exchange is not None:
            self._exchange.cancel()

    def on_response_head(self, head: HttpResponseHead) -> None:
        """Stores the head of the service's answer."""
        self._head = head

    def on_response_data(self, data: bytes) -> None:
        """Appends to the body, up to the size limit."""
        self._body += data[: MAX_STATE_BYTES - len(self._body)]

    def on_response_complete(self) -> None:
        """Compares the incarnation, if the answer has stated one."""
        self._exchange = None
        stated = parse_incarnation(bytes(self._body))
        stated = stated or self._head.headers.get(INCARNATION_HEADER, "")
        now_s = self._clock()
        reason = f"status {self._head.status}, incarnation {stated!r}"
        if self._incarnation and not stated:
            self._evidence.on_failure(reason, self._asked_s, now_s, was_refused=False)
        else:
            is_same = self._incarnation in {"", stated}
            state = InstanceState.RUNNING if is_same else InstanceState.ENDED
            self._evidence.on_result(state, reason, self._asked_s)
        self._judge(now_s)

    def on_response_failed(self, error: TransportError) -> None:
        """Records that the question was not answered."""
        self._exchange = None
        now_s = self._clock()
        was_refused = error.detail == CONNECTION_REFUSED
        self._evidence.on_failure(error.detail, self._asked_s, now_s, was_refused=was_refused)
        self._judge(now_s)

    def _ask(self, now_s: float) -> None:
        self._asked_s = now_s
        self._head = HttpResponseHead(0)
        self._body = bytearray()
        request = HttpRequest("GET", STATE_PATH)
        self._exchange = HttpExchange(self._connections, self._address, request, self)

    def _judge(self, now_s: float) -> None:
        if self.is_done:
            return
        state = self._evidence.state_since(self._ended_s)
        verdict = judge_end(state, now_s - self._ended_s, CHECK_TIMEOUT_S)
        if verdict is not None:
            self.cancel()
            self._on_verdict(verdict, self._evidence.reason)


def parse_incarnation(body: bytes) -> str:
    """Returns the incarnation in a server's state, or an empty text if there is none."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        return ""
    incarnation = value.get("incarnation") if isinstance(value, dict) else None
    return incarnation if isinstance(incarnation, str) else ""

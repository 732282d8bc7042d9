"""One bounded exchange of JSON over HTTP with the platform; shared by all its clients."""

import json
from collections.abc import Callable
from typing import Final

from attrs import frozen
from returns.result import Failure, Result, Success

from berylquay.call_verdicts import Verdict
from berylquay.decisions.fleet import Address
from berylquay.errors import TransportError
from berylquay.net.http_client import HttpExchange, HttpRequest, HttpResponseHead
from berylquay.net.tcp_connections import TcpConnections

MAX_RESPONSE_BODY_BYTES: Final = 16 * 1024 * 1024
RETRY_AFTER_HEADER: Final = "retry-after"
ENTITY_TAG_HEADER: Final = "etag"


@frozen
class JsonResponse:
    """A whole answer of the platform."""

    status: int
    body: dict[str, object]
    # When the platform asked to be tried again; 0 if it did not say.
    retry_after_s: float = 0.0
    # Names the state of what was read; empty if the platform did not say.
    entity_tag: str = ""


ExchangeOutcome = Result[JsonResponse, TransportError]


class JsonExchange:
    """Sends one request and hands over the whole answer, or why there is none, once."""

    # Monotonic time at which the exchange has failed if there is no answer.
    deadline_s: float
    # Who is told.
    _on_outcome: Callable[[ExchangeOutcome], None]
    # The exchange beneath.
    _exchange: HttpExchange
    # Head of the answer, once it has come.
    _head: HttpResponseHead
    # Pieces of the body so far.
    _body_chunks: list[bytes]
    # Size of the pieces.
    _body_bytes: int

    def __init__(
        self,
        connections: TcpConnections,
        address: Address,
        request: HttpRequest,
        deadline_s: float,
        on_outcome: Callable[[ExchangeOutcome], None],
    ) -> None:
        self.deadline_s = deadline_s
        self._on_outcome = on_outcome
        self._head = HttpResponseHead(0)
        self._body_chunks = []
        self._body_bytes = 0
        self._exchange = HttpExchange(connections, address, request, self)

    def expire_if_overdue(self, now_s: float) -> None:
        """Fails the exchange if its deadline has passed."""
        if now_s >= self.deadline_s:
            self._exchange.abort("no answer in time")

    def on_response_head(self, head: HttpResponseHead) -> None:
        """Keeps the head."""
        self._head = head

    def on_response_data(self, data: bytes) -> None:
        """Collects the body."""
        self._body_chunks.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > MAX_RESPONSE_BODY_BYTES:
            self._exchange.abort("the answer is too large")

    def on_response_complete(self) -> None:
        """Hands the answer over."""
        try:
            body = json.loads(b"".join(self._body_chunks) or b"{}")
            retry_after_s = float(self._head.headers.get(RETRY_AFTER_HEADER, "0"))
        except ValueError:
            body = None
        if not isinstance(body, dict):
            detail = f"malformed answer with status {self._head.status}"
            self._on_outcome(Failure(TransportError(detail, Verdict.MAY_HAVE_RUN)))
            return
        entity_tag = self._head.headers.get(ENTITY_TAG_HEADER, "")
        self._on_outcome(Success(JsonResponse(self._head.status, body, retry_after_s, entity_tag)))

    def on_response_failed(self, error: TransportError) -> None:
        """Hands over why there is no answer."""
        self._on_outcome(Failure(error))

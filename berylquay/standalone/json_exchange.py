"""JSON requests over HTTP to the platform, with a deadline and a limit on the response size."""

import json
from collections.abc import Callable
from typing import Final

from attrs import frozen
from returns.result import Failure, Result, Success

from berylquay.call_verdicts import Verdict
from berylquay.decisions.fleet import Address
from berylquay.errors import TransportError
from berylquay.net.body_framing import STATUSES_WITHOUT_BODY, BodyFraming
from berylquay.net.http_client import HttpExchange, HttpRequest, HttpResponseHead
from berylquay.net.tcp_connections import TcpConnections

MAX_RESPONSE_BODY_BYTES: Final = 16 * 1024 * 1024
RETRY_AFTER_HEADER: Final = "retry-after"
ENTITY_TAG_HEADER: Final = "etag"


@frozen
class JsonResponse:
    """A complete response of the platform."""

    status: int
    body: dict[str, object]
    # Value of the Retry-After header, in seconds; 0 if the header is missing.
    retry_after_s: float = 0.0
    # Value of the ETag header; empty if the header is missing.
    entity_tag: str = ""


ExchangeOutcome = Result[JsonResponse, TransportError]


class JsonExchange:
    """Sends one request and reports the complete response, or the failure, exactly once."""

    # Monotonic time after which the exchange fails if the response is not complete.
    deadline_s: float
    # Called with the outcome.
    _on_outcome: Callable[[ExchangeOutcome], None]
    # The underlying HTTP exchange.
    _http_exchange: HttpExchange
    # Response head; a placeholder with status 0 until it is received.
    _head: HttpResponseHead
    # Chunks of the body received so far, and their total size.
    _body_chunks: list[bytes]
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
        self._http_exchange = HttpExchange(connections, address, request, self)

    def expire_if_overdue(self, now_s: float) -> None:
        """Fails the exchange if its deadline has passed."""
        if now_s >= self.deadline_s:
            self._http_exchange.abort("no answer in time")

    def on_response_head(self, head: HttpResponseHead) -> None:
        """Stores the response head."""
        self._head = head

    def on_response_data(self, data: bytes) -> None:
        """Stores a chunk of the body; fails the exchange if the body is too large."""
        self._body_chunks.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > MAX_RESPONSE_BODY_BYTES:
            self._http_exchange.abort("the answer is too large")

    def on_response_complete(self) -> None:
        """Reports the response, or a failure if its body is not a JSON object."""
        content = b"".join(self._body_chunks)
        try:
            body = json.loads(content or (b"" if self._may_lack_body else b"{}"))
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
        """Reports the failure."""
        self._on_outcome(Failure(error))

    @property
    def _may_lack_body(self) -> bool:
        """Returns whether the sender may have ended before the first byte of the body."""
        is_unframed = self._head.framing is BodyFraming.CONNECTION_END
        return is_unframed and self._head.status not in STATUSES_WITHOUT_BODY

"""One bounded exchange of JSON over HTTP with the platform; shared by all its clients."""

import json
from collections.abc import Callable
from typing import Final

from attrs import frozen
from returns.result import Failure, Result, Success

from berylquay.decisions.fleet import Address
from berylquay.errors import TransportError
from berylquay.net.connections import Connections
from berylquay.net.http_client import HttpExchange, HttpHead, HttpRequest
from berylquay.verdicts import Verdict

MAX_BODY_BYTES: Final = 16 * 1024 * 1024
RETRY_AFTER_HEADER: Final = "retry-after"
ENTITY_TAG_HEADER: Final = "etag"


@frozen
class JsonAnswer:
    """A whole answer of the platform."""

    status: int
    value: dict[str, object]
    # When the platform asked to be tried again; 0 if it did not say.
    retry_after_s: float = 0.0
    # Names the state of what was read; empty if the platform did not say.
    entity_tag: str = ""


Outcome = Result[JsonAnswer, TransportError]


class JsonExchange:
    """Sends one request and hands over the whole answer, or why there is none, once."""

    # Monotonic time at which the exchange has failed if there is no answer.
    deadline_s: float
    # Who is told.
    _on_outcome: Callable[[Outcome], None]
    # The exchange beneath.
    _exchange: HttpExchange
    # Head of the answer, once it has come.
    _head: HttpHead
    # Pieces of the body so far.
    _body: list[bytes]
    # Size of the pieces.
    _body_bytes: int

    def __init__(
        self,
        outbound: Connections,
        address: Address,
        request: HttpRequest,
        deadline_s: float,
        on_outcome: Callable[[Outcome], None],
    ) -> None:
        self.deadline_s = deadline_s
        self._on_outcome = on_outcome
        self._head = HttpHead(0)
        self._body = []
        self._body_bytes = 0
        self._exchange = HttpExchange(outbound, address, request, self)

    def expire(self, now_s: float) -> None:
        """Fails the exchange if its deadline has passed."""
        if now_s >= self.deadline_s:
            self._exchange.abort("no answer in time")

    def on_head(self, head: HttpHead) -> None:
        """Keeps the head."""
        self._head = head

    def on_body(self, data: bytes) -> None:
        """Collects the body."""
        self._body.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > MAX_BODY_BYTES:
            self._exchange.abort("the answer is too large")

    def on_end(self) -> None:
        """Hands the answer over."""
        try:
            value = json.loads(b"".join(self._body) or b"{}")
            retry_after_s = float(self._head.headers.get(RETRY_AFTER_HEADER, "0"))
        except ValueError:
            value = None
        if not isinstance(value, dict):
            detail = f"malformed answer with status {self._head.status}"
            self._on_outcome(Failure(TransportError(detail, Verdict.MAY_HAVE_RUN)))
            return
        tag = self._head.headers.get(ENTITY_TAG_HEADER, "")
        self._on_outcome(Success(JsonAnswer(self._head.status, value, retry_after_s, tag)))

    def on_error(self, error: TransportError) -> None:
        """Hands over why there is no answer."""
        self._on_outcome(Failure(error))

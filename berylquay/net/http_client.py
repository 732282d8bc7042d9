"""An HTTP/1.1 client that opens a connection per request and streams the response body."""

import json
from collections.abc import Callable
from typing import Final, Protocol

import h11
from attrs import field, frozen

from berylquay.call_verdicts import Verdict
from berylquay.decisions.fleet import Address
from berylquay.errors import TransportError
from berylquay.net.body_framing import BodyFraming, framing_of
from berylquay.net.persistent_http import REQUEST_NOT_TAKEN
from berylquay.net.response_heads import find_head_fault, is_success
from berylquay.net.tcp_connections import Connection, TcpConnections

STATUS_OK: Final = 200


@frozen
class HttpRequest:
    """An HTTP request to another process."""

    method: str
    target: str
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


@frozen
class HttpResponseHead:
    """Status code and headers of a response; header names are in lower case."""

    status: int
    headers: dict[str, str] = field(factory=dict)

    @property
    def framing(self) -> BodyFraming:
        """Returns how the end of the body is marked."""
        return framing_of(self.headers)


class HttpResponseHandler(Protocol):
    """Callbacks that `HttpExchange` invokes; none is called after `cancel`."""

    def on_response_head(self, head: HttpResponseHead) -> None:
        """Called once with the status code and headers."""

    def on_response_data(self, data: bytes) -> None:
        """Called with each chunk of the body."""

    def on_response_complete(self) -> None:
        """Called once when the response is complete."""

    def on_response_failed(self, error: TransportError) -> None:
        """Called once if the exchange failed before the response was complete."""


class HttpExchange:
    """One request and its response on a dedicated connection."""

    # Opens and owns the socket.
    _connections: TcpConnections
    _request: HttpRequest
    _handler: HttpResponseHandler
    # HTTP parser and protocol state.
    _protocol: h11.Connection
    _connection: Connection
    # Called just before the request is passed to the connection, if given.
    _on_sending: Callable[[], None] | None
    # Whether the response reports success.
    _is_success: bool
    # Whether the exchange has completed, failed or been cancelled.
    _ended: bool

    def __init__(
        self,
        connections: TcpConnections,
        address: Address,
        request: HttpRequest,
        handler: HttpResponseHandler,
        on_sending: Callable[[], None] | None = None,
    ) -> None:
        self._connections = connections
        self._on_sending = on_sending
        self._request = request
        self._handler = handler
        self._protocol = h11.Connection(our_role=h11.CLIENT)
        self._is_success = False
        self._ended = False
        self._connection = connections.open(address, self)

    @property
    def verdict(self) -> Verdict:
        """Returns whether the other process may have acted on the bytes sent so far."""
        return Verdict.MAY_HAVE_RUN if self._connection.bytes_sent else Verdict.NOT_RUN

    def cancel(self) -> None:
        """Closes the connection; the handler is not called any more."""
        self._ended = True
        self._connections.close(self._connection)

    def abort(self, detail: str) -> None:
        """Closes the connection and reports the failure to the handler, unless already ended."""
        self._fail(detail, disconnected=False)

    def on_connected(self) -> None:
        """Sends the request."""
        try:
            data = self._encode_request()
        except (h11.LocalProtocolError, ValueError) as error:
            self._fail(f"the request can't be sent: {error}", disconnected=False)
            return
        if self._on_sending is not None:
            self._on_sending()
        self._connections.send(self._connection, data)

    def _encode_request(self) -> bytes:
        head = h11.Request(
            method=self._request.method,
            target=self._request.target,
            headers=[
                ("Host", str(self._connection.address)),
                ("Connection", "close"),
                ("Content-Type", self._request.content_type),
                ("Content-Length", str(len(self._request.body))),
                *self._request.headers,
            ],
        )
        parts = [self._protocol.send(head)]
        if self._request.body:
            parts.append(self._protocol.send(h11.Data(data=self._request.body)))
        parts.append(self._protocol.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    def on_data_received(self, data: bytes, disconnected: bool = False) -> None:
        """Parses the data and passes the parsed events to the handler."""
        try:
            self._protocol.receive_data(data)
            self._deliver_events()
        except h11.RemoteProtocolError as error:
            self._fail(f"bad HTTP answer: {error}", disconnected)

    def on_disconnected(self, detail: str) -> None:
        """Ends the exchange; reports a failure unless the response is complete."""
        if self._ended:
            return
        if self._is_success and self._connection.has_undelivered:
            detail = REQUEST_NOT_TAKEN
        elif self._connection.peer_closed_cleanly:
            # A body without length and chunks ends with FIN; a reset has broken it off.
            self.on_data_received(b"", disconnected=True)
        self._fail(detail, disconnected=True)

    def _deliver_events(self) -> None:
        while not self._ended:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                if fault := find_head_fault(event):
                    raise h11.RemoteProtocolError(fault)
                self._is_success = is_success(event.status_code)
                self._handler.on_response_head(_decode_head(event))
            elif isinstance(event, h11.Data):
                self._handler.on_response_data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self.cancel()
                self._handler.on_response_complete()
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _fail(self, detail: str, disconnected: bool) -> None:
        if self._ended:
            return
        verdict = self.verdict
        self.cancel()
        self._handler.on_response_failed(TransportError(detail, verdict, disconnected))


def _decode_head(event: h11.Response) -> HttpResponseHead:
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in event.headers}
    return HttpResponseHead(event.status_code, headers)


def make_json_request(
    method: str, target: str, value: object, headers: tuple[tuple[str, str], ...] = ()
) -> HttpRequest:
    """Returns a request with the value encoded as JSON in its body."""
    return HttpRequest(method, target, json.dumps(value).encode(), headers=headers)

"""One connection of a caller: receives HTTP/1.1 requests and sends responses, within limits."""

from collections.abc import Callable
from enum import Enum
from typing import Final, Protocol

import h11
from attrs import define, field, frozen

from berylquay.decisions.route_table import CallerRequestLimits
from berylquay.net.persistent_http import Headers
from berylquay.net.tcp_connections import Connection, TcpConnections

# Bytes of pipelined requests that are buffered while a request is served.
MAX_PIPELINED_BYTES: Final = 65536
# Most unsent bytes for a slow caller above which reading from its backend server is paused.
SLOW_CALLER_BUFFER_BYTES: Final = 262144
# Time to wait for the caller to close the connection after this end has closed its side.
LINGER_TIMEOUT_S: Final = 1.0
# Idle time after which a stopping host closes a connection. A request follows the handshake of its
# connection within less; closing at once would cut it off without a response.
STOPPING_IDLE_TIMEOUT_S: Final = 1.0
# First HTTP version whose bodies can be sent in chunks.
FIRST_CHUNKED_VERSION: Final = b"1.1"
HEAD_METHOD: Final = b"HEAD"
MALFORMED_REQUEST: Final = "the request is malformed"
CONNECTION_CLOSE_HEADER: Final = (b"connection", b"close")

BAD_REQUEST: Final = 400
REQUEST_TIMEOUT: Final = 408
BODY_TOO_LARGE: Final = 413
HEAD_TOO_LARGE: Final = 431
SERVICE_UNAVAILABLE: Final = 503


@frozen
class CallerRequest:
    """A complete request of a caller; header names are in lower case."""

    method: bytes
    target: bytes
    # Not in the text of an object, since they may contain the caller's key.
    headers: Headers = field(repr=False)
    body: bytes
    # Monotonic time at which the head was received.
    received_s: float

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None. The name is in lower case."""
        return next((value for header_name, value in self.headers if header_name == name), None)


class CallerConnectionHandler(Protocol):
    """Serves the requests of callers."""

    def on_request(self, caller: "CallerConnection", request: CallerRequest) -> None:
        """Called with each complete request; it must be answered or the connection aborted."""

    def on_caller_disconnected(self, caller: "CallerConnection") -> None:
        """Called when the caller disconnects before the response is complete."""

    def on_caller_writable(self, caller: "CallerConnection") -> None:
        """Called when most of the data buffered for a slow caller was sent."""

    def on_request_rejected(self, caller: "CallerConnection", status: int, detail: str) -> None:
        """Called when a request is answered with an error before it was received completely."""

    def on_connection_ended(self, caller: "CallerConnection") -> None:
        """Called once when the connection has ended."""

    def may_show_input(self) -> bool:
        """Tells whether an error text may contain what the caller has sent."""

    def reserve_body(self, size_bytes: int) -> bool:
        """Reserves memory for a body; returns False if there is not enough."""

    def release_body(self, size_bytes: int) -> None:
        """Releases memory reserved for a body."""


class ConnectionPhase(Enum):
    """State of the connection."""

    # Between requests.
    IDLE = "idle"
    # Part of a request's head was received.
    HEAD = "head"
    # The body is being read.
    BODY = "body"
    # The request is being served.
    SERVING = "serving"
    # The last response was sent; the caller is expected to close.
    FINISHING = "finishing"


@define(eq=False)
class CallerConnection:
    """Serves the requests of one connection, one at a time."""

    _connections: TcpConnections
    _handler: CallerConnectionHandler
    _limits: CallerRequestLimits
    # Reads the monotonic clock.
    _clock: Callable[[], float]
    # Set once the connection was accepted.
    connection: Connection = field(init=False)
    phase: ConnectionPhase = field(default=ConnectionPhase.IDLE, init=False)
    # Whether to close the connection after a response, which then carries `Connection: close`.
    close_after_response: bool = field(default=False, init=False)
    # Whether to close the connection once it has been idle for `STOPPING_IDLE_TIMEOUT_S`.
    closes_when_idle: bool = field(default=False, init=False)
    # Unsent bytes above which reading from the caller's backend server is paused.
    max_unsent_bytes: int = field(default=SLOW_CALLER_BUFFER_BYTES, init=False)
    _protocol: h11.Connection = field(init=False, repr=False)
    # Monotonic time at which the present phase began.
    _phase_started_s: float = field(init=False)
    _request_head: h11.Request | None = field(default=None, init=False, repr=False)
    _head_received_s: float = field(default=0.0, init=False)
    _body_chunks: list[bytes] = field(factory=list, init=False)
    _body_bytes: int = field(default=0, init=False)
    # Whether the head of the present response was sent.
    _response_started: bool = field(default=False, init=False)
    # Whether closing the connection resets it. After the end of a response too, as long as this
    # process holds a part of it.
    _resets_on_close: bool = field(default=False, init=False)
    # Whether `send_body` has reported a slow caller, so that `on_caller_writable` is due.
    _is_caller_slow: bool = field(default=False, init=False)

    def __attrs_post_init__(self) -> None:
        """Starts in the idle phase."""
        self._protocol = h11.Connection(
            our_role=h11.SERVER, max_incomplete_event_size=self._limits.max_header_bytes
        )
        self._phase_started_s = self._clock()

    @property
    def response_started(self) -> bool:
        """Returns whether the head of the present response was sent."""
        return self._response_started

    def on_connected(self) -> None:
        """Does nothing: an accepted connection is established."""

    def on_data_received(self, data: bytes) -> None:
        """Processes data from the caller; ignored after the last response."""
        if self.phase is ConnectionPhase.FINISHING:
            return
        if self.phase is ConnectionPhase.IDLE:
            self._enter_phase(ConnectionPhase.HEAD)
        try:
            self._protocol.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._reject_request(BAD_REQUEST, self._describe(error))
            return
        if self.phase is ConnectionPhase.SERVING:
            if len(self._protocol.trailing_data[0]) > MAX_PIPELINED_BYTES:
                self._connections.pause_reading(self.connection)
            return
        self._process_events()

    def on_disconnected(self, detail: str) -> None:
        """Ends the connection, which the caller has closed or which has failed."""
        serving = self.phase is ConnectionPhase.SERVING
        self._mark_ended()
        if serving:
            self._handler.on_caller_disconnected(self)
        self._handler.on_connection_ended(self)

    def send_response(self, status: int, reason: bytes, headers: Headers, body: bytes) -> None:
        """Sends a complete response with its content length; one to HEAD has no body."""
        headers_with_length = [*headers, (b"content-length", str(len(body)).encode())]
        self.start_response(status, reason, headers_with_length)
        if self._request_head is None or self._request_head.method != HEAD_METHOD:
            self.send_body(body)
        self.end_response()

    def start_response(self, status: int, reason: bytes, headers: Headers) -> None:
        """Sends status line and headers; without a content length the body is sent in chunks."""
        if self.close_after_response:
            headers = [*headers, CONNECTION_CLOSE_HEADER]
        self._response_started = True
        if self._ends_with_connection(headers):
            # The caller would take a FIN for the end of the body.
            self._set_reset_on_close(enabled=True)
        self._write(h11.Response(status_code=status, reason=reason, headers=headers))

    def send_body(self, data: bytes) -> bool:
        """Sends part of the body; returns False while too much is buffered for a slow caller."""
        if data:
            self._write(h11.Data(data=data))
        if not self._is_caller_slow and self.connection.unsent_bytes > self.max_unsent_bytes:
            self._is_caller_slow = True
        return not self._is_caller_slow

    def end_response(self) -> None:
        """Ends the response and, if the connection stays open, continues with the next request."""
        try:
            self._write(h11.EndOfMessage())
        except h11.LocalProtocolError:
            # The backend server's body was shorter than its content length.
            self.abort()
            return
        if self.connection.failing:
            # The caller is gone: its next request, which may have come already, must not be served.
            return
        if not self.connection.unsent:
            self._set_reset_on_close(enabled=False)
        self._reset_request()
        # h11 knows whether the head has announced the end of the connection. If the stop began
        # after the head was sent, the caller may send another request, whose response announces it.
        if self._protocol.our_state is not h11.DONE:
            self.close_gracefully()
            return
        if self._protocol.their_state is not h11.DONE:
            self.close_gracefully()
            return
        self._protocol.start_next_cycle()
        self._enter_phase(ConnectionPhase.IDLE)
        self._connections.resume_reading(self.connection)
        if self._protocol.trailing_data[0]:
            self._enter_phase(ConnectionPhase.HEAD)
            self._process_events()

    def close_gracefully(self) -> None:
        """Closes this side after all buffered data was sent."""
        self._reset_request()
        self._enter_phase(ConnectionPhase.FINISHING)
        self._connections.resume_reading(self.connection)
        self._connections.half_close(self.connection)

    def abort(self) -> None:
        """Closes the connection at once, so that the caller sees an open response as incomplete."""
        if self.connection.closed:
            return
        self._mark_ended()
        self._connections.close(self.connection)
        self._handler.on_connection_ended(self)

    def on_tick(self, now_s: float) -> None:
        """Enforces the timeouts, and reports when a slow caller is writable again."""
        elapsed_s = now_s - self._phase_started_s
        if self.phase is ConnectionPhase.FINISHING and not self.connection.unsent:
            # The operating system delivers the rest, also if this process is killed.
            self._set_reset_on_close(enabled=False)
        if self._is_caller_slow and self.connection.unsent_bytes <= self.max_unsent_bytes // 2:
            self._is_caller_slow = False
            self._handler.on_caller_writable(self)
        if self.phase is ConnectionPhase.IDLE:
            idle_timeout_s = self._limits.idle_timeout_s
            if self.closes_when_idle:
                idle_timeout_s = min(idle_timeout_s, STOPPING_IDLE_TIMEOUT_S)
            if elapsed_s > idle_timeout_s:
                self.close_gracefully()
        elif self.phase in (ConnectionPhase.HEAD, ConnectionPhase.BODY):
            if elapsed_s > self._limits.header_timeout_s:
                self._reject_request(REQUEST_TIMEOUT, "the request was not sent in time")
        elif self.phase is ConnectionPhase.FINISHING and elapsed_s > LINGER_TIMEOUT_S:
            if self.connection.unsent:
                # Keep waiting: the caller still receives the response, or the kernel will detect
                # that it is gone.
                self._enter_phase(ConnectionPhase.FINISHING)
            else:
                self.abort()

    def _process_events(self) -> None:
        try:
            while self.phase in (ConnectionPhase.IDLE, ConnectionPhase.HEAD, ConnectionPhase.BODY):
                if not self._handle_event(self._protocol.next_event()):
                    return
        except h11.RemoteProtocolError as error:
            too_large = error.error_status_hint == HEAD_TOO_LARGE
            status = HEAD_TOO_LARGE if too_large else BAD_REQUEST
            self._reject_request(status, self._describe(error))

    def _handle_event(self, event: object) -> bool:
        if isinstance(event, h11.Request):
            return self._handle_head(event)
        if isinstance(event, h11.Data):
            return self._handle_body(bytes(event.data))
        if isinstance(event, h11.EndOfMessage):
            self._dispatch_request()
            return False
        if event is h11.NEED_DATA and self._protocol.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))
        return False

    def _handle_head(self, head: h11.Request) -> bool:
        self._request_head = head
        header_names = {name for name, _ in head.headers}
        if _head_bytes(head) > self._limits.max_header_bytes:
            self._reject_request(HEAD_TOO_LARGE, "the head is larger than allowed")
            return False
        if b"transfer-encoding" in header_names and b"content-length" in header_names:
            self._reject_request(BAD_REQUEST, "both a length and a transfer encoding")
            return False
        content_length = next(
            (value for name, value in head.headers if name == b"content-length"), b"0"
        )
        if int(content_length) > self._limits.max_body_bytes:
            self._reject_request(BODY_TOO_LARGE, "the body is larger than allowed")
            return False
        self._head_received_s = self._clock()
        self._enter_phase(ConnectionPhase.BODY)
        return True

    def _handle_body(self, data: bytes) -> bool:
        if self._body_bytes + len(data) > self._limits.max_body_bytes:
            self._reject_request(BODY_TOO_LARGE, "the body is larger than allowed")
            return False
        if not self._handler.reserve_body(len(data)):
            self._reject_request(SERVICE_UNAVAILABLE, "no memory for the body")
            return False
        self._body_chunks.append(data)
        self._body_bytes += len(data)
        # Restart the timeout: it limits the time between parts of the body.
        self._enter_phase(ConnectionPhase.BODY)
        return True

    def _dispatch_request(self) -> None:
        head = self._request_head
        if head is None:
            return
        request = CallerRequest(
            head.method,
            head.target,
            list(head.headers),
            b"".join(self._body_chunks),
            self._head_received_s,
        )
        self._enter_phase(ConnectionPhase.SERVING)
        self._handler.on_request(self, request)

    def _describe(self, error: h11.RemoteProtocolError) -> str:
        # The texts quote malformed lines.
        return str(error) if self._handler.may_show_input() else MALFORMED_REQUEST

    def _reject_request(self, status: int, detail: str) -> None:
        self._handler.on_request_rejected(self, status, detail)
        self.close_after_response = True
        try:
            headers: Headers = [(b"retry-after", b"0.5")] if status == SERVICE_UNAVAILABLE else []
            self.send_response(status, b"", headers, detail.encode("latin-1", "replace"))
        except h11.LocalProtocolError:
            self.close_gracefully()

    def _enter_phase(self, phase: ConnectionPhase) -> None:
        self.phase = phase
        self._phase_started_s = self._clock()

    def _write(self, event: h11.Event) -> None:
        data = self._protocol.send(event)
        if data:
            self._connections.send(self.connection, data)

    def _ends_with_connection(self, headers: Headers) -> bool:
        """Tells whether the caller can tell the end of the body by that of the connection only."""
        version = self._protocol.their_http_version
        accepts_chunks = version is None or version >= FIRST_CHUNKED_VERSION
        return not accepts_chunks and not any(name == b"content-length" for name, _ in headers)

    def _set_reset_on_close(self, *, enabled: bool) -> None:
        if enabled is not self._resets_on_close:
            self._resets_on_close = enabled
            self._connections.set_reset_on_close(self.connection, enabled)

    def _reset_request(self) -> None:
        self._handler.release_body(self._body_bytes)
        self._request_head = None
        self._body_chunks = []
        self._body_bytes = 0
        self._response_started = False
        self._is_caller_slow = False

    def _mark_ended(self) -> None:
        self._reset_request()
        self.phase = ConnectionPhase.FINISHING


def _head_bytes(head: h11.Request) -> int:
    header_bytes = sum(len(name) + len(value) for name, value in head.headers)
    return len(head.method) + len(head.target) + header_bytes

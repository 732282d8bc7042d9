"""One connection of a caller: HTTP/1.1 requests in, answers out, within the configured bounds."""

from collections.abc import Callable
from enum import Enum
from typing import Final, Protocol

import h11
from attrs import define, field, frozen

from berylquay.decisions.route_table import CallerRequestLimits
from berylquay.net.connections import Connection, Connections
from berylquay.net.kept_http import Headers

# Bytes of further requests that are read while one is served.
MAX_PIPELINED_BYTES: Final = 65536
# Bytes that wait for a slow caller before its backend server is held back.
SLOW_CALLER_BUFFER_BYTES: Final = 262144
# Time for which a connection that this end has finished waits for the other end.
LINGER_TIMEOUT_S: Final = 1.0
CONNECTION_CLOSE_HEADER: Final = (b"connection", b"close")

BAD_REQUEST: Final = 400
REQUEST_TIMEOUT: Final = 408
BODY_TOO_LARGE: Final = 413
HEAD_TOO_LARGE: Final = 431
SERVICE_UNAVAILABLE: Final = 503


@frozen
class CallerRequest:
    """A whole request of a caller; header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    # Monotonic time at which the head was read.
    received_s: float

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header."""
        return next((value for known, value in self.headers if known == name), None)


class CallerConnectionHandler(Protocol):
    """Serves the requests of callers."""

    def on_request(self, caller: "CallerConnection", request: CallerRequest) -> None:
        """Called with each whole request; it must be answered or the connection aborted."""

    def on_caller_disconnected(self, caller: "CallerConnection") -> None:
        """Called when the caller leaves before the answer has ended."""

    def on_caller_writable(self, caller: "CallerConnection") -> None:
        """Called when a slow caller has taken most of what waited for it."""

    def on_request_rejected(self, caller: "CallerConnection", status: int, detail: str) -> None:
        """Called when a request was answered with an error before it was whole."""

    def on_connection_ended(self, caller: "CallerConnection") -> None:
        """Called once when the connection has ended."""

    def reserve_body(self, size_bytes: int) -> bool:
        """Takes memory for a body; returns False if there is none."""

    def release_body(self, size_bytes: int) -> None:
        """Gives back memory of a body."""


class ConnectionPhase(Enum):
    """What the connection is at."""

    # Between requests.
    IDLE = "idle"
    # Part of a request's head has come.
    HEAD = "head"
    # The body is being read.
    BODY = "body"
    # The request is being served.
    SERVING = "serving"
    # The last answer was sent; the other end is to close.
    FINISHING = "finishing"


@define(eq=False)
class CallerConnection:
    """Reads the requests of one connection one after the other."""

    _connections: Connections
    _handler: CallerConnectionHandler
    _limits: CallerRequestLimits
    # Reads the monotonic clock.
    _clock: Callable[[], float]
    # Set once the socket is adopted.
    connection: Connection = field(init=False)
    phase: ConnectionPhase = field(default=ConnectionPhase.IDLE, init=False)
    # Whether answers ask the caller to use another connection.
    close_after_response: bool = field(default=False, init=False)
    _protocol: h11.Connection = field(init=False)
    # Monotonic time at which the present phase began.
    _phase_started_s: float = field(init=False)
    _request_head: h11.Request | None = field(default=None, init=False)
    _head_received_s: float = field(default=0.0, init=False)
    _body_chunks: list[bytes] = field(factory=list, init=False)
    _body_bytes: int = field(default=0, init=False)
    # Whether the head of the present answer was sent.
    _response_started: bool = field(default=False, init=False)
    # Whether the owner was told of a slow caller and waits for `on_caller_ready`.
    _is_caller_slow: bool = field(default=False, init=False)

    def __attrs_post_init__(self) -> None:
        """Begins between requests."""
        self._protocol = h11.Connection(
            our_role=h11.SERVER, max_incomplete_event_size=self._limits.max_header_bytes
        )
        self._phase_started_s = self._clock()

    @property
    def response_started(self) -> bool:
        """Tells whether part of the answer has gone out."""
        return self._response_started

    def on_connected(self) -> None:
        """Does nothing: an accepted connection is established."""

    def on_received(self, data: bytes) -> None:
        """Takes data from the caller."""
        if self.phase is ConnectionPhase.FINISHING:
            return
        if self.phase is ConnectionPhase.IDLE:
            self._enter_phase(ConnectionPhase.HEAD)
        try:
            self._protocol.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._reject_request(BAD_REQUEST, str(error))
            return
        if self.phase is ConnectionPhase.SERVING:
            if len(self._protocol.trailing_data[0]) > MAX_PIPELINED_BYTES:
                self._connections.pause(self.connection)
            return
        self._process_events()

    def on_disconnected(self, detail: str) -> None:
        """Takes the end of the connection."""
        serving = self.phase is ConnectionPhase.SERVING
        self._mark_ended()
        if serving:
            self._handler.on_caller_disconnected(self)
        self._handler.on_connection_ended(self)

    def send_response(self, status: int, reason: bytes, headers: Headers, body: bytes) -> None:
        """Sends a whole answer."""
        framed = [*headers, (b"content-length", str(len(body)).encode())]
        self.start_response(status, reason, framed)
        self.send_body(body)
        self.end_response()

    def start_response(self, status: int, reason: bytes, headers: Headers) -> None:
        """Sends status line and headers; without a length the body goes in chunks."""
        if self.close_after_response:
            headers = [*headers, CONNECTION_CLOSE_HEADER]
        self._response_started = True
        self._write(h11.Response(status_code=status, reason=reason, headers=headers))

    def send_body(self, data: bytes) -> bool:
        """Sends part of the body; returns False when the caller is slow to take it."""
        if data:
            self._write(h11.Data(data=data))
        if not self._is_caller_slow and self.connection.unsent_bytes > SLOW_CALLER_BUFFER_BYTES:
            self._is_caller_slow = True
        return not self._is_caller_slow

    def end_response(self) -> None:
        """Ends the answer and goes on to the next request, if the connection is kept."""
        try:
            self._write(h11.EndOfMessage())
        except h11.LocalProtocolError:
            # The backend server's body was shorter than its length.
            self.abort()
            return
        self._reset_request()
        if self.close_after_response or self._protocol.our_state is not h11.DONE:
            self.finish()
            return
        if self._protocol.their_state is not h11.DONE:
            self.finish()
            return
        self._protocol.start_next_cycle()
        self._enter_phase(ConnectionPhase.IDLE)
        self._connections.resume(self.connection)
        if self._protocol.trailing_data[0]:
            self._enter_phase(ConnectionPhase.HEAD)
            self._process_events()

    def finish(self) -> None:
        """Ends this side in good order after what was sent."""
        self._reset_request()
        self._enter_phase(ConnectionPhase.FINISHING)
        self._connections.resume(self.connection)
        self._connections.finish(self.connection)

    def abort(self) -> None:
        """Closes the connection at once, so that an answer in progress looks incomplete."""
        if self.connection.closed:
            return
        self._mark_ended()
        self._connections.close(self.connection)
        self._handler.on_connection_ended(self)

    def on_tick(self, now_s: float) -> None:
        """Checks how long the caller takes, or stays idle."""
        elapsed_s = now_s - self._phase_started_s
        if self._is_caller_slow and self.connection.unsent_bytes <= SLOW_CALLER_BUFFER_BYTES // 2:
            self._is_caller_slow = False
            self._handler.on_caller_writable(self)
        if self.phase is ConnectionPhase.IDLE:
            if elapsed_s > self._limits.idle_timeout_s or self.close_after_response:
                self.finish()
        elif self.phase in (ConnectionPhase.HEAD, ConnectionPhase.BODY):
            if elapsed_s > self._limits.header_timeout_s:
                self._reject_request(REQUEST_TIMEOUT, "the request was not sent in time")
        elif self.phase is ConnectionPhase.FINISHING and elapsed_s > LINGER_TIMEOUT_S:
            if self.connection.unsent:
                # The caller still takes the answer, or the kernel finds that it is gone.
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
            self._reject_request(HEAD_TOO_LARGE if too_large else BAD_REQUEST, str(error))

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
        names = {name for name, _ in head.headers}
        if _head_bytes(head) > self._limits.max_header_bytes:
            self._reject_request(HEAD_TOO_LARGE, "the head is larger than allowed")
            return False
        if b"transfer-encoding" in names and b"content-length" in names:
            self._reject_request(BAD_REQUEST, "both a length and a transfer encoding")
            return False
        length = next((value for name, value in head.headers if name == b"content-length"), b"0")
        if int(length) > self._limits.max_body_bytes:
            self._reject_request(BODY_TOO_LARGE, "the body is larger than allowed")
            return False
        self._request_head = head
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
        # A body that keeps coming is in time.
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

    def _reject_request(self, status: int, detail: str) -> None:
        self._handler.on_request_rejected(self, status, detail)
        self.close_after_response = True
        try:
            extra: Headers = [(b"retry-after", b"0.5")] if status == SERVICE_UNAVAILABLE else []
            self.send_response(status, b"", extra, detail.encode("latin-1", "replace"))
        except h11.LocalProtocolError:
            self.finish()

    def _enter_phase(self, phase: ConnectionPhase) -> None:
        self.phase = phase
        self._phase_started_s = self._clock()

    def _write(self, event: h11.Event) -> None:
        data = self._protocol.send(event)
        if data:
            self._connections.send(self.connection, data)

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
    fields = sum(len(name) + len(value) for name, value in head.headers)
    return len(head.method) + len(head.target) + fields

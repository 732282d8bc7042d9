"""Persistent HTTP/1.1 client connections, each reused for one request after another.

Response bodies are streamed to the handler as they arrive. A response whose echoed request id does
not match the pending request is discarded, and the connection is closed if it receives data after
the end of a response.
"""

import time
from collections.abc import Callable
from typing import Final, Protocol

import h11
from attrs import define, field, frozen

from berylquay.call_verdicts import Verdict
from berylquay.decisions.fleet import Address
from berylquay.errors import TransportError
from berylquay.net.body_framing import BodyFraming, framing_of
from berylquay.net.response_heads import find_head_fault, is_success
from berylquay.net.tcp_connections import Connection, ConnectionHandler

Headers = list[tuple[bytes, bytes]]
# Largest response head (status line and headers) that is accepted.
MAX_RESPONSE_HEAD_BYTES: Final = 65536
# Parts of an answer (chunks and heads) that are parsed in one turn of the event loop. Thousands fit
# into what is received at once, and would hold up all other connections.
MAX_PARTS_PER_TURN: Final = 64
# Informational heads after which an answer is taken for a faulty one.
MAX_INFORMATIONAL_HEADS: Final = 64
# The same for chunks that hold less than this on average.
MAX_SMALL_CHUNKS: Final = 8192
MIN_MEAN_CHUNK_BYTES: Final = 4
REQUEST_NOT_TAKEN: Final = "closed by the other end before it had received the request"
CONNECTION_CLOSED: Final = "the connection is closed"


@frozen
class RawRequest:
    """A request that is sent with its target, headers and body unchanged."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


@frozen
class RawResponseHead:
    """Status line and headers of a response; header names are in lower case."""

    status: int
    reason: bytes
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of the header, or None; `name` must be in lower case."""
        return next((value for header_name, value in self.headers if header_name == name), None)

    @property
    def framing(self) -> BodyFraming:
        """Returns how the end of the body is marked."""
        return framing_of({name.decode("latin-1") for name, _ in self.headers})


class Transport(Protocol):
    """Opens connections and sends data, as `TcpConnections` does."""

    def open(self, address: Address, connection_handler: ConnectionHandler) -> Connection:
        """Starts connecting and returns at once."""

    def send(self, connection: Connection, data: bytes) -> None:
        """Sends data."""

    def close(self, connection: Connection) -> None:
        """Closes the connection without calling its handler."""

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Calls the callback in the next turn of the event loop."""

    def pause_reading(self, connection: Connection) -> None:
        """Stops reading until `resume_reading`."""

    def resume_reading(self, connection: Connection) -> None:
        """Resumes reading."""


class ResponseHandler(Protocol):
    """Callbacks for the response to a request.

    None is called after `close`, or from within `start_request`.
    """

    def on_response_head(self, head: RawResponseHead) -> None:
        """Called once with the status line and headers."""

    def on_response_data(self, data: bytes) -> None:
        """Called with each chunk of the body."""

    def on_response_complete(self) -> None:
        """Called once when the response is complete."""

    def on_response_failed(self, error: TransportError) -> None:
        """Called once if no complete response was received."""


@define
class _PendingRequest:
    """The request whose response is awaited."""

    request: RawRequest
    handler: ResponseHandler
    # Response header that echoes the request id, and the expected value; empty if there is none.
    id_header: bytes
    request_id: bytes
    # Bytes that the connection had sent before this request.
    bytes_sent_before: int
    # Asked just before the request is sent; False fails it. None if it may be sent at any time.
    may_send: Callable[[], bool] | None
    # Whether the request was passed to the connection.
    sent: bool = False
    # Whether the response being read belongs to another request and is discarded.
    has_foreign_response: bool = False
    # Whether any byte has come since the request was started.
    has_data: bool = False
    # Whether the response reports success.
    is_success: bool = False
    # Whether the response echoes the request id.
    is_echoed: bool = False
    # Informational heads, chunks and bytes of the body that were received.
    informational_heads: int = 0
    chunks: int = 0
    body_bytes: int = 0

    @property
    def endless_detail(self) -> str:
        """Returns why the response is taken for bytes without end, or an empty string."""
        if self.informational_heads > MAX_INFORMATIONAL_HEADS:
            return "too many informational heads"
        are_chunks_small = self.body_bytes < self.chunks * MIN_MEAN_CHUNK_BYTES
        if self.chunks > MAX_SMALL_CHUNKS and are_chunks_small:
            return "too many small chunks"
        return ""


@define(eq=False)
class PersistentConnection:
    """A connection that carries one request at a time and is reused for the next."""

    address: Address
    # Called when the connection is idle and can take another request.
    _on_idle: "Callable[[PersistentConnection], None]"
    # Called when the connection was closed by either end or could not be established.
    _on_ended: "Callable[[PersistentConnection], None]"
    _connections: Transport
    # Whether the connection is reused only after a response that echoes the request's id. A second
    # copy of any other response can't be told from the response to the next request.
    reuse_requires_echo: bool = False
    # Called with the first bytes that come for each request.
    on_answering: Callable[[], None] | None = None
    # Requests whose responses are complete, excluding one after which the connection was closed.
    completed_requests: int = 0
    # Monotonic time at which the connection last became idle; set and used by its owner.
    idle_since_s: float = 0.0
    # Time for which the server keeps an idle connection open (from its `Keep-Alive` header), or
    # None if it did not state one.
    keep_alive_timeout_s: float | None = None
    # Monotonic time at which the connection was opened, set by its owner, and established.
    opened_s: float = float("-inf")
    established_s: float | None = None
    # Start of the server that the connection leads to, as a Unix time in milliseconds, set by its
    # owner; 0 if it is not known.
    server_started_unix_ms: int = 0
    # Whether the connection has ever been established, and whether an attempt to establish it has
    # failed.
    was_established: bool = False
    has_failed_to_connect: bool = False
    # Whether the other end has closed or reset the connection, or refused it.
    was_ended_by_server: bool = False
    _protocol: h11.Connection = field(init=False)
    _connection: Connection = field(init=False)
    _pending: _PendingRequest | None = field(default=None, init=False)
    # Whether the user has paused reading, and whether received data waits to be parsed.
    _is_paused: bool = field(default=False, init=False)
    _is_parsing_deferred: bool = field(default=False, init=False)

    def __attrs_post_init__(self) -> None:
        """Starts connecting."""
        self._protocol = _new_protocol()
        self._connection = self._connections.open(self.address, self)

    @property
    def transport(self) -> Transport:
        """Returns what the connection was opened with."""
        return self._connections

    @property
    def closed(self) -> bool:
        """Returns whether the connection is closed."""
        return self._connection.closed

    @property
    def connected(self) -> bool:
        """Returns whether the connection has been established."""
        return self._connection.established

    @property
    def verdict(self) -> Verdict:
        """Returns whether the server may have acted on the pending request."""
        pending = self._pending
        if pending is None or self._connection.bytes_sent == pending.bytes_sent_before:
            return Verdict.NOT_RUN
        return Verdict.MAY_HAVE_RUN

    def start_request(
        self,
        request: RawRequest,
        handler: ResponseHandler,
        id_header: bytes = b"",
        request_id: bytes = b"",
        may_send: Callable[[], bool] | None = None,
    ) -> None:
        """Sends a request on an idle or new connection; a new one sends it once established.

        The handler is not called before this method has returned, also if the request can't be
        sent.

        Args:
            request: the request.
            handler: receives the response.
            id_header: response header, in lower case, that echoes the request id, or empty. A
                response with another id in it is discarded.
            request_id: value that the header is expected to have.
            may_send: asked just before the request is sent, which may be long after this call if
                the connection is new; the request fails unless it returns True.
        """
        bytes_sent_before = self._connection.bytes_sent
        self._pending = pending = _PendingRequest(
            request, handler, id_header, request_id, bytes_sent_before, may_send
        )
        if self._connection.closed:
            self._fail_later(pending, CONNECTION_CLOSED)
        elif self._connection.established and (detail := self._send_request()):
            self._fail_later(pending, detail)

    def set_reading_paused(self, paused: bool) -> None:
        """Pauses or resumes reading from the connection."""
        self._is_paused = paused
        self._update_reading()

    def close(self) -> None:
        """Closes the connection; the handler of a pending request is not called any more."""
        self._pending = None
        if not self._connection.closed:
            self._connections.close(self._connection)
            self._on_ended(self)

    def on_connected(self) -> None:
        """Sends the request that was started before the connection was established, if any."""
        self.was_established = True
        self.established_s = time.monotonic()
        if (
            self._pending is not None
            and not self._pending.sent
            and (detail := self._send_request())
        ):
            self._fail_request(detail)

    def on_data_received(self, data: bytes) -> None:
        """Parses response data; closes the connection if no request is pending."""
        if self._pending is None:
            # The data belongs to no request.
            self.close()
            return
        if not self._pending.has_data:
            self._pending.has_data = True
            if self.on_answering is not None:
                self.on_answering()
        self._feed_parser(data)

    def on_disconnected(self, detail: str) -> None:
        """Completes a response delimited by the end of the connection, or fails the request."""
        self.has_failed_to_connect = not self.was_established
        self.was_ended_by_server = True
        if self._is_parsing_deferred:
            self._parse(most_parts=None)
        if self._pending is not None and self._connection.peer_closed_cleanly:
            if self._pending.is_success and self._connection.has_undelivered:
                # What ends with its connection is not whole if the server gave up the request.
                detail = REQUEST_NOT_TAKEN
            else:
                self._feed_parser(b"")
        pending, self._pending = self._pending, None
        if pending is not None:
            verdict = Verdict.MAY_HAVE_RUN if self._has_sent_bytes(pending) else Verdict.NOT_RUN
            pending.handler.on_response_failed(TransportError(detail, verdict, disconnected=True))
        self._on_ended(self)

    def _has_sent_bytes(self, pending: _PendingRequest) -> bool:
        return self._connection.bytes_sent > pending.bytes_sent_before

    def _send_request(self) -> str:
        """Sends the pending request; returns why it can't be sent, or an empty string."""
        pending = self._pending
        if pending is None:
            return ""
        if pending.may_send is not None and not pending.may_send():
            return "it was too late to send the request"
        try:
            data = _encode_request(self._protocol, pending.request)
        except (h11.LocalProtocolError, ValueError) as error:
            return f"the request can't be sent: {error}"
        pending.sent = True
        self._connections.send(self._connection, data)
        return ""

    def _feed_parser(self, data: bytes) -> None:
        try:
            self._protocol.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._fail_request(f"bad HTTP answer: {error}")
            return
        if not self._is_parsing_deferred:
            self._parse(MAX_PARTS_PER_TURN)

    def _parse(self, most_parts: int | None) -> None:
        """Handles what was received, and leaves the rest to the next turn of the event loop.

        Args:
            most_parts: Number of parts after which the rest is left; None to handle all.
        """
        parts, error_detail = 0, ""
        # Consecutive pieces of the body, which the handler gets at once.
        body: list[bytes] = []
        while self._pending is not None and parts != most_parts:
            parts += 1
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                error_detail = f"bad HTTP answer: {error}"
                break
            error_detail = self._count(self._pending, event)
            if error_detail:
                break
            if isinstance(event, h11.Data):
                body.append(bytes(event.data))
                continue
            self._pass_on(body)
            if not self._handle_event(event):
                break
        self._pass_on(body)
        if error_detail and self._pending is not None:
            self._fail_request(error_detail)
        is_deferred = self._pending is not None and parts == most_parts
        if is_deferred:
            self._connections.call_soon(self._continue_parsing)
        if is_deferred != self._is_parsing_deferred:
            self._is_parsing_deferred = is_deferred
            self._update_reading()

    def _continue_parsing(self) -> None:
        if self._is_parsing_deferred:
            self._parse(MAX_PARTS_PER_TURN)

    def _count(self, pending: _PendingRequest, event: object) -> str:
        """Counts a part; returns why the answer is given up, or an empty string."""
        if isinstance(event, h11.InformationalResponse):
            pending.informational_heads += 1
        elif isinstance(event, h11.Data):
            pending.chunks += event.chunk_end
            pending.body_bytes += len(event.data)
        return pending.endless_detail

    def _pass_on(self, body: list[bytes]) -> None:
        """Passes pieces of the body on, and empties the list."""
        pending = self._pending
        if body and pending is not None and not pending.has_foreign_response:
            pending.handler.on_response_data(b"".join(body))
        body.clear()

    def _update_reading(self) -> None:
        if self._is_paused or self._is_parsing_deferred:
            self._connections.pause_reading(self._connection)
        else:
            self._connections.resume_reading(self._connection)

    def _handle_event(self, event: object) -> bool:
        """Handles an event that is no piece of a body; returns whether others may follow."""
        pending = self._pending
        if pending is None or event is h11.NEED_DATA or event is h11.PAUSED:
            return False
        if isinstance(event, h11.Response):
            return self._handle_head(pending, event)
        if isinstance(event, h11.EndOfMessage):
            if pending.has_foreign_response:
                return self._skip_foreign_response(pending)
            self._complete_request(pending)
            return False
        return not isinstance(event, h11.ConnectionClosed)

    def _handle_head(self, pending: _PendingRequest, event: h11.Response) -> bool:
        """Passes a response head on; returns False if the response is no answer."""
        if fault := find_head_fault(event):
            self._fail_request(f"bad HTTP answer: {fault}")
            return False
        head = RawResponseHead(event.status_code, event.reason, list(event.headers))
        echoed = head.get(pending.id_header) if pending.id_header else None
        pending.has_foreign_response = echoed is not None and echoed != pending.request_id
        pending.is_echoed = echoed is not None and echoed == pending.request_id
        if echoed is None and self.reuse_requires_echo and self.completed_requests:
            # The server echoed ids before; this may be a copy of an earlier response, and the
            # request may be running.
            self._fail_request("the answer on a reused connection states no id")
            return False
        pending.is_success = is_success(head.status)
        if not pending.has_foreign_response:
            self._update_keep_alive_timeout(head)
            pending.handler.on_response_head(head)
        return True

    def _skip_foreign_response(self, pending: _PendingRequest) -> bool:
        """Resets the parser to read the pending request's response after a discarded one."""
        next_response_bytes, _ = self._protocol.trailing_data
        pending.has_foreign_response = False
        self._protocol = _new_protocol()
        _encode_request(self._protocol, pending.request)
        if next_response_bytes:
            # h11 takes empty data as the end of the connection.
            self._protocol.receive_data(next_response_bytes)
        return True

    def _update_keep_alive_timeout(self, head: RawResponseHead) -> None:
        for item in (head.get(b"keep-alive") or b"").split(b","):
            name, _, value = item.strip().partition(b"=")
            if name == b"timeout" and value.isdigit():
                self.keep_alive_timeout_s = float(value)

    def _complete_request(self, pending: _PendingRequest) -> None:
        self._pending = None
        reusable = (
            self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
            and not self._protocol.trailing_data[0]
            and not self._connection.unsent
            and not self._connection.closed
            and (pending.is_echoed or not self.reuse_requires_echo)
        )
        if reusable:
            self._protocol.start_next_cycle()
            self.completed_requests += 1
            self._is_paused = False
            self._update_reading()
            self._on_idle(self)
        else:
            self.close()
        pending.handler.on_response_complete()

    def _fail_later(self, pending: _PendingRequest, detail: str) -> None:
        """Closes the connection, and tells the handler once `start_request` has returned."""
        error = TransportError(detail, self.verdict, disconnected=self._connection.closed)
        self.close()
        # Until the handler is told, `close` can still prevent that.
        self._pending = pending

        def tell_handler() -> None:
            if self._pending is pending:
                self._pending = None
                pending.handler.on_response_failed(error)

        self._connections.call_soon(tell_handler)

    def _fail_request(self, detail: str) -> None:
        pending = self._pending
        error = TransportError(detail, self.verdict, disconnected=self._connection.closed)
        self.close()
        if pending is not None:
            pending.handler.on_response_failed(error)


def _new_protocol() -> h11.Connection:
    return h11.Connection(our_role=h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES)


def _encode_request(protocol: h11.Connection, request: RawRequest) -> bytes:
    head = h11.Request(method=request.method, target=request.target, headers=request.headers)
    parts = [protocol.send(head)]
    if request.body:
        parts.append(protocol.send(h11.Data(data=request.body)))
    parts.append(protocol.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part)

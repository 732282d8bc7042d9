"""Random answers of backend servers, cut at each byte, through both HTTP connections of a host.

No socket is opened: what the backend server sends is fed to the upstream connection, and what the
caller receives is parsed as an HTTP client would.
"""

from random import Random
from typing import Final

import h11
from attrs import define, field, frozen

from berylquay.decisions.fleet import Address
from berylquay.decisions.route_table import CallerRequestLimits
from berylquay.errors import TransportError
from berylquay.net.body_framing import BodyFraming
from berylquay.net.persistent_http import PersistentConnection, RawRequest, RawResponseHead
from berylquay.relay.caller_connection import CallerConnection, CallerRequest
from berylquay.relay.response_relay import ResponseRelay
from tests.support.fake_connections import FakeConnections

REQUEST_ID: Final = b"id-1"
ADDRESS: Final = Address("127.0.0.1", 1)
LIMITS: Final = CallerRequestLimits(
    max_header_bytes=16384, max_body_bytes=65536, header_timeout_s=3.0, idle_timeout_s=15.0
)
LINE_ENDS: Final = (b"\n", b"\r\n", b"\r")
MAX_EVENTS: Final = 4


@frozen
class Answer:
    """What a backend server sends, and what of it a caller may get."""

    head: bytes
    # Body as framed, and without its framing.
    framed_body: bytes
    body: bytes
    framing: BodyFraming
    # Lengths of the body at which it may be complete without its framing.
    possible_ends: frozenset[int]
    is_stream: bool
    is_resumable: bool


def draw_answer(rng: Random) -> Answer:
    """Returns a random, valid answer."""
    framing = rng.choice(list(BodyFraming))
    kind = rng.choice(("event-stream", "json", "other"))
    is_stream = kind == "event-stream"
    if is_stream:
        body, possible_ends = _draw_event_stream(rng)
        content_type = rng.choice((b"text/event-stream", b"Text/Event-Stream; charset=utf-8"))
    elif kind == "json":
        body = rng.choice((b'{"a": "\\"}", "b": [1, {}]}', b'[" ", "]"]', b'"text"'))
        possible_ends = frozenset({len(body)})
        content_type = rng.choice((b"application/json", b"application/problem+json"))
    else:
        body = rng.randbytes(rng.randint(0, 40))
        possible_ends = frozenset(range(len(body) + 1))
        content_type = rng.choice((b"application/octet-stream", b"text/plain"))
    head = b"HTTP/1.1 103 Early Hints\r\n\r\n" if rng.random() < 0.2 else b""
    head += b"HTTP/1.1 200 OK\r\nAttempt-Id: " + REQUEST_ID + b"\r\nServer-Seal: seal\r\n"
    head += b"Content-Type: " + content_type + b"\r\n"
    framed_body = body
    if framing is BodyFraming.LENGTH:
        head += b"Content-Length: %d\r\n" % len(body)
    elif framing is BodyFraming.CHUNKED:
        head += b"Transfer-Encoding: chunked\r\n"
        chunks = _split(body, rng)
        framed_body = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
        framed_body += b"0\r\n\r\n"
    is_resumable = is_stream and rng.random() < 0.5
    return Answer(
        head + b"\r\n", framed_body, body, framing, possible_ends, is_stream, is_resumable
    )


def _draw_event_stream(rng: Random) -> tuple[bytes, frozenset[int]]:
    line_end = rng.choice(LINE_ENDS)
    body = b""
    possible_ends = {0}
    for event_id in range(1, rng.randint(0, MAX_EVENTS) + 1):
        data = rng.choice((b"x", b"text: with id: 7", b"\xc3\xa9"))
        body += b"id: %d" % event_id + line_end + b"data: " + data + line_end + line_end
        if line_end == b"\r\n":
            # The carriage return alone already ends the empty line.
            possible_ends.add(len(body) - 1)
        possible_ends.add(len(body))
        if rng.random() < 0.2:
            body += b": comment" + line_end
            possible_ends |= {len(body), len(body) - len(line_end) + 1}
    return body, frozenset(possible_ends)


def _split(data: bytes, rng: Random) -> list[bytes]:
    pieces = []
    while data:
        size = rng.randint(1, min(len(data), 30))
        pieces.append(data[:size])
        data = data[size:]
    return pieces


@define
class AnswerPath:
    """A caller's connection, the relay of one response, and the connection to its backend."""

    answer: Answer
    http_version: bytes
    connections: FakeConnections = field(factory=FakeConnections)
    caller: CallerConnection = field(init=False)
    upstream: PersistentConnection = field(init=False)
    relay: ResponseRelay = field(init=False)
    # Whether the response of the backend server was taken as complete, or None before its end.
    is_complete: bool | None = None

    def __attrs_post_init__(self) -> None:
        """Receives the caller's request and sends it to the backend server."""
        self.caller = CallerConnection(self.connections, self, LIMITS, lambda: 0.0)
        self.caller.connection = self.connections.open(ADDRESS, self.caller)
        request = b"POST / HTTP/" + self.http_version + b"\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
        self.caller.on_data_received(request)

    def receive(self, length: int, *, with_fin: bool, rng: Random) -> None:
        """Delivers the first bytes of the answer in random pieces, then ends the connection."""
        sent = (self.answer.head + self.answer.framed_body)[:length]
        connection = self.upstream._connection
        for piece in _split(sent, rng):
            if not connection.closed:
                self.upstream.on_data_received(piece)
        if not connection.closed:
            connection.closed = True
            connection.peer_closed_cleanly = with_fin
            self.upstream.on_disconnected("ended")

    def caller_view(self) -> tuple[bytes, bool]:
        """Returns the body that the caller received, and whether it looks complete."""
        key = id(self.caller.connection)
        protocol = h11.Connection(our_role=h11.CLIENT)
        protocol.send(h11.Request(method="POST", target="/", headers=[("Host", "h")]))
        protocol.send(h11.EndOfMessage())
        received = b""
        if self.connections.sent[key]:
            protocol.receive_data(self.connections.sent[key])
        try:
            while True:
                event = protocol.next_event()
                if isinstance(event, h11.Data):
                    received += event.data
                elif isinstance(event, h11.EndOfMessage):
                    return received, True
                elif event is h11.NEED_DATA:
                    if self.connections.closed_with_reset.get(key, True):
                        return received, False
                    protocol.receive_data(b"")
        except h11.RemoteProtocolError:
            return received, False

    # CallerConnectionHandler.

    def on_request(self, caller: CallerConnection, request: CallerRequest) -> None:
        """Sends the request on."""
        self.relay = ResponseRelay(
            caller,
            request.method,
            is_streaming_route=self.answer.is_stream,
            is_resumable=self.answer.is_resumable,
            last_event_id=None,
        )
        self.upstream = PersistentConnection(
            ADDRESS, lambda _connection: None, lambda _connection: None, self.connections
        )
        self.upstream.start_request(
            RawRequest(b"POST", b"/", [(b"host", b"h"), (b"content-length", b"0")]),
            self,
            b"attempt-id",
            REQUEST_ID,
        )

    def on_caller_disconnected(self, caller: CallerConnection) -> None:
        """Does nothing."""

    def on_caller_writable(self, caller: CallerConnection) -> None:
        """Does nothing."""

    def on_request_rejected(self, caller: CallerConnection, status: int, detail: str) -> None:
        """Does nothing."""

    def on_connection_ended(self, caller: CallerConnection) -> None:
        """Does nothing."""

    def may_show_input(self) -> bool:
        """Shows errors in full."""
        return True

    def reserve_body(self, size_bytes: int) -> bool:
        """Grants all memory."""
        return True

    def release_body(self, size_bytes: int) -> None:
        """Does nothing."""

    # ResponseHandler.

    def on_response_head(self, head: RawResponseHead) -> None:
        """Passes the head to the relay."""
        self.relay.begin(head)

    def on_response_data(self, data: bytes) -> None:
        """Passes a piece of the body to the relay."""
        self.relay.feed(data)

    def on_response_complete(self) -> None:
        """Ends the response to the caller, or breaks it off."""
        rest = self.relay.finish_body().value_or(None)
        self.is_complete = rest is not None
        if rest is None:
            self.caller.abort()
        else:
            self.relay.send_rest(rest)
            self.caller.end_response()

    def on_response_failed(self, error: TransportError) -> None:
        """Breaks the response to the caller off."""
        self.is_complete = False
        self.caller.abort()


def check_all_cuts(seed: int) -> int:
    """Cuts one random answer at each byte and checks what its caller gets; returns the cuts.

    Raises:
        AssertionError: A broken-off answer looks complete, or a complete one was spoilt.
    """
    rng = Random(seed)
    answer = draw_answer(rng)
    total = len(answer.head) + len(answer.framed_body)
    for length in range(total + 1):
        for with_fin in (True, False):
            path = AnswerPath(answer, rng.choice((b"1.1", b"1.0")))
            path.receive(length, with_fin=with_fin, rng=rng)
            received, looks_complete = path.caller_view()
            case = (seed, length, with_fin, answer)
            assert answer.body.startswith(received), case
            assert looks_complete is path.is_complete, case
            assert looks_complete is may_look_complete(answer, length, with_fin=with_fin), case
            if looks_complete:
                sent_body_length = max(0, length - len(answer.head))
                is_framed = answer.framing is not BodyFraming.CONNECTION_END
                assert len(received) == (len(answer.body) if is_framed else sent_body_length), case
    return 2 * (total + 1)


def may_look_complete(answer: Answer, length: int, *, with_fin: bool) -> bool:
    """Returns whether a caller may take the first `length` bytes of the answer as all of it."""
    body_length = length - len(answer.head)
    if body_length < 0:
        return False
    if answer.framing is not BodyFraming.CONNECTION_END:
        return body_length >= len(answer.framed_body)
    return with_fin and body_length in answer.possible_ends

"""What the early end of an answer, of a tunnel or of a message between hosts is taken for."""

import json
from collections.abc import Callable
from typing import Final
from unittest.mock import Mock

import pytest
from attrs import define, field

from berylquay.call_verdicts import Verdict
from berylquay.decisions.fleet import Address
from berylquay.decisions.server_instance import ServerInstance
from berylquay.errors import TransportError
from berylquay.net.persistent_http import PersistentConnection, RawRequest, RawResponseHead
from berylquay.net.tcp_connections import Connection, ConnectionHandler
from berylquay.peers.security_layer import PlaintextLayer
from berylquay.peers.websocket import PeerWebSocket, WebSocketError
from berylquay.platform.request_codec import (
    decode_accepted_order_count,
    decode_instance_statement,
    decode_kv_cache_handle,
)
from berylquay.relay.gateway_transport import GatewayTransport
from berylquay.relay.tunnel_messages import END, OPENED, encode_data, encode_event
from tests.support.fake_connections import FakeConnections

ADDRESS: Final = Address("10.0.0.1", 80)
ID_HEADER: Final = b"attempt-id"
OWN: Final = b"HTTP/1.1 200 OK\r\nAttempt-Id: own\r\n"
FRAMED: Final = OWN + b"Content-Length: 2\r\n\r\n{}"
COMPLETE: Final = "complete"


@define
class Response:
    """Records a response and how it ended."""

    status: int = 0
    body: bytes = b""
    # `COMPLETE`, a verdict, or nothing yet.
    end: object = None
    errors: list[TransportError] = field(factory=list)

    def on_response_head(self, head: RawResponseHead) -> None:
        self.status = head.status

    def on_response_data(self, data: bytes) -> None:
        self.body += data

    def on_response_complete(self) -> None:
        self.end = COMPLETE

    def on_response_failed(self, error: TransportError) -> None:
        self.end = error.verdict
        self.errors.append(error)


class EndingConnections(FakeConnections):
    """Connections whose other end the test is."""

    def __init__(self) -> None:
        super().__init__()
        self.newest: Connection | None = None

    def open(self, address: Address, connection_handler: ConnectionHandler) -> Connection:
        self.newest = super().open(address, connection_handler)
        return self.newest

    def receive(self, data: bytes) -> None:
        """Receives data on the newest connection."""
        assert self.newest is not None
        if data and not self.newest.closed:
            self.newest.handler.on_data_received(data)

    def end(self, *, has_fin: bool) -> None:
        """Ends the newest connection."""
        assert self.newest is not None
        if not self.newest.closed:
            self.newest.closed = True
            self.newest.peer_closed_cleanly = has_fin
            self.newest.handler.on_disconnected("ended")


def ignore(_connection: PersistentConnection) -> None:
    """Does nothing."""


# Guards against a request that counts as not run, or as answered, since its connection ended.
@pytest.mark.parametrize("is_kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize(
    ("method", "answer", "after_fin", "after_reset"),
    [
        (b"POST", b"", Verdict.MAY_HAVE_RUN, Verdict.MAY_HAVE_RUN),
        (b"POST", b"HTTP/1.1 200 O", Verdict.MAY_HAVE_RUN, Verdict.MAY_HAVE_RUN),
        (b"POST", b"HTTP/1.1 103 X\r\n\r\n", Verdict.MAY_HAVE_RUN, Verdict.MAY_HAVE_RUN),
        (b"POST", FRAMED[:-1], Verdict.MAY_HAVE_RUN, Verdict.MAY_HAVE_RUN),
        (b"POST", OWN + b"\r\n{}", COMPLETE, Verdict.MAY_HAVE_RUN),
        # The body of another call, and nothing or a part of this one's.
        (b"POST", FRAMED.replace(b"own", b"other"), *[Verdict.MAY_HAVE_RUN] * 2),
        (b"POST", FRAMED.replace(b"own", b"other") + FRAMED[:-1], *[Verdict.MAY_HAVE_RUN] * 2),
        (b"POST", (OWN + b"\r\n{}").replace(b"own", b"other"), *[Verdict.MAY_HAVE_RUN] * 2),
        (b"POST", FRAMED.replace(b"own", b"other") + FRAMED, COMPLETE, COMPLETE),
        # Nothing can be missing.
        (b"HEAD", OWN + b"\r\n", COMPLETE, COMPLETE),
        (b"GET", OWN.replace(b"200", b"204") + b"\r\n", COMPLETE, COMPLETE),
        (b"GET", OWN.replace(b"200", b"304") + b"\r\n", COMPLETE, COMPLETE),
    ],
)
@pytest.mark.parametrize("has_fin", [True, False], ids=["fin", "reset"])
def test_an_end_before_the_answers_end_promises_nothing(
    method: bytes,
    answer: bytes,
    after_fin: object,
    after_reset: object,
    *,
    has_fin: bool,
    is_kept: bool,
) -> None:
    connections = EndingConnections()
    connection = PersistentConnection(
        ADDRESS, ignore, ignore, connections, reuse_requires_echo=True
    )
    request = RawRequest(method, b"/", [(b"host", b"h")])
    if is_kept:
        first = Response()
        connection.start_request(request, first, ID_HEADER, b"own")
        connections.receive(FRAMED if method != b"HEAD" else OWN + b"\r\n")
        assert first.end == COMPLETE
    response = Response()
    connection.start_request(request, response, ID_HEADER, b"own")
    connections.receive(answer)
    connections.end(has_fin=has_fin)
    assert response.end == (after_fin if has_fin else after_reset)
    if response.end == COMPLETE and method == b"POST":
        assert response.body == b"{}"


class Tunnel:
    """A tunnel whose gateway the test is, with one request whose answer shows no end."""

    def __init__(self) -> None:
        self.connections = EndingConnections()
        self.gateway = PeerWebSocket(PlaintextLayer(), server_side=True)
        transport = GatewayTransport(
            self.connections, "gw", ADDRESS, ServerInstance("app-0", 0), Mock()
        )
        connection = PersistentConnection(ADDRESS, ignore, ignore, transport)
        self.response = Response()
        connection.start_request(RawRequest(b"POST", b"/", [(b"host", b"h")]), self.response)
        assert self.connections.newest is not None
        link = self.connections.newest
        link.handler.on_connected()
        self.gateway.receive(self.connections.sent[id(link)])
        self.connections.receive(self.gateway.take_outgoing())
        for message in (encode_event(OPENED), *encode_data(b"HTTP/1.1 200 OK\r\n\r\npart")):
            self.connections.receive(self.frame(message))
        assert self.response.body == b"part"

    def frame(self, message: bytes) -> bytes:
        """Returns the bytes of a message of the gateway."""
        self.gateway.send(message)
        return self.gateway.take_outgoing()

    def close_frame(self) -> bytes:
        """Returns the bytes of a close frame."""
        self.gateway.close("done")
        return self.gateway.take_outgoing()


def end_amid_message(tunnel: Tunnel) -> bytes:
    """Returns data of the server without the last byte of its frame."""
    return tunnel.frame(*encode_data(b" and more"))[:-1]


def end_amid_last_event(tunnel: Tunnel) -> bytes:
    """Returns the event that the server has ended, without its last byte."""
    return tunnel.frame(encode_event(END))[:-1]


# Guards against an answer taken for whole because the tunnel ended, rather than the server.
@pytest.mark.parametrize("has_fin", [True, False], ids=["fin", "reset"])
@pytest.mark.parametrize(
    ("make_last_bytes", "is_complete"),
    [
        (lambda tunnel: b"", False),
        (end_amid_message, False),
        (end_amid_last_event, False),
        (Tunnel.close_frame, False),
        (lambda tunnel: tunnel.frame(encode_event("later-event")), False),
        (lambda tunnel: tunnel.frame(b"\xff"), False),
        (lambda tunnel: tunnel.frame(encode_event(END)), True),
    ],
    ids=["nothing", "amid-data", "amid-end", "close-frame", "unknown", "unreadable", "end"],
)
def test_only_the_servers_end_ends_an_answer_in_a_tunnel(
    make_last_bytes: Callable[[Tunnel], bytes], *, is_complete: bool, has_fin: bool
) -> None:
    tunnel = Tunnel()
    tunnel.connections.receive(make_last_bytes(tunnel))
    tunnel.connections.end(has_fin=has_fin)
    assert tunnel.response.end == (COMPLETE if is_complete else Verdict.MAY_HAVE_RUN)


# Guards against a part of a message between hosts that is handled as a whole one.
def test_a_message_between_hosts_that_is_cut_off_is_none() -> None:
    client = PeerWebSocket(PlaintextLayer(), server_side=False)
    server = PeerWebSocket(PlaintextLayer(), server_side=True)
    server.receive(client.take_outgoing())
    client.receive(server.take_outgoing())
    for size in (1, 200, 70_000):
        server.send(b"x" * size)
        frame = server.take_outgoing()
        assert client.receive(frame[:-1]) == []
        assert client.receive(frame[-1:]) == [b"x" * size]
    server.close("done")
    with pytest.raises(WebSocketError):
        client.receive(server.take_outgoing())


# Guards against an answer about an engine that is read although it was cut off: an idle engine, no
# accepted orders, another handle.
@pytest.mark.parametrize(
    ("value", "is_read"),
    [
        (
            {"kvHandle": "3fa09c", "tokens": 1460, "version": 1},
            lambda body: decode_kv_cache_handle("e", ADDRESS, body).value_or(None) is not None,
        ),
        (
            {"phase": "decode", "queued": 1, "seq": 12},
            lambda body: decode_accepted_order_count(body) is not None,
        ),
        (
            {"queued": 1, "born": 1765000000123},
            lambda body: bool(
                decode_instance_statement(RawResponseHead(200, b"", []), body).started_unix_ms
            ),
        ),
    ],
    ids=["prefill", "report", "start"],
)
def test_an_engines_json_that_is_cut_off_is_not_read(
    value: dict[str, object], is_read: Callable[[bytes], bool]
) -> None:
    body = json.dumps(value).encode()
    assert is_read(body)
    for length in range(len(body)):
        assert not is_read(body[:length])

"""Connections that fail while something is being sent on them: when their users are told."""

import socket
import time
from collections.abc import Callable, Iterator
from threading import RLock
from typing import Final

import pytest
from attrs import define, field
from circuits.core.events import generate_events
from circuits.core.pollers import EPoll

from berylquay.call_verdicts import Verdict
from berylquay.decisions.fleet import Address
from berylquay.decisions.route_table import CallerRequestLimits
from berylquay.decisions.server_instance import ServerInstance
from berylquay.decisions.store_era import StoreEra
from berylquay.errors import TransportError
from berylquay.net.persistent_http import PersistentConnection, RawRequest, RawResponseHead
from berylquay.net.tcp_connections import Connection, TcpConnections
from berylquay.peers.security_layer import PlaintextLayer
from berylquay.peers.websocket import PeerWebSocket
from berylquay.platform.duty_client import DutyClient
from berylquay.platform.store_client import StoreClient
from berylquay.relay.caller_connection import CallerConnection
from berylquay.relay.gateway_transport import GatewayTransport
from berylquay.relay.tunnel_messages import OPENED, encode_event
from tests.support.raw_sockets import reset_on_close

ANSWER: Final = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
REQUEST: Final = RawRequest(b"GET", b"/", [(b"host", b"h")])
UNENCODABLE: Final = RawRequest(b"GET", b"/", [(b"host", b"h"), (b"x", b"\r\n")])
LIMITS: Final = CallerRequestLimits(16384, 16384, 3.0, 3.0)
TURNS: Final = 20


@define
class Told:
    """Counts how often the user of a connection is told of its end."""

    ends: list[object] = field(factory=list)
    requests: int = 0

    def on_connected(self) -> None:
        """Does nothing."""

    def on_data_received(self, _data: bytes) -> None:
        """Does nothing."""

    def on_disconnected(self, detail: str) -> None:
        self.ends.append(detail)

    def on_response_head(self, _head: RawResponseHead) -> None:
        """Does nothing."""

    def on_response_data(self, _data: bytes) -> None:
        """Does nothing."""

    def on_response_complete(self) -> None:
        """Does nothing."""

    def on_response_failed(self, error: TransportError) -> None:
        self.ends.append(error.verdict)

    def on_request(self, _caller: object, _request: object) -> None:
        self.requests += 1

    def on_caller_disconnected(self, _caller: object) -> None:
        self.ends.append("caller")

    def on_connection_ended(self, _caller: object) -> None:
        """Does nothing."""

    def release_body(self, _size_bytes: int) -> None:
        """Does nothing."""


@define
class Loop:
    """An event loop that the test turns, and the other ends of its connections."""

    poller: EPoll = field(factory=EPoll)
    connections: TcpConnections = field(init=False)
    listener: socket.socket = field(factory=lambda: socket.create_server(("127.0.0.1", 0)))
    peers: list[socket.socket] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Registers the connections with the loop."""
        self.connections = TcpConnections(self.poller).register(self.poller)

    @property
    def address(self) -> Address:
        """Returns the address of the other ends."""
        return Address(*self.listener.getsockname())

    def close(self) -> None:
        """Closes the other ends."""
        for sock in (self.listener, *self.peers):
            sock.close()

    def turn(self, turns: int = TURNS) -> None:
        """Turns the event loop."""
        for _ in range(turns):
            self.poller.fire(generate_events(RLock(), 0.002), "*")
            self.poller.tick()

    def accept(self) -> socket.socket:
        """Accepts a connection, of which the loop then learns."""
        peer = self.listener.accept()[0]
        peer.settimeout(2.0)
        self.peers.append(peer)
        self.turn()
        return peer

    def reset(self, peer: socket.socket) -> None:
        """Resets a connection; the loop has not learned of it."""
        reset_on_close(peer)
        peer.close()
        time.sleep(0.02)

    def open_persistent(self) -> tuple[PersistentConnection, socket.socket]:
        """Returns an idle connection and its other end."""
        connection = PersistentConnection(
            self.address, lambda _connection: None, lambda _connection: None, self.connections
        )
        return connection, self.accept()


@pytest.fixture
def loop() -> Iterator[Loop]:
    made = Loop()
    yield made
    made.close()


def open_tcp(loop: Loop, told: Told) -> tuple[Connection, socket.socket]:
    connection = loop.connections.open(loop.address, told)
    return connection, loop.accept()


# Guards against a user that is told of a failure before it has stored what it has started.
@pytest.mark.parametrize("method", ["send", "half_close"])
def test_no_callback_comes_from_within_a_call(loop: Loop, method: str) -> None:
    told = Told()
    connection, peer = open_tcp(loop, told)
    loop.reset(peer)
    if method == "send":
        loop.connections.send(connection, b"x")
        loop.connections.send(connection, b"y")
    else:
        loop.connections.half_close(connection)
    assert not told.ends
    loop.turn()
    assert len(told.ends) == 1
    assert connection.closed


# Guards against a connection that was reset, and whose end looks like a clean one because sending
# has taken the error.
def test_a_failed_connection_does_not_end_cleanly(loop: Loop) -> None:
    told = Told()
    connection, peer = open_tcp(loop, told)
    loop.reset(peer)
    loop.connections.send(connection, b"x")
    # The read that was due before the failure is handled after it.
    loop.connections._on_readable(connection.sock)
    loop.connections.resume_reading(connection)
    loop.turn()
    assert not connection.peer_closed_cleanly
    assert told.ends == ["Connection reset by peer"]


# Guards against a user that is told of the end of a connection that it has closed meanwhile.
def test_a_connection_that_is_closed_after_its_failure_tells_nothing(loop: Loop) -> None:
    told = Told()
    connection, peer = open_tcp(loop, told)
    loop.reset(peer)
    loop.connections.send(connection, b"x")
    loop.connections.close(connection)
    loop.turn()
    assert not told.ends


def start_on_reset(loop: Loop, told: Told) -> PersistentConnection:
    connection, peer = loop.open_persistent()
    loop.reset(peer)
    connection.start_request(REQUEST, told)
    return connection


def start_too_late(loop: Loop, told: Told) -> PersistentConnection:
    connection, _ = loop.open_persistent()
    connection.start_request(REQUEST, told, may_send=lambda: False)
    return connection


def start_unencodable(loop: Loop, told: Told) -> PersistentConnection:
    connection, _ = loop.open_persistent()
    connection.start_request(UNENCODABLE, told)
    return connection


def start_on_closed(loop: Loop, told: Told) -> PersistentConnection:
    connection, _ = loop.open_persistent()
    connection.close()
    connection.start_request(REQUEST, told)
    return connection


class _GatewayListener:
    def on_gateway_failed(self, _gateway: str) -> None:
        """Does nothing."""

    def on_server_reached(self) -> None:
        """Does nothing."""

    def on_server_unreached(self, _gateway: str) -> bool:
        return False


def start_in_reset_tunnel(loop: Loop, told: Told) -> PersistentConnection:
    transport = GatewayTransport(
        loop.connections, "host-1", loop.address, ServerInstance("s", 1), _GatewayListener()
    )
    connection = PersistentConnection(
        Address("127.0.0.1", 1), lambda _connection: None, lambda _connection: None, transport
    )
    peer, websocket = loop.accept(), PeerWebSocket(PlaintextLayer(), server_side=True)
    websocket.receive(peer.recv(65536))
    websocket.send(encode_event(OPENED, ""))
    peer.sendall(websocket.take_outgoing())
    loop.turn()
    assert connection.connected
    loop.reset(peer)
    connection.start_request(REQUEST, told)
    return connection


STARTS: Final = [
    start_on_reset,
    start_too_late,
    start_unencodable,
    start_on_closed,
    start_in_reset_tunnel,
]


# Guards against a request whose failure is handled before its sender knows of the request: the call
# was then sent once more, and the failed request was taken for an open one.
@pytest.mark.parametrize("start", STARTS)
def test_a_request_fails_after_it_was_started(
    loop: Loop, start: Callable[[Loop, Told], PersistentConnection]
) -> None:
    told = Told()
    connection = start(loop, told)
    assert not told.ends
    loop.turn()
    # A tunnel can't tell whether the gateway has passed the request on.
    may_have_run = start is start_in_reset_tunnel
    assert told.ends == [Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN]
    assert connection.closed


# Guards against a failure that is told after the request was given up.
@pytest.mark.parametrize("start", STARTS)
def test_a_request_that_was_given_up_does_not_fail(
    loop: Loop, start: Callable[[Loop, Told], PersistentConnection]
) -> None:
    told = Told()
    start(loop, told).close()
    loop.turn()
    assert not told.ends


def call_store(loop: Loop, told: Told) -> tuple[StoreClient, Callable[[], None]]:
    client = StoreClient(loop.connections, loop.address, StoreEra())
    return client, lambda: client.read("t", 0, 0.0, told.ends.append)


def call_duties(loop: Loop, told: Told) -> tuple[DutyClient, Callable[[], None]]:
    client = DutyClient(loop.connections, loop.address, 1000.0)
    return client, lambda: client.report_usage("h", 1, 1, {}, told.ends.append)


# Guards against a client of the platform that hears of a failed call before the call has returned,
# and then stores that the call is in flight.
@pytest.mark.parametrize("make_call", [call_store, call_duties])
def test_a_call_to_the_platform_fails_after_it_was_begun(
    loop: Loop,
    make_call: Callable[[Loop, Told], tuple[StoreClient | DutyClient, Callable[[], None]]],
) -> None:
    told = Told()
    client, call = make_call(loop, told)
    client.on_tick(time.monotonic())
    call()
    peer = loop.accept()
    client.on_tick(time.monotonic())
    peer.recv(65536)
    peer.sendall(ANSWER)
    loop.turn()
    assert len(told.ends) == 1
    loop.reset(peer)
    call()
    assert len(told.ends) == 1
    loop.turn()
    assert len(told.ends) == 2


# Guards against a caller's request that is cancelled while its answer is being sent, and then ended
# once more; and against the next request of a caller who is gone, which nothing would cancel.
def test_a_caller_is_lost_after_its_answer_was_sent(loop: Loop) -> None:
    told = Told()
    with socket.create_connection(loop.listener.getsockname()) as peer:
        accepted = loop.listener.accept()[0]
        caller = CallerConnection(loop.connections, told, LIMITS, time.monotonic)  # type: ignore[arg-type]
        caller.connection = loop.connections.adopt(accepted, Address("127.0.0.1", 1), caller)
        peer.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * 2)
        loop.turn()
        reset_on_close(peer)
    time.sleep(0.02)
    caller.send_response(200, b"OK", [], b"x")
    assert not told.ends
    loop.turn()
    assert told.ends == ["caller"]
    assert told.requests == 1

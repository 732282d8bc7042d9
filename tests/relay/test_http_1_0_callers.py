"""Answers to HTTP/1.0 callers, who have the end of the connection alone, when the host ends."""

import signal
import socket
import time
from typing import Final

import pytest
from attrs import define
from circuits.core.pollers import EPoll

from berylquay.decisions.fleet import Address
from berylquay.net.tcp_connections import TcpConnections
from berylquay.relay.caller_connection import CallerConnection
from tests.support.answer_fuzzing import LIMITS
from tests.support.relay_fleet import HOST_NAME, PATHS, RelayFleet, make_configuration
from tests.support.scripted_backend import Ending

BODY: Final = b"x" * 32_000_000
REQUEST: Final = b"GET / HTTP/1.0\r\n\r\n"
READ_BYTES: Final = 1_000_000
EVENT: Final = b"id: 1\ndata: first\n\n"
# More than a host buffers of an answer.
PLAIN: Final = b"x" * 200_000


class Handler:
    """Answers each request with more than the operating system buffers."""

    def on_request(self, caller: CallerConnection, _request: object) -> None:
        caller.start_response(200, b"OK", [])
        caller.send_body(BODY)
        caller.end_response()

    def on_connection_ended(self, _caller: CallerConnection) -> None:
        """Does nothing."""

    def release_body(self, _size_bytes: int) -> None:
        """Does nothing."""


@define
class Answered:
    """A connection on which an answer has ended."""

    connections: TcpConnections
    caller: CallerConnection
    # The caller's end.
    sock: socket.socket

    def flush(self) -> int:
        """Sends the rest, of which the caller reads what arrives; returns how much it was."""
        received_bytes = 0
        while self.caller.connection.unsent:
            received_bytes += len(self.sock.recv(READ_BYTES))
            self.connections._on_writable(self.caller.connection.sock)
        return received_bytes


def read_until_end(sock: socket.socket) -> tuple[int, bool]:
    """Returns how much a caller receives, and whether its connection was reset."""
    received_bytes = 0
    try:
        while data := sock.recv(READ_BYTES):
            received_bytes += len(data)
    except ConnectionResetError:
        return received_bytes, True
    return received_bytes, False


def answer_slow_caller() -> Answered:
    """Returns a connection whose caller has read nothing of its answer."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        sock = socket.create_connection(listener.getsockname(), timeout=5.0)
        accepted, _ = listener.accept()
    connections = TcpConnections(EPoll())
    caller = CallerConnection(connections, Handler(), LIMITS, time.monotonic)  # type: ignore[arg-type]
    caller.connection = connections.adopt(accepted, Address("127.0.0.1", 1), caller)
    caller.on_data_received(REQUEST)
    assert caller.connection.unsent
    return Answered(connections, caller, sock)


# Guards against a caller without chunks that takes a part of an answer for all of it: the host had
# the rest of a whole answer in its memory when it was killed, or its time to stop was over.
def test_an_answer_of_which_the_host_holds_a_part_ends_with_a_reset() -> None:
    answered = answer_slow_caller()
    answered.caller.on_tick(time.monotonic())
    # As the operating system does with the sockets of a process that ends.
    answered.caller.connection.sock.close()
    received_bytes, was_reset = read_until_end(answered.sock)
    assert was_reset
    assert received_bytes < len(BODY)


# Guards against a whole answer that is reset although the operating system has it all.
def test_an_answer_that_was_passed_on_ends_with_fin() -> None:
    answered = answer_slow_caller()
    received_bytes = answered.flush()
    answered.caller.on_tick(time.monotonic())
    answered.caller.connection.sock.close()
    rest_bytes, was_reset = read_until_end(answered.sock)
    assert not was_reset
    assert received_bytes + rest_bytes > len(BODY)


# Guards against a part of an answer that ends like a whole one since the host was killed, or since
# its time to stop was over.
@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGTERM], ids=["kill", "stop"])
@pytest.mark.parametrize(
    ("path", "server", "part"),
    [
        ("stream", ("engine", "lm", "decode"), EVENT),
        ("once", ("app", "app", ""), PLAIN),
    ],
    ids=["stream", "plain"],
)
def test_an_answer_ends_with_a_reset_when_the_host_ends(
    fleet: RelayFleet,
    path: str,
    server: tuple[str, str, str],
    part: bytes,
    signal_number: signal.Signals,
) -> None:
    fleet.put_configuration(make_configuration())
    name, pool, role = server
    content_type = b"text/event-stream" if role else b"application/octet-stream"
    answer = b"HTTP/1.1 200 OK\r\nAttempt-Id: <id>\r\nServer-Seal: seal\r\n"
    answer += b"Content-Type: %b\r\nTransfer-Encoding: chunked\r\n\r\n" % content_type
    answer += b"%x\r\n%b\r\n" % (len(part), part)
    fleet.add_scripted_backend(name, pool, answer, Ending.SILENCE, role)
    host = fleet.add_host()
    with fleet.connect() as caller:
        caller.settimeout(15.0)
        request = f"POST {PATHS[path]} HTTP/1.0\r\nHost: {HOST_NAME}\r\nAttempt-Id: id-1\r\n"
        caller.sendall(request.encode() + b"Content-Length: 0\r\n\r\n")
        received = b""
        while not received.endswith(part):
            received += caller.recv(READ_BYTES)
        host.popen.send_signal(signal_number)
        assert read_until_end(caller) == (0, True)

"""Answers whose server ends the connection before it has taken the whole request."""

import socket
import time
from collections.abc import Iterator
from contextlib import suppress
from enum import Enum
from typing import Final

import pytest
from attrs import define, field

from berylquay.call_verdicts import Verdict
from berylquay.decisions.backend_registry import BackendEntry, BackendRegistry, EntryState
from berylquay.decisions.fleet import Address
from berylquay.relay.tunnel_messages import END, UNDELIVERED, decode_message, encode_event
from tests.relay.test_answers_without_seal import status_of
from tests.relay.test_ends_of_backend_answers import COMPLETE, Tunnel
from tests.relay.test_gateways import open_named_tunnel
from tests.support.raw_sockets import accept_connections, find_header, reset_on_close
from tests.support.relay_fleet import HOST_NAME, PATHS, RelayFleet, make_configuration
from tests.support.scripted_backend import answer_about_itself
from tests.test_failures_while_sending import Loop, Told, open_tcp

# Read before the answer is sent.
READ_BYTES: Final = 16384
SIZES_BYTES: Final = (300_000, 4_000_000)
PART: Final = b"part of the answer"
EVENT: Final = b"id: 1\ndata: x\n\n"


class UploadEnd(Enum):
    """What a server does after its answer, of which it has read a part of the request."""

    RESET = "reset"
    CLOSE = "close"
    FIN_THEN_RESET = "fin-then-reset"
    # Reads the whole request first, and ends the connection after the answer.
    ALL_READ = "all-read"


@define
class EarlyServer:
    """Answers requests before it has read them."""

    name: str
    end: UploadEnd = UploadEnd.RESET
    status: int = 200
    is_stream: bool = False
    arrivals: int = 0
    _listener: socket.socket = field(factory=socket.socket)

    @property
    def address(self) -> str:
        """Returns the address on which the server listens."""
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def start(self) -> None:
        """Starts to listen."""
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(64)
        accept_connections(self._listener, self._serve)

    def stop(self) -> None:
        """Closes the listener."""
        self._listener.close()

    def _serve(self, sock: socket.socket) -> None:
        with sock, suppress(OSError):
            request = sock.recv(READ_BYTES)
            if not request or answer_about_itself(sock, request, self.name):
                return
            self.arrivals += 1
            length = int(find_header(request, b"content-length"))
            missing_bytes = length - len(request.partition(b"\r\n\r\n")[2])
            while self.end is UploadEnd.ALL_READ and missing_bytes > 0:
                missing_bytes -= len(sock.recv(READ_BYTES))
            kind = b"text/event-stream" if self.is_stream else b"text/plain"
            sock.sendall(
                b"HTTP/1.1 %d X\r\nAttempt-Id: %b\r\nServer-Seal: seal\r\nContent-Type: %b\r\n\r\n"
                % (self.status, find_header(request, b"attempt-id"), kind)
                + (EVENT if self.is_stream else PART)
            )
            if self.end is UploadEnd.RESET:
                time.sleep(0.02)
                reset_on_close(sock)
            elif self.end is UploadEnd.FIN_THEN_RESET:
                sock.shutdown(socket.SHUT_WR)
                time.sleep(0.05)
                reset_on_close(sock)


@pytest.fixture
def servers(fleet: RelayFleet) -> Iterator[list[EarlyServer]]:
    """Yields a plain server and an engine, which the fleet's hosts learn of."""
    started = [EarlyServer("early-app"), EarlyServer("early-lm")]
    for server, pool, role in zip(started, ("app", "lm"), ("", "decode"), strict=True):
        server.start()
        fleet.register(server.name, pool, role, address=server.address)
    yield started
    for server in started:
        server.stop()


def upload(
    fleet: RelayFleet, kind: str, size_bytes: int, version: str = "1.1"
) -> tuple[int, bool, bytes]:
    """Sends a request with a body; returns the status, whether the answer is whole, and its body.

    The answer is whole if its framing ends it.
    """
    head = (
        f"POST {PATHS[kind]} HTTP/{version}\r\nHost: {HOST_NAME}\r\nAttempt-Id: call-1\r\n"
        f"Deadline-Ms: 3000\r\nContent-Length: {size_bytes}\r\nConnection: close\r\n"
    )
    if kind in ("stream", "resumable"):
        head += "Model: m\r\nToken-Counts: 20,100\r\n"
    received, was_reset = b"", False
    with fleet.connect() as sock:
        sock.sendall(f"{head}\r\n".encode() + b"x" * size_bytes)
        try:
            while data := sock.recv(65536):
                received += data
        except ConnectionResetError:
            was_reset = True
    answer_head, _, body = received.partition(b"\r\n\r\n")
    is_chunked = b"transfer-encoding: chunked" in answer_head.lower()
    is_whole = not was_reset and (not is_chunked or body.endswith(b"0\r\n\r\n"))
    return status_of(answer_head), is_whole, body


# Guards against callers who take the part of an answer that a server sent while it was still being
# sent the request for the whole answer.
@pytest.mark.parametrize("size_bytes", SIZES_BYTES)
@pytest.mark.parametrize("end", [UploadEnd.RESET, UploadEnd.CLOSE, UploadEnd.FIN_THEN_RESET])
@pytest.mark.parametrize("is_stream", [False, True], ids=["text", "events"])
def test_an_answer_to_an_unfinished_upload_is_not_whole(
    fleet: RelayFleet, servers: list[EarlyServer], is_stream: bool, end: UploadEnd, size_bytes: int
) -> None:
    fleet.put_configuration(make_configuration())
    for server in servers:
        server.end, server.is_stream = end, is_stream
    fleet.add_host()
    for kind in PATHS:
        for version in ("1.0", "1.1"):
            status, is_whole, body = upload(fleet, kind, size_bytes, version)
            assert status == 502 or not is_whole, (kind, version, body)


# Guards against sound answers that are broken off because they have no length.
@pytest.mark.parametrize("size_bytes", SIZES_BYTES)
def test_an_answer_after_the_whole_upload_is_whole(
    fleet: RelayFleet, servers: list[EarlyServer], size_bytes: int
) -> None:
    fleet.put_configuration(make_configuration())
    for server in servers:
        server.end, server.is_stream = UploadEnd.ALL_READ, server.name == "early-lm"
    fleet.add_host()
    for kind in PATHS:
        status, is_whole, body = upload(fleet, kind, size_bytes)
        assert (status, is_whole) == (200, True), (kind, body)
        assert (EVENT if kind in ("stream", "resumable") else PART) in body


# Guards against a failure that a server has answered early, and that callers no longer get.
@pytest.mark.parametrize("status", [413, 500])
def test_an_early_failure_is_passed_on(
    fleet: RelayFleet, servers: list[EarlyServer], status: int
) -> None:
    fleet.put_configuration(make_configuration())
    for server in servers:
        server.end, server.status = UploadEnd.FIN_THEN_RESET, status
    fleet.add_host()
    for kind in ("once", "many"):
        assert upload(fleet, kind, SIZES_BYTES[1])[0] == status, kind


# Guards against the same by way of another host, which alone knows how its connection has ended:
# what it tells, and what earlier builds tell.
@pytest.mark.parametrize("has_undelivered", [False, True])
def test_a_gateway_tells_of_an_unfinished_upload(*, has_undelivered: bool) -> None:
    registry = BackendRegistry()
    entry = BackendEntry("app-0", "app", Address("127.0.0.1", 80), "a", 4, EntryState.READY)
    registry.on_entry(entry)
    tunnel, client = open_named_tunnel(registry, entry.instance)
    server = tunnel._server
    assert server is not None
    server.established = server.peer_closed_cleanly = True
    server.has_undelivered = has_undelivered
    tunnel.on_server_disconnected("closed")
    messages = client.receive(b"".join(tunnel.connection.unsent))
    assert decode_message(messages[-1]) == (END, UNDELIVERED if has_undelivered else "")


@pytest.mark.parametrize(
    ("detail", "is_link_behind", "end"),
    [
        ("", False, COMPLETE),
        (UNDELIVERED, False, Verdict.MAY_HAVE_RUN),
        ("", True, Verdict.MAY_HAVE_RUN),
    ],
)
def test_an_answer_in_a_tunnel_to_an_unfinished_upload_is_not_whole(
    detail: str, end: object, *, is_link_behind: bool
) -> None:
    tunnel = Tunnel()
    tunnel.connections.is_behind = is_link_behind
    tunnel.connections.receive(tunnel.frame(encode_event(END, detail)))
    assert tunnel.response.end == end


# Guards against a reset that looks like a clean end, because FIN came before it and the host has
# read neither.
def test_a_reset_after_fin_is_no_clean_end() -> None:
    loop, told = Loop(), Told()
    connection, peer = open_tcp(loop, told)
    peer.shutdown(socket.SHUT_WR)
    loop.reset(peer)
    loop.turn()
    loop.close()
    assert told.ends
    assert not connection.peer_closed_cleanly

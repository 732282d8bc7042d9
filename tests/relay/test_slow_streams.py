"""Slow but sound streams are relayed to their end; those that complete no event are ended."""

import socket
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import pytest
from attrs import define, field

from berylquay.decisions.route_table import MIN_STALL_TIMEOUT_S
from tests.relay.test_partitioned_hosts import Partition
from tests.support.raw_sockets import accept_connections, find_header, read_request
from tests.support.relay_fleet import HOST_NAME, PATHS, RelayFleet, make_configuration, wait_until
from tests.support.scripted_backend import answer_about_itself

DEADLINE_S: Final = 6.0
# Bound without a complete event: the stall time of the route, 2 s in this configuration.
STALL_S: Final = MIN_STALL_TIMEOUT_S
# Bound on all else: the call's deadline.
SLACK_S: Final = 0.9
EVENT: Final = b"id: 1\ndata: first\n\n"
HEAD: Final = b"HTTP/1.1 200 OK\r\nAttempt-Id: <id>\r\nServer-Seal: seal\r\nConnection: close\r\n"
STREAM_HEAD: Final = HEAD + b"Content-Type: text/event-stream\r\n\r\n"


@define
class DrippingServer:
    """Answers with one piece after the other."""

    # What precedes the pieces.
    head: bytes
    pieces: list[bytes]
    interval_s: float
    # Times for which answers were sent until the other end closed or the last piece was sent.
    lasted_s: list[float] = field(factory=list)
    listener: socket.socket = field(factory=socket.socket)

    def start(self) -> int:
        """Starts to listen and returns the port."""
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(16)
        accept_connections(self.listener, self._serve_connection)
        return int(self.listener.getsockname()[1])

    def _serve_connection(self, sock: socket.socket) -> None:
        with sock:
            request = read_request(sock)
            if not request or answer_about_itself(sock, request, "dripping"):
                return
            started_s = time.monotonic()
            attempt_id = find_header(request, b"attempt-id")
            try:
                sock.sendall(self.head.replace(b"<id>", attempt_id))
                for piece in self.pieces:
                    sock.sendall(piece)
                    time.sleep(self.interval_s)
            except OSError:
                # The host has closed.
                pass
            self.lasted_s.append(time.monotonic() - started_s)


@pytest.fixture
def servers() -> Iterator[list[DrippingServer]]:
    started: list[DrippingServer] = []
    yield started
    for server in started:
        server.listener.close()


def start_host(
    fleet: RelayFleet, server: DrippingServer, pool: str, tmp_path: Path, *, by_gateway: bool
) -> None:
    """Starts a host that reaches the server, if asked to by way of another host only."""
    routes = make_configuration()["routes"]
    assert isinstance(routes, list)
    longer = [{**route, "timeoutMs": round(DEADLINE_S * 1000)} for route in routes]
    fleet.put_configuration(make_configuration(routes=longer))
    port = server.start()
    role = "decode" if pool == "lm" else ""
    fleet.register("dripping", pool, role, address=f"127.0.0.1:{port}")
    if not by_gateway:
        fleet.add_host()
        return
    for name in ("app-0", "app-1"):
        fleet.add_backend(name, "app")
    partition = Partition.make(tmp_path / "partition.json")
    partition.ports = [port, *(process.port for process in fleet.backends.values())]
    partition.set_mode("")
    fleet.add_host("host-0", partition_file=partition.file)
    fleet.add_host("host-1")
    partition.set_mode("refuse")
    call_ids = iter(range(1000))

    def is_served_again() -> bool:
        status = fleet.send_request(PATHS["many"], f"first-{next(call_ids)}").status
        lines = [line["message"] for line in fleet.log_lines(0)]
        return "paths to servers lost" in lines and status == 200

    wait_until(is_served_again)


def receive_all(fleet: RelayFleet, path: str) -> tuple[bytes, float]:
    """Sends a request and returns what arrives until its connection ends, and after what time."""
    request = (
        f"POST {PATHS[path]} HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: id-1\r\n"
        f"Deadline-Ms: {round(DEADLINE_S * 1000)}\r\nToken-Counts: 20,4\r\n"
        "Connection: close\r\nContent-Length: 0\r\n\r\n"
    )
    started_s, received = time.monotonic(), b""
    with fleet.connect() as sock:
        sock.sendall(request.encode())
        try:
            while data := sock.recv(65536):
                received += data
        except ConnectionResetError:
            # A response that has broken off.
            sock.close()
    return received, time.monotonic() - started_s


# Guards against a sound stream that is cut since its events are far apart, or arrive in pieces.
@pytest.mark.parametrize("by_gateway", [False, True], ids=["direct", "gateway"])
@pytest.mark.parametrize("is_split", [False, True], ids=["events", "pieces"])
def test_a_slow_stream_is_relayed_to_its_end(
    fleet: RelayFleet,
    tmp_path: Path,
    servers: list[DrippingServer],
    is_split: bool,
    by_gateway: bool,
) -> None:
    pieces = [EVENT] * 3
    interval_s = STALL_S * 0.75
    if is_split:
        pieces = [part for _ in range(3) for part in (EVENT[:7], EVENT[7:])]
        interval_s = STALL_S * 0.37
    server = DrippingServer(STREAM_HEAD, pieces, interval_s)
    servers.append(server)
    start_host(fleet, server, "lm", tmp_path, by_gateway=by_gateway)
    received, _ = receive_all(fleet, "stream")
    assert received.count(EVENT) == 3
    assert received.endswith(b"0\r\n\r\n")


# Guards against a stream that sends a byte now and then, completes no event, and lasts.
@pytest.mark.parametrize("by_gateway", [False, True], ids=["direct", "gateway"])
@pytest.mark.parametrize("begins", [True, False], ids=["after-an-event", "from-the-start"])
def test_a_stream_without_complete_events_is_ended(
    fleet: RelayFleet, tmp_path: Path, servers: list[DrippingServer], begins: bool, by_gateway: bool
) -> None:
    head = STREAM_HEAD + (EVENT if begins else b"") + b"data: "
    server = DrippingServer(head, [b"x"] * 100, 0.1)
    servers.append(server)
    start_host(fleet, server, "lm", tmp_path, by_gateway=by_gateway)
    received, elapsed_s = receive_all(fleet, "stream")
    assert elapsed_s < STALL_S + SLACK_S
    assert not received.endswith(b"0\r\n\r\n") or b"HTTP/1.1 200" not in received
    wait_until(lambda: bool(server.lasted_s), SLACK_S)


# Guards against a plain answer that sends a byte now and then beyond the deadline.
@pytest.mark.parametrize("by_gateway", [False, True], ids=["direct", "gateway"])
def test_a_plain_answer_that_trickles_ends_with_the_deadline(
    fleet: RelayFleet, tmp_path: Path, servers: list[DrippingServer], by_gateway: bool
) -> None:
    head = HEAD + b"Content-Type: application/json\r\nContent-Length: 1000\r\n\r\n["
    server = DrippingServer(head, [b" "] * 200, 0.1)
    servers.append(server)
    pool = "lm" if by_gateway else "app"
    start_host(fleet, server, pool, tmp_path, by_gateway=by_gateway)
    received, elapsed_s = receive_all(fleet, "stream" if by_gateway else "many")
    assert elapsed_s < DEADLINE_S + SLACK_S
    assert b"HTTP/1.1 200" not in received or not received.endswith(b"]")

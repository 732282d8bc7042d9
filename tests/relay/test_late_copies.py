"""Servers that send a response a second time, after its connection has been reused."""

import http.client
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import pytest
from attrs import define, field

from tests.relay.test_partitioned_hosts import Partition
from tests.support.raw_sockets import accept_connections, find_header, read_request
from tests.support.relay_fleet import HOST_NAME, PATHS, RelayFleet, make_configuration, wait_until

REQUESTS: Final = 8
EVENT_STREAM: Final = b"Content-Type: text/event-stream\r\n"


@define
class CopyingServer:
    """Sends the response to the previous request again before that to the present one."""

    # Whether responses state the id of their request.
    echoes: bool
    # Number of second copies that were sent.
    copies: int = 0
    listener: socket.socket = field(factory=socket.socket)

    def start(self) -> int:
        """Starts to listen and returns the port."""
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(16)
        accept_connections(self.listener, self._serve_connection)
        return int(self.listener.getsockname()[1])

    def _serve_connection(self, sock: socket.socket) -> None:
        copy = b""
        with sock:
            while request := read_request(sock):
                if copy:
                    self.copies += 1
                    sock.sendall(copy)
                copy = self._response_to(request)
                sock.sendall(copy)

    def _response_to(self, request: bytes) -> bytes:
        attempt_id = find_header(request, b"attempt-id")
        body, head = attempt_id, b"HTTP/1.1 200 OK\r\nServer-Seal: seal\r\n"
        if PATHS["stream"].encode() in request:
            body, head = b"data: " + attempt_id + b"\n\n", head + EVENT_STREAM
        if self.echoes:
            head += b"Attempt-Id: " + attempt_id + b"\r\n"
        # A response to HEAD has the length of the body that GET would get.
        sent_body = b"" if request.startswith(b"HEAD") else body
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + sent_body


@pytest.fixture
def servers() -> Iterator[list[CopyingServer]]:
    started: list[CopyingServer] = []
    yield started
    for server in started:
        server.listener.close()


def add_server(
    fleet: RelayFleet, servers: list[CopyingServer], path: str, *, echoes: bool
) -> tuple[CopyingServer, int]:
    """Starts a server for the path's pool and writes its entry; returns it and its port."""
    server = CopyingServer(echoes)
    servers.append(server)
    port = server.start()
    pool, role = ("app", "") if path == "many" else ("lm", "decode")
    fleet.put_configuration(make_configuration())
    fleet.register("copying", pool, role, address=f"127.0.0.1:{port}")
    return server, port


def send_in_turn(fleet: RelayFleet, path: str, methods: tuple[str, ...], *, keep: bool) -> None:
    """Sends requests one after the other; fails if one gets what belongs to another."""
    connection = http.client.HTTPConnection("127.0.0.1", fleet.hosts[0].port, timeout=5)
    for number in range(REQUESTS):
        call_id, method = f"call-{number}", methods[number % len(methods)]
        headers = {"Host": HOST_NAME, "Attempt-Id": call_id, "Deadline-Ms": "1500"}
        if path == "stream":
            headers["Token-Counts"] = "20,4"
        connection.request(method, PATHS[path], b"", headers)
        response = connection.getresponse()
        body = response.read()
        if response.status == 200 and method != "HEAD":
            assert call_id.encode() in body
        assert response.getheader("Attempt-Id", call_id) == call_id
        # What can't be read after a copy ends as a failure; the next request is served again.
        assert response.status in (200, 502)
        assert response.status == 200 or "HEAD" in methods
        if not keep:
            connection.close()
    connection.close()


# Guards against a caller that gets the second copy of another caller's response.
@pytest.mark.parametrize("keep", [True, False], ids=["kept", "new"])
@pytest.mark.parametrize("echoes", [True, False], ids=["echo", "no-echo"])
@pytest.mark.parametrize("path", ["many", "stream"])
def test_a_second_copy_reaches_no_caller(
    fleet: RelayFleet, servers: list[CopyingServer], path: str, echoes: bool, keep: bool
) -> None:
    server, _ = add_server(fleet, servers, path, echoes=echoes)
    fleet.add_host()
    send_in_turn(fleet, path, ("POST",), keep=keep)
    # Connections are reused only by calls that may be repeated, where the id tells a copy.
    assert bool(server.copies) is (echoes and path == "many")


# Guards against the body of a copy that is read as a response, since HEAD has none.
@pytest.mark.parametrize("methods", [("POST", "HEAD"), ("HEAD", "POST")])
def test_a_second_copy_of_another_method_reaches_no_caller(
    fleet: RelayFleet, servers: list[CopyingServer], methods: tuple[str, ...]
) -> None:
    add_server(fleet, servers, "many", echoes=True)
    fleet.add_host()
    send_in_turn(fleet, "many", methods, keep=True)


# The same by way of another host, whose tunnels are reused as well.
@pytest.mark.parametrize("echoes", [True, False], ids=["echo", "no-echo"])
def test_a_second_copy_in_a_tunnel_reaches_no_caller(
    fleet: RelayFleet, tmp_path: Path, servers: list[CopyingServer], echoes: bool
) -> None:
    server, port = add_server(fleet, servers, "many", echoes=echoes)
    partition = Partition.make(tmp_path / "partition.json")
    partition.ports = [port]
    partition.set_mode("")
    fleet.add_host("host-0", partition_file=partition.file)
    fleet.add_host("host-1")
    partition.set_mode("refuse")

    def is_served_again() -> bool:
        lines = [line["message"] for line in fleet.log_lines(0)]
        call_id = f"first-{time.monotonic()}"
        status = fleet.send_request(PATHS["many"], call_id).status
        return "paths to servers lost" in lines and status == 200

    wait_until(is_served_again)
    server.copies = 0
    send_in_turn(fleet, "many", ("POST",), keep=True)
    assert bool(server.copies) is echoes

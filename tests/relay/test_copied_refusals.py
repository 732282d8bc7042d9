"""Servers that send an earlier refusal once more on a connection that is kept."""

import http.client
import socket
import time
from collections.abc import Callable, Iterator
from typing import Final

import pytest
from attrs import define, field

from berylquay.call_verdicts import Verdict
from berylquay.decisions.fleet import Address
from berylquay.errors import TransportError
from berylquay.net.persistent_http import PersistentConnection, RawRequest, RawResponseHead
from berylquay.net.tcp_connections import Connection, ConnectionHandler
from tests.support.raw_sockets import accept_connections, find_header, read_request
from tests.support.relay_fleet import HOST_NAME, PATHS, RelayFleet, make_configuration

REQUESTS: Final = 12
TIMINGS: Final = ("at-once", "soon", "before-answer")


@define
class RefusingServer:
    """Refuses the first request of each connection, and sends that refusal again."""

    # When the copy is sent, and whether it states the id of the refused request.
    timing: str
    has_id: bool
    ran: list[bytes] = field(factory=list)
    copies: int = 0
    listener: socket.socket = field(factory=socket.socket)

    def start(self) -> int:
        """Starts to listen and returns the port."""
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(16)
        accept_connections(self.listener, self._serve_connection)
        return int(self.listener.getsockname()[1])

    def _serve_connection(self, sock: socket.socket) -> None:
        with sock:
            try:
                self._serve_requests(sock)
            except OSError:
                # The host has closed the connection, as it should.
                return

    def _serve_requests(self, sock: socket.socket) -> None:
        request = read_request(sock)
        refused_id = find_header(request, b"attempt-id")
        sock.sendall(make_refusal(refused_id))
        copy = make_refusal(refused_id if self.has_id else b"")
        if self.timing != "before-answer":
            time.sleep(0.004 if self.timing == "soon" else 0.0)
            self.copies += 1
            sock.sendall(copy)
        while request := read_request(sock):
            if self.timing == "before-answer":
                self.copies += 1
                sock.sendall(copy)
            attempt_id = find_header(request, b"attempt-id")
            self.ran.append(attempt_id)
            sock.sendall(make_answer(request, attempt_id))


def make_refusal(attempt_id: bytes) -> bytes:
    id_line = b"Attempt-Id: %b\r\n" % attempt_id if attempt_id else b""
    head = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
    return head + id_line + b"\r\n"


def make_answer(request: bytes, attempt_id: bytes) -> bytes:
    is_stream = PATHS["resumable"].encode() in request
    body = b"id: 1\ndata: " + attempt_id + b"\n\n" if is_stream else attempt_id
    kind = b"Content-Type: text/event-stream\r\n" if is_stream else b""
    head = b"HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nAttempt-Id: %b\r\n%b" % (attempt_id, kind)
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


@pytest.fixture
def servers() -> Iterator[list[RefusingServer]]:
    started: list[RefusingServer] = []
    yield started
    for server in started:
        server.listener.close()


# Guards against callers that are told that a request has not run, though it has, and against calls
# that run at a second server, because an earlier refusal is taken for the answer.
@pytest.mark.parametrize("has_id", [True, False], ids=["id", "no-id"])
@pytest.mark.parametrize("timing", TIMINGS)
@pytest.mark.parametrize("path", ["many", "resumable", "once"])
def test_a_copied_refusal_refuses_nothing(
    fleet: RelayFleet, servers: list[RefusingServer], path: str, timing: str, has_id: bool
) -> None:
    fleet.put_configuration(make_configuration())
    pool, role = ("lm", "decode") if path == "resumable" else ("app", "")
    for number in range(2):
        server = RefusingServer(timing, has_id)
        servers.append(server)
        fleet.register(f"server-{number}", pool, role, address=f"127.0.0.1:{server.start()}")
    fleet.add_host()
    connection = http.client.HTTPConnection("127.0.0.1", fleet.hosts[0].port, timeout=5)
    statuses: dict[str, int] = {}
    for number in range(REQUESTS):
        call_id = f"call-{number}"
        headers = {"Host": HOST_NAME, "Attempt-Id": call_id, "Deadline-Ms": "1500"}
        if path == "resumable":
            headers["Token-Counts"] = "20,4"
        connection.request("POST", PATHS[path], b"", headers)
        response = connection.getresponse()
        body = response.read()
        statuses[call_id] = response.status
        assert response.status != 200 or call_id.encode() in body
    connection.close()
    ran = [attempt_id.decode() for server in servers for attempt_id in server.ran]
    told_not_run = [call_id for call_id, status in statuses.items() if status == 503]
    assert not set(told_not_run) & set(ran)
    if path == "once":
        assert len(ran) == len(set(ran))
    # A call that may not be repeated gets a connection of its own.
    was_reused = path != "once" or timing != "before-answer"
    assert bool(sum(server.copies for server in servers)) is was_reused


@define
class _RecordingTransport:
    """A connection that exists in name only."""

    def open(self, address: Address, connection_handler: ConnectionHandler) -> Connection:
        connection = Connection(address, connection_handler, socket.socket())
        connection.established = True
        return connection

    def send(self, connection: Connection, data: bytes) -> None:
        connection.bytes_sent += len(data)

    def close(self, connection: Connection) -> None:
        connection.closed = True

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Does nothing."""

    def pause_reading(self, connection: Connection) -> None:
        """Does nothing."""

    def resume_reading(self, connection: Connection) -> None:
        """Does nothing."""


@define
class _Outcome:
    """What the sender of a request is told."""

    statuses: list[int] = field(factory=list)
    is_complete: bool = False
    verdict: Verdict | None = None

    def on_response_head(self, head: RawResponseHead) -> None:
        self.statuses.append(head.status)

    def on_response_data(self, data: bytes) -> None:
        """Does nothing."""

    def on_response_complete(self) -> None:
        self.is_complete = True

    def on_response_failed(self, error: TransportError) -> None:
        self.verdict = error.verdict


# Guards against a response on a reused connection that can't be told from a copy of an earlier one.
@pytest.mark.parametrize(
    "answer", [make_refusal(b""), b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"]
)
def test_a_response_without_id_on_a_reused_connection_is_no_answer(answer: bytes) -> None:
    connection = PersistentConnection(
        Address("127.0.0.1", 1),
        lambda _connection: None,
        lambda _connection: None,
        _RecordingTransport(),
        reuse_requires_echo=True,
    )
    request = RawRequest(b"POST", b"/", [(b"host", b"x")])
    first, second = _Outcome(), _Outcome()
    connection.start_request(request, first, b"attempt-id", b"call-0")
    connection.on_data_received(make_refusal(b"call-0"))
    assert first.is_complete
    connection.start_request(request, second, b"attempt-id", b"call-1")
    connection.on_data_received(answer)
    assert not second.statuses
    assert second.verdict is Verdict.MAY_HAVE_RUN
    assert connection.closed

"""A backend server on plain sockets that behaves, or misbehaves, as a test chooses."""

import json
import socket
import time
from collections.abc import Callable
from typing import Final

from attrs import define, field

from tests.support.raw_sockets import accept_connections, read_request, reset_on_close

STREAM_RESPONSE_HEAD: Final = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
)
UNFRAMED_TEXT: Final = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nacknowledged"
STATE: Final = b'HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n{"incarnation": "raw"}'
UNFRAMED_JSON_HEAD: Final = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
LARGE_FRAME_BYTES: Final = 200_000
RESET_DELAY_S: Final = 0.3


@define
class RawBackend:
    """Listens on the loopback interface and behaves alike on each connection."""

    behaviour: str
    listener: socket.socket = field(factory=socket.socket)
    # Requests for attempts that were received, as bytes, one per connection.
    received: list[bytes] = field(factory=list)
    # Connections that fill the listener's accept queue.
    fillers: list[socket.socket] = field(factory=list)

    @property
    def port(self) -> int:
        """Returns the port on which the server listens."""
        return int(self.listener.getsockname()[1])

    def start(self) -> None:
        """Starts to listen and answer, unless connections are to hang or be refused."""
        self.listener.bind(("127.0.0.1", 0))
        if self.behaviour == "refuses connections":
            return
        if self.behaviour == "lets connections hang":
            self._fill_queue()
            return
        self.listener.listen(64)
        accept_connections(self.listener, self._serve_connection)

    def stop(self) -> None:
        """Closes every socket."""
        for sock in (self.listener, *self.fillers):
            sock.close()

    def _fill_queue(self) -> None:
        self.listener.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.fillers.append(filler)

    def _serve_connection(self, sock: socket.socket) -> None:
        if self.behaviour == "breaks off without reading":
            # By then the request is in a socket buffer, on this side or on the other.
            time.sleep(RESET_DELAY_S)
            _reset_connection(sock)
            return
        request = read_request(sock)
        if self.behaviour == "ends a text answer" and request.startswith(b"GET /v1/state "):
            _send_and_close(sock, STATE)
            return
        if not request or request.startswith(b"GET /v1/"):
            sock.close()
            return
        self.received.append(request)
        if self.behaviour == "ends within a text answer":
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
        _RESPONSES[self.behaviour](sock, request)


def _reset_connection(sock: socket.socket) -> None:
    reset_on_close(sock)
    sock.close()


def _send_and_close(sock: socket.socket, data: bytes) -> None:
    sock.sendall(data)
    sock.close()


def _send_and_reset(sock: socket.socket, data: bytes) -> None:
    sock.sendall(data)
    # The other end reads the data first: a reset may discard what it has not read.
    time.sleep(RESET_DELAY_S)
    _reset_connection(sock)


def _respond(status: str, headers: str, body: str) -> Callable[[socket.socket, bytes], None]:
    text = f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n{body}"
    return lambda sock, request: _send_and_close(sock, text.encode())


def _respond_with_events(*events: bytes) -> Callable[[socket.socket, bytes], None]:
    def respond(sock: socket.socket, request: bytes) -> None:
        attempt_id = json.loads(request.partition(b"\r\n\r\n")[2])["attempt_id"]
        data = b"".join(b"data: " + event + b"\n\n" for event in events)
        _send_and_close(sock, STREAM_RESPONSE_HEAD + data.replace(b"<id>", attempt_id.encode()))

    return respond


_RESPONSES: Final[dict[str, Callable[[socket.socket, bytes], None]]] = {
    "breaks off after the request": lambda sock, request: _reset_connection(sock),
    "breaks off in the head": lambda sock, request: _send_and_close(sock, b"HTTP/1.1 200 O"),
    "cuts the answer": lambda sock, request: _send_and_close(
        sock, b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{"
    ),
    "resets an unframed answer": lambda sock, request: _send_and_reset(
        sock, UNFRAMED_JSON_HEAD + b'{"acknowledged": true}'
    ),
    "cuts an unframed answer": lambda sock, request: _send_and_close(
        sock, UNFRAMED_JSON_HEAD + b'{"acknowledged": tr'
    ),
    "ends a text answer": lambda sock, request: _send_and_close(sock, UNFRAMED_TEXT),
    "ends within a text answer": lambda sock, request: _send_and_close(sock, UNFRAMED_TEXT),
    "refuses before it starts": _respond(
        "503 Busy", "X-Not-Started: yes\r\nRetry-After: 3\r\n", "busy"
    ),
    "refuses with 429": _respond("429 Slow Down", "X-Not-Started: yes\r\n", "later"),
    "fails with 500": _respond("500 Error", "", "oops"),
    "fails with a date to retry": _respond(
        "503 Busy", "Retry-After: Fri, 04 Dec 2026 00:00:00 GMT\r\n", "busy"
    ),
    "answers in no HTTP": lambda sock, request: _send_and_close(
        sock, b"\x00\xff" * 50 + b"\r\n\r\n"
    ),
    "never answers": lambda sock, request: None,
    "sends frames that are not JSON": _respond_with_events(b"{not json"),
    "sends frames of wrong types": _respond_with_events(
        b'{"attempt_id": "<id>", "index": "x", "text": 7}'
    ),
    "sends frames that are lists": _respond_with_events(b"[1, 2]"),
    "sends deeply nested frames": _respond_with_events(b"[" * 20_000),
    "sends a huge frame": _respond_with_events(
        b'{"attempt_id": "' + b"x" * LARGE_FRAME_BYTES + b'"}'
    ),
    "sends frames of another attempt": _respond_with_events(
        b'{"attempt_id": "other", "index": 0, "text": "stolen"}',
    ),
    "sends a total that is no number": _respond_with_events(
        b'{"attempt_id": "<id>", "total_tokens": 1e999}'
    ),
}

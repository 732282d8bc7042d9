"""A backend server at the level of TCP: behaves as a test says and records what reached it."""

import json
import socket
import struct
import time
from collections.abc import Callable
from threading import Thread
from typing import Final

from attrs import define, field

RECEIVE_BYTES: Final = 65536
HEAD: Final = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
HUGE_BYTES: Final = 200_000
RESET_DELAY_S: Final = 0.3


@define
class RawBackend:
    """Listens on loopback and treats each connection in the same way."""

    behaviour: str
    listener: socket.socket = field(factory=socket.socket)
    # Every byte of requests for work that was received, by connection.
    received: list[bytes] = field(factory=list)
    # Connections that fill the listener's queue.
    fillers: list[socket.socket] = field(factory=list)

    @property
    def port(self) -> int:
        """Returns the port on which the server listens."""
        return int(self.listener.getsockname()[1])

    def start(self) -> None:
        """Starts to listen, and to answer unless connections are to hang or be refused."""
        self.listener.bind(("127.0.0.1", 0))
        if self.behaviour == "refuses connections":
            return
        if self.behaviour == "lets connections hang":
            self._fill_queue()
            return
        self.listener.listen(64)
        Thread(target=self._accept, daemon=True).start()

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

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        if self.behaviour == "breaks off without reading":
            # The request is in the kernel's hands by then, on this side or on the other.
            time.sleep(RESET_DELAY_S)
            _reset(sock)
            return
        request = _read_request(sock)
        if not request or request.startswith(b"GET /v1/"):
            sock.close()
            return
        self.received.append(request)
        _ANSWERS[self.behaviour](sock, request)


def _reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def _read_request(sock: socket.socket) -> bytes:
    data = b""
    while b"\r\n\r\n" not in data:
        piece = sock.recv(RECEIVE_BYTES)
        if not piece:
            return data
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    length = next(
        int(line.split(b":")[1])
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length")
    )
    while len(body) < length:
        body += sock.recv(RECEIVE_BYTES)
    return head + b"\r\n\r\n" + body


def _send(sock: socket.socket, data: bytes) -> None:
    sock.sendall(data)
    sock.close()


def _answer(status: str, headers: str, body: str) -> Callable[[socket.socket, bytes], None]:
    text = f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n{body}"
    return lambda sock, request: _send(sock, text.encode())


def _stream(*events: bytes) -> Callable[[socket.socket, bytes], None]:
    def answer(sock: socket.socket, request: bytes) -> None:
        attempt_id = json.loads(request.partition(b"\r\n\r\n")[2])["attempt_id"]
        data = b"".join(b"data: " + event + b"\n\n" for event in events)
        _send(sock, HEAD + data.replace(b"<id>", attempt_id.encode()))

    return answer


_ANSWERS: Final[dict[str, Callable[[socket.socket, bytes], None]]] = {
    "breaks off after the request": lambda sock, request: _reset(sock),
    "breaks off in the head": lambda sock, request: _send(sock, b"HTTP/1.1 200 O"),
    "cuts the answer": lambda sock, request: _send(
        sock, b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{"
    ),
    "refuses before it starts": _answer(
        "503 Busy", "X-Not-Started: yes\r\nRetry-After: 3\r\n", "busy"
    ),
    "refuses with 429": _answer("429 Slow Down", "X-Not-Started: yes\r\n", "later"),
    "fails with 500": _answer("500 Error", "", "oops"),
    "fails with a date to retry": _answer(
        "503 Busy", "Retry-After: Fri, 04 Dec 2026 00:00:00 GMT\r\n", "busy"
    ),
    "answers in no HTTP": lambda sock, request: _send(sock, b"\x00\xff" * 50 + b"\r\n\r\n"),
    "never answers": lambda sock, request: None,
    "sends frames that are not JSON": _stream(b"{not json"),
    "sends frames of wrong types": _stream(b'{"attempt_id": "<id>", "index": "x", "text": 7}'),
    "sends frames that are lists": _stream(b"[1, 2]"),
    "sends deeply nested frames": _stream(b"[" * 20_000),
    "sends a huge frame": _stream(b'{"attempt_id": "' + b"x" * HUGE_BYTES + b'"}'),
    "sends frames of another attempt": _stream(
        b'{"attempt_id": "other", "index": 0, "text": "stolen"}',
    ),
    "sends a total that is no number": _stream(b'{"attempt_id": "<id>", "total_tokens": 1e999}'),
}

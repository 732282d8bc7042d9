"""Plain sockets of the test servers: accepting, reading one request, resetting."""

import socket
import struct
from collections.abc import Callable
from threading import Thread
from typing import Final

RECEIVE_BYTES: Final = 65536


def accept_connections(listener: socket.socket, serve: Callable[[socket.socket], None]) -> None:
    """Serves each connection in a thread of its own, until the listener is closed."""

    def accept() -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            Thread(target=serve, args=(sock,), daemon=True).start()

    Thread(target=accept, daemon=True).start()


def reset_on_close(sock: socket.socket) -> None:
    """Makes closing the socket reset its connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def find_header(request: bytes, name: bytes) -> bytes:
    """Returns a header's value, or nothing; the name is in lower case."""
    for line in request.partition(b"\r\n\r\n")[0].split(b"\r\n"):
        header_name, _, value = line.partition(b":")
        if header_name.strip().lower() == name:
            return value.strip()
    return b""


def read_request(sock: socket.socket) -> bytes:
    """Returns the head and the body of a request, or nothing if the other end closed before."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = sock.recv(RECEIVE_BYTES)
        if not chunk:
            return b""
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    missing_bytes = int(find_header(head, b"content-length") or 0) - len(body)
    while missing_bytes > 0:
        chunk = sock.recv(RECEIVE_BYTES)
        if not chunk:
            return b""
        body += chunk
        missing_bytes -= len(chunk)
    return head + b"\r\n\r\n" + body

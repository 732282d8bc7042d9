"""A backend server on plain sockets that answers with the bytes that a test has chosen."""

import socket
import struct
import time
from enum import Enum
from threading import Event, Thread
from typing import Final

from attrs import define, field, frozen

RECEIVE_BYTES: Final = 65536
RESET_DELAY_S: Final = 0.1
# Stands for the attempt's id in the bytes of an answer.
ATTEMPT_ID_PLACEHOLDER: Final = b"<id>"


class Ending(Enum):
    """What a scripted backend server does with its connection after the last byte."""

    FIN = "fin"
    RESET = "reset"
    # Nothing, until the other end closes.
    SILENCE = "silence"


@frozen
class Script:
    """What a scripted backend server does with one request."""

    # Bytes that it sends; `ATTEMPT_ID_PLACEHOLDER` is replaced.
    answer: bytes
    ending: Ending


@define
class ScriptedBackend:
    """Listens on the loopback interface; serves one request on each connection."""

    # Script of the requests whose body is in no other script.
    default_script: Script
    # Scripts by the body of the request.
    scripts: dict[bytes, Script] = field(factory=dict)
    # Script of the requests that continue a stream, or None if they are served like all others.
    resumption_script: Script | None = None
    # Heads and bodies of the requests that were received.
    requests: list[bytes] = field(factory=list)
    _listener: socket.socket = field(factory=socket.socket)
    _stopped: Event = field(factory=Event)

    @property
    def port(self) -> int:
        """Returns the port on which the server listens."""
        return int(self._listener.getsockname()[1])

    def start(self) -> None:
        """Starts to listen."""
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(64)
        Thread(target=self._accept_connections, daemon=True).start()

    def stop(self) -> None:
        """Closes the listener; open connections end."""
        self._stopped.set()
        self._listener.close()

    def _accept_connections(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            Thread(target=self._serve_connection, args=(sock,), daemon=True).start()

    def _serve_connection(self, sock: socket.socket) -> None:
        with sock:
            request = _read_request(sock)
            if not request:
                return
            self.requests.append(request)
            attempt_id = _find_header(request, b"attempt-id")
            script = self.scripts.get(request.partition(b"\r\n\r\n")[2], self.default_script)
            if self.resumption_script and _find_header(request, b"last-event-id"):
                script = self.resumption_script
            sock.sendall(script.answer.replace(ATTEMPT_ID_PLACEHOLDER, attempt_id))
            if script.ending is Ending.RESET:
                # The other end reads the data first: a reset may discard what it has not read.
                time.sleep(RESET_DELAY_S)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            elif script.ending is Ending.SILENCE:
                self._stopped.wait()


def _find_header(request: bytes, name: bytes) -> bytes:
    for line in request.partition(b"\r\n\r\n")[0].split(b"\r\n"):
        header_name, _, value = line.partition(b":")
        if header_name.strip().lower() == name:
            return value.strip()
    return b""


def _read_request(sock: socket.socket) -> bytes:
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = sock.recv(RECEIVE_BYTES)
        if not chunk:
            return b""
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    missing_bytes = int(_find_header(head, b"content-length") or 0) - len(body)
    while missing_bytes > 0:
        chunk = sock.recv(RECEIVE_BYTES)
        if not chunk:
            return b""
        body += chunk
        missing_bytes -= len(chunk)
    return head + b"\r\n\r\n" + body

"""What may accept connections at the address of a server that was killed."""

import socket
import time
from enum import Enum
from threading import Event
from types import TracebackType
from typing import Final, Self

from attrs import define, field

from tests.support.raw_sockets import accept_connections, read_request
from tests.support.scripted_backend import STARTED_UNIX_MS

BIND_TIMEOUT_S: Final = 2.0
BACKLOG: Final = 64


class SuccessorKind(Enum):
    """What accepts connections after the server."""

    NOTHING = "nothing"
    # A server that runs under another name.
    OTHER_SERVER = "other-server"
    # The same server, started again under its name.
    NEWER_START = "newer-start"
    # A port forwarder that has lost its target: it accepts and closes.
    FORWARDER = "forwarder"
    # A listener that accepts and sends nothing.
    SILENT = "silent"
    # A proxy without its target, or a server that has not started up: answers 503 without a name.
    NAMELESS = "nameless"

    def __str__(self) -> str:
        """Returns the value, for the names of tests."""
        return self.value


@define
class Successor:
    """Listens on the port of a killed server from the beginning of the context to its end."""

    kind: SuccessorKind
    port: int
    # Name of the server that was killed.
    name: str
    _listener: socket.socket = field(factory=socket.socket)
    _stopped: Event = field(factory=Event)

    def __enter__(self) -> Self:
        """Starts to listen, as soon as the operating system has freed the port."""
        if self.kind is SuccessorKind.NOTHING:
            return self
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        deadline_s = time.monotonic() + BIND_TIMEOUT_S
        while True:
            try:
                self._listener.bind(("127.0.0.1", self.port))
                break
            except OSError:
                if time.monotonic() > deadline_s:
                    raise
                time.sleep(0.001)
        self._listener.listen(BACKLOG)
        accept_connections(self._listener, self._serve)
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Closes the listener and the connections that it has accepted."""
        self._stopped.set()
        self._listener.close()

    def _serve(self, sock: socket.socket) -> None:
        with sock:
            if self.kind is SuccessorKind.FORWARDER:
                return
            if self.kind is SuccessorKind.SILENT:
                self._stopped.wait()
                return
            request = read_request(sock)
            if self.kind is SuccessorKind.NAMELESS:
                sock.sendall(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                return
            name = self.name if self.kind is SuccessorKind.NEWER_START else "another"
            is_about_itself = request.startswith((b"GET /report ", b"GET /health "))
            status = b"200 OK" if is_about_itself else b"421 Misdirected Request"
            body = b'{"born": %d}' % (STARTED_UNIX_MS + 1)
            head = b"HTTP/1.1 %b\r\nInstance-Id: %b\r\nContent-Length: %d\r\n\r\n"
            sock.sendall(head % (status, name.encode(), len(body)) + body)

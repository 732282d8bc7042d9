"""A backend server on plain sockets that answers with the bytes that a test has chosen."""

import socket
import time
from enum import Enum
from threading import Event
from typing import Final

from attrs import define, field, frozen

from tests.support.raw_sockets import (
    accept_connections,
    find_header,
    read_request,
    reset_on_close,
)

RESET_DELAY_S: Final = 0.1
# Stands for the attempt's id in the bytes of an answer.
ATTEMPT_ID_PLACEHOLDER: Final = b"<id>"
# Start time in its entry and its reports, in Unix milliseconds.
STARTED_UNIX_MS: Final = 1000


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
    # Bytes that follow the answer again and again, until the other end closes; empty if none do.
    filler: bytes = b""
    # Time before the answer begins.
    delay_s: float = 0.0


@define
class ScriptedBackend:
    """Listens on the loopback interface; serves one request on each connection by its script."""

    # Script of the requests whose body is in no other script.
    default_script: Script
    # Name that it states in answers to health checks.
    name: str = ""
    # Scripts by the body of the request.
    scripts: dict[bytes, Script] = field(factory=dict)
    # Script of the requests that continue a stream, or None if they are served like all others.
    resumption_script: Script | None = None
    # Complete answer to the first request on each connection, which is kept for the next one;
    # empty if the first one is served by its script.
    first_answer: bytes = b""
    # Heads and bodies of the requests that were received.
    requests: list[bytes] = field(factory=list)
    # Number of connections on which bytes are being sent without end.
    endless_connections: int = 0
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
        accept_connections(self._listener, self._serve_connection)

    def stop(self) -> None:
        """Closes the listener; open connections end."""
        self._stopped.set()
        self._listener.close()

    def _serve_connection(self, sock: socket.socket) -> None:
        with sock:
            request = read_request(sock)
            if not request or answer_about_itself(sock, request, self.name):
                return
            self.requests.append(request)
            if self.first_answer:
                first_id = find_header(request, b"attempt-id")
                sock.sendall(self.first_answer.replace(ATTEMPT_ID_PLACEHOLDER, first_id))
                request = read_request(sock)
                if not request:
                    return
                self.requests.append(request)
            attempt_id = find_header(request, b"attempt-id")
            script = self.scripts.get(request.partition(b"\r\n\r\n")[2], self.default_script)
            if self.resumption_script and find_header(request, b"last-event-id"):
                script = self.resumption_script
            time.sleep(script.delay_s)
            sock.sendall(script.answer.replace(ATTEMPT_ID_PLACEHOLDER, attempt_id))
            if script.filler:
                self._send_without_end(sock, script.filler)
            elif script.ending is Ending.RESET:
                # The other end reads the data first: a reset may discard what it has not read.
                time.sleep(RESET_DELAY_S)
                reset_on_close(sock)
            elif script.ending is Ending.SILENCE:
                self._stopped.wait()

    def _send_without_end(self, sock: socket.socket, filler: bytes) -> None:
        self.endless_connections += 1
        try:
            while not self._stopped.is_set():
                sock.sendall(filler)
        except OSError:
            # The other end has closed.
            return
        finally:
            self.endless_connections -= 1


def answer_about_itself(sock: socket.socket, request: bytes, name: str) -> bool:
    """Answers a request for a report or a health check as a server does; tells whether it was one.

    Args:
        sock: Connection.
        request: Head and body of the request.
        name: Name of the server.
    """
    if request.startswith(b"GET /report "):
        body = b'{"born": %d}' % STARTED_UNIX_MS
    elif request.startswith(b"GET /health "):
        body = b"{}"
    else:
        return False
    head = b"HTTP/1.1 200 OK\r\nInstance-Id: %b\r\nContent-Length: %d\r\n\r\n"
    sock.sendall(head % (name.encode(), len(body)) + body)
    return True

"""Servers whose idle connections a test resets, and which are slow to begin runs."""

import json
import select
import socket
import time
from contextlib import suppress
from typing import Final

from attrs import define, field

from tests.support.raw_sockets import accept_connections, find_header, read_request, reset_on_close
from tests.support.scripted_backend import answer_about_itself

# Interval at which an idle connection looks whether it is to be reset.
POLL_S: Final = 0.01
EVENTS: Final = 3


@define
class ResettableServer:
    """Serves requests on kept connections: prefills at once, and runs after a delay."""

    name: str
    # Time from a run's arrival until it begins.
    begin_delay_s: float = 0.0
    # Ids of the runs that have arrived, of those that have begun, and of those whose caller had
    # closed the connection before.
    arrived: list[str] = field(factory=list)
    ran: list[str] = field(factory=list)
    cancelled: list[str] = field(factory=list)
    # Connections that wait for a request, and how many of them were reset.
    idle: set[socket.socket] = field(factory=set)
    resets: int = 0
    _reset_round: int = 0
    _listener: socket.socket = field(factory=socket.socket)

    @property
    def address(self) -> str:
        """Returns the address on which the server listens."""
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def start(self) -> None:
        """Starts to listen."""
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(64)
        accept_connections(self._listener, self._serve_connection)

    def stop(self) -> None:
        """Closes the listener."""
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def reset_idle(self) -> int:
        """Resets the connections that have carried a request and wait for the next one."""
        wanted = self.resets + len(self.idle)
        self._reset_round += 1
        deadline_s = time.monotonic() + 1.0
        while self.resets < wanted and time.monotonic() < deadline_s:
            time.sleep(POLL_S)
        return self.resets

    def _serve_connection(self, sock: socket.socket) -> None:
        with sock, suppress(OSError):
            is_kept = False
            while self._wait_for_request(sock, is_kept=is_kept):
                request = read_request(sock)
                if not request:
                    return
                self._serve(sock, request)
                is_kept = True

    def _wait_for_request(self, sock: socket.socket, *, is_kept: bool) -> bool:
        """Waits for a request; returns False if the connection is reset instead."""
        reset_round = self._reset_round
        if is_kept:
            self.idle.add(sock)
        try:
            while not select.select([sock], [], [], POLL_S)[0]:
                if is_kept and reset_round != self._reset_round:
                    reset_on_close(sock)
                    sock.close()
                    self.resets += 1
                    return False
        finally:
            self.idle.discard(sock)
        return True

    def _serve(self, sock: socket.socket, request: bytes) -> None:
        if answer_about_itself(sock, request, self.name):
            return
        attempt_id = find_header(request, b"attempt-id")
        if not attempt_id:
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        elif find_header(request, b"stage") == b"prefill":
            handle = json.dumps({"kvHandle": attempt_id.hex(), "tokens": 20, "version": 1})
            sock.sendall(_encode_answer(attempt_id, "application/json", handle.encode()))
        else:
            self._run(sock, request, attempt_id)

    def _run(self, sock: socket.socket, request: bytes, attempt_id: bytes) -> None:
        self.arrived.append(attempt_id.decode())
        time.sleep(self.begin_delay_s)
        if select.select([sock], [], [], 0.0)[0]:
            self.cancelled.append(attempt_id.decode())
            raise ConnectionAbortedError
        self.ran.append(attempt_id.decode())
        if find_header(request, b"token-counts"):
            events = (b"id: %d\ndata: %b\n\n" % (n, attempt_id) for n in range(1, EVENTS + 1))
            sock.sendall(_encode_answer(attempt_id, "text/event-stream", b"".join(events)))
        else:
            sock.sendall(_encode_answer(attempt_id, "text/plain", attempt_id))


def _encode_answer(attempt_id: bytes, content_type: str, body: bytes) -> bytes:
    head = (
        f"HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nAttempt-Id: {attempt_id.decode()}\r\n"
        f"Content-Type: {content_type}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body

"""Engines on plain sockets whose runs of one prompt are given one by one."""

import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from enum import Enum
from typing import Final

import h11
from attrs import define, field, frozen

from tests.support.raw_sockets import (
    accept_connections,
    find_header,
    read_request,
    reset_on_close,
)
from tests.support.relay_fleet import HOST_NAME, PATHS, RelayFleet, make_configuration
from tests.support.scripted_backend import RESET_DELAY_S, STARTED_UNIX_MS

# Time between two pieces of an answer, so that the host reads them one by one.
PIECE_INTERVAL_S: Final = 0.02
LAST_CHUNK: Final = b"0\r\n\r\n"
ENGINES: Final = 4
# Retries that a test of many broken streams needs.
MANY_RETRIES: Final = 2000


class RunEnd(Enum):
    """How the answer of a run ends."""

    # As HTTP has it: with the last chunk, and the connection is kept.
    COMPLETE = "complete"
    # With FIN, or with a reset, instead of the last chunk.
    FIN = "fin"
    RESET = "reset"


@frozen
class EngineRun:
    """The body of one run's answer, which is an event stream."""

    pieces: tuple[bytes, ...]
    # Whether each piece is an event, from 1 on, and those are left out that the caller has.
    goes_on: bool = field(default=False, kw_only=True)
    end: RunEnd = RunEnd.COMPLETE
    # Bytes that precede the answer on a connection that was kept, and that follow it on any.
    before: bytes = b""
    surplus: bytes = b""
    # Whether the answer states the id of its request.
    echoes: bool = True
    # Whether the body is sent without chunks, so that it ends with its connection.
    is_unframed: bool = False
    interval_s: float = PIECE_INTERVAL_S


@define
class PromptRuns:
    """The runs of one prompt."""

    # Serves each request that does not continue a stream.
    first: EngineRun
    # Serve those that do, one by one; the last one serves all that follow.
    rest: list[EngineRun]

    def choose(self, request: bytes) -> EngineRun:
        """Returns the run that serves a request."""
        if not self.rest or not find_header(request, b"last-event-id"):
            return self.first
        return self.rest.pop(0) if len(self.rest) > 1 else self.rest[0]


@define
class StreamEngine:
    """Serves prompts with their runs; several engines may share the runs and the requests."""

    # Runs by the request's path, and the requests that were served.
    runs: dict[bytes, PromptRuns]
    requests: list[bytes]
    # Answers on connections that had carried another one before.
    kept_answers: int = 0
    # Answers of which all was sent.
    sent_answers: int = 0
    _listener: socket.socket = field(factory=socket.socket)

    @property
    def port(self) -> int:
        """Returns the port on which the engine listens."""
        return int(self._listener.getsockname()[1])

    def start(self) -> None:
        """Starts to listen."""
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(64)
        accept_connections(self._listener, self._serve_connection)

    def stop(self) -> None:
        """Closes the listener, also while it is waiting for a connection."""
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _serve_connection(self, sock: socket.socket) -> None:
        with sock:
            try:
                is_kept = False
                while request := read_request(sock):
                    if not self._serve(sock, request, is_kept=is_kept):
                        return
                    is_kept = True
            except OSError:
                # The host has closed the connection.
                return

    def _serve(self, sock: socket.socket, request: bytes, *, is_kept: bool) -> bool:
        """Answers one request; returns whether the connection is kept."""
        if request.startswith(b"GET /report "):
            body = b'{"phase": "decode", "seq": 1, "born": %d}' % STARTED_UNIX_MS
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            return True
        runs = self.runs.get(request.split(b" ", 2)[1])
        if runs is None:
            # An order.
            sock.sendall(b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
            return False
        run = runs.choose(request)
        self.requests.append(request)
        self.kept_answers += is_kept
        head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nServer-Seal: seal\r\n"
        if run.echoes:
            head += b"Attempt-Id: " + find_header(request, b"attempt-id") + b"\r\n"
        if not run.is_unframed:
            head += b"Transfer-Encoding: chunked\r\n"
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.sendall((run.before if is_kept else b"") + head + b"\r\n")
        skipped = int(find_header(request, b"last-event-id") or 0) if run.goes_on else 0
        for piece in filter(None, run.pieces[skipped:]):
            sock.sendall(piece if run.is_unframed else chunk(piece))
            time.sleep(run.interval_s)
        self.sent_answers += 1
        if run.end is RunEnd.COMPLETE:
            sock.sendall((b"" if run.is_unframed else LAST_CHUNK) + run.surplus)
            return not run.is_unframed
        if run.end is RunEnd.RESET:
            # The host reads the data first: a reset may discard what it has not read.
            time.sleep(RESET_DELAY_S)
            reset_on_close(sock)
        return False


def chunk(data: bytes) -> bytes:
    """Returns the data as one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(event_id: object, mark: str = "a") -> bytes:
    """Returns an event whose data are the mark and the id."""
    return f"id: {event_id}\ndata: {mark}{event_id}\n\n".encode()


@define
class RunFleet:
    """A host before engines that share the runs to come."""

    fleet: RelayFleet
    runs: dict[bytes, PromptRuns]
    requests: list[bytes]
    engines: list[StreamEngine]

    def begin(
        self, kind: str, call_id: str, first: EngineRun, *rest: EngineRun, **headers: str
    ) -> tuple[socket.socket, h11.Connection]:
        """Sends a prompt that the engines serve with these runs."""
        target = f"{PATHS[kind]}{call_id}"
        self.runs[target.encode()] = PromptRuns(first, list(rest))
        sent = {"Host": HOST_NAME, "Attempt-Id": call_id, "Token-Counts": "20,400"}
        sent |= {"Deadline-Ms": "3000"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        protocol = h11.Connection(our_role=h11.CLIENT)
        request = h11.Request(method="GET", target=target, headers=list(sent.items()))
        data = protocol.send(request) or b""
        sock = self.fleet.connect()
        sock.settimeout(5.0)
        sock.sendall(data + (protocol.send(h11.EndOfMessage()) or b""))
        return sock, protocol

    def newest_ids_sent(self, call_id: str) -> list[bytes]:
        """Returns the `Last-Event-Id` of each of a call's requests that an engine has served."""
        wanted = call_id.encode()
        mine = [item for item in self.requests if find_header(item, b"attempt-id") == wanted]
        return [find_header(item, b"last-event-id") for item in mine]


@contextmanager
def start_run_fleet(fleet: RelayFleet) -> Iterator[RunFleet]:
    """Starts the engines and a host that may retry often, and stops the engines on exit."""
    fleet.put_configuration(make_configuration())
    runs = dict[bytes, PromptRuns]()
    requests = list[bytes]()
    engines = [StreamEngine(runs, requests) for _ in range(ENGINES)]
    for number, engine in enumerate(engines):
        engine.start()
        fleet.register(f"engine-{number}", "lm", "decode", address=f"127.0.0.1:{engine.port}")
    fleet.add_host(retry_extra=MANY_RETRIES)
    try:
        yield RunFleet(fleet, runs, requests, engines)
    finally:
        for engine in engines:
            engine.stop()

"""Engines that are asked for their start before a stream goes on there, and that do odd things."""

import http.client
import select
import socket
import time
from typing import Final

import pytest
from attrs import define

from tests.support.relay_fleet import PATHS, RelayFleet, make_configuration
from tests.support.scripted_backend import (
    STARTED_UNIX_MS,
    Ending,
    Script,
    ScriptedBackend,
    answer_about_itself,
)

BROKEN: Final = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: <id>\r\nContent-Type: text/event-stream\r\n"
    b"Server-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n"
)
ENGINES: Final = 3
# Time after which an impatient engine closes a connection that carries nothing, and the longer one
# that it takes to answer a question.
PATIENCE_S: Final = 0.05
ANSWER_DELAY_S: Final = 0.12


@define
class ImpatientBackend(ScriptedBackend):
    """Closes connections on which no request comes at once; answers questions about itself."""

    questions: int = 0

    def _serve_connection(self, sock: socket.socket) -> None:
        if not select.select([sock], [], [], PATIENCE_S)[0]:
            sock.close()
            return
        request = sock.recv(65536, socket.MSG_PEEK)
        if not request.startswith(b"GET /report "):
            super()._serve_connection(sock)
            return
        self.questions += 1
        time.sleep(ANSWER_DELAY_S)
        with sock:
            answer_about_itself(sock, sock.recv(65536), self.name)


# Guards against a host that asks an engine again and again because the engine closes the connection
# that is to carry the run.
def test_an_engine_that_closes_unused_connections_is_asked_once(fleet: RelayFleet) -> None:
    fleet.put_configuration(make_configuration())
    engines = []
    for number in range(ENGINES):
        engine = ImpatientBackend(Script(BROKEN, Ending.RESET), f"engine-{number}")
        engine.start()
        fleet.scripted_backends.append(engine)
        address = f"127.0.0.1:{engine.port}"
        fleet.register(engine.name, "lm", "decode", address=address, born=STARTED_UNIX_MS)
        engines.append(engine)
    fleet.add_host()
    with pytest.raises((http.client.IncompleteRead, ConnectionResetError)):
        fleet.send_request(PATHS["resumable"], "id-1")
    assert sum(engine.questions for engine in engines) <= 2 * ENGINES

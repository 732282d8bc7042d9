"""Callers that go silent: every accepted connection must have a bound on silence."""

import time
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_USER_TIMEOUT,
    create_connection,
    socket,
)

from circuits.core.pollers import EPoll

from berylquay.callers.server import CALLERS_CHANNEL, HttpServer
from berylquay.decisions.fleet import Address
from berylquay.settings.host_options import CallerLimits

STATED_BOUND_MS = 5000
WAITS = 500


def test_accepted_connection_is_given_up_after_five_silent_seconds() -> None:
    loop = EPoll()
    server = HttpServer(Address("127.0.0.1", 0), CallerLimits(), CALLERS_CHANNEL).register(loop)
    port = server.port
    loop.start()
    try:
        with create_connection(("127.0.0.1", port)):
            accepted = _wait_for_accepted(server)
            assert accepted.getsockopt(SOL_SOCKET, SO_KEEPALIVE) == 1
            assert 0 < accepted.getsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT) <= STATED_BOUND_MS
    finally:
        loop.stop()


def _wait_for_accepted(server: HttpServer) -> socket:
    for _ in range(WAITS):
        if server.server._clients:
            return server.server._clients[0]
        time.sleep(0.02)
    raise TimeoutError("the connection was not accepted")

"""Unresponsive callers: every accepted connection needs keep-alive and a TCP user timeout."""

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

MAX_USER_TIMEOUT_MS = 5000
MAX_POLLS = 500


def test_accepted_connection_times_out_after_five_seconds() -> None:
    loop = EPoll()
    server = HttpServer(Address("127.0.0.1", 0), CallerLimits(), CALLERS_CHANNEL).register(loop)
    port = server.port
    loop.start()
    try:
        with create_connection(("127.0.0.1", port)):
            accepted = _wait_for_accepted_socket(server)
            assert accepted.getsockopt(SOL_SOCKET, SO_KEEPALIVE) == 1
            assert 0 < accepted.getsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT) <= MAX_USER_TIMEOUT_MS
    finally:
        loop.stop()


def _wait_for_accepted_socket(server: HttpServer) -> socket:
    for _ in range(MAX_POLLS):
        if server.server._clients:
            return server.server._clients[0]
        time.sleep(0.02)
    raise TimeoutError("the connection was not accepted")

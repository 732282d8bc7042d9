"""Idle connections to servers that are reset while their host stands still."""

import socket
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import pytest
from attrs import define

from tests.support.relay_fleet import HOST_NAME, PATHS, RelayFleet, make_configuration, wait_until
from tests.support.resettable_server import ResettableServer

FREEZE_S: Final = 0.3
# Longer than an engine may leave a stream without its first event before others are asked.
BEGIN_DELAY_S: Final = 1.0
MAX_WARM_UP_REQUESTS: Final = 40
FROZEN: Final = "call-frozen"
# Kinds whose requests are sent on kept connections.
REUSING_KINDS: Final = ("stream", "resumable", "many")
ROLES: Final = {"lm": ("prefill", "decode", "decode"), "app": ("", "")}


@define
class FrozenFleet:
    """A host, its servers, and a caller on a kept connection."""

    fleet: RelayFleet
    servers: list[ResettableServer]
    caller: socket.socket

    def request(self, kind: str, call_id: str) -> None:
        """Sends a request on the caller's connection."""
        head = (
            f"POST {PATHS[kind]} HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: {call_id}\r\n"
            "Deadline-Ms: 3500\r\nContent-Length: 0\r\n"
        )
        if kind in ("stream", "resumable"):
            head += "Model: m\r\nToken-Counts: 1460,3\r\n"
        self.caller.sendall(f"{head}\r\n".encode())

    def receive(self) -> bytes:
        """Returns the answer on the caller's connection, to its end or that of the connection."""
        answer = b""
        while not _is_whole(answer):
            data = self.caller.recv(65536)
            if not data:
                break
            answer += data
        return answer

    def request_in_freeze(self, kind: str) -> None:
        """Sends a request while the host stands still and its idle connections are reset."""
        self._open_idle_connections(kind)
        host = self.fleet.hosts[0]
        host.pause()
        wait_until(lambda: _is_stopped(host.popen.pid))
        self.request(kind, FROZEN)
        for server in self.servers:
            server.begin_delay_s = BEGIN_DELAY_S
        assert kind == "once" or sum(server.reset_idle() for server in self.servers) > 0
        time.sleep(FREEZE_S)
        host.resume()

    def _open_idle_connections(self, kind: str) -> None:
        """Sends requests until each server that may get the next one has an idle connection."""
        first_servers = {"stream": "lm-0", "resumable": "lm-0", "many": "app"}
        name = first_servers.get(kind, "")
        for number in range(MAX_WARM_UP_REQUESTS):
            self.request(kind, f"call-{number}")
            assert b" 200 " in self.receive().partition(b"\r\n")[0]
            if all(server.idle for server in self.servers if server.name.startswith(name)):
                return

    def count(self, list_name: str) -> int:
        """Returns how often the frozen request is in a list of the servers."""
        return sum(getattr(server, list_name).count(FROZEN) for server in self.servers)


def _is_stopped(pid: int) -> bool:
    """Tells whether a process has taken a SIGSTOP."""
    status = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    return status.rpartition(")")[2].split()[0] == "T"


def _is_whole(answer: bytes) -> bool:
    head, end, body = answer.partition(b"\r\n\r\n")
    if not end:
        return False
    if b"transfer-encoding: chunked" in head.lower():
        return body.endswith(b"0\r\n\r\n")
    length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
    return len(body) >= length


@pytest.fixture
def frozen_fleet(fleet: RelayFleet, request: pytest.FixtureRequest) -> Iterator[FrozenFleet]:
    fleet.put_configuration(make_configuration())
    servers = []
    for pool, roles in ROLES.items():
        for number, role in enumerate(roles):
            server = ResettableServer(f"{pool}-{number}")
            server.start()
            servers.append(server)
            fleet.register(server.name, pool, role, address=server.address)
    fleet.add_host()
    with fleet.connect() as caller:
        yield FrozenFleet(fleet, servers, caller)
    for server in servers:
        server.stop()


# Guards against a run that is started beside an open one, because the call's prefill, which failed
# while it was being sent, is taken for an open one that has stalled.
@pytest.mark.parametrize("kind", [*REUSING_KINDS, "once"])
def test_a_request_runs_once(frozen_fleet: FrozenFleet, kind: str) -> None:
    frozen_fleet.request_in_freeze(kind)
    answer = frozen_fleet.receive()
    assert b" 200 " in answer.partition(b"\r\n")[0]
    assert _is_whole(answer)
    time.sleep(BEGIN_DELAY_S)
    assert frozen_fleet.count("ran") == 1
    if kind in ("stream", "once"):
        assert frozen_fleet.count("arrived") == 1


# Guards against servers that work on for callers who have left, because the run that took the place
# of one that failed while it was being sent is no longer known.
@pytest.mark.parametrize("kind", REUSING_KINDS)
def test_a_caller_that_leaves_cancels_the_run(frozen_fleet: FrozenFleet, kind: str) -> None:
    frozen_fleet.request_in_freeze(kind)
    wait_until(lambda: frozen_fleet.count("arrived") > 0)
    frozen_fleet.caller.close()
    wait_until(lambda: frozen_fleet.count("cancelled") + frozen_fleet.count("ran") > 0)
    assert frozen_fleet.count("ran") == 0

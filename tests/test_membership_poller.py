"""The membership poller against its stand-in: unchanged and malformed lists, outages."""

import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from circuits import BaseComponent, handler
from circuits.core.events import generate_events
from circuits.core.pollers import EPoll

from berylquay.component_messages import MembershipRead
from berylquay.decisions.fleet import Address
from berylquay.net.message_bus import BUS
from berylquay.net.tcp_connections import TcpConnections
from berylquay.net.ticker import Ticker
from berylquay.standalone.membership_poller import MembershipPoller
from examples.processes import Process, Processes

BACKEND = {
    "name": "engine-1",
    "kind": "engine",
    "address": "127.0.0.1:9",
    "region": "fes",
    "data_centre": "fes-1",
    "pool": "cellar-lm",
    "state": "live",
}


class PollerBench(BaseComponent):
    """A loop with a poller; stores the lists that it posts."""

    channel = BUS

    def __init__(self, port: int) -> None:
        super().__init__()
        self.loop = EPoll()
        Ticker().register(self.loop)
        connections = TcpConnections(self.loop).register(self.loop)
        MembershipPoller(connections, Address("127.0.0.1", port)).register(self.loop)
        self.register(self.loop)
        self.lists: list[MembershipRead] = []

    @handler("MembershipRead")
    def _on_membership(self, message: MembershipRead) -> None:
        self.lists.append(message)

    def run_until(self, condition: Callable[[], bool]) -> None:
        deadline_s = time.monotonic() + 20.0
        while not condition():
            assert time.monotonic() < deadline_s, "the condition was not fulfilled in time"
            self.loop.fire(generate_events(threading.Lock(), 0.05), "*")
            self.loop.flush()


@pytest.fixture
def membership(tmp_path: Path) -> Iterator[Process]:
    processes = Processes(tmp_path)
    yield processes.start_standin("membership", "membership")
    processes.stop_all()


def publish_backends(membership: Process, backends: list[dict[str, str]]) -> None:
    membership.post("/v1/members", {"backends": backends, "hosts": []}, "PUT")


def test_newer_list_is_posted_once(membership: Process) -> None:
    bench = PollerBench(membership.port)
    bench.run_until(lambda: len(bench.lists) == 1)
    publish_backends(membership, [BACKEND])
    bench.run_until(lambda: len(bench.lists) == 2)
    assert bench.lists[1].view.backends[0].name == "engine-1"


def test_malformed_list_is_ignored(membership: Process) -> None:
    bench = PollerBench(membership.port)
    bench.run_until(lambda: len(bench.lists) == 1)
    publish_backends(membership, [{"name": "engine-1"}])
    started_s = time.monotonic()
    bench.run_until(lambda: time.monotonic() > started_s + 1.2)
    assert len(bench.lists) == 1
    publish_backends(membership, [BACKEND])
    bench.run_until(lambda: len(bench.lists) == 2)


def test_unresponsive_platform_is_polled_again(membership: Process) -> None:
    bench = PollerBench(membership.port)
    bench.run_until(lambda: len(bench.lists) == 1)
    publish_backends(membership, [BACKEND])
    membership.pause()
    started_s = time.monotonic()
    bench.run_until(lambda: time.monotonic() > started_s + 1.0)
    membership.resume()
    bench.run_until(lambda: len(bench.lists) == 2)

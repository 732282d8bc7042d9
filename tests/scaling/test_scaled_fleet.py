"""Real hosts that order servers from the platform's API."""

import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.support.relay_fleet import (
    PATHS,
    RelayFleet,
    make_configuration,
    start_relay_fleet,
    wait_until,
)
from tests.support.server_cloud import ServerCloud, serve_cloud

ZONES = ("fes-a", "fes-b")
SCALING = {
    "min": 1,
    "max": 8,
    "bootS": 0.5,
    "spotPrice": 0.2,
    "zonePrices": dict.fromkeys(ZONES, 1.0),
}


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[RelayFleet]:
    with start_relay_fleet(tmp_path) as started:
        yield started


def start_cloud(fleet: RelayFleet, slots: int) -> ServerCloud:
    """Returns the API; all its servers are one process that answers after a while."""

    def register(name: str, entry: dict[str, object] | None) -> None:
        if entry is None:
            fleet.put("keyed.servers", name, None)
        else:
            fleet.backends[name] = fleet.backends["app-0"]
            fleet.register(name, "app", "", slots=slots, **entry)

    return ServerCloud("app", 0.5, register)


def start_hosts(fleet: RelayFleet, cloud_port: int, number: int) -> None:
    duties = f"""
[duties]
address = 127.0.0.1:{cloud_port}
names = autoscale,
calls_per_s = 50
usage_window_s = 5
usage_due_s = 10
"""
    for host in range(number):
        fleet.add_host(f"host-{host}", more_settings=duties)


def make_scaled_configuration() -> dict[str, object]:
    services = [{"name": "app", "maxConns": 100, "scaling": SCALING}]
    routes = [
        route
        for route in make_configuration()["routes"]  # type: ignore[attr-defined]
        if route["service"] == "app"
    ]
    return make_configuration(services=services, routes=routes)


def test_hosts_replace_servers_by_spot_servers_and_add_some_for_the_load(
    fleet: RelayFleet,
) -> None:
    """Guards against a fleet of which several hosts order, or none does."""
    fleet.put_configuration(make_scaled_configuration())
    backend = fleet.processes.start_standin("app-0", "platform_backend", "--name", "s-1")
    fleet.backends["app-0"] = backend
    backend.post("/faults", {"delay_s": 1.0})
    cloud = start_cloud(fleet, slots=2)
    for zone in ZONES:
        cloud.add_present(zone, 1)
    server = serve_cloud(cloud)
    try:
        start_hosts(fleet, server.server_port, 3)
        spot_only = {(zone, True): 1 for zone in ZONES}
        wait_until(lambda: cloud.counts() == spot_only, 25.0)
        assert {holder for holder, *_ in cloud.orders} == {"host-0"}
        # The servers are one process under other names, so the calls are refused there; they are
        # counted all the same.
        threads = [
            threading.Thread(target=fleet.send_request, args=(PATHS["many"], f"c{n}"), daemon=True)
            for n in range(24)
        ]
        fleet.register("s-1", "app", slots=2, zone=ZONES[0], born=time.time_ns() // 10**6)
        for thread in threads:
            thread.start()
        wait_until(lambda: sum(cloud.counts().values()) > 4, 15.0)
        for thread in threads:
            thread.join()
        tokens = [token for _, token, *_ in cloud.orders]
        assert tokens == sorted(tokens)
        decisions = [
            line for line in fleet.log_lines(0) if line.get("message") == "scaling decision"
        ]
        assert decisions
    finally:
        server.shutdown()
        cloud.stopped = True

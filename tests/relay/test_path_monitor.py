"""What a host that has lost servers may still decide for others, and whose reports it takes."""

from random import Random
from unittest.mock import Mock

import pytest

from berylquay.decisions.backend_health import BackendHealth, HealthOptions
from berylquay.decisions.backend_registry import BackendEntry, BackendRegistry, EntryState
from berylquay.decisions.fleet import Address, Role
from berylquay.decisions.server_paths import MAX_PROBES
from berylquay.decisions.topology import Location, Topology
from berylquay.relay.metrics import RelayMetrics
from berylquay.relay.path_monitor import PathMonitor
from tests.relay.test_gateways import RecordingConnections

ADDRESS = Address("127.0.0.1", 9)


def make_monitor(pool_sizes: dict[str, int]) -> tuple[PathMonitor, dict[str, list[BackendEntry]]]:
    """Returns the monitor of a host, and the servers by pool; those of `lm` are engines."""
    registry = BackendRegistry()
    entries: dict[str, list[BackendEntry]] = {}
    for pool, size in pool_sizes.items():
        role = Role.DECODE if pool == "lm" else None
        for number in range(size):
            name = f"{pool}-{number}"
            entry = BackendEntry(name, pool, ADDRESS, "fes-a", 4, EntryState.READY, role)
            registry.on_entry(entry)
            entries.setdefault(pool, []).append(entry)
    monitor = PathMonitor(
        RecordingConnections(),
        registry,
        BackendHealth(HealthOptions()),
        topology=Topology(Location("fes-a", "fes"), {"fes-a": "fes", "tanja-a": "tanja"}),
        metrics=Mock(RelayMetrics),
        rng=Random(1),
        get_hosts=lambda: {"near": (ADDRESS, "fes-a"), "far": (ADDRESS, "tanja-a")},
    )
    return monitor, entries


# Guards against a pool whose servers are down for all hosts and that keeps them from ordering
# others, and against orders of a host that reaches no engine.
@pytest.mark.parametrize(
    ("lost", "is_cut_off", "lost_engine_pools"),
    [
        (("app",), False, set()),
        (("lm",), False, {"lm"}),
        (("app", "lm"), True, {"lm"}),
        ((), False, set()),
    ],
)
def test_duties_depend_on_the_pools_that_are_lost(
    lost: tuple[str, ...], is_cut_off: bool, lost_engine_pools: set[str]
) -> None:
    monitor, entries = make_monitor({"app": 3, "lm": 2})
    for pool in lost:
        for entry in entries[pool][:2]:
            monitor.on_connect_failed(entry, 1.0)
    assert monitor.lost_pools == set(lost)
    assert monitor.is_cut_off is is_cut_off
    assert monitor.lost_engine_pools == lost_engine_pools
    for pool in lost:
        monitor.on_connected(entries[pool][0], 2.0)
    assert not monitor.lost_pools
    assert not monitor.is_cut_off


# Guards against sound servers of a pool that stay unused after others of it have crashed.
def test_all_servers_of_a_lost_pool_are_tested_at_once() -> None:
    monitor, entries = make_monitor({"app": MAX_PROBES + 4})
    for entry in entries["app"][:2]:
        monitor.on_connect_failed(entry, 1.0)
    assert len(monitor._probes) == MAX_PROBES
    for probe in monitor._probes.values():
        probe._connection.established = True
    monitor.on_tick(True, 1.01)
    sound = [entry.name for entry in entries["app"] if not monitor.paths.is_lost(entry.name)]
    assert len(sound) >= MAX_PROBES


# Guards against memory that grows with reports of pools that do not exist.
def test_reports_of_unknown_pools_are_ignored() -> None:
    monitor, entries = make_monitor({"app": 2})
    monitor.on_lost_pools("near", ["app", *map(str, range(1000))], 1.0)
    assert len(monitor._gateways._lost_until_s) == 1
    transport = monitor.open_gateway(entries["app"][0], 1.0)
    assert transport is not None
    assert transport.gateway == "far"

"""What a host that has lost servers may still decide for others, and whose reports it takes."""

from random import Random
from unittest.mock import Mock

import pytest

from berylquay.decisions.backend_health import BackendHealth, HealthOptions
from berylquay.decisions.backend_registry import BackendEntry, BackendRegistry, EntryState
from berylquay.decisions.fleet import Address, Role
from berylquay.decisions.server_paths import (
    GATEWAY_TEST_INTERVAL_S,
    MAX_PROBES,
    PROBE_INTERVAL_S,
)
from berylquay.decisions.topology import Location, Topology
from berylquay.relay.metrics import RelayMetrics
from berylquay.relay.path_monitor import (
    ANSWER_TIMEOUT_S,
    MAX_GATEWAY_QUESTIONS,
    PathMonitor,
    PossibleCrash,
)
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
        health_path=lambda _pool: "/health",
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


class Losses:
    """Attempts that were lost at a server, and what was found to be at fault."""

    def __init__(self, monitor: PathMonitor, entry: BackendEntry) -> None:
        self.found: list[str] = []
        self._monitor = monitor
        self._entry = entry

    def add(self, now_s: float) -> None:
        crash = PossibleCrash(
            lambda: self.found.append("server"), lambda: self.found.append("path")
        )
        self._monitor.judge_crash(self._entry, crash, has_gateway=False, now_s=now_s)


def end_questions(monitor: PathMonitor, ending: str, now_s: float) -> int:
    """Ends all open questions in the same way; returns how many there were."""
    questions = [*monitor._questions.values(), *monitor._gateway_questions.values()]
    for question in questions:
        question._connection.was_established = ending != "not-connected"
        question._is_answered = ending == "answered"
        question._has_failed = ending in ("unanswered", "not-connected")
    monitor.on_tick(False, now_s)
    return len(questions)


# Guards against sound content that is reported as crashing servers, as connections to them broke,
# and against a crash that is not reported.
@pytest.mark.parametrize(
    ("own", "by_gateway", "at_fault"),
    [
        ("answered", "", "server"),
        ("unanswered", "answered", "path"),
        ("unanswered", "unanswered", "server"),
        ("not-connected", "answered", "path"),
        ("not-connected", "not-connected", "server"),
        ("silent", "answered", "path"),
    ],
)
def test_a_lost_attempt_is_a_crash_unless_another_host_gets_an_answer(
    own: str, by_gateway: str, at_fault: str
) -> None:
    monitor, entries = make_monitor({"app": 3})
    losses = Losses(monitor, entries["app"][0])
    losses.add(1.0)
    losses.add(1.0)
    now_s = 1.1 + ANSWER_TIMEOUT_S
    assert end_questions(monitor, own, now_s) == 1
    if by_gateway:
        asked = 0
        while not losses.found and asked < MAX_GATEWAY_QUESTIONS:
            monitor._questions.clear()
            asked += end_questions(monitor, by_gateway, now_s)
        assert asked == (1 if by_gateway == "answered" else MAX_GATEWAY_QUESTIONS)
    assert losses.found == [at_fault] * 2
    assert monitor.paths.is_lost("app-0") is (at_fault == "path")


# Guards against questions without end to a server that answers them and breaks off what it runs,
# and against hosts that keep asking each other for a server which is down for all.
def test_questions_are_few() -> None:
    monitor, entries = make_monitor({"app": 3})
    losses = Losses(monitor, entries["app"][0])
    losses.add(1.0)
    assert end_questions(monitor, "answered", 1.01) == 1
    losses.add(1.0 + PROBE_INTERVAL_S / 2.0)
    assert losses.found == ["server", "server"]
    assert not monitor._questions
    monitor.on_unanswered(entries["app"][1], 1.2)
    assert end_questions(monitor, "unanswered", 1.21) == 1
    assert not monitor._gateway_questions


def test_other_hosts_are_asked_for_one_server_once_a_second() -> None:
    monitor, entries = make_monitor({"app": 3})
    losses = Losses(monitor, entries["app"][0])
    losses.add(1.0)
    while not losses.found:
        end_questions(monitor, "unanswered", 1.01)
    losses.add(1.1)
    assert end_questions(monitor, "unanswered", 1.0 + GATEWAY_TEST_INTERVAL_S / 2.0) == 1
    assert losses.found == ["server", "server"]
    assert not monitor._gateway_questions


# Guards against the answer to a health check that is taken for one to another request, and against
# servers that get requests without an id.
def test_each_health_check_has_an_id_of_its_own() -> None:
    monitor, entries = make_monitor({"app": 1})
    requests = [monitor._make_question(entries["app"][0], 1.0) for _ in range(2)]
    assert {request.target for request in requests} == {b"/health"}
    ids = {dict(request.headers)[b"attempt-id"] for request in requests}
    assert len(ids) == 2

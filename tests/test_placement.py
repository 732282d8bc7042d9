"""Where the daemon's decisions send calls: to the prefix's home, and elsewhere when that pays."""

import random

from attrs import evolve

from berylquay.decisions.available_servers import HostLocation
from berylquay.decisions.call_tracker import CallTracker, CallTrackerOptions
from berylquay.decisions.engine_speed import EngineSpeed
from berylquay.decisions.fleet import (
    Address,
    BackendKind,
    BackendServer,
    LoadReport,
    MembershipView,
    Role,
)
from berylquay.decisions.latency_prediction import LatencyPredictor
from berylquay.decisions.power_of_two_routing import PowerOfTwoRouting
from berylquay.messages import AttemptCompleted, AttemptRequested
from tests.test_routing import make_call

PREFIX = "p" * 1024
NOW_S = 10.0
HUGE_BACKLOG_TOKENS = 400000


def _make_fates(near: int, far: int) -> CallTracker:
    routing = PowerOfTwoRouting(LatencyPredictor(EngineSpeed()), random.Random(1))
    fates = CallTracker(routing, "i", CallTrackerOptions(location=HostLocation("h", "fes")))
    servers = [_make_server(f"near-{n}", "fes") for n in range(near)]
    servers += [_make_server(f"far-{n}", "tangier") for n in range(far)]
    fates.on_membership(MembershipView(1, tuple(servers), ()))
    return fates


def _make_server(name: str, data_centre: str) -> BackendServer:
    address = Address("127.0.0.1", 1)
    return BackendServer(name, BackendKind.ENGINE, address, "r", data_centre, "pool")


def _backends_of(fates: CallTracker, count: int, prefix: str = PREFIX) -> set[str]:
    chosen: set[str] = set()
    for n in range(count):
        call = evolve(make_call(f"{prefix}{n}"), call_id=f"{n}", fingerprint=f"f{n}")
        for command in fates.on_call(call, NOW_S):
            assert isinstance(command, AttemptRequested)
            chosen.add(command.attempt.backend)
            done = AttemptCompleted(command.attempt.attempt_id, 0, 200, b"", "")
            fates.on_completed(done, NOW_S)
    return chosen


def _report_backlog(fates: CallTracker, name: str) -> None:
    report = LoadReport(name, NOW_S, Role.MIXED, "", prefill_backlog_tokens=HUGE_BACKLOG_TOKENS)
    fates.on_load(report)


def test_contents_with_one_prefix_go_to_its_home() -> None:
    for letter in "abcdef":
        assert len(_backends_of(_make_fates(near=8, far=0), 3, letter * len(PREFIX))) == 1


def test_an_idle_data_centre_keeps_its_calls() -> None:
    assert _backends_of(_make_fates(near=1, far=4), count=3) == {"near-0"}


def test_a_long_wait_sends_calls_to_another_data_centre() -> None:
    fates = _make_fates(near=1, far=4)
    _report_backlog(fates, "near-0")
    assert all(name.startswith("far-") for name in _backends_of(fates, count=3))


def test_a_content_reaches_the_same_two_servers_elsewhere_at_the_most() -> None:
    fates = _make_fates(near=1, far=6)
    _report_backlog(fates, "near-0")
    call = make_call(PREFIX)
    chosen: set[str] = set()
    for n in range(20):
        for command in fates.on_call(evolve(call, call_id=f"{n}"), NOW_S):
            assert isinstance(command, AttemptRequested)
            chosen.add(command.attempt.backend)
    assert len(chosen) <= 2

"""Where the daemon sends calls: to the prefix's preferred server, elsewhere if that is faster."""

import random

from attrs import evolve

from berylquay.component_messages import AttemptCompleted, AttemptRequested
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
from tests.test_routing import make_call

PREFIX = "p" * 1024
NOW_S = 10.0
HUGE_BACKLOG_TOKENS = 400000


def _make_call_tracker(local_count: int, remote_count: int) -> CallTracker:
    routing = PowerOfTwoRouting(LatencyPredictor(EngineSpeed()), random.Random(1))
    call_tracker = CallTracker(routing, "i", CallTrackerOptions(location=HostLocation("h", "fes")))
    servers = [_make_server(f"near-{n}", "fes") for n in range(local_count)]
    servers += [_make_server(f"far-{n}", "tangier") for n in range(remote_count)]
    call_tracker.on_membership(MembershipView(1, tuple(servers), ()))
    return call_tracker


def _make_server(name: str, data_centre: str) -> BackendServer:
    address = Address("127.0.0.1", 1)
    return BackendServer(name, BackendKind.ENGINE, address, "r", data_centre, "pool")


def _chosen_backends(call_tracker: CallTracker, count: int, prefix: str = PREFIX) -> set[str]:
    chosen: set[str] = set()
    for n in range(count):
        call = evolve(make_call(f"{prefix}{n}"), call_id=f"{n}", fingerprint=f"f{n}")
        for command in call_tracker.on_call(call, NOW_S):
            assert isinstance(command, AttemptRequested)
            chosen.add(command.attempt.backend)
            done = AttemptCompleted(command.attempt.attempt_id, 0, 200, b"", "")
            call_tracker.on_completed(done, NOW_S)
    return chosen


def _report_backlog(call_tracker: CallTracker, name: str) -> None:
    report = LoadReport(name, NOW_S, Role.MIXED, "", prefill_backlog_tokens=HUGE_BACKLOG_TOKENS)
    call_tracker.on_load(report)


def test_prompts_with_the_same_prefix_go_to_one_server() -> None:
    for letter in "abcdef":
        assert (
            len(
                _chosen_backends(
                    _make_call_tracker(local_count=8, remote_count=0), 3, letter * len(PREFIX)
                )
            )
            == 1
        )


def test_an_idle_data_centre_keeps_its_calls() -> None:
    assert _chosen_backends(_make_call_tracker(local_count=1, remote_count=4), count=3) == {
        "near-0"
    }


def test_a_long_backlog_sends_calls_to_another_data_centre() -> None:
    call_tracker = _make_call_tracker(local_count=1, remote_count=4)
    _report_backlog(call_tracker, "near-0")
    assert all(name.startswith("far-") for name in _chosen_backends(call_tracker, count=3))


def test_repeated_content_reaches_at_most_two_remote_servers() -> None:
    call_tracker = _make_call_tracker(local_count=1, remote_count=6)
    _report_backlog(call_tracker, "near-0")
    call = make_call(PREFIX)
    chosen: set[str] = set()
    for n in range(20):
        for command in call_tracker.on_call(evolve(call, call_id=f"{n}"), NOW_S):
            assert isinstance(command, AttemptRequested)
            chosen.add(command.attempt.backend)
    assert len(chosen) <= 2

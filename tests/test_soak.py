"""Tests of the soak test: short seeded runs, and that each check reports a broken promise."""

import time
from pathlib import Path
from random import Random

import pytest
from attrs import evolve

from soak.callers import DEADLINE_S, Attempt
from soak.fleet import (
    EVENTS_PER_STREAM,
    LEASE_S,
    MAX_APPLY_DELAY_S,
    RETRY_EXTRA,
    ConfigurationVersion,
    SoakFleet,
)
from soak.promises import BackendEvent, Observations, broken_promises
from soak.releases import run_seed as run_release_seed
from soak.rounds import extend_faults, inject_faults, run_seed
from soak.schedule import Fault, FaultKind, draw_faults, draw_size
from soak.stream_callers import Stream
from soak.stream_sites import EVENTS

SEALED_HEADERS = {"server-seal": "seal-app-0", "attempt-id": "id"}
COMPLETE_ATTEMPT = Attempt(
    "id", "once", "h", 10.0, 200, SEALED_HEADERS, b'{"echo": "id"}', True, None, 10.1
)
RUN_EVENT = BackendEvent(10.05, "app-0", "run", "id")
NO_VIOLATIONS = Observations(
    0.0, 100.0, [COMPLETE_ATTEMPT], [RUN_EVENT], [], [ConfigurationVersion(0.0, False)], []
)


def stream_body(numbers: list[int], call_id: str = "id") -> bytes:
    return b"".join(f"id: {n}\ndata: {call_id:x<40}\n\n".encode() for n in numbers)


def stream(body: bytes, *, complete: bool = True) -> Attempt:
    return evolve(COMPLETE_ATTEMPT, kind="resumable", body=body, complete=complete)


FAILED_ATTEMPT = evolve(COMPLETE_ATTEMPT, status=502, headers={}, body=b"")
ALL_EVENT_NUMBERS = list(range(1, EVENTS_PER_STREAM + 1))
# Observations that break each promise, by the name of its check.
VIOLATIONS = {
    "run_at_most_once": evolve(
        NO_VIOLATIONS, backend_events=[RUN_EVENT, evolve(RUN_EVENT, backend="app-1")]
    ),
    "refused_means_not_run": evolve(
        NO_VIOLATIONS, attempts=[evolve(COMPLETE_ATTEMPT, status=503, headers={})]
    ),
    "answers_are_whole_and_ones_own": evolve(
        NO_VIOLATIONS, attempts=[evolve(COMPLETE_ATTEMPT, body=b"other")]
    ),
    "final_answer_in_time": evolve(
        NO_VIOLATIONS, attempts=[evolve(COMPLETE_ATTEMPT, ended_s=10.0 + DEADLINE_S + 0.6)]
    ),
    "nothing_for_callers_who_left": evolve(
        NO_VIOLATIONS,
        attempts=[evolve(COMPLETE_ATTEMPT, abandoned_s=9.4, status=None, headers={}, ended_s=9.4)],
    ),
    "extra_sends_within_the_budget": evolve(
        NO_VIOLATIONS,
        attempts=[evolve(COMPLETE_ATTEMPT, kind="many")],
        backend_events=[evolve(RUN_EVENT, at_s=10.05 + n / 100.0) for n in range(RETRY_EXTRA + 3)],
    ),
    "one_holder_orders": evolve(
        NO_VIOLATIONS,
        backend_events=[
            RUN_EVENT,
            BackendEvent(1.0, "e", "order", holder="a", term=1),
            BackendEvent(1.0 + LEASE_S - 0.1, "f", "order", holder="b", term=2),
        ],
    ),
    "configuration_in_force": evolve(
        NO_VIOLATIONS,
        attempts=[
            evolve(
                COMPLETE_ATTEMPT, kind="extra", status=404, headers={}, sent_s=20.0, ended_s=20.1
            )
        ],
        backend_events=[],
        versions=[
            ConfigurationVersion(0.0, False),
            ConfigurationVersion(20.0 - MAX_APPLY_DELAY_S - 0.1, True),
        ],
    ),
    "removed_keys_run_nothing": evolve(
        NO_VIOLATIONS,
        attempts=[
            evolve(COMPLETE_ATTEMPT, tenant="t0", has_removable_key=True, sent_s=20.0, ended_s=20.1)
        ],
        backend_events=[evolve(RUN_EVENT, at_s=20.05, tenant="t0")],
        versions=[
            ConfigurationVersion(0.0, True),
            ConfigurationVersion(20.0 - MAX_APPLY_DELAY_S - 0.1, False),
        ],
    ),
    "servers_see_the_tenant": evolve(
        NO_VIOLATIONS,
        attempts=[evolve(COMPLETE_ATTEMPT, tenant="t0")],
        backend_events=[evolve(RUN_EVENT, tenant="t1")],
    ),
    "leaving_servers_left_alone": evolve(
        NO_VIOLATIONS, drains=[("app-0", RUN_EVENT.at_s - MAX_APPLY_DELAY_S - 0.1, float("inf"))]
    ),
    "statements_of_servers_heeded": evolve(
        NO_VIOLATIONS,
        attempts=[
            evolve(COMPLETE_ATTEMPT, headers={**SEALED_HEADERS, "server-leaving": "1"}),
            evolve(FAILED_ATTEMPT, call_id="late", sent_s=13.0, ended_s=13.1),
        ],
        backend_events=[RUN_EVENT, BackendEvent(13.05, "app-0", "run", "late")],
    ),
    "limits_of_servers_kept": evolve(
        NO_VIOLATIONS,
        attempts=[evolve(COMPLETE_ATTEMPT, kind="many")],
        backend_events=[
            evolve(RUN_EVENT, call_id=f"id-{number}", at_s=11.0 + number / 10.0)
            for number in range(12)
        ],
        faults=[Fault(FaultKind.BACKEND_ANSWERS, "app-0", 9.5, 3.0, "limit_per_s")],
    ),
    "all_served_when_whole": evolve(
        NO_VIOLATIONS, recovered_s=5.0, attempts=[evolve(COMPLETE_ATTEMPT, status=504, headers={})]
    ),
}


def test_nothing_is_reported_where_all_promises_hold() -> None:
    assert broken_promises(NO_VIOLATIONS) == []


@pytest.mark.parametrize("check", sorted(VIOLATIONS))
def test_a_broken_promise_is_reported(check: str) -> None:
    lines = broken_promises(VIOLATIONS[check])
    assert {line.partition(":")[0] for line in lines} == {check}


@pytest.mark.parametrize(
    ("attempt", "is_accepted"),
    [
        (stream(stream_body(ALL_EVENT_NUMBERS)), True),
        (stream(stream_body(ALL_EVENT_NUMBERS[:3]), complete=False), True),
        (stream(stream_body(ALL_EVENT_NUMBERS[:3])), False),
        (stream(stream_body([1, 2, 4]), complete=False), False),
        (stream(stream_body([1, 2, 2]), complete=False), False),
        (stream(stream_body(ALL_EVENT_NUMBERS, "other")), False),
        (evolve(COMPLETE_ATTEMPT, headers={}), False),
        (evolve(COMPLETE_ATTEMPT, headers={**SEALED_HEADERS, "attempt-id": "other"}), False),
        (evolve(COMPLETE_ATTEMPT, status=404), False),
    ],
)
def test_answers_are_judged(attempt: Attempt, is_accepted: bool) -> None:
    lines = broken_promises(evolve(NO_VIOLATIONS, attempts=[attempt]))
    assert (lines == []) is is_accepted


@pytest.mark.parametrize(
    ("arrivals_s", "is_kept"),
    [
        ([10.1, 10.2, 10.3, 10.4], True),
        ([10.7, 11.0], True),
        ([10.7, 11.0, 11.3], False),
        ([11.6, 11.7, 11.8], True),
    ],
)
def test_a_server_that_wants_a_pause_gets_next_to_nothing(
    arrivals_s: list[float], is_kept: bool
) -> None:
    events = [BackendEvent(10.0, "app-0", "paused", "id")]
    attempts = []
    for at_s in arrivals_s:
        attempts.append(evolve(FAILED_ATTEMPT, call_id=str(at_s), sent_s=at_s, ended_s=at_s))
        events.append(BackendEvent(at_s, "app-0", "run", str(at_s)))
    observations = evolve(
        NO_VIOLATIONS, attempts=[*attempts, FAILED_ATTEMPT], backend_events=events
    )
    assert (broken_promises(observations) == []) is is_kept


def test_faults_excuse_only_what_they_touch() -> None:
    late = evolve(COMPLETE_ATTEMPT, ended_s=10.0 + DEADLINE_S + 0.6)
    pause = Fault(FaultKind.HOST_PAUSE, "h", 9.0, 2.0)
    assert broken_promises(evolve(NO_VIOLATIONS, attempts=[late], faults=[pause])) == []
    elsewhere = evolve(pause, target="other")
    assert broken_promises(evolve(NO_VIOLATIONS, attempts=[late], faults=[elsewhere])) != []


# Guards against a promise counted as broken (seed 4011): a cut link was restored two seconds late,
# since the faults are ended one after the other and a host took that long to stop.
def test_a_fault_that_is_ended_late_excuses_for_as_long() -> None:
    cut = Fault(FaultKind.LINK_CUT, "app-0", 5.0, 2.0, "both")
    assert extend_faults([cut], {cut: 9.5})[0].end_s == 9.5
    assert extend_faults([cut], {cut: 6.9}) == [cut]


class RecordingFleet(SoakFleet):
    """Records which targets are said to be disturbed, and what is in progress meanwhile."""

    def __init__(self) -> None:
        self.in_progress: list[str] = []
        self.missing: set[str] = set()

    def begin_fault(self, fault: Fault) -> None:
        self.in_progress.append(fault.target)

    def end_fault(self, fault: Fault) -> None:
        self.in_progress.remove(fault.target)

    def register_changed_roles(self, disturbed: set[str]) -> None:
        self.missing |= set(self.in_progress) - disturbed


# Guards against a question to a paused engine that blocks the soak until it times out (seeds 5026
# and 5027): the link to the engine had been reset, which ended before the pause.
def test_a_target_is_disturbed_until_its_last_fault_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("soak.rounds.RECOVERY_S", 0.0)
    fleet = RecordingFleet()
    pause = Fault(FaultKind.BACKEND_PAUSE, "reader-0", 0.0, 0.5)
    reset = Fault(FaultKind.LINK_RESET, "reader-0", 0.1, 0.1)
    inject_faults(fleet, [pause, reset], time.monotonic())
    assert not fleet.missing


@pytest.mark.parametrize("seed", range(20))
def test_faults_of_one_process_do_not_clash(seed: int) -> None:
    rng = Random(seed)
    faults = draw_faults(rng, draw_size(rng), 10.0)
    assert faults
    assert faults == sorted(faults, key=lambda fault: fault.start_s)
    pauses = [f for f in faults if f.kind in (FaultKind.HOST_PAUSE, FaultKind.HOST_KILL)]
    for one in pauses:
        for other in pauses:
            are_disjoint = one.end_s < other.start_s or other.end_s < one.start_s
            assert one is other or one.target != other.target or are_disjoint


@pytest.mark.parametrize("seed", [4, 8])
def test_a_short_run_keeps_all_promises(seed: int, tmp_path: Path) -> None:
    assert run_seed(seed, 4.0, tmp_path).violations == []


@pytest.mark.parametrize(
    ("events", "is_complete", "fault"),
    [
        ([(1, "v1"), (2, "v1")], False, ""),
        ([(number, "v1") for number in range(1, EVENTS + 1)], True, ""),
        ([(1, "v1"), (2, "v2")], False, "versions ['v1', 'v2']"),
        ([(1, "v1"), (3, "v1")], False, "events [1, 3]"),
        ([(1, "v1"), (1, "v1")], False, "events [1, 1]"),
        ([(1, "v1")], True, "ends as complete after 1 events"),
    ],
)
def test_streams_over_releases_are_judged(
    events: list[tuple[int, str]], is_complete: bool, fault: str
) -> None:
    assert Stream("id", "resumable", list(events), is_complete=is_complete).fault() == fault


# Seeds that have failed: streams went on at another version at a host that had stood still (both),
# and ended as complete when their server was killed (16).
@pytest.mark.parametrize("seed", [15, 16])
def test_no_stream_is_joined_or_cut_over_releases(seed: int, tmp_path: Path) -> None:
    assert run_release_seed(seed, tmp_path) == []

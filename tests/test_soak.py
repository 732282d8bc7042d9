"""The soak itself: a short seeded run, and each promise shown to be seen as broken."""

from pathlib import Path
from random import Random

import pytest
from attrs import evolve

from soak.callers import DEADLINE_S, Attempt
from soak.fleet import APPLY_S, EVENTS, LEASE_S, RETRY_EXTRA, Version
from soak.promises import Deed, Evidence, broken_promises
from soak.rounds import play_seed
from soak.schedule import Fault, FaultKind, draw_faults, draw_size

SEALED = {"server-seal": "seal-app-0", "attempt-id": "id"}
DONE = Attempt("id", "once", "h", 10.0, 200, SEALED, b'{"echo": "id"}', True, None, 10.1)
RUN = Deed(10.05, "app-0", "run", "id")
QUIET = Evidence(0.0, 100.0, [DONE], [RUN], [], [Version(0.0, False)], [])


def stream_body(numbers: list[int], call_id: str = "id") -> bytes:
    return b"".join(f"id: {n}\ndata: {call_id:x<40}\n\n".encode() for n in numbers)


def stream(body: bytes, *, complete: bool = True) -> Attempt:
    return evolve(DONE, kind="resumable", body=body, complete=complete)


WHOLE = list(range(1, EVENTS + 1))
# What breaks each promise, by the name of its check.
BROKEN = {
    "run_at_most_once": evolve(QUIET, deeds=[RUN, evolve(RUN, backend="app-1")]),
    "refused_means_not_run": evolve(QUIET, attempts=[evolve(DONE, status=503, headers={})]),
    "answers_are_whole_and_ones_own": evolve(QUIET, attempts=[evolve(DONE, body=b"other")]),
    "final_answer_in_time": evolve(QUIET, attempts=[evolve(DONE, ended_s=10.0 + DEADLINE_S + 0.6)]),
    "nothing_for_callers_who_left": evolve(
        QUIET, attempts=[evolve(DONE, left_s=9.4, status=None, headers={}, ended_s=9.4)]
    ),
    "extra_sends_within_the_budget": evolve(
        QUIET,
        attempts=[evolve(DONE, kind="many")],
        deeds=[evolve(RUN, at_s=10.05 + n / 100.0) for n in range(RETRY_EXTRA + 3)],
    ),
    "one_holder_orders": evolve(
        QUIET,
        deeds=[
            RUN,
            Deed(1.0, "e", "order", holder="a", term=1),
            Deed(1.0 + LEASE_S - 0.1, "f", "order", holder="b", term=2),
        ],
    ),
    "configuration_in_force": evolve(
        QUIET,
        attempts=[evolve(DONE, kind="extra", status=404, headers={}, sent_s=20.0, ended_s=20.1)],
        deeds=[],
        versions=[Version(0.0, False), Version(20.0 - APPLY_S - 0.1, True)],
    ),
    "leaving_servers_left_alone": evolve(
        QUIET, leaves=[("app-0", RUN.at_s - APPLY_S - 0.1, float("inf"))]
    ),
    "all_served_when_whole": evolve(
        QUIET, calm_s=5.0, attempts=[evolve(DONE, status=504, headers={})]
    ),
}


def test_nothing_is_reported_where_all_promises_hold() -> None:
    assert broken_promises(QUIET) == []


@pytest.mark.parametrize("check", sorted(BROKEN))
def test_a_broken_promise_is_reported(check: str) -> None:
    lines = broken_promises(BROKEN[check])
    assert {line.partition(":")[0] for line in lines} == {check}


@pytest.mark.parametrize(
    ("attempt", "is_good"),
    [
        (stream(stream_body(WHOLE)), True),
        (stream(stream_body(WHOLE[:3]), complete=False), True),
        (stream(stream_body(WHOLE[:3])), False),
        (stream(stream_body([1, 2, 4]), complete=False), False),
        (stream(stream_body([1, 2, 2]), complete=False), False),
        (stream(stream_body(WHOLE, "other")), False),
        (evolve(DONE, headers={}), False),
        (evolve(DONE, headers={**SEALED, "attempt-id": "other"}), False),
        (evolve(DONE, status=404), False),
    ],
)
def test_answers_are_judged(attempt: Attempt, is_good: bool) -> None:
    lines = broken_promises(evolve(QUIET, attempts=[attempt]))
    assert (lines == []) is is_good


def test_faults_excuse_only_what_they_touch() -> None:
    late = evolve(DONE, ended_s=10.0 + DEADLINE_S + 0.6)
    pause = Fault(FaultKind.HOST_PAUSE, "h", 9.0, 2.0)
    assert broken_promises(evolve(QUIET, attempts=[late], faults=[pause])) == []
    elsewhere = evolve(pause, target="other")
    assert broken_promises(evolve(QUIET, attempts=[late], faults=[elsewhere])) != []


@pytest.mark.parametrize("seed", range(20))
def test_faults_of_one_process_do_not_clash(seed: int) -> None:
    rng = Random(seed)
    faults = draw_faults(rng, draw_size(rng), 10.0)
    assert faults
    assert faults == sorted(faults, key=lambda fault: fault.at_s)
    pauses = [f for f in faults if f.kind in (FaultKind.HOST_PAUSE, FaultKind.HOST_KILL)]
    for one in pauses:
        for other in pauses:
            apart = one.until_s < other.at_s or other.until_s < one.at_s
            assert one is other or one.target != other.target or apart


@pytest.mark.parametrize("seed", [4, 8])
def test_a_short_run_keeps_all_promises(seed: int, tmp_path: Path) -> None:
    assert play_seed(seed, 4.0, tmp_path).broken == []

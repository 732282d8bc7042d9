"""The soak test itself: a short seeded run, and evidence that breaks each of its promises."""

from pathlib import Path
from random import Random

import pytest
from attrs import evolve

from soak.callers import DEADLINE_S, Attempt
from soak.fleet import APPLY_S, EVENTS, LEASE_S, RETRY_EXTRA, Version
from soak.promises import Deed, Evidence, broken_promises
from soak.rounds import play_seed
from soak.schedule import Fault, FaultKind, draw_faults, draw_size

RESPONSE_HEADERS = {"server-seal": "seal-app-0", "attempt-id": "id"}
COMPLETED_ATTEMPT = Attempt(
    "id", "once", "h", 10.0, 200, RESPONSE_HEADERS, b'{"echo": "id"}', True, None, 10.1
)
EXECUTION = Deed(10.05, "app-0", "run", "id")
FAULT_FREE_RUN = Evidence(
    0.0, 100.0, [COMPLETED_ATTEMPT], [EXECUTION], [], [Version(0.0, False)], []
)


def stream_body(numbers: list[int], call_id: str = "id") -> bytes:
    return b"".join(f"id: {n}\ndata: {call_id:x<40}\n\n".encode() for n in numbers)


def stream(body: bytes, *, complete: bool = True) -> Attempt:
    return evolve(COMPLETED_ATTEMPT, kind="resumable", body=body, complete=complete)


ALL_EVENTS = list(range(1, EVENTS + 1))
# Evidence that breaks one promise each, by the name of its check.
BROKEN_EVIDENCE = {
    "run_at_most_once": evolve(
        FAULT_FREE_RUN, deeds=[EXECUTION, evolve(EXECUTION, backend="app-1")]
    ),
    "refused_means_not_run": evolve(
        FAULT_FREE_RUN, attempts=[evolve(COMPLETED_ATTEMPT, status=503, headers={})]
    ),
    "answers_are_whole_and_ones_own": evolve(
        FAULT_FREE_RUN, attempts=[evolve(COMPLETED_ATTEMPT, body=b"other")]
    ),
    "final_answer_in_time": evolve(
        FAULT_FREE_RUN, attempts=[evolve(COMPLETED_ATTEMPT, ended_s=10.0 + DEADLINE_S + 0.6)]
    ),
    "nothing_for_callers_who_left": evolve(
        FAULT_FREE_RUN,
        attempts=[evolve(COMPLETED_ATTEMPT, left_s=9.4, status=None, headers={}, ended_s=9.4)],
    ),
    "extra_sends_within_the_budget": evolve(
        FAULT_FREE_RUN,
        attempts=[evolve(COMPLETED_ATTEMPT, kind="many")],
        deeds=[evolve(EXECUTION, at_s=10.05 + n / 100.0) for n in range(RETRY_EXTRA + 3)],
    ),
    "one_holder_orders": evolve(
        FAULT_FREE_RUN,
        deeds=[
            EXECUTION,
            Deed(1.0, "e", "order", holder="a", term=1),
            Deed(1.0 + LEASE_S - 0.1, "f", "order", holder="b", term=2),
        ],
    ),
    "configuration_in_force": evolve(
        FAULT_FREE_RUN,
        attempts=[
            evolve(
                COMPLETED_ATTEMPT, kind="extra", status=404, headers={}, sent_s=20.0, ended_s=20.1
            )
        ],
        deeds=[],
        versions=[Version(0.0, False), Version(20.0 - APPLY_S - 0.1, True)],
    ),
    "leaving_servers_left_alone": evolve(
        FAULT_FREE_RUN, leaves=[("app-0", EXECUTION.at_s - APPLY_S - 0.1, float("inf"))]
    ),
    "all_served_when_whole": evolve(
        FAULT_FREE_RUN, calm_s=5.0, attempts=[evolve(COMPLETED_ATTEMPT, status=504, headers={})]
    ),
}


def test_nothing_is_reported_if_all_promises_hold() -> None:
    assert broken_promises(FAULT_FREE_RUN) == []


@pytest.mark.parametrize("check", sorted(BROKEN_EVIDENCE))
def test_a_broken_promise_is_reported(check: str) -> None:
    lines = broken_promises(BROKEN_EVIDENCE[check])
    assert {line.partition(":")[0] for line in lines} == {check}


@pytest.mark.parametrize(
    ("attempt", "is_good"),
    [
        (stream(stream_body(ALL_EVENTS)), True),
        (stream(stream_body(ALL_EVENTS[:3]), complete=False), True),
        (stream(stream_body(ALL_EVENTS[:3])), False),
        (stream(stream_body([1, 2, 4]), complete=False), False),
        (stream(stream_body([1, 2, 2]), complete=False), False),
        (stream(stream_body(ALL_EVENTS, "other")), False),
        (evolve(COMPLETED_ATTEMPT, headers={}), False),
        (evolve(COMPLETED_ATTEMPT, headers={**RESPONSE_HEADERS, "attempt-id": "other"}), False),
        (evolve(COMPLETED_ATTEMPT, status=404), False),
    ],
)
def test_answers_are_checked(attempt: Attempt, is_good: bool) -> None:
    lines = broken_promises(evolve(FAULT_FREE_RUN, attempts=[attempt]))
    assert (lines == []) is is_good


def test_faults_excuse_only_their_targets() -> None:
    late_attempt = evolve(COMPLETED_ATTEMPT, ended_s=10.0 + DEADLINE_S + 0.6)
    pause = Fault(FaultKind.HOST_PAUSE, "h", 9.0, 2.0)
    assert broken_promises(evolve(FAULT_FREE_RUN, attempts=[late_attempt], faults=[pause])) == []
    pause_of_other_host = evolve(pause, target="other")
    assert (
        broken_promises(
            evolve(FAULT_FREE_RUN, attempts=[late_attempt], faults=[pause_of_other_host])
        )
        != []
    )


@pytest.mark.parametrize("seed", range(20))
def test_faults_of_one_process_do_not_overlap(seed: int) -> None:
    rng = Random(seed)
    faults = draw_faults(rng, draw_size(rng), 10.0)
    assert faults
    assert faults == sorted(faults, key=lambda fault: fault.at_s)
    pauses = [f for f in faults if f.kind in (FaultKind.HOST_PAUSE, FaultKind.HOST_KILL)]
    for first in pauses:
        for second in pauses:
            are_disjoint = first.until_s < second.at_s or second.until_s < first.at_s
            assert first is second or first.target != second.target or are_disjoint


@pytest.mark.parametrize("seed", [4, 8])
def test_a_short_run_keeps_all_promises(seed: int, tmp_path: Path) -> None:
    assert play_seed(seed, 4.0, tmp_path).broken == []

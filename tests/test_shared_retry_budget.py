"""The shared retry budget without a network: hosts that are killed, leave, or know too little."""

from collections.abc import Iterator
from random import Random
from typing import Final

import pytest

from berylquay.decisions.call_arrivals import CallArrivals
from berylquay.decisions.shared_retry_budget import RetryBudgetOptions, SharedRetryBudget

RATIO: Final = 0.2
EXTRA: Final = 60.0
WINDOW_S: Final = 10.0
OPTIONS: Final = RetryBudgetOptions(RATIO, WINDOW_S, EXTRA)
POOL: Final = "lm"
LENGTH_S: Final = 40.0


def make_budget(host_count: int | None) -> SharedRetryBudget:
    budget = SharedRetryBudget(OPTIONS)
    budget.on_host_count(host_count, 0.0)
    return budget


def arrival_times(rng: Random) -> Iterator[float]:
    """Yields the times of requests: few and many by turns."""
    now_s = 0.0
    while now_s < LENGTH_S:
        now_s += rng.expovariate(300.0 if int(now_s) % 7 < 2 else 20.0)
        yield now_s


def assert_within_budget(requests_s: list[float], retries_s: list[float]) -> None:
    """Checks every window; of the requests, those of the busiest of three windows count."""
    for start_s in retries_s[::5]:
        retries = sum(start_s <= at_s < start_s + WINDOW_S for at_s in retries_s)
        requests = max(
            sum(start_s - before_s <= at_s < start_s - before_s + WINDOW_S for at_s in requests_s)
            for before_s in (0.0, WINDOW_S / 2, WINDOW_S)
        )
        assert retries <= RATIO * requests + EXTRA


# Times between kills, and the part of the hosts that each kills.
KILLS: Final = {
    "one": (15.0, 1.0),
    "series": (3.0, 1.0),
    "nine-tenths": (3.0, 0.9),
    "few": (1, 0.1),
}


@pytest.mark.parametrize(("gap_s", "share"), KILLS.values(), ids=KILLS)
@pytest.mark.parametrize("host_count", [1, 3, 77])
@pytest.mark.parametrize("seed", range(3))
def test_hosts_that_are_killed_do_not_spend_their_part_twice(
    gap_s: float, share: float, host_count: int, seed: int
) -> None:
    """Guards against a fresh budget after each start, when every attempt fails."""
    rng = Random(seed)
    budgets = [make_budget(host_count) for _ in range(host_count)]
    requests_s: list[float] = []
    retries_s: list[float] = []
    next_kill_s = 12.0
    for now_s in arrival_times(rng):
        if now_s > next_kill_s:
            next_kill_s += gap_s
            for index in rng.sample(range(host_count), max(1, int(host_count * share))):
                budgets[index] = SharedRetryBudget(OPTIONS, known_since_s=now_s)
                budgets[index].on_host_count(host_count, now_s)
        budget = rng.choice(budgets)
        budget.on_call(POOL, now_s)
        requests_s.append(now_s)
        while rng.random() < 0.9 and budget.reserve(POOL, 1, now_s):
            budget.spend(POOL, now_s)
            retries_s.append(now_s)
    assert retries_s
    assert_within_budget(requests_s, retries_s)


def retries_allowed(budget: SharedRetryBudget, now_s: float) -> int:
    count = 0
    while budget.reserve(POOL, 1, now_s):
        count += 1
    budget.release(POOL, count, now_s)
    return count


@pytest.mark.parametrize(
    ("counts", "now_s", "expected"),
    [
        # The fixed allowance is 60, of which 0.7 are used.
        ([(3, 0.0)], 0.0, 14),
        ([(None, 0.0)], 0.0, 0),
        # More hosts count at once, fewer only after a window.
        ([(3, 0.0), (6, 20.0)], 20.0, 7),
        ([(6, 0.0), (3, 20.0)], 29.9, 7),
        ([(6, 0.0), (3, 20.0)], 30.1, 14),
        ([(6, 0.0), (None, 20.0)], 29.9, 7),
        ([(6, 0.0), (None, 20.0)], 30.1, 0),
        ([(6, 0.0), (3, 20.0), (2, 25.0)], 31.0, 14),
    ],
)
def test_the_part_of_the_fixed_allowance(
    counts: list[tuple[int | None, float]], now_s: float, expected: int
) -> None:
    budget = SharedRetryBudget(OPTIONS)
    for count, at_s in counts:
        budget.on_host_count(count, at_s)
    assert retries_allowed(budget, now_s) == expected


@pytest.mark.parametrize(("age_s", "expected"), [(0.0, 0), (5.0, 3), (9.9, 5), (10.0, 14)])
def test_the_part_of_a_host_that_has_just_started(age_s: float, expected: int) -> None:
    """With three hosts, and a part of 20 of which the process before may have used 0.7."""
    budget = SharedRetryBudget(OPTIONS, known_since_s=100.0)
    budget.on_host_count(3, 100.0)
    assert retries_allowed(budget, 100.0 + age_s) == expected


def test_a_window_without_length_is_no_error() -> None:
    """Guards against a division by the configured length, which may be 0."""
    budget = SharedRetryBudget(RetryBudgetOptions(RATIO, 0.0, EXTRA), known_since_s=5.0)
    budget.on_host_count(3, 5.0)
    assert retries_allowed(budget, 5.0) == 14


# Requests of one call in order, as they end, and how many of the retries are reserved or made
# after each. p: prefill, r: run; accepted, failed (it has arrived), unsent.
ARRIVALS: Final = {
    "answered": [("p", "accepted", 0), ("r", "failed", 0)],
    "prefill-fails": [("p", "failed", 0), ("r", "failed", 1)],
    "prefill-fails-twice": [("p", "failed", 0), ("p", "failed", 1), ("r", "failed", 2)],
    "prefill-again": [("p", "failed", 0), ("p", "accepted", 1), ("r", "failed", 1)],
    "run-fails": [("p", "accepted", 0), ("r", "failed", 0), ("p", "accepted", 2), ("r", "x", 2)],
    "unsent-run": [("p", "accepted", 0), ("r", "unsent", 0), ("r", "failed", 0)],
    "unsent-retry": [("r", "failed", 0), ("r", "unsent", 1), ("r", "failed", 1)],
    "unsent-prefill": [("p", "unsent", 0), ("p", "accepted", 0), ("r", "failed", 0)],
    "prefill-for-unsent-run": [
        ("p", "accepted", 0),
        ("r", "unsent", 0),
        ("p", "accepted", 1),
        ("r", "failed", 1),
    ],
}


@pytest.mark.parametrize("steps", ARRIVALS.values(), ids=ARRIVALS)
def test_what_one_call_takes_from_the_budget(steps: list[tuple[str, str, int]]) -> None:
    """Guards against one question for two requests, and requests nobody asked for."""
    budget = make_budget(1)
    arrivals = CallArrivals(budget, POOL)
    for stage, end, expected in steps:
        may_send = arrivals.reserve_prefill if stage == "p" else arrivals.reserve_run
        assert may_send(1.0)
        state = budget.state(POOL, 1.0)
        assert state.retries + state.reserved == expected
        arrivals.on_sent()
        if end == "accepted":
            arrivals.on_prefill_accepted(1.0)
        elif end == "failed":
            arrivals.on_arrived(1.0)
        elif end == "unsent":
            arrivals.on_not_arrived()
    arrivals.on_ended(1.0)
    assert budget.state(POOL, 1.0).reserved == 0
    assert budget.state(POOL, 1.0).retries == steps[-1][2]


def test_calls_that_fail_together_do_not_all_get_the_last_retry() -> None:
    """Guards against budget that is asked for early, by many calls, and spent late."""
    budget = make_budget(60)
    calls = [CallArrivals(budget, POOL) for _ in range(50)]
    for call in calls:
        budget.on_call(POOL, 1.0)
        assert call.reserve_run(1.0)
        call.on_sent()
        call.on_arrived(1.0)
    assert sum(call.reserve_run(1.0) for call in calls) == int(0.7 * (50 * RATIO + 1.0))

"""Placement and admission under simulated loads of long and short prompts."""

from collections.abc import Callable

import pytest
from attrs import evolve

from berylquay.decisions.route_table import WeightedPool
from tests.relay.test_relay_decisions import ROUTE
from tests.support.prompt_world import (
    ClassOutcome,
    PromptSimulation,
    RequestClass,
    make_engines,
    make_hosts,
)

STREAM = evolve(
    ROUTE, streaming=True, weighted_pools=(WeightedPool("lm", 1.0),), max_event_gap_s=0.15
)
LONG = RequestClass(evolve(STREAM, name="long", objective_s=0.8), 9.0, 9000.0, 0.9)
SHORT = RequestClass(evolve(STREAM, name="short", objective_s=0.3), 15.0, 750.0, 0.7)
MEDIUM = RequestClass(evolve(STREAM, name="medium", objective_s=0.4), 12.0, 2200.0, 0.8)
REQUEST_CLASSES = [LONG, SHORT, MEDIUM]
DURATION_S = 40.0


def steady(_request_class: RequestClass, _now_s: float) -> float:
    return 1.0


def burst_of_long_prompts(request_class: RequestClass, now_s: float) -> float:
    """2.2 times the long prompts for six seconds, more than the engines can prefill."""
    return 2.2 if request_class is LONG and 12.0 <= now_s < 18.0 else 1.0


def alternating_mix(request_class: RequestClass, now_s: float) -> float:
    """High rates of short and of medium prompts alternate every 2.8 s."""
    is_short_phase = int(now_s / 2.8) % 2 == 0
    return (
        1.0
        if request_class is LONG
        else (1.7 if (request_class is SHORT) == is_short_phase else 0.5)
    )


def simulate(
    rate_factor: Callable[[RequestClass, float], float],
    seed: int,
    *,
    admission_enabled: bool = True,
    prefill_engines: int = 3,
) -> dict[str, ClassOutcome]:
    simulation = PromptSimulation(
        seed,
        make_engines(prefill_engines, 2),
        make_hosts(9),
        REQUEST_CLASSES,
        rate_factor,
        admission_enabled=admission_enabled,
    )
    return simulation.run(DURATION_S)


def mean_fraction_in_time(
    name: str, rate_factor: Callable[[RequestClass, float], float], *, admission_enabled: bool
) -> float:
    return (
        sum(
            simulate(rate_factor, seed, admission_enabled=admission_enabled)[name].fraction_in_time
            for seed in range(4)
        )
        / 4.0
    )


@pytest.mark.parametrize("rate_factor", [steady, alternating_mix])
@pytest.mark.parametrize("seed", range(3))
def test_short_prompts_are_in_time_among_long_ones(
    rate_factor: Callable[[RequestClass, float], float], seed: int
) -> None:
    outcomes = simulate(rate_factor, seed)
    assert outcomes["short"].fraction_in_time >= 0.95
    assert outcomes["medium"].fraction_in_time >= 0.9


def test_queueing_late_prompts_keeps_more_in_time_during_a_burst() -> None:
    with_admission = mean_fraction_in_time("long", burst_of_long_prompts, admission_enabled=True)
    first_come_first_served = mean_fraction_in_time(
        "long", burst_of_long_prompts, admission_enabled=False
    )
    assert with_admission >= first_come_first_served + 0.05


@pytest.mark.parametrize("seed", range(3))
def test_no_request_class_is_starved_during_a_burst(seed: int) -> None:
    outcomes = simulate(burst_of_long_prompts, seed)
    for outcome in outcomes.values():
        served = outcome.in_time + outcome.late
        assert served >= 0.7 * (served + outcome.refused)


def test_short_prompts_are_in_time_with_a_third_of_the_prefill_engines_lost() -> None:
    outcomes = simulate(steady, 1, prefill_engines=2)
    assert outcomes["short"].fraction_in_time >= 0.9

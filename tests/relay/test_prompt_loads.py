"""Loads of long and short prompts in a virtual world: who waits, who is refused, what is late."""

from collections.abc import Callable

import pytest
from attrs import evolve

from berylquay.decisions.route_table import WeightedPool
from tests.relay.test_relay_decisions import ROUTE
from tests.support.prompt_world import Kind, Outcome, PromptWorld, make_fleet, make_hosts

STREAM = evolve(
    ROUTE, streaming=True, weighted_pools=(WeightedPool("lm", 1.0),), max_event_gap_s=0.15
)
LONG = Kind(evolve(STREAM, name="long", objective_s=0.8), 9.0, 9000.0, 0.9)
SHORT = Kind(evolve(STREAM, name="short", objective_s=0.3), 15.0, 750.0, 0.7)
MIDDLE = Kind(evolve(STREAM, name="middle", objective_s=0.4), 12.0, 2200.0, 0.8)
KINDS = [LONG, SHORT, MIDDLE]
LENGTH_S = 40.0


def steady(_kind: Kind, _now_s: float) -> float:
    return 1.0


def burst_of_long_prompts(kind: Kind, now_s: float) -> float:
    """Twice as many long prompts for six seconds, beyond what the engines read."""
    return 2.2 if kind is LONG and 12.0 <= now_s < 18.0 else 1.0


def mix_that_alternates(kind: Kind, now_s: float) -> float:
    """Short and middle prompts swing against each other every 2.8 s."""
    early = int(now_s / 2.8) % 2 == 0
    return 1.0 if kind is LONG else (1.7 if (kind is SHORT) == early else 0.5)


def play(
    load: Callable[[Kind, float], float], seed: int, *, admits: bool = True, readers: int = 3
) -> dict[str, Outcome]:
    world = PromptWorld(seed, make_fleet(readers, 2), make_hosts(9), KINDS, load, admits=admits)
    return world.run(LENGTH_S)


def mean_share(kind: str, load: Callable[[Kind, float], float], *, admits: bool) -> float:
    return sum(play(load, seed, admits=admits)[kind].share_in_time for seed in range(4)) / 4.0


@pytest.mark.parametrize("load", [steady, mix_that_alternates])
@pytest.mark.parametrize("seed", range(3))
def test_short_prompts_are_in_time_beside_long_ones(
    load: Callable[[Kind, float], float], seed: int
) -> None:
    outcomes = play(load, seed)
    assert outcomes["short"].share_in_time >= 0.95
    assert outcomes["middle"].share_in_time >= 0.9


def test_holding_back_late_prompts_keeps_more_in_time_through_a_burst() -> None:
    held = mean_share("long", burst_of_long_prompts, admits=True)
    first_come = mean_share("long", burst_of_long_prompts, admits=False)
    assert held >= first_come + 0.05


@pytest.mark.parametrize("seed", range(3))
def test_no_kind_is_starved_through_a_burst(seed: int) -> None:
    outcomes = play(burst_of_long_prompts, seed)
    for outcome in outcomes.values():
        served = outcome.in_time + outcome.late
        assert served >= 0.7 * (served + outcome.refused)


def test_the_loss_of_a_third_of_the_readers_leaves_short_prompts_in_time() -> None:
    outcomes = play(steady, 1, readers=2)
    assert outcomes["short"].share_in_time >= 0.9

"""Role planning: one change at a time, within floor and budget, and only when it pays."""

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from berylquay.decisions.engine_speed import EngineSpeed
from berylquay.decisions.fleet import Role
from berylquay.decisions.forecast_role_planner import ForecastRolePlanner, RolePlannerOptions
from berylquay.decisions.rate_forecast import RateForecast
from berylquay.decisions.roles import Demand, EngineRole, GreedyRolePlanner, RoleCounts, count_roles

SPEED = EngineSpeed()
CHANGE_S = 10.0
rates = st.floats(min_value=0.0, max_value=8.0)
demands = st.lists(st.builds(Demand, rates, rates), min_size=1, max_size=60)
pools = st.lists(st.sampled_from(Role), min_size=1, max_size=9)


def make_engines(roles: list[Role]) -> list[EngineRole]:
    return [EngineRole(f"e{number}", role) for number, role in enumerate(roles)]


def serves(counts: RoleCounts) -> bool:
    return min(counts.prefill, counts.decode) + counts.mixed >= 1


@settings(max_examples=200, deadline=None, derandomize=True)
@given(roles=pools, samples=demands, weight=st.floats(0.0, 1.0))
def test_changes_keep_floor_and_budget_and_come_one_at_a_time(
    roles: list[Role], samples: list[Demand], weight: float
) -> None:
    limits = RolePlannerOptions(role_change_weight=weight, changes_per_hour=4)
    planner = ForecastRolePlanner(SPEED, limits)
    engines = make_engines(roles)
    made = 0
    for step, demand in enumerate(samples):
        served_before = serves(count_roles(engines))
        changes = planner.plan(engines, demand, step * CHANGE_S)
        assert len(changes) <= 1
        made += len(changes)
        for change in changes:
            engines = [
                evolve(engine, role=change.role) if engine.name == change.backend else engine
                for engine in engines
            ]
        if served_before:
            assert serves(count_roles(engines))
    assert made <= limits.changes_per_hour


@settings(max_examples=100, deadline=None, derandomize=True)
@given(roles=pools, samples=demands)
def test_nothing_is_planned_while_a_change_is_under_way(
    roles: list[Role], samples: list[Demand]
) -> None:
    engines = [evolve(engine, changing=True) for engine in make_engines(roles)]
    for planner in (
        ForecastRolePlanner(SPEED, RolePlannerOptions(role_change_weight=0.0)),
        GreedyRolePlanner(SPEED),
    ):
        for step, demand in enumerate(samples):
            assert not planner.plan(engines, demand, step * CHANGE_S)


def test_a_lasting_shift_to_prompts_brings_engines_to_prefill() -> None:
    planner = ForecastRolePlanner(SPEED, RolePlannerOptions(role_change_weight=0.2))
    engines = make_engines([Role.PREFILL, Role.DECODE, Role.DECODE])
    changes = [
        change
        for step in range(12)
        for change in planner.plan(engines, Demand(1.6, 0.4), step * CHANGE_S)
    ]
    assert changes
    assert changes[0].role is not Role.DECODE


def test_the_full_weight_avoids_every_change() -> None:
    planner = ForecastRolePlanner(SPEED, RolePlannerOptions(role_change_weight=1.0))
    engines = make_engines([Role.PREFILL, Role.DECODE, Role.DECODE])
    for step in range(12):
        assert not planner.plan(engines, Demand(1.6, 0.4), step * CHANGE_S)


def test_a_forecast_follows_its_trend_and_stays_above_zero() -> None:
    rising, falling = RateForecast(), RateForecast()
    for step in range(30):
        rising.observe(step * 0.1, step * 5.0)
        falling.observe(3.0 - step * 0.1, step * 5.0)
    assert rising.rate_after(30.0) > 2.9
    assert falling.rate_after(600.0) == 0.0

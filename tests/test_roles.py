"""Role planning: one change at a time, within capacity and budget, only if it is worthwhile."""

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


def can_serve(counts: RoleCounts) -> bool:
    return min(counts.prefill, counts.decode) + counts.mixed >= 1


@settings(max_examples=200, deadline=None, derandomize=True)
@given(roles=pools, samples=demands, weight=st.floats(0.0, 1.0))
def test_role_changes_come_one_at_a_time_and_keep_capacity_and_budget(
    roles: list[Role], samples: list[Demand], weight: float
) -> None:
    options = RolePlannerOptions(role_change_weight=weight, changes_per_hour=4)
    planner = ForecastRolePlanner(SPEED, options)
    engines = make_engines(roles)
    change_count = 0
    for step, demand in enumerate(samples):
        could_serve = can_serve(count_roles(engines))
        changes = planner.plan(engines, demand, step * CHANGE_S)
        assert len(changes) <= 1
        change_count += len(changes)
        for change in changes:
            engines = [
                evolve(engine, role=change.role) if engine.name == change.backend else engine
                for engine in engines
            ]
        if could_serve:
            assert can_serve(count_roles(engines))
    assert change_count <= options.changes_per_hour


@settings(max_examples=100, deadline=None, derandomize=True)
@given(roles=pools, samples=demands)
def test_nothing_is_planned_while_a_change_is_in_progress(
    roles: list[Role], samples: list[Demand]
) -> None:
    engines = [evolve(engine, changing=True) for engine in make_engines(roles)]
    for planner in (
        ForecastRolePlanner(SPEED, RolePlannerOptions(role_change_weight=0.0)),
        GreedyRolePlanner(SPEED),
    ):
        for step, demand in enumerate(samples):
            assert not planner.plan(engines, demand, step * CHANGE_S)


def test_a_lasting_shift_to_prefill_load_moves_engines_to_prefill() -> None:
    planner = ForecastRolePlanner(SPEED, RolePlannerOptions(role_change_weight=0.2))
    engines = make_engines([Role.PREFILL, Role.DECODE, Role.DECODE])
    changes = [
        change
        for step in range(12)
        for change in planner.plan(engines, Demand(1.6, 0.4), step * CHANGE_S)
    ]
    assert changes
    assert changes[0].role is not Role.DECODE


def test_the_full_role_change_weight_prevents_every_change() -> None:
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

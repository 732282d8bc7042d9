"""Targets of the policy in virtual time, at the stated bounds; every run gives the same verdict."""

from functools import cache

import pytest
from attrs import evolve

from bench.knob import weight_curve
from bench.measures import percentile_95
from bench.policies import BASELINES, PLANNED
from bench.scenarios import FleetSpec, read_fleet, read_scenarios
from bench.table import Result, run_scenario

SEED = 1
FLEETS = ("jamiat", "meskel")
SCENARIOS = {scenario.name: scenario for scenario in read_scenarios()}
SHIFTS = tuple(name for name, scenario in SCENARIOS.items() if scenario.group == "shift")
# The slow drift is compared with the baselines only by `python -m bench table`, for CI's time.
COMPARED = ("long-to-short", "swing", "prefill-share-half")
LOADS = ("load-0.7", "load-1.0", "load-1.3", "load-2.0")

on_each_fleet = pytest.mark.parametrize("fleet", FLEETS)


@cache
def fleet_of(name: str) -> FleetSpec:
    return read_fleet(name)


@cache
def planned(fleet: str, scenario: str) -> Result:
    return run_scenario(fleet_of(fleet), SCENARIOS[scenario], [PLANNED], SEED)[0]


@cache
def baselines(fleet: str, scenario: str) -> dict[str, Result]:
    results = run_scenario(fleet_of(fleet), SCENARIOS[scenario], BASELINES, SEED)
    return {result.policies.name: result for result in results}


@on_each_fleet
@pytest.mark.parametrize("scenario", SHIFTS)
def test_goodput_is_nine_tenths_of_the_bound_through_a_shift(fleet: str, scenario: str) -> None:
    assert planned(fleet, scenario).fraction_of_bound >= 0.9


@on_each_fleet
@pytest.mark.parametrize("scenario", COMPARED)
def test_goodput_is_never_below_the_best_baseline(fleet: str, scenario: str) -> None:
    best = max(result.measures.goodput for result in baselines(fleet, scenario).values())
    assert planned(fleet, scenario).measures.goodput >= best


@on_each_fleet
@pytest.mark.parametrize("scenario", COMPARED)
def test_role_changes_are_a_quarter_of_the_greedy_ones(fleet: str, scenario: str) -> None:
    greedy = baselines(fleet, scenario)["greedy"].measures.role_changes
    assert planned(fleet, scenario).measures.role_changes <= greedy / 4


@on_each_fleet
def test_goodput_keeps_within_a_twentieth_of_its_peak_past_saturation(fleet: str) -> None:
    goodputs = [planned(fleet, load).measures.goodput for load in LOADS]
    assert goodputs[-1] >= 0.95 * max(goodputs)
    assert goodputs[-2] >= 0.95 * max(goodputs[:-1])


@on_each_fleet
def test_a_flood_leaves_the_other_tenants_their_share(fleet: str) -> None:
    measures = planned(fleet, "flood").measures
    tenants = fleet_of(fleet).deployment.tenants
    shares = sum(tenant.share for tenant in tenants)
    done = measures.completed_in_middle.total()
    for tenant in tenants[1:]:
        owned = min(measures.offered_in_middle[tenant.name], done * tenant.share / shares)
        assert measures.completed_in_middle[tenant.name] >= 0.95 * owned


@on_each_fleet
def test_a_heeded_retry_after_is_admitted_nine_times_in_ten(fleet: str) -> None:
    measures = planned(fleet, "heeding").measures
    assert measures.retry_after_submissions > 0
    assert measures.retry_after_admitted >= 0.9 * measures.retry_after_submissions


@on_each_fleet
def test_retries_add_a_tenth_to_the_offered_load_at_most(fleet: str) -> None:
    measures = planned(fleet, "retries").measures
    again = measures.submissions - measures.offered + measures.retries
    assert again <= 0.1 * measures.offered


@on_each_fleet
def test_a_crash_makes_retries_of_a_tenth_at_most(fleet: str) -> None:
    measures = planned(fleet, "crash").measures
    assert measures.retries <= 0.1 * measures.offered


@on_each_fleet
def test_the_first_token_comes_within_half_a_second(fleet: str) -> None:
    assert percentile_95(planned(fleet, "load-0.7").measures.times_to_first_token_s) <= 0.5


@on_each_fleet
def test_tokens_follow_within_45_ms(fleet: str) -> None:
    assert percentile_95(planned(fleet, "load-0.7").measures.token_intervals_s) <= 0.045


@pytest.mark.parametrize("seeds", [1, 3])
def test_the_knob_moves_both_measures_the_way_it_says(seeds: int) -> None:
    scenario = evolve(SCENARIOS["swing"], duration_s=320.0)
    points = weight_curve(fleet_of("meskel"), scenario, (0.0, 0.6, 0.9), seeds=seeds)
    changes = [point.changes_per_hour for point in points]
    goodputs = [point.fraction_of_bound for point in points]
    assert changes[0] > changes[1] > changes[2]
    assert goodputs[0] >= goodputs[1] > goodputs[2]

"""Plans of servers by data centre: cost, spread, limits, and capacity."""

import pytest
from attrs import evolve

from berylquay.decisions.scaling.capacity import ServerSpeed, Utilisation, needed_servers
from berylquay.decisions.scaling.demand import PoolLoad, add_loads
from berylquay.decisions.scaling.plan import Need, ScalingZone, ServerCounts, cheapest_plan

SPOT_PRICE = 0.18
ZONES = [
    ScalingZone(name, index, price, 1, 15, 15, 15, ServerCounts())
    for index, (name, price) in enumerate((("atlas-a", 0.85), ("atlas-b", 1.0), ("atlas-c", 1.2)))
]


def test_spot_servers_are_spread_and_replace_the_loss_of_a_data_centre() -> None:
    """Guards against callers that are refused after one data centre's spot servers are gone."""
    plan = cheapest_plan(Need(10, 9), ZONES, SPOT_PRICE)
    assert all(count.on_demand == 0 and count.spot > 0 for count in plan.values())
    assert sum(count.spot for count in plan.values()) - max(c.spot for c in plan.values()) >= 9


def test_on_demand_servers_are_used_where_spot_servers_are_refused() -> None:
    """Guards against too few servers while a data centre has no spot servers."""
    zones = [evolve(ZONES[0], max_spot=0), evolve(ZONES[1], max_spot=0), ZONES[2]]
    plan = cheapest_plan(Need(10, 9), zones, SPOT_PRICE)
    # All spot servers may be lost: the on-demand ones are enough without them.
    assert sum(count.on_demand for count in plan.values()) >= 9
    assert plan["atlas-a"].on_demand > plan["atlas-b"].on_demand


@pytest.mark.parametrize("total", [0, 1, 7, 20, 44, 90])
def test_limits_apply_to_both_kinds_together(total: int) -> None:
    """Guards against orders that the platform must refuse."""
    plan = cheapest_plan(Need(total, total), ZONES, SPOT_PRICE)
    assert all(1 <= count.total <= 15 for count in plan.values())
    if total > 30:
        # Even on-demand servers alone reach the limits.
        assert sum(count.total for count in plan.values()) >= min(total, 45)


def test_servers_that_are_present_are_not_exchanged_at_equal_prices() -> None:
    """Guards against boots and drains that gain nothing."""
    zones = [
        evolve(zone, price=1.0, ordered=ServerCounts(0, spot))
        for zone, spot in zip(ZONES, (3, 4, 4), strict=True)
    ]
    plan = cheapest_plan(Need(8, 7), zones, SPOT_PRICE)
    assert [count.spot for count in plan.values()] == [3, 4, 4]


def test_the_capacity_follows_prompts_and_streams() -> None:
    """Guards against plans that see only one of prefill and decode."""
    speed, utilisation = ServerSpeed(16, is_engine=True), Utilisation(0.65, 0.8)
    prompts = PoolLoad(100.0, prefill_tokens_per_s=400_000.0)
    streams = PoolLoad(100.0, open_calls=60.0, call_s=0.6)
    both = needed_servers(add_loads([prompts, streams]), speed, utilisation, 45)
    alone = [needed_servers(load, speed, utilisation, 45) for load in (prompts, streams)]
    assert min(alone) > 1
    assert both >= max(alone)
    slow = needed_servers(prompts, evolve(speed, prefill_slowdown=1.5), utilisation, 45)
    assert slow > alone[0]


def test_a_pool_without_engines_is_sized_by_its_slots() -> None:
    speed = ServerSpeed(8, is_engine=False)
    load = PoolLoad(100.0, open_calls=10.0, call_s=0.3)
    # 100 requests a second of 0.3 s occupy 30 slots.
    assert needed_servers(load, speed, Utilisation(0.65, 0.75), 45) == 5

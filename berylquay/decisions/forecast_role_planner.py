"""The role planner in use: a change must win more over the horizon than it costs.

The gain is the work that could be served with the other roles and not with the present ones, over
the horizon, under the forecast demand. It is weighed against the engine seconds that the changes
take and, by the operator's `role_change_weight`, against the number of changes.
"""

import math
from collections import deque
from collections.abc import Sequence
from typing import Final

from attrs import frozen

from berylquay.decisions.engine_speed import EngineSpeed
from berylquay.decisions.fleet import Role
from berylquay.decisions.rate_forecast import RateForecast
from berylquay.decisions.roles import (
    Demand,
    EngineRole,
    RoleChange,
    RoleCounts,
    changes_towards,
    count_roles,
)

HOUR_S: Final = 3600.0


@frozen
class RolePlannerOptions:
    """Bounds and prices of role changes."""

    # Weight of role changes against goodput, as the deployment has it: 0 to 1.
    role_change_weight: float = 0.5
    # Most changes in an hour.
    changes_per_hour: int = 12
    # Fewest engines that can take each part of a generation.
    min_per_role: int = 1
    # Time over which a change must pay.
    horizon_s: float = 120.0
    # Time for which a change takes the engine away, its drain included.
    change_downtime_s: float = 25.0
    # Part of the capacity up to which engines can be filled before queues grow.
    usable_capacity_fraction: float = 0.75
    # Engine seconds that one change is worth at weight 0.5.
    change_cost_s: float = 15.0
    # Weight of the demand of the last while against the forecast one, so that a swing that comes
    # back does not win a change each way.
    recent_demand_weight: float = 0.5
    # Time over which that demand is taken.
    recent_demand_window_s: float = 60.0
    # Shortest time between two changes in a pool.
    min_change_interval_s: float = 20.0


class ForecastRolePlanner:
    """Plans one change at a time by its gain over the horizon."""

    # Rates of the pool's engines.
    _speed: EngineSpeed
    # Bounds and prices.
    _options: RolePlannerOptions
    # Expected demand on prompts and on outputs.
    _prefill_forecast: RateForecast
    _decode_forecast: RateForecast
    # Demand of the last while, without its trend.
    _recent_prefill: RateForecast
    _recent_decode: RateForecast
    # Times of the changes of the last hour.
    _changed_s: deque[float]

    def __init__(self, speed: EngineSpeed, limits: RolePlannerOptions | None = None) -> None:
        self._speed = speed
        self._options = limits or RolePlannerOptions()
        self._prefill_forecast = RateForecast()
        self._decode_forecast = RateForecast()
        self._recent_prefill = RateForecast(self._options.recent_demand_window_s, math.inf)
        self._recent_decode = RateForecast(self._options.recent_demand_window_s, math.inf)
        self._changed_s = deque()

    def plan(
        self, engines: Sequence[EngineRole], demand: Demand, now_s: float
    ) -> Sequence[RoleChange]:
        """Returns the one change to order now, or none."""
        self._prefill_forecast.observe(demand.prefill, now_s)
        self._decode_forecast.observe(demand.decode, now_s)
        self._recent_prefill.observe(demand.prefill, now_s)
        self._recent_decode.observe(demand.decode, now_s)
        if any(engine.changing for engine in engines) or not self._may_change(now_s):
            return ()
        target = self._best_target(count_roles(engines))
        if target is None:
            return ()
        self._changed_s.append(now_s)
        return changes_towards(engines, target)[:1]

    def _may_change(self, now_s: float) -> bool:
        while self._changed_s and self._changed_s[0] <= now_s - HOUR_S:
            self._changed_s.popleft()
        if len(self._changed_s) >= self._options.changes_per_hour:
            return False
        return (
            not self._changed_s
            or now_s - self._changed_s[-1] >= self._options.min_change_interval_s
        )

    def _best_target(self, present: RoleCounts) -> RoleCounts | None:
        half_s = self._options.horizon_s / 2.0
        forecast = Demand(
            self._prefill_forecast.rate_after(half_s), self._decode_forecast.rate_after(half_s)
        )
        recent = Demand(self._recent_prefill.rate_after(0.0), self._recent_decode.rate_after(0.0))

        def gain_s(target: RoleCounts) -> float:
            part = self._options.recent_demand_weight
            usual_s = self._gain_s(present, target, recent)
            return (1.0 - part) * self._gain_s(present, target, forecast) + part * usual_s

        options = [option for option in _reachable_counts(present) if self._meets_minimum(option)]
        best = max(options, key=gain_s, default=None)
        return best if best is not None and gain_s(best) > 0.0 else None

    def _meets_minimum(self, counts: RoleCounts) -> bool:
        floor = self._options.min_per_role
        return min(counts.prefill, counts.decode) + counts.mixed >= floor

    def _gain_s(self, present: RoleCounts, target: RoleCounts, demand: Demand) -> float:
        """Returns the engine seconds won over the horizon, less what the changes cost."""
        changes = _change_count(present, target)
        downtime_s = changes * self._options.change_downtime_s
        gained = self._served(target, demand) - self._served(present, demand)
        lost = self._served(present, demand) - self._served(_without_one(present), demand)
        cost_s = self._options.change_cost_s * self._options.role_change_weight
        cost_s /= max(1.0 - self._options.role_change_weight, 0.01)
        return (
            gained * (self._options.horizon_s - downtime_s) - lost * downtime_s - cost_s * changes
        )

    def _served(self, counts: RoleCounts, demand: Demand) -> float:
        """Returns the work per second that the engines would serve."""
        capacity = (
            counts.capacity_ratio(demand, self._speed) * self._options.usable_capacity_fraction
        )
        return min(1.0, capacity) * demand.total


def _reachable_counts(present: RoleCounts) -> list[RoleCounts]:
    """Returns the role counts that one or two changes lead to."""
    once = set(_counts_after_one_change(present))
    twice = {moved for each in once for moved in _counts_after_one_change(each)}
    return sorted((once | twice) - {present}, key=_sort_key)


def _counts_after_one_change(counts: RoleCounts) -> list[RoleCounts]:
    values = {role: counts.count(role) for role in Role}
    results = []
    for from_role in Role:
        for to_role in Role:
            if from_role is not to_role and values[from_role] > 0:
                after = {**values, from_role: values[from_role] - 1, to_role: values[to_role] + 1}
                results.append(
                    RoleCounts(after[Role.PREFILL], after[Role.DECODE], after[Role.MIXED])
                )
    return results


def _sort_key(counts: RoleCounts) -> tuple[int, int, int]:
    return counts.prefill, counts.decode, counts.mixed


def _change_count(one: RoleCounts, other: RoleCounts) -> int:
    return sum(max(0, other.count(role) - one.count(role)) for role in Role)


def _without_one(counts: RoleCounts) -> RoleCounts:
    """Returns the counts with one engine less of the role that has most."""
    most = max(Role, key=counts.count)
    less = {role: counts.count(role) - (role is most) for role in Role}
    return RoleCounts(less[Role.PREFILL], less[Role.DECODE], less[Role.MIXED])

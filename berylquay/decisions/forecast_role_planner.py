"""The role planner in use: a role change must gain more over the horizon than it costs.

The gain is the work that the target roles could serve over the horizon beyond what the present ones
can, under the forecast demand. It is weighed against the engine seconds that the changes take and,
by the operator's `role_change_weight`, against the number of changes.
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
    """Limits and costs of role changes."""

    # Weight of role changes against goodput, from the deployment: 0 to 1.
    role_change_weight: float = 0.5
    # Most changes in an hour.
    changes_per_hour: int = 12
    # Fewest engines that can prefill, and fewest that can decode; mixed engines count for both.
    min_per_role: int = 1
    # Time within which a change must pay off.
    horizon_s: float = 120.0
    # Time for which a change makes the engine unavailable, including its drain.
    change_downtime_s: float = 25.0
    # Fraction of the capacity up to which engines can be utilised before queues grow.
    usable_capacity_fraction: float = 0.75
    # Engine seconds that one change is charged as at weight 0.5.
    change_cost_s: float = 15.0
    # Weight of the recent demand against the forecast one, so that demand that swings back and
    # forth does not cause a change each way.
    recent_demand_weight: float = 0.5
    # Time over which the recent demand is averaged.
    recent_demand_window_s: float = 60.0
    # Shortest time between two changes in a pool.
    min_change_interval_s: float = 20.0


class ForecastRolePlanner:
    """Plans one role change at a time by its gain over the horizon."""

    # Rates of the pool's engines.
    _speed: EngineSpeed
    # Limits and costs.
    _options: RolePlannerOptions
    # Forecast demand for prefill and for decode.
    _prefill_forecast: RateForecast
    _decode_forecast: RateForecast
    # Recent demand, without a trend.
    _recent_prefill: RateForecast
    _recent_decode: RateForecast
    # Monotonic times of the changes in the last hour.
    _changed_s: deque[float]

    def __init__(self, speed: EngineSpeed, options: RolePlannerOptions | None = None) -> None:
        self._speed = speed
        self._options = options or RolePlannerOptions()
        self._prefill_forecast = RateForecast()
        self._decode_forecast = RateForecast()
        self._recent_prefill = RateForecast(self._options.recent_demand_window_s, math.inf)
        self._recent_decode = RateForecast(self._options.recent_demand_window_s, math.inf)
        self._changed_s = deque()

    def plan(
        self, engines: Sequence[EngineRole], demand: Demand, now_s: float
    ) -> Sequence[RoleChange]:
        """Returns the one change to order now, or an empty sequence."""
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
            weight = self._options.recent_demand_weight
            recent_gain_s = self._gain_s(present, target, recent)
            return (1.0 - weight) * self._gain_s(present, target, forecast) + weight * recent_gain_s

        targets = [target for target in _reachable_counts(present) if self._meets_minimum(target)]
        best = max(targets, key=gain_s, default=None)
        return best if best is not None and gain_s(best) > 0.0 else None

    def _meets_minimum(self, counts: RoleCounts) -> bool:
        minimum = self._options.min_per_role
        return min(counts.prefill, counts.decode) + counts.mixed >= minimum

    def _gain_s(self, present: RoleCounts, target: RoleCounts, demand: Demand) -> float:
        """Returns the engine seconds gained over the horizon, less the cost of the changes."""
        changes = _change_count(present, target)
        downtime_s = changes * self._options.change_downtime_s
        gained = self._served_work(target, demand) - self._served_work(present, demand)
        lost = self._served_work(present, demand) - self._served_work(
            _without_one_engine(present), demand
        )
        cost_s = self._options.change_cost_s * self._options.role_change_weight
        cost_s /= max(1.0 - self._options.role_change_weight, 0.01)
        return (
            gained * (self._options.horizon_s - downtime_s) - lost * downtime_s - cost_s * changes
        )

    def _served_work(self, counts: RoleCounts, demand: Demand) -> float:
        """Returns the work per second that the engines would serve, in engine seconds."""
        capacity = (
            counts.capacity_ratio(demand, self._speed) * self._options.usable_capacity_fraction
        )
        return min(1.0, capacity) * demand.total


def _reachable_counts(present: RoleCounts) -> list[RoleCounts]:
    """Returns the role counts that one or two changes lead to, in a fixed order."""
    after_one = set(_counts_after_one_change(present))
    after_two = {counts for first in after_one for counts in _counts_after_one_change(first)}
    return sorted((after_one | after_two) - {present}, key=_sort_key)


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


def _without_one_engine(counts: RoleCounts) -> RoleCounts:
    """Returns the counts with one engine fewer in the role that has the most."""
    most = max(Role, key=counts.count)
    reduced = {role: counts.count(role) - (role is most) for role in Role}
    return RoleCounts(reduced[Role.PREFILL], reduced[Role.DECODE], reduced[Role.MIXED])

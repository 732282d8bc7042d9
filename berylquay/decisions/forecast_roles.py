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

from berylquay.decisions.fleet import Role
from berylquay.decisions.forecast import Forecast
from berylquay.decisions.roles import (
    Demand,
    EngineRole,
    RoleChange,
    RoleCounts,
    changes_towards,
    count_roles,
)
from berylquay.decisions.speeds import EngineSpeed

HOUR_S: Final = 3600.0


@frozen
class RoleLimits:
    """Bounds and prices of role changes."""

    # Weight of role changes against goodput, as the deployment has it: 0 to 1.
    weight: float = 0.5
    # Most changes in an hour.
    changes_per_hour: int = 12
    # Fewest engines that can take each part of a generation.
    min_per_role: int = 1
    # Time over which a change must pay.
    horizon_s: float = 120.0
    # Time for which a change takes the engine away, its drain included.
    change_s: float = 25.0
    # Part of the capacity up to which engines can be filled before queues grow.
    fill: float = 0.75
    # Engine seconds that one change is worth at weight 0.5.
    change_price_s: float = 15.0
    # Weight of the demand of the last while against the forecast one, so that a swing that comes
    # back does not win a change each way.
    usual_part: float = 0.5
    # Time over which that demand is taken.
    usual_window_s: float = 60.0
    # Shortest time between two changes in a pool.
    pause_s: float = 20.0


class ForecastRoles:
    """Plans one change at a time by its gain over the horizon."""

    # Rates of the pool's engines.
    _speed: EngineSpeed
    # Bounds and prices.
    _limits: RoleLimits
    # Expected demand on prompts and on outputs.
    _prefill: Forecast
    _decode: Forecast
    # Demand of the last while, without its trend.
    _usual_prefill: Forecast
    _usual_decode: Forecast
    # Times of the changes of the last hour.
    _changed_s: deque[float]

    def __init__(self, speed: EngineSpeed, limits: RoleLimits | None = None) -> None:
        self._speed = speed
        self._limits = limits or RoleLimits()
        self._prefill = Forecast()
        self._decode = Forecast()
        self._usual_prefill = Forecast(self._limits.usual_window_s, math.inf)
        self._usual_decode = Forecast(self._limits.usual_window_s, math.inf)
        self._changed_s = deque()

    def plan(
        self, engines: Sequence[EngineRole], demand: Demand, now_s: float
    ) -> Sequence[RoleChange]:
        """Returns the one change to order now, or none."""
        self._prefill.observe(demand.prefill, now_s)
        self._decode.observe(demand.decode, now_s)
        self._usual_prefill.observe(demand.prefill, now_s)
        self._usual_decode.observe(demand.decode, now_s)
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
        if len(self._changed_s) >= self._limits.changes_per_hour:
            return False
        return not self._changed_s or now_s - self._changed_s[-1] >= self._limits.pause_s

    def _best_target(self, present: RoleCounts) -> RoleCounts | None:
        half_s = self._limits.horizon_s / 2.0
        soon = Demand(self._prefill.at(half_s), self._decode.at(half_s))
        usual = Demand(self._usual_prefill.at(0.0), self._usual_decode.at(0.0))

        def gain_s(target: RoleCounts) -> float:
            part = self._limits.usual_part
            usual_s = self._gain_s(present, target, usual)
            return (1.0 - part) * self._gain_s(present, target, soon) + part * usual_s

        options = [option for option in _near(present) if self._keeps_floor(option)]
        best = max(options, key=gain_s, default=None)
        return best if best is not None and gain_s(best) > 0.0 else None

    def _keeps_floor(self, counts: RoleCounts) -> bool:
        floor = self._limits.min_per_role
        return min(counts.prefill, counts.decode) + counts.mixed >= floor

    def _gain_s(self, present: RoleCounts, target: RoleCounts, demand: Demand) -> float:
        """Returns the engine seconds won over the horizon, less what the changes cost."""
        changes = _distance(present, target)
        away_s = changes * self._limits.change_s
        won = self._served(target, demand) - self._served(present, demand)
        lost = self._served(present, demand) - self._served(_without_one(present), demand)
        price_s = self._limits.change_price_s * self._limits.weight
        price_s /= max(1.0 - self._limits.weight, 0.01)
        return won * (self._limits.horizon_s - away_s) - lost * away_s - price_s * changes

    def _served(self, counts: RoleCounts, demand: Demand) -> float:
        """Returns the work per second that the engines would serve."""
        capacity = counts.capacity(demand, self._speed) * self._limits.fill
        return min(1.0, capacity) * demand.total


def _near(present: RoleCounts) -> list[RoleCounts]:
    """Returns the role counts that one or two changes lead to."""
    once = set(_moves(present))
    twice = {moved for each in once for moved in _moves(each)}
    return sorted((once | twice) - {present}, key=_order)


def _moves(counts: RoleCounts) -> list[RoleCounts]:
    values = {role: counts.of(role) for role in Role}
    moved = []
    for giver in Role:
        for taker in Role:
            if giver is not taker and values[giver] > 0:
                after = {**values, giver: values[giver] - 1, taker: values[taker] + 1}
                moved.append(RoleCounts(after[Role.PREFILL], after[Role.DECODE], after[Role.MIXED]))
    return moved


def _order(counts: RoleCounts) -> tuple[int, int, int]:
    return counts.prefill, counts.decode, counts.mixed


def _distance(one: RoleCounts, other: RoleCounts) -> int:
    return sum(max(0, other.of(role) - one.of(role)) for role in Role)


def _without_one(counts: RoleCounts) -> RoleCounts:
    """Returns the counts with one engine less of the role that has most."""
    most = max(Role, key=counts.of)
    less = {role: counts.of(role) - (role is most) for role in Role}
    return RoleCounts(less[Role.PREFILL], less[Role.DECODE], less[Role.MIXED])

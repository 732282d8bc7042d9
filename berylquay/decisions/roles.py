"""Role planning: decides when engines of a pool change between prefill, decode and mixed.

The controller of a data centre requests a plan once per planning interval for each pool there. A
plan is at most a few orders; draining the engine before a change and fencing the order are not
decided here. There are several planners, hence the `Protocol`; this module has the baselines.
"""

from collections import Counter
from collections.abc import Sequence
from typing import Final, Protocol

from attrs import frozen

from berylquay.decisions.engine_speed import EngineSpeed
from berylquay.decisions.fleet import Role

# Lower limit for a demand that is used as a divisor.
MIN_DEMAND: Final = 1e-9


@frozen
class RoleChange:
    """A planned change of an engine's role."""

    # Name of the engine.
    backend: str
    # Role that the engine should change to.
    role: Role


@frozen
class EngineRole:
    """The controller's view of an engine of the pool."""

    # Name of the engine.
    name: str
    # Present role, or the role that the engine is changing to.
    role: Role
    # Whether a role change is in progress.
    changing: bool = False
    # Present load; among engines of one role the least loaded is changed first.
    load: int = 0


@frozen
class Demand:
    """Work requested from one pool in one data centre, in engine seconds per second."""

    # Prefill work.
    prefill: float
    # Decode work, at full batches.
    decode: float

    @property
    def total(self) -> float:
        """Returns the sum of prefill and decode work."""
        return self.prefill + self.decode


@frozen
class RoleCounts:
    """Number of engines in each role."""

    prefill: int
    decode: int
    mixed: int

    def count(self, role: Role) -> int:
        """Returns the number of engines in the role."""
        counts = {Role.PREFILL: self.prefill, Role.DECODE: self.decode, Role.MIXED: self.mixed}
        return counts[role]

    def capacity_ratio(self, demand: Demand, speed: EngineSpeed) -> float:
        """Returns the capacity of the engines as a multiple of the demand."""
        cost = max(demand.total, demand.prefill / speed.mixed_prefill_limit, MIN_DEMAND)
        mixed_ratio = self.mixed / (speed.mixed_overhead * cost)
        if not self.prefill or not self.decode:
            return mixed_ratio
        prefill_ratio = self.prefill / max(demand.prefill, MIN_DEMAND)
        decode_ratio = self.decode / max(demand.decode, MIN_DEMAND)
        return mixed_ratio + min(prefill_ratio, decode_ratio)


class RolePlanner(Protocol):
    """Plans the role changes of one pool in one data centre."""

    def plan(
        self, engines: Sequence[EngineRole], demand: Demand, now_s: float
    ) -> Sequence[RoleChange]:
        """Returns the role changes to order now, which is usually none."""


class FixedRolePlanner:
    """Baseline planner that never changes a role."""

    def plan(
        self, engines: Sequence[EngineRole], demand: Demand, now_s: float
    ) -> Sequence[RoleChange]:
        """Returns no changes."""
        return ()


class GreedyRolePlanner:
    """Baseline planner that changes roles at each imbalance between prefill and decode work.

    It ignores what the changes cost.
    """

    # Rates of the pool's engines.
    _speed: EngineSpeed

    def __init__(self, speed: EngineSpeed) -> None:
        self._speed = speed

    def plan(
        self, engines: Sequence[EngineRole], demand: Demand, now_s: float
    ) -> Sequence[RoleChange]:
        """Returns all changes that lead to the best role counts for the present demand."""
        if any(engine.changing for engine in engines) or demand.total <= 0.0:
            return ()
        target = best_role_counts(len(engines), demand, self._speed)
        return changes_towards(engines, target)


def count_roles(engines: Sequence[EngineRole]) -> RoleCounts:
    """Returns the number of engines in each role."""
    counts = Counter(engine.role for engine in engines)
    return RoleCounts(counts[Role.PREFILL], counts[Role.DECODE], counts[Role.MIXED])


def best_role_counts(engine_count: int, demand: Demand, speed: EngineSpeed) -> RoleCounts:
    """Returns the role counts with the greatest capacity for the demand."""
    options = [RoleCounts(0, 0, engine_count)]
    for specialised_count in range(2, engine_count + 1):
        ideal_prefill = specialised_count * demand.prefill / max(demand.total, MIN_DEMAND)
        for prefill in {int(ideal_prefill), int(ideal_prefill) + 1}:
            prefill_count = min(max(prefill, 1), specialised_count - 1)
            options.append(
                RoleCounts(
                    prefill_count,
                    specialised_count - prefill_count,
                    engine_count - specialised_count,
                )
            )
    return max(options, key=lambda counts: (counts.capacity_ratio(demand, speed), counts.mixed))


def changes_towards(engines: Sequence[EngineRole], target: RoleCounts) -> list[RoleChange]:
    """Returns the fewest changes that lead to the target, the least loaded engines first."""
    present = count_roles(engines)
    missing_roles = [
        role for role in Role for _ in range(max(0, target.count(role) - present.count(role)))
    ]
    surplus = {role: max(0, present.count(role) - target.count(role)) for role in Role}
    changes: list[RoleChange] = []
    for engine in sorted(engines, key=lambda engine: (engine.load, engine.name)):
        if missing_roles and surplus[engine.role] > 0:
            surplus[engine.role] -= 1
            changes.append(RoleChange(engine.name, missing_roles.pop()))
    return changes

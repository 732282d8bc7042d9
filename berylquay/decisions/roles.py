"""Roles: decides when an engine of a pool should change between prefill, decode and mixed.

The controller of a data centre asks once per planning interval for each pool there. A plan is at
most a few orders; the drain before a change and the fencing of the order are not decided here. The
policy varies, so it is a `Protocol`; the baselines stand here.
"""

from collections import Counter
from collections.abc import Sequence
from typing import Final, Protocol

from attrs import frozen

from berylquay.decisions.engine_speed import EngineSpeed
from berylquay.decisions.fleet import Role

# Demand below which a division would make no sense.
MIN_DEMAND: Final = 1e-9


@frozen
class RoleChange:
    """An engine that should take another role."""

    # Name of the engine.
    backend: str
    # Role that it should take.
    role: Role


@frozen
class EngineRole:
    """An engine of the pool as the controller knows it."""

    # Name of the engine.
    name: str
    # Role that it has, or that it is changing to.
    role: Role
    # Whether a change is under way.
    changing: bool = False
    # Work that it has now, for the choice among equals; lower goes first.
    load: int = 0


@frozen
class Demand:
    """Work that callers ask of one pool in one data centre, in engine seconds per second."""

    # Work on prompts.
    prefill: float
    # Work on outputs, at a full batch.
    decode: float

    @property
    def total(self) -> float:
        """Returns the whole work."""
        return self.prefill + self.decode


@frozen
class RoleCounts:
    """How many engines have which role."""

    prefill: int
    decode: int
    mixed: int

    def count(self, role: Role) -> int:
        """Returns the number of engines in the role."""
        counts = {Role.PREFILL: self.prefill, Role.DECODE: self.decode, Role.MIXED: self.mixed}
        return counts[role]

    def capacity_ratio(self, demand: Demand, speed: EngineSpeed) -> float:
        """Returns how many times the demand the engines could serve."""
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
        """Returns the changes to order now, none most of the time."""


class FixedRolePlanner:
    """Never changes a role."""

    def plan(
        self, engines: Sequence[EngineRole], demand: Demand, now_s: float
    ) -> Sequence[RoleChange]:
        """Returns no change."""
        return ()


class GreedyRolePlanner:
    """Changes roles at each imbalance, whatever the changes cost."""

    # Rates of the pool's engines.
    _speed: EngineSpeed

    def __init__(self, speed: EngineSpeed) -> None:
        self._speed = speed

    def plan(
        self, engines: Sequence[EngineRole], demand: Demand, now_s: float
    ) -> Sequence[RoleChange]:
        """Returns every change on the way to the best roles for the present demand."""
        if any(engine.changing for engine in engines) or demand.total <= 0.0:
            return ()
        target = best_role_counts(len(engines), demand, self._speed)
        return changes_towards(engines, target)


def count_roles(engines: Sequence[EngineRole]) -> RoleCounts:
    """Returns how many of the engines have which role."""
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
    for engine in sorted(engines, key=lambda each: (each.load, each.name)):
        if missing_roles and surplus[engine.role] > 0:
            surplus[engine.role] -= 1
            changes.append(RoleChange(engine.name, missing_roles.pop()))
    return changes

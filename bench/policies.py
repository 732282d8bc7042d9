"""Named sets of policies that the bench compares."""

import random
from collections.abc import Callable
from typing import Final

from attrs import frozen

from bench.scenarios import FleetShape
from berylquay.decisions.admission import AdmissionPolicy, AdmitAll
from berylquay.decisions.forecast_role_planner import ForecastRolePlanner, RolePlannerOptions
from berylquay.decisions.latency_prediction import LatencyPredictor
from berylquay.decisions.power_of_two_routing import PowerOfTwoRouting
from berylquay.decisions.predicted_admission import PredictedAdmission
from berylquay.decisions.roles import FixedRolePlanner, GreedyRolePlanner, RolePlanner
from berylquay.decisions.routing import LeastLoaded, RoundRobin, RoutingPolicy


@frozen
class HostShape:
    """What a host's policies are told about the host."""

    # Region, which has one data centre.
    region: str
    # Part of the fleet's callers that come to this host.
    callers: float
    # Part of the region's callers that come to this host.
    region_part: float
    # Number of engines in the region.
    region_engines: int


@frozen
class PolicySet:
    """Everything that decides in one run."""

    name: str
    # Whether roles are split at the start; else every engine is mixed.
    split_at_start: bool
    routing: Callable[[FleetShape, HostShape, random.Random], RoutingPolicy]
    admission: Callable[[FleetShape, HostShape, random.Random], AdmissionPolicy]
    roles: Callable[[FleetShape], RolePlanner]


def _admit_all(fleet: FleetShape, host: HostShape, rng: random.Random) -> AdmissionPolicy:
    return AdmitAll()


def _round_robin(fleet: FleetShape, host: HostShape, rng: random.Random) -> RoutingPolicy:
    return RoundRobin()


def _least_loaded(fleet: FleetShape, host: HostShape, rng: random.Random) -> RoutingPolicy:
    return LeastLoaded()


def _nearby(fleet: FleetShape, host: HostShape, rng: random.Random) -> RoutingPolicy:
    return PowerOfTwoRouting(LatencyPredictor(fleet.speed), rng)


def _predicted(fleet: FleetShape, host: HostShape, rng: random.Random) -> AdmissionPolicy:
    capacity = host.region_engines * host.region_part
    return PredictedAdmission(fleet.deployment, LatencyPredictor(fleet.speed), capacity)


def _fixed(fleet: FleetShape) -> RolePlanner:
    return FixedRolePlanner()


def _greedy(fleet: FleetShape) -> RolePlanner:
    return GreedyRolePlanner(fleet.speed)


def limits_of(fleet: FleetShape) -> RolePlannerOptions:
    """Returns the role limits that the fleet's deployment declares."""
    pool = next(each for each in fleet.deployment.pools if each.name == fleet.pool)
    return RolePlannerOptions(
        role_change_weight=fleet.deployment.role_change_weight,
        changes_per_hour=fleet.deployment.role_changes_per_hour,
        min_per_role=pool.min_per_role,
    )


def _forecast(fleet: FleetShape) -> RolePlanner:
    return ForecastRolePlanner(fleet.speed, limits_of(fleet))


BASELINES: Final = (
    PolicySet("round-robin", False, _round_robin, _admit_all, _fixed),
    PolicySet("fixed-mixed", False, _least_loaded, _admit_all, _fixed),
    PolicySet("fixed-split", True, _least_loaded, _admit_all, _fixed),
    PolicySet("greedy", False, _least_loaded, _admit_all, _greedy),
)

ROUTED: Final = PolicySet("routed", True, _nearby, _admit_all, _fixed)
ADMITTED: Final = PolicySet("admitted", True, _nearby, _predicted, _fixed)
PLANNED: Final = PolicySet("berylquay", True, _nearby, _predicted, _forecast)
POLICY_SETS: Final = (*BASELINES, ROUTED, ADMITTED, PLANNED)

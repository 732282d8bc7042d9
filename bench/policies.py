"""Named sets of policies that the benchmark compares."""

import random
from collections.abc import Callable
from typing import Final

from attrs import frozen

from bench.scenarios import FleetSpec
from berylquay.decisions.admission import AdmissionPolicy, AdmitAll
from berylquay.decisions.forecast_role_planner import ForecastRolePlanner, RolePlannerOptions
from berylquay.decisions.latency_prediction import LatencyPredictor
from berylquay.decisions.power_of_two_routing import PowerOfTwoRouting
from berylquay.decisions.predicted_admission import PredictedAdmission
from berylquay.decisions.roles import FixedRolePlanner, GreedyRolePlanner, RolePlanner
from berylquay.decisions.routing import LeastLoaded, RoundRobin, RoutingPolicy


@frozen
class HostSpec:
    """Properties of a host that its policies use."""

    # Name of the region, which has one data centre.
    region: str
    # Fraction of the fleet's callers that use this host.
    caller_fraction: float
    # Fraction of the region's callers that use this host.
    region_caller_fraction: float
    # Number of engines in the region.
    region_engine_count: int


@frozen
class PolicySet:
    """The policies of one run."""

    name: str
    # Whether engines start in the region's split roles; otherwise all start as mixed.
    split_at_start: bool
    routing: Callable[[FleetSpec, HostSpec, random.Random], RoutingPolicy]
    admission: Callable[[FleetSpec, HostSpec, random.Random], AdmissionPolicy]
    roles: Callable[[FleetSpec], RolePlanner]


def _admit_all(fleet: FleetSpec, host: HostSpec, rng: random.Random) -> AdmissionPolicy:
    return AdmitAll()


def _round_robin(fleet: FleetSpec, host: HostSpec, rng: random.Random) -> RoutingPolicy:
    return RoundRobin()


def _least_loaded(fleet: FleetSpec, host: HostSpec, rng: random.Random) -> RoutingPolicy:
    return LeastLoaded()


def _power_of_two(fleet: FleetSpec, host: HostSpec, rng: random.Random) -> RoutingPolicy:
    return PowerOfTwoRouting(LatencyPredictor(fleet.speed), rng)


def _predicted_admission(fleet: FleetSpec, host: HostSpec, rng: random.Random) -> AdmissionPolicy:
    capacity = host.region_engine_count * host.region_caller_fraction
    return PredictedAdmission(fleet.deployment, LatencyPredictor(fleet.speed), capacity)


def _fixed_roles(fleet: FleetSpec) -> RolePlanner:
    return FixedRolePlanner()


def _greedy_roles(fleet: FleetSpec) -> RolePlanner:
    return GreedyRolePlanner(fleet.speed)


def planner_options(fleet: FleetSpec) -> RolePlannerOptions:
    """Returns the role planner's options that the fleet's deployment declares."""
    pool = next(each for each in fleet.deployment.pools if each.name == fleet.pool)
    return RolePlannerOptions(
        role_change_weight=fleet.deployment.role_change_weight,
        changes_per_hour=fleet.deployment.role_changes_per_hour,
        min_per_role=pool.min_per_role,
    )


def _forecast_roles(fleet: FleetSpec) -> RolePlanner:
    return ForecastRolePlanner(fleet.speed, planner_options(fleet))


BASELINES: Final = (
    PolicySet("round-robin", False, _round_robin, _admit_all, _fixed_roles),
    PolicySet("fixed-mixed", False, _least_loaded, _admit_all, _fixed_roles),
    PolicySet("fixed-split", True, _least_loaded, _admit_all, _fixed_roles),
    PolicySet("greedy", False, _least_loaded, _admit_all, _greedy_roles),
)

ROUTED: Final = PolicySet("routed", True, _power_of_two, _admit_all, _fixed_roles)
ADMITTED: Final = PolicySet("admitted", True, _power_of_two, _predicted_admission, _fixed_roles)
PLANNED: Final = PolicySet("berylquay", True, _power_of_two, _predicted_admission, _forecast_roles)
POLICY_SETS: Final = (*BASELINES, ROUTED, ADMITTED, PLANNED)

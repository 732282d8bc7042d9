"""Curve of the operators' knob: goodput and role changes by `role_change_weight`."""

from typing import Final

import matplotlib as mpl
from attrs import evolve, frozen

from bench.policies import PLANNED, limits_of
from bench.scenarios import FleetShape, Scenario
from bench.table import run_scenario
from berylquay.decisions.forecast_role_planner import ForecastRolePlanner
from berylquay.decisions.roles import RolePlanner

WEIGHTS: Final = (0.0, 0.2, 0.4, 0.6, 0.8, 0.82, 0.85, 0.9, 1.0)


@frozen
class KnobPoint:
    """What one setting of the knob gives, as the mean over seeds."""

    weight: float
    share_of_bound: float
    changes_per_hour: float


def knob_curve(
    fleet: FleetShape, scenario: Scenario, weights: tuple[float, ...], seeds: int
) -> list[KnobPoint]:
    """Returns a point for each weight."""
    return [_point(fleet, scenario, weight, seeds) for weight in weights]


def draw_curves(curves: dict[str, list[KnobPoint]], path: str) -> None:
    """Writes a plot of the curves."""
    mpl.use("Agg")
    from matplotlib import pyplot as plt  # noqa: PLC0415

    figure, (above, below) = plt.subplots(2, 1, sharex=True, figsize=(5.0, 4.5), dpi=80)
    for name, points in curves.items():
        weights = [point.weight for point in points]
        above.plot(weights, [point.share_of_bound for point in points], marker="o", label=name)
        below.plot(weights, [point.changes_per_hour for point in points], marker="o", label=name)
    above.set_ylabel("goodput of bound")
    below.set_ylabel("role changes an hour")
    below.set_xlabel("role_change_weight")
    above.legend()
    figure.tight_layout()
    figure.savefig(path, metadata={"Software": None})
    plt.close(figure)


def _point(fleet: FleetShape, scenario: Scenario, weight: float, seeds: int) -> KnobPoint:
    def planner(shape: FleetShape) -> RolePlanner:
        return ForecastRolePlanner(shape.speed, evolve(limits_of(shape), role_change_weight=weight))

    policies = evolve(PLANNED, name=f"weight-{weight}", roles=planner)
    results = [run_scenario(fleet, scenario, [policies], seed)[0] for seed in range(1, seeds + 1)]
    return KnobPoint(
        weight,
        sum(result.share_of_bound for result in results) / seeds,
        sum(result.measures.role_changes_per_hour for result in results) / seeds,
    )

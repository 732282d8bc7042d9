"""Goodput and role changes as functions of the operators' setting `role_change_weight`."""

from typing import Final

import matplotlib as mpl
from attrs import evolve, frozen

from bench.policies import PLANNED, planner_options
from bench.scenarios import FleetSpec, Scenario
from bench.table import run_scenario
from berylquay.decisions.forecast_role_planner import ForecastRolePlanner
from berylquay.decisions.roles import RolePlanner

WEIGHTS: Final = (0.0, 0.2, 0.4, 0.6, 0.8, 0.82, 0.85, 0.9, 1.0)


@frozen
class WeightPoint:
    """Results of one value of `role_change_weight`, as means over the seeds."""

    weight: float
    fraction_of_bound: float
    changes_per_hour: float


def weight_curve(
    fleet: FleetSpec, scenario: Scenario, weights: tuple[float, ...], seeds: int
) -> list[WeightPoint]:
    """Returns a point for each weight."""
    return [_measure_point(fleet, scenario, weight, seeds) for weight in weights]


def plot_curves(curves: dict[str, list[WeightPoint]], path: str) -> None:
    """Writes a plot of the curves, by fleet name, to a PNG file."""
    mpl.use("Agg")
    from matplotlib import pyplot as plt  # noqa: PLC0415

    figure, (goodput_axes, changes_axes) = plt.subplots(
        2, 1, sharex=True, figsize=(5.0, 4.5), dpi=80
    )
    for name, points in curves.items():
        weights = [point.weight for point in points]
        goodput_axes.plot(
            weights, [point.fraction_of_bound for point in points], marker="o", label=name
        )
        changes_axes.plot(
            weights, [point.changes_per_hour for point in points], marker="o", label=name
        )
    goodput_axes.set_ylabel("goodput of bound")
    changes_axes.set_ylabel("role changes an hour")
    changes_axes.set_xlabel("role_change_weight")
    goodput_axes.legend()
    figure.tight_layout()
    figure.savefig(path, metadata={"Software": None})
    plt.close(figure)


def _measure_point(fleet: FleetSpec, scenario: Scenario, weight: float, seeds: int) -> WeightPoint:
    def make_planner(spec: FleetSpec) -> RolePlanner:
        return ForecastRolePlanner(
            spec.speed, evolve(planner_options(spec), role_change_weight=weight)
        )

    policies = evolve(PLANNED, name=f"weight-{weight}", roles=make_planner)
    results = [run_scenario(fleet, scenario, [policies], seed)[0] for seed in range(1, seeds + 1)]
    return WeightPoint(
        weight,
        sum(result.fraction_of_bound for result in results) / seeds,
        sum(result.measures.role_changes_per_hour for result in results) / seeds,
    )

"""Result table of the benchmark: one row per fleet, scenario and policy set."""

from collections.abc import Iterable
from typing import Final

from attrs import frozen

from bench.bound import goodput_bound
from bench.measures import Measures, percentile_95
from bench.policies import PolicySet
from bench.scenarios import FleetSpec, Scenario
from bench.simulation import FleetSimulation

HEADINGS: Final = (
    "fleet",
    "scenario",
    "policy",
    "goodput/s",
    "of bound",
    "changes/h",
    "refused",
    "heeded ok",
    "expired",
    "failed",
    "retries",
    "TTFT p95 s",
    "TBT p95 ms",
    "hits",
    "cross MB",
)


@frozen
class Result:
    """Measurements of one run and the goodput bound of its scenario."""

    fleet: FleetSpec
    scenario: Scenario
    policies: PolicySet
    measures: Measures
    # Upper bound on the goodput, even with knowledge of the future.
    bound: float

    @property
    def fraction_of_bound(self) -> float:
        """Returns the goodput as a fraction of the bound."""
        return self.measures.goodput / self.bound

    def cells(self) -> tuple[str, ...]:
        """Returns the cells of the table row."""
        measures = self.measures
        retry_after_cell = (
            f"{measures.retry_after_admitted}/{measures.retry_after_submissions}"
            if measures.retry_after_submissions
            else "-"
        )
        return (
            self.fleet.deployment.name,
            self.scenario.name,
            self.policies.name,
            f"{measures.goodput:.2f}",
            f"{self.fraction_of_bound:.3f}",
            f"{measures.role_changes_per_hour:.0f}",
            f"{measures.refusals / max(measures.submissions, 1):.3f}",
            retry_after_cell,
            str(measures.expired),
            str(measures.failures),
            str(measures.retries),
            f"{percentile_95(measures.times_to_first_token_s):.2f}",
            f"{percentile_95(measures.token_intervals_s) * 1000.0:.0f}",
            f"{measures.prefix_hit_rate:.2f}",
            f"{measures.cross_region_bytes / 1e6:.1f}",
        )


def run_scenario(
    fleet: FleetSpec, scenario: Scenario, policies: Iterable[PolicySet], seed: int
) -> list[Result]:
    """Runs the scenario under each policy set, with the same jobs."""
    results: list[Result] = []
    for policy_set in policies:
        simulation = FleetSimulation(fleet, scenario, policy_set, seed)
        bound = results[0].bound if results else goodput_bound(fleet, scenario, simulation.jobs)
        results.append(Result(fleet, scenario, policy_set, simulation.run(), bound))
    return results


def as_markdown(lines: Iterable[tuple[str, ...]]) -> str:
    """Returns the lines as a Markdown table with its headings."""
    rows = [HEADINGS, tuple("---" for _ in HEADINGS), *lines]
    return "\n".join("| " + " | ".join(row) + " |" for row in rows)

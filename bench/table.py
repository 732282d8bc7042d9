"""The table of a bench run: one line per fleet, scenario and policy set."""

from collections.abc import Iterable
from typing import Final

from attrs import frozen

from bench.bound import goodput_bound
from bench.measures import Measures, percentile_95
from bench.policies import PolicySet
from bench.scenarios import FleetShape, Scenario
from bench.world import World

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
    """One run and the bound of its scenario."""

    fleet: FleetShape
    scenario: Scenario
    policies: PolicySet
    measures: Measures
    # Greatest goodput that a planner who knows the future could reach.
    bound: float

    @property
    def share_of_bound(self) -> float:
        """Returns the goodput as a part of the bound."""
        return self.measures.goodput / self.bound

    def cells(self) -> tuple[str, ...]:
        """Returns the line of the table."""
        measures = self.measures
        returns = f"{measures.returns_admitted}/{measures.returns}" if measures.returns else "-"
        return (
            self.fleet.deployment.name,
            self.scenario.name,
            self.policies.name,
            f"{measures.goodput:.2f}",
            f"{self.share_of_bound:.3f}",
            f"{measures.role_changes_per_hour:.0f}",
            f"{measures.refusals / max(measures.submissions, 1):.3f}",
            returns,
            str(measures.expired),
            str(measures.failures),
            str(measures.retries),
            f"{percentile_95(measures.first_token_s):.2f}",
            f"{percentile_95(measures.between_tokens_s) * 1000.0:.0f}",
            f"{measures.hit_share:.2f}",
            f"{measures.cross_region_bytes / 1e6:.1f}",
        )


def run_scenario(
    fleet: FleetShape, scenario: Scenario, policies: Iterable[PolicySet], seed: int
) -> list[Result]:
    """Runs the scenario under each policy set, with the same jobs."""
    results: list[Result] = []
    for policy_set in policies:
        world = World(fleet, scenario, policy_set, seed)
        bound = results[0].bound if results else goodput_bound(fleet, scenario, world.jobs)
        results.append(Result(fleet, scenario, policy_set, world.run(), bound))
    return results


def as_markdown(lines: Iterable[tuple[str, ...]]) -> str:
    """Returns the lines as a Markdown table with its headings."""
    rows = [HEADINGS, tuple("---" for _ in HEADINGS), *lines]
    return "\n".join("| " + " | ".join(row) + " |" for row in rows)

"""Upper bound on goodput, which even a planner that knows the future can't exceed.

The whole fleet is modelled as one server whose work can be divided freely, with every engine in
the best role, a full batch, every prefix cached after its first use and no idle time. The sets of
jobs that can be processed within their time windows form a polymatroid, so a greedy choice, the
cheapest jobs first and each as far as it fits, maximises the number of answers, where incomplete
answers count in proportion.
"""

from typing import Final

import numpy as np
from numpy.typing import NDArray

from bench.jobs import Job
from bench.scenarios import FleetSpec, Scenario

SLOT_S: Final = 4.0


def goodput_bound(fleet: FleetSpec, scenario: Scenario, jobs: list[Job]) -> float:
    """Returns the upper bound on the answers within their deadlines per second."""
    slots = int(np.ceil(scenario.duration_s / SLOT_S))
    capacities_s = _window_capacities(fleet, slots)
    answers = 0.0
    cached_prefixes: set[str] = set()
    work_s = {}
    for job in jobs:
        if job.arrival_s + _min_latency_s(fleet, job) > scenario.duration_s:
            continue
        prompt_tokens = job.prompt_tokens - (
            job.prefix_tokens if job.prefix in cached_prefixes else 0
        )
        cached_prefixes.add(job.prefix)
        work_s[job.number] = fleet.speed.work_s(prompt_tokens, job.output_tokens)
    for job in sorted((j for j in jobs if j.number in work_s), key=lambda j: work_s[j.number]):
        first_slot = int(job.arrival_s / SLOT_S)
        last_slot = slots - 1
        if not job.honours_retry_after:
            last_slot = min(
                last_slot, int((job.arrival_s + job.call.class_spec.deadline_s) / SLOT_S)
            )
        enclosing_windows = capacities_s[: first_slot + 1, last_slot:]
        allotted_s = min(work_s[job.number], float(enclosing_windows.min()))
        if allotted_s > 0.0:
            enclosing_windows -= allotted_s
            answers += allotted_s / work_s[job.number]
    return answers / scenario.duration_s


def _window_capacities(fleet: FleetSpec, slots: int) -> NDArray[np.float64]:
    """Returns the engine seconds from the start of each slot to the end of each slot."""
    first_slots = np.arange(slots)[:, None]
    last_slots = np.arange(slots)[None, :]
    capacities_s: NDArray[np.float64] = np.maximum(last_slots - first_slots + 1, 0).astype(
        np.float64
    )
    capacities_s *= SLOT_S * fleet.engine_count
    return capacities_s


def _min_latency_s(fleet: FleetSpec, job: Job) -> float:
    uncached_tokens = job.prompt_tokens - job.prefix_tokens
    return (
        fleet.speed.prefill_work_s(uncached_tokens) + job.output_tokens * fleet.speed.token_base_s
    )

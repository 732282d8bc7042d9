"""Upper bound on goodput: what a planner that knows the future could reach at the very most.

The whole fleet is taken as one server whose work can be split at will, with every engine in the
best role, a full batch, every prefix in the cache after its first use and no time lost. The jobs
that can be worked off inside their windows form a polymatroid, so that taking the cheapest jobs
first, each as far as it fits, gives the greatest number of answers, broken ones counted in part.
"""

from typing import Final

import numpy as np
from numpy.typing import NDArray

from bench.jobs import Job
from bench.scenarios import FleetShape, Scenario

SLOT_S: Final = 4.0


def goodput_bound(fleet: FleetShape, scenario: Scenario, jobs: list[Job]) -> float:
    """Returns the greatest number of answers in time per second."""
    slots = int(np.ceil(scenario.duration_s / SLOT_S))
    room = _room(fleet, slots)
    answers = 0.0
    seen: set[str] = set()
    work = {}
    for job in jobs:
        if job.arrival_s + _least_latency_s(fleet, job) > scenario.duration_s:
            continue
        prompt_tokens = job.prompt_tokens - (job.prefix_tokens if job.prefix in seen else 0)
        seen.add(job.prefix)
        work[job.number] = fleet.speed.work_s(prompt_tokens, job.output_tokens)
    for job in sorted((j for j in jobs if j.number in work), key=lambda j: work[j.number]):
        begin = int(job.arrival_s / SLOT_S)
        end = slots - 1
        if not job.heeding:
            end = min(end, int((job.arrival_s + job.call.class_spec.deadline_s) / SLOT_S))
        wider = room[: begin + 1, end:]
        fitting = min(work[job.number], float(wider.min()))
        if fitting > 0.0:
            wider -= fitting
            answers += fitting / work[job.number]
    return answers / scenario.duration_s


def _room(fleet: FleetShape, slots: int) -> NDArray[np.float64]:
    """Returns the engine seconds from the begin of each slot to the end of each later one."""
    begins = np.arange(slots)[:, None]
    ends = np.arange(slots)[None, :]
    lengths: NDArray[np.float64] = np.maximum(ends - begins + 1, 0).astype(np.float64)
    lengths *= SLOT_S * fleet.engine_count
    return lengths


def _least_latency_s(fleet: FleetShape, job: Job) -> float:
    unshared = job.prompt_tokens - job.prefix_tokens
    return fleet.speed.prefill_work_s(unshared) + job.output_tokens * fleet.speed.token_base_s

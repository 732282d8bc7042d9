"""Workload of the callers: the same jobs at the same times for every policy."""

import random
from typing import Final

from attrs import define, evolve, frozen

from bench.scenarios import ClassWorkload, FleetSpec, Scenario
from berylquay.decisions.calls import Call
from berylquay.decisions.deployment import ClassSpec

BYTES_PER_TOKEN: Final = 4
ARRIVAL_STEP_S: Final = 1.0
# Exponent on a uniform random number; above 1, low-numbered prefixes are more frequent.
PREFIX_SKEW: Final = 1.5


@frozen(eq=False)
class Job:
    """One request of a caller, which may be submitted several times."""

    number: int
    arrival_s: float
    region: str
    # Template of the call; each submission sets its own times.
    call: Call
    prompt_tokens: int
    prefix: str
    prefix_tokens: int
    # Actual length of the answer, unknown to the policies.
    output_tokens: int
    # Whether the caller resubmits shortly after a refusal, without regard to Retry-After.
    ignores_retry_after: bool
    # Whether the caller resubmits after the time in Retry-After.
    honours_retry_after: bool


@define(eq=False)
class JobAttempt:
    """One attempt of a job on the engines."""

    job: Job
    call: Call
    # Host that made the attempt.
    host_number: int
    # Engine that prefills the prompt.
    prefill_engine: str
    # Engine that decodes; the same as prefill_engine unless prefill is disaggregated.
    decode_engine: str
    # Number of earlier attempts of the call.
    earlier_attempts: int = 0
    # Tokens that earlier attempts delivered.
    resumed_tokens: int = 0
    # Prompt tokens still to be prefilled; -1 after prefill.
    prompt_tokens_left: int = 0
    # When the caller received its first token; negative until then.
    first_token_s: float = -1.0
    # Whether it is finished, failed or cancelled.
    ended: bool = False


def make_jobs(fleet: FleetSpec, scenario: Scenario, seed: int) -> list[Job]:
    """Returns the jobs of the scenario, sorted by arrival."""
    rng = random.Random(f"{fleet.deployment.name}/{scenario.name}/{seed}")
    fleet_and_scenario = (fleet, scenario)
    jobs: list[Job] = []
    now_s = 0.0
    while now_s < scenario.duration_s:
        rates = _rates(fleet, scenario, now_s)
        for workload in fleet.classes:
            for at_s in _arrivals(rng, now_s, rates[workload.name]):
                jobs.append(_make_job(rng, fleet_and_scenario, workload, at_s, len(jobs)))
            for at_s in _arrivals(
                rng, now_s, rates[workload.name] * _flood_fraction(scenario, now_s)
            ):
                job = _make_job(rng, fleet_and_scenario, workload, at_s, len(jobs))
                jobs.append(_with_flooding_tenant(fleet, job))
        now_s += ARRIVAL_STEP_S
    return sorted(jobs, key=lambda job: job.arrival_s)


def mix_at(fleet: FleetSpec, scenario: Scenario, now_s: float) -> dict[str, float]:
    """Returns the fraction of the work by class at a time."""
    index = max(n for n, phase in enumerate(scenario.phases) if phase.at_s <= now_s)
    mix = fleet.mixes[scenario.phases[index].mix]
    if not scenario.interpolates_mix or index + 1 == len(scenario.phases):
        return mix
    previous, following = scenario.phases[index], scenario.phases[index + 1]
    progress = (now_s - previous.at_s) / (following.at_s - previous.at_s)
    next_mix = fleet.mixes[following.mix]
    return {
        name: fraction + progress * (next_mix[name] - fraction) for name, fraction in mix.items()
    }


def _rates(fleet: FleetSpec, scenario: Scenario, now_s: float) -> dict[str, float]:
    capacity = scenario.load * fleet.engine_count / fleet.speed.mixed_overhead
    mix = mix_at(fleet, scenario, now_s)
    rates = {}
    for workload in fleet.classes:
        spec = find_class(fleet, workload.name)
        work_s = fleet.speed.work_s(workload.prompt_tokens, spec.expected_output_tokens)
        rates[workload.name] = capacity * mix[workload.name] / work_s
    return rates


def find_class(fleet: FleetSpec, name: str) -> ClassSpec:
    """Returns the class of that name in the fleet's deployment, which must declare it."""
    spec = fleet.deployment.find_class(name)
    assert spec is not None, name
    return spec


def _flood_fraction(scenario: Scenario, now_s: float) -> float:
    third_s = scenario.duration_s / 3.0
    flooded = third_s <= now_s < 2.0 * third_s
    return (scenario.flood_factor - 1.0) * 0.25 if flooded else 0.0


def _arrivals(rng: random.Random, begin_s: float, rate: float) -> list[float]:
    times = []
    at_s = begin_s
    while rate > 0.0:
        at_s += rng.expovariate(rate)
        if at_s >= begin_s + ARRIVAL_STEP_S:
            break
        times.append(at_s)
    return times


def _with_flooding_tenant(fleet: FleetSpec, job: Job) -> Job:
    return evolve(job, call=evolve(job.call, tenant=fleet.deployment.tenants[0].name))


def _make_job(
    rng: random.Random,
    fleet_and_scenario: tuple[FleetSpec, Scenario],
    workload: ClassWorkload,
    at_s: float,
    number: int,
) -> Job:
    fleet, scenario = fleet_and_scenario
    spec = find_class(fleet, workload.name)
    tenants = fleet.deployment.tenants
    tenant = rng.choices(tenants, [each.share for each in tenants])[0].name
    region = rng.choices(fleet.regions, [each.caller_fraction for each in fleet.regions])[0].name
    prompt_tokens = workload.prefix_tokens + int(
        (workload.prompt_tokens - workload.prefix_tokens) * rng.uniform(0.5, 1.5)
    )
    output_tokens = max(1, int(spec.expected_output_tokens * rng.uniform(0.5, 1.5)))
    prefix = f"{workload.name}/{int(workload.prefix_count * rng.random() ** PREFIX_SKEW)}"
    call = Call(
        call_id=str(number),
        request_id=str(number),
        tenant=tenant,
        class_spec=spec,
        received_s=at_s,
        deadline_s=at_s + spec.deadline_s,
        repeatable=spec.repeatable,
        idempotency_key="",
        fingerprint=str(number),
        wants_stream=True,
        model="",
        adapter="",
        prompt=prefix,
        prompt_tokens=prompt_tokens,
        max_output_tokens=spec.max_output_tokens,
    )
    return Job(
        number=number,
        arrival_s=at_s,
        region=region,
        call=call,
        prompt_tokens=prompt_tokens,
        prefix=prefix,
        prefix_tokens=workload.prefix_tokens,
        output_tokens=output_tokens,
        ignores_retry_after=rng.random() < scenario.ignore_retry_after_fraction,
        honours_retry_after=rng.random() < scenario.honour_retry_after_fraction,
    )

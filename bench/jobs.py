"""What callers ask for: the same jobs at the same times for every policy."""

import random
from typing import Final

from attrs import define, evolve, frozen

from bench.scenarios import ClassShape, FleetShape, Scenario
from berylquay.decisions.calls import Call
from berylquay.decisions.deployment import ClassSpec

BYTES_PER_TOKEN: Final = 4
PHASE_STEP_S: Final = 1.0
# Exponent on a uniform draw; above 1, low-numbered prefixes come more often.
PREFIX_SKEW: Final = 1.5


@frozen(eq=False)
class Job:
    """One answer that a caller wants."""

    number: int
    arrival_s: float
    region: str
    # Template of the call; each submission gets its own times.
    call: Call
    prompt_tokens: int
    prefix: str
    prefix_tokens: int
    # Length that the answer will have; the policies do not know it.
    output_tokens: int
    # Whether the caller sends again at once after a refusal.
    impatient: bool
    # Whether the caller comes back when Retry-After says.
    heeding: bool


@define(eq=False)
class Run:
    """One attempt of a job on the engines."""

    job: Job
    call: Call
    # Host that made the attempt.
    host: int
    # Engine that holds it now.
    engine: str
    # Engine that takes over after prefill; the same engine in the mixed role.
    decoder: str
    # Number of earlier attempts for the call.
    attempts_before: int = 0
    # Tokens that earlier attempts delivered.
    resumed_tokens: int = 0
    # Prompt tokens still to be prefilled.
    prompt_left: int = 0
    # When the caller got its first token; negative before.
    first_token_s: float = -1.0
    # Whether it is finished, failed or given up.
    over: bool = False


def make_jobs(fleet: FleetShape, scenario: Scenario, seed: int) -> list[Job]:
    """Returns the jobs of the scenario by arrival."""
    rng = random.Random(f"{fleet.deployment.name}/{scenario.name}/{seed}")
    source = (fleet, scenario)
    jobs: list[Job] = []
    now_s = 0.0
    while now_s < scenario.duration_s:
        rates = _rates(fleet, scenario, now_s)
        for shape in fleet.classes:
            for at_s in _arrivals(rng, now_s, rates[shape.name]):
                jobs.append(_job(rng, source, shape, at_s, len(jobs)))
            for at_s in _arrivals(rng, now_s, rates[shape.name] * _flood_share(scenario, now_s)):
                job = _job(rng, source, shape, at_s, len(jobs))
                jobs.append(_from_flooding_tenant(fleet, job))
        now_s += PHASE_STEP_S
    return sorted(jobs, key=lambda job: job.arrival_s)


def mix_at(fleet: FleetShape, scenario: Scenario, now_s: float) -> dict[str, float]:
    """Returns the work share of each class at a time."""
    index = max(n for n, phase in enumerate(scenario.phases) if phase.at_s <= now_s)
    mix = fleet.mixes[scenario.phases[index].mix]
    if not scenario.drift or index + 1 == len(scenario.phases):
        return mix
    begin, end = scenario.phases[index], scenario.phases[index + 1]
    part = (now_s - begin.at_s) / (end.at_s - begin.at_s)
    later = fleet.mixes[end.mix]
    return {name: share + part * (later[name] - share) for name, share in mix.items()}


def _rates(fleet: FleetShape, scenario: Scenario, now_s: float) -> dict[str, float]:
    capacity = scenario.load * fleet.engine_count / fleet.speed.mixed_overhead
    mix = mix_at(fleet, scenario, now_s)
    rates = {}
    for shape in fleet.classes:
        spec = class_of(fleet, shape.name)
        work_s = fleet.speed.work_s(shape.prompt_tokens, spec.expected_output_tokens)
        rates[shape.name] = capacity * mix[shape.name] / work_s
    return rates


def class_of(fleet: FleetShape, name: str) -> ClassSpec:
    """Returns the class of the fleet's deployment."""
    spec = fleet.deployment.find_class(name)
    assert spec is not None, name
    return spec


def _flood_share(scenario: Scenario, now_s: float) -> float:
    third_s = scenario.duration_s / 3.0
    flooded = third_s <= now_s < 2.0 * third_s
    return (scenario.flood - 1.0) * 0.25 if flooded else 0.0


def _arrivals(rng: random.Random, begin_s: float, rate: float) -> list[float]:
    times = []
    at_s = begin_s
    while rate > 0.0:
        at_s += rng.expovariate(rate)
        if at_s >= begin_s + PHASE_STEP_S:
            break
        times.append(at_s)
    return times


def _from_flooding_tenant(fleet: FleetShape, job: Job) -> Job:
    return evolve(job, call=evolve(job.call, tenant=fleet.deployment.tenants[0].name))


def _job(
    rng: random.Random,
    source: tuple[FleetShape, Scenario],
    shape: ClassShape,
    at_s: float,
    number: int,
) -> Job:
    fleet, scenario = source
    spec = class_of(fleet, shape.name)
    tenants = fleet.deployment.tenants
    drawn = rng.choices(tenants, [each.share for each in tenants])[0].name
    region = rng.choices(fleet.regions, [each.callers for each in fleet.regions])[0].name
    prompt_tokens = shape.prefix_tokens + int(
        (shape.prompt_tokens - shape.prefix_tokens) * rng.uniform(0.5, 1.5)
    )
    output_tokens = max(1, int(spec.expected_output_tokens * rng.uniform(0.5, 1.5)))
    prefix = f"{shape.name}/{int(shape.prefixes * rng.random() ** PREFIX_SKEW)}"
    call = Call(
        call_id=str(number),
        request_id=str(number),
        tenant=drawn,
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
        prefix_tokens=shape.prefix_tokens,
        output_tokens=output_tokens,
        impatient=rng.random() < scenario.impatient,
        heeding=rng.random() < scenario.heeding,
    )

"""The bench itself: same seed, same verdict; a bound never beaten; engines at their rates."""

from attrs import evolve

from bench.engines import CACHE_BLOCKS, PrefixCache, SimulatedEngine
from bench.jobs import JobAttempt, make_jobs
from bench.policies import BASELINES
from bench.scenarios import read_fleet, read_scenarios
from bench.table import run_scenario
from berylquay.decisions.engine_speed import EngineSpeed
from berylquay.decisions.fleet import Address, BackendKind, BackendServer, Role

SCENARIOS = {scenario.name: scenario for scenario in read_scenarios()}


def test_the_same_seed_gives_the_same_run() -> None:
    fleet = read_fleet("meskel")
    runs = [run_scenario(fleet, SCENARIOS["crash"], BASELINES[-1:], seed=3)[0] for _ in range(2)]
    assert runs[0].cells() == runs[1].cells()


def test_no_baseline_beats_the_bound() -> None:
    fleet = read_fleet("jamiat")
    results = run_scenario(fleet, SCENARIOS["load-2.0"], BASELINES, seed=2)
    assert all(result.fraction_of_bound <= 1.0 for result in results)


def test_another_seed_gives_other_jobs() -> None:
    fleet = read_fleet("jamiat")
    first, second = (make_jobs(fleet, SCENARIOS["steady"], seed) for seed in (1, 2))
    assert [job.arrival_s for job in first] != [job.arrival_s for job in second]


def test_the_prefix_cache_keeps_within_its_memory() -> None:
    cache = PrefixCache()
    for number in range(50):
        cache.touch(f"prefix-{number}", 1024)
    assert cache.used_blocks <= CACHE_BLOCKS
    assert cache.touch("prefix-49", 1024)
    assert not cache.touch("prefix-0", 1024)


def test_a_decoding_engine_takes_its_time_between_tokens() -> None:
    fleet = read_fleet("jamiat")
    run = run_job_alone(fleet.speed)
    assert abs(run - 99 * fleet.speed.token_s(1, Role.DECODE)) < 1e-6


def run_job_alone(speed: EngineSpeed) -> float:
    """Returns the time at which a sequence of 100 tokens ends on an empty engine."""
    server = BackendServer("e", BackendKind.ENGINE, Address("127.0.0.1", 1), "r", "d", "p")
    engine = SimulatedEngine(server, speed, Role.DECODE)
    job = make_jobs(read_fleet("jamiat"), SCENARIOS["steady"], 1)[0]
    job = evolve(job, output_tokens=100)
    engine.add_sequence(JobAttempt(job, job.call, 0, "e", "e"))
    engine.start_queued()
    end_s = engine.next_event_s()
    assert end_s is not None
    return end_s

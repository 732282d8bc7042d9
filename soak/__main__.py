"""`python -m soak`: plays seeds of faults on real processes and reports each broken promise.

Each seed has a directory of its own with the logs of all processes; those of seeds that broke a
promise are kept. The exit status is 1 if any did.
"""

import argparse
import asyncio
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from random import Random
from typing import Final

from examples.processes import FIRST_PORT, limit_port_range
from soak.rounds import FAULTS_S, play_seed

# Ports of the seeds that are played at the same time: a block for each, so that none takes a port
# that another's stopped process is about to use again.
PORTS_PER_JOB: Final = 300
# Seeds without a word on it, from the system's source of randomness.
FRESH_SEEDS: Final = 1_000_000_000


def main() -> None:
    """Plays the seeds that were asked for."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seeds", default="", help="for example 1-50 or 3,7; fresh ones if absent")
    parser.add_argument("--rounds", type=int, default=5, help="number of fresh seeds")
    parser.add_argument("--seconds", type=float, default=FAULTS_S, help="length of the faults")
    parser.add_argument("--jobs", type=int, default=2, help="seeds at a time")
    parser.add_argument("--keep", type=Path, help="directory for the logs of broken seeds")
    parser.add_argument("--one", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--job", type=int, default=0, help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.one is not None:
        first_port = FIRST_PORT + arguments.job * PORTS_PER_JOB
        limit_port_range(first_port, first_port + PORTS_PER_JOB)
        _play_one(arguments.one, arguments.seconds, arguments.keep)
        return
    fresh = Random()
    seeds = _seeds_of(arguments.seeds) or [
        fresh.randrange(FRESH_SEEDS) for _ in range(arguments.rounds)
    ]
    keep = arguments.keep or Path(tempfile.mkdtemp(prefix="soak-"))
    broken = asyncio.run(_play_all(seeds, arguments.seconds, arguments.jobs, keep))
    print(f"{len(seeds)} seeds, {len(broken)} with a broken promise: {broken}, logs in {keep}")
    sys.exit(1 if broken else 0)


def _seeds_of(text: str) -> list[int]:
    seeds: list[int] = []
    for item in text.split(",") if text else ():
        first, _, last = item.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


async def _play_all(seeds: list[int], seconds: float, jobs: int, keep: Path) -> list[int]:
    """Plays each seed in a process of its own, so that its callers have a clock to themselves."""
    broken: list[int] = []
    waiting = list(seeds)

    async def play_some(job: int) -> None:
        while waiting:
            seed = waiting.pop(0)
            command = ["-m", "soak", "--one", str(seed), "--job", str(job)]
            command += ["--seconds", str(seconds)]
            process = await asyncio.create_subprocess_exec(
                sys.executable, *command, "--keep", str(keep), stdout=subprocess.PIPE
            )
            output, _ = await process.communicate()
            print(output.decode(), end="", flush=True)
            if process.returncode:
                broken.append(seed)

    await asyncio.gather(*(play_some(job) for job in range(jobs)))
    return sorted(broken)


def _play_one(seed: int, seconds: float, keep: Path) -> None:
    directory = keep / str(seed)
    directory.mkdir(parents=True, exist_ok=True)
    outcome = play_seed(seed, seconds, directory)
    print(f"seed {seed}: {outcome.summary}")
    for line in outcome.broken:
        print(f"  {line}")
    if outcome.broken:
        sys.exit(1)
    shutil.rmtree(directory)


if __name__ == "__main__":
    main()

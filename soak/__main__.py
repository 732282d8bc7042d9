"""`python -m soak`: runs seeded faults against real processes and reports each broken promise.

Each seed has a directory of its own with the logs of all processes; the directories of seeds that
broke a promise are kept. The exit status is 1 if any seed broke one.
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
from soak.rounds import FAULT_PHASE_S, run_seed

# Ports per concurrent job. Each job has a block of its own, so that no seed takes a port that a
# stopped process of another seed is about to bind again.
PORTS_PER_JOB: Final = 300
# Ports that a host needs, with its link to the store, and a little more for other processes.
PORTS_PER_HOST: Final = 8
# Exclusive upper limit of the seeds that are chosen at random when --seeds is absent.
RANDOM_SEED_LIMIT: Final = 1_000_000_000


def main() -> None:
    """Runs the seeds that the command line names; exits with 1 if any broke a promise."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seeds", default="", help="for example 1-50 or 3,7; fresh ones if absent")
    parser.add_argument("--rounds", type=int, default=5, help="number of fresh seeds")
    parser.add_argument("--seconds", type=float, default=FAULT_PHASE_S, help="length of the faults")
    parser.add_argument("--jobs", type=int, default=2, help="seeds at a time")
    parser.add_argument("--hosts", type=int, help="number of hosts; drawn by the seed if absent")
    parser.add_argument("--keep", type=Path, help="directory for the logs of broken seeds")
    parser.add_argument("--one", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--job", type=int, default=0, help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.one is not None:
        ports = max(PORTS_PER_JOB, PORTS_PER_HOST * (arguments.hosts or 0))
        first_port = FIRST_PORT + arguments.job * ports
        limit_port_range(first_port, first_port + ports)
        _run_one(arguments.one, arguments.seconds, arguments.keep, arguments.hosts)
        return
    random = Random()
    seeds = parse_seeds(arguments.seeds) or [
        random.randrange(RANDOM_SEED_LIMIT) for _ in range(arguments.rounds)
    ]
    keep = arguments.keep or Path(tempfile.mkdtemp(prefix="soak-"))
    options = ["--seconds", str(arguments.seconds), "--keep", str(keep)]
    options += ["--hosts", str(arguments.hosts)] if arguments.hosts else []
    broken = asyncio.run(run_all(seeds, arguments.jobs, options))
    print(f"{len(seeds)} seeds, {len(broken)} with a broken promise: {broken}, logs in {keep}")
    sys.exit(1 if broken else 0)


def parse_seeds(text: str) -> list[int]:
    """Returns the seeds of a list such as `1-50` or `3,7`."""
    seeds: list[int] = []
    for item in text.split(",") if text else ():
        first, _, last = item.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


async def run_all(
    seeds: list[int], jobs: int, options: list[str], module: str = "soak"
) -> list[int]:
    """Runs each seed in a process of its own, so that other seeds do not delay its event loop.

    Args:
        seeds: The seeds.
        jobs: Number of seeds at a time.
        options: Arguments of each process.
        module: Module that runs a seed.

    Returns:
        The seeds that broke a promise, sorted.
    """
    broken: list[int] = []
    pending = list(seeds)

    async def run_pending(job: int) -> None:
        while pending:
            seed = pending.pop(0)
            command = ["-m", module, "--one", str(seed), "--job", str(job), *options]
            process = await asyncio.create_subprocess_exec(
                sys.executable, *command, stdout=subprocess.PIPE
            )
            output, _ = await process.communicate()
            print(output.decode(), end="", flush=True)
            if process.returncode:
                broken.append(seed)

    await asyncio.gather(*(run_pending(job) for job in range(jobs)))
    return sorted(broken)


def _run_one(seed: int, seconds: float, keep: Path, hosts: int | None) -> None:
    directory = keep / str(seed)
    directory.mkdir(parents=True, exist_ok=True)
    result = run_seed(seed, seconds, directory, hosts)
    print(f"seed {seed}: {result.summary}")
    for line in result.violations:
        print(f"  {line}")
    if result.violations:
        sys.exit(1)
    shutil.rmtree(directory)


if __name__ == "__main__":
    main()

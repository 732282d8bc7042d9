"""Rounds on real processes: two faults each, drawn by seed, and the engines' witness at the end.

Run as `python -m tests.authority.rounds --rounds 20`; it is too long for CI.
"""

import argparse
import random
import sys
import tempfile
import time
from pathlib import Path

from tests.authority.callers import Callers, wait_until_answered
from tests.authority.faults import FAULTS, order_faults, replace_engines
from tests.support.governed import start_governed_centre


def run_round(seed: int) -> list[str]:
    """Runs one round and returns what went wrong in it."""
    rng = random.Random(seed)
    checks = rng.choice(("yes", "no"))
    chosen = [rng.choice(sorted(FAULTS)) for _ in range(2)]
    began_s = time.monotonic()
    callers = Callers()
    with tempfile.TemporaryDirectory() as directory:
        centre = start_governed_centre(Path(directory), 2, 3, checks)
        try:
            for name, host in centre.hosts.items():
                wait_until_answered(host.port)
                callers.start(host.port, name, 100)
            centre.wait_for_version("1")
            for fault in chosen:
                replace_engines(centre)
                FAULTS[fault](centre)
                time.sleep(rng.uniform(0.0, 2.0))
            centre.wait_for_version("1")
            callers.finish()
            faults = order_faults(centre)
        except (TimeoutError, OSError) as error:
            faults = [repr(error)]
        finally:
            callers.stop.set()
            centre.processes.stop_all()
    took_s = time.monotonic() - began_s
    print(f"seed {seed} checks={checks} {chosen} {took_s:.0f} s whole={callers.whole}: {faults}")
    return faults


def main() -> None:
    """Runs the rounds and fails if anything went wrong in one."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=20)
    parser.add_argument("--first-seed", type=int, default=1)
    arguments = parser.parse_args()
    seeds = range(arguments.first_seed, arguments.first_seed + arguments.rounds)
    failed = [seed for seed in seeds if run_round(seed)]
    print(f"{arguments.rounds} rounds, failed: {failed}")
    sys.exit(bool(failed))


if __name__ == "__main__":
    main()

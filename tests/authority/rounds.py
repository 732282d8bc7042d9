"""Seeded rounds on real processes: two random faults each, then a check of the engines' logs.

Run as `python -m tests.authority.rounds --rounds 20`; it is too long for CI.
"""

import argparse
import random
import sys
import tempfile
import time
from pathlib import Path

from tests.authority.callers import Callers, wait_until_host_answers
from tests.authority.faults import FAULTS, find_order_violations, kill_and_restart_engines
from tests.support.data_centre_processes import start_data_centre


def run_round(seed: int) -> list[str]:
    """Runs one round and returns the order violations, or the error that ended it."""
    rng = random.Random(seed)
    checks_fencing = rng.choice(("yes", "no"))
    chosen_faults = [rng.choice(sorted(FAULTS)) for _ in range(2)]
    started_s = time.monotonic()
    callers = Callers()
    with tempfile.TemporaryDirectory() as directory:
        data_centre = start_data_centre(Path(directory), 2, 3, checks_fencing)
        try:
            for name, host in data_centre.hosts.items():
                wait_until_host_answers(host.port)
                callers.start(host.port, name, 100)
            data_centre.wait_for_version("1")
            for fault in chosen_faults:
                kill_and_restart_engines(data_centre)
                FAULTS[fault](data_centre)
                time.sleep(rng.uniform(0.0, 2.0))
            data_centre.wait_for_version("1")
            callers.finish()
            violations = find_order_violations(data_centre)
        except (TimeoutError, OSError) as error:
            violations = [repr(error)]
        finally:
            callers.stop_event.set()
            data_centre.processes.stop_all()
    duration_s = time.monotonic() - started_s
    print(
        f"seed {seed} checks={checks_fencing} {chosen_faults} {duration_s:.0f} s "
        f"whole={callers.complete_answers}: {violations}"
    )
    return violations


def main() -> None:
    """Runs the rounds and exits with status 1 if one of them failed."""
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

"""Command of the bench: `python -m bench table` compares policy sets in virtual time."""

import argparse
import sys
from typing import Final

from bench.policies import POLICY_SETS
from bench.scenarios import read_fleet, read_scenarios
from bench.table import as_markdown, run_scenario

FLEETS: Final = ("jamiat", "meskel")


def main() -> None:
    """Runs what the arguments ask for."""
    arguments = _parse_arguments()
    arguments.run(arguments)


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m bench", description=__doc__)
    commands = parser.add_subparsers(required=True)
    table = commands.add_parser("table", help="write the table of scenarios and policy sets")
    table.add_argument("--fleet", action="append", choices=FLEETS)
    table.add_argument("--scenario", action="append", help="name of a scenario; all if not given")
    table.add_argument("--policy", action="append", help="name of a policy set; all if not given")
    table.add_argument("--seed", type=int, default=1)
    table.set_defaults(run=_table)
    return parser.parse_args()


def _table(arguments: argparse.Namespace) -> None:
    policies = [each for each in POLICY_SETS if _wanted(each.name, arguments.policy)]
    lines = []
    for name in arguments.fleet or FLEETS:
        fleet = read_fleet(name)
        for scenario in read_scenarios():
            if _wanted(scenario.name, arguments.scenario):
                results = run_scenario(fleet, scenario, policies, arguments.seed)
                lines += [result.cells() for result in results]
    sys.stdout.write(as_markdown(lines) + "\n")


def _wanted(name: str, names: list[str] | None) -> bool:
    return not names or name in names


if __name__ == "__main__":
    main()

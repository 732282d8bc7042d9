"""Command of the bench: `python -m bench table` compares policy sets in virtual time."""

import argparse
import sys
from typing import Final

from bench.keys import measure_key_costs
from bench.knob import WEIGHTS, plot_curves, weight_curve
from bench.policies import POLICY_SETS
from bench.scaling import scaling_table
from bench.scenarios import read_fleet, read_scenarios
from bench.sizes import measure_sizes
from bench.slopes import measure_slopes
from bench.table import as_markdown, run_scenario

FLEETS: Final = ("jamiat", "meskel")


def main() -> None:
    """Runs the subcommand given on the command line."""
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
    knob = commands.add_parser("knob", help="measure the curve of role_change_weight")
    knob.add_argument("--scenario", default="swing")
    knob.add_argument("--seeds", type=int, default=3)
    knob.add_argument("--plot", help="path of a PNG to write")
    knob.set_defaults(run=_knob)
    slopes = commands.add_parser("slopes", help="measure processor time and memory per decision")
    slopes.set_defaults(run=_slopes)
    sizes = commands.add_parser("sizes", help="measure bytes and memory of control messages")
    sizes.set_defaults(run=_sizes)
    keys = commands.add_parser("keys", help="measure processor time per check of a caller's key")
    keys.set_defaults(run=_keys)
    scaling = commands.add_parser("scaling", help="compare cost and served share of scaling")
    scaling.add_argument("--seed", type=int, default=1)
    scaling.set_defaults(run=_scaling)
    return parser.parse_args()


def _knob(arguments: argparse.Namespace) -> None:
    scenario = next(each for each in read_scenarios() if each.name == arguments.scenario)
    curves = {
        name: weight_curve(read_fleet(name), scenario, WEIGHTS, arguments.seeds) for name in FLEETS
    }
    for name, points in curves.items():
        for point in points:
            cells = (name, point.weight, point.fraction_of_bound, point.changes_per_hour)
            sys.stdout.write("| {} | {:.2f} | {:.3f} | {:.0f} |\n".format(*cells))
    if arguments.plot:
        plot_curves(curves, arguments.plot)


def _slopes(arguments: argparse.Namespace) -> None:
    sys.stdout.write("| engines | route us | report us | plan us | membership us | bytes |\n")
    for row in measure_slopes():
        cells = (row.route_us, row.report_us, row.plan_us, row.membership_us)
        figures = " | ".join(f"{cell:.1f}" for cell in cells)
        sys.stdout.write(f"| {row.engines} | {figures} | {row.memory_bytes} |\n")


def _table(arguments: argparse.Namespace) -> None:
    policies = [each for each in POLICY_SETS if _is_selected(each.name, arguments.policy)]
    lines = []
    for name in arguments.fleet or FLEETS:
        fleet = read_fleet(name)
        for scenario in read_scenarios():
            if _is_selected(scenario.name, arguments.scenario):
                results = run_scenario(fleet, scenario, policies, arguments.seed)
                lines += [result.cells() for result in results]
    sys.stdout.write(as_markdown(lines) + "\n")


def _sizes(arguments: argparse.Namespace) -> None:
    for size in measure_sizes():
        sys.stdout.write(f"| {size.label} | {size.value:.1f} {size.unit} |\n")


def _keys(_arguments: argparse.Namespace) -> None:
    sys.stdout.write("| tenants | known key us | unknown key us | request us | decode ms |\n")
    for row in measure_key_costs():
        cells = (row.find_us, row.find_unknown_us, row.identify_us, row.decode_ms)
        sys.stdout.write(f"| {row.tenants} | " + " | ".join(f"{x:.2f}" for x in cells) + " |\n")


def _scaling(arguments: argparse.Namespace) -> None:
    sys.stdout.write(scaling_table(arguments.seed) + "\n")


def _is_selected(name: str, names: list[str] | None) -> bool:
    return not names or name in names


if __name__ == "__main__":
    main()

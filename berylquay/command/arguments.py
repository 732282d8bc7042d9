"""Command-line arguments of the tool."""

import argparse
import getpass
import os
from typing import Final

from berylquay.command.exit_codes import EXIT_CODES_HELP

SERVER_ENV_VARIABLE: Final = "BERYLQUAY_SERVER"
DEFAULT_TIMEOUT_S: Final = 20.0
_USAGE_EXAMPLE: Final = f"""
Deployments are INI files kept in version control (see examples/). A usual change:

  export {SERVER_ENV_VARIABLE}=10.0.0.1:7070,10.0.0.2:7070   # [operators] address of some hosts
  berylquay get                    # what is in force, and at which revision
  berylquay diff jamiat.ini        # what the file would change
  berylquay apply jamiat.ini       # change it; refused if somebody was faster
  berylquay revisions              # wait until every host shows the revision

"""


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog="berylquay",
        description="Operates berylquay.",
        epilog=_USAGE_EXAMPLE + EXIT_CODES_HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--server",
        default=os.environ.get(SERVER_ENV_VARIABLE, ""),
        metavar="IP:PORT[,IP:PORT...]",
        help=f"hosts to ask, tried in order; default: the variable {SERVER_ENV_VARIABLE}",
    )
    parser.add_argument("--json", action="store_true", help="print JSON for scripts")
    parser.add_argument(
        "--timeout-s", type=float, default=DEFAULT_TIMEOUT_S, help="time for one call"
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    _add_deployment_commands(commands)
    _add_fleet_commands(commands)
    return parser


def _add_deployment_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    apply = commands.add_parser("apply", help="put a deployment file in force")
    apply.add_argument("file", help="deployment file")
    _add_change_options(apply)
    remove = commands.add_parser("remove", help="remove a deployment")
    remove.add_argument("name", help="name of the deployment")
    _add_change_options(remove)
    diff = commands.add_parser("diff", help="compare a deployment file with what is in force")
    diff.add_argument("file", help="deployment file")
    diff.add_argument("--exit-code", action="store_true", help="exit with 10 on differences")
    get = commands.add_parser("get", help="show the configuration in force")
    get.add_argument("name", nargs="?", help="show this deployment in full")
    watch = commands.add_parser("watch", help="show each configuration as it comes into force")
    watch.add_argument("--count", type=int, default=0, help="end after so many; 0: never")


def _add_fleet_commands(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    commands.add_parser("hosts", help="list the entry hosts")
    commands.add_parser("backends", help="list engines and services, and who gives them orders")
    commands.add_parser("revisions", help="show the revision in force per host and data centre")
    for name, help_text in (
        ("drain", "keep new work away from a host or backend server"),
        ("undrain", "end the draining of a host or backend server"),
    ):
        command = commands.add_parser(name, help=help_text)
        command.add_argument("name", help="name of the host or backend server")
        _add_change_options(command)


def _add_change_options(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        "--base",
        type=int,
        default=None,
        metavar="REVISION",
        help="revision that the change is based on; default: the one in force now",
    )
    command.add_argument("--dry-run", action="store_true", help="judge only; change nothing")
    command.add_argument(
        "--change-id", default="", help="send an earlier change again; it takes effect once"
    )
    command.add_argument("--author", default=_user_name(), help="who asks, for the others to read")


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""

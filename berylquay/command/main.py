"""Entry point of the tool: parses the command line and runs the command."""

import argparse
import sys

from returns.result import Failure

from berylquay.command.arguments import SERVER_ENV_VARIABLE, build_parser
from berylquay.command.changes import apply_deployment, remove_deployment, set_draining
from berylquay.command.client import RefusedError, UnknownOutcomeError, UnreachableError
from berylquay.command.exit_codes import ExitCode
from berylquay.command.queries import (
    list_backends,
    list_hosts,
    show_configuration,
    show_differences,
    show_revisions,
    watch_configuration,
)
from berylquay.decisions.deployment import Deployment
from berylquay.settings.deployment_file import read_deployment_file


class BadUsageError(Exception):
    """The command line, or a file named on it, is invalid."""


def main(arguments: list[str] | None = None) -> int:
    """Runs one command and returns its exit code."""
    parsed = build_parser().parse_args(arguments)
    try:
        if not parsed.server:
            raise BadUsageError(f"name a host with --server or the variable {SERVER_ENV_VARIABLE}")
        return _run_command(parsed)
    except BadUsageError as error:
        return _print_error(error, ExitCode.BAD_USAGE)
    except RefusedError as error:
        return _print_error(error, ExitCode.REFUSED)
    except UnreachableError as error:
        return _print_error(error, ExitCode.UNREACHABLE)
    except UnknownOutcomeError as error:
        return _print_error(error, ExitCode.UNKNOWN_OUTCOME)
    except KeyboardInterrupt:
        return ExitCode.OK


def _run_command(arguments: argparse.Namespace) -> ExitCode:
    match arguments.command:
        case "apply":
            return apply_deployment(arguments, _read_deployment(arguments.file))
        case "remove":
            return remove_deployment(arguments)
        case "drain" | "undrain":
            return set_draining(arguments, arguments.command == "drain")
        case "diff":
            return show_differences(arguments, _read_deployment(arguments.file))
        case _:
            return _QUERY_COMMANDS[arguments.command](arguments)


_QUERY_COMMANDS = {
    "get": show_configuration,
    "watch": watch_configuration,
    "hosts": list_hosts,
    "backends": list_backends,
    "revisions": show_revisions,
}


def _read_deployment(path: str) -> Deployment:
    result = read_deployment_file(path)
    if isinstance(result, Failure):
        raise BadUsageError("\n".join(str(error) for error in result.failure()))
    return result.unwrap()


def _print_error(error: Exception, code: ExitCode) -> ExitCode:
    print(f"berylquay: {error}", file=sys.stderr)  # noqa: T201
    return code

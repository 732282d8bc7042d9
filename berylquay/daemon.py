"""`berylquayd`: the process of one entry host; reads its settings and runs the loop."""

import argparse
import sys
from typing import Final, NoReturn

from returns.result import Failure

from berylquay.assembly import HostAssembly
from berylquay.decisions.deployment import Deployment
from berylquay.errors import SettingsError
from berylquay.logs import set_up_logs
from berylquay.peers.pipes import PipeFactory, make_pipe_factory
from berylquay.settings.deployment_file import read_deployment_file
from berylquay.settings.host_file import read_host_file
from berylquay.settings.options import Options

EXIT_BAD_SETTINGS: Final = 2


def main() -> None:
    """Runs the daemon until it is told to stop."""
    arguments = _parse_arguments()
    read = read_host_file(arguments.settings)
    if isinstance(read, Failure):
        _exit_for_bad_settings(read.failure())
    options = read.unwrap()
    deployments = _read_initial_deployments(options)
    pipes = _make_pipes(options, arguments.settings)
    if arguments.check:
        print(f"{arguments.settings}: ok")  # noqa: T201
        return
    set_up_logs(options.log_level)
    HostAssembly(options).build(deployments, pipes).run()


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="berylquayd", description="Serves callers on one entry host."
    )
    parser.add_argument("settings", help="path of the host's INI file")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    return parser.parse_args()


def _read_initial_deployments(options: Options) -> tuple[Deployment, ...]:
    deployments: list[Deployment] = []
    for path in options.initial_deployments:
        read = read_deployment_file(path)
        if isinstance(read, Failure):
            _exit_for_bad_settings(read.failure())
        deployments.append(read.unwrap())
    return tuple(deployments)


def _make_pipes(options: Options, file: str) -> PipeFactory:
    made = make_pipe_factory(options.peers.tls if options.peers is not None else None)
    if isinstance(made, Failure):
        allowed = "a certificate, its key and the authority's certificate, in PEM files"
        _exit_for_bad_settings(
            (SettingsError(file, "peers", "certificate", made.failure(), allowed),)
        )
    return made.unwrap()


def _exit_for_bad_settings(errors: tuple[SettingsError, ...]) -> NoReturn:
    for error in errors:
        print(error, file=sys.stderr)  # noqa: T201
    sys.exit(EXIT_BAD_SETTINGS)


if __name__ == "__main__":
    main()

"""`berylquayd`: the daemon of one entry host; reads its settings and runs the event loop."""

import argparse
import sys
from typing import Final, NoReturn

from returns.result import Failure

from berylquay.decisions.deployment import Deployment
from berylquay.errors import SettingsError
from berylquay.host_assembly import HostAssembly
from berylquay.json_logging import set_up_logging
from berylquay.peers.security_layer import SecurityLayerFactory, create_security_layer_factory
from berylquay.settings.deployment_file import read_deployment_file
from berylquay.settings.host_options import HostOptions
from berylquay.settings.host_settings import read_host_settings

EXIT_BAD_SETTINGS: Final = 2


def main() -> None:
    """Runs the daemon until it is stopped; exits with status 2 if the settings are faulty."""
    arguments = _parse_arguments()
    result = read_host_settings(arguments.settings)
    if isinstance(result, Failure):
        _exit_for_bad_settings(result.failure())
    options = result.unwrap()
    deployments = _read_initial_deployments(options)
    security_layer_factory = _create_security_layer_factory(options, arguments.settings)
    if arguments.check:
        print(f"{arguments.settings}: ok")  # noqa: T201
        return
    set_up_logging(options.log_level)
    HostAssembly(options).build(deployments, security_layer_factory).run()


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="berylquayd", description="Serves callers on one entry host."
    )
    parser.add_argument("settings", help="path of the host's INI file")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    return parser.parse_args()


def _read_initial_deployments(options: HostOptions) -> tuple[Deployment, ...]:
    deployments: list[Deployment] = []
    for path in options.initial_deployments:
        result = read_deployment_file(path)
        if isinstance(result, Failure):
            _exit_for_bad_settings(result.failure())
        deployments.append(result.unwrap())
    return tuple(deployments)


def _create_security_layer_factory(
    options: HostOptions, settings_path: str
) -> SecurityLayerFactory:
    result = create_security_layer_factory(options.peers.tls if options.peers is not None else None)
    if isinstance(result, Failure):
        allowed = "a certificate, its key and the authority's certificate, in PEM files"
        _exit_for_bad_settings(
            (SettingsError(settings_path, "peers", "certificate", result.failure(), allowed),)
        )
    return result.unwrap()


def _exit_for_bad_settings(errors: tuple[SettingsError, ...]) -> NoReturn:
    for error in errors:
        print(error, file=sys.stderr)  # noqa: T201
    sys.exit(EXIT_BAD_SETTINGS)


if __name__ == "__main__":
    main()

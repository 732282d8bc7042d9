"""`python -m berylquay.relay`: runs one relay host."""

import argparse
import os
import sys
from typing import Final

from returns.result import Failure

from berylquay.relay.host import RelayHost
from berylquay.relay.log_handler import StdoutLogHandler
from berylquay.settings.relay_settings import read_relay_settings

SETTINGS_VARIABLE: Final = "BERYLQUAY_NODE_FILE"
EXIT_BAD_SETTINGS: Final = 2


def main() -> None:
    """Reads the settings and runs the host until it is asked to stop."""
    parser = argparse.ArgumentParser(
        prog="python -m berylquay.relay",
        description="Relays requests of callers to the backend servers that the platform lists.",
    )
    parser.add_argument(
        "settings",
        nargs="?",
        default=os.environ.get(SETTINGS_VARIABLE, ""),
        help=f"path of the host's INI file; by default what ${SETTINGS_VARIABLE} says",
    )
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    arguments = parser.parse_args()
    result = read_relay_settings(arguments.settings)
    if isinstance(result, Failure):
        for error in result.failure():
            print(error, file=sys.stderr)  # noqa: T201
        sys.exit(EXIT_BAD_SETTINGS)
    options = result.unwrap()
    if arguments.check:
        print(f"{arguments.settings}: ok")  # noqa: T201
        return
    log_handler = StdoutLogHandler(options.log_level)
    log_handler.push_application()
    RelayHost(options, arguments.settings, log_handler).run()


if __name__ == "__main__":
    main()

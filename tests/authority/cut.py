"""An order that is stuck in a socket through a cut, in a network namespace of its own.

Run as root: `unshare -n python -m tests.authority.cut`. The sender stops before its write, the
loopback device goes down, the sender writes and gives up, the device comes up again. With
`--linger no` the sender closes its socket as programs usually do; the order then arrives late.
"""

import argparse
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from examples.processes import Processes
from tests.authority.test_sender import (
    LEFT_S,
    received,
    send,
    start_engine,
    start_sender,
    wait_until_stopped,
)

# Time for which the cut lasts beyond the order's time.
CUT_S = 1.0
# Time in which the kernel sends again what is still in a socket.
RETRANSMISSION_S = 8.0


def set_loopback(state: str) -> None:
    """Takes the loopback device up or down."""
    subprocess.run(["ip", "link", "set", "lo", state], check=True)


def run(directory: Path, linger: str) -> list[str]:
    """Returns the orders that the engine received."""
    processes = Processes(directory)
    set_loopback("up")
    try:
        engine = start_engine(processes)
        arguments = ("--pause-at", "before-write", "--linger", linger)
        sender = start_sender(processes, "sender", *arguments)
        thread = threading.Thread(target=send, args=(sender, engine.port, "stuck", 1), daemon=True)
        thread.start()
        wait_until_stopped(sender)
        set_loopback("down")
        sender.resume()
        time.sleep(LEFT_S + CUT_S)
        set_loopback("up")
        time.sleep(RETRANSMISSION_S)
        return received(engine)
    finally:
        processes.stop_all()


def main() -> None:
    """Runs the cut and fails if the stuck order arrived."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--linger", choices=("yes", "no"), default="yes")
    linger = parser.parse_args().linger
    with tempfile.TemporaryDirectory() as directory:
        orders = run(Path(directory), linger)
    print(f"linger={linger}: the engine received {orders}")
    sys.exit(bool(orders))


if __name__ == "__main__":
    main()

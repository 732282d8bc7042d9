"""A sender that stops itself with SIGSTOP at a chosen point, to be resumed by the test.

With `--timer no` the deadline is only checked and never armed, as a sender without a kernel timer
would do; the proofs show that this fails.
"""

import argparse
import os
import signal
import socket
import struct
import time
from collections.abc import Callable
from unittest.mock import patch

from berylquay.authority.deadline import Deadline, KernelTimerDeadline
from berylquay.authority.order_exchange import OrderExchange
from berylquay.authority.send_request import SendRequest
from berylquay.authority.sender import OrderSender, run_sender

NO_LINGER = struct.pack("ii", 0, 0)


def stop_here() -> None:
    """Stops this process until it gets SIGCONT."""
    os.kill(os.getpid(), signal.SIGSTOP)


class CheckedDeadline:
    """Checks the time before the write and does nothing after."""

    def arm(self, until_s: float) -> bool:
        """Tells whether there is time left."""
        return time.monotonic() < until_s

    def disarm(self) -> None:
        """Does nothing."""


class PausingDeadline:
    """Stops the process before or right after the deadline is armed."""

    def __init__(self, deadline: Deadline, point: str) -> None:
        self._deadline = deadline
        self._point = point

    def arm(self, until_s: float) -> bool:
        """Arms the deadline."""
        if self._point == "before-arming":
            stop_here()
        armed = self._deadline.arm(until_s)
        if self._point == "after-arming":
            stop_here()
        return armed

    def disarm(self) -> None:
        """Takes the deadline back."""
        self._deadline.disarm()


class PausingExchange(OrderExchange):
    """Stops the process right before or right after the write."""

    point = ""
    linger = "yes"

    def write(self, sock: socket.socket, data: bytes) -> None:
        """Writes the order."""
        if self.linger == "no":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)
        if self.point == "before-write":
            stop_here()
        super().write(sock, data)
        if self.point == "after-write":
            stop_here()


class PausingSender(OrderSender):
    """A sender whose exchanges pause."""

    def make_exchange(self, request: SendRequest) -> OrderExchange:
        """Returns the pausing exchange."""
        return PausingExchange(request.address, request.expires_s)


class PausingKernelDeadline(KernelTimerDeadline):
    """Stops the process between its reading of the clock and the setting of the timer."""

    def arm(self, until_s: float) -> bool:
        """Arms the deadline, with a stop inside."""
        with patch("signal.setitimer", stop_before(signal.setitimer)):
            return super().arm(until_s)


def stop_before(set_timer: Callable[[int, float], object]) -> Callable[[int, float], object]:
    """Returns the function with a stop before each call that sets a timer."""

    def stop_and_set(which: int, seconds: float) -> object:
        if seconds > 0.0:
            stop_here()
        return set_timer(which, seconds)

    return stop_and_set


def main() -> None:
    """Runs the pausing sender."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--pause-at", default="")
    parser.add_argument("--timer", choices=("yes", "no"), default="yes")
    parser.add_argument("--linger", choices=("yes", "no"), default="yes")
    arguments = parser.parse_args()
    PausingExchange.point = arguments.pause_at
    PausingExchange.linger = arguments.linger
    kernel = (
        PausingKernelDeadline() if arguments.pause_at == "amid-arming" else KernelTimerDeadline()
    )
    deadline: Deadline = kernel if arguments.timer == "yes" else CheckedDeadline()
    run_sender(PausingSender(PausingDeadline(deadline, arguments.pause_at)), arguments.port)


if __name__ == "__main__":
    main()

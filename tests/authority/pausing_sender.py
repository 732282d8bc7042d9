"""An order sender that stops itself with SIGSTOP at a chosen point, to be resumed by the test.

With `--timer no` the deadline is checked before the write but no kernel timer is armed; the tests
show that a late order then gets through.
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


def pause_process() -> None:
    """Stops this process until it gets SIGCONT."""
    os.kill(os.getpid(), signal.SIGSTOP)


class CheckOnlyDeadline:
    """Checks the time before the write, without a kernel timer."""

    def arm(self, until_s: float) -> bool:
        """Returns whether there is time left."""
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
            pause_process()
        armed = self._deadline.arm(until_s)
        if self._point == "after-arming":
            pause_process()
        return armed

    def disarm(self) -> None:
        """Disarms the deadline."""
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
            pause_process()
        super().write(sock, data)
        if self.point == "after-write":
            pause_process()


class PausingSender(OrderSender):
    """A sender whose exchanges pause."""

    def make_exchange(self, request: SendRequest) -> OrderExchange:
        """Returns the pausing exchange."""
        return PausingExchange(request.address, request.expires_s)


class PausingKernelDeadline(KernelTimerDeadline):
    """Stops the process after it has read the clock and before it sets the timer."""

    def arm(self, until_s: float) -> bool:
        """Arms the deadline and stops the process before the timer is set."""
        with patch("signal.setitimer", pausing_before(signal.setitimer)):
            return super().arm(until_s)


def pausing_before(set_timer: Callable[[int, float], object]) -> Callable[[int, float], object]:
    """Returns a wrapper that stops the process before each call that sets a timer."""

    def pause_and_set(which: int, seconds: float) -> object:
        if seconds > 0.0:
            pause_process()
        return set_timer(which, seconds)

    return pause_and_set


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
    kernel_deadline = (
        PausingKernelDeadline() if arguments.pause_at == "amid-arming" else KernelTimerDeadline()
    )
    deadline: Deadline = kernel_deadline if arguments.timer == "yes" else CheckOnlyDeadline()
    run_sender(PausingSender(PausingDeadline(deadline, arguments.pause_at)), arguments.port)


if __name__ == "__main__":
    main()

"""Deadline for sending an order, enforced by a kernel timer that ends the process.

A check before a write is not enough, since the process may be paused between the two. The kernel
delivers a pending SIGALRM before a resumed process runs any more of its code, and the signal's
default action ends the process; the kernel then closes its sockets.
"""

import signal
import time
from typing import Final, Protocol

# Margin for the rounding of the timer.
TIMER_SLACK_S: Final = 0.002
# Maximum time to a deadline; a later deadline was computed from another host's clock.
MAX_DEADLINE_S: Final = 60.0


class Deadline(Protocol):
    """Ensures that the process does nothing after a point in time."""

    def arm(self, until_s: float) -> bool:
        """Arms the deadline.

        Args:
            until_s: Monotonic time of the deadline.

        Returns:
            Whether the deadline is armed. False means that the time has passed or is too far ahead.
        """

    def disarm(self) -> None:
        """Cancels the deadline."""


class KernelTimerDeadline:
    """Ends the process by SIGALRM at the deadline."""

    def __init__(self) -> None:
        # The supervisor may have left the signal ignored or blocked, which a child inherits.
        signal.signal(signal.SIGALRM, signal.SIG_DFL)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGALRM})

    def arm(self, until_s: float) -> bool:
        """Arms the timer, then checks that it fires in time even if arming it took long."""
        timer_s = until_s - time.monotonic() - TIMER_SLACK_S
        if not 0.0 < timer_s <= MAX_DEADLINE_S:
            return False
        signal.setitimer(signal.ITIMER_REAL, timer_s)
        remaining_s, _ = signal.getitimer(signal.ITIMER_REAL)
        if time.monotonic() + remaining_s > until_s:
            # The process was paused before the timer was set, so the timer would fire too late.
            self.disarm()
            return False
        return True

    def disarm(self) -> None:
        """Stops the timer."""
        signal.setitimer(signal.ITIMER_REAL, 0.0)

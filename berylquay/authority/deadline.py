"""The deadline of an order's sender: a kernel timer that ends the process.

A check before a write is not enough, since the process may be paused between the two. The kernel
delivers a pending SIGALRM before a resumed process runs any more of its code, and the signal's
default action ends the process; its sockets are then closed by the kernel.
"""

import signal
import time
from typing import Final, Protocol

# Allowance for the rounding of the timer.
TIMER_SLACK_S: Final = 0.002
# Longest deadline that is taken; a later one comes from a clock other than this host's.
MAX_DEADLINE_S: Final = 60.0


class Deadline(Protocol):
    """Makes sure that the process does nothing more after a point in time."""

    def arm(self, until_s: float) -> bool:
        """Arms the deadline; False means that it could not be armed in time."""

    def disarm(self) -> None:
        """Takes the deadline back."""


class KernelTimerDeadline:
    """Ends the process by SIGALRM at the deadline."""

    def __init__(self) -> None:
        # Both may have been inherited from the supervisor in another state.
        signal.signal(signal.SIGALRM, signal.SIG_DFL)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGALRM})

    def arm(self, until_s: float) -> bool:
        """Arms the timer, then checks that it ends in time however long the arming took."""
        timer_s = until_s - time.monotonic() - TIMER_SLACK_S
        if not 0.0 < timer_s <= MAX_DEADLINE_S:
            return False
        signal.setitimer(signal.ITIMER_REAL, timer_s)
        remaining_s, _ = signal.getitimer(signal.ITIMER_REAL)
        if time.monotonic() + remaining_s > until_s:
            # The process was paused before the timer was set, so the timer ends too late.
            self.disarm()
            return False
        return True

    def disarm(self) -> None:
        """Stops the timer."""
        signal.setitimer(signal.ITIMER_REAL, 0.0)

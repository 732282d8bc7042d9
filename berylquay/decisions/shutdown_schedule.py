"""Shutdown schedule of a host: until when it accepts requests, and when its process ends."""

from enum import Enum
from typing import Final

from attrs import frozen

# Time after the stop signal during which requests are accepted. The load balancer checks a host
# once a second and removes it after two failed checks; a request accepted later might outlive the
# process.
ACCEPT_S: Final = 2.6
# Fraction of the grace period after which the process ends even with calls in flight, so that it
# ends before it is killed.
EXIT_GRACE_FRACTION: Final = 0.94
# Minimum time from the stop signal to the end, so that the last requests that the load balancer
# sent are answered.
MIN_SHUTDOWN_S: Final = 3.2


class ShutdownPhase(Enum):
    """Phase of a host's shutdown."""

    # Accepts requests, and asks callers to close their connections with each answer.
    ACCEPTING = "taking"
    # Refuses new requests and finishes those in flight.
    FINISHING = "finishing"
    # The process ends.
    ENDED = "ended"


@frozen
class ShutdownSchedule:
    """Times of one shutdown."""

    # Monotonic time of the stop signal.
    requested_s: float
    # Time from the signal until the process is killed.
    grace_s: float

    def phase(self, is_idle: bool, now_s: float) -> ShutdownPhase:
        """Returns the phase of the shutdown at present.

        Args:
            is_idle: Whether no call is in flight and no connection is open.
            now_s: Present monotonic time.
        """
        elapsed_s = now_s - self.requested_s
        if elapsed_s >= self.grace_s * EXIT_GRACE_FRACTION:
            return ShutdownPhase.ENDED
        if is_idle and elapsed_s >= min(MIN_SHUTDOWN_S, self.grace_s * EXIT_GRACE_FRACTION):
            return ShutdownPhase.ENDED
        if elapsed_s >= min(ACCEPT_S, self.grace_s / 2.0):
            return ShutdownPhase.FINISHING
        return ShutdownPhase.ACCEPTING

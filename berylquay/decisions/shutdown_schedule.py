"""The stop of a host: until when it takes requests, and when it ends."""

from enum import Enum
from typing import Final

from attrs import frozen

# Time after the stop signal until which requests are taken. The balancer asks once a second and
# takes a host out after two misses; a request taken later might outlive the process.
ACCEPT_S: Final = 2.6
# Part of the grace period after which the process ends whatever is under way, ahead of the kill.
EXIT_GRACE_FRACTION: Final = 0.94
# Shortest time that a stopping host goes on, so that what the balancer sent last is answered.
MIN_SHUTDOWN_S: Final = 3.2


class ShutdownPhase(Enum):
    """What a stopping host does."""

    # Takes requests and asks callers to leave with each answer.
    ACCEPTING = "taking"
    # Refuses new requests and finishes those under way.
    FINISHING = "finishing"
    # Ends.
    ENDED = "ended"


@frozen
class ShutdownSchedule:
    """Times of one stop."""

    # Monotonic time of the stop signal.
    signalled_s: float
    # Time from the signal until the process is killed.
    grace_s: float

    def phase(self, is_idle: bool, now_s: float) -> ShutdownPhase:
        """Returns what the host does now.

        Args:
            is_idle: Whether no call is under way and no connection is open.
            now_s: Present time.
        """
        elapsed_s = now_s - self.signalled_s
        if elapsed_s >= self.grace_s * EXIT_GRACE_FRACTION:
            return ShutdownPhase.ENDED
        if is_idle and elapsed_s >= min(MIN_SHUTDOWN_S, self.grace_s * EXIT_GRACE_FRACTION):
            return ShutdownPhase.ENDED
        if elapsed_s >= min(ACCEPT_S, self.grace_s / 2.0):
            return ShutdownPhase.FINISHING
        return ShutdownPhase.ACCEPTING

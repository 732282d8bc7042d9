"""The stop of a host: until when it takes requests, and when it ends."""

from enum import Enum
from typing import Final

from attrs import frozen

# Time after the stop signal until which requests are taken. The balancer asks once a second and
# takes a host out after two misses; a request taken later might outlive the process.
TAKE_S: Final = 2.6
# Part of the grace period after which the process ends whatever is under way, ahead of the kill.
END_SHARE: Final = 0.94
# Shortest time that a stopping host goes on, so that what the balancer sent last is answered.
LEAST_S: Final = 3.2


class StopPhase(Enum):
    """What a stopping host does."""

    # Takes requests and asks callers to leave with each answer.
    TAKING = "taking"
    # Refuses new requests and finishes those under way.
    FINISHING = "finishing"
    # Ends.
    ENDED = "ended"


@frozen
class StopPlan:
    """Times of one stop."""

    # Monotonic time of the stop signal.
    stopped_s: float
    # Time from the signal until the process is killed.
    grace_s: float

    def phase(self, is_quiet: bool, now_s: float) -> StopPhase:
        """Returns what the host does now.

        Args:
            is_quiet: Whether no call is under way and no connection is open.
            now_s: Present time.
        """
        elapsed_s = now_s - self.stopped_s
        if elapsed_s >= self.grace_s * END_SHARE:
            return StopPhase.ENDED
        if is_quiet and elapsed_s >= min(LEAST_S, self.grace_s * END_SHARE):
            return StopPhase.ENDED
        if elapsed_s >= min(TAKE_S, self.grace_s / 2.0):
            return StopPhase.FINISHING
        return StopPhase.TAKING

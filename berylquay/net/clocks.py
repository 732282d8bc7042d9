"""The clock that also runs while the machine is suspended."""

import time


def boot_clock_s() -> float:
    """Returns the time since the machine started, in seconds, with the time of suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)

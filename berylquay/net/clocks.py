"""Clocks beside the monotonic one."""

import time
from typing import Final

MS_PER_S: Final = 1000.0


def boot_clock_s() -> float:
    """Returns the time since the machine started, in seconds, with the time of suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms_at(monotonic_s: float) -> int:
    """Returns the Unix time of a monotonic time, in milliseconds."""
    return round((time.time() - time.monotonic() + monotonic_s) * MS_PER_S)

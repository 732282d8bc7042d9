"""How long the machine was suspended, a time that the monotonic clock leaves out.

An age that is worked out on the monotonic clock is too small by that time.
"""

from typing import Final

from attrs import define

# Difference between two readings of both clocks below which the machine was not suspended.
MIN_SUSPENSION_S: Final = 0.02


@define
class SuspensionMeter:
    """Compares the monotonic clock with the one that also runs while the machine is suspended."""

    # Largest difference between the clocks so far; a process that was held up between two readings
    # finds too small a one.
    _lead_s: float | None = None

    def observe(self, boot_s: float, now_s: float) -> float:
        """Returns for how long the machine was suspended since the last call, in seconds.

        Args:
            boot_s: Present time on the clock that also runs while the machine is suspended, read
                before the other one.
            now_s: Present monotonic time.
        """
        before_s, lead_s = self._lead_s, boot_s - now_s
        if before_s is None:
            self._lead_s = lead_s
            return 0.0
        if lead_s - before_s < MIN_SUSPENSION_S:
            return 0.0
        self._lead_s = lead_s
        return lead_s - before_s

"""Detection of a freeze of the host, after which its knowledge may be older than it seems."""

from typing import Final

from attrs import define

# Time after a freeze from which on a confirmation is not of a datagram that had piled up.
CONFIRMATION_MARGIN_S: Final = 0.1
# Time after a freeze for which a confirmation is awaited. A host that has none by then is cut off
# from the store, and what it knows remains in force.
MAX_WAIT_S: Final = 1.5


@define
class FreezeGuard:
    """Tells whether the host must first confirm what it knows, since it was frozen."""

    # Longest time between two observations that is not a freeze.
    _max_gap_s: float
    # Time of the last observation, on a clock that runs during a freeze.
    _observed_s: float | None = None
    # Monotonic time at which the last freeze was noticed, until its knowledge is confirmed.
    _resumed_s: float | None = None

    def observe(self, boot_s: float, now_s: float) -> None:
        """Notices a freeze since the last observation.

        Args:
            boot_s: Present time on a clock that runs during a freeze.
            now_s: Present monotonic time.
        """
        if self._observed_s is not None and boot_s - self._observed_s > self._max_gap_s:
            self._resumed_s = now_s
        self._observed_s = boot_s

    def must_confirm(self, confirmed_s: float, now_s: float) -> bool:
        """Tells whether what was known before a freeze may not be relied on yet.

        Args:
            confirmed_s: Monotonic time up to which the knowledge is known to be complete.
            now_s: Present monotonic time.
        """
        if self._resumed_s is None:
            return False
        is_confirmed = confirmed_s >= self._resumed_s + CONFIRMATION_MARGIN_S
        if is_confirmed or now_s - self._resumed_s > MAX_WAIT_S:
            self._resumed_s = None
        return self._resumed_s is not None

"""Backoff: how long to wait before a failed exchange is tried again."""

from random import Random

from attrs import frozen


@frozen
class Backoff:
    """Exponential backoff with full jitter above a floor."""

    # Shortest wait.
    min_delay_s: float
    # Longest wait.
    max_delay_s: float

    def delay_s(self, failures: int, rng: Random) -> float:
        """Returns the wait after that many failures in a row, at least one."""
        upper_s = min(self.max_delay_s, self.min_delay_s * 2.0**failures)
        return rng.uniform(self.min_delay_s, max(self.min_delay_s, upper_s))

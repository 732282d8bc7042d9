"""Backoff: how long to wait before a failed exchange is tried again."""

from random import Random

from attrs import frozen


@frozen
class Backoff:
    """Exponential backoff with full jitter above a floor."""

    # Shortest wait.
    floor_s: float
    # Longest wait.
    ceiling_s: float

    def delay_s(self, failures: int, rng: Random) -> float:
        """Returns the wait after that many failures in a row, at least one."""
        bound_s = min(self.ceiling_s, self.floor_s * 2.0**failures)
        return rng.uniform(self.floor_s, max(self.floor_s, bound_s))

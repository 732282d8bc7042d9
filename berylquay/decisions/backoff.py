"""Backoff between the attempts of a failing request."""

from random import Random

from attrs import frozen


@frozen
class Backoff:
    """Exponential backoff with full jitter above a minimum delay."""

    # Minimum delay.
    min_delay_s: float
    # Maximum delay.
    max_delay_s: float

    def delay_s(self, failures: int, rng: Random) -> float:
        """Returns the delay after that many consecutive failures, which must be at least one."""
        upper_s = min(self.max_delay_s, self.min_delay_s * 2.0**failures)
        return rng.uniform(self.min_delay_s, max(self.min_delay_s, upper_s))

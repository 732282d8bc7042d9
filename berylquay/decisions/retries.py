"""Retries: how many attempts a call may have, and how many retries the host may make in all."""

from random import Random

from attrs import frozen


@frozen
class RetryLimits:
    """Bounds on retries."""

    # Most attempts for one call.
    max_attempts: int = 5
    # Retries that each offered call adds to the budget.
    budget_ratio: float = 0.08
    # Most retries that the budget saves up; the budget starts full.
    budget_burst: float = 64.0
    # Longest wait before the first retry; doubles with each further one.
    initial_backoff_s: float = 0.05
    # Shortest wait after a backend server was lost, so that peers hear of it first.
    min_crash_backoff_s: float = 0.1
    # When a caller should come back if nothing better is known.
    default_retry_after_s: float = 1.0


class RetryBudget:
    """A token bucket that the offered load fills and retries empty.

    Over any stretch of time, retries stay under `budget_share` of the offered calls plus the burst.
    """

    # Bounds on retries.
    _limits: RetryLimits
    # Retries that may be made now.
    _tokens: float

    def __init__(self, limits: RetryLimits) -> None:
        self._limits = limits
        self._tokens = limits.budget_burst

    def on_call(self) -> None:
        """Takes note of a call that a caller offered."""
        self._tokens = min(self._tokens + self._limits.budget_ratio, self._limits.budget_burst)

    @property
    def has_budget(self) -> bool:
        """Tells whether a retry may be made now."""
        return self._tokens >= 1.0

    def spend(self) -> None:
        """Takes one retry out of the budget."""
        self._tokens -= 1.0


def backoff_with_jitter_s(limits: RetryLimits, attempts_made: int, rng: Random) -> float:
    """Returns how long to wait before the next attempt, with full jitter."""
    longest_s: float = limits.initial_backoff_s * 2.0 ** (attempts_made - 1)
    return rng.uniform(0.0, longest_s)

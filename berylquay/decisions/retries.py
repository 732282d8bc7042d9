"""Retries: the attempts allowed per call, the host's retry budget and the backoff."""

from random import Random

from attrs import frozen


@frozen
class RetryLimits:
    """Limits on retries."""

    # Maximum number of attempts per call.
    max_attempts: int = 5
    # Retries that each offered call adds to the retry budget.
    budget_ratio: float = 0.08
    # Capacity of the retry budget in retries; the budget starts full.
    budget_burst: float = 64.0
    # Upper limit of the backoff before the first retry; doubles with each further retry.
    initial_backoff_s: float = 0.05
    # Minimum backoff after a crash of a backend server, so that the peers hear of the crash before
    # the retry.
    min_crash_backoff_s: float = 0.1
    # Time after which a refused caller may retry if no better estimate is known.
    default_retry_after_s: float = 1.0


class RetryBudget:
    """A token bucket that is filled by offered calls and drained by retries.

    Over any period, retries stay below `budget_ratio` of the offered calls plus `budget_burst`.
    """

    # Limits on retries.
    _limits: RetryLimits
    # Retries left in the budget.
    _tokens: float

    def __init__(self, limits: RetryLimits) -> None:
        self._limits = limits
        self._tokens = limits.budget_burst

    def on_call(self) -> None:
        """Adds the share of one offered call to the budget."""
        self._tokens = min(self._tokens + self._limits.budget_ratio, self._limits.budget_burst)

    @property
    def has_budget(self) -> bool:
        """Returns whether the budget allows a retry now."""
        return self._tokens >= 1.0

    def spend(self) -> None:
        """Removes one retry from the budget."""
        self._tokens -= 1.0


def backoff_with_jitter_s(limits: RetryLimits, attempts_made: int, rng: Random) -> float:
    """Returns the exponential backoff before the next attempt, with full jitter."""
    max_delay_s: float = limits.initial_backoff_s * 2.0 ** (attempts_made - 1)
    return rng.uniform(0.0, max_delay_s)

"""Retry budget that all hosts share, divided between them without coordination.

Each host spends its part of the fixed allowance plus the ratio of the requests that it has received
itself, so the sum over all hosts stays within the total budget, whichever hosts are cut off.
"""

from collections import deque
from typing import Final

from attrs import define, field, frozen

# Fraction of the budget that is spent. The rest is a margin for hosts that are not known yet, and
# for windows that divide bursts differently here than where the budget is verified.
USABLE_FRACTION: Final = 0.7


@frozen
class RetryBudgetOptions:
    """The total budget of each pool over all hosts."""

    # Retries allowed for each request from callers.
    ratio: float
    # Length of the sliding window in which the limit must hold.
    window_s: float
    # Retries allowed in each window in addition.
    extra_per_window: float


@define
class _PoolWindow:
    """Monotonic times of requests and retries in the present window."""

    requests: deque[float] = field(factory=deque)
    retries: deque[float] = field(factory=deque)


class SharedRetryBudget:
    """This host's part of the retry budget."""

    _options: RetryBudgetOptions
    # Windows by pool.
    _windows: dict[str, _PoolWindow]
    # Number of hosts that share the fixed allowance, including this one.
    _host_count: int

    def __init__(self, options: RetryBudgetOptions) -> None:
        self._options = options
        self._windows = {}
        self._host_count = 1

    def on_options(self, options: RetryBudgetOptions) -> None:
        """Replaces the options; earlier retries still count."""
        self._options = options

    def on_host_count(self, count: int) -> None:
        """Sets the number of hosts that share the budget."""
        self._host_count = max(1, count)

    def on_call(self, pool: str, now_s: float) -> None:
        """Records a request from a caller."""
        self._window(pool, now_s).requests.append(now_s)

    def has_budget(self, pool: str, now_s: float) -> bool:
        """Tells whether one more retry is within the budget."""
        window = self._window(pool, now_s)
        allowed = (
            len(window.requests) * self._options.ratio
            + self._options.extra_per_window / self._host_count
        )
        return len(window.retries) + 1 <= allowed * USABLE_FRACTION

    def spend(self, pool: str, now_s: float) -> None:
        """Records a retry."""
        self._window(pool, now_s).retries.append(now_s)

    def _window(self, pool: str, now_s: float) -> _PoolWindow:
        window = self._windows.setdefault(pool, _PoolWindow())
        start_s = now_s - self._options.window_s
        for times in (window.requests, window.retries):
            while times and times[0] < start_s:
                times.popleft()
        return window

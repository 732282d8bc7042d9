"""The retry budget that all hosts share, split without a message between them.

Each host spends its part of the fixed allowance and the ratio of the requests that it was offered
itself, so that the sum over all hosts stays within the whole whichever hosts are cut off.
"""

from collections import deque
from typing import Final

from attrs import define, field, frozen

# Part of the whole that is spent; the rest is for hosts that are not known yet and for windows that
# cut bursts differently here and where they are counted.
USABLE_FRACTION: Final = 0.7


@frozen
class RetryBudgetOptions:
    """The whole budget, over all hosts, for each pool."""

    # Extra sends for each request that callers sent.
    ratio: float
    # Length of any window in which the bound must hold.
    window_s: float
    # Extra sends allowed in a window besides.
    extra_per_window: float


@define
class _PoolWindow:
    """Times of what happened in the present window."""

    requests: deque[float] = field(factory=deque)
    retries: deque[float] = field(factory=deque)


class SharedRetryBudget:
    """This host's part of the budget."""

    _options: RetryBudgetOptions
    # What happened, by pool.
    _pools: dict[str, _PoolWindow]
    # Hosts that share the fixed allowance, this one included.
    _host_count: int

    def __init__(self, bounds: RetryBudgetOptions) -> None:
        self._options = bounds
        self._pools = {}
        self._host_count = 1

    def on_options(self, options: RetryBudgetOptions) -> None:
        """Takes new bounds; what was spent before counts on."""
        self._options = options

    def on_host_count(self, count: int) -> None:
        """Takes how many hosts share the budget."""
        self._host_count = max(1, count)

    def on_call(self, pool: str, now_s: float) -> None:
        """Takes note of a request of a caller."""
        self._window(pool, now_s).requests.append(now_s)

    def has_budget(self, pool: str, now_s: float) -> bool:
        """Tells whether one more extra send is within the budget."""
        window = self._window(pool, now_s)
        allowed = (
            len(window.requests) * self._options.ratio
            + self._options.extra_per_window / self._host_count
        )
        return len(window.retries) + 1 <= allowed * USABLE_FRACTION

    def spend(self, pool: str, now_s: float) -> None:
        """Takes note of an extra send."""
        self._window(pool, now_s).retries.append(now_s)

    def _window(self, pool: str, now_s: float) -> _PoolWindow:
        window = self._pools.setdefault(pool, _PoolWindow())
        start_s = now_s - self._options.window_s
        for times in (window.requests, window.retries):
            while times and times[0] < start_s:
                times.popleft()
        return window

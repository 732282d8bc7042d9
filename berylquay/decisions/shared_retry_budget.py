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
# The same in the first window after a start: what the process before may have left.
USABLE_FRACTION_AFTER_START: Final = 1.0 - USABLE_FRACTION


@frozen
class RetryBudgetOptions:
    """The total budget of each pool over all hosts."""

    # Retries allowed for each request from callers.
    ratio: float
    # Length of the sliding window in which the limit must hold.
    window_s: float
    # Retries allowed in each window in addition.
    extra_per_window: float


@frozen
class RetryBudgetState:
    """This host's part of a pool's budget in the present window, for logs."""

    # Requests from callers and retries in the window, and retries that are reserved.
    requests: int
    retries: int
    reserved: int
    # Retries that the host may make in the window.
    allowed: float


@define
class _PoolWindow:
    """Monotonic times of requests and retries in the present window."""

    requests: deque[float] = field(factory=deque)
    retries: deque[float] = field(factory=deque)
    # Retries that were allowed and have not been made yet.
    reserved: int = 0


class SharedRetryBudget:
    """This host's part of the retry budget.

    A retry is reserved before it is begun, so that what many calls are allowed at the same time
    does not add up to more than the budget.
    """

    _options: RetryBudgetOptions
    # Monotonic time from which the spending on this host's part is known.
    _known_since_s: float
    # Windows by pool.
    _windows: dict[str, _PoolWindow]
    # Number of hosts that share the fixed allowance, including this one; None until it is known.
    _host_count: int | None
    # Higher numbers of hosts, each with the monotonic time until which those hosts count.
    _former_host_counts: deque[tuple[float, int]]

    def __init__(
        self, options: RetryBudgetOptions, *, known_since_s: float = float("-inf")
    ) -> None:
        """Creates the budget.

        Args:
            options: The total budget.
            known_since_s: Monotonic time of the start of this process, if one before it may have
                spent its part.
        """
        self._options = options
        self._known_since_s = known_since_s
        self._windows = {}
        self._host_count = None
        self._former_host_counts = deque()

    def on_options(self, options: RetryBudgetOptions) -> None:
        """Replaces the options; earlier retries still count."""
        self._options = options

    def on_host_count(self, count: int | None, now_s: float) -> None:
        """Sets the number of hosts that share the budget, or None if it is not known.

        Hosts that leave count for another window, as they may just have spent their parts.
        """
        before = self._host_count
        if before is not None and (count is None or count < before):
            self._former_host_counts.append((now_s + self._options.window_s, before))
        self._host_count = None if count is None else max(1, count)

    def on_call(self, pool: str, now_s: float) -> None:
        """Records a request from a caller."""
        self._window(pool, now_s).requests.append(now_s)

    def can_reserve(self, pool: str, count: int, now_s: float) -> bool:
        """Tells whether so many more retries are within the budget."""
        window = self._window(pool, now_s)
        committed = len(window.retries) + window.reserved
        return not count or committed + count <= self._allowed(window, now_s)

    def reserve(self, pool: str, count: int, now_s: float) -> bool:
        """Reserves retries, all or none; tells whether they are within the budget."""
        if not self.can_reserve(pool, count, now_s):
            return False
        self._window(pool, now_s).reserved += count
        return True

    def release(self, pool: str, count: int, now_s: float) -> None:
        """Gives back reserved retries that are not made."""
        self._window(pool, now_s).reserved -= count

    def spend(self, pool: str, now_s: float) -> None:
        """Records that a reserved retry was made."""
        window = self._window(pool, now_s)
        window.reserved -= 1
        window.retries.append(now_s)

    def state(self, pool: str, now_s: float) -> RetryBudgetState:
        """Returns what was spent and what is allowed."""
        window = self._window(pool, now_s)
        return RetryBudgetState(
            len(window.requests),
            len(window.retries),
            window.reserved,
            self._allowed(window, now_s),
        )

    def _allowed(self, window: _PoolWindow, now_s: float) -> float:
        """Returns how many retries this host may make in the window that ends now."""
        options = self._options
        known_s = now_s - self._known_since_s
        is_known = known_s >= options.window_s
        known_fraction = 1.0 if is_known else known_s / options.window_s
        usable = USABLE_FRACTION if is_known else USABLE_FRACTION_AFTER_START
        allowed = len(window.requests) * options.ratio
        sharing_hosts = self._sharing_host_count(now_s)
        if sharing_hosts is not None:
            allowed += known_fraction * options.extra_per_window / sharing_hosts
        return usable * allowed

    def _sharing_host_count(self, now_s: float) -> int | None:
        former = self._former_host_counts
        while former and former[0][0] <= now_s:
            former.popleft()
        counts = [count for _, count in former]
        if self._host_count is not None:
            counts.append(self._host_count)
        return max(counts, default=None)

    def _window(self, pool: str, now_s: float) -> _PoolWindow:
        window = self._windows.setdefault(pool, _PoolWindow())
        start_s = now_s - self._options.window_s
        for times in (window.requests, window.retries):
            while times and times[0] < start_s:
                times.popleft()
        return window

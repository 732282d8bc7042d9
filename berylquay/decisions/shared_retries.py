"""The retry budget that all hosts share, split without a message between them.

Each host spends its part of the fixed allowance and the ratio of the requests that it was offered
itself, so that the sum over all hosts stays within the whole whichever hosts are cut off.
"""

from collections import deque
from typing import Final

from attrs import define, field, frozen

# Part of the whole that is spent; the rest is for hosts that are not known yet and for windows that
# cut bursts differently here and where they are counted.
SPENT_SHARE: Final = 0.7


@frozen
class RetryBounds:
    """The whole budget, over all hosts, for each pool."""

    # Extra sends for each request that callers sent.
    ratio: float
    # Length of any window in which the bound must hold.
    window_s: float
    # Extra sends allowed in a window besides.
    extra: float


@define
class _PoolWindow:
    """Times of what happened in the present window."""

    offered: deque[float] = field(factory=deque)
    spent: deque[float] = field(factory=deque)


class SharedRetries:
    """This host's part of the budget."""

    _bounds: RetryBounds
    # What happened, by pool.
    _pools: dict[str, _PoolWindow]
    # Hosts that share the fixed allowance, this one included.
    _hosts: int

    def __init__(self, bounds: RetryBounds) -> None:
        self._bounds = bounds
        self._pools = {}
        self._hosts = 1

    def on_bounds(self, bounds: RetryBounds) -> None:
        """Takes new bounds; what was spent before counts on."""
        self._bounds = bounds

    def on_hosts(self, count: int) -> None:
        """Takes how many hosts share the budget."""
        self._hosts = max(1, count)

    def on_offered(self, pool: str, now_s: float) -> None:
        """Takes note of a request of a caller."""
        self._window(pool, now_s).offered.append(now_s)

    def has_room(self, pool: str, now_s: float) -> bool:
        """Tells whether one more extra send is within the budget."""
        window = self._window(pool, now_s)
        allowed = len(window.offered) * self._bounds.ratio + self._bounds.extra / self._hosts
        return len(window.spent) + 1 <= allowed * SPENT_SHARE

    def spend(self, pool: str, now_s: float) -> None:
        """Takes note of an extra send."""
        self._window(pool, now_s).spent.append(now_s)

    def _window(self, pool: str, now_s: float) -> _PoolWindow:
        window = self._pools.setdefault(pool, _PoolWindow())
        start_s = now_s - self._bounds.window_s
        for times in (window.offered, window.spent):
            while times and times[0] < start_s:
                times.popleft()
        return window

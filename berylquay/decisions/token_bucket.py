"""A token bucket: a rate limit that allows bursts."""

from attrs import define, field


@define
class TokenBucket:
    """Limits how often an action may be taken per second."""

    # Actions per second in the long run.
    rate_per_s: float
    # Capacity: actions that may be taken at once after an idle period.
    burst: float
    # Tokens in the bucket; one action takes one token.
    _tokens: float = field(init=False)
    # Monotonic time of the last refill; None before the first.
    _refilled_s: float | None = field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        """Fills the bucket."""
        self._tokens = self.burst

    def has_token(self, now_s: float) -> bool:
        """Refills the bucket and returns whether an action is allowed now."""
        if self._refilled_s is not None:
            refill = (now_s - self._refilled_s) * self.rate_per_s
            self._tokens = min(self.burst, self._tokens + refill)
        self._refilled_s = now_s
        return self._tokens >= 1.0

    def take(self) -> None:
        """Removes the token of one action."""
        self._tokens -= 1.0

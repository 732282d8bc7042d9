"""A rate limit that allows bursts: a token bucket."""

from attrs import define, field


@define
class TokenBucket:
    """Says whether something may be done now, at most so often per second."""

    # Times per second in the long run.
    rate_per_s: float
    # Times at once after a quiet time.
    burst: float
    # Times that are allowed now.
    _tokens: float = field(init=False)
    # Time at which the allowance was worked out.
    _refilled_s: float | None = field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        """Begins with a full burst."""
        self._tokens = self.burst

    def has_token(self, now_s: float) -> bool:
        """Tells whether it may be done once now."""
        if self._refilled_s is not None:
            refill = (now_s - self._refilled_s) * self.rate_per_s
            self._tokens = min(self.burst, self._tokens + refill)
        self._refilled_s = now_s
        return self._tokens >= 1.0

    def take(self) -> None:
        """Notes that it was done once."""
        self._tokens -= 1.0

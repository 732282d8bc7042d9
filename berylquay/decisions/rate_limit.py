"""A rate limit that allows bursts: a token bucket."""

from attrs import define, field


@define
class RateLimit:
    """Says whether something may be done now, at most so often per second."""

    # Times per second in the long run.
    per_s: float
    # Times at once after a quiet time.
    burst: float
    # Times that are allowed now.
    _allowance: float = field(init=False)
    # Time at which the allowance was worked out.
    _allowance_s: float | None = field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        """Begins with a full burst."""
        self._allowance = self.burst

    def allows(self, now_s: float) -> bool:
        """Tells whether it may be done once now."""
        if self._allowance_s is not None:
            gained = (now_s - self._allowance_s) * self.per_s
            self._allowance = min(self.burst, self._allowance + gained)
        self._allowance_s = now_s
        return self._allowance >= 1.0

    def take(self) -> None:
        """Notes that it was done once."""
        self._allowance -= 1.0

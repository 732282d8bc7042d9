"""Learned correction factor for predicted times, from observed times."""

import math
from typing import Final

LEARNING_RATE: Final = 0.02
MIN_FACTOR: Final = 0.05
MAX_FACTOR: Final = 20.0
# Time without an observation after which the factor starts to decay, so that calls are tried again.
# It is also the half-life of the decay.
STALE_AFTER_S: Final = 30.0


class PredictionCorrection:
    """Learns a factor for predicted times by smoothing the ratio of observed to predicted times.

    It smooths the logarithm, so that ratios r and 1/r have the same weight.
    """

    # Logarithm of the factor.
    _log_factor: float
    # Monotonic time of the latest observation, or None before the first.
    _observed_s: float | None

    def __init__(self, factor: float = 1.0) -> None:
        self._log_factor = math.log(factor)
        self._observed_s = None

    def observe(self, predicted_s: float, observed_s: float, now_s: float) -> None:
        """Updates the factor with an observation; times that are not positive are ignored."""
        if predicted_s <= 0.0 or observed_s <= 0.0:
            return
        ratio = min(max(observed_s / predicted_s, MIN_FACTOR), MAX_FACTOR)
        self._log_factor = math.log(self.factor(now_s))
        self._log_factor += LEARNING_RATE * (math.log(ratio) - self._log_factor)
        self._observed_s = now_s

    def factor(self, now_s: float) -> float:
        """Returns the factor by which to multiply a predicted time."""
        stale_s = 0.0 if self._observed_s is None else now_s - self._observed_s - STALE_AFTER_S
        halvings = max(0.0, stale_s / STALE_AFTER_S)
        return max(MIN_FACTOR, math.exp(self._log_factor - halvings * math.log(2.0)))

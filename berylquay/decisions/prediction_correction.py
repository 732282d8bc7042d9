"""Corrections: learn by which factor predicted times are off, from what came out."""

import math
from typing import Final

LEARNING_RATE: Final = 0.02
MIN_FACTOR: Final = 0.05
MAX_FACTOR: Final = 20.0
# Time without an outcome after which the factor begins to fall, so that calls are tried again.
STALE_AFTER_S: Final = 30.0


class PredictionCorrection:
    """Smooths the ratio of observed to predicted times, each ratio weighing the same both ways."""

    # Logarithm of the factor.
    _log_factor: float
    # Time of the newest outcome, or None.
    _observed_s: float | None

    def __init__(self, factor: float = 1.0) -> None:
        self._log_factor = math.log(factor)
        self._observed_s = None

    def observe(self, predicted_s: float, observed_s: float, now_s: float) -> None:
        """Takes an outcome."""
        if predicted_s <= 0.0 or observed_s <= 0.0:
            return
        ratio = min(max(observed_s / predicted_s, MIN_FACTOR), MAX_FACTOR)
        self._log_factor = math.log(self.factor(now_s))
        self._log_factor += LEARNING_RATE * (math.log(ratio) - self._log_factor)
        self._observed_s = now_s

    def factor(self, now_s: float) -> float:
        """Returns the factor by which a predicted time is to be multiplied."""
        stale_s = 0.0 if self._observed_s is None else now_s - self._observed_s - STALE_AFTER_S
        halvings = max(0.0, stale_s / STALE_AFTER_S)
        return max(MIN_FACTOR, math.exp(self._log_factor - halvings * math.log(2.0)))

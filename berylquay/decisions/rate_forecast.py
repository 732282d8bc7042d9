"""Forecast of a rate: level and trend by double exponential smoothing."""

import math


class RateForecast:
    """Follows a rate that is sampled at uneven times and looks ahead along its trend."""

    # Times in which an old level and an old trend lose all but 1/e of their weight.
    _level_window_s: float
    _trend_window_s: float
    # Newest level, its change per second, and when they were worked out.
    _level: float
    _trend: float
    _updated_s: float | None

    def __init__(self, level_window_s: float = 15.0, trend_window_s: float = 45.0) -> None:
        self._level_window_s = level_window_s
        self._trend_window_s = trend_window_s
        self._level = 0.0
        self._trend = 0.0
        self._updated_s = None

    def observe(self, rate: float, now_s: float) -> None:
        """Takes a sample of the rate."""
        if self._updated_s is None:
            self._level = rate
            self._updated_s = now_s
            return
        elapsed_s = now_s - self._updated_s
        if elapsed_s <= 0.0:
            return
        before = self._level
        expected = before + self._trend * elapsed_s
        self._level = _smooth(expected, rate, elapsed_s / self._level_window_s)
        slope = (self._level - before) / elapsed_s
        self._trend = _smooth(self._trend, slope, elapsed_s / self._trend_window_s)
        self._updated_s = now_s

    def rate_after(self, ahead_s: float) -> float:
        """Returns the rate expected so long after the newest sample, never below 0."""
        return max(0.0, self._level + self._trend * ahead_s)


def _smooth(old: float, new: float, elapsed_windows: float) -> float:
    keep = math.exp(-elapsed_windows)
    return keep * old + (1.0 - keep) * new

"""Forecast of a rate by double exponential smoothing of its level and trend."""

import math


class RateForecast:
    """Smooths a rate that is sampled at irregular intervals and extrapolates its trend."""

    # Time constants: the weight of an old level or trend falls to 1/e in this time.
    _level_window_s: float
    _trend_window_s: float
    # Smoothed level, its change per second, and the time of the last update; None before the first.
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
        """Updates level and trend with a sample; one no newer than the last is ignored."""
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
        """Returns the rate expected `ahead_s` seconds after the newest sample, never below 0."""
        return max(0.0, self._level + self._trend * ahead_s)


def _smooth(old: float, new: float, elapsed_windows: float) -> float:
    decay = math.exp(-elapsed_windows)
    return decay * old + (1.0 - decay) * new

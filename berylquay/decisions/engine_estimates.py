"""Estimates per engine, learned from observed against predicted prefill and first-event times."""

from typing import Final


class EngineEstimates:
    """How much slower than predicted each engine prefills, and how late its first events come."""

    # Weight of the newest observation.
    SMOOTHING_FACTOR: Final = 0.2
    # Half-life of an engine's excess delay, which decays so that a slow engine is tried again.
    EXCESS_DELAY_HALF_LIFE_S: Final = 3.0
    # Range of the slowdown of an engine.
    MIN_SLOWDOWN: Final = 0.4
    MAX_SLOWDOWN: Final = 8.0

    # Factor on the predicted prefill time by engine.
    _slowdowns: dict[str, float]
    # By engine: seconds by which first events came late after a KV cache transfer, and the
    # monotonic time of the latest observation.
    _excess_delays: dict[str, tuple[float, float]]

    def __init__(self) -> None:
        self._slowdowns = {}
        self._excess_delays = {}

    def slowdown(self, engine: str) -> float:
        """Returns the factor on the predicted prefill time; 1 without observations."""
        return self._slowdowns.get(engine, 1.0)

    def on_prefilled(self, engine: str, expected_s: float, taken_s: float) -> None:
        """Updates the slowdown.

        Args:
            engine: The engine.
            expected_s: Prefill time that was predicted when the prompt was sent.
            taken_s: Prefill time that was observed.
        """
        if expected_s <= 0.0:
            return
        before = self.slowdown(engine)
        observed = before * taken_s / expected_s
        smoothed = before + self.SMOOTHING_FACTOR * (observed - before)
        self._slowdowns[engine] = min(self.MAX_SLOWDOWN, max(self.MIN_SLOWDOWN, smoothed))

    def on_first_event(self, engine: str, excess_s: float, now_s: float) -> None:
        """Updates the excess delay of first events after a KV cache transfer.

        Args:
            engine: The decode engine.
            excess_s: Observed less expected time; a negative one counts as 0.
            now_s: Present time.
        """
        before_s = self.excess_delay_s(engine, now_s)
        smoothed_s = before_s + self.SMOOTHING_FACTOR * (max(0.0, excess_s) - before_s)
        self._excess_delays[engine] = (smoothed_s, now_s)

    def excess_delay_s(self, engine: str, now_s: float) -> float:
        """Returns the decayed excess delay of first events at an engine, in seconds."""
        delay_s, observed_s = self._excess_delays.get(engine, (0.0, now_s))
        decay: float = 0.5 ** ((now_s - observed_s) / self.EXCESS_DELAY_HALF_LIFE_S)
        return delay_s * decay

    def forget_engine(self, engine: str) -> None:
        """Drops the estimates of an engine that has ended."""
        self._slowdowns.pop(engine, None)
        self._excess_delays.pop(engine, None)

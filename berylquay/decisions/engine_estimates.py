"""Speeds of engines, learned from how long prompts and first events took against predictions."""

from typing import Final


class EngineEstimates:
    """How much slower than expected each engine reads, and how late its first events come."""

    # Weight of the newest time.
    SMOOTHING_FACTOR: Final = 0.2
    # Time in which a belief that an engine is slow to its first events loses half of its weight, so
    # that it is tried again.
    EXCESS_DELAY_HALF_LIFE_S: Final = 3.0
    # Range of what is believed of an engine.
    MIN_SLOWDOWN: Final = 0.4
    MAX_SLOWDOWN: Final = 8.0

    # Factor on the expected time by engine.
    _slowdowns: dict[str, float]
    # By how much first events came late after a hand-over, and when that was seen, by engine.
    _excess_delays: dict[str, tuple[float, float]]

    def __init__(self) -> None:
        self._slowdowns = {}
        self._excess_delays = {}

    def slowdown(self, engine: str) -> float:
        """Returns the factor on the expected time."""
        return self._slowdowns.get(engine, 1.0)

    def on_prefilled(self, engine: str, expected_s: float, taken_s: float) -> None:
        """Takes how long a prompt took against the prediction made when it was sent."""
        if expected_s <= 0.0:
            return
        before = self.slowdown(engine)
        seen = before * taken_s / expected_s
        mixed = before + self.SMOOTHING_FACTOR * (seen - before)
        self._slowdowns[engine] = min(self.MAX_SLOWDOWN, max(self.MIN_SLOWDOWN, mixed))

    def on_first_event(self, engine: str, excess_s: float, now_s: float) -> None:
        """Takes by how much a first event came later than expected after a hand-over."""
        before_s = self.excess_delay_s(engine, now_s)
        mixed_s = before_s + self.SMOOTHING_FACTOR * (max(0.0, excess_s) - before_s)
        self._excess_delays[engine] = (mixed_s, now_s)

    def excess_delay_s(self, engine: str, now_s: float) -> float:
        """Returns by how much first events come late at an engine."""
        delay_s, seen_s = self._excess_delays.get(engine, (0.0, now_s))
        decay: float = 0.5 ** ((now_s - seen_s) / self.EXCESS_DELAY_HALF_LIFE_S)
        return delay_s * decay

    def forget(self, engine: str) -> None:
        """Drops what is known of an engine that has ended."""
        self._slowdowns.pop(engine, None)
        self._excess_delays.pop(engine, None)

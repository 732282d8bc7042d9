"""Lookups in the platform's weight store, which answers only so many a second.

Questions for the same weights share one lookup, and what was found once is remembered, since a
published version does not change.
"""

from collections.abc import Mapping
from random import Random
from typing import Final

from attrs import define, frozen

from berylquay.decisions.backoff import Backoff
from berylquay.decisions.rate_limit import RateLimit

LOOKUP_BACKOFF: Final = Backoff(floor_s=0.1, ceiling_s=1.0)
# Time after which a question is answered as not known.
LOOKUP_TIMEOUT_S: Final = 3.0
IN_FLIGHT: Final = 2
REMEMBERED: Final = 1000


@frozen
class WeightsKey:
    """Version of a model."""

    model: str
    version: str


@frozen
class WeightsFacts:
    """What the store says of a version of a model."""

    # Whether the store has it; None if that could not be found out in time.
    exists: bool | None
    # Adapters that the store has for it.
    adapters: frozenset[str] = frozenset()


@define(eq=False)
class _Lookup:
    """A lookup that is not answered yet."""

    give_up_s: float
    not_before_s: float
    failures: int = 0


class WeightLookups:
    """Decides which lookup to send when."""

    # Bounds the lookups per second.
    _rate: RateLimit
    # Draws the jitter.
    _rng: Random
    # Lookups under way, oldest first.
    _open: dict[WeightsKey, _Lookup]
    # Lookups that were sent and not answered, also of questions that were given up on.
    _in_flight: set[WeightsKey]
    # What was found.
    _found: dict[WeightsKey, WeightsFacts]
    # Time before which the store asked not to be asked.
    _quiet_until_s: float

    def __init__(self, per_s: float, rng: Random) -> None:
        self._rate = RateLimit(per_s, burst=max(1.0, per_s))
        self._rng = rng
        self._open = {}
        self._in_flight = set()
        self._found = {}
        self._quiet_until_s = 0.0

    def ask(self, key: WeightsKey, now_s: float) -> WeightsFacts | None:
        """Returns what is remembered, or None after beginning a lookup."""
        found = self._found.get(key)
        if found is None:
            self._open.setdefault(key, _Lookup(now_s + LOOKUP_TIMEOUT_S, now_s))
        return found

    def start_due(self, now_s: float) -> list[WeightsKey]:
        """Returns the lookups to send now."""
        started: list[WeightsKey] = []
        for key, lookup in self._open.items():
            due = now_s >= max(lookup.not_before_s, self._quiet_until_s)
            if key in self._in_flight or not due:
                continue
            if len(self._in_flight) >= IN_FLIGHT or not self._rate.allows(now_s):
                break
            self._rate.take()
            self._in_flight.add(key)
            started.append(key)
        return started

    def on_answer(self, key: WeightsKey, facts: WeightsFacts) -> None:
        """Notes an answer; only what exists is remembered, since it may be published later."""
        self._in_flight.discard(key)
        self._open.pop(key, None)
        if facts.exists:
            self._found[key] = facts
            if len(self._found) > REMEMBERED:
                del self._found[next(iter(self._found))]

    def on_failure(self, key: WeightsKey, now_s: float, retry_after_s: float = 0.0) -> None:
        """Notes that the store gave no answer, or asked to be left alone for a time."""
        self._in_flight.discard(key)
        self._quiet_until_s = max(self._quiet_until_s, now_s + retry_after_s)
        lookup = self._open.get(key)
        if lookup is None:
            return
        lookup.failures += 1
        lookup.not_before_s = now_s + LOOKUP_BACKOFF.delay_s(lookup.failures, self._rng)

    def give_up_overdue(self, now_s: float) -> Mapping[WeightsKey, WeightsFacts]:
        """Returns the lookups whose time is up, as not known."""
        overdue = [key for key, lookup in self._open.items() if now_s >= lookup.give_up_s]
        for key in overdue:
            del self._open[key]
        return {key: WeightsFacts(exists=None) for key in overdue}

"""Lookups in the platform's weight store, which answers only so many a second.

Questions for the same weights share one lookup, and what was found once is remembered, since a
published version does not change.
"""

from collections.abc import Mapping
from random import Random
from typing import Final

from attrs import define, frozen

from berylquay.decisions.backoff import Backoff
from berylquay.decisions.token_bucket import TokenBucket

LOOKUP_BACKOFF: Final = Backoff(min_delay_s=0.1, max_delay_s=1.0)
# Time after which a question is answered as not known.
LOOKUP_TIMEOUT_S: Final = 3.0
MAX_LOOKUPS_IN_FLIGHT: Final = 2
MAX_CACHED_RESULTS: Final = 1000


@frozen
class WeightsKey:
    """Version of a model."""

    model: str
    version: str


@frozen
class WeightsInfo:
    """What the store says of a version of a model."""

    # Whether the store has it; None if that could not be found out in time.
    exists: bool | None
    # Adapters that the store has for it.
    adapters: frozenset[str] = frozenset()


@define(eq=False)
class _Lookup:
    """A lookup that is not answered yet."""

    deadline_s: float
    next_attempt_s: float
    failures: int = 0


class WeightLookups:
    """Decides which lookup to send when."""

    # Bounds the lookups per second.
    _rate: TokenBucket
    # Draws the jitter.
    _rng: Random
    # Lookups under way, oldest first.
    _pending: dict[WeightsKey, _Lookup]
    # Lookups that were sent and not answered, also of questions that were given up on.
    _in_flight: set[WeightsKey]
    # What was found.
    _cache: dict[WeightsKey, WeightsInfo]
    # Time before which the store asked not to be asked.
    _retry_after_until_s: float

    def __init__(self, lookups_per_s: float, rng: Random) -> None:
        self._rate = TokenBucket(lookups_per_s, burst=max(1.0, lookups_per_s))
        self._rng = rng
        self._pending = {}
        self._in_flight = set()
        self._cache = {}
        self._retry_after_until_s = 0.0

    def get_or_request(self, key: WeightsKey, now_s: float) -> WeightsInfo | None:
        """Returns what is remembered, or None after beginning a lookup."""
        cached = self._cache.get(key)
        if cached is None:
            self._pending.setdefault(key, _Lookup(now_s + LOOKUP_TIMEOUT_S, now_s))
        return cached

    def start_due_lookups(self, now_s: float) -> list[WeightsKey]:
        """Returns the lookups to send now."""
        started: list[WeightsKey] = []
        for key, lookup in self._pending.items():
            due = now_s >= max(lookup.next_attempt_s, self._retry_after_until_s)
            if key in self._in_flight or not due:
                continue
            if len(self._in_flight) >= MAX_LOOKUPS_IN_FLIGHT or not self._rate.has_token(now_s):
                break
            self._rate.take()
            self._in_flight.add(key)
            started.append(key)
        return started

    def on_answer(self, key: WeightsKey, info: WeightsInfo) -> None:
        """Notes an answer; only what exists is remembered, since it may be published later."""
        self._in_flight.discard(key)
        self._pending.pop(key, None)
        if info.exists:
            self._cache[key] = info
            if len(self._cache) > MAX_CACHED_RESULTS:
                del self._cache[next(iter(self._cache))]

    def on_failure(self, key: WeightsKey, now_s: float, retry_after_s: float = 0.0) -> None:
        """Notes that the store gave no answer, or asked to be left alone for a time."""
        self._in_flight.discard(key)
        self._retry_after_until_s = max(self._retry_after_until_s, now_s + retry_after_s)
        lookup = self._pending.get(key)
        if lookup is None:
            return
        lookup.failures += 1
        lookup.next_attempt_s = now_s + LOOKUP_BACKOFF.delay_s(lookup.failures, self._rng)

    def expire_overdue(self, now_s: float) -> Mapping[WeightsKey, WeightsInfo]:
        """Returns the lookups whose time is up, as not known."""
        overdue = [key for key, lookup in self._pending.items() if now_s >= lookup.deadline_s]
        for key in overdue:
            del self._pending[key]
        return {key: WeightsInfo(exists=None) for key in overdue}

"""Lookups in the platform's weight store, which limits the rate of lookups.

Requests for the same weights share one lookup. Results for existing versions are cached, since a
published version does not change.
"""

from collections.abc import Mapping
from random import Random
from typing import Final

from attrs import define, frozen

from berylquay.decisions.backoff import Backoff
from berylquay.decisions.token_bucket import TokenBucket

LOOKUP_BACKOFF: Final = Backoff(min_delay_s=0.1, max_delay_s=1.0)
# Time after which a lookup without an answer is reported as unknown.
LOOKUP_TIMEOUT_S: Final = 3.0
MAX_LOOKUPS_IN_FLIGHT: Final = 2
MAX_CACHED_RESULTS: Final = 1000


@frozen
class WeightsKey:
    """A version of a model, whose weights are in the platform's weight store."""

    model: str
    version: str


@frozen
class WeightsInfo:
    """What the store has for a version of a model."""

    # Whether the store has the version; None if the store did not answer in time.
    exists: bool | None
    # Adapters that the store has for the version.
    adapters: frozenset[str] = frozenset()


@define(eq=False)
class _Lookup:
    """A lookup that has not been answered yet."""

    deadline_s: float
    next_attempt_s: float
    failures: int = 0


class WeightLookups:
    """Schedules lookups within the store's limits and caches the results."""

    # Limits the lookups per second.
    _rate_limit: TokenBucket
    # Generates the jitter.
    _rng: Random
    # Unanswered lookups, whether sent or not, oldest first.
    _pending: dict[WeightsKey, _Lookup]
    # Keys of lookups that were sent and not answered, including lookups that have timed out.
    _in_flight: set[WeightsKey]
    # Results for versions that exist, oldest first.
    _cache: dict[WeightsKey, WeightsInfo]
    # Time before which no lookup is sent because the store answered with a retry-after delay.
    _retry_after_until_s: float

    def __init__(self, lookups_per_s: float, rng: Random) -> None:
        self._rate_limit = TokenBucket(lookups_per_s, burst=max(1.0, lookups_per_s))
        self._rng = rng
        self._pending = {}
        self._in_flight = set()
        self._cache = {}
        self._retry_after_until_s = 0.0

    def get_or_request(self, key: WeightsKey, now_s: float) -> WeightsInfo | None:
        """Returns the cached result, or None after queueing a lookup if none is pending."""
        cached = self._cache.get(key)
        if cached is None:
            self._pending.setdefault(key, _Lookup(now_s + LOOKUP_TIMEOUT_S, now_s))
        return cached

    def start_due_lookups(self, now_s: float) -> list[WeightsKey]:
        """Returns the lookups to send now and counts them as in flight."""
        started: list[WeightsKey] = []
        for key, lookup in self._pending.items():
            due = now_s >= max(lookup.next_attempt_s, self._retry_after_until_s)
            if key in self._in_flight or not due:
                continue
            if len(self._in_flight) >= MAX_LOOKUPS_IN_FLIGHT or not self._rate_limit.has_token(
                now_s
            ):
                break
            self._rate_limit.take()
            self._in_flight.add(key)
            started.append(key)
        return started

    def on_answer(self, key: WeightsKey, info: WeightsInfo) -> None:
        """Records the weight store's answer about a version of a model.

        A missing version is not cached, since it may be published later.
        """
        self._in_flight.discard(key)
        self._pending.pop(key, None)
        if info.exists:
            self._cache[key] = info
            if len(self._cache) > MAX_CACHED_RESULTS:
                del self._cache[next(iter(self._cache))]

    def on_failure(self, key: WeightsKey, now_s: float, retry_after_s: float = 0.0) -> None:
        """Schedules a retry after the store gave no answer or asked for a delay."""
        self._in_flight.discard(key)
        self._retry_after_until_s = max(self._retry_after_until_s, now_s + retry_after_s)
        lookup = self._pending.get(key)
        if lookup is None:
            return
        lookup.failures += 1
        lookup.next_attempt_s = now_s + LOOKUP_BACKOFF.delay_s(lookup.failures, self._rng)

    def expire_overdue(self, now_s: float) -> Mapping[WeightsKey, WeightsInfo]:
        """Removes the lookups whose deadline has passed and returns unknown results for them."""
        overdue = [key for key, lookup in self._pending.items() if now_s >= lookup.deadline_s]
        for key in overdue:
            del self._pending[key]
        return {key: WeightsInfo(exists=None) for key in overdue}

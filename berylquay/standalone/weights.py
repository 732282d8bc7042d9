"""The weight store's client: looks up whether versions of models exist, within its rate limit."""

import time
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Final

from circuits import BaseComponent, handler
from returns.result import Failure

from berylquay.decisions.fleet import Address
from berylquay.decisions.weight_lookups import WeightLookups, WeightsInfo, WeightsKey
from berylquay.messages import Tick, WeightsLookedUp, WeightsLookupRequested
from berylquay.net.bus import BUS, post
from berylquay.net.connections import Connections
from berylquay.net.http_client import STATUS_OK, HttpRequest
from berylquay.standalone.json_exchange import JsonAnswer, JsonExchange, Outcome

EXCHANGE_TIMEOUT_S: Final = 1.0
STATUS_NOT_FOUND: Final = 404


class WeightStoreClient(BaseComponent):
    """Answers lookups of weights for all components of the process."""

    channel = BUS

    # Opens the connections.
    _outbound: Connections
    # Where the weight store listens.
    _address: Address
    # What is to be looked up when.
    _lookups: WeightLookups
    # Exchanges that are under way.
    _exchanges: set[JsonExchange]

    def __init__(
        self, outbound: Connections, address: Address, lookups_per_s: float, rng: Random
    ) -> None:
        super().__init__()
        self._outbound = outbound
        self._address = address
        self._lookups = WeightLookups(lookups_per_s, rng)
        self._exchanges = set()

    @handler("WeightsLookupRequested")
    def _on_requested(self, message: WeightsLookupRequested) -> None:
        now_s = time.monotonic()
        found = self._lookups.get_or_request(message.key, now_s)
        if found is not None:
            post(self, WeightsLookedUp(message.key, found))
        self._start(now_s)

    @handler("Tick")
    def _on_tick(self, message: Tick) -> None:
        for exchange in tuple(self._exchanges):
            exchange.expire(message.now_s)
        self._start(message.now_s)
        for key, facts in self._lookups.expire_overdue(message.now_s).items():
            post(self, WeightsLookedUp(key, facts))

    def _start(self, now_s: float) -> None:
        for key in self._lookups.start_due_lookups(now_s):
            request = HttpRequest("GET", f"/v1/models/{key.model}/versions/{key.version}")
            self._exchange(request, now_s, partial(self._on_outcome, key))

    def _exchange(
        self, request: HttpRequest, now_s: float, on_outcome: Callable[[Outcome], None]
    ) -> None:
        def end(outcome: Outcome) -> None:
            self._exchanges.discard(exchange)
            on_outcome(outcome)

        deadline_s = now_s + EXCHANGE_TIMEOUT_S
        exchange = JsonExchange(self._outbound, self._address, request, deadline_s, end)
        self._exchanges.add(exchange)

    def _on_outcome(self, key: WeightsKey, outcome: Outcome) -> None:
        now_s = time.monotonic()
        if isinstance(outcome, Failure):
            self._lookups.on_failure(key, now_s)
            return
        answer = outcome.unwrap()
        facts = _facts_of(answer)
        if facts is None:
            self._lookups.on_failure(key, now_s, answer.retry_after_s)
            return
        self._lookups.on_answer(key, facts)
        post(self, WeightsLookedUp(key, facts))


def _facts_of(answer: JsonAnswer) -> WeightsInfo | None:
    if answer.status == STATUS_NOT_FOUND:
        return WeightsInfo(exists=False)
    adapters = answer.value.get("adapters", [])
    if answer.status != STATUS_OK or not isinstance(adapters, list):
        return None
    return WeightsInfo(True, frozenset(str(name) for name in adapters))

"""The weight store client: looks up which model versions and adapters exist, rate limited."""

import time
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Final

from circuits import BaseComponent, handler
from returns.result import Failure

from berylquay.component_messages import WeightsLookedUp, WeightsLookupRequested
from berylquay.decisions.fleet import Address
from berylquay.decisions.weight_lookups import WeightLookups, WeightsInfo, WeightsKey
from berylquay.net.http_client import STATUS_OK, HttpRequest
from berylquay.net.message_bus import BUS, post
from berylquay.net.process_messages import Tick
from berylquay.net.tcp_connections import TcpConnections
from berylquay.standalone.json_exchange import ExchangeOutcome, JsonExchange, JsonResponse

LOOKUP_TIMEOUT_S: Final = 1.0
STATUS_NOT_FOUND: Final = 404


class WeightStoreClient(BaseComponent):
    """Looks up weights on behalf of all components of the process."""

    channel = BUS

    _connections: TcpConnections
    # Where the weight store listens.
    _address: Address
    # Cached results, pending lookups and their rate limit.
    _lookups: WeightLookups
    # Exchanges in flight.
    _exchanges: set[JsonExchange]

    def __init__(
        self, connections: TcpConnections, address: Address, lookups_per_s: float, rng: Random
    ) -> None:
        super().__init__()
        self._connections = connections
        self._address = address
        self._lookups = WeightLookups(lookups_per_s, rng)
        self._exchanges = set()

    @handler("WeightsLookupRequested")
    def _on_lookup_requested(self, message: WeightsLookupRequested) -> None:
        now_s = time.monotonic()
        cached = self._lookups.get_or_request(message.key, now_s)
        if cached is not None:
            post(self, WeightsLookedUp(message.key, cached))
        self._start_due_lookups(now_s)

    @handler("Tick")
    def _on_tick(self, message: Tick) -> None:
        for exchange in tuple(self._exchanges):
            exchange.expire_if_overdue(message.now_s)
        self._start_due_lookups(message.now_s)
        for key, info in self._lookups.expire_overdue(message.now_s).items():
            post(self, WeightsLookedUp(key, info))

    def _start_due_lookups(self, now_s: float) -> None:
        for key in self._lookups.start_due_lookups(now_s):
            request = HttpRequest("GET", f"/v1/models/{key.model}/versions/{key.version}")
            self._start_exchange(request, now_s, partial(self._on_lookup_outcome, key))

    def _start_exchange(
        self, request: HttpRequest, now_s: float, on_outcome: Callable[[ExchangeOutcome], None]
    ) -> None:
        def on_end(outcome: ExchangeOutcome) -> None:
            self._exchanges.discard(exchange)
            on_outcome(outcome)

        deadline_s = now_s + LOOKUP_TIMEOUT_S
        exchange = JsonExchange(self._connections, self._address, request, deadline_s, on_end)
        self._exchanges.add(exchange)

    def _on_lookup_outcome(self, key: WeightsKey, outcome: ExchangeOutcome) -> None:
        now_s = time.monotonic()
        if isinstance(outcome, Failure):
            self._lookups.on_failure(key, now_s)
            return
        response = outcome.unwrap()
        info = _parse_weights_info(response)
        if info is None:
            self._lookups.on_failure(key, now_s, response.retry_after_s)
            return
        self._lookups.on_answer(key, info)
        post(self, WeightsLookedUp(key, info))


def _parse_weights_info(response: JsonResponse) -> WeightsInfo | None:
    if response.status == STATUS_NOT_FOUND:
        return WeightsInfo(exists=False)
    adapters = response.body.get("adapters", [])
    if response.status != STATUS_OK or not isinstance(adapters, list):
        return None
    return WeightsInfo(True, frozenset(str(name) for name in adapters))

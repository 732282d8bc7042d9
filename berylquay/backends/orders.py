"""Orders on their way out: reads engines' states and hands orders to this host's sender."""

import time
from collections.abc import Callable
from functools import partial
from typing import Final

import logbook
from circuits import BaseComponent, handler
from returns.result import Failure

from berylquay.authority.handover import ORDERS_PATH, SendRequest, encode_send_request
from berylquay.decisions.engine_orders import (
    EngineState,
    Order,
    OrderSendOutcome,
    order_request_body,
)
from berylquay.decisions.fleet import Address, Role
from berylquay.decisions.order_commands import (
    OrderSendWanted,
    StateReadWanted,
)
from berylquay.messages import EngineStateRead, OrderOutcomeKnown, Tick
from berylquay.net.bus import BUS, post
from berylquay.net.connections import Connections
from berylquay.net.http_client import STATUS_OK, HttpRequest, json_request
from berylquay.standalone.json_exchange import JsonExchange, Outcome
from berylquay.verdicts import Verdict

STATE_TIMEOUT_S: Final = 2.0
# Time after an order's expiry for which the sender's answer is awaited.
SENDER_TIMEOUT_S: Final = 1.0
_log = logbook.Logger("orders")


class EngineOrders(BaseComponent):
    """Serves the controller's commands that leave this process."""

    channel = BUS

    # Opens the connections.
    _outbound: Connections
    # Where this host's sender listens.
    _sender: Address
    # Exchanges that are under way.
    _exchanges: set[JsonExchange]

    def __init__(self, outbound: Connections, sender: Address) -> None:
        super().__init__()
        self._outbound = outbound
        self._sender = sender
        self._exchanges = set()

    @handler("StateReadWanted")
    def _on_state_read_wanted(self, message: StateReadWanted) -> None:
        asked_s = time.monotonic()
        request = HttpRequest("GET", "/v1/state")
        end = partial(self._on_state, message.backend, asked_s)
        self._exchange(message.address, request, asked_s + STATE_TIMEOUT_S, end)

    @handler("OrderSendWanted")
    def _on_order_send_wanted(self, message: OrderSendWanted) -> None:
        order = message.order
        _log.info("order", order_id=order.order_id, term=order.term, backend=order.change.backend)
        wanted = SendRequest(order.address, order.expires_s, order.term, order_request_body(order))
        request = json_request("POST", ORDERS_PATH, encode_send_request(wanted))
        deadline_s = order.expires_s + SENDER_TIMEOUT_S
        self._exchange(self._sender, request, deadline_s, partial(self._on_sent, order))

    @handler("Tick")
    def _on_tick(self, message: Tick) -> None:
        for exchange in tuple(self._exchanges):
            exchange.expire(message.now_s)

    def _exchange(
        self,
        address: Address,
        request: HttpRequest,
        deadline_s: float,
        on_outcome: Callable[[Outcome], None],
    ) -> None:
        def end(outcome: Outcome) -> None:
            self._exchanges.discard(exchange)
            on_outcome(outcome)

        exchange = JsonExchange(self._outbound, address, request, deadline_s, end)
        self._exchanges.add(exchange)

    def _on_state(self, backend: str, asked_s: float, outcome: Outcome) -> None:
        state = None
        if not isinstance(outcome, Failure) and outcome.unwrap().status == STATUS_OK:
            state = parse_engine_state(backend, outcome.unwrap().value)
        post(self, EngineStateRead(backend, state, asked_s))

    def _on_sent(self, order: Order, outcome: Outcome) -> None:
        sent, detail = _send_outcome(outcome)
        _log.info("order handed over", order_id=order.order_id, outcome=sent.value, detail=detail)
        post(self, OrderOutcomeKnown(order.order_id, sent, detail))


def parse_engine_state(backend: str, value: dict[str, object]) -> EngineState | None:
    """Returns the state in the body of an engine's answer, or None if it is malformed."""
    try:
        adapters = value["adapters"]
        return EngineState(
            backend=backend,
            incarnation=str(value["incarnation"]),
            role=Role(value["role"]),
            model=str(value["model"]),
            adapters=frozenset(map(str, adapters if isinstance(adapters, list) else [])),
            running_requests=int(str(value["running"])),
            order_in_progress=str(value["order_under_way"]),
            last_order=str(value["last_order"]),
        )
    except (KeyError, ValueError):
        return None


def _send_outcome(outcome: Outcome) -> tuple[OrderSendOutcome, str]:
    if isinstance(outcome, Failure):
        error = outcome.failure()
        unsent = error.verdict is Verdict.NOT_RUN
        return (OrderSendOutcome.NOT_SENT if unsent else OrderSendOutcome.UNKNOWN), error.detail
    value = outcome.unwrap().value
    detail = str(value.get("detail", ""))
    try:
        return OrderSendOutcome(value.get("outcome")), detail
    except ValueError:
        return OrderSendOutcome.UNKNOWN, detail

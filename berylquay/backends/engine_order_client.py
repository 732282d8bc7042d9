"""Reads engines' states and forwards orders to the order sender process of this host."""

import time
from collections.abc import Callable
from functools import partial
from typing import Final

import logbook
from circuits import BaseComponent, handler
from returns.result import Failure

from berylquay.authority.send_request import ORDERS_PATH, SendRequest, encode_send_request
from berylquay.call_verdicts import Verdict
from berylquay.component_messages import EngineStateRead, OrderOutcomeKnown
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
from berylquay.net.http_client import STATUS_OK, HttpRequest, make_json_request
from berylquay.net.message_bus import BUS, post
from berylquay.net.process_messages import Tick
from berylquay.net.tcp_connections import TcpConnections
from berylquay.standalone.json_exchange import ExchangeOutcome, JsonExchange

STATE_READ_TIMEOUT_S: Final = 2.0
# Time after an order's expiry for which the client still waits for the sender's response.
SENDER_RESPONSE_GRACE_S: Final = 1.0
_log = logbook.Logger("orders")


class EngineOrderClient(BaseComponent):
    """Executes the order controller's commands that need requests to other processes."""

    channel = BUS

    # Opens the connections.
    _connections: TcpConnections
    # Address of this host's order sender process.
    _sender_address: Address
    # Requests in flight.
    _exchanges: set[JsonExchange]

    def __init__(self, connections: TcpConnections, sender_address: Address) -> None:
        super().__init__()
        self._connections = connections
        self._sender_address = sender_address
        self._exchanges = set()

    @handler("StateReadWanted")
    def _on_state_read_wanted(self, message: StateReadWanted) -> None:
        requested_s = time.monotonic()
        request = HttpRequest("GET", "/v1/state")
        on_outcome = partial(self._on_state_response, message.backend, requested_s)
        self._send_request(message.address, request, requested_s + STATE_READ_TIMEOUT_S, on_outcome)

    @handler("OrderSendWanted")
    def _on_order_send_wanted(self, message: OrderSendWanted) -> None:
        order = message.order
        _log.info("order", order_id=order.order_id, term=order.term, backend=order.change.backend)
        send_request = SendRequest(
            order.address, order.expires_s, order.term, order_request_body(order)
        )
        request = make_json_request("POST", ORDERS_PATH, encode_send_request(send_request))
        deadline_s = order.expires_s + SENDER_RESPONSE_GRACE_S
        self._send_request(
            self._sender_address, request, deadline_s, partial(self._on_sender_response, order)
        )

    @handler("Tick")
    def _on_tick(self, message: Tick) -> None:
        for exchange in tuple(self._exchanges):
            exchange.expire_if_overdue(message.now_s)

    def _send_request(
        self,
        address: Address,
        request: HttpRequest,
        deadline_s: float,
        on_outcome: Callable[[ExchangeOutcome], None],
    ) -> None:
        def on_exchange_ended(outcome: ExchangeOutcome) -> None:
            self._exchanges.discard(exchange)
            on_outcome(outcome)

        exchange = JsonExchange(self._connections, address, request, deadline_s, on_exchange_ended)
        self._exchanges.add(exchange)

    def _on_state_response(
        self, backend: str, requested_s: float, outcome: ExchangeOutcome
    ) -> None:
        state = None
        if not isinstance(outcome, Failure) and outcome.unwrap().status == STATUS_OK:
            state = parse_engine_state(backend, outcome.unwrap().body)
        post(self, EngineStateRead(backend, state, requested_s))

    def _on_sender_response(self, order: Order, outcome: ExchangeOutcome) -> None:
        send_outcome, detail = _to_send_outcome(outcome)
        _log.info(
            "order handed over", order_id=order.order_id, outcome=send_outcome.value, detail=detail
        )
        post(self, OrderOutcomeKnown(order.order_id, send_outcome, detail))


def parse_engine_state(backend: str, value: dict[str, object]) -> EngineState | None:
    """Returns the state in the body of an engine's response, or None if it is malformed."""
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


def _to_send_outcome(outcome: ExchangeOutcome) -> tuple[OrderSendOutcome, str]:
    if isinstance(outcome, Failure):
        error = outcome.failure()
        not_sent = error.verdict is Verdict.NOT_RUN
        return (OrderSendOutcome.NOT_SENT if not_sent else OrderSendOutcome.UNKNOWN), error.detail
    value = outcome.unwrap().body
    detail = str(value.get("detail", ""))
    try:
        return OrderSendOutcome(value.get("outcome")), detail
    except ValueError:
        return OrderSendOutcome.UNKNOWN, detail

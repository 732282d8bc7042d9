"""`berylquay-orders`: the only process of a host that sends orders to engines, one at a time.

The operator's supervisor runs one beside each `berylquayd`, on the same host. The daemon passes it
one order with the time up to which the order may leave the host, on the monotonic clock that both
processes share. The process ends rather than send a byte after that time, and the supervisor
restarts it.
"""

import argparse
import json
from typing import Final

import logbook
from circuits import BaseComponent, Event, handler
from circuits.core.pollers import EPoll
from circuits.web.wrappers import Request, Response

from berylquay.authority.deadline import Deadline, KernelTimerDeadline
from berylquay.authority.order_exchange import OrderExchange, SendResult
from berylquay.authority.send_request import ORDERS_PATH, SendRequest, parse_send_request
from berylquay.callers.server import HttpServer
from berylquay.decisions.engine_orders import OrderSendOutcome
from berylquay.decisions.fleet import Address
from berylquay.json_logging import set_up_logging
from berylquay.settings.host_options import CallerLimits

ORDERS_CHANNEL: Final = "orders"
STATUS_BAD_REQUEST: Final = 400
_log = logbook.Logger("orders")


class OrderSender:
    """Sends orders under their deadlines; refuses orders of an older term than one seen before."""

    # Ends the process when an order expires.
    _deadline: Deadline
    # Highest term seen.
    _highest_term: int

    def __init__(self, deadline: Deadline) -> None:
        self._deadline = deadline
        self._highest_term = 0

    def send(self, request: SendRequest) -> SendResult:
        """Sends the order and returns its outcome."""
        if request.term < self._highest_term:
            return SendResult(OrderSendOutcome.NOT_SENT, "a newer term was seen")
        self._highest_term = request.term
        if not self._deadline.arm(request.expires_s):
            return SendResult(OrderSendOutcome.NOT_SENT, "the order has expired")
        try:
            return self.make_exchange(request).send_order(request.body)
        finally:
            # The exchange has closed its socket, so no byte of the order can be sent any more.
            self._deadline.disarm()

    def make_exchange(self, request: SendRequest) -> OrderExchange:
        """Returns the exchange that sends the order."""
        return OrderExchange(request.address, request.expires_s)


class OrderEndpoint(BaseComponent):
    """Receives orders from the daemon of this host over HTTP."""

    channel = ORDERS_CHANNEL

    _sender: OrderSender

    def __init__(self, sender: OrderSender) -> None:
        super().__init__()
        self._sender = sender

    @handler("request", priority=1.0)
    def _on_request(self, event: Event, request: Request, response: Response) -> bytes | None:
        event.stop()
        if request.method != "POST" or request.path != ORDERS_PATH:
            return None
        try:
            send_request = parse_send_request(request.body.read())
        except (ValueError, KeyError, TypeError) as error:
            response.status = STATUS_BAD_REQUEST
            return json.dumps({"outcome": "not-sent", "detail": f"malformed: {error}"}).encode()
        result = self._sender.send(send_request)
        _log.info(
            "order handled",
            order_id=send_request.body.get("order_id"),
            term=send_request.term,
            engine=str(send_request.address),
            outcome=result.outcome.value,
            detail=result.detail,
        )
        response.headers["Content-Type"] = "application/json"
        return json.dumps({"outcome": result.outcome.value, "detail": result.detail}).encode()


def run_sender(sender: OrderSender, port: int) -> None:
    """Serves requests of the daemon of this host until SIGTERM."""
    loop = EPoll()
    HttpServer(Address("127.0.0.1", port), CallerLimits(), ORDERS_CHANNEL).register(loop)
    OrderEndpoint(sender).register(loop)
    _log.info("starting", port=port)
    loop.run()


def parse_port(arguments: list[str] | None = None) -> int:
    """Returns the port given on the command line."""
    parser = argparse.ArgumentParser(
        prog="berylquay-orders", description="Sends the orders of this host's berylquayd."
    )
    parser.add_argument("--port", type=int, required=True, help="loopback port to listen on")
    return int(parser.parse_args(arguments).port)


def main() -> None:
    """Runs the sender; SIGTERM ends it after the order in flight."""
    port = parse_port()
    set_up_logging("info")
    run_sender(OrderSender(KernelTimerDeadline()), port)


if __name__ == "__main__":
    main()

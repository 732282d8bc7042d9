"""What an engine's answer to an order, or its early end, is taken for."""

import time

import pytest

from berylquay.authority.order_exchange import OrderExchange
from berylquay.decisions.engine_orders import OrderSendOutcome
from berylquay.decisions.fleet import Address
from tests.support.scripted_backend import Ending, Script, ScriptedBackend

ACCEPTED = OrderSendOutcome.ACCEPTED
REFUSED = OrderSendOutcome.REFUSED
UNKNOWN = OrderSendOutcome.UNKNOWN


# Guards against an order that counts as refused although only 4xx says so: an engine, or a device
# on the path, may answer with another status after the order was accepted.
@pytest.mark.parametrize("ending", [Ending.FIN, Ending.RESET])
@pytest.mark.parametrize(
    ("answer", "after_fin", "after_reset"),
    [
        (b"", UNKNOWN, UNKNOWN),
        (b"HTTP/1.1 20", UNKNOWN, UNKNOWN),
        (b"HTTP/1.1 103 X\r\n\r\n", UNKNOWN, UNKNOWN),
        (b"HTTP/1.1 202 X\r\nContent-Length: 2\r\n\r\n{}", ACCEPTED, ACCEPTED),
        (b"HTTP/1.1 202 X\r\nContent-Length: 2\r\n\r\n{", UNKNOWN, UNKNOWN),
        (b'HTTP/1.1 202 X\r\n\r\n{"or', ACCEPTED, UNKNOWN),
        (b"HTTP/1.1 409 X\r\nContent-Length: 2\r\n\r\n{}", REFUSED, REFUSED),
        (b"HTTP/1.1 409 X\r\nContent-Length: 2\r\n\r\n{", UNKNOWN, UNKNOWN),
        (b"HTTP/1.1 400 X\r\n\r\n{", REFUSED, UNKNOWN),
        (b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n", UNKNOWN, UNKNOWN),
        (b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", UNKNOWN, UNKNOWN),
        (b"HTTP/1.1 502 X\r\nContent-Length: 0\r\n\r\n", UNKNOWN, UNKNOWN),
        (b"HTTP/1.1 504 X\r\n\r\n", UNKNOWN, UNKNOWN),
    ],
)
def test_only_a_refusal_says_that_an_order_was_not_accepted(
    answer: bytes, after_fin: OrderSendOutcome, after_reset: OrderSendOutcome, ending: Ending
) -> None:
    engine = ScriptedBackend(Script(answer, ending))
    engine.start()
    exchange = OrderExchange(Address("127.0.0.1", engine.port), time.monotonic() + 5.0)
    result = exchange.send_order({"order_id": "o", "kind": "role", "role": "decode"})
    engine.stop()
    assert result.outcome is (after_fin if ending is Ending.FIN else after_reset)

"""An order that is stuck in a socket buffer when it expires must never arrive completely."""

import socket
import struct
import time
from collections.abc import Iterator
from contextlib import suppress

import pytest

from berylquay.authority import order_exchange
from berylquay.authority.order_exchange import OrderExchange
from berylquay.decisions.engine_orders import OrderSendOutcome
from berylquay.decisions.fleet import Address

ORDER_LIFETIME_S = 0.6
READ_TIMEOUT_S = 2.0
# Larger than the receive window, so that the end of the order stays in the sender's buffer.
LARGE_ADAPTER_LIST = ["adapter-" + "x" * 100] * 20000
NO_LINGER = struct.pack("ii", 0, 0)


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        yield sock


def _send_into_closed_window(listener: socket.socket) -> OrderSendOutcome:
    address = Address(*listener.getsockname())
    exchange = OrderExchange(address, time.monotonic() + ORDER_LIFETIME_S)
    return exchange.send_order({"order_id": "stuck", "adapters": LARGE_ADAPTER_LIST}).outcome


def _read_late(listener: socket.socket) -> bytes:
    connection, _ = listener.accept()
    connection.settimeout(READ_TIMEOUT_S)
    chunks: list[bytes] = []
    with connection, suppress(OSError):
        while chunk := connection.recv(1 << 20):
            chunks.append(chunk)
    return b"".join(chunks)


def _is_complete_request(data: bytes) -> bool:
    head, _, body = data.partition(b"\r\n\r\n")
    length = next((line for line in head.lower().split(b"\r\n") if b"content-length" in line), b"")
    return bool(length) and len(body) == int(length.split(b":")[1])


def test_order_stuck_until_it_expired_is_dropped(listener: socket.socket) -> None:
    assert _send_into_closed_window(listener) is OrderSendOutcome.UNKNOWN
    assert not _is_complete_request(_read_late(listener))


def test_stuck_order_arrives_late_without_the_reset(
    listener: socket.socket, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(order_exchange, "LINGER_RESET", NO_LINGER)
    monkeypatch.setattr(
        OrderExchange, "write", lambda _self, sock, data: _write_and_close(sock, data)
    )
    _send_into_closed_window(listener)
    assert _is_complete_request(_read_late(listener))


def _write_and_close(sock: socket.socket, data: bytes) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * len(data))
    sock.sendall(data)

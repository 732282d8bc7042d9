"""Sends one order to an engine over one blocking connection and leaves no unsent bytes behind."""

import json
import socket
import struct
import time
from typing import Final

import h11
from attrs import frozen

from berylquay.decisions.engine_orders import OrderSendOutcome
from berylquay.decisions.fleet import Address

RECEIVE_BYTES: Final = 65536
STATUS_ACCEPTED: Final = 202
FIRST_CLIENT_ERROR: Final = 400
FIRST_SERVER_ERROR: Final = 500
# Closing drops unsent bytes and resets the connection, also if the kernel closes the socket.
LINGER_RESET: Final = struct.pack("ii", 1, 0)
# Time before the deadline at which the exchange times out, so that the timer seldom fires.
DEADLINE_MARGIN_S: Final = 0.2
MIN_TIMEOUT_S: Final = 0.01


@frozen
class SendResult:
    """Outcome of an order, with the engine's answer or the error."""

    outcome: OrderSendOutcome
    detail: str = ""


class OrderExchange:
    """Sends one order and reads the engine's answer."""

    # Address on which the engine listens.
    _address: Address
    # Monotonic time of the deadline, at which the timer ends the process.
    _deadline_s: float

    def __init__(self, address: Address, deadline_s: float) -> None:
        self._address = address
        self._deadline_s = deadline_s

    def send_order(self, body: dict[str, object]) -> SendResult:
        """Sends the order and waits for the answer.

        The connection is closed and its unsent bytes are dropped when this returns.

        Returns:
            The result, also if the connection fails. The outcome is NOT_SENT if no connection was
            established, and UNKNOWN if the engine may have received the order but no complete
            answer came, or one that neither accepts nor refuses the order.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            remaining_ms = max(1, int(self._remaining_s() * 1000))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, remaining_ms)
            return self._send_over(sock, body)
        finally:
            sock.close()

    def _send_over(self, sock: socket.socket, body: dict[str, object]) -> SendResult:
        protocol = h11.Connection(our_role=h11.CLIENT)
        data = self._encode_request(protocol, body)
        try:
            sock.settimeout(self._remaining_s())
            sock.connect((self._address.ip, self._address.port))
        except OSError as error:
            return SendResult(OrderSendOutcome.NOT_SENT, str(error))
        try:
            self.write(sock, data)
            return self._read_response(sock, protocol)
        except (OSError, h11.RemoteProtocolError) as error:
            return SendResult(OrderSendOutcome.UNKNOWN, str(error))

    def write(self, sock: socket.socket, data: bytes) -> None:
        """Writes the complete request."""
        sock.sendall(data)

    def _encode_request(self, protocol: h11.Connection, body: dict[str, object]) -> bytes:
        content = json.dumps(body).encode()
        head = h11.Request(
            method="POST",
            target="/v1/orders",
            headers=[
                ("Host", str(self._address)),
                ("Connection", "close"),
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(content))),
            ],
        )
        events = (head, h11.Data(data=content), h11.EndOfMessage())
        return b"".join(protocol.send(event) or b"" for event in events)

    def _read_response(self, sock: socket.socket, protocol: h11.Connection) -> SendResult:
        status = 0
        content = b""
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                sock.settimeout(self._remaining_s())
                protocol.receive_data(sock.recv(RECEIVE_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                content += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return SendResult(OrderSendOutcome.UNKNOWN, "the connection ended early")
        detail = content.decode(errors="replace")
        if status == STATUS_ACCEPTED:
            return SendResult(OrderSendOutcome.ACCEPTED, detail)
        if FIRST_CLIENT_ERROR <= status < FIRST_SERVER_ERROR:
            return SendResult(OrderSendOutcome.REFUSED, detail)
        # The engine, or a device on the path, may have failed after the order was accepted.
        return SendResult(OrderSendOutcome.UNKNOWN, f"status {status}: {detail}")

    def _remaining_s(self) -> float:
        remaining_s = self._deadline_s - DEADLINE_MARGIN_S - time.monotonic()
        return max(remaining_s, MIN_TIMEOUT_S)

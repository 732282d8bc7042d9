"""A session: one connection to another entry host, from its handshake to its end."""

from typing import Protocol

from attrs import define, field

from berylquay.decisions.peering import PeeringLimits
from berylquay.peers.codec import encode_payload
from berylquay.peers.payloads import PeerPayload
from berylquay.peers.websocket import PeerWebSocket


class Transport(Protocol):
    """The socket under a session."""

    def send(self, data: bytes) -> None:
        """Writes the data, now or later."""

    def unsent_bytes(self) -> int:
        """Returns the number of bytes that wait to be written."""

    def close(self) -> None:
        """Closes the socket without further notice to the session."""


@define(eq=False)
class PeerSession:
    """State of one connection."""

    websocket: PeerWebSocket
    transport: Transport
    # Host that was dialled, or None if the other end dialled.
    dialled_host: str | None
    opened_s: float
    last_received_s: float
    # Name that the other end gave in its Hello, or None before that.
    host: str | None = None
    # Incarnation that the other end gave.
    incarnation: str = ""
    # Whether this end's Hello was sent.
    hello_sent: bool = False
    ended: bool = False
    next_heartbeat_s: float = 0.0
    # Payloads that were dropped because too much was waiting.
    dropped_payloads: int = field(default=0)

    @property
    def is_up(self) -> bool:
        """Tells whether payloads may pass."""
        return self.host is not None and self.hello_sent and not self.ended

    def send(self, payload: PeerPayload, max_queue_bytes: int) -> bool:
        """Sends a payload, or drops it if the link is not open or too much is waiting."""
        if self.ended or not self.websocket.is_open:
            return False
        message = encode_payload(payload)
        if self.transport.unsent_bytes() + len(message) > max_queue_bytes:
            self.dropped_payloads += 1
            return False
        self.websocket.send(message)
        self.flush()
        return True

    def flush(self) -> None:
        """Writes what the wire has to send."""
        data = self.websocket.take_outgoing()
        if data:
            self.transport.send(data)

    def timeout_reason(self, limits: PeeringLimits, now_s: float) -> str | None:
        """Returns why the session must end now, or None."""
        if not self.is_up and now_s - self.opened_s >= limits.handshake_timeout_s:
            return "the handshake took too long"
        if now_s - self.last_received_s >= limits.heartbeat_timeout_s:
            return "silent"
        return None

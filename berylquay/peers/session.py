"""Session of a peer link: one connection to another entry host, from its handshake to its end."""

from typing import Protocol

from attrs import define, field

from berylquay.decisions.peering import PeeringLimits
from berylquay.peers.codec import encode_payload
from berylquay.peers.payloads import PeerPayload
from berylquay.peers.websocket import PeerWebSocket


class Transport(Protocol):
    """The socket under a session."""

    def send(self, data: bytes) -> None:
        """Writes the data, or queues it for writing."""

    def unsent_bytes(self) -> int:
        """Returns the number of bytes that are queued for writing."""

    def close(self) -> None:
        """Closes the socket without a further call to the session."""


@define(eq=False)
class PeerSession:
    """State of one connection."""

    websocket: PeerWebSocket
    transport: Transport
    # Host that was dialled, or None if the other end dialled.
    dialled_host: str | None
    # Monotonic time at which the session began.
    opened_s: float
    # Monotonic time at which data was last received.
    last_received_s: float
    # Name that the other end gave in its Hello, or None before that.
    host: str | None = None
    # Incarnation that the other end gave in its Hello.
    incarnation: str = ""
    # Whether this end's Hello was sent.
    hello_sent: bool = False
    ended: bool = False
    # Monotonic time at which the next heartbeat is due.
    next_heartbeat_s: float = 0.0
    # Number of payloads dropped because the send queue was full.
    dropped_payloads: int = field(default=0)

    @property
    def is_up(self) -> bool:
        """Returns whether the Hellos have been exchanged and the session has not ended."""
        return self.host is not None and self.hello_sent and not self.ended

    def send(self, payload: PeerPayload, max_queue_bytes: int) -> bool:
        """Sends a payload, or drops it if the link is not open or its send queue is full.

        Args:
            payload: Payload to send.
            max_queue_bytes: Maximum number of bytes in the send queue, with the payload.

        Returns:
            Whether the payload was sent or queued.
        """
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
        """Writes the bytes that the WebSocket has to send."""
        data = self.websocket.take_outgoing()
        if data:
            self.transport.send(data)

    def timeout_reason(self, limits: PeeringLimits, now_s: float) -> str | None:
        """Returns why the session has timed out, or None if it has not."""
        if not self.is_up and now_s - self.opened_s >= limits.handshake_timeout_s:
            return "the handshake took too long"
        if now_s - self.last_received_s >= limits.heartbeat_timeout_s:
            return "silent"
        return None

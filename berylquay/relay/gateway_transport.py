"""Transport of one connection to a backend server by way of another host."""

from collections.abc import Callable
from typing import Final, Protocol

from berylquay.decisions.fleet import Address
from berylquay.decisions.server_instance import ServerInstance
from berylquay.net.tcp_connections import Connection, ConnectionHandler, TcpConnections
from berylquay.peers.security_layer import PlaintextLayer
from berylquay.peers.websocket import PeerWebSocket, WebSocketError
from berylquay.relay.tunnel_messages import (
    END,
    OPENED,
    PAUSE,
    SERVER_REFUSED,
    UNDELIVERED,
    UNREACHED,
    TunnelMessage,
    decode_message,
    encode_data,
    encode_event,
    encode_open,
)

UNREADABLE_MESSAGE: Final = "the gateway sent an unreadable message"


class GatewayListener(Protocol):
    """Is told what the use of a gateway shows of it and of the server."""

    def on_gateway_failed(self, gateway: str) -> None:
        """Called if the gateway can't be used."""

    def on_server_reached(self) -> None:
        """Called if the gateway has reached the server."""

    def on_server_unreached(self, gateway: str) -> bool:
        """Called if the gateway has not reached the server; returns whether that is to blame."""


class GatewayTransport:
    """Opens one connection to a server through a gateway; used like `TcpConnections`."""

    # Name of the gateway.
    gateway: str
    # Whether the gateway itself failed, rather than its connection to the server.
    has_gateway_failed: bool
    _tcp: TcpConnections
    _gateway_address: Address
    _instance: ServerInstance
    _listener: GatewayListener
    _websocket: PeerWebSocket
    # Whether the message that opens the tunnel was sent, and data of the server has come.
    _has_asked: bool
    _has_data: bool
    # The connection to the gateway, and what its user sees of the one to the server.
    _link: Connection | None
    _connection: Connection | None

    def __init__(
        self,
        tcp: TcpConnections,
        gateway: str,
        gateway_address: Address,
        instance: ServerInstance,
        listener: GatewayListener,
    ) -> None:
        self.gateway = gateway
        self.has_gateway_failed = False
        self._tcp = tcp
        self._gateway_address = gateway_address
        self._instance = instance
        self._listener = listener
        self._websocket = PeerWebSocket(PlaintextLayer(), server_side=False)
        self._has_asked = False
        self._has_data = False
        self._link = None
        self._connection = None

    # Called by the user of the connection.

    def open(self, address: Address, connection_handler: ConnectionHandler) -> Connection:
        """Starts connecting to the gateway and returns what the user sees of the connection."""
        self._link = self._tcp.open(self._gateway_address, self)
        self._connection = Connection(address, connection_handler, self._link.sock)
        return self._connection

    def send(self, connection: Connection, data: bytes) -> None:
        """Sends data to the server."""
        if connection.closed or self._link is None:
            return
        for message in encode_data(data):
            self._websocket.send(message)
        connection.bytes_sent += len(data)
        self._flush()

    def close(self, connection: Connection) -> None:
        """Closes the connection without calling its handler; the gateway closes its own."""
        connection.closed = True
        if self._link is not None:
            self._tcp.close(self._link)

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Calls the callback in the next turn of the event loop."""
        self._tcp.call_soon(callback)

    def pause_reading(self, connection: Connection) -> None:
        """Stops reading; the gateway then stops reading from the server."""
        if self._link is not None and not connection.closed:
            self._tcp.pause_reading(self._link)

    def resume_reading(self, connection: Connection) -> None:
        """Resumes reading after `pause_reading`."""
        if self._link is not None and not connection.closed:
            self._tcp.resume_reading(self._link)

    def give_up_connecting(self) -> None:
        """Records that the gateway was too slow."""
        self.has_gateway_failed = True
        self._listener.on_gateway_failed(self.gateway)

    def pass_on_pause(self, pause_s: float) -> None:
        """Tells the gateway that the server wants no requests for a while."""
        if self._connection is not None and not self._connection.closed:
            self._websocket.send(encode_event(PAUSE, str(pause_s)))
            self._flush()

    # Handler of the connection to the gateway.

    def on_connected(self) -> None:
        """Starts the WebSocket."""
        self._flush()

    def on_data_received(self, data: bytes) -> None:
        """Handles messages of the gateway."""
        try:
            messages = self._websocket.receive(data)
        except WebSocketError as error:
            self._fail(str(error))
            return
        if self._websocket.is_open and not self._has_asked:
            self._has_asked = True
            self._websocket.send(encode_open(self._instance))
        self._flush()
        for message in map(decode_message, messages):
            if self._connection is None or self._connection.closed:
                return
            self._handle_message(self._connection, message)

    def on_disconnected(self, detail: str) -> None:
        """Handles the loss of the gateway."""
        self._fail(detail)

    def _handle_message(self, connection: Connection, message: TunnelMessage | None) -> None:
        if isinstance(message, bytes):
            self._has_data = True
            connection.handler.on_data_received(message)
        elif message is None:
            self._fail(UNREADABLE_MESSAGE)
        elif message[0] == OPENED:
            connection.established = True
            self._listener.on_server_reached()
            connection.handler.on_connected()
        elif message[0] == END:
            if not self._has_data:
                self._listener.on_gateway_failed(self.gateway)
            connection.peer_closed_cleanly = True
            is_link_behind = self._link is not None and self._tcp.is_undelivered(self._link)
            connection.has_undelivered = is_link_behind or message[1] == UNDELIVERED
            self._end(connection, "closed by the other end")
        elif message[0] == UNREACHED:
            self.has_gateway_failed = not self._listener.on_server_unreached(self.gateway)
            self._end(connection, message[1])
        elif message[0] == SERVER_REFUSED:
            self._end(connection, message[1])
        else:
            self._fail(message[1])

    def _fail(self, detail: str) -> None:
        """Ends the connection because of its gateway."""
        connection = self._connection
        if connection is None or connection.closed:
            return
        if not connection.established:
            self.give_up_connecting()
        elif not self._has_data:
            # The gateway's own connections to the server may break as well.
            self._listener.on_gateway_failed(self.gateway)
        self._end(connection, detail)

    def _end(self, connection: Connection, detail: str) -> None:
        self.close(connection)
        connection.handler.on_disconnected(detail)

    def _flush(self) -> None:
        if self._link is not None:
            self._tcp.send(self._link, self._websocket.take_outgoing())

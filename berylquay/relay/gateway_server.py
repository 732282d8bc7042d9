"""Serves as a gateway: connects other hosts that have lost their own paths to backend servers.

A gateway only forwards bytes. The other host decides where a request goes and answers for it; the
gateway refuses servers that its own view forbids, since to them the requests come from this host.
"""

import time
from random import Random
from typing import Final

import logbook

from berylquay.decisions.backend_registry import BackendEntry, BackendRegistry, EntryState
from berylquay.decisions.server_instance import ServerInstance
from berylquay.net.clocks import unix_ms_at
from berylquay.net.tcp_connections import Connection, TcpConnections
from berylquay.peers.security_layer import PlaintextLayer
from berylquay.peers.websocket import PeerWebSocket, WebSocketError
from berylquay.relay.path_monitor import PathMonitor
from berylquay.relay.tunnel_messages import (
    END,
    GATEWAY_REFUSED,
    OPENED,
    PAUSE,
    SERVER_REFUSED,
    UNDELIVERED,
    UNREACHED,
    decode_message,
    decode_open,
    encode_data,
    encode_event,
)
from berylquay.relay.upstream_request import CONNECT_TIMEOUT_S

MAX_TUNNELS: Final = 400
# Time to open a tunnel; the other host, which gives up after its own time-out, learns before that
# that the server is to blame.
OPEN_TIMEOUT_S: Final = CONNECT_TIMEOUT_S * 2.0 / 3.0
# Bytes that one side has not accepted yet, above which the other side is not read.
MAX_UNSENT_BYTES: Final = 262144
_log = logbook.Logger("gateway")


class GatewayServer:
    """All tunnels that lead through this host."""

    connections: TcpConnections
    registry: BackendRegistry
    path_monitor: PathMonitor
    rng: Random
    # Whether new tunnels are refused, as this host is stopping.
    is_stopping: bool
    _tunnels: set["ServedTunnel"]

    def __init__(
        self,
        connections: TcpConnections,
        registry: BackendRegistry,
        path_monitor: PathMonitor,
        rng: Random,
    ) -> None:
        self.connections = connections
        self.registry = registry
        self.path_monitor = path_monitor
        self.rng = rng
        self.is_stopping = False
        self._tunnels = set()

    @property
    def open_tunnels(self) -> int:
        """Returns how many tunnels have not ended."""
        return len(self._tunnels)

    def make_tunnel(self) -> "ServedTunnel | None":
        """Returns the handler of another host's connection, or None if there are too many."""
        if len(self._tunnels) >= MAX_TUNNELS:
            return None
        tunnel = ServedTunnel(self)
        self._tunnels.add(tunnel)
        return tunnel

    def remove(self, tunnel: "ServedTunnel") -> None:
        """Forgets a tunnel that has ended."""
        self._tunnels.discard(tunnel)

    def on_tick(self, now_s: float) -> None:
        """Enforces time limits, and pauses sides that the other one is too slow for."""
        for tunnel in list(self._tunnels):
            tunnel.on_tick(now_s)


class ServedTunnel:
    """One tunnel; the handler of the connection to the other host."""

    # Connection to the other host; set when it is adopted.
    connection: Connection
    _gateway: GatewayServer
    _websocket: PeerWebSocket
    _started_s: float
    # Connection to the server and its entry, or None before the tunnel is opened.
    _server: Connection | None
    _entry: BackendEntry | None
    # Whether the server's connection has ended and the other host has yet to read the rest.
    _is_draining: bool
    _has_ended: bool
    # Whether data of the server has come.
    _has_data: bool

    def __init__(self, gateway: GatewayServer) -> None:
        self._gateway = gateway
        self._websocket = PeerWebSocket(PlaintextLayer(), server_side=True)
        self._started_s = time.monotonic()
        self._server = None
        self._entry = None
        self._is_draining = False
        self._has_ended = False
        self._has_data = False

    # Handler of the connection to the other host.

    def on_connected(self) -> None:
        """Does nothing: the connection was accepted."""

    def on_data_received(self, data: bytes) -> None:
        """Opens the tunnel, or forwards data to the server."""
        try:
            messages = self._websocket.receive(data)
        except WebSocketError as error:
            self._abandon(str(error))
            return
        self._flush()
        for message in messages:
            if self._has_ended:
                return
            if self._server is None:
                self._open(decode_open(message))
            else:
                self._forward(message)

    def on_disconnected(self, _detail: str) -> None:
        """Closes the connection to the server, so that it stops."""
        self.end()

    def on_tick(self, now_s: float) -> None:
        """Ends a tunnel that is not opened in time, and applies back pressure."""
        server = self._server
        if self._is_draining:
            return
        if server is None or not server.established:
            if now_s - self._started_s > OPEN_TIMEOUT_S:
                if server is not None and self._entry is not None:
                    self._on_connect_failed("the connection was not established in time")
                self._abandon("not opened in time")
            return
        self._balance(self.connection, server)
        self._balance(server, self.connection)

    def end(self) -> None:
        """Closes both connections."""
        if self._has_ended:
            return
        self._has_ended = True
        self._gateway.remove(self)
        for connection in (self._server, self.connection):
            if connection is not None:
                self._gateway.connections.close(connection)

    def _open(self, instance: ServerInstance | None) -> None:
        if instance is None:
            self._abandon("the first message does not open a tunnel")
            return
        entry = self._gateway.registry.get(instance.name)
        refusal = self._refusal(entry, instance)
        if refusal is not None or entry is None:
            self._refuse(*(refusal or (SERVER_REFUSED, "unknown server")), instance.name)
            return
        self._entry = entry
        self._server = self._gateway.connections.open(entry.address, _ServerSide(self))

    def _refusal(
        self, entry: BackendEntry | None, instance: ServerInstance
    ) -> tuple[str, str] | None:
        """Returns why a server may not be reached through this host, or None if it may."""
        notices = self._gateway.registry.notices
        if self._gateway.is_stopping:
            return GATEWAY_REFUSED, "the gateway is stopping"
        if self._gateway.path_monitor.paths.is_lost(instance.name):
            return UNREACHED, "the gateway has no path to the server either"
        if entry is None or entry.instance != instance:
            return SERVER_REFUSED, "unknown server"
        if entry.state is not EntryState.READY or notices.is_leaving(instance):
            return SERVER_REFUSED, "the server is leaving"
        if notices.is_paused(instance):
            return SERVER_REFUSED, "the server wants no requests from the gateway"
        return None

    def _refuse(self, event: str, detail: str, server: str) -> None:
        _log.info(
            "tunnel refused", backend=server, peer=str(self.connection.address), detail=detail
        )
        self._send(encode_event(event, detail))
        # Not closed at once, so that the message arrives; the other host closes.

    def _abandon(self, detail: str) -> None:
        """Ends the tunnel, as the other end did not keep to the protocol or has gone."""
        _log.info("tunnel abandoned", peer=str(self.connection.address), detail=detail)
        self.end()

    def _forward(self, data: bytes) -> None:
        message = decode_message(data)
        if isinstance(message, bytes) and self._server is not None:
            self._gateway.connections.send(self._server, message)
        elif isinstance(message, tuple) and message[0] == PAUSE and self._entry is not None:
            self._record_pause(self._entry, message[1])
        else:
            self._abandon("unreadable message")

    def _record_pause(self, entry: BackendEntry, pause_text: str) -> None:
        """Keeps the pause that the server has asked for: for it, the request came from here."""
        try:
            pause_s = float(pause_text)
        except ValueError:
            self._abandon("unreadable pause")
            return
        registry, now_s = self._gateway.registry, time.monotonic()
        sent_unix_ms = unix_ms_at(self._started_s)
        instance = registry.answering_instance(entry.instance, sent_unix_ms)
        registry.notices.on_pause(instance, pause_s, self._gateway.rng, now_s, sent_unix_ms)

    # Called by the handler of the connection to the server.

    def on_server_connected(self) -> None:
        """Tells the other host that it can send."""
        if self._entry is not None:
            self._gateway.path_monitor.on_connected(self._entry, time.monotonic())
        self._send(encode_event(OPENED))

    def on_server_data(self, data: bytes) -> None:
        """Forwards data of the server."""
        if not self._has_data and self._entry is not None:
            self._has_data = True
            self._gateway.path_monitor.on_answered(self._entry, time.monotonic())
        for message in encode_data(data):
            self._send(message)

    def on_server_disconnected(self, detail: str) -> None:
        """Tells the other host how the connection has ended."""
        server = self._server
        if self._has_ended or server is None:
            return
        if server.established and not self._has_data and self._entry is not None:
            self._gateway.path_monitor.on_unanswered(self._entry, time.monotonic())
        if not server.established:
            self._on_connect_failed(detail)
        elif server.peer_closed_cleanly:
            self._send(encode_event(END, UNDELIVERED if server.has_undelivered else ""))
        else:
            # Without `END` the other host knows that the connection was broken off.
            self.end()
            return
        self._server = None
        self._is_draining = True
        self._gateway.connections.half_close(self.connection)

    def _on_connect_failed(self, detail: str) -> None:
        if self._entry is None:
            return
        self._gateway.path_monitor.on_connect_failed(self._entry, time.monotonic())
        self._send(encode_event(UNREACHED, detail))

    def _balance(self, receiver: Connection, sender: Connection) -> None:
        if receiver.unsent_bytes > MAX_UNSENT_BYTES:
            self._gateway.connections.pause_reading(sender)
        else:
            self._gateway.connections.resume_reading(sender)

    def _send(self, message: bytes) -> None:
        if self._websocket.is_open:
            self._websocket.send(message)
            self._flush()

    def _flush(self) -> None:
        self._gateway.connections.send(self.connection, self._websocket.take_outgoing())


class _ServerSide:
    """Handler of a tunnel's connection to its server."""

    _tunnel: ServedTunnel

    def __init__(self, tunnel: ServedTunnel) -> None:
        self._tunnel = tunnel

    def on_connected(self) -> None:
        """Passes the event on."""
        self._tunnel.on_server_connected()

    def on_data_received(self, data: bytes) -> None:
        """Passes the data on."""
        self._tunnel.on_server_data(data)

    def on_disconnected(self, detail: str) -> None:
        """Passes the end on."""
        self._tunnel.on_server_disconnected(detail)

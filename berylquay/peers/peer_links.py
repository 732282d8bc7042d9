"""The component that owns every connection to other entry hosts."""

import time
from collections import Counter
from socket import socket
from typing import Final

import logbook
from attrs import define
from circuits import BaseComponent, handler
from circuits.net.sockets import TCPServer
from returns.result import Failure

from berylquay.component_messages import (
    ConfigurationInForce,
    MembershipRead,
    PeerLinkChanged,
    PeerReceived,
    PeerSendRequested,
)
from berylquay.decisions.fleet import EntryHost
from berylquay.decisions.peering import (
    DialScheduler,
    PeeringLimits,
    choose_dial_targets,
    keeps_own_link,
)
from berylquay.net.message_bus import BUS, post
from berylquay.net.process_messages import Tick
from berylquay.net.tcp_connections import Connection, TcpConnections
from berylquay.peers.codec import CodecError, decode_payload
from berylquay.peers.payloads import Heartbeat, Hello, PeerPayload
from berylquay.peers.security_layer import SecurityLayerFactory
from berylquay.peers.session import PeerSession, Transport
from berylquay.peers.websocket import PeerWebSocket, WebSocketError
from berylquay.settings.host_options import PeerOptions

PEERS_CHANNEL: Final = "peers"
RECEIVE_BYTES: Final = 65536
CLOSED_FILENO: Final = -1
# Gap between two ticks above which this process itself is taken to have stalled.
PROCESS_STALL_S: Final = 1.0
_log = logbook.Logger("peers")


@define
class HostIdentity:
    """Identity of this host towards its peers."""

    # Name of the host.
    host: str
    data_centre: str
    # Incarnation of the process; changes with each restart.
    incarnation: str


class PeerLinks(BaseComponent):
    """Maintains one link per peer and passes payloads between the links and the bus."""

    channel = PEERS_CHANNEL

    # Number of events by kind, for logs, metrics and tests.
    counts: Counter[str]
    # Identity of this host.
    _identity: HostIdentity
    # Opens outbound connections.
    _connections: TcpConnections
    # Creates the security layer of each connection.
    _make_security_layer: SecurityLayerFactory
    # Limits and time-outs of the links.
    _limits: PeeringLimits
    # Schedules the dials.
    _dial_scheduler: DialScheduler
    # Hosts that this host dials, by name.
    _dial_targets: dict[str, EntryHost]
    # Every session that has not ended.
    _sessions: set[PeerSession]
    # Sessions that the other end dialled, by socket.
    _accepted_sessions: dict[socket, PeerSession]
    # Sessions whose link is up, by host.
    _session_by_host: dict[str, PeerSession]
    # Accepts the connections that peers dial.
    _server: TCPServer
    # Configuration revision in force.
    _revision: int
    # Monotonic time of the last tick.
    _last_tick_s: float

    def __init__(
        self,
        connections: TcpConnections,
        options: PeerOptions,
        identity: HostIdentity,
        make_security_layer: SecurityLayerFactory,
        dial_scheduler: DialScheduler,
    ) -> None:
        super().__init__()
        self.counts = Counter()
        self._identity = identity
        self._connections = connections
        self._make_security_layer = make_security_layer
        self._limits = dial_scheduler.limits
        self._dial_scheduler = dial_scheduler
        self._dial_targets = {}
        self._sessions = set()
        self._accepted_sessions = {}
        self._session_by_host = {}
        self._revision = 0
        self._last_tick_s = time.monotonic()
        bind = (options.address.ip, options.address.port)
        self._server = TCPServer(bind, bufsize=RECEIVE_BYTES, channel=self.channel).register(self)

    @property
    def linked_hosts(self) -> frozenset[str]:
        """Returns the hosts to which a link is up."""
        return frozenset(self._session_by_host)

    # From the bus.

    @handler("MembershipRead", channel=BUS)
    def _on_membership(self, message: MembershipRead) -> None:
        self._dial_targets = choose_dial_targets(
            self._identity.host,
            self._identity.data_centre,
            message.view.hosts,
            self._limits.links_to_other_data_centres,
        )
        self._dial_scheduler.set_targets(self._dial_targets, time.monotonic())

    @handler("ConfigurationInForce", channel=BUS)
    def _on_configuration(self, message: ConfigurationInForce) -> None:
        self._revision = message.configuration.revision

    @handler("PeerSendRequested", channel=BUS)
    def _on_send(self, message: PeerSendRequested) -> None:
        session = self._session_by_host.get(message.host)
        if session is None or not session.send(message.payload, self._limits.max_send_queue_bytes):
            self.counts["payloads_dropped"] += 1

    @handler("Tick", channel=BUS)
    def _on_tick(self, message: Tick) -> None:
        now_s = message.now_s
        stalled = now_s - self._last_tick_s > PROCESS_STALL_S
        self._last_tick_s = now_s
        for session in list(self._sessions):
            if stalled:
                # Data that arrived while this process was stalled has not been read yet.
                session.last_received_s = now_s
            self._check_session(session, now_s)
        for name in self._dial_scheduler.take_due(now_s, self._session_by_host):
            self._dial(name, now_s)

    # From the sockets.

    @handler("connect")
    def _on_accepted(self, sock: socket, *address: object) -> None:
        if len(self._sessions) >= self._limits.max_connections:
            self.counts["connections_refused"] += 1
            self._server._close(sock)
            return
        transport = _AcceptedTransport(self._server, sock)
        self._accepted_sessions[sock] = self._open_session(transport, None, time.monotonic())

    @handler("read")
    def _on_read(self, sock: socket, data: bytes) -> None:
        session = self._accepted_sessions.get(sock)
        if session is not None:
            self.on_data(session, data)

    @handler("disconnect")
    def _on_closed(self, sock: socket) -> None:
        session = self._accepted_sessions.pop(sock, None)
        if session is not None:
            self.end_session(session, "closed by the other end")

    def on_data(self, session: PeerSession, data: bytes) -> None:
        """Handles bytes received on a session and ends the session if they break the protocol."""
        if session.ended:
            return
        now_s = time.monotonic()
        session.last_received_s = now_s
        try:
            messages = session.websocket.receive(data)
        except WebSocketError as error:
            session.flush()
            self.counts["links_broken"] += 1
            self.end_session(session, str(error))
            return
        session.flush()
        self.send_hello(session)
        for message in messages:
            if not session.ended:
                self._handle_message(session, message, now_s)

    def send_hello(self, session: PeerSession) -> None:
        """Sends this host's Hello if the WebSocket is open and none was sent before."""
        if session.hello_sent or not session.websocket.is_open:
            return
        hello = Hello(self._identity.host, self._identity.incarnation)
        session.hello_sent = session.send(hello, self._limits.max_send_queue_bytes)

    def end_session(self, session: PeerSession, reason: str) -> None:
        """Closes a session and schedules the next dial if this host dialled it."""
        if session.ended:
            return
        session.ended = True
        self._sessions.discard(session)
        session.transport.close()
        now_s = time.monotonic()
        host = session.host
        was_up = host is not None and self._session_by_host.get(host) is session
        if host is not None and was_up:
            del self._session_by_host[host]
            post(self, PeerLinkChanged(host, connected=False))
        if session.dialled_host is not None:
            self._dial_scheduler.on_link_down(session.dialled_host, was_up, now_s)
        _log.info(
            "peer link ended", peer=host or session.dialled_host, reason=reason, was_up=was_up
        )

    def _open_session(
        self, transport: Transport, dialled_host: str | None, now_s: float
    ) -> PeerSession:
        websocket = PeerWebSocket(
            self._make_security_layer(dialled_host is None), server_side=dialled_host is None
        )
        session = PeerSession(
            websocket, transport, dialled_host, opened_s=now_s, last_received_s=now_s
        )
        self._sessions.add(session)
        return session

    def _dial(self, name: str, now_s: float) -> None:
        self.counts["dials"] += 1
        transport = _DialledTransport(self, self._connections)
        session = self._open_session(transport, name, now_s)
        transport.open(session, self._dial_targets[name])

    def _check_session(self, session: PeerSession, now_s: float) -> None:
        reason = session.timeout_reason(self._limits, now_s)
        if reason is not None:
            self.counts["links_silent" if session.is_up else "handshakes_failed"] += 1
            self.end_session(session, reason)
        elif session.is_up and now_s >= session.next_heartbeat_s:
            session.next_heartbeat_s = now_s + self._limits.heartbeat_interval_s
            heartbeat = Heartbeat(self._identity.incarnation, self._revision)
            session.send(heartbeat, self._limits.max_send_queue_bytes)

    def _handle_message(self, session: PeerSession, message: bytes, now_s: float) -> None:
        decoded = decode_payload(message)
        if isinstance(decoded, Failure):
            self._on_decode_error(session, decoded.failure())
            return
        payload = decoded.unwrap()
        if session.host is None:
            self._handle_first_message(session, payload, now_s)
        elif isinstance(payload, Hello):
            self._reject_session(session, "a second Hello came")
        else:
            post(self, PeerReceived(session.host, payload))

    def _on_decode_error(self, session: PeerSession, error: CodecError) -> None:
        if error.malformed:
            self._reject_session(session, error.detail)
            return
        self.counts["messages_unknown"] += 1
        _log.warning("peer message dropped", peer=session.host, reason=error.detail)

    def _handle_first_message(
        self, session: PeerSession, payload: PeerPayload, now_s: float
    ) -> None:
        if not isinstance(payload, Hello):
            self._reject_session(session, "the first message is not a Hello")
        elif payload.host == self._identity.host or session.dialled_host not in {
            None,
            payload.host,
        }:
            self._reject_session(session, f"host {payload.host} answered in place of another")
        elif not session.websocket.security_layer.authenticates(payload.host):
            self._reject_session(session, f"the certificate does not name host {payload.host}")
        else:
            session.host = payload.host
            session.incarnation = payload.incarnation
            self._establish_link(session, payload, now_s)

    def _establish_link(self, session: PeerSession, hello: Hello, now_s: float) -> None:
        existing = self._session_by_host.get(hello.host)
        if existing is not None:
            opposite_directions = (existing.dialled_host is None) != (session.dialled_host is None)
            dialled_by_this_host = session.dialled_host is not None
            if opposite_directions and dialled_by_this_host != keeps_own_link(
                self._identity.host, hello.host
            ):
                self.end_session(session, "a link to this host is up already")
                return
            self.end_session(existing, "replaced by a fresh link")
        self._session_by_host[hello.host] = session
        self._dial_scheduler.on_link_up(hello.host)
        session.next_heartbeat_s = now_s
        self.counts["links_made"] += 1
        _log.info("peer link up", peer=hello.host, incarnation=hello.incarnation)
        post(self, PeerLinkChanged(hello.host, connected=True))
        post(self, PeerReceived(hello.host, hello))

    def _reject_session(self, session: PeerSession, reason: str) -> None:
        self.counts["links_rejected"] += 1
        _log.warning("peer rejected", peer=session.host or session.dialled_host, reason=reason)
        session.websocket.close(reason[:100])
        session.flush()
        self.end_session(session, reason)


class _AcceptedTransport:
    """The socket of a session that the other end dialled."""

    # Server that owns the socket.
    _server: TCPServer
    # Accepted socket.
    _sock: socket

    def __init__(self, server: TCPServer, sock: socket) -> None:
        self._server = server
        self._sock = sock

    def send(self, data: bytes) -> None:
        """Appends the data to the server's write buffer, unless the socket is closed."""
        if self._sock.fileno() != CLOSED_FILENO:
            self._server.write(self._sock, data)

    def unsent_bytes(self) -> int:
        """Returns the number of bytes in the server's write buffer."""
        return sum(map(len, self._server._buffers.get(self._sock, ())))

    def close(self) -> None:
        """Closes the socket immediately and drops buffered data."""
        self._server._close(self._sock)


class _DialledTransport:
    """The socket of a session that this end dialled, and the listener of its connection."""

    # Component that handles received data and the end of the session.
    _peer_links: PeerLinks
    # Owns the connection and its socket.
    _connections: TcpConnections
    # Connection; set by `open`.
    _connection: Connection
    # Session over the connection; set by `open`.
    _session: PeerSession

    def __init__(self, peer_links: PeerLinks, connections: TcpConnections) -> None:
        self._peer_links = peer_links
        self._connections = connections

    def open(self, session: PeerSession, target: EntryHost) -> None:
        """Starts to connect to the target."""
        self._session = session
        self._connection = self._connections.open(target.address, self)

    def send(self, data: bytes) -> None:
        """Passes the data to the connection, which queues what it cannot write yet."""
        self._connections.send(self._connection, data)

    def unsent_bytes(self) -> int:
        """Returns the number of bytes that are queued for writing."""
        return sum(map(len, self._connection.unsent))

    def close(self) -> None:
        """Closes the connection."""
        self._connections.close(self._connection)

    def on_connected(self) -> None:
        """Sends the start of the handshake."""
        self._session.flush()

    def on_data_received(self, data: bytes) -> None:
        """Passes received data to the component."""
        self._peer_links.on_data(self._session, data)

    def on_disconnected(self, detail: str) -> None:
        """Ends the session."""
        self._peer_links.end_session(self._session, detail)

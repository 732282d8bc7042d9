"""The links: the component that owns every connection to other entry hosts."""

import time
from collections import Counter
from socket import socket
from typing import Final

import logbook
from attrs import define
from circuits import BaseComponent, handler
from circuits.net.sockets import TCPServer
from returns.result import Failure

from berylquay.decisions.fleet import EntryHost
from berylquay.decisions.peering import (
    DialScheduler,
    PeeringLimits,
    choose_dial_targets,
    keeps_own_link,
)
from berylquay.messages import (
    ConfigurationInForce,
    MembershipRead,
    PeerLinkChanged,
    PeerReceived,
    PeerSendRequested,
    Tick,
)
from berylquay.net.bus import BUS, post
from berylquay.net.connections import Connection, Connections
from berylquay.peers.codec import CodecError, decode_payload
from berylquay.peers.payloads import Heartbeat, Hello, PeerPayload
from berylquay.peers.pipes import PipeFactory
from berylquay.peers.session import Channel, Session
from berylquay.peers.wire import PeerWire, WireError
from berylquay.settings.options import PeerOptions

PEERS_CHANNEL: Final = "peers"
RECEIVE_BYTES: Final = 65536
CLOSED_FILENO: Final = -1
# Gap between two ticks that shows that this process itself stood still.
STALL_S: Final = 1.0
_log = logbook.Logger("peers")


@define
class LinkIdentity:
    """Who this host is towards its peers."""

    host: str
    data_centre: str
    incarnation: str


class PeerLinks(BaseComponent):
    """Keeps one link to each chosen host, and passes payloads between the links and the bus."""

    channel = PEERS_CHANNEL

    # What happened, by kind; for logs, metrics and tests.
    counts: Counter[str]
    # This host.
    _me: LinkIdentity
    # Opens outbound connections.
    _outbound: Connections
    # Makes the pipe of each connection.
    _pipes: PipeFactory
    # Bounds.
    _limits: PeeringLimits
    # When to dial whom.
    _plan: DialScheduler
    # Hosts to dial, by name.
    _targets: dict[str, EntryHost]
    # Every session that has not ended.
    _sessions: set[Session]
    # Sessions that the other end dialled, by socket.
    _accepted: dict[socket, Session]
    # Sessions that are up, by host.
    _links: dict[str, Session]
    # Accepts connections.
    _server: TCPServer
    # Configuration revision in force.
    _revision: int
    # Monotonic time of the last tick.
    _ticked_s: float

    def __init__(
        self,
        outbound: Connections,
        options: PeerOptions,
        identity: LinkIdentity,
        pipes: PipeFactory,
        plan: DialScheduler,
    ) -> None:
        super().__init__()
        self.counts = Counter()
        self._me = identity
        self._outbound = outbound
        self._pipes = pipes
        self._limits = plan.limits
        self._plan = plan
        self._targets = {}
        self._sessions = set()
        self._accepted = {}
        self._links = {}
        self._revision = 0
        self._ticked_s = time.monotonic()
        bind = (options.address.ip, options.address.port)
        self._server = TCPServer(bind, bufsize=RECEIVE_BYTES, channel=self.channel).register(self)

    @property
    def linked_hosts(self) -> frozenset[str]:
        """Returns the hosts to which a link is up."""
        return frozenset(self._links)

    # From the bus.

    @handler("MembershipRead", channel=BUS)
    def _on_membership(self, message: MembershipRead) -> None:
        self._targets = choose_dial_targets(
            self._me.host,
            self._me.data_centre,
            message.view.hosts,
            self._limits.links_to_other_data_centres,
        )
        self._plan.set_targets(self._targets, time.monotonic())

    @handler("ConfigurationInForce", channel=BUS)
    def _on_configuration(self, message: ConfigurationInForce) -> None:
        self._revision = message.configuration.revision

    @handler("PeerSendRequested", channel=BUS)
    def _on_send(self, message: PeerSendRequested) -> None:
        session = self._links.get(message.host)
        if session is None or not session.send(message.payload, self._limits.max_send_queue_bytes):
            self.counts["payloads_dropped"] += 1

    @handler("Tick", channel=BUS)
    def _on_tick(self, message: Tick) -> None:
        now_s = message.now_s
        stalled = now_s - self._ticked_s > STALL_S
        self._ticked_s = now_s
        for session in list(self._sessions):
            if stalled:
                # What came in while this process stood still has not been read yet.
                session.heard_s = now_s
            self._check(session, now_s)
        for name in self._plan.take_due(now_s, self._links):
            self._dial(name, now_s)

    # From the sockets.

    @handler("connect")
    def _on_accepted(self, sock: socket, *address: object) -> None:
        if len(self._sessions) >= self._limits.max_connections:
            self.counts["connections_refused"] += 1
            self._server._close(sock)
            return
        channel = _AcceptedChannel(self._server, sock)
        self._accepted[sock] = self._open_session(channel, None, time.monotonic())

    @handler("read")
    def _on_read(self, sock: socket, data: bytes) -> None:
        session = self._accepted.get(sock)
        if session is not None:
            self.on_data(session, data)

    @handler("disconnect")
    def _on_closed(self, sock: socket) -> None:
        session = self._accepted.pop(sock, None)
        if session is not None:
            self.end(session, "closed by the other end")

    def on_data(self, session: Session, data: bytes) -> None:
        """Takes bytes that came in on a session."""
        if session.ended:
            return
        now_s = time.monotonic()
        session.heard_s = now_s
        try:
            messages = session.wire.receive(data)
        except WireError as error:
            session.flush()
            self.counts["links_broken"] += 1
            self.end(session, str(error))
            return
        session.flush()
        self.greet(session)
        for message in messages:
            if not session.ended:
                self._take_message(session, message, now_s)

    def greet(self, session: Session) -> None:
        """Sends this host's Hello once the websocket is open."""
        if session.greeted or not session.wire.open:
            return
        hello = Hello(self._me.host, self._me.incarnation)
        session.greeted = session.send(hello, self._limits.max_send_queue_bytes)

    def end(self, session: Session, reason: str) -> None:
        """Closes a session and plans the next try."""
        if session.ended:
            return
        session.ended = True
        self._sessions.discard(session)
        session.channel.close()
        now_s = time.monotonic()
        host = session.host
        was_up = host is not None and self._links.get(host) is session
        if host is not None and was_up:
            del self._links[host]
            post(self, PeerLinkChanged(host, connected=False))
        if session.dialled is not None:
            self._plan.on_link_down(session.dialled, was_up, now_s)
        _log.info("peer link ended", peer=host or session.dialled, reason=reason, was_up=was_up)

    def _open_session(self, channel: Channel, dialled: str | None, now_s: float) -> Session:
        wire = PeerWire(self._pipes(dialled is None), server_side=dialled is None)
        session = Session(wire, channel, dialled, opened_s=now_s, heard_s=now_s)
        self._sessions.add(session)
        return session

    def _dial(self, name: str, now_s: float) -> None:
        self.counts["dials"] += 1
        channel = _DialledChannel(self, self._outbound)
        session = self._open_session(channel, name, now_s)
        channel.open(session, self._targets[name])

    def _check(self, session: Session, now_s: float) -> None:
        failure = session.failure(self._limits, now_s)
        if failure is not None:
            self.counts["links_silent" if session.up else "handshakes_failed"] += 1
            self.end(session, failure)
        elif session.up and now_s >= session.next_heartbeat_s:
            session.next_heartbeat_s = now_s + self._limits.heartbeat_interval_s
            heartbeat = Heartbeat(self._me.incarnation, self._revision)
            session.send(heartbeat, self._limits.max_send_queue_bytes)

    def _take_message(self, session: Session, message: bytes, now_s: float) -> None:
        decoded = decode_payload(message)
        if isinstance(decoded, Failure):
            self._drop_message(session, decoded.failure())
            return
        payload = decoded.unwrap()
        if session.host is None:
            self._take_first(session, payload, now_s)
        elif isinstance(payload, Hello):
            self._reject(session, "a second Hello came")
        else:
            post(self, PeerReceived(session.host, payload))

    def _drop_message(self, session: Session, error: CodecError) -> None:
        if error.malformed:
            self._reject(session, error.detail)
            return
        self.counts["messages_unknown"] += 1
        _log.warning("peer message dropped", peer=session.host, reason=error.detail)

    def _take_first(self, session: Session, payload: PeerPayload, now_s: float) -> None:
        if not isinstance(payload, Hello):
            self._reject(session, "the first message is not a Hello")
        elif payload.host == self._me.host or session.dialled not in {None, payload.host}:
            self._reject(session, f"host {payload.host} answered in place of another")
        elif not session.wire.pipe.proves(payload.host):
            self._reject(session, f"the certificate does not name host {payload.host}")
        else:
            session.host = payload.host
            session.incarnation = payload.incarnation
            self._link(session, payload, now_s)

    def _link(self, session: Session, hello: Hello, now_s: float) -> None:
        current = self._links.get(hello.host)
        if current is not None:
            crossed = (current.dialled is None) != (session.dialled is None)
            own = session.dialled is not None
            if crossed and own != keeps_own_link(self._me.host, hello.host):
                self.end(session, "a link to this host is up already")
                return
            self.end(current, "replaced by a fresh link")
        self._links[hello.host] = session
        self._plan.on_link_up(hello.host)
        session.next_heartbeat_s = now_s
        self.counts["links_made"] += 1
        _log.info("peer link up", peer=hello.host, incarnation=hello.incarnation)
        post(self, PeerLinkChanged(hello.host, connected=True))
        post(self, PeerReceived(hello.host, hello))

    def _reject(self, session: Session, reason: str) -> None:
        self.counts["links_rejected"] += 1
        _log.warning("peer misbehaves", peer=session.host or session.dialled, reason=reason)
        session.wire.close(reason[:100])
        session.flush()
        self.end(session, reason)


class _AcceptedChannel:
    """The socket of a session that the other end dialled."""

    # Server that owns the socket.
    _server: TCPServer
    # Accepted socket.
    _sock: socket

    def __init__(self, server: TCPServer, sock: socket) -> None:
        self._server = server
        self._sock = sock

    def send(self, data: bytes) -> None:
        """Hands the data to the server's buffer."""
        if self._sock.fileno() != CLOSED_FILENO:
            self._server.write(self._sock, data)

    def backlog_bytes(self) -> int:
        """Returns what waits in the server's buffer."""
        return sum(map(len, self._server._buffers.get(self._sock, ())))

    def close(self) -> None:
        """Closes the socket at once; what is buffered is lost."""
        self._server._close(self._sock)


class _DialledChannel:
    """The socket of a session that this end dialled; also what the connection reports to."""

    # Component that is told.
    _links: PeerLinks
    # Owns the socket.
    _outbound: Connections
    # Connection, once it was opened.
    _connection: Connection
    # Session over the connection.
    _session: Session

    def __init__(self, links: PeerLinks, outbound: Connections) -> None:
        self._links = links
        self._outbound = outbound

    def open(self, session: Session, target: EntryHost) -> None:
        """Starts to connect."""
        self._session = session
        self._connection = self._outbound.open(target.address, self)

    def send(self, data: bytes) -> None:
        """Hands the data to the connection."""
        self._outbound.send(self._connection, data)

    def backlog_bytes(self) -> int:
        """Returns what waits to be written."""
        return sum(map(len, self._connection.unsent))

    def close(self) -> None:
        """Closes the connection."""
        self._outbound.close(self._connection)

    def on_connected(self) -> None:
        """Sends the start of the handshake."""
        self._session.flush()

    def on_received(self, data: bytes) -> None:
        """Passes data on."""
        self._links.on_data(self._session, data)

    def on_disconnected(self, detail: str) -> None:
        """Passes the end on."""
        self._links.end(self._session, detail)

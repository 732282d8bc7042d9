"""Connections to backend servers, kept open for further requests that may be repeated."""

import time
from typing import Final

from attrs import define, field

from berylquay.decisions.backend_registry import BackendEntry
from berylquay.decisions.server_starts import ServerStarts
from berylquay.net.persistent_http import PersistentConnection
from berylquay.net.tcp_connections import TcpConnections
from berylquay.relay.gateway_transport import GatewayTransport
from berylquay.relay.path_monitor import PathMonitor
from berylquay.relay.upstream_request import CONNECT_TIMEOUT_S

# Time for which an idle connection may be reused if the backend server states no keep-alive
# timeout; shorter than the idle timeout of any known backend server.
DEFAULT_REUSE_TIMEOUT_S: Final = 2.0
# Fraction of the keep-alive timeout stated by the backend server for which a connection is reused,
# so that a request does not cross with the server's close.
KEEP_ALIVE_FRACTION: Final = 0.5


@define
class _BackendConnections:
    """Idle connections to one backend server, and the number of all open ones."""

    idle: list[PersistentConnection] = field(factory=list)
    open_count: int = 0


@define(eq=False)
class _Opening:
    """A connection of this host's own that is being established."""

    backend: BackendEntry
    connection: PersistentConnection
    opened_s: float


class BackendConnectionPool:
    """Opens connections to backend servers and keeps the idle ones."""

    _connections: TcpConnections
    # Tells whether this host reaches the servers itself, and opens connections through gateways.
    _path_monitor: PathMonitor
    # Starts of servers that are known to have run.
    _starts: ServerStarts
    # Connections by the backend server's name.
    _by_backend: dict[str, _BackendConnections]
    # Connections of this host's own of which it is not yet known whether they are established.
    _opening: list[_Opening]
    # Monotonic time of the last tick or `acquire`.
    _now_s: float

    def __init__(
        self, connections: TcpConnections, path_monitor: PathMonitor, starts: ServerStarts
    ) -> None:
        self._connections = connections
        self._starts = starts
        self._path_monitor = path_monitor
        path_monitor.on_change = self.close_idle
        self._by_backend = {}
        self._opening = []
        self._now_s = 0.0

    def open_count(self, name: str) -> int:
        """Returns how many connections to the backend server are open."""
        backend_connections = self._by_backend.get(name)
        return 0 if backend_connections is None else backend_connections.open_count

    def acquire(
        self,
        backend: BackendEntry,
        require_new: bool,
        now_s: float,
        *,
        may_use_gateway: bool = True,
    ) -> PersistentConnection:
        """Returns a connection for one request.

        Args:
            backend: Backend server to connect to.
            require_new: Whether to open a new connection in any case, since a request on one that
                the backend server is just closing would have an unknown outcome.
            now_s: Present monotonic time.
            may_use_gateway: Whether the request may come from another host.
        """
        self._now_s = now_s
        backend_connections = self._by_backend.setdefault(backend.name, _BackendConnections())
        while not require_new and backend_connections.idle:
            connection = backend_connections.idle.pop()
            if not connection.closed and self._is_reusable(connection, now_s):
                return connection
            connection.close()
        backend_connections.open_count += 1
        gateway = None
        if may_use_gateway and self._path_monitor.paths.is_lost(backend.name):
            gateway = self._path_monitor.open_gateway(backend, now_s)
        return self._open(backend, gateway, now_s)

    def acquire_at_start(self, backend: BackendEntry, now_s: float) -> PersistentConnection | None:
        """Returns an idle connection that leads to the start in the entry, or None without one."""
        self._now_s = now_s
        connection = self._find_idle_at_start(backend, now_s)
        if connection is not None:
            self._by_backend[backend.name].idle.remove(connection)
        return connection

    def has_idle_at_start(self, backend: BackendEntry, now_s: float) -> bool:
        """Tells whether an idle connection leads to the start in the entry."""
        return self._find_idle_at_start(backend, now_s) is not None

    def _find_idle_at_start(
        self, backend: BackendEntry, now_s: float
    ) -> PersistentConnection | None:
        backend_connections = self._by_backend.get(backend.name)
        for connection in () if backend_connections is None else backend_connections.idle[::-1]:
            is_open = not connection.closed and self._is_reusable(connection, now_s)
            if is_open and self.find_start(backend.name, connection) == backend.started_unix_ms:
                return connection
        return None

    def return_unused(self, name: str, connection: PersistentConnection) -> None:
        """Takes back a connection that has carried no request."""
        if not connection.closed:
            self._return_idle(name, connection)

    def find_start(self, name: str, connection: PersistentConnection) -> int:
        """Returns the start of a server that a connection leads to, or 0 if it is not known."""
        established_s = connection.established_s
        if not connection.server_started_unix_ms and established_s is not None:
            connection.server_started_unix_ms = self._starts.find(
                name, connection.opened_s, established_s
            )
        return connection.server_started_unix_ms

    def _open(
        self, backend: BackendEntry, gateway: GatewayTransport | None, now_s: float
    ) -> PersistentConnection:
        name = backend.name
        connection = PersistentConnection(
            backend.address,
            lambda connection: self._return_idle(name, connection),
            lambda connection: self._on_connection_ended(name, connection),
            self._connections if gateway is None else gateway,
            reuse_requires_echo=True,
            opened_s=now_s,
        )
        if gateway is None:
            connection.on_answering = lambda: self._path_monitor.on_answered(backend, self._now_s)
            self._opening.append(_Opening(backend, connection, now_s))
        return connection

    def close_idle(self, name: str) -> None:
        """Closes the idle connections to a backend server that is gone, or its path has changed."""
        backend_connections = self._by_backend.get(name)
        if backend_connections is not None:
            for connection in backend_connections.idle:
                connection.close()
            backend_connections.idle = []

    def on_tick(self, now_s: float) -> None:
        """Closes connections that have been idle for too long."""
        self._now_s = now_s
        self._check_opening(now_s)
        for name, backend_connections in list(self._by_backend.items()):
            reusable = []
            for connection in backend_connections.idle:
                if connection.closed:
                    continue
                if self._is_reusable(connection, now_s):
                    reusable.append(connection)
                else:
                    connection.close()
            backend_connections.idle = reusable
            if not backend_connections.open_count:
                del self._by_backend[name]

    def _check_opening(self, now_s: float) -> None:
        """Passes on which connections were established, and which failed."""
        opening, self._opening = self._opening, []
        for each in opening:
            if each.connection.was_established:
                self._path_monitor.on_connected(each.backend, now_s)
            elif each.connection.has_failed_to_connect or (
                now_s - each.opened_s > CONNECT_TIMEOUT_S
            ):
                self._path_monitor.on_connect_failed(each.backend, now_s)
            elif not each.connection.closed:
                self._opening.append(each)

    def _is_reusable(self, connection: PersistentConnection, now_s: float) -> bool:
        reuse_timeout_s = DEFAULT_REUSE_TIMEOUT_S
        if connection.keep_alive_timeout_s is not None:
            reuse_timeout_s = connection.keep_alive_timeout_s * KEEP_ALIVE_FRACTION
        return now_s - connection.idle_since_s < reuse_timeout_s

    def _return_idle(self, name: str, connection: PersistentConnection) -> None:
        connection.idle_since_s = self._now_s
        self._by_backend.setdefault(name, _BackendConnections()).idle.append(connection)

    def _on_connection_ended(self, name: str, connection: PersistentConnection) -> None:
        if connection.was_ended_by_server:
            self._starts.on_doubt(name, time.monotonic())
        backend_connections = self._by_backend.get(name)
        if backend_connections is not None:
            backend_connections.open_count -= 1

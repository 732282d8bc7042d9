"""Connections to backend servers, kept for further requests that may be repeated."""

from typing import Final

from attrs import define, field

from berylquay.decisions.backend_registry import BackendEntry
from berylquay.net.connections import Connections
from berylquay.net.kept_http import PersistentConnection

# Time that an idle connection is used again if the backend server did not say; below the idle
# timeout of any that is known.
DEFAULT_REUSE_TIMEOUT_S: Final = 2.0
# Part of the time that the backend server says, so that the two do not cross.
KEEP_ALIVE_FRACTION: Final = 0.5


@define
class _BackendConnections:
    """Idle connections of one backend server, and how many it has in all."""

    idle: list[PersistentConnection] = field(factory=list)
    open_count: int = 0


class BackendConnectionPool:
    """Opens connections to backend servers and keeps the idle ones."""

    _connections: Connections
    # Connections by the backend server's name.
    _by_name: dict[str, _BackendConnections]
    # Monotonic time of the last tick.
    _now_s: float

    def __init__(self, connections: Connections) -> None:
        self._connections = connections
        self._by_name = {}
        self._now_s = 0.0

    def open_count(self, name: str) -> int:
        """Returns how many connections to the backend server are open."""
        backend_connections = self._by_name.get(name)
        return 0 if backend_connections is None else backend_connections.open_count

    def acquire(
        self, backend: BackendEntry, require_new: bool, now_s: float
    ) -> PersistentConnection:
        """Returns a connection for one request.

        Args:
            backend: Where to.
            require_new: Whether only a new connection will do, since a request on one that the
                backend server is just closing would have an unknown outcome.
            now_s: Present time.
        """
        self._now_s = now_s
        backend_connections = self._by_name.setdefault(backend.name, _BackendConnections())
        while not require_new and backend_connections.idle:
            connection = backend_connections.idle.pop()
            if not connection.closed and self._is_reusable(connection, now_s):
                return connection
            connection.close()
        backend_connections.open_count += 1
        name = backend.name
        return PersistentConnection(
            backend.address,
            lambda connection: self._return_idle(name, connection),
            lambda _connection: self._on_connection_ended(name),
            self._connections,
        )

    def close_idle(self, name: str) -> None:
        """Closes the idle connections of a backend server that is gone."""
        backend_connections = self._by_name.get(name)
        if backend_connections is not None:
            for connection in backend_connections.idle:
                connection.close()
            backend_connections.idle = []

    def on_tick(self, now_s: float) -> None:
        """Closes connections that were idle for too long."""
        self._now_s = now_s
        for name, backend_connections in list(self._by_name.items()):
            usable = []
            for connection in backend_connections.idle:
                if connection.closed:
                    continue
                if self._is_reusable(connection, now_s):
                    usable.append(connection)
                else:
                    connection.close()
            backend_connections.idle = usable
            if not backend_connections.open_count:
                del self._by_name[name]

    def _is_reusable(self, connection: PersistentConnection, now_s: float) -> bool:
        reuse_s = DEFAULT_REUSE_TIMEOUT_S
        if connection.keep_alive_s is not None:
            reuse_s = connection.keep_alive_s * KEEP_ALIVE_FRACTION
        return now_s - connection.idle_since_s < reuse_s

    def _return_idle(self, name: str, connection: PersistentConnection) -> None:
        connection.idle_since_s = self._now_s
        self._by_name.setdefault(name, _BackendConnections()).idle.append(connection)

    def _on_connection_ended(self, name: str) -> None:
        backend_connections = self._by_name.get(name)
        if backend_connections is not None:
            backend_connections.open_count -= 1

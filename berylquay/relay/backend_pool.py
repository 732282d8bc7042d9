"""Connections to backend servers, kept for further requests that may be repeated."""

from typing import Final

from attrs import define, field

from berylquay.decisions.backend_registry import BackendEntry
from berylquay.net.connections import Connections
from berylquay.net.kept_http import KeptConnection

# Time that an idle connection is used again if the backend server did not say; below the idle
# timeout of any that is known.
DEFAULT_KEEP_S: Final = 2.0
# Part of the time that the backend server says, so that the two do not cross.
KEEP_SHARE: Final = 0.5


@define
class _Idle:
    """Idle connections of one backend server, and how many it has in all."""

    connections: list[KeptConnection] = field(factory=list)
    open_count: int = 0


class BackendPool:
    """Opens connections to backend servers and keeps the idle ones."""

    _connections: Connections
    # Connections by the backend server's name.
    _by_name: dict[str, _Idle]
    # Monotonic time of the last tick.
    _now_s: float

    def __init__(self, connections: Connections) -> None:
        self._connections = connections
        self._by_name = {}
        self._now_s = 0.0

    def open_count(self, name: str) -> int:
        """Returns how many connections to the backend server are open."""
        known = self._by_name.get(name)
        return 0 if known is None else known.open_count

    def take(self, backend: BackendEntry, fresh: bool, now_s: float) -> KeptConnection:
        """Returns a connection for one request.

        Args:
            backend: Where to.
            fresh: Whether only a new connection will do, since a request on one that the backend
                server is just closing would have an unknown fate.
            now_s: Present time.
        """
        self._now_s = now_s
        known = self._by_name.setdefault(backend.name, _Idle())
        while not fresh and known.connections:
            connection = known.connections.pop()
            if not connection.closed and self._is_usable(connection, now_s):
                return connection
            connection.close()
        known.open_count += 1
        name = backend.name
        return KeptConnection(
            backend.address,
            lambda connection: self._keep(name, connection),
            lambda _connection: self._on_ended(name),
            self._connections,
        )

    def forget(self, name: str) -> None:
        """Closes the idle connections of a backend server that is gone."""
        known = self._by_name.get(name)
        if known is not None:
            for connection in known.connections:
                connection.close()
            known.connections = []

    def on_tick(self, now_s: float) -> None:
        """Closes connections that were idle for too long."""
        self._now_s = now_s
        for name, known in list(self._by_name.items()):
            usable = []
            for connection in known.connections:
                if connection.closed:
                    continue
                if self._is_usable(connection, now_s):
                    usable.append(connection)
                else:
                    connection.close()
            known.connections = usable
            if not known.open_count:
                del self._by_name[name]

    def _is_usable(self, connection: KeptConnection, now_s: float) -> bool:
        keep_s = DEFAULT_KEEP_S
        if connection.keep_alive_s is not None:
            keep_s = connection.keep_alive_s * KEEP_SHARE
        return now_s - connection.idle_since_s < keep_s

    def _keep(self, name: str, connection: KeptConnection) -> None:
        connection.idle_since_s = self._now_s
        self._by_name.setdefault(name, _Idle()).connections.append(connection)

    def _on_ended(self, name: str) -> None:
        known = self._by_name.get(name)
        if known is not None:
            known.open_count -= 1

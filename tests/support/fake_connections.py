"""Connections that record what is sent and how they are closed; no socket is opened."""

import socket

from berylquay.decisions.fleet import Address
from berylquay.net.tcp_connections import Connection, ConnectionHandler, TcpConnections


class FakeConnections(TcpConnections):
    """Stands in for the sockets of one process."""

    def __init__(self) -> None:
        self.sent: dict[int, bytes] = {}
        self.closed_with_reset: dict[int, bool] = {}
        self._resets: set[int] = set()
        # Whether the other ends have not received all that was sent.
        self.is_behind = False

    def open(self, address: Address, connection_handler: ConnectionHandler) -> Connection:
        """Returns a connection that counts as established."""
        sock = socket.socket.__new__(socket.socket)
        connection = Connection(address, connection_handler, sock, established=True)
        self.sent[id(connection)] = b""
        return connection

    def send(self, connection: Connection, data: bytes) -> None:
        """Records the data."""
        if not connection.closed and not connection.half_closing:
            connection.bytes_sent += len(data)
            self.sent[id(connection)] += data

    def set_reset_on_close(self, connection: Connection, enabled: bool) -> None:
        """Records how the connection is to be closed."""
        if enabled:
            self._resets.add(id(connection))
        else:
            self._resets.discard(id(connection))

    def half_close(self, connection: Connection) -> None:
        """Records a close with FIN."""
        connection.half_closing = True
        self.closed_with_reset.setdefault(id(connection), False)

    def close(self, connection: Connection) -> None:
        """Records a close with FIN or a reset."""
        connection.closed = True
        self.closed_with_reset.setdefault(id(connection), id(connection) in self._resets)

    def is_undelivered(self, connection: Connection) -> bool:
        """Tells what the test has chosen."""
        return self.is_behind

    def pause_reading(self, connection: Connection) -> None:
        """Does nothing."""

    def resume_reading(self, connection: Connection) -> None:
        """Does nothing."""

"""Tells whether a server has ended whose stream ended with its connection.

The operating system closes the connections of a process that was killed as those of one that has
sent all it had. If the stream has neither a length nor chunks, and ended between two events, only
the server itself tells the two apart: a process that has ended accepts no connection.
"""

from typing import Final

from attrs import define, field

from berylquay.decisions.fleet import Address
from berylquay.net.tcp_connections import CONNECTION_REFUSED, Connection, TcpConnections
from berylquay.relay.upstream_request import CONNECT_TIMEOUT_S

# Time from the end of the stream to the check: the operating system closes the sockets of a process
# one after the other, the one that accepts connections not always first.
CHECK_DELAY_S: Final = 0.1


@define(eq=False)
class ServerEndCheck:
    """One attempt to connect to the server, which is closed when its result is known."""

    _connections: TcpConnections
    _address: Address
    # Monotonic time at which the stream ended.
    ended_s: float
    # The attempt, or None before it.
    _connection: Connection | None = field(default=None, init=False)
    # Why the connection failed; empty if it has not.
    _failure: str = field(default="", init=False)

    def on_tick(self, now_s: float) -> bool | None:
        """Returns whether the server has ended, or None while that is not known.

        A server that does not respond in time is taken for one that lives.
        """
        elapsed_s = now_s - self.ended_s
        if self._connection is None:
            if elapsed_s >= CHECK_DELAY_S:
                self._connection = self._connections.open(self._address, self)
            return None
        is_over = elapsed_s > CHECK_DELAY_S + CONNECT_TIMEOUT_S
        if not (self._connection.established or self._failure or is_over):
            return None
        self.close()
        return self._failure == CONNECTION_REFUSED

    @property
    def evidence(self) -> str:
        """Returns what the result follows from, for logs."""
        if self._connection is not None and self._connection.established:
            return "connected"
        return self._failure or "no response"

    def close(self) -> None:
        """Closes the connection."""
        if self._connection is not None:
            self._connections.close(self._connection)

    def on_connected(self) -> None:
        """Does nothing: the result is taken at the next tick."""

    def on_data_received(self, data: bytes) -> None:
        """Ignores data: none was asked for."""

    def on_disconnected(self, detail: str) -> None:
        """Records why the connection failed."""
        self._failure = detail

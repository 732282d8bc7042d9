"""Tells whether a server has ended whose stream ended with its connection.

The operating system closes the connections of a process that was killed as those of one that has
sent all it had. If the stream has neither a length nor chunks, and ended between two events, only
the server itself tells the two apart: a process that has ended accepts no connection.
"""

from collections.abc import Callable
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
    """One attempt to connect to the server; the connection is closed at once."""

    _connections: TcpConnections
    _address: Address
    # Called once with whether the server has ended; not after `cancel`.
    _on_result: Callable[[bool], None]
    # Monotonic time at which the stream ended.
    _ended_s: float
    # The attempt, or None before it.
    _connection: Connection | None = field(default=None, init=False)
    _is_over: bool = field(default=False, init=False)

    def on_tick(self, now_s: float) -> None:
        """Connects when it is time, and takes a server that does not respond for one that lives."""
        elapsed_s = now_s - self._ended_s
        if self._connection is None and elapsed_s >= CHECK_DELAY_S:
            self._connection = self._connections.open(self._address, self)
        elif elapsed_s > CHECK_DELAY_S + CONNECT_TIMEOUT_S:
            self._finish(has_ended=False)

    def cancel(self) -> None:
        """Ends the check without a result."""
        self._is_over = True
        if self._connection is not None:
            self._connections.close(self._connection)

    def on_connected(self) -> None:
        """Called if the server accepts connections."""
        self._finish(has_ended=False)

    def on_data_received(self, data: bytes) -> None:
        """Does nothing: no request was sent."""

    def on_disconnected(self, detail: str) -> None:
        """Called if the connection was refused, or lost."""
        self._finish(has_ended=detail == CONNECTION_REFUSED)

    def _finish(self, *, has_ended: bool) -> None:
        if not self._is_over:
            self.cancel()
            self._on_result(has_ended)

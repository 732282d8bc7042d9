"""A listening TCP socket: accepts connections and passes them to `TcpConnections`."""

import socket
from collections.abc import Callable
from typing import Final, Protocol

import logbook
from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller

from berylquay.decisions.fleet import Address
from berylquay.net.tcp_connections import (
    TCP_USER_TIMEOUT_MS,
    Connection,
    ConnectionHandler,
    TcpConnections,
)

LISTEN_BACKLOG: Final = 1024
# Connections accepted per iteration of the event loop, so that open ones are served in between.
ACCEPTS_PER_TURN: Final = 32
_log = logbook.Logger("listener")


class AcceptedConnectionHandler(ConnectionHandler, Protocol):
    """Handler of an accepted connection; `connection` is set when the socket is adopted."""

    connection: Connection


class TcpListener(BaseComponent):
    """Accepts connections on one address; closes those for which there is no handler."""

    # The process-wide poller.
    _poller: BasePoller
    _connections: TcpConnections
    _sock: socket.socket
    # Creates the handler of a new connection, or returns None if there are too many connections.
    _make_handler: Callable[[], AcceptedConnectionHandler | None]
    # Time after which the kernel closes an accepted connection whose peer takes no data.
    _user_timeout_ms: int
    # Whether connections are accepted.
    _accepting: bool

    def __init__(
        self,
        poller: BasePoller,
        connections: TcpConnections,
        address: Address,
        make_handler: Callable[[], AcceptedConnectionHandler | None],
        user_timeout_ms: int = TCP_USER_TIMEOUT_MS,
    ) -> None:
        super().__init__(channel=f"listener-{address}")
        self._poller = poller
        self._connections = connections
        self._make_handler = make_handler
        self._user_timeout_ms = user_timeout_ms
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind((address.ip, address.port))
        self._sock.listen(LISTEN_BACKLOG)
        self._accepting = True
        poller.addReader(self, self._sock)

    @property
    def is_accepting(self) -> bool:
        """Returns whether the listening socket is open."""
        return self._accepting

    def accept_rest_and_close(self) -> None:
        """Accepts the connections that wait, which closing would reset, and closes the socket."""
        while self._accepting and self._accept_next():
            pass
        self.close()

    def close(self) -> None:
        """Closes the listening socket; connections already accepted stay open."""
        if self._accepting:
            self._accepting = False
            self._poller.discard(self._sock)
            self._sock.close()

    @handler("_read")
    def _on_readable(self, sock: socket.socket) -> None:
        if not self._accepting or sock is not self._sock:
            return
        for _ in range(ACCEPTS_PER_TURN):
            if not self._accept_next():
                return

    def _accept_next(self) -> bool:
        """Accepts one connection; returns whether there was one."""
        try:
            accepted_sock, peer = self._sock.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError as error:
            _log.warning("can't accept", error=error.strerror or str(error))
            return False
        self._adopt(accepted_sock, Address(peer[0], peer[1]))
        return True

    def _adopt(self, accepted_sock: socket.socket, peer: Address) -> None:
        connection_handler = self._make_handler()
        if connection_handler is None:
            _log.warning("too many connections, closing a new one", peer=str(peer))
            accepted_sock.close()
            return
        connection_handler.connection = self._connections.adopt(
            accepted_sock, peer, connection_handler, self._user_timeout_ms
        )

"""TCP connections: one circuits component that owns every socket it opens or adopts.

One component for all sockets keeps the component tree fixed, so that circuits need not rebuild its
handler cache for each connection.
"""

import errno
import socket
from collections import deque
from typing import Final, Protocol

from attrs import define, field
from circuits import BaseComponent, Event, handler
from circuits.core.pollers import BasePoller

from berylquay.decisions.fleet import Address

MAX_RECEIVE_BYTES: Final = 65536
# Time after which a connection ends whose bytes or keep-alives the other end does not acknowledge.
TCP_USER_TIMEOUT_MS: Final = 2500
# Time without traffic before keep-alives are sent, and between them.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
_CONNECT_IN_PROGRESS: Final = (errno.EINPROGRESS, errno.EWOULDBLOCK)


class connect_failed(Event):  # noqa: N801 (circuits names events in lower case)
    """A connection could not even be started: `connect_failed(connection, detail)`."""


class ConnectionHandler(Protocol):
    """What the owner of a connection is told, always on the loop's thread."""

    def on_connected(self) -> None:
        """Called once when the connection is established."""

    def on_data_received(self, data: bytes) -> None:
        """Called with each piece of data."""

    def on_disconnected(self, detail: str) -> None:
        """Called once when the connection has ended or could not be made."""


@define(eq=False)
class Connection:
    """Handle of one connection."""

    address: Address
    handler: ConnectionHandler
    sock: socket.socket
    established: bool = False
    closed: bool = False
    # Bytes handed to the operating system so far.
    bytes_sent: int = 0
    unsent: deque[bytes] = field(factory=deque)
    # Whether the other end has ended its side in good order rather than reset the connection.
    peer_closed_cleanly: bool = False
    # Whether nothing is read for now, so that the other end is held back.
    reading_paused: bool = False
    # Whether this end sends no more; what still arrives is thrown away.
    half_closing: bool = False

    @property
    def unsent_bytes(self) -> int:
        """Returns how much the operating system has not taken yet."""
        return sum(map(len, self.unsent))


class TcpConnections(BaseComponent):
    """Opens connections, writes to them and hands what they receive to their users."""

    channel = "outbound"

    # Poller of the process.
    _poller: BasePoller
    # Open connections by socket.
    _by_sock: dict[socket.socket, Connection]

    def __init__(self, poller: BasePoller) -> None:
        super().__init__()
        self._poller = poller
        self._by_sock = {}

    def open(self, address: Address, connection_handler: ConnectionHandler) -> Connection:
        """Starts to connect; the user hears of the outcome later."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        _set_socket_options(sock)
        connection = Connection(address, connection_handler, sock)
        self._by_sock[sock] = connection
        error_code = sock.connect_ex((address.ip, address.port))
        if error_code not in (0, *_CONNECT_IN_PROGRESS):
            # Later, so that the user has the handle before it hears of the failure.
            self.fire(connect_failed(connection, errno.errorcode.get(error_code, str(error_code))))
            return connection
        self._poller.addWriter(self, sock)
        return connection

    def adopt(
        self, sock: socket.socket, address: Address, connection_handler: ConnectionHandler
    ) -> Connection:
        """Takes over an accepted socket."""
        sock.setblocking(False)
        _set_socket_options(sock)
        connection = Connection(address, connection_handler, sock, established=True)
        self._by_sock[sock] = connection
        self._poller.addReader(self, sock)
        return connection

    def pause_reading(self, connection: Connection) -> None:
        """Stops reading until `resume`, so that the other end is held back."""
        if not connection.reading_paused and not connection.closed and connection.established:
            connection.reading_paused = True
            self._poller.removeReader(connection.sock)

    def resume_reading(self, connection: Connection) -> None:
        """Reads on after `pause`."""
        if connection.reading_paused and not connection.closed:
            connection.reading_paused = False
            self._poller.addReader(self, connection.sock)

    def half_close(self, connection: Connection) -> None:
        """Ends this side once all is sent; the user closes when the other end has ended too.

        A close with unread data would reset the connection and could take the last answer along.
        """
        if connection.closed or connection.half_closing:
            return
        connection.half_closing = True
        if not connection.unsent:
            self._shut_down_sending(connection)

    def send(self, connection: Connection, data: bytes) -> None:
        """Sends the data, at once if the socket takes it."""
        if connection.closed or connection.half_closing:
            return
        if connection.established and not connection.unsent:
            data = self._send_now(connection, data)
            if not data or connection.closed:
                return
        connection.unsent.append(data)
        if connection.established and not self._poller.isWriting(connection.sock):
            self._poller.addWriter(self, connection.sock)

    def close(self, connection: Connection) -> None:
        """Closes the connection without telling its user."""
        if connection.closed:
            return
        connection.closed = True
        self._by_sock.pop(connection.sock, None)
        self._poller.discard(connection.sock)
        connection.sock.close()

    def _shut_down_sending(self, connection: Connection) -> None:
        try:
            connection.sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            self._end_connection(connection, error.strerror or str(error))

    def _end_connection(self, connection: Connection, detail: str) -> None:
        if connection.closed:
            return
        self.close(connection)
        connection.handler.on_disconnected(detail)

    def _send_now(self, connection: Connection, data: bytes) -> bytes:
        try:
            sent = connection.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return data
        except OSError as error:
            self._end_connection(connection, error.strerror or str(error))
            return b""
        connection.bytes_sent += sent
        return data[sent:]

    @handler("connect_failed")
    def _on_connect_failed(self, connection: Connection, detail: str) -> None:
        self._end_connection(connection, detail)

    @handler("_write")
    def _on_writable(self, sock: socket.socket) -> None:
        connection = self._by_sock.get(sock)
        if connection is None:
            return
        if not connection.established and not self._finish_connecting(connection):
            return
        while connection.unsent and not connection.closed:
            unsent_data = self._send_now(connection, connection.unsent.popleft())
            if unsent_data:
                connection.unsent.appendleft(unsent_data)
                return
        if not connection.closed:
            self._poller.removeWriter(sock)
            if connection.half_closing:
                self._shut_down_sending(connection)

    def _finish_connecting(self, connection: Connection) -> bool:
        error_code = connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_code:
            self._end_connection(connection, errno.errorcode.get(error_code, str(error_code)))
            return False
        connection.established = True
        self._poller.addReader(self, connection.sock)
        connection.handler.on_connected()
        return not connection.closed

    @handler("_read")
    def _on_readable(self, sock: socket.socket) -> None:
        connection = self._by_sock.get(sock)
        if connection is None:
            return
        try:
            data = sock.recv(MAX_RECEIVE_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._end_connection(connection, error.strerror or str(error))
            return
        if data:
            if not connection.half_closing:
                connection.handler.on_data_received(data)
        else:
            connection.peer_closed_cleanly = True
            self._end_connection(connection, "closed by the other end")

    @handler("_disconnect")
    def _on_disconnect(self, sock: socket.socket) -> None:
        connection = self._by_sock.get(sock)
        if connection is None:
            return
        error_code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self._end_connection(connection, errno.errorcode.get(error_code, "hung up"))


def _set_socket_options(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    # The kernel ends connections that something between the two ends has lost track of.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

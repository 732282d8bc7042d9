"""TCP connections: one circuits component that owns every socket it opens or adopts.

A single component for all sockets keeps the component tree fixed; otherwise circuits would rebuild
its handler cache for each connection.
"""

import errno
import fcntl
import socket
import struct
import termios
from collections import deque
from collections.abc import Callable
from typing import Final, Protocol

from attrs import define, field
from circuits import BaseComponent, Event, handler
from circuits.core.pollers import BasePoller

from berylquay.decisions.fleet import Address
from berylquay.net.unexpected_errors import UnexpectedErrors

MAX_RECEIVE_BYTES: Final = 65536
# Time after which the kernel closes a connection whose data or keep-alive probes the peer has not
# acknowledged.
TCP_USER_TIMEOUT_MS: Final = 2500
# Idle time before the first keep-alive probe, and interval between probes.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
# Detail of a connection that the other end has refused.
CONNECTION_REFUSED: Final = errno.errorcode[errno.ECONNREFUSED]
UNEXPECTED_ERROR: Final = "unexpected error"
CLOSED_BY_PEER: Final = "closed by the other end"
_COUNT: Final = struct.Struct("i")
_CONNECT_IN_PROGRESS: Final = (errno.EINPROGRESS, errno.EWOULDBLOCK)


class connection_failed(Event):  # noqa: N801 (circuits names events in lower case)
    """A connection failed in a call of its user: `connection_failed(connection, detail)`."""


class deferred_call(Event):  # noqa: N801 (circuits names events in lower case)
    """A call to `call_soon` is due: `deferred_call(callback)`."""


class ConnectionHandler(Protocol):
    """Callbacks for the events of a connection, always invoked on the event loop's thread.

    None is invoked from within a method of `TcpConnections`, so that its caller has stored what it
    needs before.
    """

    def on_connected(self) -> None:
        """Called once when the connection is established."""

    def on_data_received(self, data: bytes) -> None:
        """Called with each chunk of received data."""

    def on_disconnected(self, detail: str) -> None:
        """Called once when the connection was lost or could not be established.

        Not called after `TcpConnections.close`.
        """


@define(eq=False)
class Connection:
    """State of one connection; modified by `TcpConnections` only."""

    address: Address
    handler: ConnectionHandler
    sock: socket.socket
    established: bool = False
    closed: bool = False
    # Whether sending has failed, so that the connection is about to be closed and its handler told.
    failing: bool = False
    # Bytes accepted by the operating system so far.
    bytes_sent: int = 0
    # Data that the operating system has not accepted yet.
    unsent: deque[bytes] = field(factory=deque)
    # Whether the peer closed its side of the connection with FIN rather than reset it.
    peer_closed_cleanly: bool = False
    # Whether the peer closed its side before it had received all that was sent to it.
    has_undelivered: bool = False
    # Whether reading is paused, so that TCP flow control slows down the peer.
    reading_paused: bool = False
    # Whether this side accepts no more data to send; received data is discarded.
    half_closing: bool = False

    @property
    def unsent_bytes(self) -> int:
        """Returns the number of bytes that the operating system has not accepted yet."""
        return sum(map(len, self.unsent))


class TcpConnections(BaseComponent):
    """Opens and adopts connections, sends data and passes received data to their handlers."""

    channel = "outbound"

    # The process-wide poller.
    _poller: BasePoller
    # Open connections by socket.
    _connections_by_sock: dict[socket.socket, Connection]
    # Records errors that handlers raise; each ends its connection only.
    errors: UnexpectedErrors

    def __init__(self, poller: BasePoller, errors: UnexpectedErrors | None = None) -> None:
        super().__init__()
        self.errors = errors or UnexpectedErrors()
        self._poller = poller
        self._connections_by_sock = {}

    def open(self, address: Address, connection_handler: ConnectionHandler) -> Connection:
        """Starts connecting and returns at once; the handler is called with the outcome later."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        _set_socket_options(sock)
        connection = Connection(address, connection_handler, sock)
        self._connections_by_sock[sock] = connection
        error_code = sock.connect_ex((address.ip, address.port))
        if error_code not in (0, *_CONNECT_IN_PROGRESS):
            self._end_later(connection, errno.errorcode.get(error_code, str(error_code)))
            return connection
        self._poller.addWriter(self, sock)
        return connection

    def adopt(
        self,
        sock: socket.socket,
        address: Address,
        connection_handler: ConnectionHandler,
        user_timeout_ms: int = TCP_USER_TIMEOUT_MS,
    ) -> Connection:
        """Takes ownership of an accepted socket and starts reading from it."""
        sock.setblocking(False)
        _set_socket_options(sock, user_timeout_ms)
        connection = Connection(address, connection_handler, sock, established=True)
        self._connections_by_sock[sock] = connection
        self._poller.addReader(self, sock)
        return connection

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Calls the callback in the next turn of the event loop, after other connections."""
        self.fire(deferred_call(callback))

    def pause_reading(self, connection: Connection) -> None:
        """Stops reading until `resume_reading`, so that TCP flow control slows down the peer."""
        is_open = connection.established and not (connection.closed or connection.failing)
        if is_open and not connection.reading_paused:
            connection.reading_paused = True
            self._poller.removeReader(connection.sock)

    def resume_reading(self, connection: Connection) -> None:
        """Resumes reading after `pause_reading`."""
        if connection.reading_paused and not (connection.closed or connection.failing):
            connection.reading_paused = False
            self._poller.addReader(self, connection.sock)

    def set_reset_on_close(self, connection: Connection, enabled: bool) -> None:
        """Chooses whether closing the connection resets it, also when this process is killed."""
        if not connection.closed:
            linger = struct.pack("ii", int(enabled), 0)
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def half_close(self, connection: Connection) -> None:
        """Shuts down the sending side once all pending data is sent, and discards received data.

        The connection is closed when the peer closes its side as well, and the handler is then
        notified. Closing the socket with unread data would reset the connection, and the peer could
        lose the last response.
        """
        if connection.closed or connection.half_closing or connection.failing:
            return
        connection.half_closing = True
        if not connection.unsent:
            self._shut_down_sending(connection, self._end_later)

    def send(self, connection: Connection, data: bytes) -> None:
        """Sends the data immediately if possible, otherwise when the socket becomes writable.

        Ignored if the connection is closed, half-closing or failing. The handler is told of a
        failure after this method has returned.
        """
        if connection.closed or connection.half_closing or connection.failing:
            return
        if connection.established and not connection.unsent:
            data = self._send_now(connection, data, self._end_later)
            if not data:
                return
        connection.unsent.append(data)
        if connection.established and not self._poller.isWriting(connection.sock):
            self._poller.addWriter(self, connection.sock)

    def is_undelivered(self, connection: Connection) -> bool:
        """Tells whether the peer has not yet received all that was sent to it."""
        if connection.unsent:
            return True
        if connection.closed:
            return False
        unacknowledged = fcntl.ioctl(connection.sock, termios.TIOCOUTQ, _COUNT.pack(0))
        return unacknowledged != _COUNT.pack(0)

    def close(self, connection: Connection) -> None:
        """Closes the connection without calling its handler."""
        if connection.closed:
            return
        connection.closed = True
        self._connections_by_sock.pop(connection.sock, None)
        self._poller.discard(connection.sock)
        connection.sock.close()

    def _shut_down_sending(
        self, connection: Connection, on_failed: Callable[[Connection, str], None]
    ) -> None:
        try:
            connection.sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            on_failed(connection, error.strerror or str(error))

    def _end_later(self, connection: Connection, detail: str) -> None:
        """Ends a connection once the call of its user, in which it failed, has returned."""
        connection.failing = True
        # The failure has taken the socket's error: reading would show a clean end instead.
        self._poller.discard(connection.sock)
        self.fire(connection_failed(connection, detail))

    def _end_connection(self, connection: Connection, detail: str) -> None:
        if connection.closed:
            return
        self.close(connection)
        component = type(connection.handler).__name__
        self.errors.run(component, connection.handler.on_disconnected, detail)

    def _send_now(
        self, connection: Connection, data: bytes, on_failed: Callable[[Connection, str], None]
    ) -> bytes:
        """Sends what the operating system accepts, and returns the rest; none after a failure."""
        try:
            sent_bytes = connection.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return data
        except OSError as error:
            on_failed(connection, error.strerror or str(error))
            return b""
        connection.bytes_sent += sent_bytes
        return data[sent_bytes:]

    @handler("connection_failed")
    def _on_connection_failed(self, connection: Connection, detail: str) -> None:
        self._end_connection(connection, detail)

    @handler("deferred_call")
    def _on_deferred_call(self, callback: Callable[[], None]) -> None:
        self.errors.run("deferred call", callback)

    @handler("_write")
    def _on_writable(self, sock: socket.socket) -> None:
        connection = self._find_open(sock)
        if connection is None:
            return
        if not connection.established and not self._finish_connecting(connection):
            return
        while connection.unsent and not connection.closed:
            unsent_data = connection.unsent.popleft()
            unsent_data = self._send_now(connection, unsent_data, self._end_connection)
            if unsent_data:
                connection.unsent.appendleft(unsent_data)
                return
        if not connection.closed and not connection.failing:
            self._poller.removeWriter(sock)
            if connection.half_closing:
                self._shut_down_sending(connection, self._end_connection)

    def _find_open(self, sock: socket.socket) -> Connection | None:
        """Returns the connection of a socket, or None if it is closed or failing."""
        connection = self._connections_by_sock.get(sock)
        return None if connection is None or connection.failing else connection

    def _finish_connecting(self, connection: Connection) -> bool:
        error_code = connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_code:
            self._end_connection(connection, errno.errorcode.get(error_code, str(error_code)))
            return False
        connection.established = True
        self._poller.addReader(self, connection.sock)
        component = type(connection.handler).__name__
        if not self.errors.run(component, connection.handler.on_connected):
            self._end_connection(connection, UNEXPECTED_ERROR)
        return not connection.closed

    @handler("_read")
    def _on_readable(self, sock: socket.socket) -> None:
        connection = self._find_open(sock)
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
                component = type(connection.handler).__name__
                if not self.errors.run(component, connection.handler.on_data_received, data):
                    self._end_connection(connection, UNEXPECTED_ERROR)
        else:
            connection.has_undelivered = self.is_undelivered(connection)
            # After FIN, a read shows a clean end also if a reset has followed.
            error_code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            connection.peer_closed_cleanly = not error_code
            detail = errno.errorcode.get(error_code, CLOSED_BY_PEER)
            self._end_connection(connection, detail)

    @handler("_disconnect")
    def _on_disconnect(self, sock: socket.socket) -> None:
        connection = self._find_open(sock)
        if connection is None:
            return
        error_code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self._end_connection(connection, errno.errorcode.get(error_code, "hung up"))


def _set_socket_options(sock: socket.socket, user_timeout_ms: int = TCP_USER_TIMEOUT_MS) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    # Keep-alive lets the kernel close connections that a device on the path has lost track of.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)

"""HTTP server of an entry host: circuits.web on a TCP server with limited write buffers."""

from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_USER_TIMEOUT,
    socket,
)
from typing import Final

from circuits import BaseComponent, handler
from circuits.net.sockets import TCPServer
from circuits.web.http import HTTP

from berylquay.decisions.fleet import Address
from berylquay.settings.host_options import CallerLimits

CALLERS_CHANNEL: Final = "callers"
CLOSED_FILENO: Final = -1
# A caller that disappears without closing its connection is detected within 5 s: by keep-alive
# probes while the connection is idle, by the missing acknowledgement of sent data otherwise.
# Accepted sockets inherit these options from the listening socket.
DEAD_CONNECTION_TIMEOUT_MS: Final = 5000
_DEAD_CONNECTION_OPTIONS: Final = [
    (SOL_SOCKET, SO_KEEPALIVE, 1),
    (IPPROTO_TCP, TCP_KEEPIDLE, 2),
    (IPPROTO_TCP, TCP_KEEPINTVL, 1),
    (IPPROTO_TCP, TCP_KEEPCNT, 3),
    (IPPROTO_TCP, TCP_USER_TIMEOUT, DEAD_CONNECTION_TIMEOUT_MS),
]


class BufferLimitedTCPServer(TCPServer):
    """Sends immediately if the socket accepts data, and disconnects callers that do not read."""

    # Limits per connection.
    _limits: CallerLimits

    def __init__(self, bind: tuple[str, int], channel: str, limits: CallerLimits) -> None:
        super().__init__(bind, channel=channel, socket_options=_DEAD_CONNECTION_OPTIONS)
        self._limits = limits

    @handler("write", override=True)
    def write(self, sock: socket, data: bytes) -> None:
        """Sends the data and buffers what the socket does not accept yet.

        Closes the connection if its buffer exceeds the limit. Does nothing on a closed socket.
        """
        if sock.fileno() == CLOSED_FILENO:
            return
        if not self._buffers.get(sock):
            data = self._send_now(sock, data)
            if not data:
                return
        self._buffer_data(sock, data)

    def _buffer_data(self, sock: socket, data: bytes) -> None:
        unsent = self._buffers[sock]
        unsent.append(data)
        if sum(map(len, unsent)) > self._limits.write_buffer_bytes:
            self._close(sock)
        elif not self._poller.isWriting(sock):
            self._poller.addWriter(self, sock)

    def _send_now(self, sock: socket, data: bytes) -> bytes:
        try:
            return data[sock.send(data) :]
        except (BlockingIOError, InterruptedError):
            return data
        except OSError:
            self._close(sock)
            return b""


class HttpServer(BaseComponent):
    """A TCP server with limited buffers and circuits.web's HTTP parser, on one channel."""

    # TCP server that owns the connections.
    server: BufferLimitedTCPServer
    # circuits.web's HTTP parser and response writer.
    http: HTTP
    # circuits.web reads these two attributes from its server.
    secure: bool = False
    display_banner: bool = False

    def __init__(self, address: Address, limits: CallerLimits, channel: str) -> None:
        super().__init__(channel=channel)
        bind = (address.ip, address.port)
        self.server = BufferLimitedTCPServer(bind, channel, limits).register(self)
        self.http = HTTP(self, channel=channel).register(self)

    def send(self, sock: socket, data: bytes) -> None:
        """Sends the data to a caller and buffers what the socket does not accept yet."""
        self.server.write(sock, data)

    def is_response_pending(self, sock: socket) -> bool:
        """Returns whether a complete request was received and its response has not ended."""
        return sock in self.http._clients and sock not in self.http._buffers

    @property
    def has_unsent_data(self) -> bool:
        """Returns whether any connection has buffered data that is not sent yet."""
        return any(self.server._buffers.values())

    @property
    def host(self) -> str:
        """Returns the address on which the server listens."""
        return self.server.host

    @property
    def port(self) -> int:
        """Returns the port on which the server listens."""
        return self.server.port

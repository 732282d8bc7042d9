"""HTTP servers of an entry host: circuits.web over a TCP server whose buffers are bounded."""

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
# A caller that is gone without a word is noticed within 5 s: by probes while nothing is under way,
# by the missing acknowledgement otherwise. Accepted sockets inherit these from the listening one.
DEAD_CONNECTION_TIMEOUT_MS: Final = 5000
_DEAD_CONNECTION_OPTIONS: Final = [
    (SOL_SOCKET, SO_KEEPALIVE, 1),
    (IPPROTO_TCP, TCP_KEEPIDLE, 2),
    (IPPROTO_TCP, TCP_KEEPINTVL, 1),
    (IPPROTO_TCP, TCP_KEEPCNT, 3),
    (IPPROTO_TCP, TCP_USER_TIMEOUT, DEAD_CONNECTION_TIMEOUT_MS),
]


class BufferLimitedTCPServer(TCPServer):
    """Sends at once where the socket takes it, and drops callers that do not read."""

    # Bounds per connection.
    _limits: CallerLimits

    def __init__(self, bind: tuple[str, int], channel: str, limits: CallerLimits) -> None:
        super().__init__(bind, channel=channel, socket_options=_DEAD_CONNECTION_OPTIONS)
        self._limits = limits

    @handler("write", override=True)
    def write(self, sock: socket, data: bytes) -> None:
        """Sends the data or buffers what the socket does not take yet."""
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
    """A bounded TCP server and circuits.web's HTTP parser, on one channel."""

    # TCP server.
    server: BufferLimitedTCPServer
    # HTTP parser and writer.
    http: HTTP
    # circuits.web asks for these two of its server.
    secure: bool = False
    display_banner: bool = False

    def __init__(self, address: Address, limits: CallerLimits, channel: str) -> None:
        super().__init__(channel=channel)
        bind = (address.ip, address.port)
        self.server = BufferLimitedTCPServer(bind, channel, limits).register(self)
        self.http = HTTP(self, channel=channel).register(self)

    def send(self, sock: socket, data: bytes) -> None:
        """Sends the data to a caller, or buffers it."""
        self.server.write(sock, data)

    def is_response_pending(self, sock: socket) -> bool:
        """Tells whether a request of the connection came whole and its answer has not ended."""
        return sock in self.http._clients and sock not in self.http._buffers

    @property
    def has_unsent_data(self) -> bool:
        """Tells whether data waits for a caller to read it."""
        return any(self.server._buffers.values())

    @property
    def host(self) -> str:
        """Returns the address on which the server listens."""
        return self.server.host

    @property
    def port(self) -> int:
        """Returns the port on which the server listens."""
        return self.server.port

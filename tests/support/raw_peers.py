"""Ends of peer links that a test runs step by step: a TCP proxy and a peer that breaks rules."""

import contextlib
import socket
from types import TracebackType
from typing import Self

from berylquay.decisions.fleet import Address
from berylquay.peers.security_layer import PlaintextLayer
from berylquay.peers.websocket import PeerWebSocket, WebSocketError


class TcpProxy:
    """Forwards bytes between a host and its peer until `stop_forwarding` is called."""

    def __init__(self, target: Address) -> None:
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)
        self._pairs: list[tuple[socket.socket, socket.socket]] = []
        self._dropped_pairs: list[tuple[socket.socket, socket.socket]] = []
        self.address = Address("127.0.0.1", self._listener.getsockname()[1])

    def __enter__(self) -> Self:
        """Returns the proxy."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes every socket."""
        self._listener.close()
        for pair in self._pairs + self._dropped_pairs:
            for sock in pair:
                sock.close()

    def process_pending(self) -> bool:
        """Accepts a pending connection and forwards received bytes; returns True."""
        with contextlib.suppress(BlockingIOError):
            accepted, _ = self._listener.accept()
            dialled = socket.create_connection((self._target.ip, self._target.port))
            for sock in (accepted, dialled):
                sock.setblocking(False)
            self._pairs.append((accepted, dialled))
        for client_side, server_side in self._pairs:
            _forward(client_side, server_side)
            _forward(server_side, client_side)
        return True

    def stop_forwarding(self) -> None:
        """Drops all further bytes of the open connections without closing them; new ones work."""
        self._dropped_pairs += self._pairs
        self._pairs = []


def _forward(source: socket.socket, target: socket.socket) -> None:
    with contextlib.suppress(OSError):
        data = source.recv(65536)
        if data:
            target.sendall(data)
        else:
            target.shutdown(socket.SHUT_WR)


class RawPeer:
    """Connects to a host and sends the messages that the test passes in."""

    def __init__(self, address: Address, messages: list[bytes]) -> None:
        self._messages = list(messages)
        self._websocket = PeerWebSocket(PlaintextLayer(), server_side=False)
        self._sock = socket.create_connection((address.ip, address.port))
        self._sock.setblocking(False)

    def process_pending(self) -> bool:
        """Sends the next message once the websocket is open, and reads; returns True."""
        with contextlib.suppress(OSError, WebSocketError):
            if self._websocket.is_open and self._messages:
                self._websocket.send(self._messages.pop(0))
            data = self._websocket.take_outgoing()
            if data:
                self._sock.setblocking(True)
                self._sock.sendall(data)
                self._sock.setblocking(False)
            self._websocket.receive(self._sock.recv(65536))
        return True

    def close(self) -> None:
        """Closes the socket."""
        self._sock.close()

"""Ends of peer links that a test turns itself: a relay that can go silent, and a rude peer."""

import contextlib
import socket
from types import TracebackType
from typing import Self

from berylquay.decisions.fleet import Address
from berylquay.peers.security_layer import PlaintextLayer
from berylquay.peers.websocket import PeerWebSocket, WebSocketError


class Relay:
    """Passes bytes between two ends, until it is told to drop those of the open connections."""

    def __init__(self, target: Address) -> None:
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)
        self._pairs: list[tuple[socket.socket, socket.socket]] = []
        self._silent: list[tuple[socket.socket, socket.socket]] = []
        self.address = Address("127.0.0.1", self._listener.getsockname()[1])

    def __enter__(self) -> Self:
        """Returns the relay."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes every socket."""
        self._listener.close()
        for pair in self._pairs + self._silent:
            for sock in pair:
                sock.close()

    def turn(self) -> bool:
        """Passes on what waits."""
        with contextlib.suppress(BlockingIOError):
            accepted, _ = self._listener.accept()
            dialled = socket.create_connection((self._target.ip, self._target.port))
            for sock in (accepted, dialled):
                sock.setblocking(False)
            self._pairs.append((accepted, dialled))
        for near, far in self._pairs:
            _pass_on(near, far)
            _pass_on(far, near)
        return True

    def drop_everything(self) -> None:
        """Loses track of the open connections; new ones work."""
        self._silent += self._pairs
        self._pairs = []


def _pass_on(source: socket.socket, target: socket.socket) -> None:
    with contextlib.suppress(OSError):
        data = source.recv(65536)
        if data:
            target.sendall(data)
        else:
            target.shutdown(socket.SHUT_WR)


class RawPeer:
    """Dials a host and sends messages of the test's choice."""

    def __init__(self, address: Address, messages: list[bytes]) -> None:
        self._messages = list(messages)
        self._wire = PeerWebSocket(PlaintextLayer(), server_side=False)
        self._sock = socket.create_connection((address.ip, address.port))
        self._sock.setblocking(False)

    def turn(self) -> bool:
        """Reads, and sends the next message once the websocket is open."""
        with contextlib.suppress(OSError, WebSocketError):
            if self._wire.is_open and self._messages:
                self._wire.send(self._messages.pop(0))
            data = self._wire.take_outgoing()
            if data:
                self._sock.setblocking(True)
                self._sock.sendall(data)
                self._sock.setblocking(False)
            self._wire.receive(self._sock.recv(65536))
        return True

    def close(self) -> None:
        """Closes the socket."""
        self._sock.close()

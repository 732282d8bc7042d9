"""Security layers between a link's WebSocket and its socket: plaintext or TLS.

TLS runs over memory buffers, because circuits' own handshake waits in `select` and would block the
loop for a peer that is slow to answer.
"""

import ssl
from collections.abc import Callable
from typing import Protocol

from returns.result import Failure, Result, Success

from berylquay.settings.host_options import PeerTls


class SecurityLayerError(Exception):
    """The other end violated the protocol or could not be authenticated."""


class SecurityLayer(Protocol):
    """Converts between bytes of the socket and bytes of the WebSocket."""

    def receive(self, data: bytes) -> bytes:
        """Takes bytes read from the socket and returns the bytes for the WebSocket.

        Raises:
            SecurityLayerError: The other end violated the protocol or is not authenticated.
        """

    def send(self, data: bytes) -> None:
        """Takes bytes that the WebSocket sends."""

    def take_outgoing(self) -> bytes:
        """Returns and removes the bytes that are to be written to the socket."""

    def authenticates(self, host: str) -> bool:
        """Returns whether the other end has proved that it is the host of that name."""


class PlaintextLayer:
    """Passes bytes on unchanged."""

    # Bytes to be written.
    _outgoing: list[bytes]

    def __init__(self) -> None:
        self._outgoing = []

    def receive(self, data: bytes) -> bytes:
        """Returns the data."""
        return data

    def send(self, data: bytes) -> None:
        """Buffers the data until it is taken."""
        self._outgoing.append(data)

    def take_outgoing(self) -> bytes:
        """Returns the bytes sent since the last call."""
        data = b"".join(self._outgoing)
        self._outgoing.clear()
        return data

    def authenticates(self, host: str) -> bool:
        """Returns True for every name, since there are no certificates."""
        return True


class TlsLayer:
    """Encrypts with mutual TLS."""

    # Encrypted bytes received from the socket.
    _incoming: ssl.MemoryBIO
    # Encrypted bytes to be written to the socket.
    _outgoing: ssl.MemoryBIO
    # TLS state machine.
    _ssl_object: ssl.SSLObject
    # Whether the handshake has completed.
    _handshake_done: bool
    # Unencrypted bytes to be sent after the handshake.
    _pending_writes: list[bytes]

    def __init__(self, context: ssl.SSLContext, server_side: bool) -> None:
        self._incoming = ssl.MemoryBIO()
        self._outgoing = ssl.MemoryBIO()
        self._ssl_object = context.wrap_bio(self._incoming, self._outgoing, server_side=server_side)
        self._handshake_done = False
        self._pending_writes = []
        self._do_handshake()

    def receive(self, data: bytes) -> bytes:
        """Takes encrypted bytes and returns the decrypted ones."""
        self._incoming.write(data)
        try:
            if not self._do_handshake():
                return b""
            return self._read_all()
        except ssl.SSLError as error:
            raise SecurityLayerError(f"TLS: {error.reason or error}") from error

    def send(self, data: bytes) -> None:
        """Encrypts the data, or queues it until the handshake has completed."""
        if self._handshake_done:
            self._ssl_object.write(data)
        else:
            self._pending_writes.append(data)

    def take_outgoing(self) -> bytes:
        """Returns the encrypted bytes since the last call."""
        return self._outgoing.read()

    def authenticates(self, host: str) -> bool:
        """Returns whether the certificate has the host among its subject alternative names."""
        certificate = self._ssl_object.getpeercert() or {}
        names = certificate.get("subjectAltName", ())
        return ("DNS", host) in names

    def _do_handshake(self) -> bool:
        if self._handshake_done:
            return True
        try:
            self._ssl_object.do_handshake()
        except ssl.SSLWantReadError:
            return False
        self._handshake_done = True
        for data in self._pending_writes:
            self._ssl_object.write(data)
        self._pending_writes.clear()
        return True

    def _read_all(self) -> bytes:
        chunks: list[bytes] = []
        while True:
            try:
                chunk = self._ssl_object.read(65536)
            except ssl.SSLWantReadError:
                break
            if not chunk:
                break
            chunks.append(chunk)
        return b"".join(chunks)


# Creates the security layer of a new connection; the argument is whether this end accepted it.
SecurityLayerFactory = Callable[[bool], SecurityLayer]


def make_plaintext_layer(server_side: bool) -> SecurityLayer:
    """Returns a security layer without TLS."""
    return PlaintextLayer()


def create_security_layer_factory(tls: PeerTls | None) -> Result[SecurityLayerFactory, str]:
    """Returns the factory for the settings, or the reason why the certificates cannot be used."""
    if tls is None:
        return Success(make_plaintext_layer)
    try:
        server_context = _make_ssl_context(tls, ssl.PROTOCOL_TLS_SERVER)
        client_context = _make_ssl_context(tls, ssl.PROTOCOL_TLS_CLIENT)
    except (OSError, ssl.SSLError) as error:
        return Failure(str(error))

    def make(server_side: bool) -> SecurityLayer:
        return TlsLayer(server_context if server_side else client_context, server_side)

    return Success(make)


def _make_ssl_context(tls: PeerTls, protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    # Hosts are dialled by IP address, so `TlsLayer.authenticates` checks the host's name instead.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(tls.certificate, tls.key)
    context.load_verify_locations(tls.ca)
    return context

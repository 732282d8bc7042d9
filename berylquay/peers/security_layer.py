"""Pipes: what lies between a link's websocket and its socket, either nothing or TLS.

TLS runs over memory buffers, because circuits' own handshake waits in `select` and would stop the
loop for a peer that is slow to answer.
"""

import ssl
from collections.abc import Callable
from typing import Protocol

from returns.result import Failure, Result, Success

from berylquay.settings.host_options import PeerTls


class SecurityLayerError(Exception):
    """The other end broke the protocol or could not prove who it is."""


class SecurityLayer(Protocol):
    """Turns bytes of the socket into bytes of the websocket and back."""

    def receive(self, data: bytes) -> bytes:
        """Takes bytes of the socket and returns those of the websocket; raises `PipeError`."""

    def send(self, data: bytes) -> None:
        """Takes bytes of the websocket."""

    def take_outgoing(self) -> bytes:
        """Returns the bytes that are to be written to the socket now."""

    def authenticates(self, host: str) -> bool:
        """Tells whether the other end may call itself by the host's name."""


class PlaintextLayer:
    """Passes bytes on as they are."""

    # Bytes to be written.
    _outgoing: list[bytes]

    def __init__(self) -> None:
        self._outgoing = []

    def receive(self, data: bytes) -> bytes:
        """Returns the data."""
        return data

    def send(self, data: bytes) -> None:
        """Keeps the data until it is taken."""
        self._outgoing.append(data)

    def take_outgoing(self) -> bytes:
        """Returns what was sent since the last time."""
        data = b"".join(self._outgoing)
        self._outgoing.clear()
        return data

    def authenticates(self, host: str) -> bool:
        """Trusts every name, since there are no certificates."""
        return True


class TlsLayer:
    """Encrypts with mutual TLS."""

    # Encrypted bytes that came in.
    _incoming: ssl.MemoryBIO
    # Encrypted bytes to be written.
    _outgoing: ssl.MemoryBIO
    # TLS state.
    _ssl_object: ssl.SSLObject
    # Whether the handshake is done.
    _handshake_done: bool
    # Plain bytes that wait for the handshake.
    _pending_writes: list[bytes]

    def __init__(self, context: ssl.SSLContext, server_side: bool) -> None:
        self._incoming = ssl.MemoryBIO()
        self._outgoing = ssl.MemoryBIO()
        self._ssl_object = context.wrap_bio(self._incoming, self._outgoing, server_side=server_side)
        self._handshake_done = False
        self._pending_writes = []
        self._do_handshake()

    def receive(self, data: bytes) -> bytes:
        """Takes encrypted bytes and returns the plain ones."""
        self._incoming.write(data)
        try:
            if not self._do_handshake():
                return b""
            return self._read_all()
        except ssl.SSLError as error:
            raise SecurityLayerError(f"TLS: {error.reason or error}") from error

    def send(self, data: bytes) -> None:
        """Takes plain bytes; they wait until the handshake is done."""
        if self._handshake_done:
            self._ssl_object.write(data)
        else:
            self._pending_writes.append(data)

    def take_outgoing(self) -> bytes:
        """Returns the encrypted bytes."""
        return self._outgoing.read()

    def authenticates(self, host: str) -> bool:
        """Tells whether the certificate names the host among its alternative names."""
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


# Makes the pipe of a new link; the argument tells whether this end accepted it.
SecurityLayerFactory = Callable[[bool], SecurityLayer]


def make_plaintext_layer(server_side: bool) -> SecurityLayer:
    """Returns a pipe without TLS."""
    return PlaintextLayer()


def create_security_layer_factory(tls: PeerTls | None) -> Result[SecurityLayerFactory, str]:
    """Returns what makes pipes under the settings, or why the certificates cannot be used."""
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
    # Hosts are reached by IP numbers; `TlsPipe.proves` checks the host's name instead.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(tls.certificate, tls.key)
    context.load_verify_locations(tls.ca)
    return context

"""Pipes: what lies between a link's websocket and its socket, either nothing or TLS.

TLS runs over memory buffers, because circuits' own handshake waits in `select` and would stop the
loop for a peer that is slow to answer.
"""

import ssl
from collections.abc import Callable
from typing import Protocol

from returns.result import Failure, Result, Success

from berylquay.settings.options import PeerTls


class PipeError(Exception):
    """The other end broke the protocol or could not prove who it is."""


class Pipe(Protocol):
    """Turns bytes of the socket into bytes of the websocket and back."""

    def receive(self, data: bytes) -> bytes:
        """Takes bytes of the socket and returns those of the websocket; raises `PipeError`."""

    def send(self, data: bytes) -> None:
        """Takes bytes of the websocket."""

    def take_outgoing(self) -> bytes:
        """Returns the bytes that are to be written to the socket now."""

    def proves(self, host: str) -> bool:
        """Tells whether the other end may call itself by the host's name."""


class PlainPipe:
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

    def proves(self, host: str) -> bool:
        """Trusts every name, since there are no certificates."""
        return True


class TlsPipe:
    """Encrypts with mutual TLS."""

    # Encrypted bytes that came in.
    _incoming: ssl.MemoryBIO
    # Encrypted bytes to be written.
    _outgoing: ssl.MemoryBIO
    # TLS state.
    _tls: ssl.SSLObject
    # Whether the handshake is done.
    _ready: bool
    # Plain bytes that wait for the handshake.
    _waiting: list[bytes]

    def __init__(self, context: ssl.SSLContext, server_side: bool) -> None:
        self._incoming = ssl.MemoryBIO()
        self._outgoing = ssl.MemoryBIO()
        self._tls = context.wrap_bio(self._incoming, self._outgoing, server_side=server_side)
        self._ready = False
        self._waiting = []
        self._shake_hands()

    def receive(self, data: bytes) -> bytes:
        """Takes encrypted bytes and returns the plain ones."""
        self._incoming.write(data)
        try:
            if not self._shake_hands():
                return b""
            return self._read_all()
        except ssl.SSLError as error:
            raise PipeError(f"TLS: {error.reason or error}") from error

    def send(self, data: bytes) -> None:
        """Takes plain bytes; they wait until the handshake is done."""
        if self._ready:
            self._tls.write(data)
        else:
            self._waiting.append(data)

    def take_outgoing(self) -> bytes:
        """Returns the encrypted bytes."""
        return self._outgoing.read()

    def proves(self, host: str) -> bool:
        """Tells whether the certificate names the host among its alternative names."""
        certificate = self._tls.getpeercert() or {}
        names = certificate.get("subjectAltName", ())
        return ("DNS", host) in names

    def _shake_hands(self) -> bool:
        if self._ready:
            return True
        try:
            self._tls.do_handshake()
        except ssl.SSLWantReadError:
            return False
        self._ready = True
        for data in self._waiting:
            self._tls.write(data)
        self._waiting.clear()
        return True

    def _read_all(self) -> bytes:
        parts: list[bytes] = []
        while True:
            try:
                part = self._tls.read(65536)
            except ssl.SSLWantReadError:
                break
            if not part:
                break
            parts.append(part)
        return b"".join(parts)


# Makes the pipe of a new link; the argument tells whether this end accepted it.
PipeFactory = Callable[[bool], Pipe]


def plain_pipes(server_side: bool) -> Pipe:
    """Returns a pipe without TLS."""
    return PlainPipe()


def make_pipe_factory(tls: PeerTls | None) -> Result[PipeFactory, str]:
    """Returns what makes pipes under the settings, or why the certificates cannot be used."""
    if tls is None:
        return Success(plain_pipes)
    try:
        server = _context(tls, ssl.PROTOCOL_TLS_SERVER)
        client = _context(tls, ssl.PROTOCOL_TLS_CLIENT)
    except (OSError, ssl.SSLError) as error:
        return Failure(str(error))

    def make(server_side: bool) -> Pipe:
        return TlsPipe(server if server_side else client, server_side)

    return Success(make)


def _context(tls: PeerTls, protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    # Hosts are reached by IP numbers; `TlsPipe.proves` checks the host's name instead.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(tls.certificate, tls.key)
    context.load_verify_locations(tls.ca)
    return context

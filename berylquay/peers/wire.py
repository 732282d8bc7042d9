"""The wire of one link: a websocket over a pipe, without any socket."""

from typing import Final

from websockets.client import ClientProtocol
from websockets.exceptions import InvalidHandshake
from websockets.frames import Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from berylquay.peers.codec import MAX_MESSAGE_BYTES
from berylquay.peers.pipes import Pipe, PipeError

_URI: Final = "ws://peer/berylquay"
_CLOSE_POLICY_VIOLATION: Final = 1008


class WireError(Exception):
    """The other end broke the websocket's rules."""


class PeerWire:
    """Turns bytes of the socket into messages and back."""

    # Between the websocket and the socket.
    pipe: Pipe
    # Websocket state.
    _protocol: ClientProtocol | ServerProtocol

    def __init__(self, pipe: Pipe, server_side: bool) -> None:
        self.pipe = pipe
        if server_side:
            self._protocol = ServerProtocol(max_size=MAX_MESSAGE_BYTES)
            return
        client = ClientProtocol(parse_uri(_URI), max_size=MAX_MESSAGE_BYTES)
        client.send_request(client.connect())
        self._protocol = client

    @property
    def open(self) -> bool:
        """Tells whether messages can be sent."""
        return self._protocol.state is State.OPEN

    def receive(self, data: bytes) -> list[bytes]:
        """Takes bytes of the socket and returns the messages that they complete.

        Raises:
            WireError: the other end broke the rules; the link is of no more use.
        """
        try:
            plain = self.pipe.receive(data)
        except PipeError as error:
            raise WireError(str(error)) from error
        if plain:
            self._protocol.receive_data(plain)
        messages = self._take_messages()
        if self._protocol.parser_exc is not None:
            raise WireError(str(self._protocol.parser_exc))
        return messages

    def send(self, message: bytes) -> None:
        """Sends one message; the wire must be open."""
        self._protocol.send_binary(message)

    def close(self, reason: str) -> None:
        """Says to the other end why the link is closed."""
        if self.open:
            self._protocol.send_close(_CLOSE_POLICY_VIOLATION, reason)

    def take_outgoing(self) -> bytes:
        """Returns the bytes that are to be written to the socket now."""
        for data in self._protocol.data_to_send():
            if data:
                self.pipe.send(data)
        return self.pipe.take_outgoing()

    def _take_messages(self) -> list[bytes]:
        messages: list[bytes] = []
        for event in self._protocol.events_received():
            if isinstance(event, Request):
                self._accept(event)
            elif isinstance(event, Response):
                self._check_handshake()
            elif isinstance(event, Frame):
                self._take_frame(event, messages)
        return messages

    def _accept(self, request: Request) -> None:
        if not isinstance(self._protocol, ServerProtocol):
            raise WireError("a request came to the dialling end")
        response = self._protocol.accept(request)
        self._protocol.send_response(response)
        if not self.open:
            raise WireError("the websocket handshake was refused")

    def _check_handshake(self) -> None:
        error = self._protocol.handshake_exc
        if isinstance(error, InvalidHandshake):
            raise WireError(str(error))

    def _take_frame(self, frame: Frame, messages: list[bytes]) -> None:
        if frame.opcode in {Opcode.PING, Opcode.PONG}:
            return
        if frame.opcode is Opcode.CLOSE:
            raise WireError("the other end closed the websocket")
        # Entry hosts send each message whole, so fragments need not be put together.
        if frame.opcode is not Opcode.BINARY or not frame.fin:
            raise WireError("a frame is not a whole binary message")
        messages.append(bytes(frame.data))

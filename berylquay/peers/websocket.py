"""WebSocket protocol of a peer link over a security layer, without input or output of its own."""

from typing import Final

from websockets.client import ClientProtocol
from websockets.exceptions import InvalidHandshake
from websockets.frames import Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from berylquay.peers.security_layer import SecurityLayer, SecurityLayerError

# Maximum number of bytes of a message, checked before it is decoded.
MAX_MESSAGE_BYTES: Final = 262144
_URI: Final = "ws://peer/berylquay"
_CLOSE_POLICY_VIOLATION: Final = 1008


class WebSocketError(Exception):
    """The other end violated the WebSocket protocol or closed the WebSocket."""


class PeerWebSocket:
    """Converts between bytes of the socket and messages."""

    # Layer between the WebSocket and the socket.
    security_layer: SecurityLayer
    # State machine of the WebSocket protocol.
    _protocol: ClientProtocol | ServerProtocol

    def __init__(self, security_layer: SecurityLayer, server_side: bool) -> None:
        self.security_layer = security_layer
        if server_side:
            self._protocol = ServerProtocol(max_size=MAX_MESSAGE_BYTES)
            return
        client = ClientProtocol(parse_uri(_URI), max_size=MAX_MESSAGE_BYTES)
        client.send_request(client.connect())
        self._protocol = client

    @property
    def is_open(self) -> bool:
        """Returns whether messages can be sent."""
        return self._protocol.state is State.OPEN

    def receive(self, data: bytes) -> list[bytes]:
        """Takes bytes read from the socket and returns the messages that they complete.

        Raises:
            WebSocketError: The other end violated the protocol or closed the WebSocket; the link
                cannot be used any more.
        """
        try:
            plaintext = self.security_layer.receive(data)
        except SecurityLayerError as error:
            raise WebSocketError(str(error)) from error
        if plaintext:
            self._protocol.receive_data(plaintext)
        messages = self._read_messages()
        if self._protocol.parser_exc is not None:
            raise WebSocketError(str(self._protocol.parser_exc))
        return messages

    def send(self, message: bytes) -> None:
        """Sends one message; the WebSocket must be open."""
        self._protocol.send_binary(message)

    def close(self, reason: str) -> None:
        """Sends a close frame with the reason if the WebSocket is open."""
        if self.is_open:
            self._protocol.send_close(_CLOSE_POLICY_VIOLATION, reason)

    def take_outgoing(self) -> bytes:
        """Returns and removes the bytes that are to be written to the socket."""
        for data in self._protocol.data_to_send():
            if data:
                self.security_layer.send(data)
        return self.security_layer.take_outgoing()

    def _read_messages(self) -> list[bytes]:
        messages: list[bytes] = []
        for event in self._protocol.events_received():
            if isinstance(event, Request):
                self._accept_handshake(event)
            elif isinstance(event, Response):
                self._check_handshake()
            elif isinstance(event, Frame):
                self._handle_frame(event, messages)
        return messages

    def _accept_handshake(self, request: Request) -> None:
        if not isinstance(self._protocol, ServerProtocol):
            raise WebSocketError("a request came to the dialling end")
        response = self._protocol.accept(request)
        self._protocol.send_response(response)
        if not self.is_open:
            raise WebSocketError("the websocket handshake was refused")

    def _check_handshake(self) -> None:
        error = self._protocol.handshake_exc
        if isinstance(error, InvalidHandshake):
            raise WebSocketError(str(error))

    def _handle_frame(self, frame: Frame, messages: list[bytes]) -> None:
        if frame.opcode in {Opcode.PING, Opcode.PONG}:
            return
        if frame.opcode is Opcode.CLOSE:
            raise WebSocketError("the other end closed the websocket")
        # Entry hosts do not fragment messages, so fragments need not be reassembled.
        if frame.opcode is not Opcode.BINARY or not frame.fin:
            raise WebSocketError("a frame is not a whole binary message")
        messages.append(bytes(frame.data))

from socket import socket

from circuits.core.components import BaseComponent

class HTTP(BaseComponent):
    _clients: dict[socket, object]
    _buffers: dict[socket, object]
    def __init__(self, server: object, encoding: str = ..., channel: str = ...) -> None: ...

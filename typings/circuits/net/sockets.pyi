from collections import defaultdict, deque
from socket import socket

from circuits.core.components import BaseComponent
from circuits.core.pollers import BasePoller

class TCPServer(BaseComponent):
    host: str
    port: int
    secure: bool
    _buffers: defaultdict[socket, deque[bytes]]
    _clients: list[socket]
    _poller: BasePoller
    def __init__(
        self,
        bind: tuple[str, int],
        secure: bool = ...,
        backlog: int = ...,
        bufsize: int = ...,
        channel: str = ...,
        **kwargs: object,
    ) -> None: ...
    def _close(self, sock: socket) -> None: ...
    def write(self, sock: socket, data: bytes) -> None: ...
    def close(self, sock: socket | None = ...) -> None: ...

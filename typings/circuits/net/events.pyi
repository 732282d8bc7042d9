from socket import socket

from circuits.core.events import Event

class read(Event): ...

class write(Event):
    def __init__(self, sock: socket, data: bytes) -> None: ...

class close(Event):
    def __init__(self, sock: socket | None = ...) -> None: ...

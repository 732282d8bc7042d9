from io import BytesIO
from socket import socket

class Headers:
    def get(self, name: str, default: str = ...) -> str: ...
    def __setitem__(self, name: str, value: str) -> None: ...
    def __contains__(self, name: str) -> bool: ...
    def __bytes__(self) -> bytes: ...

class Request:
    sock: socket
    method: str
    path: str
    qs: str
    headers: Headers
    body: BytesIO
    handled: bool

class Response:
    request: Request
    headers: Headers
    status: int
    body: bytes | str | tuple[()] | list[bytes]
    stream: bool
    close: bool
    done: bool
    chunked: bool
    def prepare(self) -> None: ...
    def __bytes__(self) -> bytes: ...

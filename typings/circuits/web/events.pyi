from circuits.core.events import Event
from circuits.web.wrappers import Response

class request(Event): ...

class response(Event):
    def __init__(self, response: Response) -> None: ...

class stream(Event):
    def __init__(self, response: Response, data: bytes | None) -> None: ...

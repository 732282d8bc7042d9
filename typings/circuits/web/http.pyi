from circuits.core.components import BaseComponent

class HTTP(BaseComponent):
    def __init__(self, server: object, encoding: str = ..., channel: str = ...) -> None: ...

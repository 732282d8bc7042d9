from collections.abc import Callable
from typing import TypeVar

F = TypeVar("F", bound=Callable[..., object])

def handler(
    *names: str, channel: str = ..., priority: float = ..., override: bool = ...
) -> Callable[[F], F]: ...

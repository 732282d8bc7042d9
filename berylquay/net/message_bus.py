"""The message bus: carries typed messages between the circuits components of one process."""

from typing import Final

from circuits import Event
from circuits.core.manager import Manager

# Channel on which all messages travel.
BUS: Final = "bus"

_event_types: Final[dict[type, type[Event]]] = {}


def post(sender: Manager, message: object) -> None:
    """Fires the message to every component that handles its type.

    Args:
        sender: any component of the process.
        message: an attrs instance; handlers are registered under the name of its class.

    Raises:
        ValueError: another message class has the same name.
    """
    message_type = type(message)
    event_type = _event_types.get(message_type)
    if event_type is None:
        event_type = _make_event_type(message_type)
        _event_types[message_type] = event_type
    sender.fire(event_type(message), BUS)


def _make_event_type(message_type: type) -> type[Event]:
    name = message_type.__name__
    if any(known_type.__name__ == name for known_type in _event_types):
        # circuits finds handlers by event name, so they would get messages of the other type.
        raise ValueError(f"two message types are named {name}")
    return type(name, (Event,), {})

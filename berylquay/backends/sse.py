"""Server-sent events of engines: splits a byte stream into the data of its events."""

from typing import Final

_SEPARATOR: Final = b"\n\n"
_PREFIX: Final = b"data: "
# Most bytes of one event.
MAX_EVENT_BYTES: Final = 65536


class OversizedEventError(Exception):
    """An event is longer than any that an engine may send."""


class EventSplitter:
    """Collects bytes and returns the data of each event that has come whole."""

    # Bytes of an event that has not come whole.
    _rest: bytes

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Takes bytes and returns the data of the events that they complete.

        Raises:
            OversizedEventError: An event has become too long.
        """
        *whole, self._rest = (self._rest + data).split(_SEPARATOR)
        if max(map(len, (*whole, self._rest))) > MAX_EVENT_BYTES:
            raise OversizedEventError
        return [event.removeprefix(_PREFIX) for event in whole if event.startswith(_PREFIX)]

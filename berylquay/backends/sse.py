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
    _incomplete_event: bytes

    def __init__(self) -> None:
        self._incomplete_event = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Takes bytes and returns the data of the events that they complete.

        Raises:
            OversizedEventError: An event has become too long.
        """
        *complete_events, self._incomplete_event = (self._incomplete_event + data).split(_SEPARATOR)
        if max(map(len, (*complete_events, self._incomplete_event))) > MAX_EVENT_BYTES:
            raise OversizedEventError
        return [
            event.removeprefix(_PREFIX) for event in complete_events if event.startswith(_PREFIX)
        ]

"""Splits an engine's byte stream into the data of its server-sent events."""

from typing import Final

_SEPARATOR: Final = b"\n\n"
_PREFIX: Final = b"data: "
# Maximum size of one event.
MAX_EVENT_BYTES: Final = 65536


class OversizedEventError(Exception):
    """An event exceeds `MAX_EVENT_BYTES`."""


class EventSplitter:
    """Splits a stream of server-sent events incrementally into the data of each complete event."""

    # Bytes of the last event, which is not complete yet.
    _incomplete_event: bytes

    def __init__(self) -> None:
        self._incomplete_event = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Adds received bytes and returns the data of the events that they complete.

        Events without a `data: ` prefix are skipped.

        Raises:
            OversizedEventError: An event, complete or not, exceeds `MAX_EVENT_BYTES`.
        """
        *complete_events, self._incomplete_event = (self._incomplete_event + data).split(_SEPARATOR)
        if max(map(len, (*complete_events, self._incomplete_event))) > MAX_EVENT_BYTES:
            raise OversizedEventError
        return [
            event.removeprefix(_PREFIX) for event in complete_events if event.startswith(_PREFIX)
        ]

"""Event streams that may be continued by another run: whole events and the id of the newest."""

from typing import Final

SEPARATOR: Final = b"\n\n"
ID_FIELD: Final = b"id:"
# Most bytes of one event.
MAX_EVENT_BYTES: Final = 262144


class OversizedEventError(Exception):
    """An event is longer than any that is expected."""


class EventTracker:
    """Passes on whole events only, so that a stream can be continued behind any of them."""

    # Id of the newest event that was passed on, or None before the first.
    newest_id: int | None
    # Bytes of an event that has not come whole.
    _partial_event: bytes

    def __init__(self, newest_id: int | None) -> None:
        self.newest_id = newest_id
        self._partial_event = b""

    @property
    def has_partial_event(self) -> bool:
        """Tells whether an event has begun and not ended."""
        return bool(self._partial_event)

    def feed(self, data: bytes) -> bytes:
        """Takes bytes and returns the whole events that they complete.

        Raises:
            OversizedEventError: An event has become too long.
        """
        complete_events, separator, self._partial_event = (self._partial_event + data).rpartition(
            SEPARATOR
        )
        if len(self._partial_event) > MAX_EVENT_BYTES:
            raise OversizedEventError
        if not separator:
            return b""
        for line in complete_events.split(b"\n"):
            if line.startswith(ID_FIELD):
                text = line[len(ID_FIELD) :].strip()
                if text.isdigit():
                    self.newest_id = int(text)
        return complete_events + separator

    def drop_partial_event(self) -> None:
        """Throws away the beginning of an event whose run has ended."""
        self._partial_event = b""

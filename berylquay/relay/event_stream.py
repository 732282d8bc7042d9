"""Event streams that another run can resume: complete events and the id of the newest."""

from typing import Final

SEPARATOR: Final = b"\n\n"
ID_FIELD: Final = b"id:"
# Most bytes of one event that is still incomplete.
MAX_EVENT_BYTES: Final = 262144


class OversizedEventError(Exception):
    """An incomplete event has exceeded the size limit."""


class EventTracker:
    """Passes on complete server-sent events only, so that a stream can be resumed after any."""

    # Id of the newest event passed on or, before the first one, of the event after which the caller
    # resumes the stream; None if there is neither. Events without a numeric id do not change it.
    newest_id: int | None
    # Bytes of an event that is still incomplete.
    _partial_event: bytes

    def __init__(self, newest_id: int | None) -> None:
        self.newest_id = newest_id
        self._partial_event = b""

    @property
    def has_partial_event(self) -> bool:
        """Tells whether an event has begun and is incomplete."""
        return bool(self._partial_event)

    def feed(self, data: bytes) -> bytes:
        """Adds bytes of the stream and returns the events that are now complete.

        Raises:
            OversizedEventError: An incomplete event is longer than MAX_EVENT_BYTES.
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
                event_id = line[len(ID_FIELD) :].strip()
                if event_id.isdigit():
                    self.newest_id = int(event_id)
        return complete_events + separator

    def drop_partial_event(self) -> None:
        """Discards the beginning of an event whose run has ended."""
        self._partial_event = b""

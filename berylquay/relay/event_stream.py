"""Server-sent events of a response: complete events, and the id of the newest."""

import re
from typing import Final

from returns.result import Failure, Result, Success

ID_FIELD: Final = b"id:"
COMMENT_MARK: Final = b":"
# Most bytes of one event that are held back until it is complete.
MAX_EVENT_BYTES: Final = 262144
# Lines end with CR LF, LF or CR; an event ends with an empty line.
_EVENT_END: Final = re.compile(rb"(?>\r\n|\n|\r)(?>\r\n|\n|\r)")
_LINE_END: Final = re.compile(rb"\r\n|\n|\r")


class EventTracker:
    """Passes on complete events only, so that another run can resume the stream after any."""

    # Id of the newest event passed on or, before the first one, of the event after which the caller
    # resumes the stream; None if there is neither. Events without a numeric id do not change it.
    newest_id: int | None
    # Events with an id that were passed on.
    event_count: int
    # Whether no event was passed on in parts, so that the caller has nothing of the next event.
    holds_whole_events: bool
    # Whether the beginning of the present event was passed on.
    _relays_partial_event: bool
    # Bytes after the last complete event that were not passed on.
    _held_bytes: bytes

    def __init__(self, newest_id: int | None) -> None:
        self.newest_id = newest_id
        self.event_count = 0
        self.holds_whole_events = True
        self._relays_partial_event = False
        self._held_bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Adds bytes of the stream and returns those up to the end of the last complete event.

        An event of more than `MAX_EVENT_BYTES` is returned in parts.
        """
        received = self._held_bytes + data
        end = _end_of_last_event(received)
        if end:
            self._relays_partial_event = False
            self._record_newest_id(received[:end])
        self._held_bytes = received[end:]
        if len(self._held_bytes) <= MAX_EVENT_BYTES:
            return received[:end]
        self._relays_partial_event = True
        self.holds_whole_events = False
        # The last bytes are held back: they may be the first half of the event's end.
        self._held_bytes = received[-1:]
        return received[:-1]

    def finish(self) -> Result[bytes, str]:
        """Returns what was held back, or why the stream is incomplete, at the end of its body."""
        if self._relays_partial_event or _is_within_event(self._held_bytes):
            return Failure("the stream ended within an event")
        held_bytes, self._held_bytes = self._held_bytes, b""
        return Success(held_bytes)

    @property
    def shows_its_end(self) -> bool:
        """Returns False: any event may be the last one."""
        return False

    def drop_partial_event(self) -> None:
        """Discards the beginning of an event whose run has ended."""
        self._held_bytes = b""

    def _record_newest_id(self, complete_events: bytes) -> None:
        has_id = False
        for line in _LINE_END.split(complete_events):
            if line.startswith(ID_FIELD):
                event_id = line[len(ID_FIELD) :].strip()
                if event_id.isdigit():
                    self.newest_id, has_id = int(event_id), True
            elif not line:
                self.event_count += has_id
                has_id = False


def _end_of_last_event(data: bytes) -> int:
    if b"\r" not in data:
        return data.rfind(b"\n\n") + 2 if b"\n\n" in data else 0
    return max((match.end() for match in _EVENT_END.finditer(data)), default=0)


def _is_within_event(data: bytes) -> bool:
    """Tells whether a line is incomplete, or belongs to an event that no empty line has ended."""
    *lines, incomplete_line = _LINE_END.split(data)
    has_fields = any(line and not line.startswith(COMMENT_MARK) for line in lines)
    return has_fields or bool(incomplete_line)

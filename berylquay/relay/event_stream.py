"""Server-sent events of a response: complete events, and the id of the newest."""

import re
from typing import Final

from returns.result import Failure, Result, Success

from berylquay.whole_numbers import MAX_EVENT_ID_DIGITS, parse_whole_number

ID_FIELD: Final = b"id"
DATA_FIELD: Final = b"data"
COMMENT_MARK: Final = b":"
# Most bytes of one event that are held back until it is complete.
MAX_EVENT_BYTES: Final = 262144
# Lines end with CR LF, LF or CR; an event ends with an empty line.
_EVENT_END: Final = re.compile(rb"(?>\r\n|\n|\r)(?>\r\n|\n|\r)")
_LINE_END: Final = re.compile(rb"\r\n|\n|\r")


class EventTracker:
    """Passes on complete events only, so that another run can resume the stream after any."""

    # Highest id of the events passed on or, before the first one, of the event after which the
    # caller resumes the stream; None if there is neither.
    newest_id: int | None
    # Whether the newest event that the caller has is that of `newest_id`, so that another run can
    # go on after it.
    is_position_known: bool
    # Events with an id that were passed on.
    event_count: int
    # Whether no event was passed on in parts, so that the caller has nothing of the next event.
    holds_whole_events: bool
    # Whether the first event of the present run must follow on `newest_id`, as it is still to come.
    _must_follow: bool
    # Whether it did not follow; nothing of the run is passed on.
    is_run_unfit: bool
    # Whether the beginning of the present event was passed on.
    _relays_partial_event: bool
    # Bytes after the last complete event that were not passed on.
    _held_bytes: bytes

    def __init__(self, newest_id: int | None) -> None:
        self.newest_id = newest_id
        self.is_position_known = True
        self.event_count = 0
        self.holds_whole_events = True
        self._must_follow = newest_id is not None
        self.is_run_unfit = False
        self._relays_partial_event = False
        self._held_bytes = b""

    def begin_run(self) -> None:
        """Begins the stream of the next run, which goes on after the newest event, if any."""
        self._must_follow = self.newest_id is not None
        self.is_run_unfit = False

    def feed(self, data: bytes) -> bytes:
        """Adds bytes of the stream and returns those up to the end of the last complete event.

        An event of more than `MAX_EVENT_BYTES` is returned in parts. Nothing is returned of a run
        that does not go on after the newest event.
        """
        received = self._held_bytes + data
        end = _end_of_last_event(received)
        if end and not self.is_run_unfit:
            self._relays_partial_event = False
            self._record_events(received[:end])
        self._held_bytes = received[end:]
        is_too_long = len(self._held_bytes) > MAX_EVENT_BYTES
        if is_too_long and self._must_follow:
            # The id of an event that is passed on in parts may come last.
            self.is_run_unfit = True
        if self.is_run_unfit:
            self._held_bytes = b""
            return b""
        if not is_too_long:
            return received[:end]
        self._relays_partial_event = True
        self.holds_whole_events = False
        # The last bytes are held back: they may be the first half of the event's end.
        self._held_bytes = received[-1:]
        return received[:-1]

    def finish(self) -> Result[bytes, str]:
        """Returns what was held back, or why the stream is incomplete, at the end of its body."""
        if self.is_run_unfit:
            return Failure("the run did not go on after the newest event")
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

    def _record_events(self, complete_events: bytes) -> None:
        event_id: bytes | None = None
        is_event = False
        for line in _LINE_END.split(complete_events):
            if _is_field(line, ID_FIELD):
                event_id, is_event = line[len(ID_FIELD) + 1 :], True
            elif _is_field(line, DATA_FIELD):
                is_event = True
            elif not line:
                if is_event:
                    self._record_event(parse_whole_number(event_id, MAX_EVENT_ID_DIGITS))
                event_id, is_event = None, False
            if self.is_run_unfit:
                return

    def _record_event(self, event_id: int | None) -> None:
        """Records one event by its id, or None without a numeric one."""
        rises = event_id is not None and (self.newest_id is None or event_id > self.newest_id)
        if self._must_follow:
            self._must_follow = False
            self.is_run_unfit = not rises
            if self.is_run_unfit:
                return
        self.is_position_known = rises
        if rises:
            self.newest_id = event_id
        self.event_count += event_id is not None


def _is_field(line: bytes, name: bytes) -> bool:
    return line.startswith(name) and line[len(name) : len(name) + 1] in (b":", b"")


def _end_of_last_event(data: bytes) -> int:
    if b"\r" not in data:
        return data.rfind(b"\n\n") + 2 if b"\n\n" in data else 0
    return max((match.end() for match in _EVENT_END.finditer(data)), default=0)


def _is_within_event(data: bytes) -> bool:
    """Tells whether a line is incomplete, or belongs to an event that no empty line has ended."""
    *lines, incomplete_line = _LINE_END.split(data)
    has_fields = any(line and not line.startswith(COMMENT_MARK) for line in lines)
    return has_fields or bool(incomplete_line)

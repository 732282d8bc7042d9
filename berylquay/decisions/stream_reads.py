"""Following streams: when to read which stream of the platform's log from which offset."""

from random import Random
from typing import Final

from attrs import define, frozen

from berylquay.decisions.backoff import Backoff

READ_BACKOFF: Final = Backoff(min_delay_s=0.1, max_delay_s=2.0)
# Time for which the log may hold an answer back while there is nothing new.
LONG_POLL_WAIT_S: Final = 1.0
# Shortest time between two reads of a stream in which nothing was new.
READ_INTERVAL_S: Final = 0.25
# Shortest time after a read was sent in which a writer's append makes the next read due at once.
APPEND_READ_DELAY_S: Final = 0.02


@frozen
class ReadAttempt:
    """Command: read a stream from an offset."""

    stream: str
    from_offset: int
    # Time for which the answer may be held back.
    long_poll_wait_s: float
    # When the read was sent.
    sent_s: float


@frozen
class PageOffsets:
    """What one read says about the stream."""

    # Offset of the oldest record that is kept.
    first_offset: int
    # Offset of the next append.
    next_offset: int
    # Offset after the last record that was read, or None if there was none.
    end_offset: int | None


@define(eq=False)
class _Cursor:
    """Position in one followed stream."""

    next_offset: int
    due_s: float
    in_flight: ReadAttempt | None = None
    failures: int = 0
    # Whether the last read was answered.
    last_read_answered: bool = False


class StreamReadScheduler:
    """Keeps one read under way for each followed stream."""

    # Draws the jitter.
    _rng: Random
    # Positions by stream.
    _cursors: dict[str, _Cursor]

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._cursors = {}

    def follow(self, stream: str, from_offset: int, now_s: float) -> None:
        """Begins to follow a stream, or goes back to the offset if it lies behind."""
        cursor = self._cursors.get(stream)
        if cursor is None:
            self._cursors[stream] = _Cursor(from_offset, now_s)
        elif from_offset < cursor.next_offset:
            cursor.next_offset = from_offset
            cursor.due_s = now_s

    def start_due(self, now_s: float) -> list[ReadAttempt]:
        """Returns the reads to send now."""
        started: list[ReadAttempt] = []
        for stream, cursor in self._cursors.items():
            if cursor.in_flight is None and cursor.due_s <= now_s:
                # The first read tells at once whether the log answers and what there is.
                wait_s = LONG_POLL_WAIT_S if cursor.last_read_answered else 0.0
                cursor.in_flight = ReadAttempt(stream, cursor.next_offset, wait_s, now_s)
                started.append(cursor.in_flight)
        return started

    def on_page(self, attempt: ReadAttempt, page: PageOffsets, now_s: float) -> bool:
        """Moves on past a page; returns False if the page is out of date and must be dropped."""
        cursor = self._cursors[attempt.stream]
        cursor.in_flight = None
        cursor.last_read_answered = True
        cursor.failures = 0
        if attempt.from_offset != cursor.next_offset:
            cursor.due_s = now_s
            return False
        if page.end_offset is not None:
            cursor.next_offset = page.end_offset
            cursor.due_s = now_s
            return True
        cursor.next_offset = max(cursor.next_offset, page.first_offset)
        # A log that does not hold answers back is asked at a steady interval.
        cursor.due_s = max(now_s, attempt.sent_s + READ_INTERVAL_S)
        return True

    def on_failed(self, attempt: ReadAttempt, now_s: float) -> None:
        """Notes that a read failed."""
        cursor = self._cursors[attempt.stream]
        cursor.in_flight = None
        cursor.last_read_answered = False
        cursor.failures += 1
        cursor.due_s = now_s + READ_BACKOFF.delay_s(cursor.failures, self._rng)

    def read_soon(self, stream: str, now_s: float) -> None:
        """Makes the next read of the stream due, because something was appended."""
        cursor = self._cursors.get(stream)
        if cursor is not None and not cursor.failures:
            cursor.due_s = min(cursor.due_s, now_s + APPEND_READ_DELAY_S)

"""Schedule of reads from the streams of the platform's log: when, and from which offset."""

from random import Random
from typing import Final

from attrs import define, frozen

from berylquay.decisions.backoff import Backoff

READ_BACKOFF: Final = Backoff(min_delay_s=0.1, max_delay_s=2.0)
# Time for which the log may delay an answer while there is nothing new (long polling).
LONG_POLL_WAIT_S: Final = 1.0
# Shortest time between two reads of a stream that has no new records.
READ_INTERVAL_S: Final = 0.25
# Delay after an append by this process until the next read of the stream is due.
APPEND_READ_DELAY_S: Final = 0.02


@frozen
class ReadAttempt:
    """Command to read a stream from an offset."""

    stream: str
    from_offset: int
    # Time for which the log may delay the answer.
    long_poll_wait_s: float
    # Monotonic time at which the read was sent.
    sent_s: float


@frozen
class PageOffsets:
    """Offsets that the answer to one read reports."""

    # Offset of the oldest record that is retained.
    first_offset: int
    # Offset of the next append.
    next_offset: int
    # Offset after the last record in the page, or None if the page is empty.
    end_offset: int | None


@define(eq=False)
class _Cursor:
    """Read position in one stream."""

    next_offset: int
    due_s: float
    in_flight: ReadAttempt | None = None
    failures: int = 0
    # Whether the last read was answered.
    last_read_answered: bool = False


class StreamReadScheduler:
    """Keeps at most one read in flight for each followed stream."""

    # Source of the jitter.
    _rng: Random
    # Read positions by stream.
    _cursors: dict[str, _Cursor]

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._cursors = {}

    def follow(self, stream: str, from_offset: int, now_s: float) -> None:
        """Starts to follow a stream, or moves an existing position back to an earlier offset."""
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
                # The first read is answered at once, to learn whether the log is reachable and what
                # it contains.
                wait_s = LONG_POLL_WAIT_S if cursor.last_read_answered else 0.0
                cursor.in_flight = ReadAttempt(stream, cursor.next_offset, wait_s, now_s)
                started.append(cursor.in_flight)
        return started

    def on_page(self, attempt: ReadAttempt, page: PageOffsets, now_s: float) -> bool:
        """Advances past a page; returns False if the page is outdated and must be dropped."""
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
        # A log that does not support long polling is read at a fixed interval.
        cursor.due_s = max(now_s, attempt.sent_s + READ_INTERVAL_S)
        return True

    def on_failed(self, attempt: ReadAttempt, now_s: float) -> None:
        """Records a failed read; the next one follows after a backoff."""
        cursor = self._cursors[attempt.stream]
        cursor.in_flight = None
        cursor.last_read_answered = False
        cursor.failures += 1
        cursor.due_s = now_s + READ_BACKOFF.delay_s(cursor.failures, self._rng)

    def read_soon(self, stream: str, now_s: float) -> None:
        """Makes the next read due soon after an append, unless reads of the stream are failing."""
        cursor = self._cursors.get(stream)
        if cursor is not None and not cursor.failures:
            cursor.due_s = min(cursor.due_s, now_s + APPEND_READ_DELAY_S)

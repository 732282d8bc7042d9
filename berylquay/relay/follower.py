"""Follows a topic of the store: the newest record of each key first, then what comes after.

Where other hosts have read the topic a moment ago, their word takes the place of an own read.
"""

from collections.abc import Callable
from random import Random
from typing import Final

import logbook
from attrs import define, field, frozen

from berylquay.decisions.backoff import Backoff
from berylquay.decisions.shared_polling import OwnRead, SharedPolling, TopicReport
from berylquay.platform.store import (
    KeyedRecord,
    NewestPage,
    RecordPage,
    StoreFailure,
    StoreLane,
    decode_keyed,
)

# Wait after a failed call; the store turns calls away beyond a rate that all hosts share.
FAILURE_BACKOFF: Final = Backoff(min_delay_s=0.2, max_delay_s=0.8)
_log = logbook.Logger("follower")


@frozen
class FollowTimes:
    """How a topic is read."""

    # Time for which the read of the host that reads for others waits at the store for a new record.
    wait_s: float
    # Least time from the start of one such read to that of the next.
    interval_s: float
    # Time in which a change must be known.
    bound_s: float


class TopicUser:
    """Takes what a topic holds."""

    def mark(self) -> str:
        """Returns what stands for all that is known, or nothing if the offset does."""
        return ""

    def on_snapshot(self, records: dict[str, bytes], now_s: float) -> None:
        """Called with the newest value of each key."""
        raise NotImplementedError

    def on_record(self, record: KeyedRecord, now_s: float) -> None:
        """Called with each newer record."""
        raise NotImplementedError


@define(eq=False)
class TopicFollower:
    """Reads one topic on a lane of its own and notes how fresh what it knows is."""

    topic: str
    _times: FollowTimes
    _lane: StoreLane
    _user: TopicUser
    _rng: Random
    # Reads the monotonic clock.
    _clock: Callable[[], float]
    # Whether the newest records were read once in this process.
    complete: bool = field(default=False, init=False)
    # When to read, and how fresh what is known is.
    reading: SharedPolling = field(init=False)
    # Calls in a row that failed.
    failures: int = field(default=0, init=False)
    # Offset from which to read on, or None to begin with the newest records.
    _offset: int | None = field(default=None, init=False)
    # Newest records so far, while their pages are read.
    _pages: dict[str, bytes] = field(factory=dict, init=False)
    # Last key of the page before, and the topic's end when the first page was read.
    _after: str = field(default="", init=False)
    _end_offset: int | None = field(default=None, init=False)
    # Monotonic time before which no call is made, and of the start of the last.
    _next_s: float = field(default=float("-inf"), init=False)
    _sent_s: float = field(default=float("-inf"), init=False)

    def __attrs_post_init__(self) -> None:
        """Begins as a host that reads for itself."""
        self.reading = SharedPolling(self._times.bound_s, self._times.interval_s)

    @property
    def confirmed_s(self) -> float:
        """Returns the monotonic time up to which what is known is complete."""
        return self.reading.confirmed_s

    @property
    def mark(self) -> str:
        """Returns what stands for all that is known of the topic."""
        return self._user.mark() or str(self._offset)

    def on_tick(self, now_s: float) -> None:
        """Makes the next call when it is due."""
        self._lane.on_tick(now_s)
        if self._lane.busy or now_s < self._next_s:
            return
        if self._offset is None:
            self._sent_s = now_s
            self._lane.newest(self.topic, self._after, self._on_newest)
        elif now_s >= self.reading.due_s(self._sent_s):
            self._sent_s = now_s
            wait_s = self._times.wait_s if self.reading.is_poller else 0.0
            self._lane.read(self.topic, self._offset, wait_s, self._on_page)

    def on_word(self, word: TopicReport, now_s: float) -> None:
        """Takes what another host has read."""
        if self.complete and self._offset is not None:
            self.reading.on_peer_report(word, self.mark, now_s)

    def next_to_tell(self, now_s: float) -> OwnRead | None:
        """Returns the read to tell the others of, if there is one."""
        if not self.complete or self._offset is None:
            return None
        return self.reading.next_report(self.topic, self.mark, now_s)

    def _on_newest(self, result: NewestPage | StoreFailure) -> None:
        now_s = self._clock()
        if isinstance(result, StoreFailure):
            self._on_failure(result, now_s)
            return
        if self._end_offset is None:
            # Pages are no snapshot: what changes meanwhile is read behind the first one's end.
            self._end_offset = result.end_offset
        for record in result.records:
            self._pages[record.key] = record.value or b""
        if result.has_more and result.records:
            self._after = result.records[-1].key
            self._next_s = now_s
            return
        pages, self._pages = self._pages, {}
        self._offset, self._end_offset, self._after = self._end_offset, None, ""
        self._on_success(now_s)
        self.complete = True
        self._user.on_snapshot(pages, now_s)

    def _on_page(self, result: RecordPage | StoreFailure) -> None:
        now_s = self._clock()
        if isinstance(result, StoreFailure):
            if result.records_gone:
                self._start_anew("records were deleted unread")
                self._next_s = now_s
            else:
                self._on_failure(result, now_s)
            return
        if self._offset is not None and result.first_offset > self._offset:
            self._start_anew("records are missing")
            return
        self._offset = result.next_offset
        self._on_success(now_s)
        for content in result.contents:
            record = decode_keyed(content)
            if record is not None:
                self._user.on_record(record, now_s)

    def _start_anew(self, reason: str) -> None:
        _log.warning("reading the newest records again", topic=self.topic, reason=reason)
        self._offset, self._end_offset, self._after, self._pages = None, None, "", {}

    def _on_success(self, now_s: float) -> None:
        if self.failures:
            _log.info("store regained", topic=self.topic, failures=self.failures)
        self.failures = 0
        self.reading.on_read(self._sent_s)

    def _on_failure(self, failure: StoreFailure, now_s: float) -> None:
        if not self.failures:
            _log.warning(
                "store lost",
                topic=self.topic,
                status=failure.status,
                detail=failure.detail,
                known_ms=(
                    round((now_s - self.reading.confirmed_s) * 1000.0) if self.complete else None
                ),
            )
        self.failures += 1
        self._next_s = now_s + FAILURE_BACKOFF.delay_s(self.failures, self._rng)

"""The configuration of this host: a fold over the platform's log that only moves forward.

The fold takes pages of records, snapshots among them and snapshots from peers. It never guesses: if
records are missing it keeps its state, says that there is a gap, and goes on only from a snapshot
that covers the missing ones.
"""

from collections.abc import Mapping, Sequence
from typing import Any, Final

from attrs import evolve, frozen

from berylquay.decisions.configuration_state import (
    SNAPSHOT_KIND,
    SNAPSHOT_WANTED_KIND,
    ChangeOutcome,
    ConfigurationState,
    apply_record,
)
from berylquay.decisions.snapshots import SnapshotSeen, snapshot_from_json
from berylquay.standalone.records import LogRecord

# Most records that are kept while there is no snapshot to start from.
MAX_TAIL: Final = 20000


@frozen
class Page:
    """What one read of the stream brought."""

    records: tuple[LogRecord, ...]
    # Offset of the oldest record that the log still keeps.
    first_offset: int
    # Offset that the next record will get.
    next_offset: int


@frozen
class Progress:
    """What a page or a snapshot led to."""

    # What became of each change that was taken in.
    outcomes: tuple[ChangeOutcome, ...] = ()
    # Snapshots among the records.
    snapshots: tuple[SnapshotSeen, ...] = ()
    # Offset of the newest request for a snapshot among the records, or 0.
    wanted_offset: int = 0
    # Whether the revision rose.
    risen: bool = False


def accepts_snapshot(state: ConfigurationState | None, offered: ConfigurationState) -> bool:
    """Tells whether a host in this state may go over to a snapshot, wherever it came from."""
    if state is None:
        return True
    return offered.offset > state.offset and offered.revision >= state.revision


class ConfigurationFold:
    """The configuration as far as this host knows it."""

    # State that is in force, or None before a beginning was found.
    state: ConfigurationState | None
    # Whether the whole stream was read at the last page, and the log was not behind.
    caught_up: bool
    # Whether the state may be in force: a host that starts does not pass through old revisions.
    settled: bool
    # Records that were read but do not connect to the state, in offset order without holes.
    _tail: list[LogRecord]
    # Offset from which the tail has every record.
    _tail_start: int
    # Offset that the next page must have, or None before the first page.
    _expected: int | None

    def __init__(self) -> None:
        self.state = None
        self.caught_up = False
        self.settled = False
        self._tail = []
        self._tail_start = 0
        self._expected = None

    @property
    def gap(self) -> bool:
        """Tells whether records are missing between the state and what was read."""
        if self._expected is None:
            return False
        return self.state is None or self.state.offset + 1 < self._tail_start

    @property
    def up_to_date(self) -> bool:
        """Tells whether the state held everything in the log when it was last read."""
        return self.caught_up and not self.gap

    def on_page(self, page: Page) -> Progress:
        """Takes in the next page of the stream."""
        fresh = self.caught_up
        records = self._connect(page)
        if self._expected is not None and page.next_offset < self._expected:
            # The log has forgotten what this host has seen; it cannot be followed.
            self.caught_up = False
            return Progress()
        self._tail.extend(records)
        if records:
            self._expected = records[-1].offset + 1
        self.caught_up = self._expected == page.next_offset
        progress = self._advance()
        self.settled = self.settled or self.up_to_date
        return evolve(
            progress,
            snapshots=tuple(SnapshotSeen(offset, fresh) for offset in _of(records, SNAPSHOT_KIND)),
            wanted_offset=max(_of(records, SNAPSHOT_WANTED_KIND), default=0),
        )

    def on_snapshot(self, value: Mapping[str, Any]) -> Progress:
        """Takes in a snapshot that a peer sent."""
        offered = snapshot_from_json(value)
        if offered is None or not accepts_snapshot(self.state, offered):
            return Progress()
        before = self.state.revision if self.state is not None else 0
        self.state = offered
        # The peer had it in force, and nothing newer is in reach.
        self.settled = True
        progress = self._advance()
        return evolve(progress, risen=self.state.revision > before)

    def _connect(self, page: Page) -> Sequence[LogRecord]:
        if self._expected is None:
            self._restart_tail(page.first_offset)
            if page.first_offset == 1 and self.state is None:
                self.state = ConfigurationState()
        elif page.first_offset > self._expected:
            # What lay between was never read and has expired.
            self._restart_tail(page.first_offset)
        expected = self._expected
        return [record for record in page.records if expected is None or record.offset >= expected]

    def _restart_tail(self, offset: int) -> None:
        self._tail.clear()
        self._tail_start = offset
        self._expected = offset

    def _advance(self) -> Progress:
        before = self.state.revision if self.state is not None else 0
        if self.gap:
            self._adopt_snapshot_of_tail()
        if self.gap:
            self._bound_tail()
            return Progress()
        outcomes = self._fold_tail()
        after = self.state.revision if self.state is not None else 0
        return Progress(outcomes, risen=after > before)

    def _adopt_snapshot_of_tail(self) -> None:
        for record in reversed(self._tail):
            if record.kind != SNAPSHOT_KIND:
                continue
            offered = snapshot_from_json(record.fields)
            if offered is None or offered.offset < self._tail_start - 1:
                continue
            if offered.offset < record.offset and accepts_snapshot(self.state, offered):
                self.state = offered
                return

    def _fold_tail(self) -> tuple[ChangeOutcome, ...]:
        outcomes: list[ChangeOutcome] = []
        state = self.state
        if state is None:
            return ()
        covered = state.offset
        for record in self._tail:
            if record.offset <= covered:
                continue
            step = apply_record(state, record)
            state = step.state
            if step.outcome is not None:
                outcomes.append(step.outcome)
        self.state = state
        self._tail.clear()
        self._tail_start = max(self._tail_start, state.offset + 1)
        return tuple(outcomes)

    def _bound_tail(self) -> None:
        if len(self._tail) <= MAX_TAIL:
            return
        dropped = self._tail[-MAX_TAIL - 1].offset
        self._tail = [record for record in self._tail if record.offset > dropped]
        self._tail_start = dropped + 1


def _of(records: Sequence[LogRecord], kind: str) -> list[int]:
    return [record.offset for record in records if record.kind == kind]

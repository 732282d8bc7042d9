"""The configuration of this host: a state machine that applies the records of the platform's log.

The state only moves forward. The input is pages of log records, which may contain snapshots, and
snapshots from peers. If records are missing, the state machine keeps its state, reports a gap, and
continues only from a snapshot that covers the missing records.
"""

from collections.abc import Mapping, Sequence
from typing import Any, Final

from attrs import evolve, frozen

from berylquay.decisions.configuration_snapshots import SnapshotRecord, snapshot_from_json
from berylquay.decisions.configuration_state import (
    SNAPSHOT_KIND,
    SNAPSHOT_REQUEST_KIND,
    ChangeOutcome,
    ConfigurationState,
    apply_record,
)
from berylquay.standalone.records import LogRecord

# Maximum number of records to buffer while there is no snapshot to start from.
MAX_BUFFERED_RECORDS: Final = 20000


@frozen
class LogPage:
    """The result of one read of the log stream."""

    records: tuple[LogRecord, ...]
    # Offset of the oldest record that the log still retains.
    first_offset: int
    # Offset that the next record will get.
    next_offset: int


@frozen
class ApplyResult:
    """The effects of applying a page or a snapshot."""

    # Outcome of each change that was applied.
    outcomes: tuple[ChangeOutcome, ...] = ()
    # Snapshots found among the records.
    snapshots: tuple[SnapshotRecord, ...] = ()
    # Offset of the newest request for a snapshot among the records, or 0.
    snapshot_request_offset: int = 0
    # Whether the revision increased.
    revision_increased: bool = False


def accepts_snapshot(state: ConfigurationState | None, snapshot: ConfigurationState) -> bool:
    """Returns whether a host in this state may switch to a snapshot from the log or a peer."""
    if state is None:
        return True
    return snapshot.applied_offset > state.applied_offset and snapshot.revision >= state.revision


class ConfigurationStateMachine:
    """Applies log records and snapshots to the configuration state of this host."""

    # State after the applied records, or None before there was a snapshot or a first record to
    # start from.
    state: ConfigurationState | None
    # Whether the last page reached the end of the stream; False also if the log ends before what
    # this host has already read.
    caught_up: bool
    # Whether the state may take effect: a starting host must not put old revisions in force while
    # it catches up.
    initial_sync_done: bool
    # Records that were read but not yet applied, in offset order without holes.
    _buffered_records: list[LogRecord]
    # Offset from which the buffer holds every record.
    _buffer_start_offset: int
    # Offset of the next record to read, or None before the first page.
    _expected_offset: int | None

    def __init__(self) -> None:
        self.state = None
        self.caught_up = False
        self.initial_sync_done = False
        self._buffered_records = []
        self._buffer_start_offset = 0
        self._expected_offset = None

    @property
    def has_gap(self) -> bool:
        """Returns whether records are missing between the state and the records that were read."""
        if self._expected_offset is None:
            return False
        return self.state is None or self.state.applied_offset + 1 < self._buffer_start_offset

    @property
    def up_to_date(self) -> bool:
        """Returns whether the state included the whole log when the log was last read."""
        return self.caught_up and not self.has_gap

    def on_page(self, page: LogPage) -> ApplyResult:
        """Applies the next page of the stream."""
        was_caught_up = self.caught_up
        records = self._accept_new_records(page)
        if self._expected_offset is not None and page.next_offset < self._expected_offset:
            # The log has lost records that this host has read; it cannot be followed.
            self.caught_up = False
            return ApplyResult()
        self._buffered_records.extend(records)
        if records:
            self._expected_offset = records[-1].offset + 1
        self.caught_up = self._expected_offset == page.next_offset
        result = self._apply_available()
        self.initial_sync_done = self.initial_sync_done or self.up_to_date
        return evolve(
            result,
            snapshots=tuple(
                SnapshotRecord(offset, was_caught_up)
                for offset in _offsets_of_kind(records, SNAPSHOT_KIND)
            ),
            snapshot_request_offset=max(
                _offsets_of_kind(records, SNAPSHOT_REQUEST_KIND), default=0
            ),
        )

    def on_snapshot(self, value: Mapping[str, Any]) -> ApplyResult:
        """Switches to a snapshot from a peer if it is well-formed and newer than the state."""
        snapshot = snapshot_from_json(value)
        if snapshot is None or not accepts_snapshot(self.state, snapshot):
            return ApplyResult()
        revision_before = self.state.revision if self.state is not None else 0
        self.state = snapshot
        # The snapshot was in force at the peer, and nothing newer is reachable.
        self.initial_sync_done = True
        result = self._apply_available()
        return evolve(result, revision_increased=self.state.revision > revision_before)

    def _accept_new_records(self, page: LogPage) -> Sequence[LogRecord]:
        if self._expected_offset is None:
            self._reset_buffer(page.first_offset)
            if page.first_offset == 1 and self.state is None:
                self.state = ConfigurationState()
        elif page.first_offset > self._expected_offset:
            # The records in between expired before this host read them.
            self._reset_buffer(page.first_offset)
        expected_offset = self._expected_offset
        return [
            record
            for record in page.records
            if expected_offset is None or record.offset >= expected_offset
        ]

    def _reset_buffer(self, offset: int) -> None:
        self._buffered_records.clear()
        self._buffer_start_offset = offset
        self._expected_offset = offset

    def _apply_available(self) -> ApplyResult:
        revision_before = self.state.revision if self.state is not None else 0
        if self.has_gap:
            self._load_buffered_snapshot()
        if self.has_gap:
            self._trim_buffer()
            return ApplyResult()
        outcomes = self._apply_buffered_records()
        revision_after = self.state.revision if self.state is not None else 0
        return ApplyResult(outcomes, revision_increased=revision_after > revision_before)

    def _load_buffered_snapshot(self) -> None:
        for record in reversed(self._buffered_records):
            if record.kind != SNAPSHOT_KIND:
                continue
            snapshot = snapshot_from_json(record.fields)
            if snapshot is None or snapshot.applied_offset < self._buffer_start_offset - 1:
                continue
            if snapshot.applied_offset < record.offset and accepts_snapshot(self.state, snapshot):
                self.state = snapshot
                return

    def _apply_buffered_records(self) -> tuple[ChangeOutcome, ...]:
        outcomes: list[ChangeOutcome] = []
        state = self.state
        if state is None:
            return ()
        applied_offset = state.applied_offset
        for record in self._buffered_records:
            if record.offset <= applied_offset:
                continue
            transition = apply_record(state, record)
            state = transition.state
            if transition.outcome is not None:
                outcomes.append(transition.outcome)
        self.state = state
        self._buffered_records.clear()
        self._buffer_start_offset = max(self._buffer_start_offset, state.applied_offset + 1)
        return tuple(outcomes)

    def _trim_buffer(self) -> None:
        if len(self._buffered_records) <= MAX_BUFFERED_RECORDS:
            return
        last_dropped_offset = self._buffered_records[-MAX_BUFFERED_RECORDS - 1].offset
        self._buffered_records = [
            record for record in self._buffered_records if record.offset > last_dropped_offset
        ]
        self._buffer_start_offset = last_dropped_offset + 1


def _offsets_of_kind(records: Sequence[LogRecord], kind: str) -> list[int]:
    return [record.offset for record in records if record.kind == kind]

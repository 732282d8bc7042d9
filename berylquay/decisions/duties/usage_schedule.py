"""Which window of usage a collector reports next, and when.

The first collector acts soon after a window's end; each further one later, if the topic has no
record of the window by then. The first record of a window in the topic fixes its counts. A record
that is not known to be reported is taken up by its own writer at once, by others near its due time.
"""

from collections.abc import Mapping
from enum import Enum
from typing import Final

from attrs import define, field, frozen

from berylquay.decisions.duties.usage_counts import KEPT_WINDOWS

# Time after a window's end at which the first collector acts, and delay of each further one.
ACT_DELAY_S: Final = 2.0
COLLECTOR_STAGGER_S: Final = 2.5
# Time for which a collector waits in addition for counts that are missing.
MISSING_COUNTS_WAIT_S: Final = 1.5
# Time after a window's end from which others than the writer of its record report it, unless it is
# known to be reported; and the time from the reading of the record until then.
TAKE_UP_DELAY_S: Final = 7.0
# Ranks by which a collector moves back whose calls to the API fail.
YIELDING_RANKS: Final = 2
# Delay in addition for a collector that hears of less than half of the fleet: it may be the one
# that is cut off, and the others have most counts.
ISOLATED_DELAY_S: Final = 4.0
# Delay in addition for windows that began before this process: other collectors have their counts.
EARLIER_WINDOW_DELAY_S: Final = 5.0


@frozen
class UsageRecord:
    """The first record of a window in the topic."""

    counts: Mapping[str, int]
    # Whether this process has written it.
    is_own: bool


@frozen
class CollectorView:
    """What a collector knows of the others and of the counts."""

    # Number of live collectors before this one.
    rank: int
    # Window of which all counts have arrived, or None if those of the oldest one have not.
    complete_id: int | None
    # Whether this host hears of less than half of the fleet.
    is_isolated: bool
    # Whether the newest claim is this host's, so that no other one may claim yet.
    is_holder: bool
    # Whether this host's calls to the API fail, so that the next collector should try.
    yields: bool

    @property
    def effective_rank(self) -> int:
        """Returns the rank by which this host acts."""
        if self.yields:
            return self.rank + YIELDING_RANKS
        return 0 if self.is_holder else self.rank


class UsageAction(Enum):
    """What to do for a window."""

    # Write the record: the topic has none.
    RECORD = "record"
    # Send the recorded counts to the API.
    SEND = "send"


@define
class UsageSchedule:
    """Records and reports of recent windows, as far as one process knows them."""

    window_s: float
    due_s: float
    # First window that this process has counted from its start, and the earliest one to report.
    _first_whole_id: int
    _earliest_id: int
    records: dict[int, UsageRecord] = field(factory=dict, init=False)
    # Windows that the API has accepted or refused for good.
    done: set[int] = field(factory=set, init=False)
    # First window whose record can't have been lost when the store came back from an older copy.
    _first_safe_id: int = field(default=0, init=False)

    def window_of(self, true_s: float) -> int:
        """Returns the window of a true time, in seconds since 1970."""
        return int(true_s // self.window_s)

    def end_s(self, window_id: int) -> float:
        """Returns the true time at which a window ends."""
        return (window_id + 1) * self.window_s

    def on_record(self, window_id: int, counts: Mapping[str, int], *, is_own: bool) -> None:
        """Takes a record of the topic; only the first one of a window counts."""
        self.records.setdefault(window_id, UsageRecord(counts, is_own))

    def on_store_restored(self, true_s: float) -> None:
        """Records that records of windows that have ended may be lost from the topic."""
        self._first_safe_id = self.window_of(true_s)

    def next_action(self, view: CollectorView, true_s: float) -> tuple[int, UsageAction] | None:
        """Returns the oldest window to act on and what to do, or None."""
        for window_id in self.open_ids(true_s):
            record = self.records.get(window_id)
            if record is None:
                if true_s >= self._record_s(window_id, view):
                    return window_id, UsageAction.RECORD
            elif (record.is_own and not view.yields) or true_s >= self._take_up_s(window_id, view):
                return window_id, UsageAction.SEND
        return None

    def oldest_unrecorded(self, true_s: float) -> int | None:
        """Returns the oldest window without a record that the first collector may record."""
        return next(
            (
                window_id
                for window_id in self.open_ids(true_s)
                if window_id not in self.records and true_s >= self.end_s(window_id) + ACT_DELAY_S
            ),
            None,
        )

    def open_ids(self, true_s: float) -> list[int]:
        """Returns the ended windows that are not known to be reported, oldest first."""
        present_id = self.window_of(true_s)
        earliest_id = max(self._earliest_id, present_id - KEPT_WINDOWS)
        return [
            window_id
            for window_id in range(earliest_id, present_id)
            if window_id not in self.done and not self._is_given_up(window_id, true_s)
        ]

    def _is_given_up(self, window_id: int, true_s: float) -> bool:
        """Tells whether a window may have a lost record with other counts, and is not reported.

        A process that has counted the window goes on until it is overdue; its counts are those of
        the lost record. One that has started since has none of them.
        """
        if window_id >= self._first_safe_id or window_id in self.records:
            return False
        is_overdue = true_s > self.end_s(window_id) + self.due_s
        return is_overdue or window_id < self._first_whole_id

    def drop_before(self, window_id: int) -> None:
        """Forgets the windows before this one."""
        self.records = {known: item for known, item in self.records.items() if known >= window_id}
        self.done = {known for known in self.done if known >= window_id}

    def _record_s(self, window_id: int, view: CollectorView) -> float:
        delay_s = ACT_DELAY_S + view.effective_rank * COLLECTOR_STAGGER_S
        if window_id != view.complete_id:
            delay_s += MISSING_COUNTS_WAIT_S
        if view.is_isolated:
            delay_s += ISOLATED_DELAY_S
        if window_id < self._first_whole_id:
            delay_s += EARLIER_WINDOW_DELAY_S
        return self.end_s(window_id) + delay_s

    def _take_up_s(self, window_id: int, view: CollectorView) -> float:
        delay_s = TAKE_UP_DELAY_S + view.effective_rank * MISSING_COUNTS_WAIT_S
        return self.end_s(window_id) + delay_s

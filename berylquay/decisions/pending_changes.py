"""Changes of the configuration that operators asked this host for and that are not yet decided."""

from typing import Final

from attrs import define

from berylquay.decisions.configuration_state import (
    Change,
    ChangeOutcome,
    ChangeStatus,
    ConfigurationState,
    check_change,
    is_duplicate,
)

# Time within which an operator is told the outcome, or that it is unknown.
OUTCOME_TIMEOUT_S: Final = 8.0
# Time after which no further attempt to append a change is made.
APPEND_TIMEOUT_S: Final = 5.0
# Time for which an append whose answer was lost is looked out for in the stream.
UNSETTLED_APPEND_TIMEOUT_S: Final = 2.0


def decide_without_append(
    state: ConfigurationState | None, up_to_date: bool, change: Change
) -> ChangeOutcome | None:
    """Returns the outcome if no append is needed to know it, or None.

    A host that has not read everything refuses: what it would judge by may be out of date.
    """
    revision = state.revision if state is not None else 0
    if state is None or not up_to_date:
        detail = "this host cannot read the platform's log to its end now"
        return ChangeOutcome(change.change_id, ChangeStatus.REFUSED, revision, detail=detail)
    last_change = state.last_change(change.target_key)
    if (
        is_duplicate(state, change)
        and last_change is not None
        and last_change.change_id == change.change_id
    ):
        return ChangeOutcome(change.change_id, ChangeStatus.ACCEPTED, revision)
    return check_change(state, change)


@define(eq=False)
class _PendingChange:
    """A change that is on its way into the log."""

    deadline_s: float
    # What a person should read when the time is up.
    detail: str = "the change was sent to the log and has not been read back"


class PendingChanges:
    """Keeps the changes until they are read back, known to have failed, or out of time."""

    # Changes by id.
    _pending: dict[str, _PendingChange]

    def __init__(self) -> None:
        self._pending = {}

    def add(self, change: Change, now_s: float) -> None:
        """Begins to wait for a change."""
        self._pending.setdefault(change.change_id, _PendingChange(now_s + OUTCOME_TIMEOUT_S))

    def on_outcome_read(self, outcome: ChangeOutcome) -> bool:
        """Tells whether the outcome that was read is of a change that this host waits for."""
        return self._pending.pop(outcome.change_id, None) is not None

    def on_append_failed(
        self, change_id: str, detail: str, state: ConfigurationState | None
    ) -> ChangeOutcome | None:
        """Returns the outcome of a change whose record is known not to be in the log."""
        if self._pending.pop(change_id, None) is None:
            return None
        revision = state.revision if state is not None else 0
        return ChangeOutcome(change_id, ChangeStatus.REFUSED, revision, detail=detail)

    def on_append_unsettled(self, change_id: str, detail: str, now_s: float) -> None:
        """Notes that a record may be in the log though the log never said so."""
        pending = self._pending.get(change_id)
        if pending is not None:
            pending.deadline_s = min(pending.deadline_s, now_s + UNSETTLED_APPEND_TIMEOUT_S)
            pending.detail = f"the change may have reached the log: {detail}"

    def expire_overdue(self, state: ConfigurationState | None, now_s: float) -> list[ChangeOutcome]:
        """Returns the changes whose outcome could not be found out in time."""
        revision = state.revision if state is not None else 0
        overdue = [item for item in self._pending.items() if now_s >= item[1].deadline_s]
        for change_id, _ in overdue:
            del self._pending[change_id]
        return [
            ChangeOutcome(change_id, ChangeStatus.UNKNOWN, revision, detail=waiting.detail)
            for change_id, waiting in overdue
        ]

"""Configuration changes that operators requested from this host, until their outcome is known."""

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

# Time after which a change without an outcome is reported to the operator as unknown.
OUTCOME_TIMEOUT_S: Final = 8.0
# Time after which an append is no longer retried.
APPEND_TIMEOUT_S: Final = 5.0
# Time to wait for a record to appear in the stream after the answer to its append was lost.
UNSETTLED_APPEND_TIMEOUT_S: Final = 2.0


def decide_without_append(
    state: ConfigurationState | None, up_to_date: bool, change: Change
) -> ChangeOutcome | None:
    """Returns the outcome if it is known without appending a record, or None.

    A host that has not read the whole log refuses, because its state may be out of date.
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
    """A change whose record is being appended or has not been read back yet."""

    deadline_s: float
    # Explanation for the operator if the deadline passes.
    detail: str = "the change was sent to the log and has not been read back"


class PendingChanges:
    """Tracks changes until they are read back, their append fails, or their deadline passes."""

    # Pending changes by change id.
    _pending: dict[str, _PendingChange]

    def __init__(self) -> None:
        self._pending = {}

    def add(self, change: Change, now_s: float) -> None:
        """Starts waiting for the outcome of a change."""
        self._pending.setdefault(change.change_id, _PendingChange(now_s + OUTCOME_TIMEOUT_S))

    def on_outcome_read(self, outcome: ChangeOutcome) -> bool:
        """Stops waiting for the change; returns whether this host was waiting for it."""
        return self._pending.pop(outcome.change_id, None) is not None

    def on_append_failed(
        self, change_id: str, detail: str, state: ConfigurationState | None
    ) -> ChangeOutcome | None:
        """Returns the outcome of a change whose record is known not to be in the log.

        Returns None if this host does not wait for the change.
        """
        if self._pending.pop(change_id, None) is None:
            return None
        revision = state.revision if state is not None else 0
        return ChangeOutcome(change_id, ChangeStatus.REFUSED, revision, detail=detail)

    def on_append_unsettled(self, change_id: str, detail: str, now_s: float) -> None:
        """Shortens the deadline of a change whose append was neither confirmed nor rejected."""
        pending = self._pending.get(change_id)
        if pending is not None:
            pending.deadline_s = min(pending.deadline_s, now_s + UNSETTLED_APPEND_TIMEOUT_S)
            pending.detail = f"the change may have reached the log: {detail}"

    def expire_overdue(self, state: ConfigurationState | None, now_s: float) -> list[ChangeOutcome]:
        """Removes the changes whose deadline has passed and returns unknown outcomes for them."""
        revision = state.revision if state is not None else 0
        overdue = [item for item in self._pending.items() if now_s >= item[1].deadline_s]
        for change_id, _ in overdue:
            del self._pending[change_id]
        return [
            ChangeOutcome(change_id, ChangeStatus.UNKNOWN, revision, detail=pending.detail)
            for change_id, pending in overdue
        ]

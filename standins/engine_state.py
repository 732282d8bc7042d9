"""State of the engine stand-in: model, role, running attempts, injected faults and event log."""

import time
import uuid
from collections.abc import Mapping

from attrs import define, field, frozen


@frozen
class EngineEvent:
    """Entry of the event log: a request that the engine received or an event on it."""

    kind: str
    # Id of the attempt or of the order.
    subject_id: str
    detail: str = ""


@define
class Faults:
    """Faults injected by a test."""

    # Content that crashes the process when a prompt contains it; empty for none.
    crash_on: str = ""
    # Number of tokens after which the connection is aborted; negative for never.
    cut_after_tokens: int = -1
    # Number of tokens after which the engine stops sending but leaves the connection open;
    # negative for never.
    silent_after_tokens: int = -1
    # Whether the process crashes halfway through the next order.
    crash_amid_order: bool = False
    # Number of upcoming orders whose responses are lost after the order took effect.
    lose_order_answers: int = 0


def parse_faults(value: Mapping[str, object]) -> Faults:
    """Returns the faults in the body of a request to /faults; faults not named are off."""
    return Faults(
        crash_on=str(value.get("crash_on", "")),
        cut_after_tokens=int(str(value.get("cut_after_tokens", -1))),
        silent_after_tokens=int(str(value.get("silent_after_tokens", -1))),
        crash_amid_order=bool(value.get("crash_amid_order", False)),
        lose_order_answers=int(str(value.get("lose_order_answers", 0))),
    )


@define
class EngineState:
    """State shared by the components of the engine."""

    name: str
    model: str
    version: str
    adapters: frozenset[str] = frozenset()
    role: str = "mixed"
    # Whether an order with an old fencing number is refused.
    checks_fencing: bool = True
    # Highest fencing number seen; stays 0 on an engine that ignores fencing numbers.
    fencing_number: int = 0
    # Id of the order in progress, or empty.
    order_in_progress: str = ""
    # Id of the order accepted last, or empty.
    last_order: str = ""
    # Random id of this run of the process; changes with each start.
    incarnation: str = field(factory=lambda: uuid.uuid4().hex[:8])
    # Ids of the attempts in the batch.
    running: set[str] = field(factory=set)
    # Ids of the attempts that were cancelled or aborted by an order and have not ended yet.
    terminating: set[str] = field(factory=set)
    # Prompt tokens not prefilled yet.
    prefill_backlog_tokens: int = 0
    faults: Faults = field(factory=Faults)
    event_log: list[EngineEvent] = field(factory=list)

    def record_event(self, kind: str, subject_id: str, detail: str = "") -> None:
        """Appends an entry to the event log."""
        self.event_log.append(EngineEvent(kind, subject_id, detail))

    def report(self) -> dict[str, object]:
        """Returns the response body of /v1/state."""
        return {
            "name": self.name,
            "incarnation": self.incarnation,
            "role": self.role,
            "model": f"{self.model}@{self.version}",
            "adapters": sorted(self.adapters),
            "running": len(self.running),
            "fencing_number": self.fencing_number,
            "order_under_way": self.order_in_progress,
            "last_order": self.last_order,
        }


@define
class LoadReporter:
    """Serves load reports that lag behind the actual load."""

    state: EngineState
    # Age from which a report is replaced.
    max_age_s: float
    _reported_s: float = float("-inf")
    _last_report: dict[str, object] = field(factory=dict)

    def report(self) -> dict[str, object]:
        """Returns the last report, or a new one if the last is at least `max_age_s` old."""
        now_s = time.monotonic()
        if now_s - self._reported_s >= self.max_age_s:
            self._reported_s = now_s
            self._last_report = self._build_report()
        return self._last_report

    def _build_report(self) -> dict[str, object]:
        state = self.state
        return {
            "role": state.role,
            "model": f"{state.model}@{state.version}",
            "adapters": sorted(state.adapters),
            "running": len(state.running),
            "waiting": 0,
            "prefill_backlog_tokens": state.prefill_backlog_tokens,
            "kv_pieces_used": 0,
            "kv_pieces_total": 1000,
        }

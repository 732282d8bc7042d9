"""State of the engine stand-in: what it runs, the faults that a test asked for, and the witness."""

import time
import uuid
from collections.abc import Mapping

from attrs import define, field, frozen


@frozen
class WitnessEntry:
    """One thing that reached the engine or happened on it, in order."""

    kind: str
    # Id of the attempt or of the order.
    subject: str
    detail: str = ""


@define
class Faults:
    """Faults that a test has asked for."""

    # Content that crashes the process when it stands in a prompt.
    crash_on: str = ""
    # Breaks the connection off after so many tokens; negative for never.
    cut_after_tokens: int = -1
    # Stops sending, with the connection open, after so many tokens; negative for never.
    silent_after_tokens: int = -1
    # Crashes the process halfway through the next order.
    crash_amid_order: bool = False
    # Number of coming orders whose answers are lost after the effect.
    lose_order_answers: int = 0


def parse_faults(value: Mapping[str, object]) -> Faults:
    """Returns the faults in the body of a request to /faults; what is not named is off."""
    return Faults(
        crash_on=str(value.get("crash_on", "")),
        cut_after_tokens=int(str(value.get("cut_after_tokens", -1))),
        silent_after_tokens=int(str(value.get("silent_after_tokens", -1))),
        crash_amid_order=bool(value.get("crash_amid_order", False)),
        lose_order_answers=int(str(value.get("lose_order_answers", 0))),
    )


@define
class EngineState:
    """Everything that the parts of the engine share."""

    name: str
    model: str
    version: str
    adapters: frozenset[str] = frozenset()
    role: str = "mixed"
    # Whether an order with an old fencing number is refused.
    checks_fencing: bool = True
    # Highest fencing number seen; stays 0 on an engine that ignores them.
    fencing_number: int = 0
    # Order that is under way, or empty.
    order_under_way: str = ""
    # Order that was accepted last, or empty.
    last_order: str = ""
    # Changes with each start of the process.
    incarnation: str = field(factory=lambda: uuid.uuid4().hex[:8])
    # Attempts in the batch.
    running: set[str] = field(factory=set)
    # Attempts that were cut off or cancelled and are about to end.
    ended: set[str] = field(factory=set)
    # Prompt tokens that still wait for their prefill.
    prefill_backlog_tokens: int = 0
    faults: Faults = field(factory=Faults)
    witness: list[WitnessEntry] = field(factory=list)

    def note(self, kind: str, subject: str, detail: str = "") -> None:
        """Adds an entry to the witness."""
        self.witness.append(WitnessEntry(kind, subject, detail))

    def report(self) -> dict[str, object]:
        """Returns the state for /v1/state."""
        return {
            "name": self.name,
            "incarnation": self.incarnation,
            "role": self.role,
            "model": f"{self.model}@{self.version}",
            "adapters": sorted(self.adapters),
            "running": len(self.running),
            "fencing_number": self.fencing_number,
            "order_under_way": self.order_under_way,
            "last_order": self.last_order,
        }


@define
class LoadReporter:
    """Reports the load as it was a while ago."""

    state: EngineState
    # How old a report may be.
    lag_s: float
    _made_s: float = float("-inf")
    _report: dict[str, object] = field(factory=dict)

    def report(self) -> dict[str, object]:
        """Returns the last report, or a new one if that is older than the lag."""
        now_s = time.monotonic()
        if now_s - self._made_s >= self.lag_s:
            self._made_s = now_s
            self._report = self._make()
        return self._report

    def _make(self) -> dict[str, object]:
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

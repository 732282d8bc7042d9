"""Open calls, which have no final answer yet, indexed by call, attempt and deadline."""

from collections.abc import Iterator
from enum import Enum
from heapq import heappop, heappush

from attrs import define, field

from berylquay.call_verdicts import RefusalReason, Verdict
from berylquay.decisions.calls import Attempt, Call
from berylquay.decisions.stall_detection import AttemptPhase


class CallStage(Enum):
    """What an open call is waiting for."""

    # An attempt is in flight.
    RUNNING = "running"
    # The attempt was cancelled; its verdict is still pending.
    CANCELLING = "cancelling"
    # The connection to the server was lost; a probe is checking whether the server crashed.
    AWAITING_PROBE = "held"
    # The next attempt is scheduled.
    BACKING_OFF = "backing-off"


@define(eq=False)
class OpenCall:
    """A call without a final answer."""

    call: Call
    stage: CallStage = CallStage.BACKING_OFF
    # Attempt in flight if the stage is RUNNING or CANCELLING, else None.
    attempt: Attempt | None = None
    # Phase of the attempt, or of the last one.
    phase: AttemptPhase = AttemptPhase.CONNECTING
    # Monotonic time of the attempt's last progress, its cancellation or the start of the probe.
    last_progress_s: float = 0.0
    # Monotonic time at which the next attempt may start.
    next_attempt_s: float = 0.0
    attempts_made: int = 0
    tokens_delivered: int = 0
    # Model version that generated the delivered tokens; empty if unknown.
    model_version: str = ""
    # Whether any attempt may have reached a backend server.
    may_have_run: bool = False
    # Whether the caller has disconnected.
    caller_gone: bool = False
    # Reason for which the call is refused once its cancelled attempt's verdict arrives, or None if
    # it may be retried.
    cancel_reason: RefusalReason | None = None
    # Detail of the last failure.
    failure_detail: str = ""
    # Time after which a backend server or the quarantine allows a retry, or None.
    retry_after_s: float | None = None
    # Backend servers on which an attempt failed.
    failed_backends: set[str] = field(factory=set)

    @property
    def verdict(self) -> Verdict:
        """Returns the verdict if the call is refused now."""
        return Verdict.MAY_HAVE_RUN if self.may_have_run else Verdict.NOT_RUN


class OpenCalls:
    """Indexes of the open calls."""

    # Open calls by call id.
    _by_call_id: dict[str, OpenCall]
    # Open calls by the id of their attempt in flight.
    _by_attempt_id: dict[str, OpenCall]
    # Heap of deadlines and call ids, earliest first; closed calls stay in it until their deadline.
    _deadlines: list[tuple[float, str]]

    def __init__(self) -> None:
        self._by_call_id = {}
        self._by_attempt_id = {}
        self._deadlines = []

    def __len__(self) -> int:
        """Returns the number of open calls."""
        return len(self._by_call_id)

    def __iter__(self) -> Iterator[OpenCall]:
        """Yields every open call."""
        return iter(self._by_call_id.values())

    def get(self, call_id: str) -> OpenCall | None:
        """Returns the open call with that id, or None."""
        return self._by_call_id.get(call_id)

    def get_by_attempt(self, attempt_id: str) -> OpenCall | None:
        """Returns the open call whose attempt in flight has that id, or None."""
        return self._by_attempt_id.get(attempt_id)

    def add(self, call: Call) -> OpenCall:
        """Opens a call."""
        open_call = OpenCall(call)
        self._by_call_id[call.call_id] = open_call
        heappush(self._deadlines, (call.deadline_s, call.call_id))
        return open_call

    def remove(self, open_call: OpenCall) -> None:
        """Removes a call whose attempt has ended."""
        del self._by_call_id[open_call.call.call_id]

    def start_attempt(self, open_call: OpenCall, attempt: Attempt, now_s: float) -> None:
        """Records a new attempt of the call and starts its connecting phase."""
        open_call.attempt = attempt
        open_call.stage = CallStage.RUNNING
        open_call.phase = AttemptPhase.CONNECTING
        open_call.last_progress_s = now_s
        open_call.attempts_made += 1
        self._by_attempt_id[attempt.attempt_id] = open_call

    def end_attempt(self, open_call: OpenCall) -> Attempt | None:
        """Removes the attempt in flight from the call and returns it, or None if there is none."""
        attempt = open_call.attempt
        if attempt is not None:
            del self._by_attempt_id[attempt.attempt_id]
        open_call.attempt = None
        return attempt

    def pop_expired(self, now_s: float) -> list[OpenCall]:
        """Returns the open calls whose deadline has passed; each call is returned only once."""
        expired: list[OpenCall] = []
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, call_id = heappop(self._deadlines)
            open_call = self._by_call_id.get(call_id)
            if open_call is not None:
                expired.append(open_call)
        return expired

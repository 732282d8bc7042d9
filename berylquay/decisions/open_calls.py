"""Open calls: the calls without a final answer, by call, by attempt and by deadline."""

from collections.abc import Iterator
from enum import Enum
from heapq import heappop, heappush

from attrs import define, field

from berylquay.decisions.calls import Attempt, Call
from berylquay.decisions.stall_detection import AttemptPhase
from berylquay.verdicts import RefusalReason, Verdict


class CallStage(Enum):
    """What an open call waits for."""

    # An attempt is under way.
    RUNNING = "running"
    # The attempt was cancelled; its verdict has yet to come back.
    CANCELLING = "cancelling"
    # The server broke off; a probe is to tell whether it was lost.
    AWAITING_PROBE = "held"
    # The next attempt starts at `resume_s`.
    BACKING_OFF = "backing-off"


@define(eq=False)
class OpenCall:
    """A call without its final answer."""

    call: Call
    stage: CallStage = CallStage.BACKING_OFF
    # Attempt under way, if the stage is RUNNING or CANCELLING.
    attempt: Attempt | None = None
    # How far the attempt has come.
    phase: AttemptPhase = AttemptPhase.CONNECTING
    # Monotonic time of the attempt's last progress, or of its cancellation.
    last_progress_s: float = 0.0
    # Monotonic time at which the next attempt may start.
    next_attempt_s: float = 0.0
    attempts_made: int = 0
    tokens_delivered: int = 0
    # Version that made the delivered tokens; empty if unknown.
    model_version: str = ""
    # Whether any attempt may have reached a backend server.
    may_have_run: bool = False
    # Whether nobody waits for the answer any more.
    caller_gone: bool = False
    # Why the call is given up on as soon as the verdict of its attempt comes back.
    cancel_reason: RefusalReason | None = None
    # Detail of the last failure.
    failure_detail: str = ""
    # When a backend server asked to be tried again, or None.
    retry_after_s: float | None = None
    # Servers that failed the call.
    failed_backends: set[str] = field(factory=set)

    @property
    def verdict(self) -> Verdict:
        """Returns what is true of the call if it is given up on now."""
        return Verdict.MAY_HAVE_RUN if self.may_have_run else Verdict.NOT_RUN


class OpenCalls:
    """Tables of the open calls."""

    # Open calls by call id.
    _by_call_id: dict[str, OpenCall]
    # Open call by the id of its attempt, for the attempt under way only.
    _by_attempt_id: dict[str, OpenCall]
    # Deadline and call id of open calls, soonest first; ended calls stay until they come up.
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
        """Returns the open call of that id, or None."""
        return self._by_call_id.get(call_id)

    def get_by_attempt(self, attempt_id: str) -> OpenCall | None:
        """Returns the open call whose attempt under way has that id, or None."""
        return self._by_attempt_id.get(attempt_id)

    def add(self, call: Call) -> OpenCall:
        """Opens a call."""
        open_call = OpenCall(call)
        self._by_call_id[call.call_id] = open_call
        heappush(self._deadlines, (call.deadline_s, call.call_id))
        return open_call

    def remove(self, open_call: OpenCall) -> None:
        """Closes a call whose attempt has ended."""
        del self._by_call_id[open_call.call.call_id]

    def start_attempt(self, open_call: OpenCall, attempt: Attempt, now_s: float) -> None:
        """Puts an attempt under way."""
        open_call.attempt = attempt
        open_call.stage = CallStage.RUNNING
        open_call.phase = AttemptPhase.CONNECTING
        open_call.last_progress_s = now_s
        open_call.attempts_made += 1
        self._by_attempt_id[attempt.attempt_id] = open_call

    def end_attempt(self, open_call: OpenCall) -> Attempt | None:
        """Takes the attempt off the call and returns it."""
        attempt = open_call.attempt
        if attempt is not None:
            del self._by_attempt_id[attempt.attempt_id]
        open_call.attempt = None
        return attempt

    def pop_expired(self, now_s: float) -> list[OpenCall]:
        """Returns the open calls whose deadline has passed, each once."""
        expired: list[OpenCall] = []
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, call_id = heappop(self._deadlines)
            open_call = self._by_call_id.get(call_id)
            if open_call is not None:
                expired.append(open_call)
        return expired

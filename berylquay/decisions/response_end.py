"""Decides whether an answer that ended with its connection is whole.

The operating system closes the connections of a process that was killed as a process closes them
that has sent all it had. An answer with neither a length nor chunks is whole if the instance that
sent it still runs after its end: the instance is asked, and whatever else is at its address now
shows that it has ended.
"""

from enum import Enum
from typing import Final

from attrs import define, field, frozen

from berylquay.decisions.server_instance import ServerInstance

# Refused connections in a row that show that a server has ended. One alone may be the work of a
# device on the path, and the next question goes through another host if this host's path is lost.
REFUSALS_OF_ENDED_SERVER: Final = 2
# Interval between questions that have failed.
RETRY_INTERVAL_S: Final = 0.15
# Longest time between two ticks that counts as waiting for a server; in a longer one the host has
# stood still itself.
MAX_TICK_S: Final = 0.25
# Time after which a result is dropped.
RESULT_TTL_S: Final = 5.0


class InstanceState(Enum):
    """What is known of an instance."""

    RUNNING = "running"
    ENDED = "ended"
    UNKNOWN = "unknown"


class EndVerdict(Enum):
    """What the end of an answer is taken for."""

    WHOLE = "whole"
    BROKEN_OFF = "broken-off"
    # It ended when the server's time was over: servers stop then, and go on to run.
    AT_DEADLINE = "at-deadline"
    # Taken for broken off, though nothing shows that the server has ended.
    IN_DOUBT = "in-doubt"


@frozen
class InstanceStatement:
    """What an answer states of the server that gave it."""

    # Name of the server; empty if it is not stated.
    name: str = ""
    # Start time in Unix milliseconds; 0 if it is not stated.
    started_unix_ms: int = 0
    # Whether the server says that it is not the one that the request expects.
    is_misdirected: bool = False

    def judge(self, instance: ServerInstance) -> InstanceState:
        """Returns what the answer shows of the instance that was asked."""
        is_other_name = bool(self.name) and self.name != instance.name
        is_stated = bool(self.started_unix_ms and instance.started_unix_ms)
        is_other_start = is_stated and self.started_unix_ms != instance.started_unix_ms
        if self.is_misdirected or is_other_name or is_other_start:
            return InstanceState.ENDED
        return InstanceState.RUNNING if self.name or is_stated else InstanceState.UNKNOWN


@define
class InstanceEvidence:
    """The results of the questions to one instance, each valid from when it was asked."""

    # Newest result and its reason, for logs.
    state: InstanceState = InstanceState.UNKNOWN
    reason: str = "not asked"
    # Monotonic time at which the question was asked that gave the newest result.
    asked_s: float = float("-inf")
    # Monotonic time at which the newest question was asked, or has failed.
    _tried_s: float = field(default=float("-inf"), init=False)
    _refusals: int = field(default=0, init=False)
    # Monotonic time at which the newest question was asked that the instance has answered.
    _running_s: float = field(default=float("-inf"), init=False)

    def state_since(self, since_s: float) -> InstanceState:
        """Returns what questions have shown that were asked at `since_s` or later."""
        if self._running_s >= since_s:
            # A later question that has failed does not undo it.
            return InstanceState.RUNNING
        return self.state if self.asked_s >= since_s else InstanceState.UNKNOWN

    def may_ask(self, now_s: float) -> bool:
        """Tells whether another question may be asked after one that has failed."""
        return now_s - self._tried_s >= RETRY_INTERVAL_S

    def is_outdated(self, now_s: float) -> bool:
        """Tells whether no question was asked for so long that the results may be dropped."""
        return now_s - max(self.asked_s, self._tried_s) > RESULT_TTL_S

    def on_result(self, state: InstanceState, reason: str, asked_s: float) -> None:
        """Records what an answer has shown."""
        self.state, self.reason, self.asked_s = state, reason, asked_s
        self._refusals = 0
        if state is InstanceState.RUNNING:
            self._running_s = asked_s

    def on_failure(self, reason: str, asked_s: float, now_s: float, *, was_refused: bool) -> None:
        """Records a question that was not answered.

        Args:
            reason: Why, for logs.
            asked_s: Monotonic time at which the question was asked.
            now_s: Present monotonic time.
            was_refused: Whether the server's address has refused the connection.
        """
        self._tried_s = now_s
        self._refusals = self._refusals + 1 if was_refused else 0
        has_ended = self._refusals >= REFUSALS_OF_ENDED_SERVER
        self.state = InstanceState.ENDED if has_ended else InstanceState.UNKNOWN
        self.reason, self.asked_s = reason, asked_s


@define
class WaitingTime:
    """Counts the time for which a server could respond."""

    # Monotonic time up to which it is counted.
    _counted_s: float
    waited_s: float = field(default=0.0, init=False)

    def on_tick(self, now_s: float) -> float:
        """Returns the time that was waited, but for times in which this host stood still."""
        self.waited_s += min(MAX_TICK_S, now_s - self._counted_s)
        self._counted_s = now_s
        return self.waited_s


def judge_end(state: InstanceState, waited_s: float, limit_s: float) -> EndVerdict | None:
    """Returns what the end of an answer is taken for, or None while the server may still respond.

    An end that stays in doubt is no proof that the answer is whole.

    Args:
        state: What is known of the server's instance since the end.
        waited_s: Time since the end.
        limit_s: Time after which the answer is given up.
    """
    if state is InstanceState.RUNNING:
        return EndVerdict.WHOLE
    if state is InstanceState.ENDED:
        return EndVerdict.BROKEN_OFF
    return EndVerdict.IN_DOUBT if waited_s >= limit_s else None

"""Segment crash history: prompt segments whose requests crash the engines that answer them.

A crash makes suspects of all shared segments that were in flight on the engine. A complete answer
clears its segments, since a segment that crashes engines never gets one. A segment is quarantined
once enough crashes speak against it; crashes that it explains then count against no other segment.
"""

from collections import OrderedDict, deque
from collections.abc import Sequence
from typing import Final, TypeVar

from attrs import define, field, frozen

# Time between the loss of an attempt and the sign that its server has ended; a server that is gone
# without a word keeps its entry in the store for some heartbeats.
CONFIRMATION_WINDOW_S: Final = 10.0
# Losses of one server within this time of each other belong to one crash, unless the server is
# known to have started again; reports of other hosts' losses may still arrive shortly after that.
SAME_CRASH_WINDOW_S: Final = 3.0
REPORT_WINDOW_S: Final = 1.0
# Most crashes, suspects, ended servers, quarantines and answered segments that are remembered.
MAX_CRASHES: Final = 256
MAX_SUSPECTS_PER_CRASH: Final = 1024
MAX_ENDED_SERVERS: Final = 1024
MAX_QUARANTINES: Final = 256
MAX_ANSWERED_SEGMENTS: Final = 8192
_Value = TypeVar("_Value")


@frozen
class RequiredEvidence:
    """How many crashes lead to a quarantine."""

    # Number of crashes, and the number if all are of one server, which may itself be faulty.
    crashes: int
    crashes_of_one_server: int
    # Fraction of all crashes since the first of them.
    crash_fraction: float


@frozen
class SegmentCrashLimits:
    """When a segment is quarantined, and for how long."""

    # Evidence required against a segment that was never answered, and against one that was.
    never_answered: RequiredEvidence = RequiredEvidence(
        crashes=3, crashes_of_one_server=5, crash_fraction=1.0 / 3.0
    )
    once_answered: RequiredEvidence = RequiredEvidence(
        crashes=4, crashes_of_one_server=8, crash_fraction=0.6
    )
    # Contents that must have been lost with the segment: a single one is suspected by itself.
    min_contents: int = 2
    # Least time between the first and the last crash. Engines that end together have a cause of
    # their own, such as a power loss.
    min_span_s: float = 0.0
    # Time after which crashes and answers are forgotten.
    retention_s: float = 600.0
    # Duration of a quarantine. For as long after it, one more crash renews it.
    quarantine_s: float = 600.0


@frozen
class LostAttempt:
    """An attempt whose connection ended before its answer was complete."""

    # Name of the engine.
    backend: str
    # Hash of the content of the request.
    fingerprint: str
    # Ids of the shared segments of the prompt, in order.
    segments: tuple[str, ...]


@frozen
class Quarantine:
    """A segment whose requests are refused."""

    segment: str
    # Time for which it is still refused.
    remaining_s: float


@define
class _Suspect:
    """A segment that was in flight on an engine when it crashed."""

    # Position in the prompt; a later segment is shared by fewer requests.
    position: int
    contents: set[str] = field(factory=set)


@define
class _Crash:
    """Attempts that were lost on one engine."""

    backend: str
    lost_s: float
    # Whether the engine has ended, rather than only the connections to it.
    is_confirmed: bool
    # Whether the engine has started again since, under the same name.
    has_restarted: bool = False
    suspects: dict[str, _Suspect] = field(factory=dict)


@define
class _Evidence:
    """What speaks against one segment."""

    segment: str
    position: int
    first_crash_s: float
    last_crash_s: float
    crash_count: int = 0
    contents: set[str] = field(factory=set)
    # Names of the engines.
    backends: set[str] = field(factory=set)


class SegmentCrashHistory:
    """Finds the segments that crash engines, from attempts lost on all hosts."""

    _limits: SegmentCrashLimits
    # All crashes, the oldest first, and the last one of each engine, which may crash repeatedly.
    _crashes: deque[_Crash]
    _last_crashes: dict[str, _Crash]
    # Monotonic times at which servers were found to have ended.
    _ended_s: dict[str, float]
    # Monotonic times of the last complete answer to a prompt with each segment.
    _answered_s: "OrderedDict[str, float]"
    # Monotonic times at which quarantines end, by segment, and until which a crash renews them.
    _quarantined_until_s: dict[str, float]
    _renewable_until_s: dict[str, float]
    # Whether there is evidence that `judge` has not considered.
    _has_new_evidence: bool

    def __init__(self, limits: SegmentCrashLimits) -> None:
        self._limits = limits
        self._crashes = deque()
        self._last_crashes = {}
        self._ended_s = {}
        self._answered_s = OrderedDict()
        self._quarantined_until_s = {}
        self._renewable_until_s = {}
        self._has_new_evidence = False

    def find_quarantined(self, segments: Sequence[str], now_s: float) -> Quarantine | None:
        """Returns the first of the segments that is quarantined, or None."""
        if not self._quarantined_until_s:
            return None
        for segment in segments:
            until_s = self._quarantined_until_s.get(segment, now_s)
            if until_s > now_s:
                return Quarantine(segment, until_s - now_s)
        return None

    def quarantines(self, now_s: float) -> list[Quarantine]:
        """Returns all quarantines."""
        return [
            Quarantine(segment, until_s - now_s)
            for segment, until_s in self._quarantined_until_s.items()
            if until_s > now_s
        ]

    def crash_count(self, segment: str) -> int:
        """Returns the number of crashes that speak against a segment."""
        return sum(
            crash.is_confirmed and self._is_suspect(segment, crash) for crash in self._crashes
        )

    def on_attempt_lost(self, attempt: LostAttempt, now_s: float) -> None:
        """Counts a lost attempt."""
        if not attempt.segments:
            return
        crash = self._last_crashes.get(attempt.backend)
        if crash is None or not _is_same_crash(crash, now_s):
            crash = self._begin_crash(attempt.backend, now_s)
        for position, segment in enumerate(attempt.segments):
            if segment not in crash.suspects and len(crash.suspects) >= MAX_SUSPECTS_PER_CRASH:
                continue
            suspect = crash.suspects.setdefault(segment, _Suspect(position))
            suspect.contents.add(attempt.fingerprint)
        self._has_new_evidence |= crash.is_confirmed

    def has_ended(self, backend: str, now_s: float) -> bool:
        """Tells whether a server is known to have ended since it last lost attempts."""
        crash = self._last_crashes.get(backend)
        if crash is not None and not crash.is_confirmed:
            return False
        return now_s - self._ended_s.get(backend, float("-inf")) <= CONFIRMATION_WINDOW_S

    def on_server_ended(self, backend: str, now_s: float) -> None:
        """Records that a server has ended, which confirms the crash in which attempts were lost."""
        self._ended_s.pop(backend, None)
        self._ended_s[backend] = now_s
        _drop_oldest(self._ended_s, MAX_ENDED_SERVERS)
        crash = self._last_crashes.get(backend)
        if crash is not None and now_s - crash.lost_s <= CONFIRMATION_WINDOW_S:
            self._has_new_evidence |= not crash.is_confirmed
            crash.is_confirmed = True

    def on_server_restarted(self, backend: str, now_s: float) -> None:
        """Records that a server has started again under its name: attempts may be lost anew."""
        self.on_server_ended(backend, now_s)
        crash = self._last_crashes.get(backend)
        if crash is not None and now_s - crash.lost_s <= CONFIRMATION_WINDOW_S:
            crash.has_restarted = True
            # The end of the former process confirms no loss of the present one.
            del self._ended_s[backend]

    def on_server_started(self, backend: str) -> None:
        """Records that a server has started again after its entry was removed."""
        self._ended_s.pop(backend, None)
        crash = self._last_crashes.get(backend)
        if crash is not None:
            crash.has_restarted = True

    def is_under_suspicion(self, segment: str, now_s: float) -> bool:
        """Tells whether a crash speaks against a segment, or it is quarantined."""
        return self.is_quarantined(segment, now_s) or any(
            self._is_suspect(segment, crash) for crash in self._crashes
        )

    def on_answered(self, segments: Sequence[str], now_s: float) -> tuple[str, ...]:
        """Clears the segments of a complete answer; returns those that were under suspicion."""
        cleared = tuple(segment for segment in segments if self.is_under_suspicion(segment, now_s))
        for segment in segments:
            self._answered_s[segment] = now_s
            self._answered_s.move_to_end(segment)
            self._renewable_until_s.pop(segment, None)
            self._quarantined_until_s.pop(segment, None)
            for crash in self._crashes:
                crash.suspects.pop(segment, None)
        while len(self._answered_s) > MAX_ANSWERED_SEGMENTS:
            self._answered_s.popitem(last=False)
        return cleared

    def on_reported_quarantine(self, reported: Quarantine, now_s: float) -> bool:
        """Takes over a quarantine from another host.

        Returns:
            False if complete answers on this host speak against it.
        """
        if self._is_refuted(reported, now_s):
            return False
        remaining_s = min(reported.remaining_s, self._limits.quarantine_s)
        until_s = self._quarantined_until_s.get(reported.segment, float("-inf"))
        self._quarantine(reported.segment, max(until_s, now_s + remaining_s))
        return True

    def start_quarantine(self, segment: str, now_s: float) -> Quarantine:
        """Quarantines a segment from now on and returns the quarantine."""
        self._quarantine(segment, now_s + self._limits.quarantine_s)
        return Quarantine(segment, self._limits.quarantine_s)

    def is_quarantined(self, segment: str, now_s: float) -> bool:
        """Tells whether a segment is quarantined."""
        return self._quarantined_until_s.get(segment, float("-inf")) > now_s

    def expire(self, now_s: float) -> list[str]:
        """Forgets what is over; returns the segments whose quarantine has ended."""
        oldest_s = now_s - self._limits.retention_s
        while self._crashes and self._crashes[0].lost_s < oldest_s:
            self._forget_oldest_crash()
        while self._answered_s and next(iter(self._answered_s.values())) < oldest_s:
            self._answered_s.popitem(last=False)
        _drop_ended(self._renewable_until_s, now_s)
        ended = _drop_ended(self._quarantined_until_s, now_s)
        for segment in ended:
            self._renewable_until_s[segment] = now_s + self._limits.quarantine_s
        return ended

    def _is_refuted(self, reported: Quarantine, now_s: float) -> bool:
        """Tells whether this host has answered a segment and knows too little against it."""
        segment = reported.segment
        if segment not in self._answered_s or self.is_quarantined(segment, now_s):
            return False
        evidence = self._collect_evidence().get(segment)
        return evidence is None or not self._is_enough(evidence)

    def judge(self, now_s: float) -> Quarantine | None:
        """Quarantines the segment against which most speaks, if that is enough, and returns it.

        Called once a tick: a crash can lose many attempts, and all evidence is weighed anew.
        """
        if not self._has_new_evidence:
            return None
        self._has_new_evidence = False
        evidence = [each for each in self._collect_evidence().values() if self._is_enough(each)]
        if not evidence:
            return None
        evidence.sort(key=self._rank, reverse=True)
        worst = evidence[0]
        rivals = [each for each in evidence[1:] if self._rank(each)[:2] == self._rank(worst)[:2]]
        if rivals and worst.crash_count <= self._required_crashes(worst):
            # The next crash tells which of them it is.
            return None
        return self.start_quarantine(worst.segment, now_s)

    def _rank(self, evidence: _Evidence) -> tuple[bool, int, int, str]:
        """Returns a sort key that is higher the more likely the segment is the cause."""
        was_never_answered = evidence.segment not in self._answered_s
        return was_never_answered, evidence.crash_count, evidence.position, evidence.segment

    def _is_enough(self, evidence: _Evidence) -> bool:
        """Tells whether a segment may be quarantined on what speaks against it."""
        if evidence.segment in self._renewable_until_s:
            return True
        if (
            evidence.crash_count < self._required_crashes(evidence)
            or len(evidence.contents) < self._limits.min_contents
            or evidence.last_crash_s - evidence.first_crash_s < self._limits.min_span_s
        ):
            return False
        crashes_since = sum(
            crash.is_confirmed
            and crash.lost_s >= evidence.first_crash_s
            and not self._is_explained(crash)
            for crash in self._crashes
        )
        required = self._required_evidence(evidence.segment)
        return evidence.crash_count >= crashes_since * required.crash_fraction

    def _required_crashes(self, evidence: _Evidence) -> int:
        required = self._required_evidence(evidence.segment)
        return required.crashes if len(evidence.backends) > 1 else required.crashes_of_one_server

    def _required_evidence(self, segment: str) -> RequiredEvidence:
        is_answered = segment in self._answered_s
        return self._limits.once_answered if is_answered else self._limits.never_answered

    def _collect_evidence(self) -> dict[str, _Evidence]:
        evidence: dict[str, _Evidence] = {}
        for crash in self._crashes:
            if not crash.is_confirmed:
                continue
            for segment, suspect in crash.suspects.items():
                if self._is_suspect(segment, crash):
                    against = evidence.setdefault(
                        segment, _Evidence(segment, suspect.position, crash.lost_s, crash.lost_s)
                    )
                    against.last_crash_s = crash.lost_s
                    against.crash_count += 1
                    against.contents |= suspect.contents
                    against.backends.add(crash.backend)
        return evidence

    def _begin_crash(self, backend: str, now_s: float) -> _Crash:
        ended_s = self._ended_s.get(backend, float("-inf"))
        crash = _Crash(backend, now_s, now_s - ended_s <= SAME_CRASH_WINDOW_S)
        self._crashes.append(crash)
        self._last_crashes[backend] = crash
        if len(self._crashes) > MAX_CRASHES:
            self._forget_oldest_crash()
        return crash

    def _forget_oldest_crash(self) -> None:
        crash = self._crashes.popleft()
        if self._last_crashes[crash.backend] is crash:
            del self._last_crashes[crash.backend]

    def _is_suspect(self, segment: str, crash: _Crash) -> bool:
        """Tells whether a crash speaks against a segment."""
        return (
            segment in crash.suspects
            and self._answered_s.get(segment, float("-inf")) < crash.lost_s
            and not self._is_explained(crash)
        )

    def _is_explained(self, crash: _Crash) -> bool:
        return any(segment in self._quarantined_until_s for segment in crash.suspects)

    def _quarantine(self, segment: str, until_s: float) -> None:
        self._renewable_until_s.pop(segment, None)
        self._quarantined_until_s[segment] = until_s
        _drop_oldest(self._quarantined_until_s, MAX_QUARANTINES)


def _is_same_crash(crash: _Crash, now_s: float) -> bool:
    """Tells whether an attempt that is lost on the engine now belongs to its last crash."""
    window_s = REPORT_WINDOW_S if crash.has_restarted else SAME_CRASH_WINDOW_S
    return now_s - crash.lost_s <= window_s


def _drop_oldest(entries: dict[str, _Value], max_count: int) -> None:
    while len(entries) > max_count:
        del entries[next(iter(entries))]


def _drop_ended(until_s: dict[str, float], now_s: float) -> list[str]:
    """Removes the entries whose time is over, and returns their keys."""
    ended = [key for key, end_s in until_s.items() if end_s <= now_s]
    for key in ended:
        del until_s[key]
    return ended

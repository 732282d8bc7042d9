"""Applies what attempts say about what crashes servers, and shares it with other hosts.

Suspects are the shared segments of prompts and, at all servers, whole contents. The histories,
datagrams and records hold a content as a segment whose id no prompt can have.
"""

from collections.abc import Callable, Sequence
from typing import Final

import logbook

from berylquay.decisions.arrival_bounds import ArrivalBounds
from berylquay.decisions.attempt_outcomes import AttemptOutcome
from berylquay.decisions.crash_history import CrashHistory
from berylquay.decisions.relay_call import RelayCall
from berylquay.decisions.segment_crash_history import (
    LostAttempt,
    Quarantine,
    RequiredEvidence,
    SegmentCrashHistory,
    SegmentCrashLimits,
)
from berylquay.net.tcp_connections import CONNECTION_REFUSED
from berylquay.relay.crash_reports import (
    CrashReport,
    PendingCrashReport,
    decode_crash_report,
    encode_crash_report,
)
from berylquay.relay.metrics import RelayMetrics

MS_PER_S: Final = 1000.0
# An answer that has been arriving for this long shows that its segments did not crash the engine.
HARMLESS_AFTER_S: Final = 1.0
# Interval at which each host repeats its quarantines, for each host that receives them, and the
# shortest one: a host that starts learns them in time, at a cost that does not grow with the fleet.
REPEAT_INTERVAL_PER_HOST_S: Final = 0.25
MIN_REPEAT_INTERVAL_S: Final = 1.0
# What the id of a content begins with; that of a prompt's segment has no colon.
CONTENT_PREFIX: Final = "content:"
CONTENT_LIMITS: Final = SegmentCrashLimits(
    never_answered=RequiredEvidence(crashes=3, crashes_of_one_server=5, crash_fraction=0.1),
    once_answered=RequiredEvidence(crashes=4, crashes_of_one_server=6, crash_fraction=0.6),
    min_contents=1,
    min_span_s=1.0,
)
_log = logbook.Logger("segment-crashes")


class SegmentCrashHandler:
    """Feeds the history, logs each change, and tells the other hosts."""

    _history: SegmentCrashHistory
    # The same for whole contents. Only the entry of a server that is gone or of another start
    # confirms a crash: a host that is cut off loses attempts at many servers, and is refused.
    _content_history: SegmentCrashHistory
    # Losses by content that may or may not be crashes, which other hosts report as well.
    _crash_history: CrashHistory
    _metrics: RelayMetrics
    # Sends a datagram to all hosts of the fleet, and to those that exchange load reports.
    _send_to_all: Callable[[bytes], None]
    _send_to_group: Callable[[bytes], None]
    # Called with each segment that this host has found to crash engines, or to be harmless after
    # all, and whether it is quarantined.
    _save: Callable[[str, bool], None]
    # Returns the number of hosts that exchange load reports with this one.
    _get_group_size: Callable[[], int]
    _pending: PendingCrashReport
    _last_repeat_s: float

    def __init__(
        self,
        history: SegmentCrashHistory,
        crash_history: CrashHistory,
        metrics: RelayMetrics,
        *,
        send_to_all: Callable[[bytes], None],
        send_to_group: Callable[[bytes], None],
        save: Callable[[str, bool], None],
        get_group_size: Callable[[], int],
    ) -> None:
        self._history = history
        self._content_history = SegmentCrashHistory(CONTENT_LIMITS)
        self._crash_history = crash_history
        self._metrics = metrics
        self._send_to_all = send_to_all
        self._send_to_group = send_to_group
        self._save = save
        self._get_group_size = get_group_size
        self._pending = PendingCrashReport()
        self._last_repeat_s = float("-inf")

    def find_quarantined(self, call: RelayCall, now_s: float) -> Quarantine | None:
        """Returns the quarantine of a call's content or of a segment of its prompt, or None."""
        content = self._content_history.find_quarantined((_content_id(call),), now_s)
        return content or self._history.find_quarantined(call.shared_segment_ids, now_s)

    def on_attempt_failed(
        self,
        call: RelayCall,
        backend: str,
        outcome: AttemptOutcome,
        detail: str,
        *,
        wrote_s: float | None,
        now_s: float,
    ) -> None:
        """Records a failed run.

        Args:
            call: The call.
            backend: Name of the server.
            outcome: How the attempt ended.
            detail: Reason of the failure.
            wrote_s: Time for which the answer had been arriving, or None if it had not begun to.
            now_s: Present time.
        """
        if detail == CONNECTION_REFUSED and not self._history.has_ended(backend, now_s):
            self._pending.ended.append(backend)
            self.on_server_ended(backend, now_s)
        if outcome is AttemptOutcome.CONNECTION_LOST and (wrote_s or 0.0) < HARMLESS_AFTER_S:
            attempt = LostAttempt(backend, call.fingerprint, call.shared_segment_ids)
            self._pending.lost.append(attempt)
            self._count_loss(attempt, now_s)

    def on_server_ended(self, backend: str, now_s: float) -> None:
        """Records that a server has ended."""
        self._history.on_server_ended(backend, now_s)

    def on_entry_ended(self, backend: str, *, restarted: bool, now_s: float) -> None:
        """Records that the entry of a server is gone, or is of a new start under the same name."""
        if restarted:
            self._crash_history.on_server_restarted(backend, now_s)
        for history in (self._history, self._content_history):
            if restarted:
                history.on_server_restarted(backend, now_s)
            else:
                history.on_server_ended(backend, now_s)

    def on_server_back(self, backend: str, now_s: float) -> None:
        """Records that a server has started again after its entry was removed."""
        self._crash_history.on_server_restarted(backend, now_s)
        for history in (self._history, self._content_history):
            history.on_server_started(backend)

    def on_answered(self, call: RelayCall, now_s: float) -> None:
        """Records a complete answer, which clears the segments of the prompt."""
        self._remove_stored(call.shared_segment_ids, now_s)
        cleared = self._history.on_answered(call.shared_segment_ids, now_s)
        if cleared:
            _log.info("segments cleared", segments=list(cleared), source="answer")
            self._pending.cleared += cleared

    def on_content_answered(self, call: RelayCall, now_s: float) -> None:
        """Records that a server has run a call to its end, which clears its content."""
        content = _content_id(call)
        if self._content_history.is_under_suspicion(content, now_s):
            self._remove_stored((content,), now_s)
            self._content_history.on_answered((content,), now_s)
            _log.info("segments cleared", segments=[content], source="answer")
            self._pending.cleared.append(content)

    def quarantined_segments(self, now_s: float) -> list[str]:
        """Returns the ids of all quarantined segments and contents."""
        return [each.segment for each in self._quarantines(now_s)]

    def on_stored_quarantines(self, segments: list[str], now_s: float) -> None:
        """Takes over quarantines from before the start, and passes them on."""
        for segment in segments:
            quarantine = self._history_of(segment).start_quarantine(segment, now_s)
            self._record(quarantine, "store")
            self._pending.quarantines.append(quarantine)

    def on_datagram(self, data: bytes, arrival: ArrivalBounds) -> None:
        """Applies the report of another host."""
        report = decode_crash_report(data)
        if report is None:
            _log.warning("unreadable crash report", size_bytes=len(data))
            return
        self._apply_report(report, arrival)

    def on_tick(self, now_s: float) -> None:
        """Weighs new evidence, sends what is to be told, and ends quarantines that are over."""
        for history in (self._history, self._content_history):
            for segment in history.expire(now_s):
                _log.info("segment quarantine ended", segment=segment)
                self._save(segment, False)
            found = history.judge(now_s)
            if found is not None:
                self._record(found, "crashes")
                self._save(found.segment, True)
                self._pending.quarantines.append(found)
        report = self._pending.take()
        if report is not None:
            self._send_to_all(encode_crash_report(report))
        self._repeat_quarantines(now_s)

    def _repeat_quarantines(self, now_s: float) -> None:
        """Tells the group the quarantines again, for hosts that have started since."""
        interval_s = max(MIN_REPEAT_INTERVAL_S, REPEAT_INTERVAL_PER_HOST_S * self._get_group_size())
        if now_s - self._last_repeat_s < interval_s:
            return
        self._last_repeat_s = now_s
        quarantines = self._quarantines(now_s)
        if quarantines:
            self._send_to_group(encode_crash_report(CrashReport(quarantines=tuple(quarantines))))

    def _apply_report(self, report: CrashReport, arrival: ArrivalBounds) -> None:
        now_s = arrival.latest_s
        if report.cleared:
            self._remove_stored(report.cleared, now_s)
            for segment in report.cleared:
                self._history_of(segment).on_answered((segment,), now_s)
                if is_content(segment):
                    self._crash_history.clear(segment.removeprefix(CONTENT_PREFIX))
            _log.info("segments cleared", segments=list(report.cleared), source="host")
        for attempt in report.lost:
            self._crash_history.on_crash(attempt.backend, frozenset({attempt.fingerprint}), now_s)
            self._count_loss(attempt, now_s)
        for backend in report.ended:
            self.on_server_ended(backend, now_s)
        for quarantine in report.quarantines:
            history = self._history_of(quarantine.segment)
            is_new = not history.is_quarantined(quarantine.segment, now_s)
            # The remaining time that the sender states has passed in the queue as well.
            if not history.on_reported_quarantine(quarantine, arrival.earliest_s):
                self._pending.cleared.append(quarantine.segment)
            elif is_new:
                self._record(quarantine, "host")

    def _count_loss(self, attempt: LostAttempt, now_s: float) -> None:
        self._history.on_attempt_lost(attempt, now_s)
        content = CONTENT_PREFIX + attempt.fingerprint
        self._content_history.on_attempt_lost(
            LostAttempt(attempt.backend, attempt.fingerprint, (content,)), now_s
        )

    def _history_of(self, segment: str) -> SegmentCrashHistory:
        return self._content_history if is_content(segment) else self._history

    def _quarantines(self, now_s: float) -> list[Quarantine]:
        return self._history.quarantines(now_s) + self._content_history.quarantines(now_s)

    def _remove_stored(self, segments: Sequence[str], now_s: float) -> None:
        """Removes quarantines that an answer has refuted from the store."""
        for segment in segments:
            if self._history_of(segment).is_quarantined(segment, now_s):
                self._save(segment, False)

    def _record(self, quarantine: Quarantine, source: str) -> None:
        self._metrics.on_segment_quarantined(source)
        _log.warning(
            "segment is quarantined",
            segment=quarantine.segment,
            source=source,
            left_ms=round(quarantine.remaining_s * MS_PER_S),
        )


def is_content(segment: str) -> bool:
    """Tells whether an id is that of a content, rather than of a prompt's segment."""
    return segment.startswith(CONTENT_PREFIX)


def _content_id(call: RelayCall) -> str:
    return CONTENT_PREFIX + call.fingerprint

"""Reports between hosts on attempts lost with their engines, and on quarantined segments."""

from typing import Final

from attrs import define, field, frozen

from berylquay.decisions.segment_crash_history import LostAttempt, Quarantine
from berylquay.relay.report_fields import (
    FIELD_ERRORS,
    compress_fields,
    decode_time_ms,
    decompress_fields,
)

# First byte of the datagram.
CRASH_REPORT_TAG: Final = b"\x05"
MS_PER_S: Final = 1000.0
# Entries of each list in one datagram, so that it is never fragmented into more than a few packets.
MAX_ENTRIES_PER_REPORT: Final = 48


@frozen
class CrashReport:
    """What one host tells the others about crashes of engines."""

    # Attempts that were lost on engines.
    lost: tuple[LostAttempt, ...] = ()
    # Servers to which no connection can be made any more.
    ended: tuple[str, ...] = ()
    # Segments that were under suspicion and got a complete answer.
    cleared: tuple[str, ...] = ()
    quarantines: tuple[Quarantine, ...] = ()


@define
class PendingCrashReport:
    """What is to be told to the other hosts with the next report."""

    lost: list[LostAttempt] = field(factory=list)
    ended: list[str] = field(factory=list)
    cleared: list[str] = field(factory=list)
    quarantines: list[Quarantine] = field(factory=list)

    def take(self) -> CrashReport | None:
        """Returns the next report, or None if there is nothing to tell."""
        if not (self.lost or self.ended or self.cleared or self.quarantines):
            return None
        count = MAX_ENTRIES_PER_REPORT
        report = CrashReport(
            tuple(self.lost[:count]),
            tuple(self.ended[:count]),
            tuple(self.cleared[:count]),
            tuple(self.quarantines[:count]),
        )
        del self.lost[:count], self.ended[:count], self.cleared[:count], self.quarantines[:count]
        return report


def encode_crash_report(report: CrashReport) -> bytes:
    """Returns the report as a datagram."""
    return CRASH_REPORT_TAG + compress_fields(
        [
            [[loss.backend, loss.fingerprint, list(loss.segments)] for loss in report.lost],
            list(report.ended),
            list(report.cleared),
            [[each.segment, round(each.remaining_s * MS_PER_S)] for each in report.quarantines],
        ]
    )


def decode_crash_report(data: bytes) -> CrashReport | None:
    """Returns the report, or None if the datagram is not a complete report."""
    try:
        lost, ended, cleared, quarantines = decompress_fields(data[len(CRASH_REPORT_TAG) :])
        return CrashReport(
            tuple(_decode_lost_attempt(item) for item in _as_list(lost)),
            tuple(str(name) for name in _as_list(ended)),
            tuple(str(segment) for segment in _as_list(cleared)),
            tuple(_decode_quarantine(item) for item in _as_list(quarantines)),
        )
    except FIELD_ERRORS:
        return None


def _decode_lost_attempt(item: object) -> LostAttempt:
    backend, fingerprint, segments = _as_list(item)
    return LostAttempt(
        str(backend), str(fingerprint), tuple(str(segment) for segment in _as_list(segments))
    )


def _decode_quarantine(item: object) -> Quarantine:
    segment, remaining_ms = _as_list(item)
    return Quarantine(str(segment), decode_time_ms(remaining_ms) / MS_PER_S)


def _as_list(value: object) -> list[object]:
    if not isinstance(value, list):
        raise TypeError("not a list")
    return value

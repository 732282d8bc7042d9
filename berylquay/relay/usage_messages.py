"""Datagrams between hosts about usage: counts for the collectors, and their answers."""

from collections.abc import Iterator, Mapping
from math import isfinite
from typing import Any, Final

from attrs import frozen

from berylquay.relay.report_fields import FIELD_ERRORS, compress_fields, decompress_fields

USAGE_TAG: Final = b"\x0b"
_COUNTS: Final = 0
_ANSWER: Final = 1
# Most bytes of the counts in one datagram, before compression; hosts receive up to 8,192 bytes.
MAX_COUNTS_BYTES: Final = 7400
# Bytes of an entry besides the tenant's name.
ENTRY_BYTES: Final = 8


@frozen
class UsageCounts:
    """Counts of one process in one window, all or a part of them."""

    host: str
    # Id of the process, which is another one after a restart.
    incarnation: str
    # The host's time without unconfirmed jumps, in seconds since 1970.
    time_s: float
    window_id: int
    # Whether the window had ended, and the sum of the counts of all parts.
    is_final: bool
    total: int
    counts: Mapping[str, int]


@frozen
class CollectorAnswer:
    """Answer of a host to counts."""

    host: str
    # As that of `UsageCounts`.
    time_s: float
    # Recent windows that the API has accepted.
    done: tuple[int, ...]


def encode_counts(message: UsageCounts) -> list[bytes]:
    """Returns the datagrams of a window's counts, at least one."""
    total = sum(message.counts.values())
    return [
        USAGE_TAG
        + compress_fields(
            [
                _COUNTS,
                message.host,
                message.incarnation,
                message.time_s,
                message.window_id,
                message.is_final,
                total,
                part,
            ]
        )
        for part in _split(message.counts)
    ]


def encode_answer(answer: CollectorAnswer) -> bytes:
    """Returns the answer as a datagram."""
    return USAGE_TAG + compress_fields([_ANSWER, answer.host, answer.time_s, list(answer.done)])


def decode_message(data: bytes) -> UsageCounts | CollectorAnswer | None:
    """Returns the message, or None if the datagram is not a complete one."""
    try:
        kind, *fields = decompress_fields(data[len(USAGE_TAG) :])
        return _decode_counts(fields) if kind == _COUNTS else _decode_answer(fields)
    except (*FIELD_ERRORS, OverflowError):
        return None


def _decode_counts(fields: list[Any]) -> UsageCounts:
    host, incarnation, time_s, window_id, is_final, total, counts = fields
    return UsageCounts(
        str(host),
        str(incarnation),
        _decode_time(time_s),
        int(window_id),
        bool(is_final),
        int(total),
        {str(tenant): int(number) for tenant, number in counts.items()},
    )


def _decode_time(value: object) -> float:
    """Returns a finite time; raises one of `FIELD_ERRORS` for other values."""
    if not isinstance(value, float | int) or not isfinite(value):
        raise ValueError(value)
    return float(value)


def _decode_answer(fields: list[Any]) -> CollectorAnswer:
    host, time_s, done = fields
    return CollectorAnswer(
        str(host), _decode_time(time_s), tuple(int(window_id) for window_id in done)
    )


def _split(counts: Mapping[str, int]) -> Iterator[dict[str, int]]:
    part: dict[str, int] = {}
    part_bytes = 0
    for tenant, number in counts.items():
        entry_bytes = len(tenant.encode()) + ENTRY_BYTES
        if part and part_bytes + entry_bytes > MAX_COUNTS_BYTES:
            yield part
            part, part_bytes = {}, 0
        part[tenant] = number
        part_bytes += entry_bytes
    yield part

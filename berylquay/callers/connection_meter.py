"""Request limits per caller connection, checked on the raw bytes before HTTP is parsed."""

import re
from enum import Enum
from typing import Final

from attrs import define, field

from berylquay.settings.host_options import CallerLimits

HEAD_END: Final = b"\r\n\r\n"
_CONTENT_LENGTH: Final = re.compile(rb"\r\ncontent-length:[ \t]*([^\r]*)(?=\r\n)", re.IGNORECASE)
_TRANSFER_ENCODING: Final = re.compile(rb"\r\ntransfer-encoding:", re.IGNORECASE)
# Percent-encoded control characters in the request target, which circuits.web would answer with a
# redirect.
_BAD_TARGET: Final = re.compile(rb"^\S+ \S*%(?:[01][0-9a-f]|7f)\S* ", re.IGNORECASE)


class RequestViolation(Enum):
    """The limit or rule that a request violates."""

    # The head of the request exceeds the limit.
    HEAD_TOO_LARGE = "head too large"
    # The body of the request, declared or received, exceeds the limit.
    BODY_TOO_LARGE = "body too large"
    # The declared length of the body is ambiguous or not a number.
    BAD_LENGTH = "bad length"
    # The request target contains percent-encoded control characters.
    BAD_TARGET = "bad target"
    # The request was not complete within the timeout.
    TOO_SLOW = "too slow"


VIOLATION_STATUS: Final = {
    RequestViolation.HEAD_TOO_LARGE: 431,
    RequestViolation.BODY_TOO_LARGE: 413,
    RequestViolation.BAD_LENGTH: 400,
    RequestViolation.BAD_TARGET: 400,
    RequestViolation.TOO_SLOW: 408,
}


@define
class ConnectionMeter:
    """Tracks how much of its current request one connection has sent."""

    # Monotonic time at which the current request began or, without one, the connection became idle.
    phase_started_s: float
    # Bytes received until the head was complete.
    head: bytearray = field(factory=bytearray)
    # Whether a request has begun and is not complete.
    is_receiving_request: bool = False
    # Whether the head is complete.
    head_complete: bool = False
    # Bytes of the body received so far.
    body_bytes: int = 0

    def on_bytes(self, data: bytes, limits: CallerLimits, now_s: float) -> RequestViolation | None:
        """Counts received bytes and returns the violation that they cause, or None."""
        if not self.is_receiving_request:
            self.is_receiving_request = True
            self.phase_started_s = now_s
        if self.head_complete:
            return self._count_body(len(data), limits)
        self.head += data
        return self._check_head(limits)

    def on_request_complete(self, now_s: float) -> None:
        """Resets the meter for the next request on the connection."""
        self.is_receiving_request = False
        self.head_complete = False
        self.head.clear()
        self.body_bytes = 0
        self.phase_started_s = now_s

    def is_overdue(self, limits: CallerLimits, now_s: float) -> bool:
        """Returns whether the request timeout, or the idle timeout between requests, has passed."""
        timeout_s = limits.request_timeout_s if self.is_receiving_request else limits.idle_timeout_s
        return now_s - self.phase_started_s >= timeout_s

    def _check_head(self, limits: CallerLimits) -> RequestViolation | None:
        head_end = self.head.find(HEAD_END)
        head_length = len(self.head) if head_end < 0 else head_end + len(HEAD_END)
        if head_length > limits.head_bytes:
            return RequestViolation.HEAD_TOO_LARGE
        if head_end < 0:
            return None
        self.head_complete = True
        bytes_after_head = len(self.head) - head_length
        if _BAD_TARGET.search(self.head):
            return RequestViolation.BAD_TARGET
        return _check_declared_length(bytes(self.head[:head_length]), limits) or self._count_body(
            bytes_after_head, limits
        )

    def _count_body(self, byte_count: int, limits: CallerLimits) -> RequestViolation | None:
        self.body_bytes += byte_count
        return RequestViolation.BODY_TOO_LARGE if self.body_bytes > limits.body_bytes else None


def _check_declared_length(head: bytes, limits: CallerLimits) -> RequestViolation | None:
    lengths = _CONTENT_LENGTH.findall(head)
    has_transfer_encoding = _TRANSFER_ENCODING.search(head) is not None
    if len(lengths) > 1 or (lengths and has_transfer_encoding):
        return RequestViolation.BAD_LENGTH
    if lengths and not lengths[0].strip().isdigit():
        return RequestViolation.BAD_LENGTH
    if lengths and int(lengths[0]) > limits.body_bytes:
        return RequestViolation.BODY_TOO_LARGE
    return None

"""Log lines of a relay host: JSON on standard output, bounded in volume and never blocking."""

import fcntl
import os
import sys
from typing import Final

import logbook

from berylquay.decisions.token_bucket import TokenBucket
from berylquay.logs import format_record

# Lines in a second in the long run, and at once; below what a busy host's calls make, above what it
# makes on an ordinary day.
LINES_PER_S: Final = 300.0
LINES_AT_ONCE: Final = 600.0
# Bytes that wait for a slow reader before lines are dropped.
WAITING_BYTES: Final = 1_000_000
STANDARD_OUTPUT: Final = 1


class LogLines(logbook.Handler):
    """Writes records as lines; what can't be written at once waits, up to a bound."""

    # Lines that were dropped since the start.
    dropped: int
    _rate: TokenBucket
    _clock_s: float
    # Bytes that wait.
    _waiting: bytearray
    # Lines dropped when the last summary was written.
    _reported: int

    def __init__(self, level: str) -> None:
        super().__init__(level=level.upper(), bubble=False)
        self.formatter = format_record
        self.dropped = 0
        self._rate = TokenBucket(LINES_PER_S, LINES_AT_ONCE)
        self._clock_s = 0.0
        self._waiting = bytearray()
        self._reported = 0
        flags = fcntl.fcntl(STANDARD_OUTPUT, fcntl.F_GETFL)
        fcntl.fcntl(STANDARD_OUTPUT, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def emit(self, record: logbook.LogRecord) -> None:
        """Takes one record."""
        urgent = record.level >= logbook.WARNING
        if not self._rate.has_token(self._clock_s) and not urgent:
            self.dropped += 1
            return
        if len(self._waiting) > WAITING_BYTES:
            self.dropped += 1
            return
        self._rate.take()
        self._waiting += self.format(record).encode("utf-8", "replace") + b"\n"

    def on_tick(self, now_s: float) -> None:
        """Writes what waits, and says how many lines were dropped."""
        self._clock_s = now_s
        self.flush()
        has_room = len(self._waiting) < WAITING_BYTES // 2
        if self.dropped > self._reported and has_room:
            dropped, self._reported = self.dropped - self._reported, self.dropped
            logbook.Logger("log-lines").warning("lines dropped", count=dropped)

    def flush(self) -> None:
        """Writes as much as standard output takes."""
        while self._waiting:
            try:
                written = os.write(STANDARD_OUTPUT, self._waiting)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                # Nobody reads any more: the lines are lost, which the metrics show.
                self.dropped += self._waiting.count(b"\n")
                self._waiting.clear()
                sys.stderr.write(f"standard output is gone: {error}\n")
                return
            del self._waiting[:written]

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
BURST_LINES: Final = 600.0
# Bytes that wait for a slow reader before lines are dropped.
MAX_BUFFERED_BYTES: Final = 1_000_000
STANDARD_OUTPUT: Final = 1


class StdoutLogHandler(logbook.Handler):
    """Writes records as lines; what can't be written at once waits, up to a bound."""

    # Lines that were dropped since the start.
    dropped_lines: int
    _rate_limit: TokenBucket
    _now_s: float
    # Bytes that wait.
    _buffer: bytearray
    # Lines dropped when the last summary was written.
    _reported_drops: int

    def __init__(self, level: str) -> None:
        super().__init__(level=level.upper(), bubble=False)
        self.formatter = format_record
        self.dropped_lines = 0
        self._rate_limit = TokenBucket(LINES_PER_S, BURST_LINES)
        self._now_s = 0.0
        self._buffer = bytearray()
        self._reported_drops = 0
        flags = fcntl.fcntl(STANDARD_OUTPUT, fcntl.F_GETFL)
        fcntl.fcntl(STANDARD_OUTPUT, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def emit(self, record: logbook.LogRecord) -> None:
        """Takes one record."""
        urgent = record.level >= logbook.WARNING
        if not self._rate_limit.has_token(self._now_s) and not urgent:
            self.dropped_lines += 1
            return
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            self.dropped_lines += 1
            return
        self._rate_limit.take()
        self._buffer += self.format(record).encode("utf-8", "replace") + b"\n"

    def on_tick(self, now_s: float) -> None:
        """Writes what waits, and says how many lines were dropped."""
        self._now_s = now_s
        self.flush()
        has_space = len(self._buffer) < MAX_BUFFERED_BYTES // 2
        if self.dropped_lines > self._reported_drops and has_space:
            dropped, self._reported_drops = (
                self.dropped_lines - self._reported_drops,
                self.dropped_lines,
            )
            logbook.Logger("log-lines").warning("lines dropped", count=dropped)

    def flush(self) -> None:
        """Writes as much as standard output takes."""
        while self._buffer:
            try:
                written = os.write(STANDARD_OUTPUT, self._buffer)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                # Nobody reads any more: the lines are lost, which the metrics show.
                self.dropped_lines += self._buffer.count(b"\n")
                self._buffer.clear()
                sys.stderr.write(f"standard output is gone: {error}\n")
                return
            del self._buffer[:written]

"""Log output of a relay host: JSON lines on standard output, rate-limited and non-blocking."""

import fcntl
import os
import sys
from typing import Final

import logbook

from berylquay.decisions.token_bucket import TokenBucket
from berylquay.json_logging import format_json_line

# Sustained rate and burst of log lines: below what the calls of a busy host produce, above what a
# host produces on an ordinary day.
LINES_PER_S: Final = 300.0
BURST_LINES: Final = 600.0
# Bytes buffered for a slow reader above which lines are dropped.
MAX_BUFFERED_BYTES: Final = 1_000_000
STDOUT_FD: Final = 1


class StdoutLogHandler(logbook.Handler):
    """Writes records as lines; buffers, up to a limit, what can't be written at once."""

    # Lines dropped since the start.
    dropped_lines: int
    _rate_limit: TokenBucket
    _now_s: float
    # Formatted lines that are not written yet.
    _buffer: bytearray
    # Value of `dropped_lines` when the last warning about it was logged.
    _reported_drops: int

    def __init__(self, level: str) -> None:
        super().__init__(level=level.upper(), bubble=False)
        self.formatter = format_json_line
        self.dropped_lines = 0
        self._rate_limit = TokenBucket(LINES_PER_S, BURST_LINES)
        self._now_s = 0.0
        self._buffer = bytearray()
        self._reported_drops = 0
        flags = fcntl.fcntl(STDOUT_FD, fcntl.F_GETFL)
        fcntl.fcntl(STDOUT_FD, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def emit(self, record: logbook.LogRecord) -> None:
        """Buffers a record, or drops it over a limit; the rate limit spares warnings and errors."""
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
        """Writes buffered lines, and logs a warning with the number of newly dropped lines."""
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
        """Writes as much of the buffer as standard output accepts without blocking."""
        while self._buffer:
            try:
                written = os.write(STDOUT_FD, self._buffer)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                # The reader is gone: the lines are lost and counted as dropped in the metrics.
                self.dropped_lines += self._buffer.count(b"\n")
                self._buffer.clear()
                sys.stderr.write(f"standard output is gone: {error}\n")
                return
            del self._buffer[:written]

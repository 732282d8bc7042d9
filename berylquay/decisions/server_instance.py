"""Incarnations of backend servers."""

from typing import Final

from attrs import frozen

# Most by which the clock of a server may be ahead of a host's.
CLOCK_TOLERANCE_MS: Final = 1000
# Most by which an entry may come after its start, also in an outage of the store. A start that is
# older is by another clock than this host's.
MAX_ENTRY_DELAY_MS: Final = 120_000


@frozen
class ServerInstance:
    """One incarnation of a backend server."""

    name: str
    # Start time in Unix milliseconds; 0 if unknown.
    started_unix_ms: int

    def may_answer(self, sent_unix_ms: int, tolerance_ms: int = CLOCK_TOLERANCE_MS) -> bool:
        """Tells whether this incarnation may have answered a request before its entry was known.

        Args:
            sent_unix_ms: Unix time at which the request was sent, to what the entry of the
                incarnation before says.
            tolerance_ms: Most by which the server's clock may be ahead.
        """
        return -tolerance_ms <= sent_unix_ms - self.started_unix_ms <= MAX_ENTRY_DELAY_MS

"""Health of backend servers from this host's own evidence: connections and answers.

Answers to health checks are not asked for: they may be false either way, and each one costs.
"""

from typing import Final

from attrs import define, frozen

# Weight of the newest outcome in the failure rate.
NEWEST_WEIGHT: Final = 0.15


@frozen
class HealthLimits:
    """When a backend server is left alone, and for how long."""

    # Time for which a backend server is left alone after it could not be reached.
    first_pause_s: float = 0.5
    # Longest such time; it doubles with each failure in a row.
    longest_pause_s: float = 4.0
    # Time for which another host's word that a backend server is silent counts.
    suspicion_s: float = 1.5


@define
class _Record:
    """What this host has seen of one backend server."""

    # Failures in a row to reach it.
    unreachable: int = 0
    # Monotonic time until which it is left alone.
    paused_until_s: float = 0.0
    # Share of recent requests that failed there.
    failure_rate: float = 0.0
    # Monotonic time of its last sign of life.
    heard_s: float = float("-inf")
    # Monotonic time until which another host's word that it is silent counts.
    suspected_until_s: float = 0.0


class BackendHealth:
    """What this host believes of each backend server."""

    _limits: HealthLimits
    _records: dict[str, _Record]

    def __init__(self, limits: HealthLimits) -> None:
        self._limits = limits
        self._records = {}

    def is_paused(self, name: str, now_s: float) -> bool:
        """Tells whether the backend server should be left alone now."""
        record = self._records.get(name)
        return record is not None and now_s < record.paused_until_s

    def failure_rate(self, name: str) -> float:
        """Returns the share of recent requests that failed at the backend server."""
        record = self._records.get(name)
        return 0.0 if record is None else record.failure_rate

    def on_unreachable(self, name: str, now_s: float) -> float:
        """Takes a failed connection; returns for how long the backend server is left alone."""
        record = self._records.setdefault(name, _Record())
        pause_s: float = min(
            self._limits.longest_pause_s, self._limits.first_pause_s * 2.0**record.unreachable
        )
        record.unreachable += 1
        record.paused_until_s = now_s + pause_s
        self._note(record, 1.0)
        return pause_s

    def on_suspected(self, name: str, now_s: float) -> None:
        """Takes another host's word that a backend server is silent.

        The other host may be cut off itself: the word makes this host impatient, no more.
        """
        record = self._records.setdefault(name, _Record())
        record.suspected_until_s = now_s + self._limits.suspicion_s

    def is_suspected(self, name: str, now_s: float) -> bool:
        """Tells whether another host found the backend server silent a moment ago."""
        record = self._records.get(name)
        return record is not None and now_s < record.suspected_until_s

    def on_failed(self, name: str) -> None:
        """Takes a request that failed at the backend server."""
        self._note(self._records.setdefault(name, _Record()), 1.0)

    def on_heard(self, name: str, now_s: float) -> None:
        """Takes a sign of life."""
        self._records.setdefault(name, _Record()).heard_s = now_s

    def was_heard_since(self, name: str, since_s: float) -> bool:
        """Tells whether the backend server gave a sign of life since then."""
        record = self._records.get(name)
        return record is not None and record.heard_s >= since_s

    def on_answered(self, name: str, now_s: float) -> None:
        """Takes a good answer."""
        self.on_heard(name, now_s)
        record = self._records[name]
        record.unreachable = 0
        record.paused_until_s = 0.0
        self._note(record, 0.0)

    def forget(self, name: str) -> None:
        """Drops what is known of a backend server that is gone or has restarted."""
        self._records.pop(name, None)

    def _note(self, record: _Record, failed: float) -> None:
        record.failure_rate += NEWEST_WEIGHT * (failed - record.failure_rate)

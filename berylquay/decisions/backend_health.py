"""Health of backend servers from this host's own evidence: connections and answers.

Answers to health checks are not asked for: they may be false either way, and each one costs.
"""

from typing import Final

from attrs import define, frozen

# Weight of the newest outcome in the failure rate.
SMOOTHING_FACTOR: Final = 0.15


@frozen
class HealthOptions:
    """When a backend server is left alone, and for how long."""

    # Time for which a backend server is left alone after it could not be reached.
    initial_backoff_s: float = 0.5
    # Longest such time; it doubles with each failure in a row.
    max_backoff_s: float = 4.0
    # Time for which another host's word that a backend server is silent counts.
    peer_report_ttl_s: float = 1.5


@define
class _ServerHealth:
    """What this host has seen of one backend server."""

    # Failures in a row to reach it.
    connect_failures: int = 0
    # Monotonic time until which it is left alone.
    backoff_until_s: float = 0.0
    # Share of recent requests that failed there.
    failure_rate: float = 0.0
    # Monotonic time of its last sign of life.
    last_activity_s: float = float("-inf")
    # Monotonic time until which another host's word that it is silent counts.
    reported_unresponsive_until_s: float = 0.0


class BackendHealth:
    """What this host believes of each backend server."""

    _options: HealthOptions
    _records: dict[str, _ServerHealth]

    def __init__(self, limits: HealthOptions) -> None:
        self._options = limits
        self._records = {}

    def is_backing_off(self, name: str, now_s: float) -> bool:
        """Tells whether the backend server should be left alone now."""
        record = self._records.get(name)
        return record is not None and now_s < record.backoff_until_s

    def failure_rate(self, name: str) -> float:
        """Returns the share of recent requests that failed at the backend server."""
        record = self._records.get(name)
        return 0.0 if record is None else record.failure_rate

    def on_unreachable(self, name: str, now_s: float) -> float:
        """Takes a failed connection; returns for how long the backend server is left alone."""
        record = self._records.setdefault(name, _ServerHealth())
        backoff_s: float = min(
            self._options.max_backoff_s,
            self._options.initial_backoff_s * 2.0**record.connect_failures,
        )
        record.connect_failures += 1
        record.backoff_until_s = now_s + backoff_s
        self._update_failure_rate(record, 1.0)
        return backoff_s

    def on_reported_unresponsive(self, name: str, now_s: float) -> None:
        """Takes another host's word that a backend server is silent.

        The other host may be cut off itself: the word makes this host impatient, no more.
        """
        record = self._records.setdefault(name, _ServerHealth())
        record.reported_unresponsive_until_s = now_s + self._options.peer_report_ttl_s

    def is_reported_unresponsive(self, name: str, now_s: float) -> bool:
        """Tells whether another host found the backend server silent a moment ago."""
        record = self._records.get(name)
        return record is not None and now_s < record.reported_unresponsive_until_s

    def on_failed(self, name: str) -> None:
        """Takes a request that failed at the backend server."""
        self._update_failure_rate(self._records.setdefault(name, _ServerHealth()), 1.0)

    def on_activity(self, name: str, now_s: float) -> None:
        """Takes a sign of life."""
        self._records.setdefault(name, _ServerHealth()).last_activity_s = now_s

    def was_active_since(self, name: str, since_s: float) -> bool:
        """Tells whether the backend server gave a sign of life since then."""
        record = self._records.get(name)
        return record is not None and record.last_activity_s >= since_s

    def on_answered(self, name: str, now_s: float) -> None:
        """Takes a good answer."""
        self.on_activity(name, now_s)
        record = self._records[name]
        record.connect_failures = 0
        record.backoff_until_s = 0.0
        self._update_failure_rate(record, 0.0)

    def forget(self, name: str) -> None:
        """Drops what is known of a backend server that is gone or has restarted."""
        self._records.pop(name, None)

    def _update_failure_rate(self, record: _ServerHealth, failed: float) -> None:
        record.failure_rate += SMOOTHING_FACTOR * (failed - record.failure_rate)

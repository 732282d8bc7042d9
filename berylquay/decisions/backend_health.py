"""Passive health checks of backend servers, from the outcomes of connections and requests.

There are no active health checks: their answers may be false either way, and each one costs.
"""

from typing import Final

from attrs import define, frozen

# Weight of the newest outcome in the failure rate.
SMOOTHING_FACTOR: Final = 0.15


@frozen
class HealthOptions:
    """When requests to a backend server back off, and for how long."""

    # Backoff after the first failure to connect to a backend server.
    initial_backoff_s: float = 0.5
    # Longest backoff; it doubles with each consecutive failure.
    max_backoff_s: float = 4.0
    # Time for which another host's report of an unresponsive backend server is valid.
    peer_report_ttl_s: float = 1.5
    # Backoff after another server has answered at the address, and the longest; it doubles too.
    initial_misdirected_backoff_s: float = 5.0
    max_misdirected_backoff_s: float = 40.0
    # Time for which another host's report of such a server is valid; it is repeated every second.
    misdirected_report_ttl_s: float = 2.5


@define
class _ServerHealth:
    """Health of one backend server as seen from this host."""

    # Consecutive failures to connect.
    connect_failures: int = 0
    # Monotonic time at which the backoff ends.
    backoff_until_s: float = 0.0
    # Smoothed fraction of recent requests and connections that failed.
    failure_rate: float = 0.0
    # Monotonic time from which its present start is known; earlier requests may be at another one.
    known_since_s: float = float("-inf")
    # Monotonic time at which it was last seen active.
    last_activity_s: float = float("-inf")
    # Monotonic time until which another host's report that it is unresponsive is valid.
    reported_unresponsive_until_s: float = 0.0
    # Consecutive requests that the server at the address refused, as it is another one or has
    # another role, and monotonic times at which the backoff from it ends: this host's own, and that
    # of the newest report of another host.
    misdirected_requests: int = 0
    misdirected_until_s: float = 0.0
    reported_misdirected_until_s: float = 0.0


class BackendHealth:
    """Health of all backend servers as seen from this host."""

    _options: HealthOptions
    _health_by_name: dict[str, _ServerHealth]

    def __init__(self, options: HealthOptions) -> None:
        self._options = options
        self._health_by_name = {}

    def is_backing_off(self, name: str, now_s: float) -> bool:
        """Tells whether no new requests should be sent to the backend server now."""
        health = self._health_by_name.get(name)
        return health is not None and now_s < max(
            health.backoff_until_s, health.misdirected_until_s, health.reported_misdirected_until_s
        )

    def failure_rate(self, name: str) -> float:
        """Returns the smoothed failure rate of the backend server, from 0 to 1."""
        health = self._health_by_name.get(name)
        return 0.0 if health is None else health.failure_rate

    def on_unreachable(self, name: str, now_s: float) -> float:
        """Records a failure to connect and returns the backoff."""
        health = self._health_by_name.setdefault(name, _ServerHealth())
        backoff_s: float = min(
            self._options.max_backoff_s,
            self._options.initial_backoff_s * 2.0**health.connect_failures,
        )
        health.connect_failures += 1
        health.backoff_until_s = now_s + backoff_s
        self._update_failure_rate(health, 1.0)
        return backoff_s

    def end_backoff(self, name: str) -> None:
        """Ends the backoff from a backend server, as it was not the server that failed."""
        health = self._health_by_name.get(name)
        if health is not None:
            health.connect_failures = 0
            health.backoff_until_s = 0.0

    def on_misdirected(self, name: str, now_s: float) -> float:
        """Records that the server at the address is not the one of the entry; returns the backoff.

        It may also have another role than the entry says. Either way the entry is outdated, and the
        backoff ends when it changes.
        """
        health = self._health_by_name.setdefault(name, _ServerHealth())
        backoff_s: float = min(
            self._options.max_misdirected_backoff_s,
            self._options.initial_misdirected_backoff_s * 2.0**health.misdirected_requests,
        )
        health.misdirected_requests += 1
        health.misdirected_until_s = now_s + backoff_s
        return backoff_s

    def on_reported_misdirected(self, name: str, now_s: float) -> None:
        """Records a report from another host that another server answers at the address."""
        health = self._health_by_name.setdefault(name, _ServerHealth())
        health.reported_misdirected_until_s = now_s + self._options.misdirected_report_ttl_s

    def misdirected_servers(self, now_s: float) -> list[str]:
        """Returns the servers at whose addresses this host itself has found other ones."""
        return [
            name
            for name, health in self._health_by_name.items()
            if now_s < health.misdirected_until_s
        ]

    def on_entry_changed(self, name: str) -> None:
        """Ends the backoff from a server whose entry was outdated."""
        health = self._health_by_name.get(name)
        if health is not None:
            health.misdirected_requests = 0
            health.misdirected_until_s = health.reported_misdirected_until_s = 0.0

    def on_reported_unresponsive(self, name: str, now_s: float) -> None:
        """Records a report from another host that a backend server is unresponsive.

        The other host may be cut off itself, so the report only shortens the stall timeout and
        raises the cost of the server; it causes no backoff.
        """
        health = self._health_by_name.setdefault(name, _ServerHealth())
        health.reported_unresponsive_until_s = now_s + self._options.peer_report_ttl_s

    def is_reported_unresponsive(self, name: str, now_s: float) -> bool:
        """Tells whether another host has recently reported the backend server as unresponsive."""
        health = self._health_by_name.get(name)
        return health is not None and now_s < health.reported_unresponsive_until_s

    def on_failed(self, name: str) -> None:
        """Records a request that failed at the backend server."""
        self._update_failure_rate(self._health_by_name.setdefault(name, _ServerHealth()), 1.0)

    def on_activity(self, name: str, now_s: float) -> None:
        """Records that the backend server is active."""
        self._health_by_name.setdefault(name, _ServerHealth()).last_activity_s = now_s

    def was_active_since(self, name: str, since_s: float) -> bool:
        """Tells whether the start that was listed at a monotonic time has been active since."""
        health = self._health_by_name.get(name)
        return health is not None and health.last_activity_s >= since_s >= health.known_since_s

    def on_answered(self, name: str, now_s: float) -> None:
        """Records a successful answer, which ends the backoff."""
        self.on_activity(name, now_s)
        health = self._health_by_name[name]
        health.connect_failures = 0
        health.backoff_until_s = 0.0
        self.on_entry_changed(name)
        self._update_failure_rate(health, 0.0)

    def forget(self, name: str) -> None:
        """Drops the health of a backend server that is gone."""
        self._health_by_name.pop(name, None)

    def on_restarted(self, name: str, now_s: float) -> None:
        """Drops the health of the former start of a backend server."""
        self._health_by_name[name] = _ServerHealth(known_since_s=now_s)

    def _update_failure_rate(self, health: _ServerHealth, failed: float) -> None:
        health.failure_rate += SMOOTHING_FACTOR * (failed - health.failure_rate)

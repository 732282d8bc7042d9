"""Health of backend servers as this host sees it: which are set aside, and when to probe them."""

from random import Random

from attrs import define, frozen


@frozen
class HealthLimits:
    """When a backend server is set aside, and how it is probed."""

    # Failures in a row that set a server aside.
    failures_to_set_aside: int = 3
    # Failures within this time of each other count as one, since they may have one cause.
    same_failure_s: float = 0.5
    # Time within which peers' reports of a server that was set aside should have come.
    report_delay_s: float = 0.5
    # Mean time before the first probe; doubles with each probe that fails.
    first_probe_s: float = 0.5
    # Longest mean time between probes.
    max_probe_s: float = 8.0
    # Most probes that one host starts in a second.
    probes_per_s: float = 20.0


@define
class _Server:
    """What is known of one server that has failed lately."""

    # Failures since the last success.
    failures: int = 0
    # Monotonic time of the last failure that was counted.
    failed_s: float = float("-inf")
    # Mean time before the next probe.
    interval_s: float = 0.0
    # Monotonic time of the next probe; None while the server is not set aside.
    probe_at_s: float | None = None


class ServerHealth:
    """Counts failures in a row and sets servers aside until a probe succeeds."""

    # Bounds.
    _limits: HealthLimits
    # Source of jitter.
    _rng: Random
    # Servers that have failed since their last success.
    _failing: dict[str, _Server]
    # Monotonic time since when a server is set aside, for those that are.
    _aside: dict[str, float]
    # Probes that may start now.
    _probes_saved: float
    # Monotonic time up to which probes were saved.
    _saved_until_s: float

    def __init__(self, limits: HealthLimits, rng: Random) -> None:
        self._limits = limits
        self._rng = rng
        self._failing = {}
        self._aside = {}
        self._probes_saved = 1.0
        self._saved_until_s = 0.0

    def is_aside(self, backend: str) -> bool:
        """Tells whether new work should be kept away from the server."""
        return backend in self._aside

    def is_newly_aside(self, backend: str, now_s: float) -> bool:
        """Tells whether the server was set aside so lately that peers may know more of it."""
        since_s = self._aside.get(backend)
        return since_s is not None and now_s < since_s + self._limits.report_delay_s

    def on_success(self, backend: str) -> None:
        """Takes note that the server answered."""
        if backend in self._failing:
            self.forget(backend)

    def on_failure(self, backend: str, now_s: float) -> None:
        """Takes note that the server failed an attempt."""
        server = self._failing.setdefault(backend, _Server())
        if now_s < server.failed_s + self._limits.same_failure_s:
            return
        server.failed_s = now_s
        server.failures += 1
        if server.failures >= self._limits.failures_to_set_aside:
            self._set_aside(backend, server, now_s)

    def on_probe_failed(self, backend: str, now_s: float) -> None:
        """Sets the server aside, or puts its next probe off twice as far as the last."""
        server = self._failing.setdefault(backend, _Server())
        if server.probe_at_s is None:
            self._set_aside(backend, server, now_s)
            return
        server.interval_s = min(server.interval_s * 2, self._limits.max_probe_s)
        server.probe_at_s = now_s + self._jittered(server.interval_s)

    def on_probe_succeeded(self, backend: str) -> None:
        """Lets the server take work again; its next failure sets it aside again, for longer."""
        server = self._failing.get(backend)
        if server is None or server.probe_at_s is None:
            return
        server.probe_at_s = None
        server.failures = self._limits.failures_to_set_aside - 1
        self._aside.pop(backend, None)

    def forget_all_but(self, backends: frozenset[str]) -> None:
        """Forgets servers that are gone from the membership list."""
        for backend in self._failing.keys() - backends:
            self.forget(backend)

    def forget(self, backend: str) -> None:
        """Forgets a server that is gone from the membership list."""
        self._failing.pop(backend, None)
        self._aside.pop(backend, None)

    def due_probes(self, now_s: float) -> list[str]:
        """Returns the servers to probe now, no more than the rate allows."""
        if not self._aside:
            return []
        self._save_probes(now_s)
        due = sorted(
            (server.probe_at_s, backend)
            for backend, server in self._failing.items()
            if server.probe_at_s is not None and server.probe_at_s <= now_s
        )
        started = [backend for _, backend in due[: int(self._probes_saved)]]
        self._probes_saved -= len(started)
        for backend in started:
            # Put off until the outcome is known, so that one probe at a time is under way.
            self._failing[backend].probe_at_s = now_s + self._limits.max_probe_s
        return started

    def soonest_probe_s(self, now_s: float) -> float | None:
        """Returns the time until the next probe, or None if no server is set aside."""
        times = [s.probe_at_s for s in self._failing.values() if s.probe_at_s is not None]
        return max(min(times) - now_s, 0.0) if times else None

    def _set_aside(self, backend: str, server: _Server, now_s: float) -> None:
        if server.probe_at_s is not None:
            return
        doubled_s = max(server.interval_s * 2, self._limits.first_probe_s)
        server.interval_s = min(doubled_s, self._limits.max_probe_s)
        server.probe_at_s = now_s + self._jittered(server.interval_s)
        self._aside[backend] = now_s

    def _jittered(self, interval_s: float) -> float:
        return interval_s * self._rng.uniform(0.5, 1.5)

    def _save_probes(self, now_s: float) -> None:
        gained = (now_s - self._saved_until_s) * self._limits.probes_per_s
        self._probes_saved = min(self._probes_saved + gained, self._limits.probes_per_s)
        self._saved_until_s = now_s

"""Health of backend servers as this host sees it: which are set aside, and when to probe them."""

from random import Random

from attrs import define, frozen


@frozen
class EjectionLimits:
    """When a backend server is set aside, and how it is probed."""

    # Failures in a row that set a server aside.
    failures_to_eject: int = 3
    # Failures within this time of each other count as one, since they may have one cause.
    failure_merge_window_s: float = 0.5
    # Time within which peers' reports of a server that was set aside should have come.
    peer_report_delay_s: float = 0.5
    # Mean time before the first probe; doubles with each probe that fails.
    initial_probe_interval_s: float = 0.5
    # Longest mean time between probes.
    max_probe_interval_s: float = 8.0
    # Most probes that one host starts in a second.
    probes_per_s: float = 20.0


@define
class _FailureRecord:
    """What is known of one server that has failed lately."""

    # Failures since the last success.
    failures: int = 0
    # Monotonic time of the last failure that was counted.
    last_failure_s: float = float("-inf")
    # Mean time before the next probe.
    probe_interval_s: float = 0.0
    # Monotonic time of the next probe; None while the server is not set aside.
    next_probe_s: float | None = None


class ServerHealth:
    """Counts failures in a row and sets servers aside until a probe succeeds."""

    # Bounds.
    _limits: EjectionLimits
    # Source of jitter.
    _rng: Random
    # Servers that have failed since their last success.
    _failing: dict[str, _FailureRecord]
    # Monotonic time since when a server is set aside, for those that are.
    _ejected_s: dict[str, float]
    # Probes that may start now.
    _probe_tokens: float
    # Monotonic time up to which probes were saved.
    _tokens_refilled_s: float

    def __init__(self, limits: EjectionLimits, rng: Random) -> None:
        self._limits = limits
        self._rng = rng
        self._failing = {}
        self._ejected_s = {}
        self._probe_tokens = 1.0
        self._tokens_refilled_s = 0.0

    def is_ejected(self, backend: str) -> bool:
        """Tells whether new work should be kept away from the server."""
        return backend in self._ejected_s

    def is_recently_ejected(self, backend: str, now_s: float) -> bool:
        """Tells whether the server was set aside so lately that peers may know more of it."""
        ejected_s = self._ejected_s.get(backend)
        return ejected_s is not None and now_s < ejected_s + self._limits.peer_report_delay_s

    def on_success(self, backend: str) -> None:
        """Takes note that the server answered."""
        if backend in self._failing:
            self.forget(backend)

    def on_failure(self, backend: str, now_s: float) -> None:
        """Takes note that the server failed an attempt."""
        server = self._failing.setdefault(backend, _FailureRecord())
        if now_s < server.last_failure_s + self._limits.failure_merge_window_s:
            return
        server.last_failure_s = now_s
        server.failures += 1
        if server.failures >= self._limits.failures_to_eject:
            self._eject(backend, server, now_s)

    def on_probe_failed(self, backend: str, now_s: float) -> None:
        """Sets the server aside, or puts its next probe off twice as far as the last."""
        server = self._failing.setdefault(backend, _FailureRecord())
        if server.next_probe_s is None:
            self._eject(backend, server, now_s)
            return
        server.probe_interval_s = min(
            server.probe_interval_s * 2, self._limits.max_probe_interval_s
        )
        server.next_probe_s = now_s + self._jittered(server.probe_interval_s)

    def on_probe_succeeded(self, backend: str) -> None:
        """Lets the server take work again; its next failure sets it aside again, for longer."""
        server = self._failing.get(backend)
        if server is None or server.next_probe_s is None:
            return
        server.next_probe_s = None
        server.failures = self._limits.failures_to_eject - 1
        self._ejected_s.pop(backend, None)

    def retain(self, backends: frozenset[str]) -> None:
        """Forgets servers that are gone from the membership list."""
        for backend in self._failing.keys() - backends:
            self.forget(backend)

    def forget(self, backend: str) -> None:
        """Forgets a server that is gone from the membership list."""
        self._failing.pop(backend, None)
        self._ejected_s.pop(backend, None)

    def take_due_probes(self, now_s: float) -> list[str]:
        """Returns the servers to probe now, no more than the rate allows."""
        if not self._ejected_s:
            return []
        self._refill_probe_tokens(now_s)
        due = sorted(
            (server.next_probe_s, backend)
            for backend, server in self._failing.items()
            if server.next_probe_s is not None and server.next_probe_s <= now_s
        )
        started = [backend for _, backend in due[: int(self._probe_tokens)]]
        self._probe_tokens -= len(started)
        for backend in started:
            # Put off until the outcome is known, so that one probe at a time is under way.
            self._failing[backend].next_probe_s = now_s + self._limits.max_probe_interval_s
        return started

    def until_next_probe_s(self, now_s: float) -> float | None:
        """Returns the time until the next probe, or None if no server is set aside."""
        times = [s.next_probe_s for s in self._failing.values() if s.next_probe_s is not None]
        return max(min(times) - now_s, 0.0) if times else None

    def _eject(self, backend: str, server: _FailureRecord, now_s: float) -> None:
        if server.next_probe_s is not None:
            return
        doubled_s = max(server.probe_interval_s * 2, self._limits.initial_probe_interval_s)
        server.probe_interval_s = min(doubled_s, self._limits.max_probe_interval_s)
        server.next_probe_s = now_s + self._jittered(server.probe_interval_s)
        self._ejected_s[backend] = now_s

    def _jittered(self, interval_s: float) -> float:
        return interval_s * self._rng.uniform(0.5, 1.5)

    def _refill_probe_tokens(self, now_s: float) -> None:
        refill = (now_s - self._tokens_refilled_s) * self._limits.probes_per_s
        self._probe_tokens = min(self._probe_tokens + refill, self._limits.probes_per_s)
        self._tokens_refilled_s = now_s

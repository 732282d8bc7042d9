"""Health of backend servers as seen by this host: ejection after failures, and probes.

An ejected server gets no new work until a probe, or an attempt that still runs on it, succeeds.
"""

from random import Random

from attrs import define, frozen


@frozen
class EjectionLimits:
    """When a backend server is ejected, and how often it is probed."""

    # Consecutive failures after which a server is ejected.
    failures_to_eject: int = 3
    # Failures within this time after a counted one are not counted, since they may have the same
    # cause.
    failure_merge_window_s: float = 0.5
    # Time within which peers' crash reports about an ejected server should have arrived.
    peer_report_delay_s: float = 0.5
    # Mean time before the first probe; doubles with each failed probe.
    initial_probe_interval_s: float = 0.5
    # Upper limit of the mean time between probes.
    max_probe_interval_s: float = 8.0
    # Maximum number of probes that one host starts per second.
    probes_per_s: float = 20.0


@define
class _FailureRecord:
    """Failures of one server since its last success."""

    # Counted failures since the last success.
    failures: int = 0
    # Monotonic time of the last counted failure.
    last_failure_s: float = float("-inf")
    # Mean time before the next probe.
    probe_interval_s: float = 0.0
    # Monotonic time of the next probe; None while the server is not ejected.
    next_probe_s: float | None = None


class ServerHealth:
    """Counts consecutive failures and ejects servers until they respond again."""

    # Limits of ejection and probing.
    _limits: EjectionLimits
    # Source of jitter.
    _rng: Random
    # Failure records of the servers that have failed since their last success.
    _failure_records: dict[str, _FailureRecord]
    # Monotonic time of ejection, by ejected server.
    _ejected_s: dict[str, float]
    # Probes that the rate limit allows now.
    _probe_tokens: float
    # Monotonic time of the last refill of the probe tokens.
    _tokens_refilled_s: float

    def __init__(self, limits: EjectionLimits, rng: Random) -> None:
        self._limits = limits
        self._rng = rng
        self._failure_records = {}
        self._ejected_s = {}
        self._probe_tokens = 1.0
        self._tokens_refilled_s = 0.0

    def is_ejected(self, backend: str) -> bool:
        """Returns whether the server is ejected and must get no new work."""
        return backend in self._ejected_s

    def is_recently_ejected(self, backend: str, now_s: float) -> bool:
        """Returns whether crash reports of peers about the ejected server may still arrive."""
        ejected_s = self._ejected_s.get(backend)
        return ejected_s is not None and now_s < ejected_s + self._limits.peer_report_delay_s

    def on_success(self, backend: str) -> None:
        """Clears the failures of a server that answered."""
        if backend in self._failure_records:
            self.forget(backend)

    def on_failure(self, backend: str, now_s: float) -> None:
        """Counts a failure of the server and ejects it after too many."""
        record = self._failure_records.setdefault(backend, _FailureRecord())
        if now_s < record.last_failure_s + self._limits.failure_merge_window_s:
            return
        record.last_failure_s = now_s
        record.failures += 1
        if record.failures >= self._limits.failures_to_eject:
            self._eject(backend, record, now_s)

    def on_probe_failed(self, backend: str, now_s: float) -> None:
        """Ejects the server, or doubles the interval to its next probe if it is ejected already."""
        record = self._failure_records.setdefault(backend, _FailureRecord())
        if record.next_probe_s is None:
            self._eject(backend, record, now_s)
            return
        record.probe_interval_s = min(
            record.probe_interval_s * 2, self._limits.max_probe_interval_s
        )
        record.next_probe_s = now_s + self._jittered(record.probe_interval_s)

    def on_probe_succeeded(self, backend: str) -> None:
        """Ends the ejection of the server; its next failure ejects it again, for longer."""
        record = self._failure_records.get(backend)
        if record is None or record.next_probe_s is None:
            return
        record.next_probe_s = None
        record.failures = self._limits.failures_to_eject - 1
        self._ejected_s.pop(backend, None)

    def retain(self, backends: frozenset[str]) -> None:
        """Removes the state of all servers but these, which are on the membership list."""
        for backend in self._failure_records.keys() - backends:
            self.forget(backend)

    def forget(self, backend: str) -> None:
        """Removes the state of a server."""
        self._failure_records.pop(backend, None)
        self._ejected_s.pop(backend, None)

    def take_due_probes(self, now_s: float) -> list[str]:
        """Returns the servers to probe now, within the rate limit.

        The caller must start these probes.
        """
        if not self._ejected_s:
            return []
        self._refill_probe_tokens(now_s)
        due = sorted(
            (record.next_probe_s, backend)
            for backend, record in self._failure_records.items()
            if record.next_probe_s is not None and record.next_probe_s <= now_s
        )
        started = [backend for _, backend in due[: int(self._probe_tokens)]]
        self._probe_tokens -= len(started)
        for backend in started:
            # Postponed until the outcome is known, so that only one probe per server is in flight.
            self._failure_records[backend].next_probe_s = now_s + self._limits.max_probe_interval_s
        return started

    def until_next_probe_s(self, now_s: float) -> float | None:
        """Returns the time until the next probe, or None if no server is ejected."""
        probe_times_s = [
            record.next_probe_s
            for record in self._failure_records.values()
            if record.next_probe_s is not None
        ]
        return max(min(probe_times_s) - now_s, 0.0) if probe_times_s else None

    def _eject(self, backend: str, record: _FailureRecord, now_s: float) -> None:
        if record.next_probe_s is not None:
            return
        doubled_s = max(record.probe_interval_s * 2, self._limits.initial_probe_interval_s)
        record.probe_interval_s = min(doubled_s, self._limits.max_probe_interval_s)
        record.next_probe_s = now_s + self._jittered(record.probe_interval_s)
        self._ejected_s[backend] = now_s

    def _jittered(self, interval_s: float) -> float:
        return interval_s * self._rng.uniform(0.5, 1.5)

    def _refill_probe_tokens(self, now_s: float) -> None:
        refill = (now_s - self._tokens_refilled_s) * self._limits.probes_per_s
        self._probe_tokens = min(self._probe_tokens + refill, self._limits.probes_per_s)
        self._tokens_refilled_s = now_s

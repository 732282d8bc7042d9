"""Failure detection: tracks failed backend servers and the request contents that crash them.

A server counts as crashed only after a probe, which is a fresh connection, failed or found the
server restarted. Contents are suspected only if their connections were lost on such a server, or if
their attempts there were abandoned shortly before.
"""

from collections.abc import Iterable
from random import Random
from typing import Final

from attrs import field, frozen

from berylquay.component_messages import (
    AttemptAnswered,
    PeerSendRequested,
    ProbeEnded,
    ProbeRequested,
)
from berylquay.decisions.crash_history import CrashHistory, CrashHistoryLimits
from berylquay.decisions.pending_probes import PendingProbes
from berylquay.decisions.server_health import EjectionLimits, ServerHealth
from berylquay.peers.payloads import CrashCleared, CrashReport

EXPIRY_INTERVAL_S: Final = 1.0
# Time after an attempt was abandoned for which a crash of its server still counts against its
# content.
ABANDONED_RETENTION_S: Final = 5.0
# Maximum number of fingerprints in one crash report.
MAX_REPORTED_FINGERPRINTS: Final = 1024

FailureDetectorCommand = ProbeRequested | PeerSendRequested


@frozen
class FailureDetectorLimits:
    """Limits of the failure detector's parts."""

    ejection_limits: EjectionLimits = field(factory=EjectionLimits)
    crash_limits: CrashHistoryLimits = field(factory=CrashHistoryLimits)


@frozen
class ProbeOutcome:
    """Result of a probe."""

    # Commands to carry out.
    commands: list[FailureDetectorCommand]
    # Ids of the calls that waited for the probe.
    waiting_calls: list[str]
    # Whether the server crashed with contents in flight; the calls then wait until peers have been
    # notified.
    crashed: bool


class FailureDetector:
    """Tracks the health of servers and the contents suspected of crashing them."""

    # Health of the servers.
    health: ServerHealth
    # Crashes by content.
    crash_history: CrashHistory
    # Probes in flight and the attempts that depend on them.
    _pending_probes: PendingProbes
    # Monotonic time at which an attempt was last abandoned, by backend server and fingerprint.
    _abandoned_s: dict[str, dict[str, float]]
    # Last known incarnation by backend server.
    _incarnations: dict[str, str]
    # Monotonic time at which old entries are next removed.
    _next_expiry_s: float

    def __init__(self, limits: FailureDetectorLimits, rng: Random) -> None:
        self.health = ServerHealth(limits.ejection_limits, rng)
        self.crash_history = CrashHistory(limits.crash_limits)
        self._pending_probes = PendingProbes()
        self._abandoned_s = {}
        self._incarnations = {}
        self._next_expiry_s = 0.0

    def on_answered(self, backend: str, message: AttemptAnswered) -> None:
        """Records the incarnation of the server that answers."""
        if message.incarnation:
            self._incarnations[backend] = message.incarnation

    def on_completed(
        self, backend: str, fingerprint: str, peers: list[str]
    ) -> list[FailureDetectorCommand]:
        """Clears the server and the content after a complete answer; notifies peers if needed."""
        self.health.on_success(backend)
        if not self.crash_history.clear(fingerprint):
            return []
        return [PeerSendRequested(peer, CrashCleared(fingerprint)) for peer in peers]

    def on_unreachable(self, backend: str, now_s: float) -> list[FailureDetectorCommand]:
        """Counts a refused or unresponsive connection as a failure and requests a probe."""
        self.health.on_failure(backend, now_s)
        return self._request_probe(backend)

    def on_connection_lost(
        self, backend: str, fingerprint: str, waiting_call_id: str | None, now_s: float
    ) -> list[FailureDetectorCommand]:
        """Records a connection that was lost while the server may have run the request.

        Args:
            backend: The server.
            fingerprint: Content of the request.
            waiting_call_id: Call to retry after the probe, or None if it doesn't wait for it.
            now_s: Present time.
        """
        commands = self.on_unreachable(backend, now_s)
        self._pending_probes.add_lost_connection(backend, fingerprint, waiting_call_id)
        return commands

    def on_abandoned(self, backend: str, fingerprint: str, now_s: float) -> None:
        """Records that an attempt which the server may still run was abandoned.

        The content may crash the server after this host has closed the connection.
        """
        self._abandoned_s.setdefault(backend, {})[fingerprint] = now_s

    def on_probe_ended(self, message: ProbeEnded, peers: list[str], now_s: float) -> ProbeOutcome:
        """Determines whether the server crashed and reports the contents in flight to the peers.

        Without a content in flight, or abandoned shortly before, no crash is recorded.
        """
        probe = self._pending_probes.end(message.backend)
        fingerprints = probe.fingerprints | self._abandoned_s.get(message.backend, {}).keys()
        crashed = bool(fingerprints) and self._has_crashed(message)
        if message.incarnation:
            self._incarnations[message.backend] = message.incarnation
        if message.alive:
            self.health.on_probe_succeeded(message.backend)
        else:
            self.health.on_probe_failed(message.backend, now_s)
        if not crashed:
            return ProbeOutcome([], probe.waiting_calls, crashed=False)
        self.crash_history.on_crash(message.backend, frozenset(fingerprints), now_s)
        report = _make_crash_report(message.backend, fingerprints, 0.0)
        return ProbeOutcome(
            [PeerSendRequested(p, report) for p in peers], probe.waiting_calls, crashed=True
        )

    def on_crash_report(self, report: CrashReport, now_s: float) -> None:
        """Adds a crash reported by a peer to the history."""
        crashed_at_s = now_s - max(report.age_s, 0.0)
        self.crash_history.on_crash(report.backend, frozenset(report.fingerprints), crashed_at_s)

    def reports_for(self, peer: str, now_s: float) -> list[FailureDetectorCommand]:
        """Returns reports of all known crashes for a peer that was unreachable for a while."""
        return [
            PeerSendRequested(
                peer, _make_crash_report(crash.backend, fingerprints, now_s - crash.crashed_at_s)
            )
            for crash, fingerprints in self.crash_history.fingerprints_by_crash().items()
        ]

    def on_tick(self, now_s: float) -> list[FailureDetectorCommand]:
        """Removes old entries and requests the probes that are due."""
        if now_s >= self._next_expiry_s:
            self._next_expiry_s = now_s + EXPIRY_INTERVAL_S
            self.crash_history.expire(now_s)
            self._expire_abandoned(now_s)
        due = self.health.take_due_probes(now_s)
        return [command for backend in due for command in self._request_probe(backend)]

    def _expire_abandoned(self, now_s: float) -> None:
        oldest_s = now_s - ABANDONED_RETENTION_S
        for backend, contents in list(self._abandoned_s.items()):
            recent = {content: at_s for content, at_s in contents.items() if at_s > oldest_s}
            if recent:
                self._abandoned_s[backend] = recent
            else:
                del self._abandoned_s[backend]

    def _request_probe(self, backend: str) -> list[FailureDetectorCommand]:
        return [ProbeRequested(backend)] if self._pending_probes.start(backend) else []

    def _has_crashed(self, message: ProbeEnded) -> bool:
        if not message.alive:
            return True
        known_incarnation = self._incarnations.get(message.backend, "")
        return known_incarnation not in {"", message.incarnation} and message.incarnation != ""


def _make_crash_report(backend: str, fingerprints: Iterable[str], age_s: float) -> CrashReport:
    return CrashReport(backend, tuple(sorted(fingerprints))[:MAX_REPORTED_FINGERPRINTS], age_s)

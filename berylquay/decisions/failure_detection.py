"""Judging: draws conclusions about backend servers and contents from attempts that failed.

A server is judged dead only by a fresh connection that failed. Contents are suspected only if their
connections broke off on a server that was then found dead or restarted.
"""

from collections.abc import Iterable
from random import Random
from typing import Final

from attrs import field, frozen

from berylquay.decisions.crash_history import CrashHistory, CrashHistoryLimits
from berylquay.decisions.pending_probes import PendingProbes
from berylquay.decisions.server_health import EjectionLimits, ServerHealth
from berylquay.messages import AttemptAnswered, PeerSendRequested, ProbeEnded, ProbeRequested
from berylquay.peers.payloads import CrashCleared, CrashReport

EXPIRY_INTERVAL_S: Final = 1.0
# Time for which a content that nobody waits for any more is tied to its server's fate.
ABANDONED_RETENTION_S: Final = 5.0
# Most fingerprints in one report.
MAX_REPORTED_FINGERPRINTS: Final = 1024

FailureDetectorCommand = ProbeRequested | PeerSendRequested


@frozen
class FailureDetectorLimits:
    """Bounds of the judge's parts."""

    health: EjectionLimits = field(factory=EjectionLimits)
    crash_limits: CrashHistoryLimits = field(factory=CrashHistoryLimits)


@frozen
class ProbeOutcome:
    """What the end of a probe settles."""

    # Messages to post.
    commands: list[FailureDetectorCommand]
    # Calls that waited for the outcome.
    waiting_calls: list[str]
    # Whether the server was lost, so that the calls must wait until peers have heard of it.
    crashed: bool


class FailureDetector:
    """Keeps the health of servers and the suspicion of contents."""

    # Health of the servers.
    health: ServerHealth
    # Suspicion of contents.
    crash_history: CrashHistory
    # Probes under way and what they settle.
    _pending_probes: PendingProbes
    # Time at which a content was last abandoned, by backend server and content.
    _abandoned_s: dict[str, dict[str, float]]
    # Last known incarnation by backend server.
    _incarnations: dict[str, str]
    # Monotonic time at which old suspicions are next forgotten.
    _next_expiry_s: float

    def __init__(self, limits: FailureDetectorLimits, rng: Random) -> None:
        self.health = ServerHealth(limits.health, rng)
        self.crash_history = CrashHistory(limits.crash_limits)
        self._pending_probes = PendingProbes()
        self._abandoned_s = {}
        self._incarnations = {}
        self._next_expiry_s = 0.0

    def on_answered(self, backend: str, message: AttemptAnswered) -> None:
        """Takes note of the incarnation that answers."""
        if message.incarnation:
            self._incarnations[backend] = message.incarnation

    def on_completed(
        self, backend: str, fingerprint: str, peers: list[str]
    ) -> list[FailureDetectorCommand]:
        """Takes note that a server answered a content whole, which clears both."""
        self.health.on_success(backend)
        if not self.crash_history.clear(fingerprint):
            return []
        return [PeerSendRequested(peer, CrashCleared(fingerprint)) for peer in peers]

    def on_unreachable(self, backend: str, now_s: float) -> list[FailureDetectorCommand]:
        """Takes note that a connection was refused or went silent, and has a fresh one tried."""
        self.health.on_failure(backend, now_s)
        return self._request_probe(backend)

    def on_connection_lost(
        self, backend: str, fingerprint: str, waiting_call_id: str | None, now_s: float
    ) -> list[FailureDetectorCommand]:
        """Takes note that a connection broke off while the server may have been at work."""
        commands = self.on_unreachable(backend, now_s)
        self._pending_probes.add_lost_connection(backend, fingerprint, waiting_call_id)
        return commands

    def on_abandoned(self, backend: str, fingerprint: str, now_s: float) -> None:
        """Takes note that nobody waits any more for a content that a server may be at work on.

        The server may be lost under it after the connection was closed from this side.
        """
        self._abandoned_s.setdefault(backend, {})[fingerprint] = now_s

    def on_probe_ended(self, message: ProbeEnded, peers: list[str], now_s: float) -> ProbeOutcome:
        """Concludes whether the server was lost, and tells peers of the contents concerned."""
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
        """Takes in what a peer has seen."""
        crashed_at_s = now_s - max(report.age_s, 0.0)
        self.crash_history.on_crash(report.backend, frozenset(report.fingerprints), crashed_at_s)

    def reports_for(self, peer: str, now_s: float) -> list[FailureDetectorCommand]:
        """Returns what a peer must be told that could not be reached for a while."""
        return [
            PeerSendRequested(
                peer, _make_crash_report(crash.backend, fingerprints, now_s - crash.crashed_at_s)
            )
            for crash, fingerprints in self.crash_history.fingerprints_by_crash().items()
        ]

    def on_tick(self, now_s: float) -> list[FailureDetectorCommand]:
        """Forgets old suspicions and starts the probes that are due."""
        if now_s >= self._next_expiry_s:
            self._next_expiry_s = now_s + EXPIRY_INTERVAL_S
            self.crash_history.expire(now_s)
            self._expire_abandoned(now_s)
        due = self.health.take_due_probes(now_s)
        return [command for backend in due for command in self._request_probe(backend)]

    def _expire_abandoned(self, now_s: float) -> None:
        oldest_s = now_s - ABANDONED_RETENTION_S
        for backend, contents in list(self._abandoned_s.items()):
            kept = {content: at_s for content, at_s in contents.items() if at_s > oldest_s}
            if kept:
                self._abandoned_s[backend] = kept
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

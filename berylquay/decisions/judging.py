"""Judging: draws conclusions about backend servers and contents from attempts that failed.

A server is judged dead only by a fresh connection that failed. Contents are suspected only if their
connections broke off on a server that was then found dead or restarted.
"""

from collections.abc import Iterable
from random import Random
from typing import Final

from attrs import field, frozen

from berylquay.decisions.health import HealthLimits, ServerHealth
from berylquay.decisions.outages import Outages
from berylquay.decisions.suspects import SuspectLedger, SuspectLimits
from berylquay.messages import AttemptAnswered, PeerSendRequested, ProbeEnded, ProbeRequested
from berylquay.peers.payloads import CrashCleared, CrashReport

EXPIRY_INTERVAL_S: Final = 1.0
# Time for which a content that nobody waits for any more is tied to its server's fate.
ABANDONED_MEMORY_S: Final = 5.0
# Most fingerprints in one report.
MAX_REPORTED: Final = 1024

JudgeCommand = ProbeRequested | PeerSendRequested


@frozen
class JudgeLimits:
    """Bounds of the judge's parts."""

    health: HealthLimits = field(factory=HealthLimits)
    suspects: SuspectLimits = field(factory=SuspectLimits)


@frozen
class ProbeOutcome:
    """What the end of a probe settles."""

    # Messages to post.
    commands: list[JudgeCommand]
    # Calls that waited for the outcome.
    held: list[str]
    # Whether the server was lost, so that the calls must wait until peers have heard of it.
    lost: bool


class ServerJudge:
    """Keeps the health of servers and the suspicion of contents."""

    # Health of the servers.
    health: ServerHealth
    # Suspicion of contents.
    ledger: SuspectLedger
    # Probes under way and what they settle.
    _outages: Outages
    # Time at which a content was last abandoned, by backend server and content.
    _abandoned: dict[str, dict[str, float]]
    # Last known incarnation by backend server.
    _incarnations: dict[str, str]
    # Monotonic time at which old suspicions are next forgotten.
    _next_expiry_s: float

    def __init__(self, limits: JudgeLimits, rng: Random) -> None:
        self.health = ServerHealth(limits.health, rng)
        self.ledger = SuspectLedger(limits.suspects)
        self._outages = Outages()
        self._abandoned = {}
        self._incarnations = {}
        self._next_expiry_s = 0.0

    def on_answered(self, backend: str, message: AttemptAnswered) -> None:
        """Takes note of the incarnation that answers."""
        if message.incarnation:
            self._incarnations[backend] = message.incarnation

    def on_whole_answer(
        self, backend: str, fingerprint: str, peers: list[str]
    ) -> list[JudgeCommand]:
        """Takes note that a server answered a content whole, which clears both."""
        self.health.on_success(backend)
        if not self.ledger.clear(fingerprint):
            return []
        return [PeerSendRequested(peer, CrashCleared(fingerprint)) for peer in peers]

    def on_unreachable(self, backend: str, now_s: float) -> list[JudgeCommand]:
        """Takes note that a connection was refused or went silent, and has a fresh one tried."""
        self.health.on_failure(backend, now_s)
        return self._probe(backend)

    def on_broken_off(
        self, backend: str, fingerprint: str, held_call_id: str | None, now_s: float
    ) -> list[JudgeCommand]:
        """Takes note that a connection broke off while the server may have been at work."""
        commands = self.on_unreachable(backend, now_s)
        self._outages.add(backend, fingerprint, held_call_id)
        return commands

    def on_abandoned(self, backend: str, fingerprint: str, now_s: float) -> None:
        """Takes note that nobody waits any more for a content that a server may be at work on.

        The server may be lost under it after the connection was closed from this side.
        """
        self._abandoned.setdefault(backend, {})[fingerprint] = now_s

    def on_probe_ended(self, message: ProbeEnded, peers: list[str], now_s: float) -> ProbeOutcome:
        """Concludes whether the server was lost, and tells peers of the contents concerned."""
        outage = self._outages.end(message.backend)
        contents = outage.fingerprints | self._abandoned.get(message.backend, {}).keys()
        lost = bool(contents) and self._was_lost(message)
        if message.incarnation:
            self._incarnations[message.backend] = message.incarnation
        if message.alive:
            self.health.on_probe_succeeded(message.backend)
        else:
            self.health.on_probe_failed(message.backend, now_s)
        if not lost:
            return ProbeOutcome([], outage.held, lost=False)
        self.ledger.on_lost(message.backend, frozenset(contents), now_s)
        report = _report(message.backend, contents, 0.0)
        return ProbeOutcome([PeerSendRequested(p, report) for p in peers], outage.held, lost=True)

    def on_crash_report(self, report: CrashReport, now_s: float) -> None:
        """Takes in what a peer has seen."""
        lost_s = now_s - max(report.age_s, 0.0)
        self.ledger.on_lost(report.backend, frozenset(report.fingerprints), lost_s)

    def reports_for(self, peer: str, now_s: float) -> list[JudgeCommand]:
        """Returns what a peer must be told that could not be reached for a while."""
        return [
            PeerSendRequested(peer, _report(loss.backend, contents, now_s - loss.lost_s))
            for loss, contents in self.ledger.all_losses().items()
        ]

    def on_tick(self, now_s: float) -> list[JudgeCommand]:
        """Forgets old suspicions and starts the probes that are due."""
        if now_s >= self._next_expiry_s:
            self._next_expiry_s = now_s + EXPIRY_INTERVAL_S
            self.ledger.expire(now_s)
            self._forget_abandoned(now_s)
        due = self.health.due_probes(now_s)
        return [command for backend in due for command in self._probe(backend)]

    def _forget_abandoned(self, now_s: float) -> None:
        oldest_s = now_s - ABANDONED_MEMORY_S
        for backend, contents in list(self._abandoned.items()):
            kept = {content: at_s for content, at_s in contents.items() if at_s > oldest_s}
            if kept:
                self._abandoned[backend] = kept
            else:
                del self._abandoned[backend]

    def _probe(self, backend: str) -> list[JudgeCommand]:
        return [ProbeRequested(backend)] if self._outages.probe(backend) else []

    def _was_lost(self, message: ProbeEnded) -> bool:
        if not message.alive:
            return True
        known = self._incarnations.get(message.backend, "")
        return known not in {"", message.incarnation} and message.incarnation != ""


def _report(backend: str, contents: Iterable[str], age_s: float) -> CrashReport:
    return CrashReport(backend, tuple(sorted(contents))[:MAX_REPORTED], age_s)

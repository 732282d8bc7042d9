"""Suspects: contents that were in flight on backend servers that were lost.

A content is counted once for each server that was lost under it. The count decides how the content
may still run: anywhere among a few servers, on one server after the other, alone among suspects, or
not at all. A whole answer clears it.
"""

from enum import IntEnum

from attrs import frozen


class Suspicion(IntEnum):
    """How a content may run."""

    # Nothing speaks against it.
    NONE = 0
    # A server was lost under it: it runs on the next server in its order only.
    SUSPECTED = 1
    # More were lost: it runs alone among suspects.
    ISOLATED = 2
    # It is refused.
    QUARANTINED = 3


@frozen
class CrashHistoryLimits:
    """Bounds on what is lost to one content and on what is remembered."""

    # Servers lost at which a content is refused.
    crashes_to_quarantine: int = 3
    # Time after which a loss is forgotten.
    retention_s: float = 600.0
    # Losses of one server within this time of each other are one crash.
    same_crash_window_s: float = 3.0
    # Most contents that are remembered; the oldest are forgotten first.
    max_contents: int = 4096


@frozen
class Crash:
    """One crash of a server."""

    # Name of the backend server.
    backend: str
    # Monotonic time at which this host heard of it.
    crashed_at_s: float


class CrashHistory:
    """Remembers losses by content fingerprint, for a limited time."""

    # Bounds.
    _limits: CrashHistoryLimits
    # Losses by content fingerprint, the longest unchanged content first.
    _crashes: dict[str, tuple[Crash, ...]]

    def __init__(self, limits: CrashHistoryLimits) -> None:
        self._limits = limits
        self._crashes = {}

    def __len__(self) -> int:
        """Returns the number of contents that are remembered."""
        return len(self._crashes)

    def crashes_of(self, fingerprint: str) -> tuple[Crash, ...]:
        """Returns the losses under the content, oldest first."""
        return self._crashes.get(fingerprint, ())

    def suspicion_of(self, fingerprint: str) -> Suspicion:
        """Returns how the content may run."""
        return self._suspicion(len(self.crashes_of(fingerprint)))

    def quarantine_remaining_s(self, fingerprint: str, now_s: float) -> float:
        """Returns the time until the content's oldest loss is forgotten."""
        oldest = self.crashes_of(fingerprint)[0]
        return max(oldest.crashed_at_s + self._limits.retention_s - now_s, 0.0)

    def on_crash(self, backend: str, fingerprints: frozenset[str], now_s: float) -> None:
        """Counts the loss of a server against the contents that were in flight on it."""
        for fingerprint in sorted(fingerprints):
            self._record(fingerprint, Crash(backend, now_s))

    def fingerprints_by_crash(self) -> dict[Crash, list[str]]:
        """Returns the contents that are remembered, by loss."""
        fingerprints_by_crash: dict[Crash, list[str]] = {}
        for fingerprint, crashes in self._crashes.items():
            for crash in crashes:
                fingerprints_by_crash.setdefault(crash, []).append(fingerprint)
        return fingerprints_by_crash

    def clear(self, fingerprint: str) -> bool:
        """Forgets the content, which was answered whole; tells whether it was suspected."""
        if self.suspicion_of(fingerprint) is Suspicion.QUARANTINED:
            return False
        return self._crashes.pop(fingerprint, None) is not None

    def expire(self, now_s: float) -> None:
        """Forgets losses that are too old."""
        oldest_s = now_s - self._limits.retention_s
        for fingerprint, crashes in list(self._crashes.items()):
            if crashes[0].crashed_at_s <= oldest_s:
                self._replace(
                    fingerprint, [crash for crash in crashes if crash.crashed_at_s > oldest_s]
                )

    def _suspicion(self, crashes: int) -> Suspicion:
        if crashes >= self._limits.crashes_to_quarantine:
            return Suspicion.QUARANTINED
        if crashes >= self._limits.crashes_to_quarantine - 1:
            return Suspicion.ISOLATED
        return Suspicion.SUSPECTED if crashes else Suspicion.NONE

    def _record(self, fingerprint: str, crash: Crash) -> None:
        crashes = self.crashes_of(fingerprint)
        if any(self._is_same_crash(known, crash) for known in crashes):
            return
        self._crashes.pop(fingerprint, None)
        self._crashes[fingerprint] = (*crashes, crash)
        if len(self._crashes) > self._limits.max_contents:
            del self._crashes[next(iter(self._crashes))]

    def _replace(self, fingerprint: str, crashes: list[Crash]) -> None:
        if crashes:
            self._crashes[fingerprint] = tuple(crashes)
        else:
            del self._crashes[fingerprint]

    def _is_same_crash(self, one: Crash, other: Crash) -> bool:
        within_window = (
            abs(one.crashed_at_s - other.crashed_at_s) <= self._limits.same_crash_window_s
        )
        return within_window and one.backend == other.backend

"""Crash history: request contents that were in flight on backend servers when they crashed.

A content whose requests crash servers is a poison request. Each crash counts once against every
content that was in flight on the server. The count decides how the content may still run: on any of
a few servers, on one server after the other, isolated from other suspected contents, or not at all.
A complete answer clears the content.
"""

from enum import IntEnum

from attrs import frozen


class Suspicion(IntEnum):
    """How strongly a content is suspected of crashing servers, which restricts how it may run."""

    # No server crashed while it was in flight.
    NONE = 0
    # A server crashed: the content runs only on the next server in its preference order.
    SUSPECTED = 1
    # One more crash leads to quarantine: it runs on a server without other suspected contents.
    ISOLATED = 2
    # Its calls are refused.
    QUARANTINED = 3


@frozen
class CrashHistoryLimits:
    """Limits on the crashes that one content may cause and on the size of the history."""

    # Number of crashes from which a content is refused.
    crashes_to_quarantine: int = 3
    # Time after which a crash is forgotten.
    retention_s: float = 600.0
    # Reports of crashes of one server within this time of each other count as one crash.
    same_crash_window_s: float = 3.0
    # The same once the server is known to have started again since the first of them.
    restarted_window_s: float = 1.0
    # Maximum number of contents in the history; the least recently changed are dropped first.
    max_contents: int = 4096


@frozen
class Crash:
    """One crash of a backend server."""

    # Name of the backend server.
    backend: str
    # Monotonic time of the crash, as far as this host knows it.
    crashed_at_s: float


class CrashHistory:
    """Keeps crashes by content fingerprint for a limited time."""

    # Limits of the history.
    _limits: CrashHistoryLimits
    # Crashes by content fingerprint, the least recently changed content first.
    _crashes: dict[str, tuple[Crash, ...]]
    # Monotonic times at which servers were last found to have started again under their name.
    _restarted_s: dict[str, float]

    def __init__(self, limits: CrashHistoryLimits) -> None:
        self._limits = limits
        self._crashes = {}
        self._restarted_s = {}

    def __len__(self) -> int:
        """Returns the number of contents in the history."""
        return len(self._crashes)

    def crashes_of(self, fingerprint: str) -> tuple[Crash, ...]:
        """Returns the crashes counted against the content in the order of their recording."""
        return self._crashes.get(fingerprint, ())

    def suspicion_of(self, fingerprint: str) -> Suspicion:
        """Returns the level of suspicion of the content."""
        return self._suspicion_level(len(self.crashes_of(fingerprint)))

    def quarantine_remaining_s(self, fingerprint: str, now_s: float) -> float:
        """Returns the time until the content's first recorded crash is forgotten.

        The content must have a crash in the history.
        """
        oldest = self.crashes_of(fingerprint)[0]
        return max(oldest.crashed_at_s + self._limits.retention_s - now_s, 0.0)

    def on_crash(self, backend: str, fingerprints: frozenset[str], now_s: float) -> None:
        """Counts a crash of a server against the contents that were in flight on it."""
        for fingerprint in sorted(fingerprints):
            self._record(fingerprint, Crash(backend, now_s))

    def on_server_restarted(self, backend: str, now_s: float) -> None:
        """Records that a server has started again under its name, so that it can crash again."""
        self._restarted_s[backend] = now_s

    def withdraw(self, backend: str, fingerprint: str, crashed_at_s: float) -> None:
        """Removes a crash that was none from the history of a content."""
        mistaken = Crash(backend, crashed_at_s)
        crashes = self.crashes_of(fingerprint)
        kept = [crash for crash in crashes if not self._is_same_crash(crash, mistaken)]
        if len(kept) < len(crashes):
            self._replace(fingerprint, kept)

    def fingerprints_by_crash(self) -> dict[Crash, list[str]]:
        """Returns the fingerprints in the history by crash."""
        fingerprints_by_crash: dict[Crash, list[str]] = {}
        for fingerprint, crashes in self._crashes.items():
            for crash in crashes:
                fingerprints_by_crash.setdefault(crash, []).append(fingerprint)
        return fingerprints_by_crash

    def clear(self, fingerprint: str) -> bool:
        """Clears the content, which was answered completely; returns whether it was suspected.

        A quarantined content is not cleared.
        """
        if self.suspicion_of(fingerprint) is Suspicion.QUARANTINED:
            return False
        return self._crashes.pop(fingerprint, None) is not None

    def expire(self, now_s: float) -> None:
        """Removes crashes older than the retention time."""
        oldest_s = now_s - self._limits.retention_s
        for backend in [name for name, at_s in self._restarted_s.items() if at_s <= oldest_s]:
            del self._restarted_s[backend]
        for fingerprint, crashes in list(self._crashes.items()):
            if crashes[0].crashed_at_s <= oldest_s:
                self._replace(
                    fingerprint, [crash for crash in crashes if crash.crashed_at_s > oldest_s]
                )

    def _suspicion_level(self, crash_count: int) -> Suspicion:
        if crash_count >= self._limits.crashes_to_quarantine:
            return Suspicion.QUARANTINED
        if crash_count >= self._limits.crashes_to_quarantine - 1:
            return Suspicion.ISOLATED
        return Suspicion.SUSPECTED if crash_count else Suspicion.NONE

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
        if one.backend != other.backend:
            return False
        first_s, last_s = sorted((one.crashed_at_s, other.crashed_at_s))
        has_restarted = first_s < self._restarted_s.get(one.backend, first_s) <= last_s
        window_s = (
            self._limits.restarted_window_s if has_restarted else self._limits.same_crash_window_s
        )
        return last_s - first_s <= window_s

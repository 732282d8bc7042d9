"""Suspects: contents that were in flight on backend servers that were lost.

A content is counted once for each server that was lost under it. The count decides how the content
may still run: anywhere among a few servers, on one server after the other, alone among suspects, or
not at all. A whole answer clears it.
"""

from enum import IntEnum

from attrs import frozen


class Standing(IntEnum):
    """How a content may run."""

    # Nothing speaks against it.
    CLEAR = 0
    # A server was lost under it: it runs on the next server in its order only.
    SUSPECT = 1
    # More were lost: it runs alone among suspects.
    ISOLATED = 2
    # It is refused.
    QUARANTINED = 3


@frozen
class SuspectLimits:
    """Bounds on what is lost to one content and on what is remembered."""

    # Servers lost at which a content is refused.
    losses_to_quarantine: int = 3
    # Time after which a loss is forgotten.
    memory_s: float = 600.0
    # Losses of one server within this time of each other are one crash.
    same_crash_s: float = 3.0
    # Most contents that are remembered; the oldest are forgotten first.
    max_contents: int = 4096


@frozen
class Loss:
    """One crash of a server."""

    # Name of the backend server.
    backend: str
    # Monotonic time at which this host heard of it.
    lost_s: float


class SuspectLedger:
    """Remembers losses by content fingerprint, for a limited time."""

    # Bounds.
    _limits: SuspectLimits
    # Losses by content fingerprint, the longest unchanged content first.
    _contents: dict[str, tuple[Loss, ...]]

    def __init__(self, limits: SuspectLimits) -> None:
        self._limits = limits
        self._contents = {}

    def __len__(self) -> int:
        """Returns the number of contents that are remembered."""
        return len(self._contents)

    def losses_of(self, fingerprint: str) -> tuple[Loss, ...]:
        """Returns the losses under the content, oldest first."""
        return self._contents.get(fingerprint, ())

    def standing_of(self, fingerprint: str) -> Standing:
        """Returns how the content may run."""
        return self._standing(len(self.losses_of(fingerprint)))

    def quarantine_left_s(self, fingerprint: str, now_s: float) -> float:
        """Returns the time until the content's oldest loss is forgotten."""
        oldest = self.losses_of(fingerprint)[0]
        return max(oldest.lost_s + self._limits.memory_s - now_s, 0.0)

    def on_lost(self, backend: str, fingerprints: frozenset[str], now_s: float) -> None:
        """Counts the loss of a server against the contents that were in flight on it."""
        for fingerprint in sorted(fingerprints):
            self._count(fingerprint, Loss(backend, now_s))

    def all_losses(self) -> dict[Loss, list[str]]:
        """Returns the contents that are remembered, by loss."""
        contents: dict[Loss, list[str]] = {}
        for fingerprint, losses in self._contents.items():
            for loss in losses:
                contents.setdefault(loss, []).append(fingerprint)
        return contents

    def clear(self, fingerprint: str) -> bool:
        """Forgets the content, which was answered whole; tells whether it was suspected."""
        if self.standing_of(fingerprint) is Standing.QUARANTINED:
            return False
        return self._contents.pop(fingerprint, None) is not None

    def expire(self, now_s: float) -> None:
        """Forgets losses that are too old."""
        oldest_s = now_s - self._limits.memory_s
        for fingerprint, losses in list(self._contents.items()):
            if losses[0].lost_s <= oldest_s:
                self._keep(fingerprint, [loss for loss in losses if loss.lost_s > oldest_s])

    def _standing(self, losses: int) -> Standing:
        if losses >= self._limits.losses_to_quarantine:
            return Standing.QUARANTINED
        if losses >= self._limits.losses_to_quarantine - 1:
            return Standing.ISOLATED
        return Standing.SUSPECT if losses else Standing.CLEAR

    def _count(self, fingerprint: str, loss: Loss) -> None:
        losses = self.losses_of(fingerprint)
        if any(self._same(known, loss) for known in losses):
            return
        self._contents.pop(fingerprint, None)
        self._contents[fingerprint] = (*losses, loss)
        if len(self._contents) > self._limits.max_contents:
            del self._contents[next(iter(self._contents))]

    def _keep(self, fingerprint: str, losses: list[Loss]) -> None:
        if losses:
            self._contents[fingerprint] = tuple(losses)
        else:
            del self._contents[fingerprint]

    def _same(self, one: Loss, other: Loss) -> bool:
        near = abs(one.lost_s - other.lost_s) <= self._limits.same_crash_s
        return near and one.backend == other.backend

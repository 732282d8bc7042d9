"""Pending probes: attempts that lost their connection to a backend server under probe.

A probe is a fresh connection, which shows whether the server crashed.
"""

from attrs import define, field


@define
class PendingProbe:
    """Attempts that lost their connection to one server and depend on its probe."""

    # Content fingerprints of the attempts.
    fingerprints: set[str] = field(factory=set)
    # Ids of the calls that wait for the outcome of the probe before they are retried.
    waiting_calls: list[str] = field(factory=list)


class PendingProbes:
    """Keeps the probes in flight and the attempts that depend on them."""

    # Pending probe by backend server.
    _by_backend: dict[str, PendingProbe]

    def __init__(self) -> None:
        self._by_backend = {}

    def start(self, backend: str) -> bool:
        """Records a probe of the server; returns False if one is already in flight."""
        if backend in self._by_backend:
            return False
        self._by_backend[backend] = PendingProbe()
        return True

    def add_lost_connection(
        self, backend: str, fingerprint: str, waiting_call_id: str | None
    ) -> None:
        """Adds an attempt that lost its connection to a server under probe.

        Args:
            backend: The server; a probe of it must be in flight.
            fingerprint: Content of the attempt.
            waiting_call_id: Call to retry after the probe, or None if it doesn't wait.
        """
        probe = self._by_backend[backend]
        probe.fingerprints.add(fingerprint)
        if waiting_call_id is not None:
            probe.waiting_calls.append(waiting_call_id)

    def end(self, backend: str) -> PendingProbe:
        """Removes the probe of the server and returns it; an empty one if there is none."""
        return self._by_backend.pop(backend, None) or PendingProbe()

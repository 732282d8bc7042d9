"""Outages: what broke off on a backend server while a fresh connection is being tried to it."""

from attrs import define, field


@define
class PendingProbe:
    """Attempts that broke off on one server since it last answered."""

    # Contents of the attempts.
    fingerprints: set[str] = field(factory=set)
    # Calls that wait for the probe's outcome before they are tried again.
    waiting_calls: list[str] = field(factory=list)


class PendingProbes:
    """Keeps the probes under way and the outages that they are to settle."""

    # Outage by backend server; a server under probe has one, perhaps empty.
    _by_backend: dict[str, PendingProbe]

    def __init__(self) -> None:
        self._by_backend = {}

    def start(self, backend: str) -> bool:
        """Takes note that a probe is wanted; tells whether none was under way."""
        if backend in self._by_backend:
            return False
        self._by_backend[backend] = PendingProbe()
        return True

    def add_lost_connection(
        self, backend: str, fingerprint: str, waiting_call_id: str | None
    ) -> None:
        """Adds an attempt that broke off on a server under probe."""
        probe = self._by_backend[backend]
        probe.fingerprints.add(fingerprint)
        if waiting_call_id is not None:
            probe.waiting_calls.append(waiting_call_id)

    def end(self, backend: str) -> PendingProbe:
        """Returns what the ended probe settles."""
        return self._by_backend.pop(backend, None) or PendingProbe()

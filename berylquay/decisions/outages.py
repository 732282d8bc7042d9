"""Outages: what broke off on a backend server while a fresh connection is being tried to it."""

from attrs import define, field


@define
class Outage:
    """Attempts that broke off on one server since it last answered."""

    # Contents of the attempts.
    fingerprints: set[str] = field(factory=set)
    # Calls that wait for the probe's outcome before they are tried again.
    held: list[str] = field(factory=list)


class Outages:
    """Keeps the probes under way and the outages that they are to settle."""

    # Outage by backend server; a server under probe has one, perhaps empty.
    _open: dict[str, Outage]

    def __init__(self) -> None:
        self._open = {}

    def probe(self, backend: str) -> bool:
        """Takes note that a probe is wanted; tells whether none was under way."""
        if backend in self._open:
            return False
        self._open[backend] = Outage()
        return True

    def add(self, backend: str, fingerprint: str, held_call_id: str | None) -> None:
        """Adds an attempt that broke off on a server under probe."""
        outage = self._open[backend]
        outage.fingerprints.add(fingerprint)
        if held_call_id is not None:
            outage.held.append(held_call_id)

    def end(self, backend: str) -> Outage:
        """Returns what the ended probe settles."""
        return self._open.pop(backend, None) or Outage()

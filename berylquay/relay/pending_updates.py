"""News: what this host has found out since its last report, for the other hosts."""

from attrs import define, field

from berylquay.decisions.shared_polling import OwnRead


@define
class PendingUpdates:
    """Collected by the exchanges, taken by the load reports."""

    # Parts that engines are about to read: part id, engine and time until it is read, in
    # milliseconds.
    segments: list[tuple[str, str, int]] = field(factory=list)
    # Contents under which a backend server was lost: fingerprint and backend server.
    crashes: list[tuple[str, str]] = field(factory=list)
    # Backend servers that were newly found silent.
    unresponsive: set[str] = field(factory=set)
    # Reads of the store that brought what is known up to date.
    topic_reads: list[OwnRead] = field(factory=list)

    def is_empty(self) -> bool:
        """Tells whether there is nothing to tell."""
        return not (self.segments or self.crashes or self.unresponsive or self.topic_reads)

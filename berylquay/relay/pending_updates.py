"""Pending updates: what this host has found out since its last load report."""

from attrs import define, field

from berylquay.decisions.shared_polling import OwnRead


@define
class PendingUpdates:
    """Updates for the other hosts, collected until the next load report sends them."""

    # Prompt segments that engines prefill or have cached: segment id, engine, and the time in
    # milliseconds until the segment is cached (0 if it is).
    segments: list[tuple[str, str, int]] = field(factory=list)
    # Requests during which a backend server crashed: content fingerprint and backend server.
    crashes: list[tuple[str, str]] = field(factory=list)
    # Backend servers newly found unresponsive.
    unresponsive: set[str] = field(factory=set)
    # This host's reads of store topics that brought its view up to date.
    topic_reads: list[OwnRead] = field(factory=list)

    def is_empty(self) -> bool:
        """Tells whether there is nothing to send."""
        return not (self.segments or self.crashes or self.unresponsive or self.topic_reads)

"""Shared reading of the store: one host reads a topic all the time, the others rely on its word.

Pattern answered: hundreds of hosts of which each would ask the store every second or so whether
something is new, though hardly ever anything is. The first host of those that tell each other
reads; its word says what it knew (a mark) and when. A host with the same mark knows as much. One
with another mark reads at once, and so does one that has had no word for too long, the hosts one
after the other, so that the first of them spares the rest.
"""

from typing import Final

from attrs import define, frozen

# Part of the time in which a change must be known after which the first of the hosts that rely on
# others reads itself, and part within which all of them do.
FIRST_FALLBACK_READ_FRACTION: Final = 0.6
LAST_FALLBACK_READ_FRACTION: Final = 0.8
# Least time between reads because others know something else.
BEHIND_READ_INTERVAL_S: Final = 0.3
# Least time between two words on the same knowledge.
REPORT_INTERVAL_S: Final = 0.3


@frozen
class TopicReport:
    """What one host says of a topic that it has read itself."""

    topic: str
    # Stands for all that the host knew; equal marks mean equal knowledge.
    state_hash: str
    # Time since the read that found nothing newer was sent, in milliseconds.
    age_ms: int


@frozen
class OwnRead:
    """What this host tells the others of a topic that it has read."""

    topic: str
    state_hash: str
    # Monotonic time at which the read was sent.
    sent_s: float

    def to_report(self, now_s: float) -> TopicReport:
        """Returns what is told at a time."""
        return TopicReport(self.topic, self.state_hash, round((now_s - self.sent_s) * 1000.0))


@define
class SharedPolling:
    """When this host reads a topic, and how fresh what it knows is."""

    # Time in which a change must be known.
    max_staleness_s: float
    # Interval between reads of the host that reads all the time.
    poll_interval_s: float
    # Hosts that come before this one among those that tell each other, and how many those are.
    poller_rank: int = 0
    host_count: int = 1
    # Monotonic time up to which what is known is complete.
    confirmed_s: float = float("-inf")
    # Time of the last own read that succeeded, and of the last word on one.
    _read_s: float = float("-inf")
    _reported_read_s: float = float("-inf")
    _reported_s: float = float("-inf")
    # Whether another host knows something else and newer.
    _is_behind: bool = False

    @property
    def is_poller(self) -> bool:
        """Tells whether this host reads for the others."""
        return self.poller_rank == 0

    def due_s(self, sent_s: float) -> float:
        """Returns when this host reads next, if no word comes before.

        Args:
            sent_s: Time at which its last read was sent.
        """
        if self._is_behind:
            return sent_s + BEHIND_READ_INTERVAL_S
        if self.is_poller:
            return sent_s + self.poll_interval_s
        spread = (
            (LAST_FALLBACK_READ_FRACTION - FIRST_FALLBACK_READ_FRACTION)
            * self.poller_rank
            / max(1, self.host_count)
        )
        return self.confirmed_s + (FIRST_FALLBACK_READ_FRACTION + spread) * self.max_staleness_s

    def on_read(self, sent_s: float) -> None:
        """Takes note of an own read that succeeded."""
        self.confirmed_s = max(self.confirmed_s, sent_s)
        self._read_s = sent_s
        self._is_behind = False

    def on_peer_report(self, report: TopicReport, own_state_hash: str, now_s: float) -> None:
        """Takes another host's word on the topic."""
        known_s = now_s - report.age_ms / 1000.0
        if known_s <= self.confirmed_s:
            return
        if report.state_hash == own_state_hash:
            self.confirmed_s = known_s
            self._is_behind = False
        else:
            self._is_behind = True

    def next_report(self, topic: str, own_state_hash: str, now_s: float) -> OwnRead | None:
        """Returns the own read to tell the others of, if it is time for that."""
        if self._read_s <= self._reported_read_s or now_s < self._reported_s + REPORT_INTERVAL_S:
            return None
        self._reported_read_s, self._reported_s = self._read_s, now_s
        return OwnRead(topic, own_state_hash, self._read_s)

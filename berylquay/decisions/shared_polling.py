"""Shared polling of the store: one host polls a topic, the others rely on its reports.

Designed for hundreds of hosts, each of which would otherwise poll the store every second or so for
changes that are rare. The first host of a group that exchanges reports polls; its report gives a
hash of the state that it read, and the age of the read. A host with the same hash is up to date.
One with another hash reads at once. A host that has had no report for too long reads as well; the
hosts do so one after the other, so that the report of the first one spares the others a read.
"""

from typing import Final

from attrs import define, frozen

# Without reports, the first of the hosts that rely on others reads after this fraction of the
# maximum staleness, and the last one within the second fraction.
FIRST_FALLBACK_READ_FRACTION: Final = 0.6
LAST_FALLBACK_READ_FRACTION: Final = 0.75
# Shortest time between reads while another host reports a different, newer state.
BEHIND_READ_INTERVAL_S: Final = 0.3
# Shortest time between two reports on a topic.
REPORT_INTERVAL_S: Final = 0.3


@frozen
class TopicReport:
    """A report from one host on a topic that it has read itself."""

    topic: str
    # Hash of the state that the host has read; equal hashes mean equal states.
    state_hash: str
    # Time since the read that found nothing newer was sent, in milliseconds.
    age_ms: int


@frozen
class OwnRead:
    """This host's own read of a topic, to be reported to the others."""

    topic: str
    state_hash: str
    # Time at which the read was sent, on the clock by which its age is stated.
    sent_s: float

    def to_report(self, now_s: float) -> TopicReport:
        """Returns the report as of the present time on that clock."""
        return TopicReport(self.topic, self.state_hash, round((now_s - self.sent_s) * 1000.0))


@define
class SharedPolling:
    """Schedules this host's reads of a topic and tracks how fresh its view is."""

    # Longest time after which a change must be known.
    max_staleness_s: float
    # Interval between reads of the host that polls.
    poll_interval_s: float
    # Number of hosts before this one in the group that exchanges reports, and size of the group.
    poller_rank: int = 0
    host_count: int = 1
    # Monotonic time up to which the view is known to be complete.
    confirmed_s: float = float("-inf")
    # Monotonic times at which the last own read that succeeded and the last reported one were sent,
    # and at which that report was made.
    _read_s: float = float("-inf")
    _reported_read_s: float = float("-inf")
    _reported_s: float = float("-inf")
    # Whether another host has reported a different, newer state.
    is_behind: bool = False
    # Reports of another state that were ignored since the last own read, as the reads that they
    # state are older than what this host takes for confirmed.
    ignored_reports: int = 0
    # Monotonic times of the first and the latest report of another state since one of this host's
    # state or a snapshot; None without one.
    _differs_since_s: float | None = None
    _differed_s: float = float("-inf")

    @property
    def is_poller(self) -> bool:
        """Tells whether this host polls for the others."""
        return self.poller_rank == 0

    def next_read_s(self, sent_s: float) -> float:
        """Returns when this host reads next, unless a report arrives first.

        Args:
            sent_s: Time at which its last read was sent.
        """
        if self.is_behind:
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
        """Records an own read that succeeded."""
        self.confirmed_s = max(self.confirmed_s, sent_s)
        self._read_s = sent_s
        self.is_behind = False
        self.ignored_reports = 0

    def on_peer_report(self, report: TopicReport, own_state_hash: str, now_s: float) -> None:
        """Applies a report from another host; one on an older read is ignored."""
        known_s = now_s - report.age_ms / 1000.0
        if known_s <= self.confirmed_s:
            self.ignored_reports += report.state_hash != own_state_hash
            return
        if report.state_hash == own_state_hash:
            self.confirmed_s = known_s
            self.is_behind = False
            self._differs_since_s = None
        else:
            self.is_behind = True
            if self._differs_since_s is None:
                self._differs_since_s = now_s
            self._differed_s = now_s

    @property
    def has_diverged(self) -> bool:
        """Tells whether other hosts keep reporting another state, although this host reads on."""
        since_s = self._differs_since_s
        return since_s is not None and self._differed_s - since_s > self.max_staleness_s

    def on_snapshot(self) -> None:
        """Records that the state was read anew, so that earlier reports say nothing about it."""
        self._differs_since_s = None

    def on_suspended(self, duration_s: float) -> None:
        """Lets a time pass that the monotonic clock has left out."""
        self.confirmed_s -= duration_s
        self._read_s -= duration_s
        self._reported_read_s -= duration_s

    def on_newer_era(self) -> None:
        """Records that another host has seen a newer era of the store than this one."""
        self.is_behind = True

    def next_report(self, topic: str, own_state_hash: str, now_s: float) -> OwnRead | None:
        """Returns the own read to report to the others, or None if no report is due."""
        if self._read_s <= self._reported_read_s or now_s < self._reported_s + REPORT_INTERVAL_S:
            return None
        self._reported_read_s, self._reported_s = self._read_s, now_s
        return OwnRead(topic, own_state_hash, self._read_s)

"""What one run of the bench measures."""

from collections import Counter
from typing import Final

from attrs import define, field

from bench.jobs import Job, Run

SHARE_OF_RUNS: Final = 0.95


@define
class Measures:
    """Counters of one run, filled while it goes on."""

    duration_s: float
    offered: int = 0
    submissions: int = 0
    # Refusals, submissions of callers who came back as told, and those of them admitted.
    refusals: int = 0
    returns: int = 0
    returns_admitted: int = 0
    # Attempts that berylquay made again.
    retries: int = 0
    failures: int = 0
    role_changes: int = 0
    cross_region_bytes: int = 0
    prefix_hits: int = 0
    prefix_lookups: int = 0
    # Numbers of the jobs that were answered in time.
    done: set[int] = field(factory=set)
    # Calls cancelled at their deadline.
    expired: int = 0
    done_by_class: Counter[str] = field(factory=Counter)
    offered_by_class: Counter[str] = field(factory=Counter)
    # Jobs of the middle third by tenant, offered and done.
    offered_in_middle: Counter[str] = field(factory=Counter)
    done_in_middle: Counter[str] = field(factory=Counter)
    first_token_s: list[float] = field(factory=list)
    between_tokens_s: list[float] = field(factory=list)

    @property
    def goodput(self) -> float:
        """Returns the answers in time per second."""
        return len(self.done) / self.duration_s

    @property
    def role_changes_per_hour(self) -> float:
        """Returns the role changes an hour."""
        return self.role_changes * 3600.0 / self.duration_s

    @property
    def hit_share(self) -> float:
        """Returns the part of prefills that found their prefix."""
        return self.prefix_hits / max(self.prefix_lookups, 1)

    def submitted(self, job: Job, now_s: float, returning: bool) -> None:
        """Counts a submission."""
        self.submissions += 1
        if now_s == job.arrival_s:
            self.offered += 1
            self.offered_by_class[job.call.class_spec.name] += 1
            if self._in_middle(job):
                self.offered_in_middle[job.call.tenant] += 1

    def returned(self, job: Job, admitted: bool) -> None:
        """Counts a caller that came back when it was told to."""
        self.returns += 1
        self.returns_admitted += admitted

    def refused(self, job: Job) -> None:
        """Counts a refusal."""
        self.refusals += 1

    def failed(self, job: Job) -> None:
        """Counts a call that ended with an error."""
        self.failures += 1

    def completed(self, run: Run, at_s: float) -> None:
        """Counts a whole answer."""
        if at_s > run.call.deadline_s:
            self.expired += 1
            return
        self.done.add(run.job.number)
        self.done_by_class[run.call.class_spec.name] += 1
        if self._in_middle(run.job):
            self.done_in_middle[run.call.tenant] += 1
        self.first_token_s.append(run.first_token_s - run.call.received_s)
        if run.job.output_tokens > 1:
            between_s = (at_s - run.first_token_s) / (run.job.output_tokens - 1)
            self.between_tokens_s.append(between_s)

    def _in_middle(self, job: Job) -> bool:
        return self.duration_s / 3.0 <= job.arrival_s < self.duration_s * 2.0 / 3.0


def percentile_95(values: list[float]) -> float:
    """Returns the value that 95 in 100 do not exceed, or 0 without values."""
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(SHARE_OF_RUNS * len(values)))]

"""Results of one run of the simulation."""

from collections import Counter
from typing import Final

from attrs import define, field

from bench.jobs import Job, JobAttempt

QUANTILE: Final = 0.95


@define
class Measures:
    """Counters of one run, updated during the run."""

    duration_s: float
    offered: int = 0
    submissions: int = 0
    # Refusals, resubmissions that honoured Retry-After, and how many of those were admitted.
    refusals: int = 0
    retry_after_submissions: int = 0
    retry_after_admitted: int = 0
    # Attempts that berylquay retried.
    retries: int = 0
    failures: int = 0
    role_changes: int = 0
    cross_region_bytes: int = 0
    prefix_hits: int = 0
    prefix_lookups: int = 0
    # Numbers of the jobs answered within their deadlines.
    completed_in_time: set[int] = field(factory=set)
    # Calls cancelled at their deadline or completed after it.
    expired: int = 0
    completed_by_class: Counter[str] = field(factory=Counter)
    offered_by_class: Counter[str] = field(factory=Counter)
    # Jobs that arrived in the middle third of the run, by tenant: offered, completed in time.
    offered_in_middle: Counter[str] = field(factory=Counter)
    completed_in_middle: Counter[str] = field(factory=Counter)
    times_to_first_token_s: list[float] = field(factory=list)
    token_intervals_s: list[float] = field(factory=list)

    @property
    def goodput(self) -> float:
        """Returns the answers within their deadlines per second."""
        return len(self.completed_in_time) / self.duration_s

    @property
    def role_changes_per_hour(self) -> float:
        """Returns the role changes per hour."""
        return self.role_changes * 3600.0 / self.duration_s

    @property
    def prefix_hit_rate(self) -> float:
        """Returns the fraction of prefills whose prefix was cached."""
        return self.prefix_hits / max(self.prefix_lookups, 1)

    def count_submission(self, job: Job, now_s: float, honoured_retry_after: bool) -> None:
        """Counts a submission; the first one of a job also counts as offered."""
        self.submissions += 1
        if now_s == job.arrival_s:
            self.offered += 1
            self.offered_by_class[job.call.class_spec.name] += 1
            if self._in_middle_third(job):
                self.offered_in_middle[job.call.tenant] += 1

    def count_retry_after(self, job: Job, admitted: bool) -> None:
        """Counts a resubmission that honoured Retry-After."""
        self.retry_after_submissions += 1
        self.retry_after_admitted += admitted

    def count_refusal(self, job: Job) -> None:
        """Counts a refusal."""
        self.refusals += 1

    def count_failure(self, job: Job) -> None:
        """Counts a call that ended with an error."""
        self.failures += 1

    def record_completion(self, attempt: JobAttempt, at_s: float) -> None:
        """Records a complete answer; one after the deadline counts as expired."""
        if at_s > attempt.call.deadline_s:
            self.expired += 1
            return
        self.completed_in_time.add(attempt.job.number)
        self.completed_by_class[attempt.call.class_spec.name] += 1
        if self._in_middle_third(attempt.job):
            self.completed_in_middle[attempt.call.tenant] += 1
        self.times_to_first_token_s.append(attempt.first_token_s - attempt.call.received_s)
        if attempt.job.output_tokens > 1:
            interval_s = (at_s - attempt.first_token_s) / (attempt.job.output_tokens - 1)
            self.token_intervals_s.append(interval_s)

    def _in_middle_third(self, job: Job) -> bool:
        return self.duration_s / 3.0 <= job.arrival_s < self.duration_s * 2.0 / 3.0


def percentile_95(values: list[float]) -> float:
    """Returns the 95th percentile, or 0 without values."""
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(QUANTILE * len(values)))]

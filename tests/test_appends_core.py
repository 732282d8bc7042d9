"""Invariants of pending appends over random outcomes of the append requests."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from berylquay.call_verdicts import Verdict
from berylquay.decisions.pending_appends import (
    AppendAttempt,
    AppendLimits,
    AppendRequest,
    PendingAppends,
)
from berylquay.standalone.records import NewRecord

LIMITS = AppendLimits(
    appends_per_s=10.0, burst_appends=4.0, max_in_flight=3, max_pending=30, max_group_records=5
)
STEP_S = 0.1
DEADLINE_S = 2.0

# Outcome of an append request: answered, not sent, connection lost after or before the record was
# appended, or still open.
OUTCOMES = ("answered", "not-sent", "lost-after", "lost-before", "open")
steps = st.tuples(st.integers(0, 3), st.booleans(), st.sampled_from(OUTCOMES))


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(steps, min_size=10, max_size=60), st.booleans())
def test_failed_means_not_appended(history: list[tuple[int, bool, str]], reads_log: bool) -> None:
    appends = PendingAppends(LIMITS, Random(1))
    in_log: set[str] = set()
    failed: set[str] = set()
    record_count = 0
    attempt_count = 0
    in_flight: list[AppendAttempt] = []
    now_s = 0.0
    for new_records, groupable, outcome in [*history, *[(0, False, "not-sent")] * 40]:
        now_s += STEP_S
        for _ in range(new_records):
            record_count += 1
            record = NewRecord(f"r{record_count}", "test")
            refused = appends.add(AppendRequest("s", record, groupable, DEADLINE_S), now_s)
            if refused is not None:
                failed.add(refused.record_id)
        started = appends.start_due(now_s)
        attempt_count += len(started)
        in_flight += started
        assert len(in_flight) <= LIMITS.max_in_flight
        assert all(len(attempt.records) <= LIMITS.max_group_records for attempt in started)
        if in_flight and outcome != "open":
            end_attempt(appends, in_flight.pop(0), outcome, in_log, now_s)
        if reads_log:
            appends.on_read_back(in_log)
        for abandoned in appends.abandon_overdue(now_s):
            if abandoned.verdict is Verdict.NOT_RUN:
                failed.add(abandoned.record_id)
    assert not failed & in_log
    assert attempt_count <= LIMITS.burst_appends + now_s * LIMITS.appends_per_s
    assert len(appends) == 0


def end_attempt(
    appends: PendingAppends, attempt: AppendAttempt, outcome: str, in_log: set[str], now_s: float
) -> None:
    if outcome in ("answered", "lost-after"):
        in_log.update(record.record_id for record in attempt.records)
    if outcome == "answered":
        appends.on_appended(attempt.attempt_id)
        return
    verdict = Verdict.NOT_RUN if outcome == "not-sent" else Verdict.MAY_HAVE_RUN
    appends.on_failed(attempt.attempt_id, verdict, outcome, now_s)

"""Invariants of pending appends over drawn outcomes of their exchanges."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from berylquay.decisions.pending_appends import (
    AppendAttempt,
    AppendLimits,
    AppendRequest,
    PendingAppends,
)
from berylquay.standalone.records import NewRecord
from berylquay.verdicts import Verdict

LIMITS = AppendLimits(
    appends_per_s=10.0, burst=4.0, max_in_flight=3, max_pending=30, max_group_records=5
)
STEP_S = 0.1
GIVE_UP_S = 2.0

# What becomes of an exchange: answered, not sent, answer lost after or before the effect.
OUTCOMES = ("answered", "not-sent", "lost-after", "lost-before", "open")
steps = st.tuples(st.integers(0, 3), st.booleans(), st.sampled_from(OUTCOMES))


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(steps, min_size=10, max_size=60), st.booleans())
def test_failed_means_not_appended(history: list[tuple[int, bool, str]], reads: bool) -> None:
    appends = PendingAppends(LIMITS, Random(1))
    in_log: set[str] = set()
    failed: set[str] = set()
    added = 0
    attempts = 0
    under_way: list[AppendAttempt] = []
    now_s = 0.0
    for new, groupable, outcome in [*history, *[(0, False, "not-sent")] * 40]:
        now_s += STEP_S
        for _ in range(new):
            added += 1
            record = NewRecord(f"r{added}", "test")
            ended = appends.add(AppendRequest("s", record, groupable, GIVE_UP_S), now_s)
            if ended is not None:
                failed.add(ended.record_id)
        started = appends.start_due(now_s)
        attempts += len(started)
        under_way += started
        assert len(under_way) <= LIMITS.max_in_flight
        assert all(len(attempt.records) <= LIMITS.max_group_records for attempt in started)
        if under_way and outcome != "open":
            end_attempt(appends, under_way.pop(0), outcome, in_log, now_s)
        if reads:
            appends.on_read(in_log)
        for given_up in appends.abandon_overdue(now_s):
            if given_up.verdict is Verdict.NOT_RUN:
                failed.add(given_up.record_id)
    assert not failed & in_log
    assert attempts <= LIMITS.burst + now_s * LIMITS.appends_per_s
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

"""Invariants of lookups in the weight store over random answers."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from berylquay.decisions.weight_lookups import (
    LOOKUP_TIMEOUT_S,
    MAX_LOOKUPS_IN_FLIGHT,
    WeightLookups,
    WeightsInfo,
    WeightsKey,
)

LOOKUPS_PER_S = 2.0
STEP_S = 0.1
steps = st.tuples(st.integers(0, 9), st.sampled_from(("exists", "missing", "busy", "lost", "open")))


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(steps, min_size=60, max_size=160))
def test_lookup_rate_is_limited_and_every_lookup_ends_in_time(
    history: list[tuple[int, str]],
) -> None:
    lookups = WeightLookups(LOOKUPS_PER_S, Random(1))
    requested_s: dict[WeightsKey, float] = {}
    in_flight: list[WeightsKey] = []
    sent_count = 0
    now_s = backoff_until_s = 0.0
    for number, answer in history:
        now_s += STEP_S
        key = WeightsKey(f"m{number}", "1")
        if lookups.get_or_request(key, now_s) is None:
            requested_s.setdefault(key, now_s)
        started = lookups.start_due_lookups(now_s)
        assert not started or now_s >= backoff_until_s
        sent_count += len(started)
        in_flight += started
        assert len(in_flight) <= MAX_LOOKUPS_IN_FLIGHT
        if in_flight and answer != "open":
            ended = in_flight.pop(0)
            if answer in ("exists", "missing"):
                lookups.on_answer(ended, WeightsInfo(answer == "exists"))
                requested_s.pop(ended, None)
            else:
                retry_after_s = 1.0 if answer == "busy" else 0.0
                lookups.on_failure(ended, now_s, retry_after_s)
                backoff_until_s = max(backoff_until_s, now_s + retry_after_s)
        for key in lookups.expire_overdue(now_s):
            del requested_s[key]
        assert all(now_s - request_s < LOOKUP_TIMEOUT_S for request_s in requested_s.values())
    assert sent_count <= LOOKUPS_PER_S + now_s * LOOKUPS_PER_S + 1e-6

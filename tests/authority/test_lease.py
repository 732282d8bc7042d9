"""The lease: one authority at a time, whatever is lost, late, paused or expired."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylquay.component_messages import RecordAppendRequested, RecordsRead
from berylquay.decisions.controller_lease import CLAIM, RENEWAL, LeaseManager, LeaseTiming
from berylquay.standalone.records import LogRecord
from tests.authority.lease_world import World
from tests.support.cases import seeded_cases

LIMITS = LeaseTiming(claim_jitter_s=0.0)
STREAM = "authority-fes-1"
FIRST_CLAIM_S = LIMITS.takeover_wait_s


def keeper(holder: str = "a") -> LeaseManager:
    return LeaseManager("fes-1", holder, LIMITS, random.Random(1))


def read(*records: LogRecord, first_offset: int = 1) -> RecordsRead:
    return RecordsRead(STREAM, records, first_offset, first_offset + len(records), 0.0)


def landed(request: RecordAppendRequested, offset: int) -> LogRecord:
    return LogRecord(offset, request.record.record_id, request.record.kind, request.record.fields)


def claimed(holder: LeaseManager) -> LogRecord:
    holder.on_tick(0.0)
    (claim,) = holder.on_tick(FIRST_CLAIM_S)
    return landed(claim, 1)


def test_lease_counts_from_before_the_append() -> None:
    holder = keeper()
    holder.on_records(read(claimed(holder)), FIRST_CLAIM_S + 4.0)
    authority = holder.authority(FIRST_CLAIM_S + 4.0)
    assert authority is not None
    assert authority.term == 1
    assert authority.expires_s == FIRST_CLAIM_S + LIMITS.lease_s
    assert holder.authority(authority.expires_s) is None


def test_lost_answer_is_settled_by_reading_on() -> None:
    holder = keeper()
    claim = claimed(holder)
    # No answer comes at all, only the record.
    assert holder.authority(FIRST_CLAIM_S + 1.0) is None
    holder.on_records(read(claim), FIRST_CLAIM_S + 2.0)
    assert holder.authority(FIRST_CLAIM_S + 2.0) is not None


def test_first_of_two_claims_wins() -> None:
    first, second = keeper("a"), keeper("b")
    records = (claimed(first), LogRecord(2, *_second_claim(second)))
    for holder in (first, second):
        holder.on_records(read(*records), FIRST_CLAIM_S + 1.0)
    assert first.authority(FIRST_CLAIM_S + 1.0) is not None
    assert second.authority(FIRST_CLAIM_S + 1.0) is None
    assert second.term == 1


def _second_claim(holder: LeaseManager) -> tuple[str, str, dict[str, object]]:
    record = claimed(holder)
    return record.record_id, record.kind, record.fields


def test_renewal_behind_a_claim_of_another_extends_nothing() -> None:
    holder, other = keeper("a"), keeper("b")
    claim = claimed(holder)
    holder.on_records(read(claim), FIRST_CLAIM_S)
    (renewal,) = holder.on_tick(FIRST_CLAIM_S + 5.0)
    assert renewal.record.kind == RENEWAL
    takeover = LogRecord(2, "b-9", CLAIM, {"holder": "b", "supersedes": 1, "read_to": 1})
    for process in (holder, other):
        process.on_records(read(claim, takeover, landed(renewal, 3)), FIRST_CLAIM_S + 6.0)
        assert process.term == 2
    assert holder.authority(FIRST_CLAIM_S + 6.0) is None


def test_authority_ends_while_the_platform_is_away_and_returns_with_it() -> None:
    holder = keeper()
    holder.on_records(read(claimed(holder)), FIRST_CLAIM_S)
    later_s = FIRST_CLAIM_S + 100.0
    assert holder.authority(later_s) is None
    (renewal,) = holder.on_tick(later_s)
    holder.on_records(read(landed(renewal, 2), first_offset=2), later_s + 1.0)
    authority = holder.authority(later_s + 1.0)
    assert authority is not None
    assert authority.expires_s == later_s + LIMITS.lease_s


def test_records_that_expired_unread_end_the_authority() -> None:
    holder = keeper()
    holder.on_records(read(claimed(holder)), FIRST_CLAIM_S)
    holder.on_records(read(first_offset=3), FIRST_CLAIM_S + 1.0)
    assert holder.authority(FIRST_CLAIM_S + 1.0) is None


def test_released_lease_is_taken_over_without_waiting_for_its_end() -> None:
    holder, other = keeper("a"), keeper("b")
    claim = claimed(holder)
    holder.on_records(read(claim), FIRST_CLAIM_S)
    (release,) = holder.release(FIRST_CLAIM_S + 1.0)
    assert holder.authority(FIRST_CLAIM_S + 1.0) is None
    other.on_tick(0.0)
    other.on_records(read(claim, landed(release, 2)), FIRST_CLAIM_S + 1.0)
    assert not other.on_tick(FIRST_CLAIM_S + 1.0 + LIMITS.order_margin_s)
    (takeover,) = other.on_tick(FIRST_CLAIM_S + 1.5 + LIMITS.order_margin_s)
    assert takeover.record.fields["supersedes"] == 1


@pytest.mark.parametrize("drift", [0.0, 0.005, 0.1])
def test_successor_waits_out_the_slowest_clock_by_the_fastest(drift: float) -> None:
    limits = LeaseTiming(clock_drift=drift, claim_jitter_s=0.0)
    fast_rate, slow_rate = 1.0 + drift, 1.0 - drift
    successor = LeaseManager("fes-1", "b", limits, random.Random(1))
    successor.on_tick(0.0)
    last_effect_s = limits.lease_s / slow_rate + limits.order_margin_s
    assert not successor.on_tick((last_effect_s - 0.001) * fast_rate)


def interleaves(terms: list[int]) -> bool:
    return any(later < earlier for earlier, later in zip(terms, terms[1:], strict=False))


@seeded_cases(300)
@given(seed=st.integers(0, 2**32), hosts=st.integers(2, 4))
def test_orders_of_two_authorities_never_interleave(seed: int, hosts: int) -> None:
    assert not interleaves(World(random.Random(seed), guarded=True).run(hosts))


def test_a_pause_before_an_unguarded_write_interleaves_authorities() -> None:
    runs = [World(random.Random(seed), guarded=False).run(3) for seed in range(60)]
    assert any(interleaves(terms) for terms in runs)


def test_the_cases_see_takeovers() -> None:
    runs = [World(random.Random(seed), guarded=True).run(3) for seed in range(20)]
    assert sum(len(set(terms)) for terms in runs) > 40

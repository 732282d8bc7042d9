"""The lease: one valid authority at a time under lost, late, paused and expired records."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylquay.component_messages import RecordAppendRequested, RecordsRead
from berylquay.decisions.controller_lease import CLAIM, RENEWAL, LeaseManager, LeaseTiming
from berylquay.standalone.records import LogRecord
from tests.authority.lease_simulation import LeaseSimulation
from tests.support.cases import seeded_cases

TIMING = LeaseTiming(claim_jitter_s=0.0)
STREAM = "authority-fes-1"
FIRST_CLAIM_S = TIMING.takeover_wait_s


def make_manager(holder: str = "a") -> LeaseManager:
    return LeaseManager("fes-1", holder, TIMING, random.Random(1))


def records_read(*records: LogRecord, first_offset: int = 1) -> RecordsRead:
    return RecordsRead(STREAM, records, first_offset, first_offset + len(records), 0.0)


def appended_record(request: RecordAppendRequested, offset: int) -> LogRecord:
    return LogRecord(offset, request.record.record_id, request.record.kind, request.record.fields)


def first_claim_record(manager: LeaseManager) -> LogRecord:
    manager.on_tick(0.0)
    (claim,) = manager.on_tick(FIRST_CLAIM_S)
    return appended_record(claim, 1)


def test_lease_time_starts_before_the_append() -> None:
    manager = make_manager()
    manager.on_records(records_read(first_claim_record(manager)), FIRST_CLAIM_S + 4.0)
    authority = manager.authority(FIRST_CLAIM_S + 4.0)
    assert authority is not None
    assert authority.term == 1
    assert authority.expires_s == FIRST_CLAIM_S + TIMING.lease_s
    assert manager.authority(authority.expires_s) is None


def test_claim_with_lost_answer_is_confirmed_by_its_record() -> None:
    manager = make_manager()
    claim = first_claim_record(manager)
    # The append is never answered; the host only reads the record back.
    assert manager.authority(FIRST_CLAIM_S + 1.0) is None
    manager.on_records(records_read(claim), FIRST_CLAIM_S + 2.0)
    assert manager.authority(FIRST_CLAIM_S + 2.0) is not None


def test_first_of_two_claims_wins() -> None:
    first, second = make_manager("a"), make_manager("b")
    records = (first_claim_record(first), LogRecord(2, *_second_claim(second)))
    for manager in (first, second):
        manager.on_records(records_read(*records), FIRST_CLAIM_S + 1.0)
    assert first.authority(FIRST_CLAIM_S + 1.0) is not None
    assert second.authority(FIRST_CLAIM_S + 1.0) is None
    assert second.term == 1


def _second_claim(manager: LeaseManager) -> tuple[str, str, dict[str, object]]:
    record = first_claim_record(manager)
    return record.record_id, record.kind, record.fields


def test_renewal_after_a_claim_of_another_host_has_no_effect() -> None:
    manager, other = make_manager("a"), make_manager("b")
    claim = first_claim_record(manager)
    manager.on_records(records_read(claim), FIRST_CLAIM_S)
    (renewal,) = manager.on_tick(FIRST_CLAIM_S + 5.0)
    assert renewal.record.kind == RENEWAL
    takeover = LogRecord(2, "b-9", CLAIM, {"holder": "b", "supersedes": 1, "read_to": 1})
    for process in (manager, other):
        process.on_records(
            records_read(claim, takeover, appended_record(renewal, 3)), FIRST_CLAIM_S + 6.0
        )
        assert process.term == 2
    assert manager.authority(FIRST_CLAIM_S + 6.0) is None


def test_authority_expires_during_a_log_outage_and_returns_after_it() -> None:
    manager = make_manager()
    manager.on_records(records_read(first_claim_record(manager)), FIRST_CLAIM_S)
    later_s = FIRST_CLAIM_S + 100.0
    assert manager.authority(later_s) is None
    (renewal,) = manager.on_tick(later_s)
    manager.on_records(records_read(appended_record(renewal, 2), first_offset=2), later_s + 1.0)
    authority = manager.authority(later_s + 1.0)
    assert authority is not None
    assert authority.expires_s == later_s + TIMING.lease_s


def test_authority_ends_when_records_expired_before_they_were_read() -> None:
    manager = make_manager()
    manager.on_records(records_read(first_claim_record(manager)), FIRST_CLAIM_S)
    manager.on_records(records_read(first_offset=3), FIRST_CLAIM_S + 1.0)
    assert manager.authority(FIRST_CLAIM_S + 1.0) is None


def test_released_lease_is_taken_over_before_it_expires() -> None:
    manager, other = make_manager("a"), make_manager("b")
    claim = first_claim_record(manager)
    manager.on_records(records_read(claim), FIRST_CLAIM_S)
    (release,) = manager.release(FIRST_CLAIM_S + 1.0)
    assert manager.authority(FIRST_CLAIM_S + 1.0) is None
    other.on_tick(0.0)
    other.on_records(records_read(claim, appended_record(release, 2)), FIRST_CLAIM_S + 1.0)
    assert not other.on_tick(FIRST_CLAIM_S + 1.0 + TIMING.order_margin_s)
    (takeover,) = other.on_tick(FIRST_CLAIM_S + 1.5 + TIMING.order_margin_s)
    assert takeover.record.fields["supersedes"] == 1


@pytest.mark.parametrize("drift", [0.0, 0.005, 0.1])
def test_successor_waits_for_the_slowest_clock_by_the_fastest(drift: float) -> None:
    timing = LeaseTiming(clock_drift=drift, claim_jitter_s=0.0)
    fast_rate, slow_rate = 1.0 + drift, 1.0 - drift
    successor = LeaseManager("fes-1", "b", timing, random.Random(1))
    successor.on_tick(0.0)
    last_effect_s = timing.lease_s / slow_rate + timing.order_margin_s
    assert not successor.on_tick((last_effect_s - 0.001) * fast_rate)


def interleaves(terms: list[int]) -> bool:
    return any(later < earlier for earlier, later in zip(terms, terms[1:], strict=False))


@seeded_cases(300)
@given(seed=st.integers(0, 2**32), hosts=st.integers(2, 4))
def test_orders_of_two_terms_never_interleave(seed: int, hosts: int) -> None:
    assert not interleaves(
        LeaseSimulation(random.Random(seed), checks_expiry_at_write=True).run(hosts)
    )


def test_a_pause_before_an_unchecked_write_interleaves_orders() -> None:
    runs = [
        LeaseSimulation(random.Random(seed), checks_expiry_at_write=False).run(3)
        for seed in range(60)
    ]
    assert any(interleaves(terms) for terms in runs)


def test_the_cases_include_takeovers() -> None:
    runs = [
        LeaseSimulation(random.Random(seed), checks_expiry_at_write=True).run(3)
        for seed in range(20)
    ]
    assert sum(len(set(terms)) for terms in runs) > 40

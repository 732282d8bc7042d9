"""Admission: refusals are immediate and NOT_RUN, tenant shares hold, Retry-After times spread."""

import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from berylquay.call_verdicts import RefusalReason, Verdict
from berylquay.decisions.deployment import Deployment, TenantSpec
from berylquay.decisions.engine_speed import EngineSpeed
from berylquay.decisions.fleet import MembershipView
from berylquay.decisions.fleet_load import FleetLoad
from berylquay.decisions.latency_prediction import LatencyPredictor
from berylquay.decisions.predicted_admission import PredictedAdmission
from berylquay.decisions.prediction_correction import PredictionCorrection
from berylquay.decisions.tenants.shares import TenantShares
from tests.test_routing import make_call, make_server

TENANTS = (TenantSpec("fes", 1.0), TenantSpec("tangier", 1.0))


def make_admission() -> PredictedAdmission:
    deployment = Deployment("jamiat", tenants=TENANTS)
    return PredictedAdmission(deployment, LatencyPredictor(EngineSpeed()), 1.0)


def test_an_idle_engine_admits() -> None:
    assert make_admission().check_admission(make_call(), make_server("e"), 0.0) is None


def test_call_that_cannot_meet_its_deadline_is_refused_before_it_runs() -> None:
    call = evolve(make_call(), deadline_s=0.5)
    refusal = make_admission().check_admission(call, make_server("e"), 0.0)
    assert refusal is not None
    assert refusal.reason is RefusalReason.DEADLINE
    assert refusal.verdict is Verdict.NOT_RUN


def test_caller_that_honoured_retry_after_is_admitted_first() -> None:
    admission, server = make_admission(), make_server("e", 200000)
    first = admission.check_admission(make_call(), server, 0.0)
    assert first is not None
    assert first.retry_after_s is not None
    assert first.retry_after_s >= 1.0
    assert admission.check_admission(make_call(), server, 0.0, honoured_retry_after=True) is None


def test_a_flooding_tenant_is_refused_where_another_is_admitted() -> None:
    admission, server = make_admission(), make_server("e", 20000)
    for _ in range(50):
        admission.on_started(make_call(), 0.0)
    flooding = make_call()
    other = evolve(make_call(), tenant="tangier")
    assert admission.check_admission(flooding, server, 0.0) is not None
    assert admission.check_admission(other, server, 0.0) is None


def test_retry_after_grows_with_each_refusal() -> None:
    admission, server = make_admission(), make_server("e", 2000000)
    retry_after_s = []
    for _ in range(20):
        refusal = admission.check_admission(make_call(), server, 0.0)
        assert refusal is not None
        assert refusal.retry_after_s is not None
        retry_after_s.append(refusal.retry_after_s)
    assert retry_after_s == sorted(retry_after_s)
    assert retry_after_s[-1] > retry_after_s[0]


@settings(max_examples=100, derandomize=True)
@given(st.lists(st.tuples(st.sampled_from(["fes", "tangier", "?"]), st.floats(0.01, 5.0))))
def test_usage_weighted_by_shares_adds_up_to_the_work_of_declared_tenants(
    work: list[tuple[str, float]],
) -> None:
    shares = TenantShares(TENANTS)
    for tenant, work_s in work:
        shares.add_work(tenant, work_s, 0.0)
    declared_work_s = sum(work_s for tenant, work_s in work if tenant != "?")
    total_work_s = sum(work_s for _, work_s in work)
    weighted_usage = sum(shares.usage_ratio(tenant.name, 0.0) * 0.5 for tenant in TENANTS)
    assert weighted_usage * total_work_s == pytest.approx(declared_work_s)


@settings(max_examples=100, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 2), st.integers(1, 4000), st.integers(1, 20))))
def test_counts_return_to_zero_when_every_attempt_has_ended(
    attempts: list[tuple[int, int, int]],
) -> None:
    fleet_load = FleetLoad("fes")
    servers = tuple(make_server(f"e{number}").server for number in range(3))
    fleet_load.on_membership(MembershipView(1, servers, ()))
    for number, tokens, priority in attempts:
        fleet_load.on_sent(f"e{number}", tokens, priority)
    for number, tokens, priority in attempts:
        fleet_load.on_first_token(f"e{number}", tokens, priority)
        fleet_load.on_ended(f"e{number}")
    for candidate in fleet_load.candidates("pool").local:
        assert candidate.in_flight == candidate.pending_prompt_tokens == 0
        assert not any(candidate.pending_by_priority.values())


def test_too_slow_predictions_are_corrected_by_observed_latencies() -> None:
    admission = make_admission()
    call = evolve(make_call(), deadline_s=4.0)
    assert admission.check_admission(call, make_server("e"), 0.0) is not None
    for number in range(400):
        other = evolve(make_call(), call_id=str(number), deadline_s=600.0)
        assert admission.check_admission(other, make_server("e"), 0.0) is None
        admission.on_started(other, 0.0)
        admission.on_first_token(other, 0.01)
        admission.on_ended(other, 128, 0.01 + 127 * 0.002)
    assert admission.check_admission(call, make_server("e"), 0.5) is None


def test_correction_decays_without_observations() -> None:
    # Otherwise a correction that refuses every call would never be observed to be wrong.
    correction = PredictionCorrection(8.0)
    assert correction.factor(10.0) == pytest.approx(8.0)
    correction.observe(1.0, 8.0, 10.0)
    assert correction.factor(10.0 + 4 * 30.0) == pytest.approx(1.0)

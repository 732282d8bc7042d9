"""Admission per deployment: state survives other changes, unknown classes are admitted."""

from attrs import evolve

from berylquay.decisions.deployment import (
    ClassSpec,
    Configuration,
    Deployment,
    TenantSpec,
    WorkKind,
)
from berylquay.decisions.engine_speed import EngineSpeed
from berylquay.decisions.fleet import Address, EntryHost, MembershipView
from berylquay.decisions.per_deployment_admission import PerDeploymentAdmission
from tests.test_routing import make_call, make_server

CLASS = ClassSpec("quick-question", WorkKind.GENERATION, "pool")
JAMIAT = Deployment("jamiat", classes=(CLASS,), tenants=(TenantSpec("fes"), TenantSpec("other")))
BUSY_TOKENS = 2000000


def make_admission() -> PerDeploymentAdmission:
    admission = PerDeploymentAdmission("fes", EngineSpeed())
    admission.on_configuration(Configuration(1, (JAMIAT,)))
    return admission


def test_a_busy_engine_refuses_and_an_idle_one_admits() -> None:
    admission = make_admission()
    assert admission.check_admission(make_call(), make_server("e", BUSY_TOKENS), 0.0) is not None
    assert admission.check_admission(make_call(), make_server("e"), 0.0) is None


def test_a_class_that_is_no_longer_configured_is_admitted() -> None:
    admission = make_admission()
    admission.on_configuration(Configuration(2, ()))
    call = make_call()
    assert admission.check_admission(call, make_server("e", BUSY_TOKENS), 0.0) is None
    admission.on_started(call, 0.0)
    admission.on_ended(call, 1, 1.0)


def test_retry_after_state_survives_a_change_of_another_deployment() -> None:
    admission, busy_server = make_admission(), make_server("e", BUSY_TOKENS)
    first = admission.check_admission(make_call(), busy_server, 0.0)
    admission.on_configuration(Configuration(2, (JAMIAT, Deployment("meskel"))))
    second = admission.check_admission(make_call(), busy_server, 0.0)
    assert first is not None
    assert second is not None
    assert (second.retry_after_s or 0.0) > (first.retry_after_s or 0.0)


def test_retry_after_grows_with_the_number_of_hosts() -> None:
    last_retry_after_s = []
    for host_count in (1, 4):
        admission = make_admission()
        entry_hosts = tuple(
            EntryHost(f"h{number}", Address("127.0.0.1", 1), "fes", "fes")
            for number in range(host_count)
        )
        admission.on_membership(MembershipView(1, (make_server("e").server,), entry_hosts))
        busy_server = make_server("e", BUSY_TOKENS)
        refusals = [admission.check_admission(make_call(), busy_server, 0.0) for _ in range(9)]
        last_retry_after_s.append(refusals[-1].retry_after_s if refusals[-1] else None)
    assert last_retry_after_s[0] is not None
    assert last_retry_after_s[1] is not None
    assert last_retry_after_s[1] > last_retry_after_s[0]


def test_no_tenant_exceeds_its_share_without_declared_tenants() -> None:
    admission = make_admission()
    admission.on_configuration(Configuration(2, (evolve(JAMIAT, tenants=()),)))
    assert admission.check_admission(make_call(), make_server("e", 60000), 0.0) is None

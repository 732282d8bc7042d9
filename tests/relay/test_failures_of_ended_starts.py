"""Attempts at a start of a server that fail once the next start is listed under the same name."""

from unittest.mock import Mock

import pytest
from attrs import evolve

from berylquay.decisions.attempt_outcomes import AttemptOutcome
from berylquay.decisions.backend_health import BackendHealth, HealthOptions
from berylquay.decisions.backend_registry import BackendEntry, BackendRegistry, EntryState
from berylquay.decisions.fleet import Address
from berylquay.relay.attempt_failures import RUN_STAGE, record_failed_attempt

ENTRY = BackendEntry(
    "s", "app", Address("10.0.0.1", 80), "a", 4, EntryState.READY, started_unix_ms=1000
)
NOW_S = 5.0


# Guards against a new start that gets no requests, for 5 s and more after a 421, because a request
# was on its way to the address of the start before: another server answers there.
@pytest.mark.parametrize("is_replaced", [True, False])
@pytest.mark.parametrize("outcome", [AttemptOutcome.WRONG_SERVER, AttemptOutcome.NOT_SENT])
def test_a_failure_of_an_ended_start_is_not_held_against_the_next_one(
    outcome: AttemptOutcome, *, is_replaced: bool
) -> None:
    registry, health = BackendRegistry(), BackendHealth(HealthOptions())
    registry.on_entry(ENTRY)
    if is_replaced:
        registry.on_entry(evolve(ENTRY, address=Address("10.0.0.2", 80), started_unix_ms=2000))
    services = Mock(registry=registry, health=health)
    services.path_monitor.paths.is_lost.return_value = False
    upstream = Mock(backend=ENTRY, gateway=None, head=None, started_s=NOW_S)
    record_failed_attempt(
        services, Mock(), upstream, outcome, "detail", stage=RUN_STAGE, wrote_s=None, now_s=NOW_S
    )
    assert health.is_backing_off("s", NOW_S + 0.1) is not is_replaced
    assert bool(health.misdirected_servers(NOW_S + 0.1)) is (
        outcome is AttemptOutcome.WRONG_SERVER and not is_replaced
    )
    assert services.path_monitor.on_connect_failed.called is (
        outcome is AttemptOutcome.NOT_SENT and not is_replaced
    )


# Guards against a request that waits at a start whose end was not noticed, such as behind a
# forwarder, for as long as the next start under the same name serves others.
def test_activity_of_the_next_start_is_none_of_the_start_before() -> None:
    health = BackendHealth(HealthOptions())
    health.on_activity("s", 2.0)
    assert health.was_active_since("s", 1.0)
    health.on_restarted("s", 3.0)
    health.on_answered("s", 5.0)
    assert not health.was_active_since("s", 1.0)
    assert health.was_active_since("s", 4.0)

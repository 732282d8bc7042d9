"""Orders and drains: one order in flight per engine, and none that cuts a request off."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylquay.decisions.engine_changes import PoolEngines, can_take_out_of_service
from berylquay.decisions.fleet import Role
from berylquay.decisions.host_drains import HostDrains
from berylquay.peers.payloads import DrainNotice
from tests.authority.order_simulation import ENGINES, OrderSimulation
from tests.support.cases import seeded_cases


@seeded_cases(60)
@given(seed=st.integers(0, 2**32))
def test_no_order_conflicts_or_cuts_a_request_off(seed: int) -> None:
    assert OrderSimulation(random.Random(seed)).run().faults == []


def test_the_cases_make_changes_in_several_terms() -> None:
    simulations = [OrderSimulation(random.Random(seed)).run() for seed in range(10)]
    assert sum(simulation.changes_made for simulation in simulations) > 20
    assert len({term for run in simulations for e in run.engines.values() for term in e.terms}) > 2


@pytest.mark.parametrize(
    ("serving", "changing", "expected"),
    [
        ({"e0": Role.PREFILL, "e1": Role.PREFILL, "e2": Role.DECODE}, [], True),
        ({"e0": Role.PREFILL, "e1": Role.DECODE, "e2": Role.DECODE}, [], False),
        ({"e0": Role.PREFILL, "e1": Role.MIXED, "e2": Role.DECODE}, [], True),
        ({"e0": Role.MIXED, "e1": Role.MIXED}, ["e2"], False),
    ],
)
def test_pool_keeps_its_minimum_and_loses_one_engine_at_a_time(
    serving: dict[str, Role], changing: list[str], expected: bool
) -> None:
    engines = PoolEngines(len(ENGINES), serving, changing)
    assert can_take_out_of_service("e0", engines, min_per_role=1) is expected


def test_host_drain_lasts_for_its_validity_and_ignores_older_notices() -> None:
    host_drains = HostDrains(validity_s=10.0)
    assert host_drains.on_notice("c", DrainNotice("e", True, term=5, notice=2), 0.0)
    assert not host_drains.on_notice("old", DrainNotice("e", False, term=4, notice=9), 1.0)
    assert not host_drains.on_notice("c", DrainNotice("e", False, term=5, notice=1), 1.0)
    assert not host_drains.on_tick(9.9)
    (change,) = host_drains.on_tick(10.0)
    assert not change.draining


def test_host_acknowledges_again_when_its_last_attempt_has_ended() -> None:
    host_drains = HostDrains(validity_s=10.0)
    host_drains.on_attempt_started("e")
    notice = DrainNotice("e", True, term=5, notice=2)
    host_drains.on_notice("c", notice, 0.0)
    # An attempt that was decided on before the notice may not have been reported yet.
    assert not host_drains.take_acknowledgements()
    host_drains.on_drain_applied(notice)
    assert [message.in_flight for _, message in host_drains.take_acknowledgements()] == [1]
    assert not host_drains.take_acknowledgements()
    host_drains.on_attempt_ended("e")
    assert [message.in_flight for _, message in host_drains.take_acknowledgements()] == [0]

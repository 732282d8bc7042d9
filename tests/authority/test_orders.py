"""Orders and drains: one in flight per engine, none that cuts a request off."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylquay.decisions.engine_changes import PoolEngines, can_take_out_of_service
from berylquay.decisions.fleet import Role
from berylquay.decisions.host_drains import HostDrains
from berylquay.peers.payloads import DrainNotice
from tests.authority.order_world import ENGINES, World
from tests.support.cases import seeded_cases


@seeded_cases(60)
@given(seed=st.integers(0, 2**32))
def test_no_order_conflicts_or_cuts_a_request_off(seed: int) -> None:
    assert World(random.Random(seed)).run().faults == []


def test_the_cases_make_changes_under_several_terms() -> None:
    worlds = [World(random.Random(seed)).run() for seed in range(10)]
    assert sum(world.made for world in worlds) > 20
    assert len({term for w in worlds for e in w.engines.values() for term in e.terms}) > 2


@pytest.mark.parametrize(
    ("serving", "changing", "expected"),
    [
        ({"e0": Role.PREFILL, "e1": Role.PREFILL, "e2": Role.DECODE}, [], True),
        ({"e0": Role.PREFILL, "e1": Role.DECODE, "e2": Role.DECODE}, [], False),
        ({"e0": Role.PREFILL, "e1": Role.MIXED, "e2": Role.DECODE}, [], True),
        ({"e0": Role.MIXED, "e1": Role.MIXED}, ["e2"], False),
    ],
)
def test_pool_keeps_its_floor_and_loses_one_engine_at_a_time(
    serving: dict[str, Role], changing: list[str], expected: bool
) -> None:
    engines = PoolEngines(len(ENGINES), serving, changing)
    assert can_take_out_of_service("e0", engines, min_per_role=1) is expected


def test_host_keeps_its_promise_for_its_time_and_ignores_older_notices() -> None:
    held = HostDrains(validity_s=10.0)
    assert held.on_notice("c", DrainNotice("e", True, term=5, notice=2), 0.0)
    assert not held.on_notice("old", DrainNotice("e", False, term=4, notice=9), 1.0)
    assert not held.on_notice("c", DrainNotice("e", False, term=5, notice=1), 1.0)
    assert not held.on_tick(9.9)
    (change,) = held.on_tick(10.0)
    assert not change.draining


def test_host_tells_again_when_its_last_attempt_has_ended() -> None:
    held = HostDrains(validity_s=10.0)
    held.on_attempt_started("e")
    notice = DrainNotice("e", True, term=5, notice=2)
    held.on_notice("c", notice, 0.0)
    # An attempt that was decided on before the notice may not have been heard of yet.
    assert not held.take_acknowledgements()
    held.on_drain_applied(notice)
    assert [message.in_flight for _, message in held.take_acknowledgements()] == [1]
    assert not held.take_acknowledgements()
    held.on_attempt_ended("e")
    assert [message.in_flight for _, message in held.take_acknowledgements()] == [0]

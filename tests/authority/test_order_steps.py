"""Single steps of the order keeper that the randomised cases reach too seldom."""

from collections.abc import Sequence

import pytest
from attrs import evolve

from berylquay.decisions.controller_lease import Authority
from berylquay.decisions.engine_orders import EngineState, OrderSendOutcome
from berylquay.decisions.fleet import Role
from berylquay.decisions.order_commands import (
    ChangeEnded,
    DrainNoticeWanted,
    EnginePhase,
    OrderCommand,
    OrderLimits,
    OrderSendWanted,
    StateReadWanted,
)
from berylquay.decisions.order_controller import OrderController
from berylquay.decisions.roles import RoleChange
from berylquay.peers.payloads import DrainAcknowledgement
from tests.authority.order_world import HOSTS, configuration, membership

LIMITS = OrderLimits()
IDLE = EngineState("e0", "i1", Role.MIXED, "m@1", frozenset({"a"}), 0, "", "")
LEASE_END_S = 1000.0


def governing_keeper(until_s: float = LEASE_END_S) -> OrderController:
    """Returns a keeper that holds term 7 and wants e0 to decode."""
    keeper = OrderController("dc", "h0", LIMITS)
    keeper.on_membership(membership())
    keeper.on_configuration(configuration("1"))
    keeper.on_authority(Authority(7, until_s), 0.0)
    keeper.on_role_change_requested(RoleChange("e0", Role.DECODE))
    return keeper


def settle(keeper: OrderController, state: EngineState = IDLE, from_s: float = 0.0) -> None:
    """Lets the keeper know all engines; the others serve the roles that e0 leaves."""
    for name in ("e0", "e1", "e2"):
        for asked_s in (from_s, from_s + LIMITS.state_confirmation_s):
            keeper.on_engine_state(name, evolve(state, backend=name), asked_s, asked_s + 0.1)


def notice_number(commands: Sequence[OrderCommand]) -> int:
    return next(c.notice.notice for c in commands if isinstance(c, DrainNoticeWanted))


def acknowledge(keeper: OrderController, number: int, hosts: Sequence[str] = HOSTS) -> None:
    for host in hosts:
        keeper.on_drain_acknowledgement(host, DrainAcknowledgement("e0", 7, 0, number))


def draining_keeper(now_s: float) -> tuple[OrderController, int]:
    keeper = governing_keeper()
    settle(keeper)
    number = notice_number(keeper.on_tick(now_s))
    assert keeper.phase_of("e0") is EnginePhase.DRAINING
    return keeper, number


def ordered(commands: Sequence[OrderCommand]) -> list[OrderSendWanted]:
    return [command for command in commands if isinstance(command, OrderSendWanted)]


def read_wanted(commands: Sequence[OrderCommand]) -> bool:
    return any(isinstance(c, StateReadWanted) and c.backend == "e0" for c in commands)


def test_engine_is_unknown_until_two_equal_readings_lie_apart() -> None:
    keeper = governing_keeper()
    keeper.on_engine_state("e0", IDLE, 0.0, 0.1)
    keeper.on_engine_state(
        "e0", IDLE, LIMITS.state_confirmation_s / 2, LIMITS.state_confirmation_s / 2
    )
    assert keeper.phase_of("e0") is EnginePhase.UNKNOWN
    # An order of a predecessor that the engine took in between starts the wait anew.
    keeper.on_engine_state(
        "e0",
        evolve(IDLE, last_order="old"),
        LIMITS.state_confirmation_s,
        LIMITS.state_confirmation_s,
    )
    assert keeper.phase_of("e0") is EnginePhase.UNKNOWN
    last_s = 2 * LIMITS.state_confirmation_s
    keeper.on_engine_state("e0", evolve(IDLE, last_order="old"), last_s, last_s)
    assert keeper.phase_of("e0") is EnginePhase.IDLE


def test_promise_that_may_run_out_before_the_order_does_not_count() -> None:
    keeper, number = draining_keeper(1.0)
    acknowledge(keeper, number)
    latest_s = 1.0 + LIMITS.drain_validity_s - LIMITS.order_lifetime_s - LIMITS.order_margin_s
    assert not read_wanted(keeper.on_tick(latest_s + 0.1))
    assert not ordered(keeper.on_engine_state("e0", IDLE, latest_s + 0.1, latest_s + 0.2))


def test_host_that_does_not_acknowledge_puts_the_change_off() -> None:
    keeper, number = draining_keeper(1.0)
    acknowledge(keeper, number, HOSTS[:-1])
    assert not read_wanted(keeper.on_tick(2.0))
    end_s = 1.0 + LIMITS.drain_timeout_s
    acknowledge(keeper, notice_number(keeper.on_tick(end_s - 1.0)), HOSTS[:-1])
    commands = keeper.on_tick(end_s)
    (ended,) = [command for command in commands if isinstance(command, ChangeEnded)]
    assert (ended.succeeded, ended.detail) == (False, "h2 has not acknowledged the drain")
    assert any(isinstance(c, DrainNoticeWanted) and not c.notice.draining for c in commands)


def test_restarted_host_must_promise_again() -> None:
    keeper, number = draining_keeper(1.0)
    acknowledge(keeper, number)
    assert read_wanted(keeper.on_tick(1.2))
    keeper.on_host_disconnected("h1")
    assert not ordered(keeper.on_engine_state("e0", IDLE, 1.2, 1.3))
    acknowledge(keeper, notice_number(keeper.on_tick(2.1)))
    assert ordered(keeper.on_engine_state("e0", IDLE, 2.2, 2.3))


def test_engine_that_still_runs_something_gets_no_order() -> None:
    keeper, number = draining_keeper(1.0)
    acknowledge(keeper, number)
    assert read_wanted(keeper.on_tick(1.2))
    assert not ordered(keeper.on_engine_state("e0", evolve(IDLE, running_requests=1), 1.2, 1.3))
    assert ordered(keeper.on_engine_state("e0", IDLE, 1.4, 1.5))


@pytest.mark.parametrize("until_s", [2.0, LEASE_END_S])
def test_order_expires_with_the_lease_at_the_latest(until_s: float) -> None:
    keeper, number = draining_keeper(0.9)
    keeper.on_authority(Authority(7, until_s), 0.9)
    acknowledge(keeper, number)
    (wanted,) = ordered(keeper.on_engine_state("e0", IDLE, 0.9, 1.0))
    assert wanted.order.expires_s == min(until_s, 1.0 + LIMITS.order_lifetime_s)


def test_no_order_at_the_end_of_the_lease() -> None:
    keeper, number = draining_keeper(1.0)
    keeper.on_authority(Authority(7, 1.5), 1.0)
    acknowledge(keeper, number)
    assert not ordered(keeper.on_engine_state("e0", IDLE, 1.0, 1.1))


def test_lost_order_answer_is_settled_by_the_engine() -> None:
    keeper, number = draining_keeper(1.0)
    acknowledge(keeper, number)
    (wanted,) = ordered(keeper.on_engine_state("e0", IDLE, 1.1, 1.2))
    order_id = wanted.order.order_id
    keeper.on_send_outcome(order_id, OrderSendOutcome.UNKNOWN, 1.3)
    late_s = wanted.order.expires_s + LIMITS.order_margin_s
    assert not keeper.on_engine_state("e0", IDLE, late_s - 0.1, late_s)
    assert keeper.phase_of("e0") is EnginePhase.ORDER_IN_FLIGHT
    under_way = evolve(IDLE, last_order=order_id, order_in_progress=order_id)
    assert not keeper.on_engine_state("e0", under_way, late_s - 0.1, late_s)
    done = evolve(IDLE, last_order=order_id, role=Role.DECODE)
    commands = keeper.on_engine_state("e0", done, late_s, late_s + 0.1)
    assert [command.succeeded for command in commands if isinstance(command, ChangeEnded)] == [True]


def test_engine_with_an_order_under_way_is_not_known_after_the_lease_returned() -> None:
    keeper, number = draining_keeper(1.0)
    acknowledge(keeper, number)
    (wanted,) = ordered(keeper.on_engine_state("e0", IDLE, 1.1, 1.2))
    keeper.on_authority(None, 1.3)
    keeper.on_authority(Authority(7, LEASE_END_S), 1.4)
    settle(keeper, from_s=1.5)
    assert keeper.phase_of("e0") is EnginePhase.UNKNOWN
    settle(keeper, from_s=wanted.order.expires_s + LIMITS.order_margin_s)
    assert keeper.phase_of("e0") is EnginePhase.IDLE

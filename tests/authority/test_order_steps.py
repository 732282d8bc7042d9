"""Single steps of the order controller that the randomised cases reach too seldom."""

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
from tests.authority.order_simulation import HOSTS, configuration, membership

LIMITS = OrderLimits()
IDLE = EngineState("e0", "i1", Role.MIXED, "m@1", frozenset({"a"}), 0, "", "")
LEASE_END_S = 1000.0


def make_controller(until_s: float = LEASE_END_S) -> OrderController:
    """Returns a controller that holds term 7 and is to change the role of e0 to decode."""
    controller = OrderController("dc", "h0", LIMITS)
    controller.on_membership(membership())
    controller.on_configuration(configuration("1"))
    controller.on_authority(Authority(7, until_s), 0.0)
    controller.on_role_change_requested(RoleChange("e0", Role.DECODE))
    return controller


def report_all_engines_idle(
    controller: OrderController, state: EngineState = IDLE, from_s: float = 0.0
) -> None:
    """Reports the state of all engines twice, so that the controller knows them.

    The engines other than e0 serve the roles that e0 leaves.
    """
    for name in ("e0", "e1", "e2"):
        for requested_s in (from_s, from_s + LIMITS.state_confirmation_s):
            controller.on_engine_state(
                name, evolve(state, backend=name), requested_s, requested_s + 0.1
            )


def notice_number(commands: Sequence[OrderCommand]) -> int:
    return next(
        command.notice.notice for command in commands if isinstance(command, DrainNoticeWanted)
    )


def acknowledge(controller: OrderController, number: int, hosts: Sequence[str] = HOSTS) -> None:
    for host in hosts:
        controller.on_drain_acknowledgement(host, DrainAcknowledgement("e0", 7, 0, number))


def make_draining_controller(now_s: float) -> tuple[OrderController, int]:
    controller = make_controller()
    report_all_engines_idle(controller)
    number = notice_number(controller.on_tick(now_s))
    assert controller.phase_of("e0") is EnginePhase.DRAINING
    return controller, number


def order_sends(commands: Sequence[OrderCommand]) -> list[OrderSendWanted]:
    return [command for command in commands if isinstance(command, OrderSendWanted)]


def wants_state_read(commands: Sequence[OrderCommand]) -> bool:
    return any(
        isinstance(command, StateReadWanted) and command.backend == "e0" for command in commands
    )


def test_engine_is_unknown_until_two_equal_reports_at_an_interval() -> None:
    controller = make_controller()
    controller.on_engine_state("e0", IDLE, 0.0, 0.1)
    controller.on_engine_state(
        "e0", IDLE, LIMITS.state_confirmation_s / 2, LIMITS.state_confirmation_s / 2
    )
    assert controller.phase_of("e0") is EnginePhase.UNKNOWN
    # An order of the previous controller that the engine accepted in between restarts the wait.
    controller.on_engine_state(
        "e0",
        evolve(IDLE, last_order="old"),
        LIMITS.state_confirmation_s,
        LIMITS.state_confirmation_s,
    )
    assert controller.phase_of("e0") is EnginePhase.UNKNOWN
    last_s = 2 * LIMITS.state_confirmation_s
    controller.on_engine_state("e0", evolve(IDLE, last_order="old"), last_s, last_s)
    assert controller.phase_of("e0") is EnginePhase.IDLE


def test_acknowledgement_that_may_expire_before_the_order_is_ignored() -> None:
    controller, number = make_draining_controller(1.0)
    acknowledge(controller, number)
    latest_s = 1.0 + LIMITS.drain_validity_s - LIMITS.order_lifetime_s - LIMITS.order_margin_s
    assert not wants_state_read(controller.on_tick(latest_s + 0.1))
    assert not order_sends(controller.on_engine_state("e0", IDLE, latest_s + 0.1, latest_s + 0.2))


def test_change_fails_without_the_acknowledgement_of_every_host() -> None:
    controller, number = make_draining_controller(1.0)
    acknowledge(controller, number, HOSTS[:-1])
    assert not wants_state_read(controller.on_tick(2.0))
    timeout_s = 1.0 + LIMITS.drain_timeout_s
    acknowledge(controller, notice_number(controller.on_tick(timeout_s - 1.0)), HOSTS[:-1])
    commands = controller.on_tick(timeout_s)
    (ended,) = [command for command in commands if isinstance(command, ChangeEnded)]
    assert (ended.succeeded, ended.detail) == (False, "h2 has not acknowledged the drain")
    assert any(isinstance(c, DrainNoticeWanted) and not c.notice.draining for c in commands)


def test_reconnected_host_must_acknowledge_again() -> None:
    controller, number = make_draining_controller(1.0)
    acknowledge(controller, number)
    assert wants_state_read(controller.on_tick(1.2))
    controller.on_host_disconnected("h1")
    assert not order_sends(controller.on_engine_state("e0", IDLE, 1.2, 1.3))
    acknowledge(controller, notice_number(controller.on_tick(2.1)))
    assert order_sends(controller.on_engine_state("e0", IDLE, 2.2, 2.3))


def test_engine_with_running_requests_gets_no_order() -> None:
    controller, number = make_draining_controller(1.0)
    acknowledge(controller, number)
    assert wants_state_read(controller.on_tick(1.2))
    assert not order_sends(
        controller.on_engine_state("e0", evolve(IDLE, running_requests=1), 1.2, 1.3)
    )
    assert order_sends(controller.on_engine_state("e0", IDLE, 1.4, 1.5))


@pytest.mark.parametrize("until_s", [2.0, LEASE_END_S])
def test_order_expires_no_later_than_the_lease(until_s: float) -> None:
    controller, number = make_draining_controller(0.9)
    controller.on_authority(Authority(7, until_s), 0.9)
    acknowledge(controller, number)
    (wanted,) = order_sends(controller.on_engine_state("e0", IDLE, 0.9, 1.0))
    assert wanted.order.expires_s == min(until_s, 1.0 + LIMITS.order_lifetime_s)


def test_no_order_is_sent_shortly_before_the_lease_expires() -> None:
    controller, number = make_draining_controller(1.0)
    controller.on_authority(Authority(7, 1.5), 1.0)
    acknowledge(controller, number)
    assert not order_sends(controller.on_engine_state("e0", IDLE, 1.0, 1.1))


def test_order_with_lost_answer_is_settled_by_the_engine_state() -> None:
    controller, number = make_draining_controller(1.0)
    acknowledge(controller, number)
    (wanted,) = order_sends(controller.on_engine_state("e0", IDLE, 1.1, 1.2))
    order_id = wanted.order.order_id
    controller.on_send_outcome(order_id, OrderSendOutcome.UNKNOWN, 1.3)
    late_s = wanted.order.expires_s + LIMITS.order_margin_s
    assert not controller.on_engine_state("e0", IDLE, late_s - 0.1, late_s)
    assert controller.phase_of("e0") is EnginePhase.ORDER_IN_FLIGHT
    in_progress = evolve(IDLE, last_order=order_id, order_in_progress=order_id)
    assert not controller.on_engine_state("e0", in_progress, late_s - 0.1, late_s)
    done = evolve(IDLE, last_order=order_id, role=Role.DECODE)
    commands = controller.on_engine_state("e0", done, late_s, late_s + 0.1)
    assert [command.succeeded for command in commands if isinstance(command, ChangeEnded)] == [True]


def test_engine_with_an_order_in_flight_is_unknown_after_the_lease_returned() -> None:
    controller, number = make_draining_controller(1.0)
    acknowledge(controller, number)
    (wanted,) = order_sends(controller.on_engine_state("e0", IDLE, 1.1, 1.2))
    controller.on_authority(None, 1.3)
    controller.on_authority(Authority(7, LEASE_END_S), 1.4)
    report_all_engines_idle(controller, from_s=1.5)
    assert controller.phase_of("e0") is EnginePhase.UNKNOWN
    report_all_engines_idle(controller, from_s=wanted.order.expires_s + LIMITS.order_margin_s)
    assert controller.phase_of("e0") is EnginePhase.IDLE

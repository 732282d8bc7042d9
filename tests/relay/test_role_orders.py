"""Who may order engines about, and which orders the plan asks for, without a network."""

from random import Random

import pytest
from attrs import define, evolve, field

from berylquay.decisions.backend_registry import BackendEntry, EntryState
from berylquay.decisions.fleet import Address, Role
from berylquay.decisions.order_claims import ClaimStep, ClaimTimes, OrderClaims
from berylquay.decisions.role_split import (
    RoleSplitOptions,
    StabilisationWindow,
    lacks_decode_engines,
    plan_role_changes,
    target_decode_engines,
)
from berylquay.decisions.roles import RoleChange

LEASE_S = 3.0
TIMES = ClaimTimes(validity_s=2.0, in_flight_grace_s=LEASE_S + 2.0)
ENGINE = BackendEntry(
    "e", "lm", Address("10.0.0.1", 80), "a", 64, EntryState.READY, role=Role.DECODE
)


def make_engines(*roles: tuple[str, Role]) -> list[BackendEntry]:
    return [
        evolve(ENGINE, name=f"e-{number}", data_centre=place, role=role)
        for number, (place, role) in enumerate(roles)
    ]


@pytest.mark.parametrize(
    ("engines", "fullness", "wanted"),
    [
        (1, 0.0, 1),
        (2, 0.0, 1),
        (3, 0.0, 2),
        (5, 0.0, 2),
        (9, 0.0, 3),
        (9, 0.95, 3),
        (9, 1.3, 5),
        (30, 0.0, 10),
    ],
)
def test_the_wanted_split(engines: int, fullness: float, wanted: int) -> None:
    assert target_decode_engines(engines, fullness, RoleSplitOptions()) == wanted


def test_long_prompts_and_short_answers_leave_one_maker_in_each_data_centre() -> None:
    decode, prefill = Role.DECODE, Role.PREFILL
    engines = make_engines(
        ("a", decode), ("a", decode), ("a", prefill),
        ("b", decode), ("b", decode), ("b", prefill),
        ("c", decode), ("c", decode), ("c", prefill),
    )  # fmt: skip
    changes = plan_role_changes(engines, {}, RoleSplitOptions())
    changed = {change.backend for change in changes}
    assert {change.role for change in changes} == {prefill}
    left = [e.data_centre for e in engines if e.role is decode and e.name not in changed]
    assert sorted(left) == ["a", "b", "c"]


def test_lost_makers_are_replaced_by_readers() -> None:
    engines = make_engines(("a", Role.PREFILL), ("b", Role.PREFILL), ("b", Role.PREFILL))
    changes = plan_role_changes(engines, {}, RoleSplitOptions())
    assert [change.role for change in changes] == [Role.DECODE, Role.DECODE]


def test_only_a_deviation_that_lasts_is_acted_on() -> None:
    """Answers crashed engines, which are back within seconds."""
    deviation = StabilisationWindow(
        RoleSplitOptions(stabilisation_s=6.0, urgent_stabilisation_s=1.0)
    )
    wanted = [RoleChange("e", Role.DECODE)]

    def lasts(
        changes: list[RoleChange], engines: int, now_s: float, *, in_need: bool = False
    ) -> bool:
        return deviation.is_stable(changes, engines, at_start=False, urgent=in_need, now_s=now_s)

    assert not lasts(wanted, 5, 0.0)
    assert not lasts(wanted, 5, 5.9)
    assert not lasts([], 6, 5.95)
    assert not lasts(wanted, 5, 6.1)
    assert not lasts(wanted, 5, 8.0, in_need=True)
    assert lasts(wanted, 5, 9.1, in_need=True)


def test_a_change_back_waits_for_engines_that_return() -> None:
    """Answers crashes and withdrawals in series, where each change would cost an engine."""
    deviation = StabilisationWindow(RoleSplitOptions())
    to_decode, to_prefill = [RoleChange("e", Role.DECODE)], [RoleChange("e", Role.PREFILL)]

    def lasts(changes: list[RoleChange], now_s: float) -> bool:
        return deviation.is_stable(changes, 5, at_start=False, urgent=True, now_s=now_s)

    assert not lasts(to_decode, 0.0)
    assert lasts(to_decode, 2.6)
    deviation.on_change_ordered(Role.DECODE)
    assert not lasts(to_prefill, 3.0)
    assert not lasts(to_prefill, 14.0)
    assert lasts(to_prefill, 15.1)


def test_too_few_makers_are_need() -> None:
    """Answers the withdrawal of most of the engines that make tokens (meskel-field, scale-1)."""
    options = RoleSplitOptions()
    engines = make_engines(("a", Role.DECODE), ("b", Role.PREFILL), ("c", Role.PREFILL))
    assert lacks_decode_engines(engines, options)
    two = make_engines(("a", Role.DECODE), ("b", Role.DECODE), ("c", Role.PREFILL))
    assert not lacks_decode_engines(two, options)
    assert not lacks_decode_engines(make_engines(("a", Role.DECODE)), options)


def test_full_batches_take_no_reader_away_and_streams_that_wait_do() -> None:
    """Answers a burst, in which a reader taken away for seconds is missed most."""
    decode, prefill = Role.DECODE, Role.PREFILL
    engines = make_engines(*[("a", decode)] * 3, *[("a", prefill)] * 6)
    full = {f"e-{number}": 64 for number in range(3)}
    assert plan_role_changes(engines, full, RoleSplitOptions()) == []
    waiting = dict.fromkeys(full, 90)
    changes = plan_role_changes(engines, waiting, RoleSplitOptions())
    assert {change.role for change in changes} == {decode}


@define
class _Topic:
    """The store's topic: claims in order."""

    holders: list[str] = field(factory=list)


@define
class _Host:
    """A host that always wants to order, over a store with faults."""

    name: str
    claims: OrderClaims
    # Time until which the host stands still.
    frozen_until_s: float = 0.0
    # A claim on its way that the store carries out later: when, and the required end.
    late: tuple[float, int] | None = None


def _step(host: _Host, topic: _Topic, now_s: float, rng: Random) -> int | None:
    """Lets a host take one step; returns the fencing number if it orders."""
    step = host.claims.next_step(now_s)
    if step is ClaimStep.READ:
        if rng.random() < 0.8:
            unread = topic.holders[host.claims.next_offset :]
            host.claims.on_read(unread, len(topic.holders), True, now_s)
    elif step is ClaimStep.APPEND:
        host.claims.on_append_sent(now_s)
        required = host.claims.next_offset
        fate = rng.random()
        if fate < 0.2:
            host.claims.on_claim_failed()
        elif fate < 0.4:
            # No answer: the store may carry it out seconds later.
            host.late = (now_s + rng.uniform(0.0, 6.0), required)
            host.claims.on_claim_failed()
        elif len(topic.holders) == required:
            topic.holders.append(host.name)
            if fate < 0.5:
                host.claims.on_claim_failed()
            else:
                host.claims.on_claimed(required)
        else:
            host.claims.on_claim_failed()
    elif step is ClaimStep.ORDER:
        return host.claims.fencing_number(now_s)
    return None


@pytest.mark.parametrize("seed", range(60))
def test_two_hosts_never_order_within_the_lease(seed: int) -> None:
    """Answers lost, late and refused claims, and hosts that freeze at any moment."""
    rng = Random(seed)
    topic = _Topic()
    hosts = [_Host(f"h-{n}", OrderClaims(TIMES, f"h-{n}")) for n in range(4)]
    orders: list[tuple[float, str, int]] = []
    now_s = 0.0
    while now_s < 120.0:
        now_s += 0.05
        for host in hosts:
            if host.late is not None and now_s >= host.late[0]:
                if len(topic.holders) == host.late[1]:
                    topic.holders.append(host.name)
                host.late = None
            if now_s < host.frozen_until_s:
                continue
            if rng.random() < 0.01:
                host.frozen_until_s = now_s + rng.uniform(0.5, 8.0)
                continue
            term = _step(host, topic, now_s, rng)
            if term is not None:
                orders.append((now_s, host.name, term))
    assert orders
    for before, after in zip(orders, orders[1:], strict=False):
        if before[1] != after[1]:
            assert after[0] - before[0] >= LEASE_S
            assert after[2] > before[2]


def test_claims_that_expired_unread_may_be_of_any_holder() -> None:
    claims = OrderClaims(TIMES, "me")
    assert claims.next_step(0.0) is ClaimStep.READ
    claims.on_records_gone(40, 0.0)
    claims.on_read([], 40, True, 0.1)
    assert claims.next_step(1.0) is ClaimStep.WAIT
    assert claims.next_step(TIMES.takeover_delay_s + 0.1) is ClaimStep.APPEND
    claims.on_append_sent(8.0)
    claims.on_claimed(40)
    assert claims.fencing_number(9.9) == 41
    assert claims.fencing_number(10.0) is None

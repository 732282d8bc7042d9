"""Which hosts are linked, and how often they are dialled, at the size to come."""

from collections import Counter
from random import Random
from typing import Final

from hypothesis import given, settings
from hypothesis import strategies as st

from berylquay.decisions.fleet import Address, EntryHost, Liveness
from berylquay.decisions.peering import DialScheduler, PeeringLimits, choose_dial_targets

LIMITS: Final = PeeringLimits()
HOSTS: Final = 340
DATA_CENTRES: Final = 29
TICK_S: Final = 0.025


def fleet(count: int, data_centres: int) -> list[EntryHost]:
    return [
        EntryHost(f"host-{n:03}", Address("127.0.0.1", 1), "region", f"dc-{n % data_centres}")
        for n in range(count)
    ]


def targets_of(host: EntryHost, hosts: list[EntryHost]) -> dict[str, EntryHost]:
    return choose_dial_targets(
        host.name, host.data_centre, hosts, LIMITS.links_to_other_data_centres
    )


@given(count=st.integers(1, 40), data_centres=st.integers(1, 6))
@settings(max_examples=200, derandomize=True, database=None, deadline=None)
def test_each_pair_of_a_data_centre_has_one_dialler(count: int, data_centres: int) -> None:
    hosts = fleet(count, data_centres)
    dials = {(host.name, name) for host in hosts for name in targets_of(host, hosts)}
    for one in hosts:
        for other in hosts:
            if one.data_centre == other.data_centre and one is not other:
                pair = {(one.name, other.name), (other.name, one.name)}
                assert len(pair & dials) == 1


def test_links_are_few_and_connect_everyone_at_the_size_to_come() -> None:
    hosts = fleet(HOSTS, DATA_CENTRES)
    links: Counter[str] = Counter()
    neighbours: dict[str, set[str]] = {host.name: set() for host in hosts}
    for host in hosts:
        targets = targets_of(host, hosts)
        beyond = [t for t in targets.values() if t.data_centre != host.data_centre]
        assert len({t.data_centre for t in beyond}) == LIMITS.links_to_other_data_centres
        for name in targets:
            links.update([host.name, name])
            neighbours[host.name].add(name)
            neighbours[name].add(host.name)
    assert max(links.values()) <= 30
    reached, waiting = {hosts[0].name}, [hosts[0].name]
    while waiting:
        fresh = neighbours[waiting.pop()] - reached
        reached |= fresh
        waiting += fresh
    assert len(reached) == HOSTS


def test_a_lost_host_moves_few_links() -> None:
    hosts = fleet(HOSTS, DATA_CENTRES)
    fewer = [host for host in hosts if host.name != "host-007"]
    moved = 0
    for host in fewer:
        before, after = set(targets_of(host, hosts)), set(targets_of(host, fewer))
        moved += len(after - before)
    assert moved <= 15


def test_silent_link_is_noticed_and_dialled_anew_within_five_seconds() -> None:
    plan = DialScheduler(LIMITS, Random(1))
    plan.set_targets(["host-1"], 0.0)
    assert plan.take_due(LIMITS.max_initial_delay_s, ()) == ["host-1"]
    plan.on_link_up("host-1")
    noticed_s = 100.0 + LIMITS.heartbeat_timeout_s + TICK_S
    plan.on_link_down("host-1", True, noticed_s)
    assert plan.take_due(105.0 - LIMITS.handshake_timeout_s / 2, ()) == ["host-1"]


def test_leaving_hosts_are_not_dialled() -> None:
    hosts = fleet(3, 1)
    hosts[2] = EntryHost("host-002", Address("127.0.0.1", 1), "r", "dc-0", Liveness.LEAVING)
    assert set(targets_of(hosts[0], hosts)) == {"host-001"}


@given(seed=st.integers(0, 2**32))
@settings(max_examples=20, derandomize=True, database=None, deadline=None)
def test_no_storm_while_every_host_is_away_or_comes_back(seed: int) -> None:
    plan = DialScheduler(LIMITS, Random(seed))
    plan.set_targets([f"host-{n}" for n in range(15)], 0.0)
    dials: Counter[int] = Counter()
    under_way: list[tuple[float, str]] = []
    linked: set[str] = set()
    now_s = 0.0
    while now_s < 120.0:
        now_s += TICK_S
        away = now_s < 60.0
        for end_s, name in list(under_way):
            if end_s <= now_s:
                under_way.remove((end_s, name))
                if away:
                    plan.on_link_down(name, False, now_s)
                else:
                    plan.on_link_up(name)
                    linked.add(name)
        for name in plan.take_due(now_s, linked):
            dials[int(now_s)] += 1
            under_way.append((now_s + 0.05, name))
        assert len(under_way) <= LIMITS.max_concurrent_dials
    # At first each host is tried several times, then rarely, and all are linked in the end.
    assert max(dials.values()) <= 60
    assert sum(dials[second] for second in range(30, 60)) <= 15 * 30 / 3
    assert len(linked) == 15

"""Which hosts are linked, and how often they are dialled, at the planned fleet size."""

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


def make_hosts(count: int, data_centres: int) -> list[EntryHost]:
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
    hosts = make_hosts(count, data_centres)
    dials = {(host.name, name) for host in hosts for name in targets_of(host, hosts)}
    for one in hosts:
        for other in hosts:
            if one.data_centre == other.data_centre and one is not other:
                pair = {(one.name, other.name), (other.name, one.name)}
                assert len(pair & dials) == 1


def test_links_are_few_and_connect_all_hosts_at_the_planned_size() -> None:
    hosts = make_hosts(HOSTS, DATA_CENTRES)
    link_counts: Counter[str] = Counter()
    neighbours: dict[str, set[str]] = {host.name: set() for host in hosts}
    for host in hosts:
        targets = targets_of(host, hosts)
        remote_targets = [t for t in targets.values() if t.data_centre != host.data_centre]
        assert len({t.data_centre for t in remote_targets}) == LIMITS.links_to_other_data_centres
        for name in targets:
            link_counts.update([host.name, name])
            neighbours[host.name].add(name)
            neighbours[name].add(host.name)
    assert max(link_counts.values()) <= 30
    reachable, unvisited = {hosts[0].name}, [hosts[0].name]
    while unvisited:
        newly_reachable = neighbours[unvisited.pop()] - reachable
        reachable |= newly_reachable
        unvisited += newly_reachable
    assert len(reachable) == HOSTS


def test_losing_a_host_changes_few_links() -> None:
    hosts = make_hosts(HOSTS, DATA_CENTRES)
    remaining_hosts = [host for host in hosts if host.name != "host-007"]
    changed_links = 0
    for host in remaining_hosts:
        before, after = set(targets_of(host, hosts)), set(targets_of(host, remaining_hosts))
        changed_links += len(after - before)
    assert changed_links <= 15


def test_unresponsive_link_is_detected_and_redialled_within_five_seconds() -> None:
    scheduler = DialScheduler(LIMITS, Random(1))
    scheduler.set_targets(["host-1"], 0.0)
    assert scheduler.take_due(LIMITS.max_initial_delay_s, ()) == ["host-1"]
    scheduler.on_link_up("host-1")
    detected_s = 100.0 + LIMITS.heartbeat_timeout_s + TICK_S
    scheduler.on_link_down("host-1", True, detected_s)
    assert scheduler.take_due(105.0 - LIMITS.handshake_timeout_s / 2, ()) == ["host-1"]


def test_leaving_hosts_are_not_dialled() -> None:
    hosts = make_hosts(3, 1)
    hosts[2] = EntryHost("host-002", Address("127.0.0.1", 1), "r", "dc-0", Liveness.LEAVING)
    assert set(targets_of(hosts[0], hosts)) == {"host-001"}


@given(seed=st.integers(0, 2**32))
@settings(max_examples=20, derandomize=True, database=None, deadline=None)
def test_dial_rate_is_limited_while_hosts_are_unreachable_and_as_they_return(seed: int) -> None:
    scheduler = DialScheduler(LIMITS, Random(seed))
    scheduler.set_targets([f"host-{n}" for n in range(15)], 0.0)
    dials_per_second: Counter[int] = Counter()
    in_progress: list[tuple[float, str]] = []
    linked: set[str] = set()
    now_s = 0.0
    while now_s < 120.0:
        now_s += TICK_S
        unreachable = now_s < 60.0
        for end_s, name in list(in_progress):
            if end_s <= now_s:
                in_progress.remove((end_s, name))
                if unreachable:
                    scheduler.on_link_down(name, False, now_s)
                else:
                    scheduler.on_link_up(name)
                    linked.add(name)
        for name in scheduler.take_due(now_s, linked):
            dials_per_second[int(now_s)] += 1
            in_progress.append((now_s + 0.05, name))
        assert len(in_progress) <= LIMITS.max_concurrent_dials
    # Each host is dialled several times at first and rarely later; in the end all are linked.
    assert max(dials_per_second.values()) <= 60
    assert sum(dials_per_second[second] for second in range(30, 60)) <= 15 * 30 / 3
    assert len(linked) == 15

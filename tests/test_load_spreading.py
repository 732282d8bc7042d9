"""The level rule: servers, and hosts that choose at the same moment from reports that are old."""

import heapq
from collections.abc import Callable
from random import Random
from typing import Final

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylquay.decisions.load_spreading import LoadSpreading, level_shares

SPEEDS: Final = [0.7, 0.7, 1.7] * 10
MEAN_WORK_S: Final = 0.1
REPORT_AGE_S: Final = 0.15
# A server rejects work that would wait longer.
LONGEST_WAIT_S: Final = 1.0
DURATION_S: Final = 40.0
# Index of the server, from the loads as known, the work and the work that others place unseen.
Choose = Callable[[list[float], float, float, Random], int]


def choose_by_level(loads: list[float], work: float, unseen: float, rng: Random) -> int:
    return rng.choices(range(len(loads)), level_shares(loads, SPEEDS, unseen + work))[0]


def choose_least_loaded(loads: list[float], _work: float, _unseen: float, rng: Random) -> int:
    return min(range(len(loads)), key=lambda index: (loads[index], rng.random()))


def choose_better_of_two(loads: list[float], _work: float, _unseen: float, rng: Random) -> int:
    return min(rng.sample(range(len(loads)), 2), key=lambda index: loads[index])


def play(choose: Choose, host_count: int, offered_load: float) -> tuple[float, float]:
    """Returns the utilisation of the busiest server over the mean, and the rejected share.

    Hosts have uneven shares of the requests, see their own work at once and that of others late.
    """
    rng = Random(1)
    servers = range(len(SPEEDS))
    requests_per_s = offered_load * sum(SPEEDS) / MEAN_WORK_S
    shares = [1.0 / (host + 1) ** 0.8 for host in range(host_count)]
    others = [1.0 - share / sum(shares) for share in shares]
    reported = [0.0] * len(SPEEDS)
    own: list[list[tuple[float, int, float]]] = [[] for _ in shares]
    idle_from_s, done = [0.0] * len(SPEEDS), [0.0] * len(SPEEDS)
    reports: list[tuple[float, int, float]] = []
    now_s, rejected, total = 0.0, 0, 0
    while now_s < DURATION_S:
        now_s += rng.expovariate(requests_per_s)
        while reports and reports[0][0] <= now_s:
            _, server, change = heapq.heappop(reports)
            # Rounded, so that what is left of finished work does not break ties.
            reported[server] = max(0.0, round(reported[server] + change, 9))
        host = rng.choices(range(host_count), shares)[0]
        own[host] = [placed for placed in own[host] if placed[0] > now_s - REPORT_AGE_S]
        loads = reported.copy()
        for _, server, work in own[host]:
            loads[server] += work
        loads = [load / speed for load, speed in zip(loads, SPEEDS, strict=True)]
        work = rng.expovariate(1.0 / MEAN_WORK_S)
        unseen = requests_per_s * MEAN_WORK_S * REPORT_AGE_S * others[host]
        server = choose(loads, work, unseen, rng)
        total += 1
        if idle_from_s[server] > now_s + LONGEST_WAIT_S:
            rejected += 1
            continue
        idle_from_s[server] = max(now_s, idle_from_s[server]) + work / SPEEDS[server]
        done[server] += work / SPEEDS[server]
        own[host].append((now_s, server, work))
        heapq.heappush(reports, (now_s + REPORT_AGE_S, server, work))
        heapq.heappush(reports, (idle_from_s[server] + REPORT_AGE_S, server, -work))
    return max(done[server] for server in servers) / (sum(done) / len(done)), rejected / total


# Guards against servers that are overrun in turns while others idle, as many hosts choose alike.
@pytest.mark.parametrize("host_count", [8, 77, 195, 300])
def test_few_requests_are_rejected_at_high_load(host_count: int) -> None:
    _, rejected = play(choose_by_level, host_count, 0.9)
    assert rejected < 0.01


# Guards against a rule that evens the load of a few hosts only.
def test_the_busiest_server_does_not_depend_on_the_number_of_hosts() -> None:
    few, _ = play(choose_by_level, 8, 0.9)
    many, _ = play(choose_by_level, 300, 0.9)
    assert many < 1.15 * few


# Guards against keeping the rule though a simpler one would do.
@pytest.mark.parametrize("other", [choose_least_loaded, choose_better_of_two])
def test_simpler_rules_reject_more(other: Choose) -> None:
    _, rejected = play(choose_by_level, 77, 0.9)
    _, rejected_by_other = play(other, 77, 0.9)
    assert rejected < 0.5 * rejected_by_other


@given(
    st.lists(st.tuples(st.floats(0.0, 1e4), st.floats(0.1, 10.0)), min_size=1, max_size=40),
    st.floats(0.01, 1e4),
)
def test_all_work_is_distributed_up_to_one_level(
    servers: list[tuple[float, float]], work: float
) -> None:
    loads, speeds = [load for load, _ in servers], [speed for _, speed in servers]
    shares = level_shares(loads, speeds, work)
    assert sum(shares) == pytest.approx(work, rel=1e-6)
    levels = [
        load + share / speed for load, speed, share in zip(loads, speeds, shares, strict=True)
    ]
    filled = [level for level, share in zip(levels, shares, strict=True) if share > 0.0]
    assert max(filled) == pytest.approx(min(filled), rel=1e-6, abs=1e-6)
    assert min(levels) >= min(filled) - 1e-6 * max(filled) - 1e-6


# Guards against a host that sends work to a worse server though nobody else places any.
def test_a_single_host_uses_the_least_loaded_server() -> None:
    spreading = LoadSpreading(Random(1), REPORT_AGE_S)
    for step in range(20):
        spreading.on_placed(100.0, step * 0.1)
    assert {spreading.choose([50.0, 40.0, 41.0], 10.0, 2.0) for _ in range(50)} == {1}


# Guards against all hosts choosing the same server between two reports.
def test_many_hosts_share_servers_of_similar_load() -> None:
    spreading = LoadSpreading(Random(1), REPORT_AGE_S)
    spreading.host_count = 30
    for step in range(20):
        spreading.on_placed(30.0, step * 0.1)
    chosen = [spreading.choose([50.0, 40.0, 41.0, 5000.0], 10.0, 2.0) for _ in range(200)]
    assert set(chosen) == {0, 1, 2}

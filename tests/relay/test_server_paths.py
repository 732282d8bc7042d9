"""When a host takes failed connections for the loss of its own path, and which gateway it uses."""

from random import Random

import pytest

from berylquay.decisions.server_paths import (
    FAILURE_TTL_S,
    GATEWAY_BACKOFF_S,
    GATEWAY_SPREAD_MS,
    GATEWAY_TEST_INTERVAL_S,
    LOST_POOL_TTL_S,
    MAX_PROBES,
    PROBE_INTERVAL_S,
    SILENCE_BEFORE_PROBE_S,
    GatewayChoice,
    ServerPaths,
)

POOL = ["a", "b", "c"]


def take_probes(
    paths: ServerPaths, servers: list[str], has_waiting: bool, rng: Random, now_s: float
) -> list[str]:
    """Returns the servers that are tested at a time."""
    is_due = paths.take_probe_turn(has_waiting, now_s)
    return paths.choose_probes(servers, rng) if is_due else []


def fail(paths: ServerPaths, *servers: str, at_s: float = 0.0, pool: str = "app") -> list[str]:
    """Records failed connections; returns the servers whose paths are lost after the last one."""
    lost: list[str] = []
    for server in servers:
        lost = paths.on_connect_failed(server, pool, POOL, at_s)
    return lost


# Guards against a host that takes one crashed server, or several with others alive, for its path.
@pytest.mark.parametrize(
    ("events", "servers", "is_cut_off"),
    [
        ([("a", 0.0)], 8, False),
        ([("a", 0.0), ("a", 0.1), ("a", 0.2)], 8, False),
        ([("a", 0.0), ("b", 0.1)], 8, True),
        ([("a", 0.0), (None, 0.05), ("b", 0.1)], 8, False),
        ([("a", 0.0), ("b", FAILURE_TTL_S + 0.1)], 8, False),
        ([("a", 0.0)], 1, True),
        ([("a", 0.0)], 0, True),
    ],
)
def test_a_pool_is_lost_when_several_servers_fail_and_none_answers(
    events: list[tuple[str | None, float]], servers: int, is_cut_off: bool
) -> None:
    paths, pool = ServerPaths(), ["a", "b", *map(str, range(6))][:servers]
    for server, at_s in events:
        if server is None:
            paths.on_connected("0", "app", at_s)
        else:
            paths.on_connect_failed(server, "app", pool, at_s)
    assert all(paths.is_lost(name) is is_cut_off for name in (pool or ["a"]))
    assert paths.lost_pools({"app": pool, "none": []}) == (
        {"app"} if is_cut_off and pool else set()
    )


# Guards against a host that leaves the state of one service because it reaches another one.
def test_a_connection_to_another_pool_or_server_does_not_end_the_loss() -> None:
    paths = ServerPaths()
    assert fail(paths, "a", "b") == POOL
    assert paths.failed_servers("app") == ["a", "b"]
    assert not paths.on_connected("engine", "lm", 0.1)
    assert paths.lost_pools({"app": POOL, "lm": ["engine"]}) == {"app"}
    assert paths.on_connected("a", "app", 0.2)
    assert not paths.on_connected("a", "app", 0.3)
    assert [paths.is_lost(name) for name in POOL] == [False, True, True]
    assert paths.lost_pools({"app": POOL}) == set()


# Guards against a host that refuses the first callers of each further service after it was cut off.
def test_one_failure_is_enough_while_another_pool_is_lost() -> None:
    paths = ServerPaths()
    fail(paths, "a", "b")
    engines = ["e-1", "e-2", "e-3"]
    assert paths.on_connect_failed("e-1", "lm", engines, 0.1) == engines
    paths.on_connected("a", "app", 0.2)
    paths.on_connected("e-1", "lm", 0.2)
    assert paths.on_connect_failed("a", "app", POOL, 0.3) == []


# Guards against servers that are reached again and taken for lost as tests of the others fail.
def test_failures_of_lost_servers_do_not_count_against_others() -> None:
    paths = ServerPaths()
    fail(paths, "a", "b")
    paths.on_connected("c", "app", 0.1)
    assert fail(paths, "a", "b", "a", "b", at_s=0.2) == []
    assert [paths.is_lost(name) for name in POOL] == [True, True, False]


def test_each_loss_is_reported_once() -> None:
    paths = ServerPaths()
    assert [fail(paths, name) for name in "aabbc"] == [[], [], POOL, [], []]
    paths.retain({"b"})
    assert list(paths.lost_servers) == ["b"]
    # A server that starts meanwhile is lost as soon as it fails.
    assert paths.on_connect_failed("d", "app", ["b", "d"], 0.1) == ["d"]


# Guards against a host that goes on refusing callers of a single server which the others reach, and
# against one that blames its path for a server that has crashed.
def test_a_single_server_is_lost_only_if_another_host_reaches_it() -> None:
    paths = ServerPaths()
    assert not paths.on_reached_by_gateway("a", "app", 0.0)
    assert fail(paths, "a") == []
    assert paths.take_gateway_test("a", 0.0)
    assert not paths.take_gateway_test("a", GATEWAY_TEST_INTERVAL_S / 2.0)
    assert paths.take_gateway_test("a", GATEWAY_TEST_INTERVAL_S)
    assert paths.on_reached_by_gateway("a", "app", 0.1)
    assert list(paths.lost_servers) == ["a"]
    assert not paths.take_gateway_test("a", 9.0)
    fail(paths, "b")
    paths.on_connected("b", "app", 0.2)
    assert not paths.on_reached_by_gateway("b", "app", 0.3)


# Guards against a sound server that is avoided because a gateway, which is cut off too and does not
# know it yet, has not reached it.
def test_a_server_is_blamed_when_several_gateways_do_not_reach_it() -> None:
    paths = ServerPaths()
    assert [paths.on_unreached("a", host, 0.0) for host in ("x", "x", "y")] == [False, False, True]
    paths.on_reached("a")
    assert not paths.on_unreached("a", "x", 0.0)
    assert not paths.on_unreached("a", "y", FAILURE_TTL_S + 0.1)


def test_the_path_is_tested_while_it_is_lost_or_silent() -> None:
    paths, rng = ServerPaths(), Random(1)
    assert not take_probes(paths, POOL, False, rng, 0.0)
    # Requests wait, and data arrives now and then.
    for now_s in (0.5, 1.0, 1.5, 2.0):
        paths.has_new_data = True
        assert not take_probes(paths, POOL, True, rng, now_s)
    silent_s = 2.1 + SILENCE_BEFORE_PROBE_S
    assert not take_probes(paths, POOL, True, rng, 2.0 + SILENCE_BEFORE_PROBE_S)
    assert take_probes(paths, POOL, True, rng, silent_s)
    assert not take_probes(paths, POOL, True, rng, silent_s + PROBE_INTERVAL_S / 2.0)
    # An established connection shows nothing of the data that it will carry.
    paths.on_connected("a", "app", 3.9)
    assert take_probes(paths, POOL, True, rng, 3.95)
    paths.on_answered("a", "app", 4.0)
    assert not take_probes(paths, POOL, True, rng, 4.5)
    fail(paths, "a", "b", at_s=5.0)
    assert take_probes(paths, POOL, False, rng, 5.0)
    assert take_probes(paths, [], False, rng, 6.0) == []


# Guards against a link that has healed and that most servers' requests do not use for long.
def test_probes_grow_while_they_succeed() -> None:
    paths, rng, now_s = ServerPaths(), Random(1), 10.0
    pool = [f"i-{number}" for number in range(62)]
    for name in pool[:2]:
        paths.on_connect_failed(name, "lm", pool, now_s)
    for _ in range(8):
        now_s += PROBE_INTERVAL_S
        (probed,) = take_probes(paths, pool, True, rng, now_s)
        paths.on_connect_failed(probed, "lm", pool, now_s)
    healed_s = now_s
    while paths.lost_servers:
        now_s += PROBE_INTERVAL_S
        probes = take_probes(paths, pool, True, rng, now_s)
        assert len(probes) <= MAX_PROBES
        for name in probes:
            assert paths.on_connected(name, "lm", now_s)
    assert now_s - healed_s <= 8 * PROBE_INTERVAL_S


def test_the_nearest_gateways_share_the_load() -> None:
    choice, rng = GatewayChoice(), Random(1)
    round_trips_ms = {"near-1": 0.0, "near-2": GATEWAY_SPREAD_MS, "far": 40.0}

    def choose(now_s: float, pool: str = "app") -> str | None:
        return choice.choose(pool, round_trips_ms, rng, now_s)

    assert {choose(0.0) for _ in range(50)} == {"near-1", "near-2"}
    choice.on_failed("near-1", "app", 0.0)
    choice.on_failed("near-2", "app", 0.5)
    assert choose(0.6) == "far"
    # A host that does not reach one pool may reach another one.
    assert {choose(0.6, "lm") for _ in range(50)} == {"near-1", "near-2"}
    assert choose(GATEWAY_BACKOFF_S) == "near-1"
    choice.on_failed("far", "app", 0.7)
    choice.on_failed("near-1", "app", 1.2)
    # All have failed just now, and this host has no path of its own.
    choice.on_failed("near-2", "app", 1.2)
    assert {choose(1.3) for _ in range(50)} == {"near-1", "near-2"}
    choice.on_lost_pools("near-1", ["app"], 1.3)
    assert {choose(1.3) for _ in range(50)} == {"near-2"}
    for host in round_trips_ms:
        choice.on_lost_pools(host, ["app"], 1.3)
    assert choose(1.4) is None
    assert choice.choose("app", {}, rng, 2.0) is None


# Guards against trials of gateways that have said that they are cut off as well.
def test_hosts_that_report_a_lost_pool_are_not_asked() -> None:
    choice, rng = GatewayChoice(), Random(1)
    round_trips_ms = {f"cut-{number}": 0.5 for number in range(14)} | {"far": 41.0}
    for host in list(round_trips_ms)[:14]:
        choice.on_lost_pools(host, ["app"], 0.0)
    assert {choice.choose("app", round_trips_ms, rng, 0.1) for _ in range(50)} == {"far"}
    choice.expire(LOST_POOL_TTL_S)
    assert choice.choose("app", round_trips_ms, rng, LOST_POOL_TTL_S) != "far"


# Guards against a host that takes a connection which is established, and then reset, for a path.
def test_only_an_answer_counts_against_questions_without_one() -> None:
    paths = ServerPaths()
    assert paths.on_unanswered("a", "app", POOL, 0.0) == []
    paths.on_connected("c", "app", 0.1)
    assert paths.on_unanswered("b", "app", POOL, 0.2) == POOL
    for name in POOL:
        assert not paths.on_connected(name, "app", 0.3)
    assert paths.lost_pools({"app": POOL}) == {"app"}
    assert paths.on_answered("a", "app", 0.4)
    assert [paths.is_lost(name) for name in POOL] == [False, True, True]


# Guards against a host that blames its path for servers which failed while others answered, or long
# ago.
@pytest.mark.parametrize(
    ("answered_s", "second_s"), [(0.1, 0.2), (float("nan"), FAILURE_TTL_S + 0.1)]
)
def test_a_pool_is_not_lost_if_a_server_answers_in_between(
    answered_s: float, second_s: float
) -> None:
    paths = ServerPaths()
    paths.on_unanswered("a", "app", POOL, 0.0)
    if answered_s < second_s:
        paths.on_answered("c", "app", answered_s)
    assert paths.on_unanswered("b", "app", POOL, second_s) == []
    assert not paths.lost_servers


# Guards against a host that takes a pause of all servers for the loss of its path.
def test_silent_servers_are_lost_only_if_they_answer_another_host() -> None:
    paths = ServerPaths()
    for name in POOL:
        paths.on_silent(name, 0.0)
    assert not paths.lost_servers
    paths.on_answered("b", "app", 0.1)
    assert not paths.on_reached_by_gateway("b", "app", 0.2)
    assert paths.on_reached_by_gateway("a", "app", 0.2)
    assert paths.requires_answer("a")
    assert not paths.on_connected("a", "app", 0.3)
    paths.retain({"b", "c"})
    assert not paths.requires_answer("a")

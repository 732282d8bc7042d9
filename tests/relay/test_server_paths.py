"""When a host takes failed connections for the loss of its own path, and which gateway it uses."""

from random import Random

import pytest

from berylquay.decisions.server_paths import (
    FAILURE_TTL_S,
    GATEWAY_BACKOFF_S,
    PROBE_INTERVAL_S,
    SILENCE_BEFORE_PROBE_S,
    GatewayChoice,
    ServerPaths,
)


# Guards against a host that takes one crashed server, or several with others alive, for its path.
@pytest.mark.parametrize(
    ("events", "servers", "is_cut_off"),
    [
        ([("a", 0.0)], 8, False),
        ([("a", 0.0), ("a", 0.1), ("a", 0.2)], 8, False),
        ([("a", 0.0), ("b", 0.1)], 8, True),
        ([("a", 0.0), (None, 0.05), ("b", 0.1)], 8, False),
        ([("a", 0.0), ("b", FAILURE_TTL_S + 0.1)], 8, False),
        ([("a", 0.0), ("b", 0.1), (None, 0.2)], 8, False),
        ([("a", 0.0)], 1, True),
        ([("a", 0.0)], 0, True),
    ],
)
def test_cut_off_when_several_servers_fail_and_none_answers(
    events: list[tuple[str | None, float]], servers: int, is_cut_off: bool
) -> None:
    paths = ServerPaths()
    for server, at_s in events:
        if server is None:
            paths.on_connected(at_s)
        else:
            paths.on_connect_failed(server, servers, at_s)
    assert paths.is_cut_off is is_cut_off


def test_each_change_is_reported_once() -> None:
    paths = ServerPaths()
    failed = [paths.on_connect_failed(name, 8, 0.1 * index) for index, name in enumerate("aabbc")]
    assert failed == [False, False, True, False, False]
    assert paths.failed_servers == ["a", "b", "c"]
    assert [paths.on_connected(1.0), paths.on_connected(1.1)] == [True, False]
    assert paths.failed_servers == []


def test_the_path_is_tested_while_it_is_cut_or_silent() -> None:
    paths = ServerPaths()
    assert not paths.take_probe(False, 0.0)
    # Requests wait, and data arrives now and then.
    for now_s in (0.5, 1.0, 1.5, 2.0):
        paths.has_new_data = True
        assert not paths.take_probe(True, now_s)
    assert not paths.take_probe(True, 2.0 + SILENCE_BEFORE_PROBE_S)
    assert paths.take_probe(True, 2.1 + SILENCE_BEFORE_PROBE_S)
    assert not paths.take_probe(True, 2.1 + SILENCE_BEFORE_PROBE_S + PROBE_INTERVAL_S / 2.0)
    paths.on_connected(4.0)
    assert not paths.take_probe(True, 4.5)
    paths.on_connect_failed("a", 8, 5.0)
    paths.on_connect_failed("b", 8, 5.0)
    assert paths.take_probe(False, 5.0)


def test_the_nearest_gateways_share_the_load() -> None:
    choice, rng = GatewayChoice(), Random(1)
    round_trips_ms = {"near-1": 0.0, "near-2": 0.0, "far": 40.0}
    chosen = {choice.choose(round_trips_ms, rng, 0.0) for _ in range(50)}
    assert chosen == {"near-1", "near-2"}
    choice.on_failed("near-1", 0.0)
    choice.on_failed("near-2", 0.5)
    assert choice.choose(round_trips_ms, rng, 0.6) == "far"
    assert choice.choose(round_trips_ms, rng, GATEWAY_BACKOFF_S) == "near-1"
    choice.on_failed("far", 0.7)
    choice.on_failed("near-1", 1.2)
    assert choice.choose(round_trips_ms, rng, 1.3) is None
    assert choice.choose({}, rng, 2.0) is None

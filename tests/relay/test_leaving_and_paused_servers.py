"""Servers that state in an answer that they leave or want no requests, at relay host processes."""

import time

import pytest

from tests.support.relay_fleet import PATHS, RelayFleet, make_configuration, wait_until


def _send_many(fleet: RelayFleet, path: str, count: int, host: int = 0) -> list[int]:
    return [
        fleet.send_request(path, f"id-{host}-{time.monotonic()}", host=host).status
        for _ in range(count)
    ]


def _lines(fleet: RelayFleet, message: str, host: int = 0) -> list[dict[str, object]]:
    return [line for line in fleet.log_lines(host) if line["message"] == message]


# Guards against requests to a server whose entry in the store still says `ready`, though it has
# stated in an answer that it leaves.
def test_a_server_that_states_that_it_leaves_gets_nothing_more(app_fleet: RelayFleet) -> None:
    app_fleet.add_host("host-1")
    wait_until(lambda: bool(_lines(app_fleet, "host discovered", 0)))
    app_fleet.backends["app-0"].post("/faults", {"leaving": True})
    while not _lines(app_fleet, "server is leaving"):
        _send_many(app_fleet, PATHS["many"], 1)
    # The other host has learned it from this one.
    wait_until(lambda: bool(_lines(app_fleet, "server is leaving", 1)))
    assert [line["source"] for line in _lines(app_fleet, "server is leaving", 1)] == ["host"]
    runs = len(app_fleet.runs("app-0"))
    app_fleet.register("app-0", "app", seq=2)
    for host in (0, 1):
        assert _send_many(app_fleet, PATHS["many"], 15, host) == [200] * 15
    assert len(app_fleet.runs("app-0")) == runs
    # Its successor at the same address starts without the statement.
    app_fleet.backends["app-0"].post("/faults", {})
    app_fleet.register("app-0", "app", seq=3, born=2000)
    wait_until(
        lambda: bool(_send_many(app_fleet, PATHS["many"], 3))
        and len(app_fleet.runs("app-0")) > runs
    )


# Guards against requests to a server within the time for which it wants none.
def test_a_server_that_wants_a_pause_gets_one(app_fleet: RelayFleet) -> None:
    app_fleet.backends["app-0"].post("/faults", {"pause_s": 1.5})
    while not _lines(app_fleet, "server paused"):
        assert _send_many(app_fleet, PATHS["many"], 1) == [200]
    started_s = time.monotonic()
    app_fleet.backends["app-0"].post("/faults", {})
    while time.monotonic() < started_s + 1.2:
        _send_many(app_fleet, PATHS["many"], 1)
        assert not app_fleet.runs("app-0")
    wait_until(
        lambda: bool(_send_many(app_fleet, PATHS["many"], 3)) and bool(app_fleet.runs("app-0"))
    )


# Guards against a caller that waits, or is told to come back too early, while all servers pause.
@pytest.mark.parametrize("path", ["many", "once"])
def test_a_caller_learns_when_a_paused_service_returns(app_fleet: RelayFleet, path: str) -> None:
    for name in ("app-0", "app-1"):
        app_fleet.backends[name].post("/faults", {"pause_s": 3})
    _send_many(app_fleet, PATHS[path], 2)
    wait_until(lambda: len(_lines(app_fleet, "server paused")) == 2)
    started_s = time.monotonic()
    response = app_fleet.send_request(PATHS[path], "id-last")
    assert response.status == 503
    assert 2.0 < float(response.headers["retry-after"]) < 3.7
    assert time.monotonic() - started_s < 0.5


# Guards against a prompt that waits at a service whose servers all leave, or that is sent to one.
def test_all_engines_of_a_service_leaving_refuse_at_once(fleet: RelayFleet) -> None:
    fleet.put_configuration(make_configuration())
    for name, role in (("prefill-0", "prefill"), ("decode-0", "decode")):
        fleet.add_backend(name, "lm", role)
        fleet.backends[name].post("/faults", {"leaving": True})
    fleet.add_host()
    first = fleet.send_request(PATHS["stream"], "id-1", headers={"Token-Counts": "900,4"})
    wait_until(lambda: bool(_lines(fleet, "server is leaving")))
    runs = len(fleet.runs("prefill-0", "decode-0"))
    statuses = []
    for number in range(5):
        started_s = time.monotonic()
        response = fleet.send_request(
            PATHS["stream"], f"id-{number + 2}", headers={"Token-Counts": "900,4"}
        )
        statuses.append(response.status)
        assert time.monotonic() - started_s < 0.5
        assert float(response.headers["retry-after"]) > 0.0
    assert first.status in (200, 503)
    assert statuses[1:] == [503] * 4
    assert len(fleet.runs("prefill-0", "decode-0")) <= runs + 1


# Guards against requests to a server that has started again under its name and wants a pause, once
# its entry follows: the pause was taken for that of the start before.
def test_a_pause_lasts_when_the_entry_of_the_new_start_follows(app_fleet: RelayFleet) -> None:
    started_unix_ms = round(time.time() * 1000)
    app_fleet.backends["app-0"].post("/faults", {"pause_s": 2.0})
    while not _lines(app_fleet, "server paused"):
        assert _send_many(app_fleet, PATHS["many"], 1) == [200]
    started_s = time.monotonic()
    app_fleet.backends["app-0"].post("/faults", {})
    app_fleet.register("app-0", "app", born=started_unix_ms)
    wait_until(
        lambda: any(
            line["backend"] == "app-0" and line["started_unix_ms"] == started_unix_ms
            for line in _lines(app_fleet, "backend server")
        )
    )
    assert time.monotonic() < started_s + 1.5
    while time.monotonic() < started_s + 1.8:
        _send_many(app_fleet, PATHS["many"], 1)
        assert not app_fleet.runs("app-0")
    wait_until(
        lambda: bool(_send_many(app_fleet, PATHS["many"], 3)) and bool(app_fleet.runs("app-0"))
    )

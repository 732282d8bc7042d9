"""Entries whose address belongs to another server, or whose role is outdated: answers 421."""

from itertools import pairwise
from random import Random
from typing import Final

import pytest

from berylquay.decisions.backend_health import BackendHealth, HealthOptions
from tests.relay.test_retry_budget import make_prompt
from tests.support.relay_fleet import PATHS, RelayFleet, make_configuration, wait_until

HOSTS: Final = (0, 1, 2)
PREFILL_ENGINES: Final = ("prefill-0", "prefill-1")
# Times at which a host sends a request to a server for as long as the backoff lets it.
END_S: Final = 100.0


@pytest.fixture
def engine_fleet_of_hosts(fleet: RelayFleet) -> RelayFleet:
    """Returns a fleet of two prefill engines, one decode engine, two servers and three hosts."""
    fleet.put_configuration(make_configuration())
    for name in PREFILL_ENGINES:
        fleet.add_backend(name, "lm", "prefill")
    fleet.add_backend("decode-0", "lm", "decode")
    for name in ("app-0", "app-1"):
        fleet.add_backend(name, "app")
    for host in HOSTS:
        fleet.add_host(f"host-{host}", wait=False)
    for host in HOSTS:
        wait_until(lambda host=host: fleet.is_ready(host))  # type: ignore[misc]
    return fleet


def send_to_all_hosts(fleet: RelayFleet, path: str, prefix: str, count: int) -> list[int]:
    """Sends requests to all hosts by turns, one at a time, and returns the statuses."""
    return [
        fleet.send_request(
            path, f"{prefix}-{number}", b"", make_prompt(f"{prefix}-{number}"), HOSTS[number % 3]
        ).status
        for number in range(count)
    ]


@pytest.mark.parametrize(
    ("path", "servers"), [("stream", PREFILL_ENGINES), ("many", ("app-0",))], ids=["prefill", "app"]
)
def test_a_server_that_is_another_one_gets_few_requests(
    engine_fleet_of_hosts: RelayFleet, path: str, servers: tuple[str, ...]
) -> None:
    """Guards against each request, at each host, trying servers that are known to be others."""
    fleet = engine_fleet_of_hosts
    for name in servers:
        fleet.backends[name].post("/faults", {"other_server": True})
    statuses = send_to_all_hosts(fleet, PATHS[path], "call", 60)
    assert statuses.count(200) >= 58
    assert len(fleet.arrivals(*servers)) <= len(HOSTS) * len(servers)


def test_hosts_that_are_told_of_such_a_server_send_it_nothing(
    engine_fleet_of_hosts: RelayFleet,
) -> None:
    """Guards against each host of a large fleet finding it out for itself."""
    fleet = engine_fleet_of_hosts
    for name in PREFILL_ENGINES:
        fleet.backends[name].post("/faults", {"other_server": True})
    call = 0
    while len(fleet.arrivals(*PREFILL_ENGINES)) < len(PREFILL_ENGINES):
        fleet.send_request(PATHS["stream"], f"first-{call}", b"", make_prompt(f"first-{call}"))
        call += 1
    for host in HOSTS[1:]:
        wait_until(lambda host=host: was_told(fleet, host))  # type: ignore[misc]
    assert set(send_to_all_hosts(fleet, PATHS["stream"], "call", 30)) == {200}
    assert len(fleet.arrivals(*PREFILL_ENGINES)) == len(PREFILL_ENGINES)


def was_told(fleet: RelayFleet, host: int) -> bool:
    lines = fleet.log_lines(host)
    told = [line["backend"] for line in lines if line["message"] == "another server at the address"]
    return set(PREFILL_ENGINES) <= set(told)


def test_a_changed_entry_ends_the_backoff(engine_fleet_of_hosts: RelayFleet) -> None:
    """Guards against a server that stays out of use after it has registered again."""
    fleet = engine_fleet_of_hosts
    for name in PREFILL_ENGINES:
        fleet.backends[name].post("/faults", {"other_server": True})
    send_to_all_hosts(fleet, PATHS["stream"], "before", 9)
    for name in PREFILL_ENGINES:
        fleet.backends[name].post("/faults", {})
        fleet.register(name, "lm", "prefill", born=2000)
    wait_until(lambda: all(knows_new_entries(fleet, host) for host in HOSTS))
    assert set(send_to_all_hosts(fleet, PATHS["stream"], "after", 9)) == {200}
    prefilled = [fleet.executed_requests(name) for name in PREFILL_ENGINES]
    assert sum(len(requests) for requests in prefilled) == 9


def knows_new_entries(fleet: RelayFleet, host: int) -> bool:
    restarted = [line["backend"] for line in fleet.log_lines(host) if line.get("restarted")]
    return set(PREFILL_ENGINES) <= set(restarted)


@pytest.mark.parametrize("seed", range(3))
def test_a_host_tries_an_outdated_entry_ever_less_often(seed: int) -> None:
    rng = Random(seed)
    health = BackendHealth(HealthOptions())
    now_s = 0.0
    sent_s = []
    while now_s < END_S:
        now_s += rng.expovariate(20.0)
        if not health.is_backing_off("e", now_s):
            sent_s.append(now_s)
            health.on_misdirected("e", now_s)
    gaps_s = [later_s - before_s for before_s, later_s in pairwise(sent_s)]
    assert len(sent_s) <= 5
    assert gaps_s == sorted(gaps_s)


def test_reports_of_other_hosts_lapse_and_are_not_passed_on() -> None:
    """Guards against hosts that keep each other's reports alive."""
    health = BackendHealth(HealthOptions())
    health.on_reported_misdirected("e", 1.0)
    assert health.is_backing_off("e", 2.0)
    assert health.misdirected_servers(2.0) == []
    assert not health.is_backing_off("e", 4.0)


@pytest.mark.parametrize("ending", ["answered", "entry-changed"])
def test_what_ends_the_backoff(ending: str) -> None:
    health = BackendHealth(HealthOptions())
    health.on_misdirected("e", 1.0)
    health.on_reported_misdirected("e", 1.0)
    if ending == "answered":
        health.on_answered("e", 2.0)
    else:
        health.on_entry_changed("e")
    assert not health.is_backing_off("e", 2.0)

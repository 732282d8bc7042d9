"""Requests that arrive while a host stops: each gets a complete response."""

import http.client
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from threading import Event, Thread
from typing import Final, cast

import pytest

from berylquay.decisions.shutdown_schedule import ACCEPT_S
from examples.processes import Process
from tests.relay.test_gateways import CUT, start_cut_host
from tests.support.relay_fleet import HOST_NAME, PATHS, RelayFleet, make_configuration

CALLERS: Final = 4
# Longest time between a caller's connect and its request; callers open connections ahead.
SEND_DELAYS_S: Final = (0.0, 0.04, 0.2, 0.6)


def request_on(connection: http.client.HTTPConnection, call_id: str, path: str) -> bool:
    """Sends a request and returns whether its response asks to close; fails if there is none."""
    headers = {"Host": HOST_NAME, "Attempt-Id": call_id, "Deadline-Ms": "3000"}
    if path == "stream":
        headers["Token-Counts"] = "20,4"
    connection.request("POST", PATHS[path], call_id.encode(), headers)
    response = connection.getresponse()
    body = response.read()
    assert response.status in (200, 429, 503), response.status
    assert response.status != 200 or body
    return response.getheader("Connection") == "close"


@pytest.fixture
def stopping_host(fleet: RelayFleet) -> Process:
    """Returns the host of a fleet, with one server of each kind."""
    fleet.put_configuration(make_configuration())
    fleet.add_backend("app-0", "app")
    fleet.add_backend("decode-0", "lm", "decode", "--events", "5", "--interval-ms", "40")
    return fleet.add_host()


# Guards against a request that is dropped as its connection was idle for a moment after it was
# accepted, or is a kept one.
@pytest.mark.parametrize("kind", ["kept", "new"])
def test_a_connection_that_is_idle_during_a_stop_is_served(
    stopping_host: Process, kind: str
) -> None:
    connection = http.client.HTTPConnection("127.0.0.1", stopping_host.port, timeout=5)
    if kind == "kept":
        assert not request_on(connection, "id-0", "many")
    stopping_host.popen.terminate()
    time.sleep(0.2)
    connection.connect() if kind == "new" else None
    time.sleep(0.4)
    assert request_on(connection, "id-1", "many")


def run_callers(call: Callable[[int, Event], None]) -> tuple[list[Thread], Event, list[str]]:
    """Runs callers until the event is set; returns what they saw fail."""
    ended, failures = Event(), list[str]()

    def run(number: int) -> None:
        try:
            call(number, ended)
        except (OSError, AssertionError, http.client.HTTPException) as error:
            failures.append(f"caller {number}: {error!r}")

    threads = [Thread(target=run, args=(number,)) for number in range(CALLERS * 2)]
    for thread in threads:
        thread.start()
    return threads, ended, failures


def stop_under_load(host: Process, path: str) -> list[str]:
    """Stops a host while half of the callers keep their connections; returns the failures."""

    def call(number: int, ended: Event) -> None:
        keeps = number < CALLERS
        connection = http.client.HTTPConnection("127.0.0.1", host.port, timeout=5)
        count = 0
        while not ended.is_set():
            count += 1
            connection.connect() if connection.sock is None else None
            time.sleep(SEND_DELAYS_S[number % len(SEND_DELAYS_S)])
            if request_on(connection, f"id-{number}-{count}", path) or not keeps:
                connection.close()

    threads, ended, failures = run_callers(call)
    time.sleep(0.8)
    host.popen.terminate()
    # The load balancer sends no more requests then.
    time.sleep(ACCEPT_S)
    ended.set()
    for thread in threads:
        thread.join()
    assert host.popen.wait(timeout=8.0) == 0
    return failures


@pytest.mark.parametrize("path", ["many", "once", "stream"])
def test_no_request_is_cut_off_by_a_planned_stop(stopping_host: Process, path: str) -> None:
    assert not stop_under_load(stopping_host, path)


# Requests that begin shortly before a host refuses new ones, and last beyond the end of its grace
# period: path, and what the caller gets. Each has been sent to a server that may have run it.
OVERLONG_REQUESTS: Final = {"many": 502, "once": 502, "stream": 502}


def test_requests_that_outlast_the_grace_period_are_answered(fleet: RelayFleet) -> None:
    """Guards against requests that were taken late in a stop and are cut without an answer."""
    configuration = make_configuration()
    for route in cast(list[dict[str, object]], configuration["routes"]):
        route["timeoutMs"] = 20000
    fleet.put_configuration(configuration)
    fleet.add_backend("app-0", "app")
    fleet.add_backend("prefill-0", "lm", "prefill")
    fleet.add_backend("decode-0", "lm", "decode")
    host = fleet.add_host()
    for backend in fleet.backends.values():
        backend.post("/faults", {"delay_s": 30.0})
    host.popen.terminate()
    time.sleep(ACCEPT_S - 0.4)

    def send(path: str) -> tuple[int, float]:
        headers = {"Deadline-Ms": "20000", "Token-Counts": "6000,20", "Prompt-Prefix": "aa:6000"}
        started_s = time.monotonic()
        status = fleet.send_request(PATHS[path], f"id-{path}", b"", headers).status
        return status, time.monotonic() - started_s

    with ThreadPoolExecutor(len(OVERLONG_REQUESTS)) as callers:
        answers = dict(zip(OVERLONG_REQUESTS, callers.map(send, OVERLONG_REQUESTS), strict=True))
    assert {path: status for path, (status, _) in answers.items()} == OVERLONG_REQUESTS
    assert min(taken_s for _, taken_s in answers.values()) > 4.0
    assert host.popen.wait(timeout=8.0) == 0


def test_no_request_by_way_of_a_gateway_is_cut_off(fleet: RelayFleet, tmp_path: Path) -> None:
    start_cut_host(fleet, tmp_path)
    assert not stop_under_load(fleet.hosts[CUT], "many")

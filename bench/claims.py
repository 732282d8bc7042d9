"""Measures the cost of at-most-once execution: latency of claims and tickets, appends to the log.

Run as `python -m bench.claims HOSTS CALLS_PER_S SECONDS`: it starts real hosts, a log
and two services on this machine and applies the same load without idempotency keys, with plain
keys and with tickets, one after the other.
"""

import argparse
import json
import statistics
import tempfile
import time
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection
from pathlib import Path
from typing import Final

from examples.processes import Process
from tests.support.fleet import Fleet, start_fleet

WORKERS: Final = 32
STARTUP_WAIT_S: Final = 5.0
CLASS_NAME: Final = "alarm-acknowledgement"
SERVICE_PATH: Final = "/v1/services/cellar-log/alarms/acknowledge"
KeySource = Callable[[Process], str]


def post(host: Process, path: str, key: str) -> tuple[int, bytes]:
    """Sends one POST request and returns status and body."""
    headers = {"X-Tenant": "fes", "X-Class": CLASS_NAME, "Content-Type": "application/json"}
    if key:
        headers["Idempotency-Key"] = key
    connection = HTTPConnection("127.0.0.1", host.port, timeout=10)
    try:
        connection.request("POST", path, body=b"{}", headers=headers)
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


def no_key(host: Process) -> str:
    """Returns an empty key: the call has no idempotency key."""
    return ""


def plain_key(host: Process) -> str:
    """Returns a new plain idempotency key."""
    return uuid.uuid4().hex


def ticket(host: Process) -> str:
    """Returns a new ticket issued by the host."""
    _, body = post(host, "/v1/tickets", "")
    return str(json.loads(body)["ticket"])


def measure(
    fleet: Fleet, key_source: KeySource, calls_per_s: float, seconds: float
) -> dict[str, float]:
    """Returns call rate, latency and appends for one kind of key."""
    appends_before = count_appends(fleet)
    start_s = time.monotonic()
    with ThreadPoolExecutor(WORKERS) as pool:
        futures = []
        for number in range(int(calls_per_s * seconds)):
            due_s = start_s + number / calls_per_s
            time.sleep(max(0.0, due_s - time.monotonic()))
            host = fleet.hosts[number % len(fleet.hosts)]
            futures.append(pool.submit(timed_call, host, key_source))
        results = [future.result() for future in futures]
    elapsed_s = time.monotonic() - start_s
    latencies_s = sorted(
        latency_s for status, latency_s in results if status == 200  # noqa: PLR2004
    )
    return {
        "calls_per_s": round(len(results) / elapsed_s, 1),
        "not_served": len(results) - len(latencies_s),
        "median_ms": round(statistics.median(latencies_s) * 1000, 1),
        "p99_ms": round(latencies_s[int(len(latencies_s) * 0.99)] * 1000, 1),
        "appends_per_s": round((count_appends(fleet) - appends_before) / elapsed_s, 1),
    }


def timed_call(host: Process, key_source: KeySource) -> tuple[int, float]:
    """Makes one call; returns status and latency in seconds, without the time to get the key."""
    key = key_source(host)
    start_s = time.monotonic()
    status, _ = post(host, SERVICE_PATH, key)
    return status, time.monotonic() - start_s


def count_appends(fleet: Fleet) -> int:
    """Returns the number of appends that the log has received; 0 without a log."""
    if fleet.log is None:
        return 0
    return int(str(fleet.log.get("/witness")["appends"]))


def main() -> None:
    """Measures and prints one line of JSON per kind of key."""
    parser = argparse.ArgumentParser(description="Measures claims and tickets.")
    parser.add_argument("hosts", type=int)
    parser.add_argument("calls_per_s", type=float)
    parser.add_argument("seconds", type=float)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        fleet = start_fleet(Path(directory), 0, 2, arguments.hosts, with_log=True)
        try:
            time.sleep(STARTUP_WAIT_S)
            for key_source in (no_key, plain_key, ticket):
                result = measure(fleet, key_source, arguments.calls_per_s, arguments.seconds)
                print(json.dumps({"key": key_source.__name__, **result}))  # noqa: T201
        finally:
            fleet.processes.stop_all()


if __name__ == "__main__":
    main()

"""Measures what at most once costs: latency added by claims and tickets, and appends to the log.

Run as `python -m bench.claims HOSTS CALLS_PER_S SECONDS`: real hosts, a log and two services on
this machine; the same load without keys, under plain keys and under tickets, one after the other.
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
SETTLE_S: Final = 5.0
CLASS: Final = "alarm-acknowledgement"
PATH: Final = "/v1/services/cellar-log/alarms/acknowledge"
KeySource = Callable[[Process], str]


def post(host: Process, path: str, key: str) -> tuple[int, bytes]:
    """Sends one request and returns status and body."""
    headers = {"X-Tenant": "fes", "X-Class": CLASS, "Content-Type": "application/json"}
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
    """Returns no key."""
    return ""


def plain_key(host: Process) -> str:
    """Returns a plain key."""
    return uuid.uuid4().hex


def ticket(host: Process) -> str:
    """Returns a ticket of the host."""
    _, body = post(host, "/v1/tickets", "")
    return str(json.loads(body)["ticket"])


def measure(
    fleet: Fleet, source: KeySource, calls_per_s: float, seconds: float
) -> dict[str, float]:
    """Returns latency and appends for one kind of key."""
    before = appends(fleet)
    start_s = time.monotonic()
    with ThreadPoolExecutor(WORKERS) as pool:
        futures = []
        for number in range(int(calls_per_s * seconds)):
            due_s = start_s + number / calls_per_s
            time.sleep(max(0.0, due_s - time.monotonic()))
            host = fleet.hosts[number % len(fleet.hosts)]
            futures.append(pool.submit(call, host, source))
        taken = [future.result() for future in futures]
    elapsed_s = time.monotonic() - start_s
    served = sorted(taken_s for status, taken_s in taken if status == 200)  # noqa: PLR2004
    return {
        "calls_per_s": round(len(taken) / elapsed_s, 1),
        "not_served": len(taken) - len(served),
        "median_ms": round(statistics.median(served) * 1000, 1),
        "p99_ms": round(served[int(len(served) * 0.99)] * 1000, 1),
        "appends_per_s": round((appends(fleet) - before) / elapsed_s, 1),
    }


def call(host: Process, source: KeySource) -> tuple[int, float]:
    """Makes one call and returns its status and latency, without the time to get the key."""
    key = source(host)
    start_s = time.monotonic()
    status, _ = post(host, PATH, key)
    return status, time.monotonic() - start_s


def appends(fleet: Fleet) -> int:
    """Returns the number of appends that the log has seen."""
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
            time.sleep(SETTLE_S)
            for source in (no_key, plain_key, ticket):
                result = measure(fleet, source, arguments.calls_per_s, arguments.seconds)
                print(json.dumps({"key": source.__name__, **result}))  # noqa: T201
        finally:
            fleet.processes.stop_all()


if __name__ == "__main__":
    main()

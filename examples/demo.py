"""A demonstration: both example deployments on loopback, and the example requests through them.

Starts the stand-ins of the platform and of both customers' backend servers, and one entry host in
each of three data centres of each customer; sends `examples/requests.jsonl` and prints the answers.
"""

import argparse
import json
import tempfile
import time
from collections.abc import Iterable
from http.client import HTTPConnection
from pathlib import Path
from typing import Final

from attrs import frozen

from examples.processes import Process, Processes, free_port

HERE: Final = Path(__file__).parent
READY_TIMEOUT_S: Final = 20.0


@frozen
class Customer:
    """One customer's fleet, as the brief gives it."""

    deployment: str
    region: str
    data_centres: tuple[str, ...]
    model: str
    model_pool: str
    engines: int
    service_pool: str
    services: int


CUSTOMERS: Final = (
    Customer(
        "jamiat",
        "morocco",
        ("fes", "tangier", "marrakech"),
        "cellar-lm",
        "cellar-lm",
        5,
        "cellar-log",
        3,
    ),
    Customer(
        "meskel",
        "ethiopia",
        ("addis", "oromia", "amhara"),
        "field-lm",
        "field-lm",
        9,
        "scheduling",
        3,
    ),
)


@frozen
class Running:
    """One customer's running processes."""

    customer: Customer
    hosts: tuple[Process, ...]


def main() -> None:
    """Runs the demonstration."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true", help="go on serving until interrupted")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        processes = Processes(Path(directory))
        try:
            running = [_start(processes, customer) for customer in CUSTOMERS]
            _send_requests(running)
            if arguments.keep:
                _serve_until_interrupted(running)
        finally:
            processes.stop_all()


def _start(processes: Processes, customer: Customer) -> Running:
    members = _start_backends(processes, customer)
    file = processes.directory / f"{customer.deployment}-members.json"
    file.write_text(json.dumps({"version": 1, "hosts": [], "backends": members}), encoding="utf-8")
    membership = processes.start_standin(
        f"{customer.deployment}-membership", "membership", "--file", str(file)
    )
    log = processes.start_standin(f"{customer.deployment}-log", "log")
    platform = f"membership = 127.0.0.1:{membership.port}\nlog = 127.0.0.1:{log.port}"
    hosts = [
        _start_host(processes, customer, data_centre, platform)
        for data_centre in customer.data_centres
    ]
    count = len(members)
    print(f"{customer.deployment}: {len(hosts)} entry hosts before {count} backend servers")
    return Running(customer, tuple(hosts))


def _start_backends(processes: Processes, customer: Customer) -> list[dict[str, object]]:
    members: list[dict[str, object]] = []
    for n in range(customer.engines):
        name = f"{customer.deployment}-engine-{n}"
        process = processes.start_standin(name, "engine", "--name", name, "--model", customer.model)
        members.append(_member(process, "engine", customer.model_pool, customer, n))
    for n in range(customer.services):
        name = f"{customer.deployment}-service-{n}"
        process = processes.start_standin(name, "service", "--name", name)
        members.append(_member(process, "service", customer.service_pool, customer, n))
    return members


def _member(
    process: Process, kind: str, pool: str, customer: Customer, number: int
) -> dict[str, object]:
    return {
        "name": process.name,
        "kind": kind,
        "address": f"127.0.0.1:{process.port}",
        "region": customer.region,
        "data_centre": customer.data_centres[number % len(customer.data_centres)],
        "pool": pool,
        "state": "live",
    }


def _start_host(
    processes: Processes, customer: Customer, data_centre: str, platform: str
) -> Process:
    port = free_port()
    health_port = free_port()
    file = processes.directory / f"{data_centre}.ini"
    file.write_text(
        f"""[host]
name = {data_centre}-host-0
region = {customer.region}
data_centre = {data_centre}
initial_deployments = {HERE / customer.deployment}.ini

[callers]
address = 127.0.0.1:{port}

[health]
address = 127.0.0.1:{health_port}

[platform]
{platform}
""",
        encoding="utf-8",
    )
    host = processes.start(f"{data_centre}-host-0", "berylquay.daemon", port, str(file))
    _wait_until_ready(host, health_port)
    return host


def _wait_until_ready(host: Process, health_port: int) -> None:
    give_up_s = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < give_up_s:
        if _status(health_port, "/readyz") == 200:
            return
        time.sleep(0.05)
    raise TimeoutError(f"{host.name} is not ready")


def _status(port: int, path: str) -> int:
    connection = HTTPConnection("127.0.0.1", port, timeout=5)
    try:
        connection.request("GET", path)
        return connection.getresponse().status
    finally:
        connection.close()


def _send_requests(running: Iterable[Running]) -> None:
    by_name = {item.customer.deployment: item for item in running}
    lines = (HERE / "requests.jsonl").read_text(encoding="utf-8").splitlines()
    for number, line in enumerate(lines):
        request = json.loads(line)
        hosts = by_name[request["deployment"]].hosts
        _send(hosts[number % len(hosts)], request)


def _send(host: Process, request: dict[str, object]) -> None:
    headers = {"X-Tenant": str(request["tenant"]), "X-Class": str(request["class"])}
    if "key" in request:
        headers["Idempotency-Key"] = str(request["key"])
    path, body = _path_and_body(request)
    connection = HTTPConnection("127.0.0.1", host.port, timeout=60)
    started_s = time.monotonic()
    connection.request("POST", path, json.dumps(body), headers)
    answer = connection.getresponse()
    text = answer.read().decode()
    took_ms = (time.monotonic() - started_s) * 1000
    connection.close()
    verdict = answer.getheader("X-Verdict") or _streamed_verdict(text)
    outcome = f"{answer.status} {verdict:10} {took_ms:6.0f} ms"
    print(f"{request['class']:22} {host.name:18} {outcome}  {_shorten(text)}")


def _path_and_body(request: dict[str, object]) -> tuple[str, object]:
    if "service" in request:
        return f"/v1/services/{request['service']}/{request['path']}", request["body"]
    body = {
        "model": request["model"],
        "messages": [{"role": "user", "content": request["prompt"]}],
        "max_tokens": request["max_tokens"],
        "stream": True,
    }
    return "/v1/chat/completions", body


def _streamed_verdict(text: str) -> str:
    return "completed" if '"verdict": "completed"' in text else "unknown"


def _shorten(text: str) -> str:
    if not text.startswith("data: "):
        return text[:60]
    events = [json.loads(part[6:]) for part in text.split("\n\n") if part.startswith("data: {")]
    contents = [event["choices"][0]["delta"].get("content", "") for event in events]
    return f"{sum(map(bool, contents))} tokens: {''.join(contents)[:40]}..."


def _serve_until_interrupted(running: Iterable[Running]) -> None:
    for item in running:
        for host in item.hosts:
            print(
                f"{item.customer.deployment}: {host.name} serves callers on 127.0.0.1:{host.port}"
            )
    print("interrupt to stop")
    try:
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        return


if __name__ == "__main__":
    main()

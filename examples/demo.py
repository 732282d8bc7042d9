"""A demonstration: both example deployments on loopback, and the example requests through them.

Starts the stand-ins of both customers' platforms and backend servers and an entry host in each of
their data centres, applies the example deployments with the operators' tool, sends
`examples/requests.jsonl` and prints the answers.
"""

import argparse
import json
import tempfile
import time
from collections.abc import Iterable
from http.client import HTTPConnection
from pathlib import Path
from typing import Final

from berylquay.command.main import main as run_tool
from examples.fleet import CUSTOMERS, EXAMPLES_DIRECTORY, Fleet, start_fleet, wait_until_ready
from examples.processes import Process, Processes

RESPONSE_TIMEOUT_S: Final = 60.0


def main() -> None:
    """Runs the demonstration."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true", help="go on serving until interrupted")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        processes = Processes(Path(directory))
        try:
            fleets = [start_fleet(processes, customer) for customer in CUSTOMERS]
            for fleet in fleets:
                _apply_deployment(fleet)
            _send_requests(fleets)
            if arguments.keep:
                _serve_until_interrupted(fleets)
        finally:
            processes.stop_all()


def _apply_deployment(fleet: Fleet) -> None:
    file = EXAMPLES_DIRECTORY / f"{fleet.customer.deployment}.ini"
    print(f"$ berylquay apply examples/{file.name}", flush=True)
    run_tool(["--server", fleet.operator_addresses(), "apply", str(file)])
    wait_until_ready(fleet)
    print("$ berylquay revisions", flush=True)
    run_tool(["--server", fleet.operator_addresses(), "revisions"])


def _send_requests(fleets: Iterable[Fleet]) -> None:
    fleets_by_deployment = {fleet.customer.deployment: fleet for fleet in fleets}
    lines = (EXAMPLES_DIRECTORY / "requests.jsonl").read_text(encoding="utf-8").splitlines()
    for number, line in enumerate(lines):
        request = json.loads(line)
        hosts = fleets_by_deployment[request["deployment"]].hosts
        _send(hosts[number % len(hosts)].process, request)


def _send(host: Process, request: dict[str, object]) -> None:
    headers = {"X-Tenant": str(request["tenant"]), "X-Class": str(request["class"])}
    if "key" in request:
        headers["Idempotency-Key"] = str(request["key"])
    path, body = _build_path_and_body(request)
    connection = HTTPConnection("127.0.0.1", host.port, timeout=RESPONSE_TIMEOUT_S)
    started_s = time.monotonic()
    connection.request("POST", path, json.dumps(body), headers)
    response = connection.getresponse()
    text = response.read().decode()
    elapsed_ms = (time.monotonic() - started_s) * 1000
    connection.close()
    verdict = response.getheader("X-Verdict") or _parse_streamed_verdict(text)
    outcome = f"{response.status} {verdict:10} {elapsed_ms:6.0f} ms"
    print(f"{request['class']:22} {host.name:18} {outcome}  {_shorten(text)}")


def _build_path_and_body(request: dict[str, object]) -> tuple[str, object]:
    if "service" in request:
        return f"/v1/services/{request['service']}/{request['path']}", request["body"]
    body = {
        "model": request["model"],
        "messages": [{"role": "user", "content": request["prompt"]}],
        "max_tokens": request["max_tokens"],
        "stream": True,
    }
    return "/v1/chat/completions", body


def _parse_streamed_verdict(text: str) -> str:
    return "completed" if '"verdict": "completed"' in text else "unknown"


def _shorten(text: str) -> str:
    if not text.startswith("data: "):
        return text[:60]
    events = [json.loads(part[6:]) for part in text.split("\n\n") if part.startswith("data: {")]
    contents = [event["choices"][0]["delta"].get("content", "") for event in events]
    return f"{sum(map(bool, contents))} tokens: {''.join(contents)[:40]}..."


def _serve_until_interrupted(fleets: Iterable[Fleet]) -> None:
    for fleet in fleets:
        print(
            f"export BERYLQUAY_SERVER={fleet.operator_addresses()}   # {fleet.customer.deployment}"
        )
        for host in fleet.hosts:
            callers = f"callers on 127.0.0.1:{host.process.port}"
            print(f"{host.process.name}: {callers}, health on 127.0.0.1:{host.health_port}")
    print("interrupt to stop", flush=True)
    try:
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        return


if __name__ == "__main__":
    main()

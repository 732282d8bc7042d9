"""Fleets for the demonstration: one customer's stand-ins and entry hosts on loopback.

This module acts as the supervisor that starts the processes; no process of berylquay starts
another.
"""

import json
import time
from http.client import HTTPConnection
from pathlib import Path
from typing import Final

from attrs import frozen

from examples.processes import Process, Processes, free_port

EXAMPLES_DIRECTORY: Final = Path(__file__).parent
READY_TIMEOUT_S: Final = 30.0
STATUS_OK: Final = 200


@frozen
class Customer:
    """One customer's fleet, which runs the deployment that examples/DEPLOYMENT.ini declares."""

    deployment: str
    region: str
    data_centres: tuple[str, ...]
    model: str
    adapters: str
    engine_count: int
    service_pool: str
    service_count: int


CUSTOMERS: Final = (
    Customer(
        deployment="jamiat",
        region="morocco",
        data_centres=("fes", "tangier", "marrakech"),
        model="cellar-lm",
        adapters="fes,marrakech,tangier",
        engine_count=5,
        service_pool="cellar-log",
        service_count=3,
    ),
    Customer(
        deployment="meskel",
        region="ethiopia",
        data_centres=("addis", "oromia", "amhara"),
        model="field-lm",
        adapters="",
        engine_count=9,
        service_pool="scheduling",
        service_count=3,
    ),
)


@frozen
class EntryHost:
    """One entry host and its ports."""

    process: Process
    operators_port: int
    health_port: int


@frozen
class _Ports:
    """Ports of an entry host, allocated before it starts because other processes need them."""

    peers: int
    operators: int
    health: int


@frozen
class Fleet:
    """One customer's running processes."""

    customer: Customer
    hosts: tuple[EntryHost, ...]

    def operator_addresses(self) -> str:
        """Returns the hosts' operators addresses in the format of `berylquay --server`."""
        return ",".join(f"127.0.0.1:{host.operators_port}" for host in self.hosts)


def start_fleet(processes: Processes, customer: Customer) -> Fleet:
    """Starts the customer's stand-ins and one entry host in each data centre."""
    ports = {
        data_centre: _Ports(free_port(), free_port(), free_port())
        for data_centre in customer.data_centres
    }
    backends = _start_backends(processes, customer)
    entries = [
        _host_entry(customer, data_centre, host_ports.peers)
        for data_centre, host_ports in ports.items()
    ]
    file = processes.directory / f"{customer.deployment}-members.json"
    members = {"version": 1, "hosts": entries, "backends": backends}
    file.write_text(json.dumps(members), encoding="utf-8")
    name = customer.deployment
    membership = processes.start_standin(f"{name}-membership", "membership", "--file", str(file))
    log = processes.start_standin(f"{name}-log", "log")
    hosts = [
        _start_host(processes, customer, data_centre, host_ports, (membership, log))
        for data_centre, host_ports in ports.items()
    ]
    return Fleet(customer, tuple(hosts))


def wait_until_ready(fleet: Fleet) -> None:
    """Waits until every host reports ready; raises `TimeoutError` after `READY_TIMEOUT_S`."""
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    for host in fleet.hosts:
        while _get_status(host.health_port, "/readyz") != STATUS_OK:
            if time.monotonic() >= deadline_s:
                raise TimeoutError(f"{host.process.name} is not ready")
            time.sleep(0.05)


def _start_backends(processes: Processes, customer: Customer) -> list[dict[str, object]]:
    entries: list[dict[str, object]] = []
    for index in range(customer.engine_count):
        name = f"{customer.deployment}-engine-{index}"
        arguments = ("--name", name, "--model", customer.model, "--adapters", customer.adapters)
        process = processes.start_standin(name, "engine", *arguments)
        entries.append(_backend_entry(process, "engine", customer.model, customer, index))
    for index in range(customer.service_count):
        name = f"{customer.deployment}-service-{index}"
        process = processes.start_standin(name, "service", "--name", name)
        entries.append(_backend_entry(process, "service", customer.service_pool, customer, index))
    return entries


def _backend_entry(
    process: Process, kind: str, pool: str, customer: Customer, index: int
) -> dict[str, object]:
    return {
        "name": process.name,
        "kind": kind,
        "address": f"127.0.0.1:{process.port}",
        "region": customer.region,
        "data_centre": customer.data_centres[index % len(customer.data_centres)],
        "pool": pool,
        "state": "live",
    }


def _host_entry(customer: Customer, data_centre: str, peer_port: int) -> dict[str, object]:
    return {
        "name": f"{data_centre}-host-0",
        "address": f"127.0.0.1:{peer_port}",
        "region": customer.region,
        "data_centre": data_centre,
        "state": "live",
    }


def _start_host(
    processes: Processes,
    customer: Customer,
    data_centre: str,
    ports: _Ports,
    platform: tuple[Process, Process],
) -> EntryHost:
    name = f"{data_centre}-host-0"
    sender_port = free_port()
    processes.start(
        f"{name}-orders", "berylquay.authority.sender", sender_port, "--port", str(sender_port)
    )
    port = free_port()
    membership, log = platform
    file = processes.directory / f"{name}.ini"
    file.write_text(
        f"""[host]
name = {name}
region = {customer.region}
data_centre = {data_centre}

[callers]
address = 127.0.0.1:{port}

[health]
address = 127.0.0.1:{ports.health}

[operators]
address = 127.0.0.1:{ports.operators}

[peers]
address = 127.0.0.1:{ports.peers}

[platform]
membership = 127.0.0.1:{membership.port}
log = 127.0.0.1:{log.port}

[authority]
sender = 127.0.0.1:{sender_port}
""",
        encoding="utf-8",
    )
    process = processes.start(name, "berylquay.daemon", port, str(file))
    return EntryHost(process, ports.operators, ports.health)


def _get_status(port: int, path: str) -> int:
    connection = HTTPConnection("127.0.0.1", port, timeout=5)
    try:
        connection.request("GET", path)
        return connection.getresponse().status
    finally:
        connection.close()

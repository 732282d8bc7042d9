"""A small fleet of real processes for tests: stand-ins and entry hosts of one data centre."""

import json
from pathlib import Path

from attrs import define

from examples.processes import Process, Processes, free_port

EXAMPLES = Path(__file__).parents[2] / "examples"


@define
class Fleet:
    """The processes of one data centre."""

    processes: Processes
    membership: Process
    engines: list[Process]
    services: list[Process]
    hosts: list[Process]
    # The platform's log; None if the hosts use none.
    log: Process | None = None


def start_fleet(
    directory: Path,
    engines: int,
    services: int,
    hosts: int,
    engine_arguments: tuple[str, ...] = (),
    *,
    with_log: bool = False,
    more_settings: str = "",
) -> Fleet:
    """Starts stand-ins and entry hosts for the Jamiat example and returns them running."""
    processes = Processes(directory)
    engine_processes = [
        processes.start_standin(
            f"engine-{n}",
            "engine",
            "--name",
            f"engine-{n}",
            "--model",
            "cellar-lm",
            *engine_arguments,
        )
        for n in range(engines)
    ]
    service_processes = [
        processes.start_standin(f"service-{n}", "service", "--name", f"service-{n}")
        for n in range(services)
    ]
    peer_ports = {f"host-{n}": free_port() for n in range(hosts)}
    members = {
        "version": 1,
        "hosts": [_host_member(name, port) for name, port in peer_ports.items()],
        "backends": [_member(p, "engine", "cellar-lm") for p in engine_processes]
        + [_member(p, "service", "cellar-log") for p in service_processes],
    }
    file = directory / "members.json"
    file.write_text(json.dumps(members), encoding="utf-8")
    membership = processes.start_standin("membership", "membership", "--file", str(file))
    log = processes.start_standin("log", "log") if with_log else None
    host_processes = [
        start_host(
            processes,
            name,
            membership.port,
            peer_port=port,
            log=log,
            more_settings=more_settings,
        )
        for name, port in peer_ports.items()
    ]
    return Fleet(processes, membership, engine_processes, service_processes, host_processes, log)


def start_host(
    processes: Processes,
    name: str,
    membership_port: int,
    callers_settings: str = "",
    *,
    peer_port: int | None = None,
    log: Process | None = None,
    more_settings: str = "",
) -> Process:
    """Starts one entry host and returns its process."""
    port = free_port()
    settings = processes.directory / f"{name}.ini"
    settings.write_text(
        f"""
[host]
name = {name}
region = fes
data_centre = fes-1
initial_deployments = {EXAMPLES / "jamiat.ini"}

[callers]
address = 127.0.0.1:{port}
{callers_settings}

[platform]
membership = 127.0.0.1:{membership_port}
{f"log = 127.0.0.1:{log.port}" if log is not None else ""}

[peers]
address = 127.0.0.1:{peer_port or free_port()}

{more_settings}
""",
        encoding="utf-8",
    )
    return processes.start(name, "berylquay.daemon", port, str(settings))


def _host_member(name: str, peer_port: int) -> dict[str, object]:
    return {
        "name": name,
        "address": f"127.0.0.1:{peer_port}",
        "region": "fes",
        "data_centre": "fes-1",
        "state": "live",
    }


def _member(process: Process, kind: str, pool: str) -> dict[str, object]:
    return {
        "name": process.name,
        "kind": kind,
        "address": f"127.0.0.1:{process.port}",
        "region": "fes",
        "data_centre": "fes-1",
        "pool": pool,
        "state": "live",
    }

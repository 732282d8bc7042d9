"""A log stand-in and entry hosts with an operator API, one per data centre, for tests."""

import json
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import grpc
from attrs import define, field

from berylquay.operators.generated import berylquay_pb2 as pb
from berylquay.operators.generated.berylquay_pb2_grpc import OperatorsStub
from examples.processes import Process, Processes, free_port
from tests.support.fleet import EXAMPLES

WAIT_TIMEOUT_S: Final = 20.0
POLL_S: Final = 0.02


@define
class CommandResult:
    """Exit code and output of one run of the command-line tool."""

    code: int
    out: str
    error: str

    def value(self) -> dict[str, Any]:
        """Returns the output as JSON."""
        value: dict[str, Any] = json.loads(self.out)
        return value


@define
class ConfigurationFleet:
    """The processes of the log, the membership service, the weight store and the hosts."""

    directory: Path
    retention_s: float = 3600.0
    # Whether the hosts have peer links; they are in the membership list in any case.
    linked: bool = False
    processes: Processes = field(init=False)
    log: Process = field(init=False)
    membership: Process = field(init=False)
    # Adapters that the weight store has by MODEL@VERSION; None for no store.
    published: dict[str, list[str]] | None = None
    # Weight store; None if `published` is None.
    weights: Process | None = None
    # Ports of the peer links by host.
    peers: dict[str, int] = field(factory=dict)
    # Ports of the operator API by host.
    operators: dict[str, int] = field(factory=dict)
    hosts: dict[str, Process] = field(factory=dict)

    def start(self, hosts: int) -> None:
        """Starts the stand-ins and the hosts."""
        self.processes = Processes(self.directory)
        self.log = self.processes.start_standin(
            "log", "log", "--retention-s", f"{self.retention_s}"
        )
        self.membership = self.processes.start_standin("membership", "membership")
        if self.published is not None:
            file = self.directory / "published.json"
            file.write_text(json.dumps(self.published), encoding="utf-8")
            self.weights = self.processes.start_standin("weights", "weights", "--file", str(file))
        names = {f"host-{n}": f"dc-{n}" for n in range(hosts)}
        self.peers = {name: free_port() for name in names}
        members = [self._member(name, data_centre) for name, data_centre in names.items()]
        self.membership.post("/v1/members", {"hosts": members, "backends": []}, "PUT")
        for name, data_centre in names.items():
            self.start_host(name, data_centre)

    def start_host(self, name: str, data_centre: str) -> None:
        """Starts or restarts an entry host, without waiting for its configuration."""
        port = free_port()
        self.operators[name] = free_port()
        settings = self.directory / f"{name}.ini"
        peers = f"[peers]\naddress = 127.0.0.1:{self.peers[name]}" if self.linked else ""
        settings.write_text(
            f"""
[host]
name = {name}
region = {data_centre}
data_centre = {data_centre}
initial_deployments = {EXAMPLES / "jamiat.ini"}

[callers]
address = 127.0.0.1:{port}

[operators]
address = 127.0.0.1:{self.operators[name]}

{peers}

[platform]
membership = 127.0.0.1:{self.membership.port}
log = 127.0.0.1:{self.log.port}
log_retention_s = {self.retention_s}
{f"weights = 127.0.0.1:{self.weights.port}" if self.weights else ""}
""",
            encoding="utf-8",
        )
        self.hosts[name] = self.processes.start(name, "berylquay.daemon", port, str(settings))

    def _member(self, name: str, data_centre: str) -> dict[str, str]:
        return {
            "name": name,
            "address": f"127.0.0.1:{self.peers[name]}",
            "region": data_centre,
            "data_centre": data_centre,
            "state": "live",
        }

    def command(self, host: str, *arguments: str) -> CommandResult:
        """Runs the command-line tool against a host."""
        server = f"127.0.0.1:{self.operators[host]}"
        command_line = [sys.executable, "-m", "berylquay.command", "--server", server, "--json"]
        completed = subprocess.run(
            [*command_line, *arguments], capture_output=True, text=True, timeout=60, check=False
        )
        return CommandResult(completed.returncode, completed.stdout, completed.stderr)

    def configuration(self, host: str, timeout_s: float = 10.0) -> pb.Configuration:
        """Returns the configuration that is in force at a host."""
        with grpc.insecure_channel(f"127.0.0.1:{self.operators[host]}") as channel:
            stub = OperatorsStub(channel)
            reply: pb.Configuration = stub.GetConfiguration(
                pb.GetConfigurationRequest(), timeout=timeout_s, wait_for_ready=True
            )
            return reply

    def wait_for(self, host: str, condition: Callable[[pb.Configuration], bool]) -> float:
        """Waits until a host's configuration fulfils a condition; returns the time taken in s."""
        started_s = time.monotonic()
        while not condition(self.configuration(host)):
            assert time.monotonic() < started_s + WAIT_TIMEOUT_S, self.configuration(host)
            time.sleep(POLL_S)
        return time.monotonic() - started_s

"""A data centre of real processes: a log, linked hosts with an order sender each, and engines."""

import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final

from attrs import define, field

from examples.processes import Process, Processes, free_port

EXAMPLES: Final = Path(__file__).parents[2] / "examples"
DATA_CENTRE: Final = "fes-1"
MODEL: Final = "cellar-lm"
ADAPTERS: Final = "fes,tangier,marrakech"
LEASE_S: Final = 2.0
ORDER_MARGIN_S: Final = 0.5
WAIT_S: Final = 60.0


@define
class DataCentreProcesses:
    """The processes of one data centre whose controller is elected through the log."""

    processes: Processes
    log: Process
    membership: Process
    hosts: dict[str, Process] = field(factory=dict)
    senders: dict[str, Process] = field(factory=dict)
    engines: dict[str, Process] = field(factory=dict)
    engine_arguments: dict[str, tuple[str, ...]] = field(factory=dict)
    # Witness entries from earlier processes of each engine, by engine.
    earlier_witness_entries: dict[str, list[list[str]]] = field(factory=dict)

    def controller_host(self) -> str:
        """Returns the name of the host with the latest valid claim, or "" before the first one."""
        path = f"/v1/streams/authority-{DATA_CENTRE}/records?from=1&max=10000"
        records = self.log.get(path)["records"]
        assert isinstance(records, list)
        host = ""
        for offset, data in records:
            record = json.loads(data)
            if record["kind"] == "claim" and record["fields"]["read_to"] == offset - 1:
                host = record["fields"]["holder"].rsplit("-", 1)[0]
        return str(host)

    def witness(self, engine: str) -> list[list[str]]:
        """Returns all witness entries of the engine, including those before its restarts."""
        entries = self.engines[engine].get("/witness")["entries"]
        assert isinstance(entries, list)
        return self.earlier_witness_entries.get(engine, []) + entries

    def state(self, engine: str) -> dict[str, object]:
        """Returns the state that the engine reports, or an empty dict while it is down."""
        try:
            return self.engines[engine].get("/v1/state")
        except OSError:
            return {}

    def restart_ended_processes(self) -> None:
        """Restarts processes that have ended, as the operator's process supervisor does."""
        for name, process in list(self.engines.items()):
            if process.popen.poll() is not None:
                self.start_engine(name, process.port)
        for name, process in list(self.senders.items()):
            if process.popen.poll() is not None:
                self._start_sender(name, process.port)
        for name, process in list(self.hosts.items()):
            if process.popen.poll() is not None:
                self._start_daemon(name, process.port)

    def start_engine(self, name: str, port: int) -> None:
        """Starts an engine with its arguments on a port."""
        arguments = ("--port", str(port), "--name", name, *self.engine_arguments[name])
        self.engines[name] = self.processes.start(name, "standins.engine", port, *arguments)

    def _start_sender(self, host: str, port: int) -> None:
        module = "berylquay.authority.sender"
        name = f"sender-of-{host}"
        self.senders[host] = self.processes.start(name, module, port, "--port", str(port))

    def start_host(self, name: str, port: int, peer_port: int) -> None:
        """Starts an entry host and its sender."""
        self._start_sender(name, free_port())
        settings = self.processes.directory / f"{name}.ini"
        settings.write_text(
            f"""
[host]
name = {name}
region = fes
data_centre = {DATA_CENTRE}
initial_deployments = {EXAMPLES / "jamiat.ini"}
[callers]
address = 127.0.0.1:{port}
[platform]
membership = 127.0.0.1:{self.membership.port}
log = 127.0.0.1:{self.log.port}
[peers]
address = 127.0.0.1:{peer_port}
[authority]
sender = 127.0.0.1:{self.senders[name].port}
lease_s = {LEASE_S}
renewal_interval_s = 0.5
order_margin_s = {ORDER_MARGIN_S}
""",
            encoding="utf-8",
        )
        self._start_daemon(name, port)

    def _start_daemon(self, name: str, port: int) -> None:
        settings = str(self.processes.directory / f"{name}.ini")
        self.hosts[name] = self.processes.start(name, "berylquay.daemon", port, settings)

    def wait_until(self, condition: Callable[[], bool], timeout_message: str) -> None:
        """Waits until the condition holds, restarting processes that have ended meanwhile.

        Args:
            condition: is checked every 0.05 s.
            timeout_message: text of the TimeoutError that is raised after WAIT_S.
        """
        deadline_s = time.monotonic() + WAIT_S
        while not condition():
            if time.monotonic() >= deadline_s:
                raise TimeoutError(timeout_message)
            self.restart_ended_processes()
            time.sleep(0.05)

    def wait_for_version(self, version: str) -> None:
        """Waits until every engine runs the version and executes no order."""

        def all_reached() -> bool:
            states = [self.state(name) for name in self.engines]
            return all(
                state.get("model") == f"{MODEL}@{version}"
                and state["adapters"] == sorted(ADAPTERS.split(","))
                and not state["order_under_way"]
                for state in states
            )

        self.wait_until(all_reached, f"engines do not reach version {version}")


def start_data_centre(
    directory: Path, engines: int, hosts: int, checks_fencing: str, change_ms: int = 300
) -> DataCentreProcesses:
    """Starts a data centre whose engines run version 0, while version 1 is declared.

    The last engine has the declared version but lacks adapters.
    """
    processes = Processes(directory)
    log = processes.start_standin("log", "log")
    host_ports = {f"host-{n}": free_port() for n in range(hosts)}
    engine_ports = {f"engine-{n}": free_port() for n in range(engines)}
    members = {
        "version": 1,
        "hosts": [_member_entry(name, port) for name, port in host_ports.items()],
        "backends": [
            {**_member_entry(name, port), "kind": "engine", "pool": MODEL}
            for name, port in engine_ports.items()
        ],
    }
    file = directory / "members.json"
    file.write_text(json.dumps(members), encoding="utf-8")
    membership = processes.start_standin("membership", "membership", "--file", str(file))
    data_centre = DataCentreProcesses(processes, log, membership)
    for number, (name, port) in enumerate(engine_ports.items(), start=1):
        is_last = number == engines
        data_centre.engine_arguments[name] = (
            *("--model", f"{MODEL}@{int(is_last)}", "--adapters", "fes" if is_last else ADAPTERS),
            *("--checks-fencing", checks_fencing, "--change-ms", str(change_ms)),
        )
        data_centre.start_engine(name, port)
    for name, peer_port in host_ports.items():
        data_centre.start_host(name, free_port(), peer_port)
    return data_centre


def _member_entry(name: str, port: int) -> dict[str, object]:
    address = f"127.0.0.1:{port}"
    location = {"region": "fes", "data_centre": DATA_CENTRE, "state": "live"}
    return {"name": name, "address": address, **location}

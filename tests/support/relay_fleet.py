"""Runs the platform's stand-ins and relay hosts as processes for tests."""

import http.client
import json
import socket
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from pathlib import Path
from typing import Final

from attrs import define, field

from examples.processes import Process, Processes, free_port
from tests.support.scripted_backend import STARTED_UNIX_MS, Ending, Script, ScriptedBackend

HOST_NAME: Final = "calls.example"
WAIT_TIMEOUT_S: Final = 10.0
# Retries that a host may make per window in addition to its ratio of the requests.
RETRY_EXTRA: Final = 58
PATHS: Final = {"stream": "/stream/", "resumable": "/resume/", "once": "/once/", "many": "/many/"}


def make_configuration(version: int = 1, **changes: object) -> dict[str, object]:
    """Returns a configuration with one route of each kind."""
    routes = [
        _route("stream", "streaming", "lm"),
        {**_route("resumable", "streaming", "lm"), "resumable": True, "maxAttempts": 2},
        _route("once", "non_idempotent", "app"),
        {**_route("many", "idempotent", "app"), "maxAttempts": 2},
    ]
    engine = {"slots": 64, "kvCapTokens": 500000, "kvTokenBytes": 163840, "linkMbps": 1400000.0}
    services = [
        {"name": "lm", "healthPath": "/health", "maxConns": 100, "engine": engine},
        {"name": "app", "healthPath": "/health", "maxConns": 100},
    ]
    return {"version": version, "routes": routes, "services": services, "limits": {}, **changes}


def _route(name: str, kind: str, service: str) -> dict[str, object]:
    return {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": PATHS[name],
        "kind": kind,
        "timeoutMs": 4000,
        "goalMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "sessionAffinity": False,
        "resumable": False,
        "gapTargetMs": 150,
    }


@define
class CallerResponse:
    """The response that a caller received."""

    status: int
    # Header names are in lower case.
    headers: dict[str, str]
    body: bytes


@define
class RelayFleet:
    """The store, backend servers and relay hosts of one test."""

    processes: Processes
    store: Process
    backends: dict[str, Process] = field(factory=dict)
    scripted_backends: list[ScriptedBackend] = field(factory=list)
    hosts: list[Process] = field(factory=list)
    ready_ports: list[int] = field(factory=list)
    # Checkout whose hosts run; None for this one.
    host_source: Path | None = None
    # All data centres, for the hosts' settings; empty if the hosts' own are all.
    data_centres: tuple[str, ...] = ()

    def put(self, topic: str, key: str, value: object) -> None:
        """Writes a keyed record to the store, or deletes the key if the value is None."""
        text = None if value is None else json.dumps(value)
        self.store.post("/put", {"topic": topic, "key": key, "value": text})

    def put_configuration(self, configuration: dict[str, object]) -> None:
        """Writes the configuration to the store."""
        self.put("keyed.op", "config", configuration)

    def add_backend(self, name: str, pool: str, role: str = "", *arguments: str) -> Process:
        """Starts a backend server and writes its entry to the store."""
        role_arguments = ("--role", role) if role else ()
        process = self.processes.start_standin(
            name, "platform_backend", "--name", name, *role_arguments, *arguments
        )
        self.backends[name] = process
        self.register(name, pool, role)
        return process

    def add_scripted_backend(
        self, name: str, pool: str, answer: bytes, ending: Ending, role: str = ""
    ) -> ScriptedBackend:
        """Starts a backend server that always sends `answer`, and writes its entry to the store."""
        backend = ScriptedBackend(Script(answer, ending), name)
        backend.start()
        self.scripted_backends.append(backend)
        self.register(name, pool, role, address=f"127.0.0.1:{backend.port}")
        return backend

    def register(self, name: str, pool: str, role: str = "", **changes: object) -> None:
        """Writes a backend server's entry to the store."""
        process = self.backends.get(name)
        entry: dict[str, object] = {
            "service": pool,
            "address": "" if process is None else f"127.0.0.1:{process.port}",
            "zone": "fes-a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
            "born": STARTED_UNIX_MS,
        }
        if role:
            entry["phase"] = role
        self.put("keyed.servers", name, {**entry, **changes})

    def add_host(
        self,
        name: str = "host-0",
        *,
        wait: bool = True,
        retry_extra: int = RETRY_EXTRA,
        partition_file: Path | None = None,
        module: str = "berylquay.relay",
        more_settings: str = "",
        data_centre: str = "fes-a",
        datagram_file: Path | None = None,
    ) -> Process:
        """Starts a relay host.

        Args:
            name: Name of the host.
            wait: Whether to wait until it is ready.
            retry_extra: Retries that it may make besides its ratio.
            partition_file: State of its connections, for `partitioned_host`; None if they are not
                to be broken.
            module: Module to run instead of the relay's.
            more_settings: Sections to add to its settings file.
            data_centre: Its data centre, whose name begins with that of its region.
            datagram_file: State of its datagrams, for `distant_host`; None if they arrive at once.
        """
        ports = [free_port() for _ in range(4)]
        settings = self.processes.directory / f"{name}.ini"
        text = make_host_file(
            name, ports, self.store.port, retry_extra, data_centre, others=self.data_centres
        )
        text += more_settings
        settings.write_text(text, encoding="utf-8")
        arguments = [str(settings)]
        if partition_file is not None:
            module = "tests.support.partitioned_host"
            arguments.insert(0, str(partition_file))
        if datagram_file is not None:
            module = "tests.support.distant_host"
            arguments.insert(0, str(datagram_file))
        process = self.processes.start(name, module, ports[0], *arguments, source=self.host_source)
        self.hosts.append(process)
        self.ready_ports.append(ports[1])
        if wait:
            wait_until(lambda: self.is_ready(len(self.hosts) - 1))
        return process

    def kill_hosts(self, *hosts: int) -> None:
        """Kills hosts at the same time, without giving them a chance to stop."""
        for host in hosts:
            self.hosts[host].popen.kill()
        for host in hosts:
            self.hosts[host].popen.wait()

    def restart_hosts(self, *hosts: int) -> None:
        """Starts killed hosts again, and waits until all are ready."""
        for host in hosts:
            killed = self.hosts[host]
            settings = self.processes.directory / f"{killed.name}.ini"
            text = settings.read_text(encoding="utf-8")
            settings.write_text(
                text.replace("first_start = true", "first_start = false"), encoding="utf-8"
            )
            self.hosts[host] = self.processes.start(
                killed.name,
                "berylquay.relay",
                killed.port,
                str(settings),
                source=self.host_source,
            )
        for host in hosts:
            wait_until(lambda host=host: self.is_ready(host))  # type: ignore[misc]

    def is_ready(self, host: int = 0) -> bool:
        """Returns whether a host answers its readiness check with status 200."""
        connection = http.client.HTTPConnection("127.0.0.1", self.ready_ports[host], timeout=5)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def send_request(
        self,
        path: str,
        call_id: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        host: int = 0,
    ) -> CallerResponse:
        """Sends one request on a new connection and returns the response."""
        connection = http.client.HTTPConnection("127.0.0.1", self.hosts[host].port, timeout=15)
        sent_headers = {
            "Host": HOST_NAME,
            "Attempt-Id": call_id,
            "Deadline-Ms": "3500",
            **(headers or {}),
        }
        try:
            connection.request("POST", path, body, sent_headers)
            response = connection.getresponse()
            return CallerResponse(
                response.status,
                {name.lower(): value for name, value in response.getheaders()},
                response.read(),
            )
        finally:
            connection.close()

    def connect(self, host: int = 0) -> socket.socket:
        """Returns a TCP connection to the address on which a host accepts callers."""
        return socket.create_connection(("127.0.0.1", self.hosts[host].port), timeout=10)

    def get_witness(self, name: str, list_name: str) -> list[object]:
        """Returns a list (`ran`, `arrived`, `cancelled`, `handles`) of a server's `/witness`."""
        listed = self.backends[name].get("/witness")[list_name]
        return listed if isinstance(listed, list) else []

    def executed_requests(self, name: str) -> list[dict[str, object]]:
        """Returns the requests of every stage (prefill and run) that a backend server executed."""
        return [run for run in self.get_witness(name, "ran") if isinstance(run, dict)]

    def arrivals(self, *names: str) -> list[tuple[float, str, str]]:
        """Returns time, id and stage of the requests that reached backend servers, in order."""
        return sorted(
            (float(str(arrival["at_s"])), str(arrival["id"]), str(arrival["stage"]))
            for name in names
            for arrival in self.get_witness(name, "arrived")
            if isinstance(arrival, dict)
        )

    def runs(self, *names: str) -> list[dict[str, object]]:
        """Returns the requests that backend servers executed in the stage `run`."""
        return [
            run for name in names for run in self.executed_requests(name) if run["stage"] == "run"
        ]

    def log_lines(self, host: int = 0) -> list[dict[str, object]]:
        """Returns the JSON lines that a host has logged."""
        file = self.processes.directory / f"{self.hosts[host].name}.log"
        # The host may be writing the last line.
        text, _, _ = file.read_text(encoding="utf-8").rpartition("\n")
        return [json.loads(line) for line in text.splitlines() if line.startswith("{")]


def make_host_file(
    name: str,
    ports: list[int],
    store_port: int,
    retry_extra: int = RETRY_EXTRA,
    data_centre: str = "fes-a",
    *,
    others: tuple[str, ...] = (),
) -> str:
    """Returns the text of a relay host's settings file, with loopback addresses.

    The data centres of the other hosts are `fes-a`, or `others` if there are any.
    """
    data_centres = dict.fromkeys((*(others or ("fes-a",)), data_centre))
    regions = "\n".join(f"{name} = {name.partition('-')[0]}" for name in data_centres)
    return f"""
[host]
name = {name}
data_centre = {data_centre}
region = {data_centre.partition("-")[0]}
first_start = true

[regions]
{regions}

[listen]
callers = 127.0.0.1:{ports[0]}
readiness = 127.0.0.1:{ports[1]}
peers = 127.0.0.1:{ports[2]}
metrics = 127.0.0.1:{ports[3]}

[store]
address = 127.0.0.1:{store_port}

[limits]
memory_mb = 300
max_sockets = 4100

[bounds]
grace_s = 8
configuration_apply_ms = 2500
leaving_apply_ms = 2500
retry_ratio = 0.2
retry_window_s = 10
retry_extra = {retry_extra}
lease_ms = 3000
"""


@contextmanager
def start_relay_fleet(directory: Path) -> Iterator[RelayFleet]:
    """Starts the store, and stops all processes of the fleet on exit."""
    processes = Processes(directory)
    scripted_backends: list[ScriptedBackend] = []
    try:
        store = processes.start_standin("store", "platform_store")
        yield RelayFleet(processes, store, scripted_backends=scripted_backends)
    finally:
        for backend in scripted_backends:
            backend.stop()
        processes.stop_all()


def wait_until(condition: Callable[[], bool], timeout_s: float = WAIT_TIMEOUT_S) -> None:
    """Polls the condition until it is true.

    Raises:
        TimeoutError: The condition was still false after `timeout_s`.
    """
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise TimeoutError
        time.sleep(0.02)

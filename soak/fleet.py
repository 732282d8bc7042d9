"""The processes of one seed, and how each fault is brought about and ended."""

import http.client
import json
import os
import signal
import subprocess
import time
from pathlib import Path
from typing import Final

from attrs import define, field

from examples.processes import Process, Processes, free_port
from soak.schedule import Fault, FaultKind, FleetSize
from tests.support.relay_fleet import make_configuration, make_host_file

# Bounds of the hosts, as the settings say them.
GRACE_S: Final = 8.0
APPLY_S: Final = 2.5
LEASE_S: Final = 3.0
RETRY_RATIO: Final = 0.2
RETRY_WINDOW_S: Final = 10.0
RETRY_EXTRA: Final = 12
DELAY_S: Final = 0.15
EXTRA_PATH: Final = "/extra/"
EVENTS: Final = 8
EVENT_MS: Final = 25.0


@define
class Version:
    """One configuration that was put."""

    acknowledged_s: float
    # Whether it has the route that comes and goes.
    has_extra: bool


@define
class SoakFleet:
    """All processes of a seed."""

    directory: Path
    size: FleetSize
    processes: Processes = field(init=False)
    store: Process = field(init=False)
    proxy: Process = field(init=False)
    hosts: dict[str, Process] = field(factory=dict)
    # Port of each host's page for the balancer.
    ready_ports: dict[str, int] = field(factory=dict)
    backends: dict[str, Process] = field(factory=dict)
    # Hosts that were asked to stop, and when.
    stopping_s: dict[str, float] = field(factory=dict)
    versions: list[Version] = field(factory=list)
    # Spans in which a backend server was said to leave: its name, acknowledgement and return.
    leaves: list[tuple[str, float, float]] = field(factory=list)
    # Processes that ended though nobody asked, or badly after they were asked to stop.
    exits: list[str] = field(factory=list)
    _proxy_ports: dict[str, int] = field(factory=dict)
    _ports: dict[str, list[int]] = field(factory=dict)
    _starts: dict[str, int] = field(factory=dict)
    # Role of each engine that the store lists.
    _registered: dict[str, str] = field(factory=dict)

    def start(self) -> None:
        """Starts all processes and waits until the hosts are ready."""
        self.processes = Processes(self.directory)
        self.store = self.processes.start_standin("store", "platform_store")
        ports = {name: free_port() for name in self._backend_names()}
        targets = {**ports, **{f"{host}-store": self.store.port for host in self.size.host_names}}
        self._proxy_ports = {name: free_port() for name in targets}
        port = free_port()
        links = [f"{name}:{self._proxy_ports[name]}:{to}" for name, to in targets.items()]
        self.proxy = self.processes.start(
            "proxy", "soak.link_proxy", port, "--port", str(port), *links
        )
        self.proxy.get("/")
        self.put_configuration(has_extra=False)
        for name, backend_port in ports.items():
            self._start_backend(name, backend_port)
        for host in self.size.host_names:
            self._ports[host] = [free_port() for _ in range(4)]
            self.ready_ports[host] = self._ports[host][1]
            self._start_host(host)
        self._wait_until_ready()

    def stop(self) -> None:
        """Ends all processes."""
        self.processes.stop_all()

    def is_ready(self, host: str) -> bool:
        """Tells whether a host says that it is ready."""
        connection = http.client.HTTPConnection("127.0.0.1", self.ready_ports[host], timeout=0.3)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == http.HTTPStatus.OK
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def put_configuration(self, *, has_extra: bool) -> None:
        """Puts a new version; the route that comes and goes is there or not."""
        configuration = make_configuration(version=len(self.versions) + 1)
        routes = configuration["routes"]
        assert isinstance(routes, list)
        if has_extra:
            routes.append({**routes[-1], "name": "extra", "pathPrefix": EXTRA_PATH})
        self._put("keyed.op", "config", configuration)
        self.versions.append(Version(time.monotonic(), has_extra))

    # Faults.

    def begin(self, fault: Fault) -> None:
        """Brings a fault about."""
        kind, name = fault.kind, fault.target
        if kind is FaultKind.HOST_KILL:
            self.hosts[name].kill()
        elif kind is FaultKind.HOST_STOP:
            self.hosts[name].terminate()
            self.stopping_s[name] = time.monotonic()
        elif kind is FaultKind.HOST_PAUSE:
            self.hosts[name].pause()
        elif kind is FaultKind.HOST_RELOAD:
            os.utime(self._settings_path(name))
            self.hosts[name].popen.send_signal(signal.SIGHUP)
        elif kind is FaultKind.BACKEND_KILL:
            self.backends[name].kill()
            self._set_link(name, closed=True)
        elif kind is FaultKind.BACKEND_PAUSE:
            self.backends[name].pause()
        elif kind is FaultKind.BACKEND_ANSWERS:
            value = {"break_after": 3, "delay_s": 0.5}.get(fault.way, True)
            self.backends[name].post("/faults", {fault.way: value})
        elif kind is FaultKind.BACKEND_LEAVES:
            self._register(name, state="draining")
            self.leaves.append((name, time.monotonic(), float("inf")))
        elif kind is FaultKind.CONFIGURATION:
            self.put_configuration(has_extra=not self.versions[-1].has_extra)
        elif kind is FaultKind.STORE:
            self.store.post("/faults", {fault.way: 2 if fault.way == "lose_answers" else True})
        else:
            states: dict[FaultKind, dict[str, object]] = {
                FaultKind.LINK_DELAY: {"delay_s": DELAY_S},
                FaultKind.LINK_RESET: {"reset": True},
                FaultKind.LINK_CUT: {"cut": fault.way},
            }
            self._set_link(name, **states[kind])

    def end(self, fault: Fault) -> None:
        """Ends a fault."""
        kind, name = fault.kind, fault.target
        if kind is FaultKind.HOST_KILL:
            self._start_host(name)
        elif kind is FaultKind.HOST_STOP:
            self._await_stop(name)
            self._start_host(name)
        elif kind is FaultKind.HOST_PAUSE:
            self.hosts[name].resume()
        elif kind is FaultKind.BACKEND_KILL:
            self._start_backend(name, self.backends[name].port)
            self._set_link(name)
        elif kind is FaultKind.BACKEND_PAUSE:
            self.backends[name].resume()
        elif kind is FaultKind.BACKEND_ANSWERS:
            self.backends[name].post("/faults", {})
        elif kind is FaultKind.BACKEND_LEAVES:
            now_s = time.monotonic()
            self._register(name)
            self.leaves = [
                (left, at_s, min(back_s, now_s) if left == name else back_s)
                for left, at_s, back_s in self.leaves
            ]
        elif kind is FaultKind.STORE:
            self.store.post("/faults", {})
        elif kind in (FaultKind.LINK_DELAY, FaultKind.LINK_CUT):
            self._set_link(name)

    def renew_roles(self, disturbed: set[str]) -> None:
        """Registers engines whose role was changed by an order, as they do themselves."""
        for name in self.size.engine_names:
            if name not in disturbed and self._current_role(name) != self._registered.get(name):
                self._register(name)

    def note_exits(self) -> None:
        """Notes hosts that run no more."""
        for name, process in self.hosts.items():
            code = process.popen.poll()
            if code is not None:
                self.exits.append(f"{name} ended by itself with status {code}")

    # Steps.

    def _backend_names(self) -> list[str]:
        return self.size.engine_names + self.size.service_names

    def _set_link(self, name: str, **state: object) -> None:
        self.proxy.post("/link", {"name": name, **state})

    def _put(self, topic: str, key: str, value: object) -> None:
        self.store.post("/put", {"topic": topic, "key": key, "value": json.dumps(value)})

    def _start_backend(self, name: str, port: int) -> None:
        role = self._role(name)
        arguments = ["--port", str(port), "--name", name]
        arguments += ["--witness", str(self.directory / "witness.jsonl")]
        arguments += ["--events", str(EVENTS), "--interval-ms", str(EVENT_MS)]
        arguments += ["--role", role] if role else []
        process = self.processes.start(name, "standins.platform_backend", port, *arguments)
        self.backends[name] = process
        self._starts[name] = self._starts.get(name, 0) + 1
        self._register(name)

    def _role(self, name: str) -> str:
        if name.startswith("app"):
            return ""
        return "prefill" if name.startswith("reader") else "decode"

    def _register(self, name: str, state: str = "ready") -> None:
        role = self._role(name)
        entry: dict[str, object] = {
            "service": "lm" if role else "app",
            "address": f"127.0.0.1:{self._proxy_ports[name]}",
            "zone": "fes-a",
            "version": "v1",
            "slots": 64,
            "state": state,
            "coldLeftMs": 0,
            "seq": int(time.monotonic() * 1000.0),
            "born": 1000 + self._starts[name],
        }
        if role:
            entry["phase"] = self._registered[name] = self._current_role(name)
        self._put("keyed.servers", name, entry)

    def _current_role(self, name: str) -> str:
        """Returns the role that an engine has after the orders that it took."""
        return str(self.backends[name].get("/report")["phase"])

    def _settings_path(self, name: str) -> Path:
        return self.directory / f"{name}.ini"

    def _start_host(self, name: str) -> None:
        store_port = self._proxy_ports[f"{name}-store"]
        text = make_host_file(name, self._ports[name], store_port, RETRY_EXTRA)
        self._settings_path(name).write_text(text, encoding="utf-8")
        self.stopping_s.pop(name, None)
        self.hosts[name] = self.processes.start(
            name, "soak.jumping_clock", self._ports[name][0], str(self._settings_path(name))
        )

    def _await_stop(self, name: str) -> None:
        process = self.hosts[name]
        left_s = self.stopping_s[name] + GRACE_S + 1.0 - time.monotonic()
        try:
            code = process.popen.wait(max(0.0, left_s))
        except subprocess.TimeoutExpired:
            code = None
        if code != 0:
            self.exits.append(f"{name} ended its stop with status {code}")
            process.kill()

    def _wait_until_ready(self) -> None:
        give_up_s = time.monotonic() + GRACE_S
        while not all(self.is_ready(host) for host in self.size.host_names):
            if time.monotonic() > give_up_s:
                raise TimeoutError("the hosts are not ready")
            time.sleep(0.05)

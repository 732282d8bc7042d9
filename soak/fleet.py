"""The processes of one seed, and how each fault is injected and ended."""

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

# Limits in the hosts' settings, which tests/support/relay_fleet.py writes.
GRACE_PERIOD_S: Final = 8.0
MAX_APPLY_DELAY_S: Final = 2.5
LEASE_S: Final = 3.0
RETRY_RATIO: Final = 0.2
RETRY_WINDOW_S: Final = 10.0
RETRY_EXTRA: Final = 12
LINK_DELAY_S: Final = 0.15
EXTRA_ROUTE_PATH: Final = "/extra/"
# Pause that a server wants, and time after which lost records are written again.
PAUSE_S: Final = 1.5
# Requests a second that a server in need takes from all hosts together.
LIMIT_PER_S: Final = 2.0
REWRITE_DELAY_S: Final = 0.4
EVENTS_PER_STREAM: Final = 8
# Tenants, each with a key that stays, and one that versions with the optional route have only.
TENANTS: Final = ("t0", "t1", "t2")
EVENT_INTERVAL_MS: Final = 25.0
# Reports of windows that are shorter than the platform's, so that a seed has several.
DUTY_SETTINGS: Final = """
[duties]
address = 127.0.0.1:{port}
names = usage_report
calls_per_s = 50
usage_window_s = 2
usage_due_s = 10
"""


def key_of(tenant: str, *, is_removable: bool) -> str:
    """Returns a key of a tenant."""
    return f"removable-key-{tenant}" if is_removable else f"key-{tenant}"


@define
class ConfigurationVersion:
    """One configuration version that was written to the store."""

    acknowledged_s: float
    # Whether it has the optional route and the removable keys, which later versions add and remove.
    has_extra_route: bool


@define
class SoakFleet:
    """All processes of a seed; times are monotonic."""

    directory: Path
    size: FleetSize
    processes: Processes = field(init=False)
    store: Process = field(init=False)
    proxy: Process = field(init=False)
    duty_api: Process = field(init=False)
    hosts: dict[str, Process] = field(factory=dict)
    # Port of each host's readiness endpoint, which the load balancer polls.
    readiness_ports: dict[str, int] = field(factory=dict)
    backends: dict[str, Process] = field(factory=dict)
    # Time at which each stopping host was asked to stop.
    stop_requested_s: dict[str, float] = field(factory=dict)
    versions: list[ConfigurationVersion] = field(factory=list)
    # Drains of backend servers: name, time at which the store acknowledged it, time of its end.
    drains: list[tuple[str, float, float]] = field(factory=list)
    # A line for each process that exited without being asked, or did not stop cleanly when asked.
    unexpected_exits: list[str] = field(factory=list)
    _proxy_ports: dict[str, int] = field(factory=dict)
    _ports: dict[str, list[int]] = field(factory=dict)
    _start_counts: dict[str, int] = field(factory=dict)
    # Role of each engine in its latest entry in the store.
    _listed_roles: dict[str, str] = field(factory=dict)

    def start(self) -> None:
        """Starts all processes and waits until the hosts are ready."""
        self.processes = Processes(self.directory)
        self.store = self.processes.start_standin("store", "platform_store", "--era", "1")
        self.duty_api = self.processes.start_standin("duties", "duty_api")
        ports = {name: free_port() for name in self._backend_names()}
        targets = {**ports, **{f"{host}-store": self.store.port for host in self.size.host_names}}
        self._proxy_ports = {name: free_port() for name in targets}
        port = free_port()
        links = [f"{name}:{self._proxy_ports[name]}:{target}" for name, target in targets.items()]
        self.proxy = self.processes.start(
            "proxy", "soak.link_proxy", port, "--port", str(port), *links
        )
        self.proxy.get("/")
        self.put_configuration(has_extra_route=False)
        for name, backend_port in ports.items():
            self._start_backend(name, backend_port)
        for host in self.size.host_names:
            self._ports[host] = [free_port() for _ in range(4)]
            self.readiness_ports[host] = self._ports[host][1]
            self._start_host(host)
        self._wait_until_ready()

    def stop(self) -> None:
        """Stops all processes."""
        self.processes.stop_all()

    def is_ready(self, host: str) -> bool:
        """Returns whether a host answers its readiness check with 200 within 0.3 s."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.readiness_ports[host], timeout=0.3
        )
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == http.HTTPStatus.OK
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def put_configuration(self, *, has_extra_route: bool) -> None:
        """Writes the next configuration version, with or without the optional route."""
        kinds = (False, True) if has_extra_route else (False,)
        tenants = [
            {"name": name, "apiKeys": [key_of(name, is_removable=kind) for kind in kinds]}
            for name in TENANTS
        ]
        configuration = make_configuration(version=len(self.versions) + 1, tenants=tenants)
        routes = configuration["routes"]
        assert isinstance(routes, list)
        if has_extra_route:
            routes.append({**routes[-1], "name": "extra", "pathPrefix": EXTRA_ROUTE_PATH})
        self._put("keyed.op", "config", configuration)
        self.versions.append(ConfigurationVersion(time.monotonic(), has_extra_route))

    def begin_fault(self, fault: Fault) -> None:
        """Injects a fault."""
        kind, name = fault.kind, fault.target
        if kind is FaultKind.HOST_KILL:
            self.hosts[name].kill()
        elif kind is FaultKind.HOST_STOP:
            self.hosts[name].terminate()
            self.stop_requested_s[name] = time.monotonic()
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
            values = {
                "break_after": 3,
                "delay_s": 0.5,
                "pause_s": PAUSE_S,
                "limit_per_s": LIMIT_PER_S,
            }
            faults = {part: values.get(part, True) for part in fault.variant.split("+")}
            self.backends[name].post("/faults", faults)
        elif kind is FaultKind.BACKEND_LEAVES:
            self._register(name, state="draining")
            self.drains.append((name, time.monotonic(), float("inf")))
        elif kind is FaultKind.CONFIGURATION:
            self.put_configuration(has_extra_route=not self.versions[-1].has_extra_route)
        elif kind is FaultKind.STORE and fault.variant == "restore":
            # The longer the fault, the older the copy.
            self.store.post(
                "/restore",
                {"copy_age_s": fault.duration_s, "rewrite_delay_s": REWRITE_DELAY_S},
            )
        elif kind is FaultKind.STORE:
            self.store.post(
                "/faults", {fault.variant: 2 if fault.variant == "lose_answers" else True}
            )
        else:
            states: dict[FaultKind, dict[str, object]] = {
                FaultKind.LINK_DELAY: {"delay_s": LINK_DELAY_S},
                FaultKind.LINK_RESET: {"reset": True},
                FaultKind.LINK_CUT: {"cut": fault.variant},
            }
            self._set_link(name, **states[kind])

    def end_fault(self, fault: Fault) -> None:
        """Ends a fault; kinds that end by themselves need nothing."""
        kind, name = fault.kind, fault.target
        if kind is FaultKind.HOST_KILL:
            self._start_host(name)
        elif kind is FaultKind.HOST_STOP:
            self._wait_for_stop(name)
            self._start_host(name)
        elif kind is FaultKind.HOST_PAUSE:
            self.hosts[name].resume()
        elif kind is FaultKind.BACKEND_KILL:
            self._start_backend(name, self.backends[name].port)
            self._set_link(name)
        elif kind is FaultKind.BACKEND_PAUSE:
            self.backends[name].resume()
        elif kind is FaultKind.BACKEND_ANSWERS and fault.variant == "leaving":
            # A server that has said that it leaves goes; another one starts in its place.
            self.backends[name].kill()
            self._start_backend(name, self.backends[name].port)
        elif kind is FaultKind.BACKEND_ANSWERS:
            self.backends[name].post("/faults", {})
        elif kind is FaultKind.BACKEND_LEAVES:
            now_s = time.monotonic()
            self._register(name)
            self.drains = [
                (drained, from_s, min(until_s, now_s) if drained == name else until_s)
                for drained, from_s, until_s in self.drains
            ]
        elif kind is FaultKind.STORE:
            self.store.post("/faults", {})
        elif kind in (FaultKind.LINK_DELAY, FaultKind.LINK_CUT):
            self._set_link(name)

    def register_changed_roles(self, disturbed: set[str]) -> None:
        """Registers engines whose role was changed by an order, as real engines do themselves.

        Args:
            disturbed: Targets of faults in progress, which are skipped.
        """
        for name in self.size.engine_names:
            if name not in disturbed and self._current_role(name) != self._listed_roles.get(name):
                self._register(name)

    def broken_duty_rules(self) -> list[str]:
        """Returns the rules that calls to the platform's API for duties have broken."""
        broken = self.duty_api.get("/calls")["broken"]
        assert isinstance(broken, list)
        return [f"duties: {rule}" for rule in broken]

    def record_exits(self) -> None:
        """Records the hosts that no longer run."""
        for name, process in self.hosts.items():
            code = process.popen.poll()
            if code is not None:
                self.unexpected_exits.append(f"{name} ended by itself with status {code}")

    def _backend_names(self) -> list[str]:
        return self.size.engine_names + self.size.service_names

    def _set_link(self, name: str, **state: object) -> None:
        self.proxy.post("/link", {"name": name, **state})

    def _put(self, topic: str, key: str, value: object) -> None:
        self.store.post("/put", {"topic": topic, "key": key, "value": json.dumps(value)})

    def _start_backend(self, name: str, port: int) -> None:
        role = self._initial_role(name)
        arguments = ["--port", str(port), "--name", name]
        arguments += ["--witness", str(self.directory / "witness.jsonl")]
        arguments += ["--events", str(EVENTS_PER_STREAM), "--interval-ms", str(EVENT_INTERVAL_MS)]
        arguments += ["--role", role] if role else []
        arguments += ["--tenants", ",".join(TENANTS)]
        process = self.processes.start(name, "standins.platform_backend", port, *arguments)
        self.backends[name] = process
        self._start_counts[name] = self._start_counts.get(name, 0) + 1
        self._register(name)

    def _initial_role(self, name: str) -> str:
        if name.startswith("app"):
            return ""
        return "prefill" if name.startswith("reader") else "decode"

    def _register(self, name: str, state: str = "ready") -> None:
        role = self._initial_role(name)
        entry: dict[str, object] = {
            "service": "lm" if role else "app",
            "address": f"127.0.0.1:{self._proxy_ports[name]}",
            "zone": "fes-a",
            "version": "v1",
            "slots": 64,
            "state": state,
            "coldLeftMs": 0,
            "seq": int(time.monotonic() * 1000.0),
            "born": 1000 + self._start_counts[name],
        }
        if role:
            entry["phase"] = self._listed_roles[name] = self._current_role(name)
        self._put("keyed.servers", name, entry)

    def _current_role(self, name: str) -> str:
        """Returns the role that an engine reports after the orders that it accepted."""
        return str(self.backends[name].get("/report")["phase"])

    def _settings_path(self, name: str) -> Path:
        return self.directory / f"{name}.ini"

    def _start_host(self, name: str) -> None:
        store_port = self._proxy_ports[f"{name}-store"]
        text = make_host_file(name, self._ports[name], store_port, RETRY_EXTRA)
        text += DUTY_SETTINGS.format(port=self.duty_api.port)
        self._settings_path(name).write_text(text, encoding="utf-8")
        self.stop_requested_s.pop(name, None)
        self.hosts[name] = self.processes.start(
            name, "soak.jumping_clock", self._ports[name][0], str(self._settings_path(name))
        )

    def _wait_for_stop(self, name: str) -> None:
        process = self.hosts[name]
        timeout_s = self.stop_requested_s[name] + GRACE_PERIOD_S + 1.0 - time.monotonic()
        try:
            code = process.popen.wait(max(0.0, timeout_s))
        except subprocess.TimeoutExpired:
            code = None
        if code != 0:
            self.unexpected_exits.append(f"{name} ended its stop with status {code}")
            process.kill()

    def _wait_until_ready(self) -> None:
        deadline_s = time.monotonic() + GRACE_PERIOD_S
        while not all(self.is_ready(host) for host in self.size.host_names):
            if time.monotonic() > deadline_s:
                raise TimeoutError("the hosts are not ready")
            time.sleep(0.05)

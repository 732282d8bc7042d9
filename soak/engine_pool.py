"""Engines of several software versions, their addresses, and their entries in the store."""

import contextlib
import time
from http.client import HTTPException
from random import Random
from typing import Final

from attrs import define, field, frozen

from examples.processes import Process, free_port
from soak.stream_sites import EVENTS, POOL
from tests.support.relay_fleet import RelayFleet

EVENT_INTERVAL_MS: Final = 50
MAX_ENGINES: Final = 10
# Addresses of a run whose hosts reach the engines through the proxy.
PROXY_LINKS: Final = 16
# Start time of the first engine, in Unix milliseconds.
FIRST_START_UNIX_MS: Final = 1000
# Time after which the entry of an engine that has ended is removed.
LAPSE_S: Final = 1.0
# Longest time after which an engine is back at its address, and after which its entry follows.
MAX_ABSENCE_S: Final = 3.0
MAX_ENTRY_DELAY_S: Final = 1.2
# Errors of a request to an engine that ends meanwhile.
ENDED_MEANWHILE: Final = (OSError, HTTPException)
# That an engine is back under its name, as a newer start, and not as an engine of another name.
SAME_NAME_PROBABILITY: Final = 0.5


@frozen
class Address:
    """Where the engines of one address are reached, and by way of which link of the proxy."""

    port: int
    link: str = ""


@define
class Engine:
    """One start of an engine."""

    name: str
    version: str
    role: str
    address: Address
    process: Process
    started_unix_ms: int
    # State in its entry.
    state: str = "ready"
    # Whether its process is suspended, so that it answers nothing.
    stands_still: bool = False


@frozen
class DueStep:
    """A step that follows the end or the start of an engine."""

    at_s: float
    engine: Engine
    # An engine that takes over the address, or None if the engine's own entry is written.
    successor: Engine | None = None
    is_lapse: bool = False


@define
class EnginePool:
    """All engines of a run."""

    fleet: RelayFleet
    rng: Random
    engines: dict[str, Engine] = field(factory=dict)
    newest_version: int = 1
    # Share of the engines whose streams have neither length nor chunks.
    unframed_share: float = 0.0
    # Zones of the engines, in turn; empty for that of the fleet.
    zones: tuple[str, ...] = ()
    # Ports of the proxy's links.
    link_ports: list[int] = field(factory=list)
    _proxy: Process | None = None
    _free_addresses: list[Address] = field(factory=list)
    # Faults that hold for the whole run, by name of the engine.
    _lasting_faults: dict[str, dict[str, object]] = field(factory=dict)
    _due: list[DueStep] = field(factory=list)
    _count: int = 0
    # Starts of engines, each with a later start time.
    _starts: int = 0

    def start_proxy(self) -> None:
        """Lets hosts reach all engines that are started from now on through a proxy."""
        ports = [free_port() for _ in range(PROXY_LINKS + 1)]
        links = [f"l{number}:{port}:1" for number, port in enumerate(ports[1:])]
        self._proxy = self.fleet.processes.start(
            "proxy", "soak.link_proxy", ports[0], "--port", str(ports[0]), *links
        )
        self._proxy.get("/listen")
        self.link_ports = ports[1:]
        self._free_addresses = [
            Address(port, f"l{number}") for number, port in enumerate(ports[1:])
        ]

    @property
    def versions(self) -> dict[str, str]:
        """Returns the versions of the engines that run, by name."""
        return {name: engine.version for name, engine in self.engines.items()}

    @property
    def has_proxy(self) -> bool:
        """Tells whether hosts reach the engines through a proxy."""
        return self._proxy is not None

    def start(self, version: int, role: str = "decode", address: Address | None = None) -> Engine:
        """Starts an engine at an address that was in use or at a free one, and registers it."""
        engine = self._launch(f"v{version}", role, address or self._take_address())
        self.take_over(engine)
        self.register(engine.name, "ready")
        return engine

    def _take_address(self) -> Address:
        return self._free_addresses.pop(0) if self._free_addresses else Address(free_port())

    def _launch(self, version: str, role: str, address: Address, name: str = "") -> Engine:
        """Starts the process, which hosts do not reach yet where a proxy is used."""
        self._count += 0 if name else 1
        self._starts += 1
        name = name or f"e{self._count}"
        started_unix_ms = FIRST_START_UNIX_MS + self._starts
        port = free_port() if address.link else address.port
        arguments = ["--role", role, "--events", str(EVENTS), "--version", version]
        arguments += ["--interval-ms", str(EVENT_INTERVAL_MS), "--name", name]
        arguments += ["--born", str(started_unix_ms), "--port", str(port)]
        process = self.fleet.processes.start(name, "standins.platform_backend", port, *arguments)
        engine = Engine(name, version, role, address, process, started_unix_ms)
        self._lasting_faults.pop(name, None)
        if self.unframed_share and self.rng.random() < self.unframed_share:
            self._lasting_faults[name] = {"unframed": 1}
            self.set_faults([engine], {})
        return engine

    def take_over(self, engine: Engine) -> None:
        """Lets hosts reach an engine at its address."""
        if engine.address.link:
            self.set_link(engine, {"target_port": engine.process.port})
        self.fleet.backends[engine.name] = engine.process
        self.engines[engine.name] = engine

    def set_link(self, engine: Engine, state: dict[str, object]) -> None:
        """Sets the state of the link to an engine, if it has one."""
        if self._proxy is not None:
            self._proxy.post("/link", {"name": engine.address.link, **state})

    def set_faults(self, engines: list[Engine], faults: dict[str, object]) -> None:
        """Sets the faults of engines that run, besides those that last."""
        for engine in engines:
            if engine.process.popen.poll() is None and not engine.stands_still:
                lasting = self._lasting_faults.get(engine.name, {})
                with contextlib.suppress(*ENDED_MEANWHILE):
                    engine.process.post("/faults", {**lasting, **faults})

    def register(self, name: str, state: str) -> None:
        """Writes the entry of an engine, unless it has ended."""
        engine = self.engines.get(name)
        if engine is None:
            return
        engine.state = state
        self.fleet.register(
            name,
            POOL,
            engine.role,
            address=f"127.0.0.1:{engine.address.port}",
            version=engine.version,
            state=state,
            born=engine.started_unix_ms,
            seq=int(time.monotonic() * 1000.0),
            **(
                {"zone": self.zones[engine.started_unix_ms % len(self.zones)]} if self.zones else {}
            ),
        )

    def follow_roles(self) -> None:
        """Writes the entries of engines that have another role by now."""
        for name, engine in list(self.engines.items()):
            if engine.stands_still:
                continue
            with contextlib.suppress(*ENDED_MEANWHILE):
                role = str(engine.process.get("/report")["phase"])
                if role != engine.role and name in self.engines:
                    engine.role = role
                    self.register(name, engine.state)

    def remove_entry(self, name: str) -> None:
        """Removes the entry of an engine."""
        self.fleet.put("keyed.servers", name, None)

    def end(self, name: str) -> Engine | None:
        """Kills an engine that runs, and returns it."""
        engine = self.engines.pop(name, None)
        if engine is not None:
            engine.process.kill()
        return engine

    def pause(self, engine: Engine) -> None:
        """Lets an engine stand still."""
        engine.stands_still = True
        engine.process.pause()

    def resume(self, engine: Engine) -> None:
        """Lets an engine go on that stood still, without the faults that have ended meanwhile."""
        engine.process.resume()
        engine.stands_still = False
        self.set_faults([engine], {})

    # Engines that end and are back at their address, as `return_ended` is called.

    def end_and_replace(self, name: str) -> None:
        """Kills an engine; another one, or it itself, is mostly back at its address soon."""
        engine = self.engines.get(name)
        if engine is None:
            return
        successor = None
        if engine.address.link:
            # It runs already, so that it may take over at once.
            successor = self._launch_successor(engine)
        self.end(name)
        self._plan_return(engine, successor, time.monotonic())

    def restart_in_series(self, gap_s: float, entry_delay_s: float) -> None:
        """Lets all engines start again as the next version, one after the other."""
        self.newest_version += 1
        version = f"v{self.newest_version}"
        engines = list(self.engines.values())
        # Processes behind the proxy run already, so that they may take over at once.
        successors = {
            engine.name: self._launch(version, engine.role, engine.address, engine.name)
            for engine in engines
            if engine.address.link
        }
        for engine in engines:
            successor = successors.get(engine.name)
            if self.engines.get(engine.name) is engine:
                self.end(engine.name)
                if successor is None:
                    successor = self._launch(version, engine.role, engine.address, engine.name)
                self.take_over(successor)
                self._due.append(DueStep(time.monotonic() + entry_delay_s, successor))
                time.sleep(gap_s)
            elif successor is not None:
                successor.process.kill()

    def return_ended(self) -> None:
        """Notes engines that have ended by themselves, and takes the steps that are due."""
        now_s = time.monotonic()
        for name, engine in list(self.engines.items()):
            has_ended = engine.process.popen.poll() is not None
            # Another thread may kill or replace it meanwhile.
            if has_ended and self.engines.get(name) is engine:
                self.engines.pop(name, None)
                self._plan_return(engine, None, now_s)
        self._run_due_steps(now_s)

    def launch_next_version(self, engine: Engine) -> Engine:
        """Starts a process of the next version that is to take over an engine's name."""
        version = f"v{int(engine.version.removeprefix('v')) + 1}"
        return self._launch(version, engine.role, engine.address, engine.name)

    def _launch_successor(self, engine: Engine) -> Engine:
        # Another version, too, may start under the same name.
        if self.rng.random() < SAME_NAME_PROBABILITY:
            version = self.rng.choice((engine.version, f"v{self.newest_version}"))
            return self._launch(version, engine.role, engine.address, engine.name)
        return self._launch(f"v{self.newest_version}", engine.role, engine.address)

    def _plan_return(self, engine: Engine, successor: Engine | None, now_s: float) -> None:
        due_s = now_s + self.rng.choice((0.0, 0.02, self.rng.uniform(0.0, MAX_ABSENCE_S)))
        self._due.append(DueStep(now_s + LAPSE_S, engine, is_lapse=True))
        self._due.append(DueStep(due_s, engine, successor or engine))

    def _run_due_steps(self, now_s: float) -> None:
        """Takes the steps that are due."""
        due = [step for step in self._due if step.at_s <= now_s]
        self._due = [step for step in self._due if step.at_s > now_s]
        for step in due:
            if step.is_lapse:
                # An entry that names a newer start stays.
                if step.engine.name not in self.engines:
                    self.remove_entry(step.engine.name)
            elif step.successor is None:
                if self.engines.get(step.engine.name) is step.engine:
                    self.register(step.engine.name, "ready")
            else:
                self._return(step, now_s)

    def _return(self, step: DueStep, now_s: float) -> None:
        successor = step.successor
        if successor is None or successor is step.engine:
            successor = self._launch_successor(step.engine)
        self.take_over(successor)
        entry_s = now_s + self.rng.choice((0.0, self.rng.uniform(0.0, MAX_ENTRY_DELAY_S)))
        self._due.append(DueStep(entry_s, successor))

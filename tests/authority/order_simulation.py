"""A simulation of orders in virtual time: successive controllers, hosts that route, engines.

The engines ignore fencing numbers. Violations are collected in `OrderSimulation.faults`.
"""

import heapq
import random
from collections.abc import Callable
from itertools import count
from typing import Final

from attrs import define, field

from berylquay.decisions.controller_lease import Authority
from berylquay.decisions.deployment import Configuration, Deployment, ModelSpec, PoolSpec
from berylquay.decisions.engine_orders import EngineState, Order, OrderSendOutcome
from berylquay.decisions.fleet import (
    Address,
    BackendKind,
    BackendServer,
    EntryHost,
    MembershipView,
    Role,
)
from berylquay.decisions.host_drains import HostDrains
from berylquay.decisions.order_commands import (
    ChangeEnded,
    DrainNoticeWanted,
    OrderCommand,
    OrderLimits,
    OrderSendWanted,
    StateReadWanted,
)
from berylquay.decisions.order_controller import OrderController
from berylquay.decisions.roles import RoleChange
from berylquay.peers.payloads import DrainAcknowledgement, DrainNotice

LIMITS: Final = OrderLimits(
    change_retry_delay_s=2.0, drain_timeout_s=30.0, idle_read_interval_s=1.0
)
STEP_S: Final = 0.1
LENGTH_S: Final = 90.0
ENGINES: Final = ("e0", "e1", "e2")
HOSTS: Final = ("h0", "h1", "h2")
CHANGE_S: Final = 2.0
ADDRESS: Final = Address("127.0.0.1", 1)


def configuration(version: str) -> Configuration:
    """Returns a configuration whose only model has the version."""
    pool = PoolSpec("lm", models=("m",), min_per_role=1)
    model = ModelSpec("m", version, ("a",))
    return Configuration(1, (Deployment("d", models=(model,), pools=(pool,)),))


def membership() -> MembershipView:
    """Returns the membership list with all engines and hosts."""
    backends = tuple(
        BackendServer(name, BackendKind.ENGINE, ADDRESS, "r", "dc", "lm", checks_fencing=False)
        for name in ENGINES
    )
    return MembershipView(1, backends, tuple(EntryHost(h, ADDRESS, "r", "dc") for h in HOSTS))


@define
class Engine:
    """An engine that accepts orders of any term."""

    name: str
    role: Role = Role.MIXED
    version: str = "1"
    incarnation: int = 0
    running: int = 0
    order: Order | None = None
    last_order: str = ""
    down_until_s: float = 0.0
    terms: list[int] = field(factory=list)

    def state(self) -> EngineState:
        """Returns the state that the engine reports."""
        return EngineState(
            self.name,
            str(self.incarnation),
            self.role,
            f"m@{self.version}",
            frozenset({"a"}),
            self.running,
            self.order.order_id if self.order is not None else "",
            self.last_order,
        )


@define
class OrderSimulation:
    """The engines, hosts, network and faults around the order controllers."""

    rng: random.Random
    engines: dict[str, Engine] = field(factory=lambda: {name: Engine(name) for name in ENGINES})
    drains: dict[str, HostDrains] = field(factory=dict)
    drained_pairs: set[tuple[str, str]] = field(factory=set)
    controllers: dict[str, OrderController] = field(factory=dict)
    disconnected_until_s: dict[str, float] = field(factory=dict)
    faults: list[str] = field(factory=list)
    changes_made: int = 0
    now_s: float = 0.0
    authority: Authority | None = None
    controller_host: str = ""
    _events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _numbers: "count[int]" = field(factory=count)

    def run(self) -> "OrderSimulation":
        """Runs the simulation for LENGTH_S and returns it."""
        for host in HOSTS:
            self.drains[host] = HostDrains(LIMITS.host_drain_validity_s)
            self.controllers[host] = OrderController("dc", host, LIMITS)
            self.controllers[host].on_membership(membership())
            self.controllers[host].on_configuration(configuration("1"))
        self._take_over(1)
        for step in range(int(LENGTH_S / STEP_S)):
            self._run_events(step * STEP_S)
            self.now_s = step * STEP_S
            self._step()
        return self

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action after a delay."""
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._numbers), action))

    def _run_events(self, until_s: float) -> None:
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()

    def _take_over(self, term: int) -> None:
        self.controller_host = self.rng.choice(HOSTS)
        until_s = self.now_s + self.rng.uniform(5.0, 40.0)
        self.authority = Authority(term, until_s)
        wait_s = until_s - self.now_s + LIMITS.order_margin_s + self.rng.uniform(0.0, 2.0)
        self.schedule(wait_s, lambda: self._take_over(term + 1))

    def _step(self) -> None:
        if self.now_s == LENGTH_S / 2:
            for controller in self.controllers.values():
                controller.on_configuration(configuration("2"))
        for host in HOSTS:
            self._run_host(host)
        for engine in self.engines.values():
            if self.rng.random() < 0.002:
                self._crash(engine)
        if self.rng.random() < 0.002:
            self.disconnected_until_s[self.rng.choice(HOSTS)] = self.now_s + self.rng.uniform(
                1.0, 15.0
            )

    def _run_host(self, host: str) -> None:
        host_drains = self.drains[host]
        for change in host_drains.on_tick(self.now_s):
            self._set_draining(host, change.backend, change.draining)
        for engine in self.engines.values():
            if (host, engine.name) not in self.drained_pairs and self.rng.random() < 0.03:
                self._start_request(host, engine)
        for sender, message in host_drains.take_acknowledgements():
            self._send(host, sender, self._acknowledge(host, sender, message))
        self._run_controller(host)

    def _acknowledge(
        self, host: str, sender: str, message: DrainAcknowledgement
    ) -> Callable[[], None]:
        return lambda: self.controllers[sender].on_drain_acknowledgement(host, message)

    def _run_controller(self, host: str) -> None:
        controller = self.controllers[host]
        authority = self.authority if host == self.controller_host else None
        if authority is not None and self.now_s >= authority.expires_s:
            authority = None
        commands = list(controller.on_authority(authority, self.now_s))
        if self.rng.random() < 0.1:
            role = self.rng.choice(list(Role))
            controller.on_role_change_requested(RoleChange(self.rng.choice(ENGINES), role))
        commands += controller.on_tick(self.now_s)
        self._execute_commands(host, commands)

    def _execute_commands(self, host: str, commands: list[OrderCommand]) -> None:
        for command in commands:
            if isinstance(command, StateReadWanted):
                self._read_state(host, self.engines[command.backend])
            elif isinstance(command, DrainNoticeWanted):
                for other in command.hosts:
                    self._send(host, other, self._notify(host, other, command.notice))
            elif isinstance(command, OrderSendWanted):
                self._send_order(host, command.order)
            elif isinstance(command, ChangeEnded):
                self.changes_made += command.succeeded

    def _send(self, sender: str, receiver: str, action: Callable[[], None]) -> None:
        disconnected_until_s = max(
            self.disconnected_until_s.get(sender, 0.0), self.disconnected_until_s.get(receiver, 0.0)
        )
        if sender == receiver:
            action()
        elif disconnected_until_s <= self.now_s and self.rng.random() > 0.1:
            self.schedule(self.rng.choice((0.01, 0.3, 2.0)), action)

    def _notify(self, sender: str, host: str, notice: DrainNotice) -> Callable[[], None]:
        def on_notice() -> None:
            for change in self.drains[host].on_notice(sender, notice, self.now_s):
                self._set_draining(host, change.backend, change.draining)
            self.drains[host].on_drain_applied(notice)

        return on_notice

    def _set_draining(self, host: str, backend: str, draining: bool) -> None:
        (self.drained_pairs.add if draining else self.drained_pairs.discard)((host, backend))

    def _start_request(self, host: str, engine: Engine) -> None:
        self.drains[host].on_attempt_started(engine.name)

        def on_arrival() -> None:
            if engine.order is not None or engine.down_until_s > self.now_s:
                self.drains[host].on_attempt_ended(engine.name)
                return
            engine.running += 1
            incarnation = engine.incarnation
            self.schedule(self.rng.choice((0.2, 1.0, 5.0)), lambda: on_end(incarnation))

        def on_end(incarnation: int) -> None:
            self.drains[host].on_attempt_ended(engine.name)
            if engine.incarnation == incarnation:
                engine.running -= 1

        self.schedule(self.rng.uniform(0.0, 0.5), on_arrival)

    def _read_state(self, host: str, engine: Engine) -> None:
        requested_s = self.now_s

        def on_request() -> None:
            is_unreachable = engine.down_until_s > self.now_s or self.rng.random() < 0.1
            state = None if is_unreachable else engine.state()
            self.schedule(self.rng.uniform(0.0, 0.3), lambda: on_response(state))

        def on_response(state: EngineState | None) -> None:
            controller = self.controllers[host]
            self._execute_commands(
                host, list(controller.on_engine_state(engine.name, state, requested_s, self.now_s))
            )

        self.schedule(self.rng.uniform(0.0, 0.3), on_request)

    def _send_order(self, host: str, order: Order) -> None:
        engine = self.engines[order.change.backend]
        if order.expires_s > (self.authority.expires_s if self.authority else 0.0):
            self.faults.append(f"{order.order_id} may outlive its authority")
        draw = self.rng.random()
        if draw < 0.1:
            self._report_outcome(host, order, OrderSendOutcome.NOT_SENT)
            return
        send_delay_s = self.rng.choice((0.0, order.expires_s - self.now_s))
        network_delay_s = self.rng.choice((0.01, LIMITS.order_margin_s - 0.01))
        if draw > 0.2:
            self.schedule(
                send_delay_s + network_delay_s, lambda: self._receive_order(engine, order)
            )
        if self.rng.random() < 0.8:
            outcome = (
                OrderSendOutcome.UNKNOWN
                if draw < 0.5 or network_delay_s > 1.0
                else OrderSendOutcome.ACCEPTED
            )
            self.schedule(send_delay_s + 0.02, lambda: self._report_outcome(host, order, outcome))

    def _report_outcome(self, host: str, order: Order, outcome: OrderSendOutcome) -> None:
        controller = self.controllers[host]
        self._execute_commands(
            host, list(controller.on_send_outcome(order.order_id, outcome, self.now_s))
        )

    def _receive_order(self, engine: Engine, order: Order) -> None:
        if engine.down_until_s > self.now_s:
            return
        if engine.order is not None:
            self.faults.append(f"{order.order_id} came amid {engine.order.order_id}")
            return
        if engine.running:
            self.faults.append(f"{order.order_id} cut off {engine.running} requests")
        if engine.terms and engine.terms[-1] > order.term:
            self.faults.append(f"{order.order_id} came after term {engine.terms[-1]}")
        engine.terms.append(order.term)
        engine.order = order
        engine.last_order = order.order_id
        incarnation = engine.incarnation
        if self.rng.random() < 0.1:
            self.schedule(CHANGE_S / 2, lambda: self._crash(engine))
        self.schedule(CHANGE_S, lambda: self._finish(engine, order, incarnation))

    def _finish(self, engine: Engine, order: Order, incarnation: int) -> None:
        if engine.incarnation != incarnation:
            return
        engine.order = None
        if isinstance(order.change, RoleChange):
            engine.role = order.change.role
        else:
            engine.version = getattr(order.change, "version", engine.version)

    def _crash(self, engine: Engine) -> None:
        engine.incarnation += 1
        engine.running = 0
        engine.order = None
        engine.last_order = ""
        engine.role = Role.MIXED
        engine.version = "1"
        engine.down_until_s = self.now_s + self.rng.uniform(0.5, 6.0)

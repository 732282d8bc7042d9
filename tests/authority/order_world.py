"""A world in virtual time for orders: controllers in turn, hosts that route, engines that change.

The engines ignore fencing numbers. What goes wrong on them is collected in `World.faults`.
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
    """Returns the list with all engines and hosts."""
    backends = tuple(
        BackendServer(name, BackendKind.ENGINE, ADDRESS, "r", "dc", "lm", checks_fencing=False)
        for name in ENGINES
    )
    return MembershipView(1, backends, tuple(EntryHost(h, ADDRESS, "r", "dc") for h in HOSTS))


@define
class Engine:
    """An engine that takes every order."""

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
        """Returns the engine's own report."""
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
class World:
    """Everything around the order keepers."""

    rng: random.Random
    engines: dict[str, Engine] = field(factory=lambda: {name: Engine(name) for name in ENGINES})
    drains: dict[str, HostDrains] = field(factory=dict)
    blocked: set[tuple[str, str]] = field(factory=set)
    keepers: dict[str, OrderController] = field(factory=dict)
    cut_until_s: dict[str, float] = field(factory=dict)
    faults: list[str] = field(factory=list)
    made: int = 0
    now_s: float = 0.0
    authority: Authority | None = None
    holder: str = ""
    _events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _numbers: "count[int]" = field(factory=count)

    def run(self) -> "World":
        """Runs the world to its end."""
        for host in HOSTS:
            self.drains[host] = HostDrains(LIMITS.host_drain_validity_s)
            self.keepers[host] = OrderController("dc", host, LIMITS)
            self.keepers[host].on_membership(membership())
            self.keepers[host].on_configuration(configuration("1"))
        self._take_over(1)
        for step in range(int(LENGTH_S / STEP_S)):
            self._run_events(step * STEP_S)
            self.now_s = step * STEP_S
            self._step()
        return self

    def later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Does something after a while."""
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._numbers), action))

    def _run_events(self, until_s: float) -> None:
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()

    def _take_over(self, term: int) -> None:
        self.holder = self.rng.choice(HOSTS)
        until_s = self.now_s + self.rng.uniform(5.0, 40.0)
        self.authority = Authority(term, until_s)
        wait_s = until_s - self.now_s + LIMITS.order_margin_s + self.rng.uniform(0.0, 2.0)
        self.later(wait_s, lambda: self._take_over(term + 1))

    def _step(self) -> None:
        if self.now_s == LENGTH_S / 2:
            for keeper in self.keepers.values():
                keeper.on_configuration(configuration("2"))
        for host in HOSTS:
            self._run_host(host)
        for engine in self.engines.values():
            if self.rng.random() < 0.002:
                self._crash(engine)
        if self.rng.random() < 0.002:
            self.cut_until_s[self.rng.choice(HOSTS)] = self.now_s + self.rng.uniform(1.0, 15.0)

    def _run_host(self, host: str) -> None:
        held = self.drains[host]
        for change in held.on_tick(self.now_s):
            self._block(host, change.backend, change.draining)
        for engine in self.engines.values():
            if (host, engine.name) not in self.blocked and self.rng.random() < 0.03:
                self._start_request(host, engine)
        for sender, message in held.take_acknowledgements():
            self._send(host, sender, self._acknowledge(host, sender, message))
        self._run_keeper(host)

    def _acknowledge(
        self, host: str, sender: str, message: DrainAcknowledgement
    ) -> Callable[[], None]:
        return lambda: self.keepers[sender].on_drain_acknowledgement(host, message)

    def _run_keeper(self, host: str) -> None:
        keeper = self.keepers[host]
        authority = self.authority if host == self.holder else None
        if authority is not None and self.now_s >= authority.expires_s:
            authority = None
        commands = list(keeper.on_authority(authority, self.now_s))
        if self.rng.random() < 0.1:
            role = self.rng.choice(list(Role))
            keeper.on_role_change_requested(RoleChange(self.rng.choice(ENGINES), role))
        commands += keeper.on_tick(self.now_s)
        self._obey(host, commands)

    def _obey(self, host: str, commands: list[OrderCommand]) -> None:
        for command in commands:
            if isinstance(command, StateReadWanted):
                self._read_state(host, self.engines[command.backend])
            elif isinstance(command, DrainNoticeWanted):
                for other in command.hosts:
                    self._send(host, other, self._notify(host, other, command.notice))
            elif isinstance(command, OrderSendWanted):
                self._send_order(host, command.order)
            elif isinstance(command, ChangeEnded):
                self.made += command.succeeded

    def _send(self, sender: str, receiver: str, action: Callable[[], None]) -> None:
        cut = max(self.cut_until_s.get(sender, 0.0), self.cut_until_s.get(receiver, 0.0))
        if sender == receiver:
            action()
        elif cut <= self.now_s and self.rng.random() > 0.1:
            self.later(self.rng.choice((0.01, 0.3, 2.0)), action)

    def _notify(self, sender: str, host: str, notice: DrainNotice) -> Callable[[], None]:
        def act() -> None:
            for change in self.drains[host].on_notice(sender, notice, self.now_s):
                self._block(host, change.backend, change.draining)
            self.drains[host].on_drain_applied(notice)

        return act

    def _block(self, host: str, backend: str, blocked: bool) -> None:
        (self.blocked.add if blocked else self.blocked.discard)((host, backend))

    def _start_request(self, host: str, engine: Engine) -> None:
        self.drains[host].on_attempt_started(engine.name)

        def arrive() -> None:
            if engine.order is not None or engine.down_until_s > self.now_s:
                self.drains[host].on_attempt_ended(engine.name)
                return
            engine.running += 1
            incarnation = engine.incarnation
            self.later(self.rng.choice((0.2, 1.0, 5.0)), lambda: end(incarnation))

        def end(incarnation: int) -> None:
            self.drains[host].on_attempt_ended(engine.name)
            if engine.incarnation == incarnation:
                engine.running -= 1

        self.later(self.rng.uniform(0.0, 0.5), arrive)

    def _read_state(self, host: str, engine: Engine) -> None:
        asked_s = self.now_s

        def read() -> None:
            down = engine.down_until_s > self.now_s or self.rng.random() < 0.1
            state = None if down else engine.state()
            self.later(self.rng.uniform(0.0, 0.3), lambda: answer(state))

        def answer(state: EngineState | None) -> None:
            keeper = self.keepers[host]
            self._obey(host, list(keeper.on_engine_state(engine.name, state, asked_s, self.now_s)))

        self.later(self.rng.uniform(0.0, 0.3), read)

    def _send_order(self, host: str, order: Order) -> None:
        engine = self.engines[order.change.backend]
        if order.expires_s > (self.authority.expires_s if self.authority else 0.0):
            self.faults.append(f"{order.order_id} may outlive its authority")
        lot = self.rng.random()
        if lot < 0.1:
            self._tell(host, order, OrderSendOutcome.NOT_SENT)
            return
        leaves_s = self.rng.choice((0.0, order.expires_s - self.now_s))
        way_s = self.rng.choice((0.01, LIMITS.order_margin_s - 0.01))
        if lot > 0.2:
            self.later(leaves_s + way_s, lambda: self._take_order(engine, order))
        if self.rng.random() < 0.8:
            outcome = (
                OrderSendOutcome.UNKNOWN if lot < 0.5 or way_s > 1.0 else OrderSendOutcome.ACCEPTED
            )
            self.later(leaves_s + 0.02, lambda: self._tell(host, order, outcome))

    def _tell(self, host: str, order: Order, outcome: OrderSendOutcome) -> None:
        keeper = self.keepers[host]
        self._obey(host, list(keeper.on_send_outcome(order.order_id, outcome, self.now_s)))

    def _take_order(self, engine: Engine, order: Order) -> None:
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
            self.later(CHANGE_S / 2, lambda: self._crash(engine))
        self.later(CHANGE_S, lambda: self._finish(engine, order, incarnation))

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

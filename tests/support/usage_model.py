"""A model of hosts that count and report usage, in virtual time.

The hosts are the real reporters, claims and clients. The store and the API are the stand-ins' state
behind connections that deliver requests and answers late or never, also after a host was killed.
"""

import json
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Final

from attrs import define, field

from berylquay.decisions.arrival_bounds import ArrivalBounds
from berylquay.decisions.fleet import Address
from berylquay.decisions.store_era import StoreEra
from berylquay.net.tcp_connections import Connection, ConnectionHandler
from berylquay.platform.duty_client import DutyClient
from berylquay.platform.store_client import StoreClient
from berylquay.relay.usage_reporter import UsageClocks, UsageLinks, UsageOptions, UsageReporter
from standins.duty_api import DutyLedger
from tests.support.era_model import ModelStore, World
from tests.support.fake_connections import FakeConnections

TICK_S: Final = 0.05
LENGTH_S: Final = 70.0
# Time without faults at the end; all windows that begin well within it must be reported.
QUIET_S: Final = 32.0
# Time from the end of all faults until windows are counted and reported as without faults: silent
# hosts are found again, and a claim that was read late has ended.
SETTLE_S: Final = 10.0
EPOCH_S: Final = 1_767_226_713.0
WINDOW_S: Final = 5.0
DUE_S: Final = 10.0
LEASE_S: Final = 3.0
HOSTS: Final = 5
MAX_ERROR: Final = 0.05
DATAGRAM_LOSS: Final = 0.03
MAX_FAULT_S: Final = 8.0
# Most time after its sending at which a call is still carried out, and shares of the calls to the
# store and to the API that are late.
MAX_CALL_DELAY_S: Final = 2.9
LATE_STORE_CALLS: Final = 0.04
LATE_API_CALLS: Final = 0.25
ADDRESS: Final = Address("10.0.0.1", 1)


class UsageWorld(World):
    """Virtual time; `has_faults` until the quiet time."""

    # Whether no faults are drawn at all.
    is_calm = False

    @property
    def has_faults(self) -> bool:
        """Tells whether faults may occur."""
        return not self.is_calm and self.now_s < LENGTH_S - QUIET_S


class LateConnections(FakeConnections):
    """Carries the requests of one host to one server, late or never."""

    def __init__(
        self,
        world: UsageWorld,
        host: "ModelHost",
        respond: Callable[[bytes], bytes],
        *,
        is_cut: Callable[[], bool],
        late_calls: float,
    ) -> None:
        super().__init__()
        self._world = world
        self._host = host
        self._respond = respond
        self._is_cut = is_cut
        self._late_calls = late_calls

    def open(self, address: Address, connection_handler: ConnectionHandler) -> Connection:
        """Returns a connection that is established later, if the server can be reached."""
        connection = super().open(address, connection_handler)
        connection.established = False
        self._world.later(self._world.rng.uniform(0.001, 0.01), lambda: self._connect(connection))
        return connection

    def _connect(self, connection: Connection) -> None:
        if self._host.is_frozen:
            self._world.later(TICK_S, lambda: self._connect(connection))
        elif not self._is_cut() and not connection.closed and not self._host.is_dead:
            connection.established = True
            connection.handler.on_connected()

    def send(self, connection: Connection, data: bytes) -> None:
        """Delivers the request after a delay; the client sends each in one piece."""
        super().send(connection, data)
        rng = self._world.rng
        delay_s = rng.uniform(0.001, 0.02)
        if self._world.has_faults and rng.random() < self._late_calls:
            delay_s = rng.uniform(0.0, MAX_CALL_DELAY_S)
        if not self._is_cut():
            self._world.later(delay_s, lambda: self._execute(connection, data))

    def _execute(self, connection: Connection, data: bytes) -> None:
        answer = self._respond(data)
        rng = self._world.rng
        if self._world.has_faults and rng.random() < 0.04:
            return
        self._world.later(rng.uniform(0.001, 0.02), lambda: self._deliver(connection, answer))

    def _deliver(self, connection: Connection, answer: bytes) -> None:
        if self._host.is_frozen:
            self._world.later(TICK_S, lambda: self._deliver(connection, answer))
        elif not self._is_cut() and not connection.closed and not self._host.is_dead:
            connection.handler.on_data_received(answer)


@define
class ModelApi:
    """The API; answers requests as bytes."""

    world: UsageWorld
    ledger: DutyLedger = field(factory=lambda: DutyLedger(LEASE_S))
    is_away: bool = False

    def respond(self, request: bytes) -> bytes:
        """Returns the answer to a request."""
        head, _, body = request.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:])
        status = 503
        if not self.is_away:
            status = 200
            holder, token = headers["duty-holder"], int(headers["fence-token"])
            fields = json.loads(body)
            self.ledger.carry_out("/usage", holder, token, fields, self.world.now_s)
        return f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode()


class ModelHost:
    """One process."""

    def __init__(self, model: "UsageModel", name: str) -> None:
        self.name = name
        # Without a path to the store, the API and the other hosts.
        self.is_cut = self.is_api_cut = self.is_apart = False
        self.is_frozen = self.is_dead = False
        self.wall_jump_s = 0.0
        self.monotonic_s = 0.0
        self.inbox: list[bytes] = []
        world = self._world = model.world
        self._model = model
        self.rng = Random(world.rng.random())
        era = StoreEra()
        store_client = StoreClient(
            LateConnections(
                world,
                self,
                model.store.respond,
                is_cut=lambda: self.is_cut,
                late_calls=LATE_STORE_CALLS,
            ),
            ADDRESS,
            era,
        )
        store_client.on_tick(self.monotonic_s)
        self.client = DutyClient(
            LateConnections(
                world,
                self,
                model.api.respond,
                is_cut=lambda: self.is_api_cut,
                late_calls=LATE_API_CALLS,
            ),
            ADDRESS,
            50.0,
            clock=lambda: world.now_s,
        )
        model.started += 1
        self.reporter = UsageReporter(
            UsageOptions(name, f"{name}-{model.started}", WINDOW_S, DUE_S, LEASE_S),
            UsageLinks(lambda: model.addresses(self), self._send, store_client, self.client),
            UsageClocks(lambda: EPOCH_S + world.now_s + self.wall_jump_s, lambda: world.now_s),
            None,
            self.rng,
        )
        era.add_listener(lambda _before, new: self.reporter.on_store_era(new))

    def _send(self, data: bytes, address: Address) -> None:
        self._model.send(self, data, address)

    def tick(self) -> None:
        """Runs one tick, in which some requests begin."""
        self.monotonic_s += TICK_S
        for data in self.inbox:
            self.reporter.on_datagram(data, ArrivalBounds(self.monotonic_s, self.monotonic_s))
        self.inbox.clear()
        for _ in range(self.rng.randint(0, 3)):
            tenant = f"t-{min(5, int(self.rng.expovariate(0.8)))}"
            self.reporter.on_request_began(tenant)
            self._model.on_request_began(tenant)
        self.client.on_tick(self.monotonic_s)
        self.reporter.on_tick(self.monotonic_s)


class UsageModel:
    """One seeded run."""

    def __init__(self, seed: int, *, is_calm: bool = False) -> None:
        self.world = UsageWorld(seed)
        self.world.is_calm = is_calm
        self.store = ModelStore(self.world)
        self.api = ModelApi(self.world)
        self.started = 0
        self.truth: dict[int, Counter[str]] = {}
        self.hosts = {f"h-{number}": ModelHost(self, f"h-{number}") for number in range(HOSTS)}

    def addresses(self, host: ModelHost) -> dict[str, Address]:
        """Returns the addresses of the other hosts, dead ones included."""
        return {
            name: Address("10.0.1.1", number)
            for number, name in enumerate(self.hosts)
            if name != host.name
        }

    def send(self, sender: ModelHost, data: bytes, address: Address) -> None:
        """Delivers a datagram, if it is not lost."""
        receiver = list(self.hosts.values())[address.port]
        is_apart = sender.is_apart or receiver.is_apart
        if not is_apart and self.world.rng.random() >= DATAGRAM_LOSS:
            delay_s = self.world.rng.uniform(0.001, 0.02)
            self.world.later(delay_s, lambda: receiver.inbox.append(data))

    def on_request_began(self, tenant: str) -> None:
        """Counts a request by true time."""
        window_id = int((EPOCH_S + self.world.now_s) // WINDOW_S)
        self.truth.setdefault(window_id, Counter())[tenant] += 1

    def run(self) -> None:
        """Runs to the end, and checks the rules."""
        while self.world.now_s < LENGTH_S:
            self.world.advance(TICK_S)
            if self.world.has_faults:
                self._draw_faults()
            elif not self.world.is_calm:
                self._end_faults()
            for host in self.hosts.values():
                if not host.is_frozen and not host.is_dead:
                    host.tick()
        assert not self.api.ledger.broken, self.api.ledger.broken
        for window_id in self._quiet_windows():
            assert not self.fault_of(window_id), self.fault_of(window_id)

    def fault_of(self, window_id: int) -> str:
        """Returns what is wrong with the report of a window, or an empty string."""
        ledger = self.api.ledger
        if window_id not in ledger.usage:
            return f"window {window_id} was not reported"
        after_s = EPOCH_S + ledger.reported_s[window_id] - (window_id + 1) * WINDOW_S
        if after_s > DUE_S:
            return f"window {window_id} was reported after {after_s:.2f} s"
        counts, truth = ledger.usage[window_id], self.truth.get(window_id, Counter())
        for tenant in {*counts, *truth}:
            expected = truth.get(tenant, 0)
            # A request at the end of a window may be counted in the next one.
            allowed = max(1, int(expected * MAX_ERROR))
            if abs(counts.get(tenant, 0) - expected) > allowed:
                return f"window {window_id}: {tenant} {counts.get(tenant, 0)} of {expected}"
        return ""

    def _quiet_windows(self) -> list[int]:
        first_s = EPOCH_S + LENGTH_S - QUIET_S + SETTLE_S
        last_s = EPOCH_S + LENGTH_S - DUE_S - WINDOW_S
        return [
            window_id
            for window_id in sorted(self.truth)
            if first_s <= window_id * WINDOW_S <= last_s
        ]

    def all_windows(self) -> list[int]:
        """Returns the windows of the whole run whose reports are due."""
        last_s = EPOCH_S + LENGTH_S - DUE_S - WINDOW_S
        return [
            window_id
            for window_id in sorted(self.truth)
            if EPOCH_S <= window_id * WINDOW_S <= last_s
        ]

    def _draw_faults(self) -> None:
        rng, now_s = self.world.rng, self.world.now_s
        if rng.random() < 0.002:
            self.store.state.restore(rng.uniform(0.2, 5.0), now_s)
        self._draw_fault(self.store, "is_away", 0.002)
        self._draw_fault(self.api, "is_away", 0.002)
        # The first hosts are the collectors.
        host = self.hosts[f"h-{min(rng.randrange(HOSTS), rng.randrange(HOSTS))}"]
        for name in ("is_cut", "is_api_cut", "is_apart", "is_frozen"):
            self._draw_fault(host, name, 0.004)
        if rng.random() < 0.004:
            host.wall_jump_s = rng.choice((0.0, -3.0, 4.0))
        if rng.random() < 0.004:
            host.is_dead = True
            self.world.later(rng.uniform(0.3, 8.0), lambda: self._restart(host.name))

    def fail(self, target: object, name: str, begin_s: float, end_s: float) -> None:
        """Sets an attribute of a host, the store or the API for some time."""
        self.world.later(begin_s, lambda: setattr(target, name, True))
        self.world.later(end_s, lambda: setattr(target, name, False))

    def kill(self, names: list[str], at_s: float, returns_s: float) -> None:
        """Kills hosts, and starts them again."""
        for name in names:
            host = self.hosts[name]
            self.world.later(at_s, lambda host=host: setattr(host, "is_dead", True))  # type: ignore[misc]
            self.world.later(returns_s, lambda name=name: self._restart(name))  # type: ignore[misc]

    def _draw_fault(self, target: object, name: str, probability: float) -> None:
        """Begins a fault with this probability, and ends it after some seconds."""
        if self.world.rng.random() < probability:
            setattr(target, name, True)
            duration_s = self.world.rng.uniform(0.3, MAX_FAULT_S)
            self.world.later(duration_s, lambda: setattr(target, name, False))

    def _restart(self, name: str) -> None:
        if self.hosts[name].is_dead:
            self.hosts[name] = ModelHost(self, name)

    def _end_faults(self) -> None:
        self.store.is_away = self.api.is_away = False
        for host in self.hosts.values():
            host.is_cut = host.is_api_cut = host.is_apart = host.is_frozen = False

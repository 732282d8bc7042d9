"""A model of hosts and a store that comes back from older copies, in virtual time.

The hosts are the real store client, topic followers, views and claims. The store is the stand-in's
state behind connections that deliver requests and answers late, twice a host's patience, or never.
"""

import heapq
import json
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Final
from urllib.parse import parse_qs, urlsplit

from attrs import define

from berylquay.decisions.backend_registry import BackendRegistry, EntryState
from berylquay.decisions.fleet import Address
from berylquay.decisions.order_claims import ClaimStep, ClaimTimes, OrderClaims
from berylquay.decisions.shared_polling import TopicReport
from berylquay.decisions.store_era import StoreEra
from berylquay.net.tcp_connections import Connection
from berylquay.platform.store_client import AppendResult, RecordPage, StoreClient, StoreFailure
from berylquay.platform.wire_names import TOPIC_AUTHORITY, TOPIC_BACKENDS, TOPIC_CONFIGURATION
from berylquay.relay.follower import FollowTimings, TopicFollower
from berylquay.relay.store_views import BackendsView, ConfigurationView
from berylquay.relay.topic_deltas import TopicDelta
from standins.platform_store import PlatformStore, encode_keyed_record
from tests.support.fake_connections import FakeConnections
from tests.support.relay_fleet import make_configuration

TICK_S: Final = 0.025
LENGTH_S: Final = 24.0
# Time without faults at the end, after which all hosts must agree with the store.
QUIET_S: Final = 9.0
LEASE_S: Final = 3.0
CLAIM_TIMES: Final = ClaimTimes(validity_s=2.0, in_flight_grace_s=LEASE_S + 2.0)
APPLY_S: Final = 2.5
HEARTBEAT_S: Final = 1.2
HOSTS: Final = 4
SERVERS: Final = 4
STORE_ADDRESS: Final = Address("10.0.0.1", 1)


class World:
    """Virtual time and everything that happens later."""

    tick_s = TICK_S

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.now_s = 0.0
        self._later: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Calls the action after a delay."""
        heapq.heappush(self._later, (self.now_s + delay_s, next(self._numbers), action))

    def advance(self, tick_s: float | None = None) -> None:
        """Advances by one tick, of another length than usual if one is given."""
        self.now_s += self.tick_s if tick_s is None else tick_s
        while self._later and self._later[0][0] <= self.now_s:
            heapq.heappop(self._later)[2]()


class ModelStore:
    """The stand-in's state, answering requests as bytes.

    `is_away` while it is down, `refuses_appends` while only reads are answered.
    """

    def __init__(self, world: World) -> None:
        self.state = PlatformStore(era=1)
        self.is_away = False
        self.refuses_appends = False
        self._world = world

    def put(self, topic: str, key: str, value: object) -> None:
        """Writes a record of the operator or a backend server."""
        content = b"" if value is None else json.dumps(value).encode()
        self.state.append(topic, encode_keyed_record(key, content), self._world.now_s)

    def respond(self, request: bytes) -> bytes:
        """Returns the answer to a request."""
        head, _, body = request.partition(b"\r\n\r\n")
        method, target = head.split(b" ")[:2]
        parts = urlsplit(target.decode())
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if self.is_away or (self.refuses_appends and parts.path == "/log-append"):
            status, answer = 503, b"{}"
        elif parts.path == "/log-newest":
            status, answer = 200, json.dumps(self.state.newest_page(query)).encode()
        elif parts.path == "/log-read":
            status, answer = self.state.read_page(query)
        else:
            status, fields = self.state.append_records(query, body, self._world.now_s)
            answer = json.dumps(fields).encode()
        assert method in (b"GET", b"POST")
        text = f"HTTP/1.1 {status} X\r\nStore-Era: {self.state.era}\r\n"
        return text.encode() + b"Content-Length: %d\r\n\r\n" % len(answer) + answer


class ModelConnections(FakeConnections):
    """Carries the requests of one host, late or never."""

    def __init__(self, world: World, store: ModelStore, host: "ModelHost") -> None:
        super().__init__()
        self._world = world
        self._store = store
        self._host = host

    def send(self, connection: Connection, data: bytes) -> None:
        """Delivers the request after a delay; the client sends each in one piece."""
        super().send(connection, data)
        rng = self._world.rng
        delay_s = rng.uniform(0.001, 0.02)
        if self._world.now_s < LENGTH_S - QUIET_S and rng.random() < 0.03:
            delay_s += rng.uniform(0.0, 3.0)
        if not self._host.is_cut:
            self._world.later(delay_s, lambda: self._execute(connection, data))

    def _execute(self, connection: Connection, data: bytes) -> None:
        answer = self._store.respond(data)
        rng = self._world.rng
        if self._world.now_s < LENGTH_S - QUIET_S and rng.random() < 0.03:
            return
        self._world.later(rng.uniform(0.001, 0.02), lambda: self._deliver(connection, answer))

    def _deliver(self, connection: Connection, answer: bytes) -> None:
        if self._host.is_frozen:
            self._world.later(TICK_S, lambda: self._deliver(connection, answer))
        elif not self._host.is_cut and not connection.closed:
            connection.handler.on_data_received(answer)


@define
class Order:
    """An order that a host has sent."""

    sent_s: float
    host: str
    token: int


class ModelHost:
    """One process: its views of the store, its claims, and the exchange with the others."""

    def __init__(self, world: World, store: ModelStore, name: str, rank: int) -> None:
        self.name = name
        self.is_cut = False
        self.is_frozen = False
        # Monotonic time since which the host was neither cut off nor frozen.
        self.calm_since_s = world.now_s
        self.orders: list[Order] = []
        self.versions: list[int] = []
        # Newest heartbeat with which each server was known as ready.
        self.ready_heartbeats: dict[str, int] = {}
        # Servers known to leave, and those that were dropped, by name.
        self.known_leaving: set[str] = set()
        self.dropped: set[str] = set()
        self._world = world
        self.era = StoreEra()
        connections = ModelConnections(world, store, self)

        def make_client() -> StoreClient:
            client = StoreClient(connections, STORE_ADDRESS, self.era)
            client.on_tick(world.now_s)
            return client

        self.configuration = ConfigurationView(
            lambda table: self.versions.append(table.version), self.era
        )
        self.registry = BackendRegistry()
        self.backends = BackendsView(self.registry, lambda _change: None)
        timings = FollowTimings(0.0, 0.5, APPLY_S)

        def clock() -> float:
            return world.now_s

        self.followers = [
            TopicFollower(topic, timings, make_client(), view, world.rng, clock, clock, self.era)
            for topic, view in (
                (TOPIC_CONFIGURATION, self.configuration),
                (TOPIC_BACKENDS, self.backends),
            )
        ]
        for follower in self.followers:
            follower.polling.poller_rank, follower.polling.host_count = rank, HOSTS
        self.claims = OrderClaims(CLAIM_TIMES, name)
        self._claims_client = make_client()
        self.wants_to_order = False
        self.era.add_listener(self._on_era)

    def _on_era(self, before: int | None, era: int) -> None:
        self._claims_client.abandon_call()
        self.claims.on_store_era(era, self._world.now_s)
        if before is not None:
            self.registry.on_store_restored(self._world.now_s)
            for follower in self.followers:
                follower.on_new_era(self._world.now_s)

    def tick(self) -> tuple[list[TopicReport], list[TopicDelta]]:
        """Runs one tick; returns what the host sends to the others."""
        now_s = self._world.now_s
        reports, deltas = [], []
        for follower in self.followers:
            follower.on_tick(now_s)
            deltas += follower.take_deltas(self._world.now_s)
            own_read = follower.next_report(now_s)
            if own_read is not None:
                reports.append(own_read.to_report(now_s))
        if self.followers[1].consecutive_failures:
            self.registry.on_store_unreachable()
        elif self.followers[1].has_snapshot:
            self.registry.on_store_answered(now_s)
        self.backends.expire(now_s)
        self._claims_client.on_tick(now_s)
        if self.wants_to_order and not self._claims_client.busy and self.era.current is not None:
            self._advance_claim(now_s)
        return reports, deltas

    def _advance_claim(self, now_s: float) -> None:
        step = self.claims.next_step(now_s)
        if step is ClaimStep.READ:
            self._claims_client.read(
                TOPIC_AUTHORITY, self.claims.next_offset, 0.0, self._on_claims_read
            )
        elif step is ClaimStep.APPEND:
            self.claims.on_append_sent(now_s)
            self._claims_client.append(
                TOPIC_AUTHORITY,
                [self.name.encode()],
                self._on_appended,
                expected_end_offset=self.claims.next_offset,
            )
        elif step is ClaimStep.ORDER:
            token = self.claims.fencing_number(now_s)
            assert token is not None
            self.orders.append(Order(now_s, self.name, token))

    def _on_claims_read(self, result: RecordPage | StoreFailure) -> None:
        if isinstance(result, RecordPage):
            holders = [content.decode() for content in result.contents]
            at_end = result.next_offset >= result.end_offset
            self.claims.on_read(holders, result.next_offset, at_end, self._world.now_s)
        elif result.records_gone:
            self.claims.on_records_gone(result.first_offset, self._world.now_s)

    def _on_appended(self, result: AppendResult | StoreFailure) -> None:
        if isinstance(result, AppendResult):
            self.claims.on_claimed(result.offset)
        else:
            self.claims.on_claim_failed()

    def receive(self, report: TopicReport | TopicDelta) -> None:
        """Takes what another host sent."""
        for follower in self.followers:
            if follower.topic == report.topic and isinstance(report, TopicReport):
                follower.on_peer_report(report, self._world.now_s)
            elif follower.topic == report.topic and isinstance(report, TopicDelta):
                follower.on_delta(report, self._world.now_s)


@define
class ModelServer:
    """A backend server that writes its entry to the store."""

    name: str
    heartbeat: int = 0
    state: str = "ready"
    is_gone: bool = False
    next_beat_s: float = 0.0

    def entry(self) -> dict[str, object]:
        """Returns the entry with the next heartbeat number."""
        self.heartbeat += 1
        return {
            "service": "lm",
            "address": "10.0.0.9:80",
            "zone": "a",
            "version": "v1",
            "slots": 1,
            "state": self.state,
            "coldLeftMs": 0,
            "phase": "decode",
            "seq": self.heartbeat,
            "born": 1,
        }


class EraModel:
    """One seeded run."""

    def __init__(self, seed: int) -> None:
        self.world = World(seed)
        self.store = ModelStore(self.world)
        self.version = 0
        self._write_configuration()
        self.hosts = [ModelHost(self.world, self.store, f"h-{rank}", rank) for rank in range(HOSTS)]
        self.servers = [ModelServer(f"s-{number}") for number in range(SERVERS)]
        self.ended_hosts: list[ModelHost] = []

    def run(self) -> None:
        """Runs to the end, checking the promises at each tick."""
        while self.world.now_s < LENGTH_S:
            self.world.advance()
            if self.world.now_s < LENGTH_S - QUIET_S:
                self._draw_faults()
            else:
                self._end_faults()
            self._beat()
            self._tick_hosts()
            self._check_entries()
        self._check_orders()
        for host in self.hosts + self.ended_hosts:
            assert host.versions == sorted(host.versions), host.versions
        for host in self.hosts:
            assert host.configuration.table is not None
            assert host.configuration.table.version == self.version, host.name
            self._check_final_entries(host)

    def _write_configuration(self) -> None:
        self.version += 1
        self.store.put(TOPIC_CONFIGURATION, "config", make_configuration(self.version))

    def _write_again(self) -> None:
        """Writes what the operator and the backend servers had written before a restore."""
        configuration = make_configuration(self.version)
        self.store.put(TOPIC_CONFIGURATION, "config", configuration)
        for server in self.servers:
            entry = None if server.is_gone else server.entry()
            self.store.put(TOPIC_BACKENDS, server.name, entry)

    def _draw_faults(self) -> None:
        rng, now_s = self.world.rng, self.world.now_s
        if rng.random() < 0.006:
            self.store.state.restore(rng.uniform(0.2, 5.0), now_s)
            self.world.later(rng.uniform(0.0, 1.5), self._write_again)
        if rng.random() < 0.006:
            self._write_configuration()
        if rng.random() < 0.004:
            self.store.is_away = not self.store.is_away
        if rng.random() < 0.006:
            self._change_server(rng.choice(self.servers))
        host = rng.choice(self.hosts)
        if rng.random() < 0.004:
            host.is_cut = not host.is_cut
        if rng.random() < 0.004:
            host.is_frozen = not host.is_frozen
        if rng.random() < 0.02:
            host.wants_to_order = not host.wants_to_order
        if rng.random() < 0.003:
            rank = self.hosts.index(host)
            self.ended_hosts.append(host)
            host.is_cut = True
            self.hosts[rank] = ModelHost(self.world, self.store, f"{host.name}-{now_s:.2f}", rank)

    def _end_faults(self) -> None:
        self.store.is_away = False
        for host in self.hosts:
            host.is_cut = host.is_frozen = False
            host.wants_to_order = True

    def _change_server(self, server: ModelServer) -> None:
        if server.is_gone:
            return
        if server.state == "ready" and self.world.rng.random() < 0.6:
            server.state = "draining"
            self.store.put(TOPIC_BACKENDS, server.name, server.entry())
        else:
            server.is_gone = True
            self.store.put(TOPIC_BACKENDS, server.name, None)

    def _beat(self) -> None:
        for server in self.servers:
            if not server.is_gone and self.world.now_s >= server.next_beat_s:
                server.next_beat_s = self.world.now_s + HEARTBEAT_S
                self.store.put(TOPIC_BACKENDS, server.name, server.entry())

    def _tick_hosts(self) -> None:
        for host in self.hosts:
            if host.is_frozen:
                continue
            reports, deltas = host.tick()
            for other in self.hosts:
                sent_items: list[TopicReport | TopicDelta] = [*deltas, *reports]
                for sent in sent_items:
                    if other is not host and self.world.rng.random() < 0.9:
                        self._send_to_host(other, sent)

    def _send_to_host(self, host: ModelHost, sent: TopicReport | TopicDelta) -> None:
        def deliver() -> None:
            if not host.is_frozen:
                host.receive(sent)

        self.world.later(self.world.rng.uniform(0.001, 0.05), deliver)

    def _check_entries(self) -> None:
        """A server known to leave is never ready again; a dropped one only by a new heartbeat."""
        for host in self.hosts:
            for name in (server.name for server in self.servers):
                entry = host.registry.get(name)
                if entry is None:
                    if name in host.ready_heartbeats:
                        host.dropped.add(name)
                elif entry.state is EntryState.LEAVING:
                    host.known_leaving.add(name)
                else:
                    assert name not in host.known_leaving, (host.name, name)
                    heartbeat = entry.heartbeat_number
                    if name in host.dropped:
                        assert heartbeat > host.ready_heartbeats[name], (host.name, name)
                        host.dropped.discard(name)
                    host.ready_heartbeats[name] = heartbeat

    def _check_final_entries(self, host: ModelHost) -> None:
        for server in self.servers:
            entry = host.registry.get(server.name)
            if server.is_gone:
                assert entry is None, (host.name, server.name)
            else:
                assert entry is not None, (host.name, server.name)
                assert entry.state.value == ("ready" if server.state == "ready" else "leaving")

    def _check_orders(self) -> None:
        """Fencing numbers rise, and no two holders order within the lease."""
        orders = [order for host in self.hosts + self.ended_hosts for order in host.orders]
        orders.sort(key=lambda order: order.sent_s)
        for before, after in zip(orders, orders[1:], strict=False):
            if before.host == after.host:
                assert after.token >= before.token, (before, after)
            else:
                assert after.token > before.token, (before, after)
                assert after.sent_s - before.sent_s >= LEASE_S, (before, after)

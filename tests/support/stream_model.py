"""A model of releases, killed hosts and continued streams, in virtual time.

The hosts are the real store clients, follower, views, exchange, stores of versions and lookups. The
store is the one of `era_model`: answers are late, lost, or of an older copy.
"""

from functools import partial
from types import SimpleNamespace
from typing import Any, Final
from unittest.mock import Mock

from attrs import define, field

from berylquay.decisions.arrival_bounds import ArrivalBounds
from berylquay.decisions.backend_registry import BackendEntry, BackendRegistry, RegistryChange
from berylquay.decisions.fleet import Address
from berylquay.decisions.pool_version_history import PoolVersionHistory
from berylquay.decisions.relay_call import RelayCall
from berylquay.decisions.server_starts import ServerStarts
from berylquay.decisions.store_era import StoreEra
from berylquay.platform.store_client import StoreClient
from berylquay.platform.wire_names import TOPIC_BACKENDS
from berylquay.relay.datagram_wait import split_wait
from berylquay.relay.follower import FollowTimings, TopicFollower
from berylquay.relay.pool_version_store import PoolVersionStore
from berylquay.relay.services import RelayServices
from berylquay.relay.store_views import BackendsView
from berylquay.relay.stream_lookup import LookupState, StreamLookup
from berylquay.relay.stream_version_exchange import (
    STREAM_QUERY_TAG,
    STREAM_VERSION_TAG,
    StreamVersionExchange,
)
from berylquay.relay.stream_version_store import StreamVersionStore
from berylquay.relay.version_datagrams import PoolRecordNotice, decode_version_datagram
from tests.support.era_model import STORE_ADDRESS, ModelConnections, ModelStore, World

TICK_S: Final = 0.1
POOL: Final = "lm"
HOSTS: Final = 4
START_UNIX_S: Final = 1_800_000_000.0
# Time after its start from which a host has the reports of the others.
FIRST_REPORTS_S: Final = 0.5
# Time for which a server that restarts is missing from the list.
RESTART_S: Final = 3.5
DATAGRAM_LOSS: Final = 0.02
# Time without faults at the start, in which the first hosts record the versions.
CALM_S: Final = 9.0
# Callers continue streams for this long; a stream that is older must not be joined either.
CONTINUED_WITHIN_S: Final = 65.0


class StreamWorld(World):
    """Virtual time in coarser ticks."""

    tick_s = TICK_S


@define
class ModelStream:
    """A stream that has begun, and the version of the server that it began at."""

    call_id: str
    version: str
    begun_s: float


@define(eq=False)
class OpenLookup:
    """A continuation that waits for the version."""

    stream: ModelStream
    host: "StreamHost"
    call: SimpleNamespace
    lookup: StreamLookup
    started_s: float


class StreamHost:
    """One process of a host."""

    def __init__(self, model: "StreamModel", number: int) -> None:
        world = model.world
        self.number = number
        self.name, self.address = f"h-{number}", Address("10.0.0.1", 7000 + number)
        self.started_s, self.is_cut, self.is_frozen, self.is_gone = world.now_s, False, False, False
        self._model = model
        self.era = StoreEra()
        connections = ModelConnections(world, model.store, self)  # type: ignore[arg-type]

        def make_client() -> StoreClient:
            client = StoreClient(connections, STORE_ADDRESS, self.era)
            client.on_tick(world.now_s)
            return client

        self.registry = BackendRegistry()
        self.history = PoolVersionHistory(is_first_start=not world.now_s)
        self._view = BackendsView(self.registry, self._on_backend)
        self.follower = TopicFollower(
            TOPIC_BACKENDS,
            FollowTimings(0.0, 0.5, 2.5),
            make_client(),
            self._view,
            world.rng,
            lambda: world.now_s,
            lambda: world.now_s,
            self.era,
        )
        self.exchange = StreamVersionExchange(
            host=self.name,
            address=self.address,
            get_hosts=lambda: {host.name: host.address for host in model.peers_of(self)},
            send=model.send,
            find_stored=self._find_stored,
            on_unknown=self._on_unknown,
        )
        self.pools = PoolVersionStore(
            history=self.history,
            registry=self.registry,
            store_client=make_client(),
            metrics=Mock(),
            rng=world.rng,
            unix_ms=lambda: round((START_UNIX_S + world.now_s + model.clock_error_s(self)) * 1000),
            boot_clock=lambda: world.now_s,
            is_first_of_group=lambda _now_s: model.first_host(self) is None,
            send_to_group=self._send_to_group,
            on_read=self._on_pools_read,
        )
        self.pools.pools = frozenset({POOL})
        self.streams = StreamVersionStore(
            history=self.history,
            append_client=make_client(),
            read_client=make_client(),
            metrics=Mock(),
            rng=world.rng,
            first_host=lambda _now_s: model.first_host(self),
            first_host_start=lambda _now_s: model.first_host_start(self),
            get_group_size=lambda: model.group_size,
            send=model.send,
            ask=self.exchange.ask_host,
            reply=self.exchange.reply,
        )
        self.era.add_listener(self._on_era)
        self.services: Any = SimpleNamespace(
            registry=self.registry,
            stream_versions=self.exchange,
            pool_versions=self.history,
            pool_version_store=self.pools,
            stream_version_store=self.streams,
            server_starts=ServerStarts(),
            metrics=Mock(),
        )

    def _on_backend(self, change: RegistryChange) -> None:
        if change.before is not None:
            self.history.on_entry_replaced(change.before, self._model.world.now_s)
        self.pools.on_entries_changed()

    def _on_era(self, before: int | None, era: int) -> None:
        now_s = self._model.world.now_s
        self.history.on_store_era(era)
        if before is not None:
            self.registry.on_store_restored(now_s)
            self.follower.on_new_era(now_s)
            self.pools.on_new_era()
            self.streams.on_new_era(now_s)

    def _find_stored(self, call_id: str) -> str | None:
        return self.streams.ledger.find(call_id)

    def _on_unknown(self, call_id: str, reply_to: Address, now_s: float) -> None:
        self.streams.on_unknown_query(call_id, reply_to, now_s)

    def _on_pools_read(self, now_s: float) -> None:
        if self.history.has_several(POOL, now_s):
            self.streams.request_read(now_s)

    def _send_to_group(self, data: bytes) -> None:
        for host in self._model.peers_of(self):
            self._model.send(data, host.address)

    def tick(self) -> None:
        """Runs one tick."""
        now_s = self._model.world.now_s
        self.follower.on_tick(now_s)
        if self.follower.consecutive_failures:
            self.registry.on_store_unreachable()
        elif self.follower.has_snapshot:
            self.registry.on_store_answered(now_s)
        self._view.expire(now_s)
        self.history.on_list_confirmed(self.follower.confirmed_s, now_s)
        self.exchange.on_tick(now_s)
        self.pools.on_tick(now_s)
        self.streams.on_tick(now_s)

    def receive(self, data: bytes) -> None:
        """Takes a datagram."""
        now_s = self._model.world.now_s
        if data.startswith(STREAM_QUERY_TAG):
            self.exchange.on_query_datagram(data, ArrivalBounds(now_s, now_s))
        elif data.startswith(STREAM_VERSION_TAG):
            self.exchange.on_version_datagram(data, ArrivalBounds(now_s, now_s))
        else:
            content, wait_ms = split_wait(data)
            notice = decode_version_datagram(content)
            assert notice is not None
            if isinstance(notice, PoolRecordNotice):
                arrival = ArrivalBounds(now_s, now_s).with_earlier_wait(wait_ms)
                self.pools.on_notice(notice, arrival)
            else:
                self.streams.on_notice(notice, now_s)

    def servers_to_begin_at(self) -> list[BackendEntry]:
        """Returns the servers at which a stream may begin, as `RelayedRequest` chooses them."""
        ready = self.registry.ready_in_pool(POOL)
        call: Any = SimpleNamespace(
            route=SimpleNamespace(resumable=True, streaming=True),
            stream_version=None,
            pool=SimpleNamespace(name=POOL),
        )
        recorded = [
            entry
            for entry in ready
            if RelayServices.may_begin_at(self.services, call, entry.software_version)
        ]
        return recorded or ready


@define(eq=False)
class StreamModel:
    """One seeded run; `has_store_faults` makes the store slow, unavailable and come back older."""

    seed: int
    has_store_faults: bool = True
    releases: bool = True
    length_s: float = 40.0
    # Group size that the hosts see; above 32 only the first one reads.
    group_size: int = HOSTS
    calm_s: float = CALM_S
    # Regions of the hosts, which are groups of their own; they are lost one at a time.
    regions: int = 1
    world: StreamWorld = field(init=False)
    store: ModelStore = field(init=False)
    hosts: dict[int, StreamHost] = field(factory=dict, init=False)
    # Versions of the running servers by name.
    servers: dict[str, str] = field(factory=dict, init=False)
    streams: list[ModelStream] = field(factory=list, init=False)
    lookups: list[OpenLookup] = field(factory=list, init=False)
    served: int = field(default=0, init=False)
    # Continuations whose version has servers.
    continuable: int = field(default=0, init=False)
    longest_wait_s: float = field(default=0.0, init=False)
    _next_version: int = field(default=1, init=False)
    _next_server: int = field(default=0, init=False)
    _clock_errors_s: dict[str, float] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Starts the servers and the hosts."""
        self.world = StreamWorld(self.seed)
        self.store = ModelStore(self.world)
        for _ in range(3):
            self._add_server("v0")
        if self.releases and self.world.rng.random() < 0.3:
            self._add_server("v1")
        for number in range(HOSTS):
            self._start_host(number)

    def run(self) -> None:
        """Runs to the end; no stream may be joined from two versions."""
        rng = self.world.rng
        while self.world.now_s < self.length_s:
            self.world.advance()
            for host in list(self.hosts.values()):
                host.tick()
            self._advance_lookups()
            for _ in range(2):
                self._begin_stream()
            if rng.random() < 0.3:
                self._continue_stream()
            if self.world.now_s < self.calm_s:
                continue
            if self.releases and rng.random() < 0.01:
                self._release()
            if rng.random() < 0.012:
                self._kill()
            if self.has_store_faults and rng.random() < 0.01:
                self._break_store()
            if rng.random() < 0.01:
                self._clock_errors_s[f"h-{rng.randrange(HOSTS)}"] = rng.uniform(-8.0, 8.0)

    def peers_of(self, host: StreamHost) -> list[StreamHost]:
        """Returns the hosts that a host knows."""
        if self.world.now_s - host.started_s < FIRST_REPORTS_S:
            return []
        region = host.number % self.regions
        return [
            other
            for other in self.hosts.values()
            if other is not host and other.number % self.regions == region
        ]

    def first_host(self, host: StreamHost) -> Address | None:
        """Returns the address of the first host that a host knows, or None if it is that itself."""
        before = [other for other in self.peers_of(host) if other.name < host.name]
        return min(before, key=lambda other: other.name).address if before else None

    def first_host_start(self, host: StreamHost) -> tuple[str, str]:
        """Returns name and start of that host, empty if it is the host itself."""
        before = [other for other in self.peers_of(host) if other.name < host.name]
        first = min(before, key=lambda other: other.name, default=None)
        return ("", "") if first is None else (first.name, str(first.started_s))

    def clock_error_s(self, host: StreamHost) -> float:
        """Returns by how much a host's wall clock is wrong."""
        return self._clock_errors_s.get(host.name, 0.0)

    def send(self, data: bytes, address: Address) -> None:
        """Delivers a datagram later, or loses it."""
        rng = self.world.rng

        def deliver() -> None:
            host = self.hosts.get(address.port - 7000)
            if host is not None:
                host.receive(data)

        if rng.random() >= DATAGRAM_LOSS:
            self.world.later(rng.uniform(0.001, 0.05), deliver)

    def _start_host(self, number: int) -> None:
        self.hosts[number] = StreamHost(self, number)

    def _write_entry(self, name: str, version: str) -> None:
        self.servers[name] = version
        entry = {"service": POOL, "address": "10.0.0.9:80", "zone": "a", "version": version}
        born = round(self.world.now_s * 1000) + 1
        entry |= {"slots": 1, "state": "ready", "coldLeftMs": 0, "phase": "decode"}  # type: ignore
        self.store.put(TOPIC_BACKENDS, name, {**entry, "seq": 1, "born": born})

    def _add_server(self, version: str) -> None:
        self._next_server += 1
        self._write_entry(f"s-{self._next_server}", version)

    def _remove_server(self, name: str) -> None:
        del self.servers[name]
        self.store.put(TOPIC_BACKENDS, name, None)

    def _release(self) -> None:
        """Adds servers of a version, new or had before, and removes others; or restarts one."""
        rng = self.world.rng
        version = f"v{rng.randrange(self._next_version + 1)}"
        self._next_version += 1
        if rng.random() < 0.3 and len(self.servers) > 1:
            name = rng.choice(sorted(self.servers))
            self._remove_server(name)
            self.world.later(RESTART_S, lambda: self._write_entry(name, version))
            return
        old = sorted(self.servers)
        self._add_server(version)
        if rng.random() < 0.3:
            self.world.later(rng.uniform(0.0, 2.0), self._kill)
        for name in old:
            if rng.random() < 0.6:
                self.world.later(rng.uniform(0.0, 5.0), partial(self._retire, name))

    def _retire(self, name: str) -> None:
        if name in self.servers and len(self.servers) > 1:
            self._remove_server(name)

    def _kill(self) -> None:
        """Kills all hosts or some, which start again soon."""
        rng = self.world.rng
        share = rng.choice((1.0, 1.0, 0.95, 0.55))
        if rng.random() < 0.3:
            # Servers of one version are lost with the hosts.
            self._lose_version()
        if self.has_store_faults and rng.random() < 0.3:
            self._restore_store()
        region = rng.randrange(self.regions)
        for number in sorted(self.hosts):
            if number % self.regions == region and rng.random() < share:
                self.hosts.pop(number).is_cut = True
                self.world.later(rng.uniform(0.5, 2.0), partial(self._start_host, number))

    def _lose_version(self) -> None:
        lost = self.world.rng.choice(sorted(set(self.servers.values())))
        if set(self.servers.values()) != {lost}:
            for name in [name for name, version in self.servers.items() if version == lost]:
                self._remove_server(name)

    def _restore_store(self) -> None:
        state = self.store.state
        lost = state.restore(self.world.rng.uniform(0.0, 8.0), self.world.now_s)

        def write_again() -> None:
            for change in lost:
                state.append(change.topic, change.content, self.world.now_s)

        self.world.later(0.3, write_again)

    def _break_store(self) -> None:
        rng, store = self.world.rng, self.store
        fault = rng.choice(("is_away", "refuses_appends", "restore", "cut"))
        if fault in ("is_away", "refuses_appends"):
            setattr(store, fault, True)
            self.world.later(rng.uniform(0.2, 6.0), lambda: setattr(store, fault, False))
        elif fault == "restore":
            self._restore_store()
        else:
            for host in self.hosts.values():
                if rng.random() < 0.3:
                    host.is_cut = True
                    self.world.later(rng.uniform(0.5, 5.0), partial(self._rejoin, host))

    def _rejoin(self, host: StreamHost) -> None:
        if host in self.hosts.values():
            host.is_cut = False

    def _ready_hosts(self) -> list[StreamHost]:
        return [host for host in self.hosts.values() if host.follower.has_snapshot]

    def _begin_stream(self) -> None:
        rng, hosts = self.world.rng, self._ready_hosts()
        if not hosts:
            return
        host = rng.choice(hosts)
        # A server that has restarted under its name is noticed with its new entry only: a known
        # limit, which the model leaves out.
        servers = [
            entry
            for entry in host.servers_to_begin_at()
            if self.servers.get(entry.name) == entry.software_version
        ]
        if not servers:
            return
        entry = rng.choice(servers)
        stream = ModelStream(f"c-{len(self.streams)}", self.servers[entry.name], self.world.now_s)
        self.streams.append(stream)
        now_s = self.world.now_s
        host.exchange.on_stream_begun(stream.call_id, stream.version, now_s)
        host.streams.on_stream_begun(POOL, stream.call_id, stream.version, now_s)

    def _continue_stream(self) -> None:
        rng, hosts, now_s = self.world.rng, self._ready_hosts(), self.world.now_s
        recent = self.streams[-round(CONTINUED_WITHIN_S / TICK_S) * 2 :]
        if not hosts or not recent:
            return
        # Streams broken by the loss of hosts are continued soon, others at any time.
        stream, host = rng.choice(recent[-80:] if rng.random() < 0.7 else recent), rng.choice(hosts)
        call = SimpleNamespace(
            call_id="again",
            resumed_call_id=stream.call_id,
            resumed_after_event=3,
            stream_version=None,
            pool=SimpleNamespace(name=POOL),
        )
        as_call: RelayCall = call  # type: ignore[assignment]
        lookup = StreamLookup(host.services, as_call, now_s)
        self.lookups.append(OpenLookup(stream, host, call, lookup, now_s))
        self._on_state(self.lookups[-1], lookup.start(now_s))

    def _advance_lookups(self) -> None:
        for opened in list(self.lookups):
            if opened.host not in self.hosts.values():
                self.lookups.remove(opened)
            else:
                self._on_state(opened, opened.lookup.on_tick(self.world.now_s))

    def _on_state(self, opened: OpenLookup, state: LookupState) -> None:
        if state is LookupState.PENDING:
            return
        self.lookups.remove(opened)
        waited_s = self.world.now_s - opened.started_s
        self.longest_wait_s = max(self.longest_wait_s, waited_s)
        version, begun = opened.call.stream_version, opened.stream.version
        assert version in (None, begun), (self.seed, self.world.now_s, opened.stream, version)
        if begun in self.servers.values():
            self.continuable += 1
            self.served += version is not None

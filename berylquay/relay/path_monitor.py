"""Watches this host's own paths to the backend servers, and finds gateways while they are cut."""

import time
from collections.abc import Callable, Collection, Iterable
from random import Random
from typing import Final

import logbook
from attrs import frozen

from berylquay.decisions.backend_health import BackendHealth
from berylquay.decisions.backend_registry import BackendEntry, BackendRegistry, EntryState
from berylquay.decisions.fleet import Address
from berylquay.decisions.server_paths import MAX_PROBES, GatewayChoice, ServerPaths
from berylquay.decisions.topology import Topology
from berylquay.net.tcp_connections import Connection, TcpConnections
from berylquay.relay.gateway_transport import GatewayTransport
from berylquay.relay.metrics import RelayMetrics
from berylquay.relay.upstream_request import CONNECT_TIMEOUT_S, GATEWAY_CONNECT_TIMEOUT_S

MS_PER_S: Final = 1000.0
_log = logbook.Logger("server-paths")


class PathMonitor:
    """Records how connections end, tests the paths when in doubt, and logs each change."""

    paths: ServerPaths
    # Pools of which no server can be reached by a connection of this host's own; those of them that
    # consist of engines; and whether there is no other pool.
    lost_pools: frozenset[str]
    lost_engine_pools: frozenset[str]
    is_cut_off: bool
    # Called with each server whose path was lost, or regained, to drop idle connections to it.
    on_change: Callable[[str], None]
    _connections: TcpConnections
    _registry: BackendRegistry
    _health: BackendHealth
    _topology: Topology
    _metrics: RelayMetrics
    _rng: Random
    # Returns the other hosts that may be gateways: address and data centre by name.
    _get_hosts: Callable[[], dict[str, tuple[Address, str]]]
    _gateways: GatewayChoice
    # Tests under way, by server.
    _probes: "dict[str, _Probe]"
    _gateway_tests: "dict[str, _GatewayTest]"

    def __init__(
        self,
        connections: TcpConnections,
        registry: BackendRegistry,
        health: BackendHealth,
        *,
        topology: Topology,
        metrics: RelayMetrics,
        rng: Random,
        get_hosts: Callable[[], dict[str, tuple[Address, str]]],
    ) -> None:
        self.paths = ServerPaths()
        self.lost_pools = self.lost_engine_pools = frozenset()
        self.is_cut_off = False
        self.on_change = _do_nothing
        self._connections = connections
        self._registry = registry
        self._health = health
        self._topology = topology
        self._metrics = metrics
        self._rng = rng
        self._get_hosts = get_hosts
        self._gateways = GatewayChoice()
        self._probes = {}
        self._gateway_tests = {}

    def on_connected(self, backend: BackendEntry, now_s: float) -> None:
        """Records that a connection of this host's own has been established."""
        lost_since_s = self.paths.lost_since_s(backend.name)
        if not self.paths.on_connected(backend.name, backend.pool, now_s):
            return
        _log.warning(
            "paths to servers regained",
            pool=backend.pool,
            servers=[backend.name],
            lost=len(self.paths.lost_servers),
            after_ms=None if lost_since_s is None else round((now_s - lost_since_s) * MS_PER_S),
        )
        self._health.end_backoff(backend.name)
        self._on_paths_changed([backend.name])

    def on_connect_failed(self, backend: BackendEntry, now_s: float) -> None:
        """Records that a connection of this host's own could not be established."""
        connected_s = self.paths.last_connected_s
        servers = [entry.name for entry in self._ready_servers() if entry.pool == backend.pool]
        lost = self.paths.on_connect_failed(backend.name, backend.pool, servers, now_s)
        if lost:
            _log.warning(
                "paths to servers lost",
                pool=backend.pool,
                servers=lost,
                failed=self.paths.failed_servers(backend.pool),
                gateway=None,
                connected_ms=(
                    None
                    if connected_s == float("-inf")
                    else round((now_s - connected_s) * MS_PER_S)
                ),
            )
            self._on_paths_lost(lost)
            # Some may have failed by themselves, and the others be reached as before.
            for entry in self._ready_servers():
                if entry.name in lost[:MAX_PROBES]:
                    self._probe(entry, now_s)
        elif backend.name in servers:
            self._test_through_gateway(backend, now_s)

    def on_silent(self, backend: BackendEntry, now_s: float) -> None:
        """Tests the path to a server that has not answered a request in time."""
        if not self.paths.is_lost(backend.name):
            self._probe(backend, now_s)

    def on_lost_pools(self, host: str, pools: Collection[str], now_s: float) -> None:
        """Takes another host's report of the pools that it can't reach; ignores unknown ones."""
        known = {entry.pool for entry in self._ready_servers()}
        self._gateways.on_lost_pools(host, known.intersection(pools), now_s)

    def open_gateway(self, backend: BackendEntry, now_s: float) -> GatewayTransport | None:
        """Returns a transport to a server by way of another host, or None if there is none."""
        hosts = self._get_hosts()
        round_trips_ms = {
            name: self._topology.round_trip_ms(data_centre)
            for name, (_address, data_centre) in hosts.items()
        }
        gateway = self._gateways.choose(backend.pool, round_trips_ms, self._rng, now_s)
        if gateway is None:
            return None
        return GatewayTransport(
            self._connections,
            gateway,
            hosts[gateway][0],
            backend.instance,
            _GatewayUse(self.paths, self._gateways, backend),
        )

    def on_tick(self, has_waiting_requests: bool, now_s: float) -> None:
        """Tests paths that are lost, or any if no server sends anything."""
        for probe in list(self._probes.values()):
            probe.on_tick(now_s)
        for gateway_test in list(self._gateway_tests.values()):
            gateway_test.on_tick(now_s)
        if not self.paths.take_probe_turn(has_waiting_requests, now_s):
            return
        servers = {entry.name: entry for entry in self._ready_servers()}
        self.paths.retain(servers.keys())
        self._update_lost_pools(servers.values())
        self._gateways.expire(now_s)
        for name in self.paths.choose_probes(list(servers), self._rng):
            self._probe(servers[name], now_s)

    def on_probe_ended(self, backend: BackendEntry, *, connected: bool, now_s: float) -> None:
        """Takes the result of a test."""
        del self._probes[backend.name]
        if connected:
            self.on_connected(backend, now_s)
        else:
            self.on_connect_failed(backend, now_s)

    def on_gateway_test_ended(
        self, backend: BackendEntry, gateway: str, *, reached: bool, now_s: float
    ) -> None:
        """Takes the result of a test through another host."""
        del self._gateway_tests[backend.name]
        if reached and self.paths.on_reached_by_gateway(backend.name, backend.pool, now_s):
            _log.warning(
                "paths to servers lost",
                pool=backend.pool,
                servers=[backend.name],
                failed=[backend.name],
                gateway=gateway,
                connected_ms=None,
            )
            self._on_paths_lost([backend.name])

    def _probe(self, backend: BackendEntry, now_s: float) -> None:
        if backend.name not in self._probes:
            self._probes[backend.name] = _Probe(self, self._connections, backend, now_s)

    def _test_through_gateway(self, backend: BackendEntry, now_s: float) -> None:
        name = backend.name
        if name in self._gateway_tests or not self.paths.take_gateway_test(name, now_s):
            return
        transport = self.open_gateway(backend, now_s)
        if transport is not None:
            self._gateway_tests[name] = _GatewayTest(self, transport, backend, now_s)

    def _on_paths_lost(self, servers: list[str]) -> None:
        for name in servers:
            # The failures were those of this host's path, not of the server.
            self._health.end_backoff(name)
        self._on_paths_changed(servers)

    def _on_paths_changed(self, servers: list[str]) -> None:
        self._update_lost_pools(self._ready_servers())
        for name in servers:
            self.on_change(name)

    def _update_lost_pools(self, servers: Iterable[BackendEntry]) -> None:
        by_pool: dict[str, list[str]] = {}
        engine_pools = set()
        for entry in servers:
            by_pool.setdefault(entry.pool, []).append(entry.name)
            if entry.role is not None:
                engine_pools.add(entry.pool)
        self.lost_pools = self.paths.lost_pools(by_pool)
        self.lost_engine_pools = self.lost_pools & engine_pools
        self.is_cut_off = bool(by_pool) and self.lost_pools == by_pool.keys()
        self._metrics.on_cut_off(is_cut_off=bool(self.lost_pools))

    def _ready_servers(self) -> list[BackendEntry]:
        return [entry for entry in self._registry.all_entries() if entry.state is EntryState.READY]


class _Probe:
    """A connection to one server that is closed as soon as it is established."""

    _monitor: PathMonitor
    _connections: TcpConnections
    _backend: BackendEntry
    _started_s: float
    _connection: Connection
    # Whether the connection could not be established.
    _has_failed: bool

    def __init__(
        self, monitor: PathMonitor, connections: TcpConnections, backend: BackendEntry, now_s: float
    ) -> None:
        self._monitor = monitor
        self._connections = connections
        self._backend = backend
        self._started_s = now_s
        self._has_failed = False
        self._connection = connections.open(backend.address, self)

    def on_tick(self, now_s: float) -> None:
        """Ends the test when its result is known, or its time is over."""
        connected = self._connection.established
        if connected or self._has_failed or now_s - self._started_s > CONNECT_TIMEOUT_S:
            self._connections.close(self._connection)
            self._monitor.on_probe_ended(self._backend, connected=connected, now_s=now_s)

    def on_connected(self) -> None:
        """Does nothing: the result is taken at the next tick."""

    def on_data_received(self, data: bytes) -> None:
        """Ignores data: none was asked for."""

    def on_disconnected(self, _detail: str) -> None:
        """Records that the connection failed."""
        self._has_failed = not self._connection.established


@frozen
class _GatewayUse:
    """Records what the use of a gateway for one server shows."""

    paths: ServerPaths
    gateways: GatewayChoice
    backend: BackendEntry

    def on_gateway_failed(self, gateway: str) -> None:
        """Records that the gateway can't be used."""
        self.gateways.on_failed(gateway, self.backend.pool, time.monotonic())

    def on_server_reached(self) -> None:
        """Records that the gateway has reached the server."""
        self.paths.on_reached(self.backend.name)

    def on_server_unreached(self, gateway: str) -> bool:
        """Records that the gateway has not reached the server; returns whether that is to blame."""
        now_s = time.monotonic()
        self.gateways.on_failed(gateway, self.backend.pool, now_s)
        return self.paths.on_unreached(self.backend.name, gateway, now_s)


class _GatewayTest:
    """A connection to one server through another host, closed as soon as it is established."""

    _monitor: PathMonitor
    _transport: GatewayTransport
    _backend: BackendEntry
    _started_s: float
    _connection: Connection
    _has_ended: bool

    def __init__(
        self,
        monitor: PathMonitor,
        transport: GatewayTransport,
        backend: BackendEntry,
        now_s: float,
    ) -> None:
        self._monitor = monitor
        self._transport = transport
        self._backend = backend
        self._started_s = now_s
        self._has_ended = False
        self._connection = transport.open(backend.address, self)

    def on_tick(self, now_s: float) -> None:
        """Ends the test when its result is known, or its time is over."""
        reached = self._connection.established
        is_over = now_s - self._started_s > GATEWAY_CONNECT_TIMEOUT_S
        if not (reached or self._has_ended or is_over):
            return
        if is_over and not reached:
            self._transport.give_up_connecting()
        self._transport.close(self._connection)
        self._monitor.on_gateway_test_ended(
            self._backend, self._transport.gateway, reached=reached, now_s=now_s
        )

    def on_connected(self) -> None:
        """Does nothing: the result is taken at the next tick."""

    def on_data_received(self, data: bytes) -> None:
        """Ignores data: none was asked for."""

    def on_disconnected(self, _detail: str) -> None:
        """Records that the test has ended."""
        self._has_ended = True


def _do_nothing(_server: str) -> None:
    pass

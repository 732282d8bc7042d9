"""Watches this host's own paths to the backend servers, and finds gateways while they are cut."""

from collections.abc import Callable
from random import Random
from typing import Final

import logbook

from berylquay.decisions.backend_health import BackendHealth
from berylquay.decisions.backend_registry import BackendEntry, BackendRegistry, EntryState
from berylquay.decisions.fleet import Address
from berylquay.decisions.server_paths import GatewayChoice, ServerPaths
from berylquay.decisions.topology import Topology
from berylquay.net.tcp_connections import Connection, TcpConnections
from berylquay.relay.gateway_transport import GatewayTransport
from berylquay.relay.metrics import RelayMetrics
from berylquay.relay.upstream_request import CONNECT_TIMEOUT_S

MS_PER_S: Final = 1000.0
_log = logbook.Logger("server-paths")


class PathMonitor:
    """Records how connections end, tests the paths when in doubt, and logs each change."""

    paths: ServerPaths
    # Called when the host has lost its paths, or has got them back, to drop idle connections.
    on_change: Callable[[], None]
    _connections: TcpConnections
    _registry: BackendRegistry
    _health: BackendHealth
    _topology: Topology
    _metrics: RelayMetrics
    _rng: Random
    # Returns the other hosts that may be gateways: address and data centre by name.
    _get_hosts: Callable[[], dict[str, tuple[Address, str]]]
    _gateways: GatewayChoice
    _probe: "_Probe | None"
    # Monotonic time at which the host was found to be cut off.
    _cut_off_s: float

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
        self.on_change = _do_nothing
        self._connections = connections
        self._registry = registry
        self._health = health
        self._topology = topology
        self._metrics = metrics
        self._rng = rng
        self._get_hosts = get_hosts
        self._gateways = GatewayChoice()
        self._probe = None
        self._cut_off_s = 0.0

    def on_connected(self, now_s: float) -> None:
        """Records that a connection of this host's own has been established."""
        if self.paths.on_connected(now_s):
            after_ms = round((now_s - self._cut_off_s) * MS_PER_S)
            _log.warning("paths to servers regained", after_ms=after_ms)
            self._metrics.on_cut_off(is_cut_off=False)
            self.on_change()

    def on_connect_failed(self, server: str, now_s: float) -> None:
        """Records that a connection of this host's own could not be established."""
        connected_s = self.paths.last_connected_s
        if self.paths.on_connect_failed(server, len(self._ready_servers()), now_s):
            self._cut_off_s = now_s
            _log.warning(
                "paths to servers lost",
                failed=self.paths.failed_servers,
                connected_ms=(
                    None
                    if connected_s == float("-inf")
                    else round((now_s - connected_s) * MS_PER_S)
                ),
            )
            self._metrics.on_cut_off(is_cut_off=True)
            # The failures were those of this host's path, not of the servers.
            self._health.end_backoffs()
            self.on_change()

    def open_gateway(self, backend: BackendEntry, now_s: float) -> GatewayTransport | None:
        """Returns a transport to a server by way of another host, or None if there is none."""
        hosts = self._get_hosts()
        round_trips_ms = {
            name: self._topology.round_trip_ms(data_centre)
            for name, (_address, data_centre) in hosts.items()
        }
        gateway = self._gateways.choose(round_trips_ms, self._rng, now_s)
        if gateway is None:
            return None
        return GatewayTransport(
            self._connections,
            gateway,
            hosts[gateway][0],
            backend.instance,
            lambda host: self._gateways.on_failed(host, now_s),
        )

    def on_tick(self, has_waiting_requests: bool, now_s: float) -> None:
        """Tests the path if the host is cut off, or no server sends anything."""
        if self._probe is not None:
            self._probe.on_tick(now_s)
        if self._probe is None and self.paths.take_probe(has_waiting_requests, now_s):
            servers = self._ready_servers()
            if servers:
                self._probe = _Probe(self, self._connections, self._rng.choice(servers), now_s)

    def on_probe_ended(self, server: str, *, connected: bool, now_s: float) -> None:
        """Takes the result of a test."""
        self._probe = None
        if connected:
            self.on_connected(now_s)
        else:
            self.on_connect_failed(server, now_s)

    def _ready_servers(self) -> list[BackendEntry]:
        return [entry for entry in self._registry.all_entries() if entry.state is EntryState.READY]


class _Probe:
    """A connection to one server that is closed as soon as it is established."""

    _monitor: PathMonitor
    _connections: TcpConnections
    _server: str
    _started_s: float
    _connection: Connection
    # Whether the connection could not be established.
    _has_failed: bool

    def __init__(
        self, monitor: PathMonitor, connections: TcpConnections, entry: BackendEntry, now_s: float
    ) -> None:
        self._monitor = monitor
        self._connections = connections
        self._server = entry.name
        self._started_s = now_s
        self._has_failed = False
        self._connection = connections.open(entry.address, self)

    def on_tick(self, now_s: float) -> None:
        """Ends the test when its result is known, or its time is over."""
        connected = self._connection.established
        if connected or self._has_failed or now_s - self._started_s > CONNECT_TIMEOUT_S:
            self._connections.close(self._connection)
            self._monitor.on_probe_ended(self._server, connected=connected, now_s=now_s)

    def on_connected(self) -> None:
        """Does nothing: the result is taken at the next tick."""

    def on_data_received(self, data: bytes) -> None:
        """Ignores data: none was asked for."""

    def on_disconnected(self, _detail: str) -> None:
        """Records that the connection failed."""
        self._has_failed = not self._connection.established


def _do_nothing() -> None:
    pass

"""Watches this host's own paths to the backend servers, and finds gateways while they are cut."""

import time
from collections.abc import Callable, Collection, Iterable
from enum import Enum
from itertools import count
from random import Random
from typing import Final

import logbook
from attrs import define, field, frozen

from berylquay.decisions.backend_health import BackendHealth
from berylquay.decisions.backend_registry import BackendEntry, BackendRegistry, EntryState
from berylquay.decisions.fleet import Address
from berylquay.decisions.server_paths import (
    GATEWAY_TEST_INTERVAL_S,
    MAX_PROBES,
    PROBE_INTERVAL_S,
    GatewayChoice,
    ServerPaths,
)
from berylquay.decisions.topology import Topology
from berylquay.errors import TransportError
from berylquay.net.persistent_http import (
    PersistentConnection,
    RawRequest,
    RawResponseHead,
    Transport,
)
from berylquay.net.tcp_connections import Connection, TcpConnections
from berylquay.platform.request_codec import encode_health_request, encode_report_request
from berylquay.relay.gateway_transport import GatewayTransport
from berylquay.relay.metrics import RelayMetrics
from berylquay.relay.upstream_request import CONNECT_TIMEOUT_S, GATEWAY_CONNECT_TIMEOUT_S

MS_PER_S: Final = 1000.0
# Time after which a question on an established connection counts as unanswered; a sound server may
# be silent for as long, which is why another host is asked as well.
ANSWER_TIMEOUT_S: Final = 1.0
# Other hosts that are asked in turn for one server, as they may have lost their paths too.
MAX_GATEWAY_QUESTIONS: Final = 3
_log = logbook.Logger("server-paths")


class _Result(Enum):
    """How a question has ended."""

    ANSWERED = "answered"
    # No connection was established.
    NOT_CONNECTED = "not-connected"
    # The connection was established, and ended without an answer.
    UNANSWERED = "unanswered"
    # The same, and nothing came in time.
    SILENT = "silent"


@frozen
class PossibleCrash:
    """A lost attempt that is a crash of the server, unless the path to it was at fault."""

    # Called if the path is not at fault, and if it is.
    confirm: Callable[[], None]
    withdraw: Callable[[], None]


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
    # Questions under way, by server: on connections of this host's own, and through other hosts.
    _questions: "dict[str, _Question]"
    _gateway_questions: "dict[str, _Question]"
    # Lost attempts of which it is not yet known whether the path is at fault, by server.
    _possible_crashes: dict[str, list[PossibleCrash]]
    # Monotonic time at which a server last answered a question, by server.
    _answered_s: dict[str, float]
    # When other hosts were last asked for a server, and whether it answered through one of them.
    _gateway_answers: dict[str, tuple[float, bool]]
    # Returns the path of a pool's health checks; empty if it has none.
    _health_path: Callable[[str], str]
    # Numbers of this host's health checks.
    _check_numbers: "count[int]"

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
        health_path: Callable[[str], str],
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
        self._questions = {}
        self._gateway_questions = {}
        self._possible_crashes = {}
        self._answered_s = {}
        self._gateway_answers = {}
        self._health_path = health_path
        self._check_numbers = count()

    def on_connected(self, backend: BackendEntry, now_s: float) -> None:
        """Records that a connection of this host's own has been established."""
        lost_since_s = self.paths.lost_since_s(backend.name)
        if self.paths.on_connected(backend.name, backend.pool, now_s):
            self._on_path_regained(backend, lost_since_s, now_s)

    def on_answered(self, backend: BackendEntry, now_s: float) -> None:
        """Records data of a server on a connection of this host's own."""
        lost_since_s = self.paths.lost_since_s(backend.name)
        if self.paths.on_answered(backend.name, backend.pool, now_s):
            self._on_path_regained(backend, lost_since_s, now_s)

    def on_unanswered(self, backend: BackendEntry, now_s: float) -> None:
        """Asks a server from which another host got no answer by way of this one.

        No third host is asked: a server that is down for all would keep them asking each other.
        """
        if not self.paths.is_lost(backend.name):
            self._ask(backend, now_s, may_ask_others=False)

    def judge_crash(
        self, backend: BackendEntry, crash: PossibleCrash, *, has_gateway: bool, now_s: float
    ) -> None:
        """Finds out whether the path is at fault for a lost attempt, or the server.

        Args:
            backend: The server.
            crash: Is told.
            has_gateway: Whether the attempt took a gateway.
            now_s: Present time.
        """
        name = backend.name
        self._possible_crashes.setdefault(name, []).append(crash)
        if name in self._questions or name in self._gateway_questions:
            return
        if now_s - self._answered_s.get(name, float("-inf")) < PROBE_INTERVAL_S:
            # The server answers questions, and breaks off what it is asked to run.
            self._settle_crashes(name, is_path_at_fault=False)
            return
        if not (has_gateway or self.paths.is_lost(name)):
            self._ask(backend, now_s)
        if name not in self._questions:
            self._ask_through_gateway(backend, now_s)

    def _on_path_regained(
        self, backend: BackendEntry, lost_since_s: float | None, now_s: float
    ) -> None:
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
            self._on_pool_lost(backend.pool, lost, connected_s, now_s)
        elif backend.name in servers:
            self._test_through_gateway(backend, now_s)

    def on_silent(self, backend: BackendEntry, now_s: float) -> None:
        """Tests the path to a server that has not answered a request in time."""
        if not self.paths.is_lost(backend.name):
            self._ask(backend, now_s)

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
        self._check_questions(now_s)
        if not self.paths.take_probe_turn(has_waiting_requests, now_s):
            return
        servers = {entry.name: entry for entry in self._ready_servers()}
        self.paths.retain(servers.keys())
        self._update_lost_pools(servers.values())
        self._gateways.expire(now_s)
        for name in self.paths.choose_probes(list(servers), self._rng):
            if self.paths.is_lost(name):
                self._test(servers[name], now_s)
            elif not self._questions:
                self._ask(servers[name], now_s)

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
        if reached:
            self._on_reached_by_gateway(backend, gateway, now_s)

    def _on_reached_by_gateway(self, backend: BackendEntry, gateway: str, now_s: float) -> bool:
        """Takes the path for lost if it is at fault; returns whether that is new."""
        is_lost = self.paths.on_reached_by_gateway(backend.name, backend.pool, now_s)
        if is_lost:
            _log.warning(
                "paths to servers lost",
                pool=backend.pool,
                servers=[backend.name],
                failed=[backend.name],
                gateway=gateway,
                connected_ms=None,
            )
            self._on_paths_lost([backend.name])
        return is_lost

    def _on_pool_lost(self, pool: str, lost: list[str], connected_s: float, now_s: float) -> None:
        _log.warning(
            "paths to servers lost",
            pool=pool,
            servers=lost,
            failed=self.paths.failed_servers(pool),
            gateway=None,
            connected_ms=(
                None if connected_s == float("-inf") else round((now_s - connected_s) * MS_PER_S)
            ),
        )
        self._on_paths_lost(lost)
        # Some may have failed by themselves, and the others be reached as before.
        for entry in self._ready_servers():
            if entry.name in lost[:MAX_PROBES]:
                self._test(entry, now_s)

    def _check_questions(self, now_s: float) -> None:
        for name, question in list(self._gateway_questions.items()):
            result = question.result(now_s)
            if result is not None:
                del self._gateway_questions[name]
                question.close()
                self._on_gateway_question_ended(question, result, now_s)
        for name, question in list(self._questions.items()):
            result = question.result(now_s)
            if result is None:
                continue
            if result is _Result.SILENT and not self.paths.is_lost(name):
                # A slow server would answer this question before the one of a gateway.
                if question.may_ask_others and not question.is_overdue:
                    question.is_overdue = True
                    self.paths.on_silent(name, now_s)
                    self._ask_through_gateway(question.backend, now_s)
                if name in self._gateway_questions:
                    continue
            del self._questions[name]
            question.close()
            self._on_question_ended(question, result, now_s)

    def _on_question_ended(self, question: "_Question", result: _Result, now_s: float) -> None:
        backend, name = question.backend, question.backend.name
        if result is _Result.ANSWERED:
            self._answered_s = {
                server: at_s
                for server, at_s in self._answered_s.items()
                if now_s - at_s < PROBE_INTERVAL_S
            }
            self._answered_s[name] = now_s
            self.on_answered(backend, now_s)
            self._settle_crashes(name, is_path_at_fault=False)
            return
        is_in_doubt = (
            result is _Result.UNANSWERED
            and question.may_ask_others
            and not self.paths.is_lost(name)
        )
        if result is _Result.NOT_CONNECTED:
            self.on_connect_failed(backend, now_s)
        elif result is _Result.UNANSWERED:
            connected_s = self.paths.last_connected_s
            servers = [each.name for each in self._ready_servers() if each.pool == backend.pool]
            lost = self.paths.on_unanswered(backend.name, backend.pool, servers, now_s)
            if lost:
                self._on_pool_lost(backend.pool, lost, connected_s, now_s)
        elif self.paths.is_lost(name):
            self.paths.on_silent(name, now_s)
        if is_in_doubt or name in self._possible_crashes:
            self._ask_through_gateway(backend, now_s)

    def _on_gateway_question_ended(
        self, question: "_Question", result: _Result, now_s: float
    ) -> None:
        backend, gateway = question.backend, question.gateway
        if result is _Result.ANSWERED:
            if self._on_reached_by_gateway(backend, gateway, now_s):
                self._ask_others(now_s)
            self._on_gateways_asked(backend.name, is_answered=True, now_s=now_s)
            return
        self._gateways.on_failed(gateway, backend.pool, now_s)
        self._ask_through_gateway(backend, now_s, asked_before=question.asked_before + 1)

    def _on_gateways_asked(self, server: str, *, is_answered: bool, now_s: float) -> None:
        self._gateway_answers = {
            name: answer
            for name, answer in self._gateway_answers.items()
            if now_s - answer[0] < GATEWAY_TEST_INTERVAL_S
        }
        self._gateway_answers[server] = now_s, is_answered
        self._settle_crashes(server, is_path_at_fault=is_answered)

    def _ask_others(self, now_s: float) -> None:
        """Asks servers that are not known to be lost, as one is in spite of connections to it."""
        others = [each for each in self._ready_servers() if not self.paths.is_lost(each.name)]
        for entry in self._rng.sample(others, min(MAX_PROBES, len(others))):
            self._ask(entry, now_s)

    def _settle_crashes(self, server: str, *, is_path_at_fault: bool) -> None:
        for crash in self._possible_crashes.pop(server, ()):
            if is_path_at_fault:
                crash.withdraw()
            else:
                crash.confirm()

    def _ask(self, backend: BackendEntry, now_s: float, *, may_ask_others: bool = True) -> None:
        """Asks a server by a connection of this host's own, unless it wants no requests.

        Args:
            backend: The server.
            now_s: Present time.
            may_ask_others: Whether another host may be asked if there is no answer.
        """
        may_ask = self._registry.notices.accepts_requests(backend.instance)
        if may_ask and backend.name not in self._questions:
            request = self._make_question(backend, now_s)
            self._questions[backend.name] = _Question(
                backend,
                request,
                self._connections,
                now_s,
                CONNECT_TIMEOUT_S,
                may_ask_others=may_ask_others,
            )

    def _ask_through_gateway(
        self, backend: BackendEntry, now_s: float, *, asked_before: int = 0
    ) -> None:
        """Asks a server by way of another host; without one, what was lost there is its fault."""
        name = backend.name
        if name in self._gateway_questions:
            return
        answered_s, was_answered = self._gateway_answers.get(name, (float("-inf"), False))
        if not asked_before and now_s - answered_s < GATEWAY_TEST_INTERVAL_S:
            self._settle_crashes(name, is_path_at_fault=was_answered)
            return
        transport = None
        may_ask = self._registry.notices.accepts_requests(backend.instance)
        if may_ask and asked_before < MAX_GATEWAY_QUESTIONS:
            transport = self.open_gateway(backend, now_s)
        if transport is None:
            self._on_gateways_asked(name, is_answered=False, now_s=now_s)
            return
        self._gateway_questions[name] = _Question(
            backend,
            self._make_question(backend, now_s),
            transport,
            now_s,
            GATEWAY_CONNECT_TIMEOUT_S,
            gateway=transport.gateway,
            asked_before=asked_before,
        )

    def _make_question(self, backend: BackendEntry, now_s: float) -> RawRequest:
        self._registry.notices.limits.on_request_sent(backend.instance, now_s)
        health_path = self._health_path(backend.pool)
        if health_path and backend.role is None:
            check_id = f"path-{self._rng.getrandbits(64):016x}-{next(self._check_numbers)}"
            return encode_health_request(backend.address, health_path, backend.name, check_id)
        return encode_report_request(backend.address, backend.name)

    def _test(self, backend: BackendEntry, now_s: float) -> None:
        """Tests a path by a connection, or by a question if it was lost in spite of connections."""
        if self.paths.requires_answer(backend.name):
            self._ask(backend, now_s)
        else:
            self._probe(backend, now_s)

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


@define(eq=False)
class _Question:
    """A request for a server's state; any answer shows that there is a path."""

    backend: BackendEntry
    _request: RawRequest
    _transport: Transport
    _started_s: float
    _connect_timeout_s: float
    # Name of the host through which the server is asked; empty for a connection of the own.
    gateway: str = ""
    # Other hosts through which the server was asked before, in vain.
    asked_before: int = 0
    # Whether another host may be asked if there is no answer.
    may_ask_others: bool = True
    # Whether there was no answer in time.
    is_overdue: bool = field(default=False, init=False)
    _is_answered: bool = field(default=False, init=False)
    _has_failed: bool = field(default=False, init=False)
    _connection: PersistentConnection = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Starts connecting."""
        self._connection = PersistentConnection(
            self.backend.address, _ignore_connection, _ignore_connection, self._transport
        )
        self._connection.on_answering = self._on_answering
        self._connection.start_request(self._request, self)

    def close(self) -> None:
        """Closes the connection."""
        self._connection.close()

    def result(self, now_s: float) -> _Result | None:
        """Returns how the question has ended, or None if it has not."""
        elapsed_s = now_s - self._started_s
        if self._is_answered:
            return _Result.ANSWERED
        if not self._connection.was_established:
            is_over = self._has_failed or elapsed_s > self._connect_timeout_s
            return _Result.NOT_CONNECTED if is_over else None
        if self._has_failed:
            return _Result.UNANSWERED
        is_over = elapsed_s > ANSWER_TIMEOUT_S
        return _Result.SILENT if is_over else None

    def _on_answering(self) -> None:
        self._is_answered = True

    def on_response_head(self, head: RawResponseHead) -> None:
        """Does nothing: the first byte was an answer."""

    def on_response_data(self, data: bytes) -> None:
        """Ignores the body."""

    def on_response_complete(self) -> None:
        """Does nothing: the result is taken at the next tick."""

    def on_response_failed(self, _error: TransportError) -> None:
        """Records that the connection has ended."""
        self._has_failed = True


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


def _ignore_connection(_connection: PersistentConnection) -> None:
    pass

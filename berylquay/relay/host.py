"""A relay host: puts the components together and runs it from start to graceful stop."""

import signal
import time
import uuid
from random import Random
from typing import Final

import logbook
from attrs import evolve, fields_dict
from circuits import BaseComponent, handler
from returns.result import Failure

from berylquay.decisions.backend_health import BackendHealth, HealthOptions
from berylquay.decisions.backend_registry import BackendRegistry, RegistryChange
from berylquay.decisions.crash_history import CrashHistory, CrashHistoryLimits
from berylquay.decisions.engine_backlog import EngineBacklog
from berylquay.decisions.engine_estimates import EngineEstimates
from berylquay.decisions.engine_placement import PlacementOptions, PredictivePlacementPolicy
from berylquay.decisions.fleet import Address, Role
from berylquay.decisions.load_sharing_scope import LoadSharingScope
from berylquay.decisions.prefix_cache_index import PrefixCacheIndex
from berylquay.decisions.route_table import RouteTable
from berylquay.decisions.shared_retry_budget import RetryBudgetOptions, SharedRetryBudget
from berylquay.decisions.shutdown_schedule import ShutdownPhase, ShutdownSchedule
from berylquay.decisions.topology import Location, Topology
from berylquay.messages import StopRequested, Tick
from berylquay.net.bus import BUS
from berylquay.net.connections import Connections
from berylquay.net.http_client import STATUS_OK
from berylquay.net.listener import Listener
from berylquay.net.loop import Loop
from berylquay.net.ticker import Ticker
from berylquay.platform.names import (
    READY_PATH,
    TOPIC_BACKENDS,
    TOPIC_CONFIGURATION,
)
from berylquay.platform.store import StoreLane
from berylquay.relay.backend_pool import BackendPool
from berylquay.relay.beliefs import BackendsBelief, ConfigurationBelief
from berylquay.relay.caller_connection import SERVICE_UNAVAILABLE
from berylquay.relay.desk import Desk, DeskOptions
from berylquay.relay.follower import FollowTimes, TopicFollower
from berylquay.relay.host_list import HostList
from berylquay.relay.load_reports import LoadReport, LoadReports
from berylquay.relay.log_lines import LogLines
from berylquay.relay.measures import RelayMeasures
from berylquay.relay.pages import Page, PageConnection
from berylquay.relay.role_orders import RoleOrders
from berylquay.relay.services import RelayServices
from berylquay.settings.relay_file import RelayOptions, SettingsFile, read_relay_file

MS_PER_S: Final = 1000.0
METRICS_PATH: Final = b"/metrics"
TEXT: Final = b"text/plain; charset=utf-8"
# Least time between reads of the configuration, which wait at the store until it changes.
CONFIGURATION_INTERVAL_S: Final = 0.05
# Part of the time within which a configuration must be in force that a read waits.
CONFIGURATION_WAIT_SHARE: Final = 0.2
# Backend servers renew their entries all the time: a read waits only for the next one.
BACKENDS_WAIT_S: Final = 0.8
# Part of the time within which a leaving backend server must be left alone, between reads.
BACKENDS_INTERVAL_SHARE: Final = 0.2
# Descriptors that are kept for files and for connections to backend servers.
RESERVED_SOCKETS: Final = 700
# Memory of contents under which servers were lost: some attempts of a caller.
LOSS_MEMORY_S: Final = 20.0
_log = logbook.Logger("host")


class RelayHost(BaseComponent):
    """The process: ticks its parts, hears signals, says whether it is ready."""

    channel = BUS

    _options: RelayOptions
    _loop: Loop
    _log_lines: LogLines
    # The settings file, and whether a signal said that it has changed.
    _settings: SettingsFile
    _reload_wanted: bool
    _desk: Desk
    _services: RelayServices
    _configuration: ConfigurationBelief
    _configuration_follower: TopicFollower
    _backends: BackendsBelief
    _backends_follower: TopicFollower
    _reports: LoadReports
    _role_orders: RoleOrders
    _hosts: HostList
    # Times of the stop that was asked for, or None.
    _stop: ShutdownSchedule | None

    def __init__(self, options: RelayOptions, settings_path: str, log_lines: LogLines) -> None:
        super().__init__()
        self._options = options
        self._settings = SettingsFile(settings_path)
        self._reload_wanted = False
        self._log_lines = log_lines
        self._loop = Loop()
        self._stop = None
        connections = Connections(self._loop).register(self._loop)
        rng = Random()
        self._services = self._make_services(connections, rng)
        self._configuration = ConfigurationBelief(self._on_configuration)
        self._backends = BackendsBelief(self._services.registry, self._on_backend)
        self._make_store_readers(connections, rng)
        self._make_reports()
        self._desk = Desk(
            connections,
            self._services,
            self._configuration,
            self._make_desk_options(),
            self._configuration_confirmed_s,
        )
        self._role_orders = self._make_role_orders(connections)
        self._listen(connections)
        Ticker().register(self._loop)
        self.register(self._loop)

    def run(self) -> None:
        """Runs until the process was told to stop and has ended its work."""
        signal.signal(signal.SIGHUP, self._on_hangup)
        options = self._options
        _log.info("start", host=options.host, callers=str(options.callers_address))
        self._loop.run()
        self._log_lines.flush()

    # Assembly.

    def _make_services(self, connections: Connections, rng: Random) -> RelayServices:
        options = self._options
        place = Location(options.data_centre, options.region)
        distances = Topology(place, options.regions)
        backlog, locations, speeds = EngineBacklog(), PrefixCacheIndex(), EngineEstimates()
        health = BackendHealth(HealthOptions())
        return RelayServices(
            registry=BackendRegistry(),
            health=health,
            retries=SharedRetryBudget(_retry_bounds(options)),
            backlog=backlog,
            locations=locations,
            speeds=speeds,
            placement=PredictivePlacementPolicy(
                PlacementOptions(), distances, backlog, locations, speeds, health
            ),
            distances=distances,
            scope=LoadSharingScope(distances),
            suspects=CrashHistory(CrashHistoryLimits(retention_s=LOSS_MEMORY_S)),
            connections=BackendPool(connections),
            measures=RelayMeasures(),
            rng=rng,
            on_new_work=self._tell_new_work,
        )

    def _tell_new_work(self, now_s: float) -> None:
        self._reports.on_new_work(now_s)

    def _make_store_readers(self, connections: Connections, rng: Random) -> None:
        address = self._options.store_address
        self._configuration_follower = TopicFollower(
            TOPIC_CONFIGURATION,
            self._configuration_times(),
            StoreLane(connections, address),
            self._configuration,
            rng,
            time.monotonic,
        )
        self._backends_follower = TopicFollower(
            TOPIC_BACKENDS,
            self._backends_times(),
            StoreLane(connections, address),
            self._backends,
            rng,
            time.monotonic,
        )
        self._hosts = HostList(
            StoreLane(connections, address), self._options, rng, self._on_known_host
        )

    def _configuration_times(self) -> FollowTimes:
        bound_s = self._options.bounds.configuration_apply_s
        # What is known counts from the sending of the last read that was answered, so two waits in
        # a row must stay within the time to apply a change: only then is it never taken for old
        # while the store answers, nor for new when the store has gone silent.
        wait_s = bound_s * CONFIGURATION_WAIT_SHARE
        return FollowTimes(wait_s, CONFIGURATION_INTERVAL_S, bound_s)

    def _backends_times(self) -> FollowTimes:
        bound_s = self._options.bounds.leaving_apply_s
        return FollowTimes(BACKENDS_WAIT_S, bound_s * BACKENDS_INTERVAL_SHARE, bound_s)

    def _make_reports(self) -> None:
        options = self._options
        self._reports = LoadReports(
            self._loop,
            host=options.host,
            data_centre=options.data_centre,
            address=options.peers_address,
            make_loads=self._services.backlog.own_loads,
            on_report=self._on_report,
            clock=time.monotonic,
            scope=self._services.scope,
            news=self._services.news,
        ).register(self._loop)

    def _make_role_orders(self, connections: Connections) -> RoleOrders:
        options = self._options
        return RoleOrders(
            self._services,
            StoreLane(connections, options.store_address),
            f"{options.host}-{uuid.uuid4().hex[:8]}",
            lease_s=options.bounds.lease_s,
            position=lambda: self._reports.position,
        )

    def _configuration_confirmed_s(self) -> float:
        return self._configuration_follower.confirmed_s

    def _make_desk_options(self) -> DeskOptions:
        options = self._options
        return DeskOptions(
            max_connections=max(64, options.max_sockets - RESERVED_SOCKETS),
            body_memory_bytes=options.body_memory_bytes,
            fresh_configuration_s=options.bounds.configuration_apply_s,
        )

    def _listen(self, connections: Connections) -> None:
        options = self._options
        ready_pages = {READY_PATH.encode(): self._ready_page}
        metrics_pages = {METRICS_PATH: self._metrics_page}
        Listener(
            self._loop, connections, options.callers_address, self._desk.make_connection
        ).register(self._loop)
        Listener(
            self._loop,
            connections,
            options.readiness_address,
            lambda: PageConnection(connections, ready_pages),
        ).register(self._loop)
        Listener(
            self._loop,
            connections,
            options.metrics_address,
            lambda: PageConnection(connections, metrics_pages),
        ).register(self._loop)

    # What others say.

    def _on_configuration(self, table: RouteTable) -> None:
        pools = {
            pool.name: pool.engine_properties
            for pool in table.pools.values()
            if pool.engine_properties
        }
        objectives = [
            route.objective_s
            for routes in table.by_host.values()
            for route in routes
            if any(share.pool in pools for share in route.weighted_pools)
        ]
        engines = next(iter(pools.values()), None)
        self._services.placement.on_pool(engines, min(objectives, default=0.0))

    def _on_backend(self, change: RegistryChange) -> None:
        services = self._services
        if change.after is None or change.restarted:
            services.connections.forget(change.name)
            services.health.forget(change.name)
            services.speeds.forget(change.name)
            services.locations.forget_engine(change.name)
        services.placement.on_prefill_engines(
            [entry for entry in services.registry.all() if entry.role is Role.PREFILL]
        )

    def _on_known_host(self, host: str, address: Address, data_centre: str) -> None:
        self._reports.add_peer(host, address, data_centre, time.monotonic())

    def _on_report(self, report: LoadReport) -> None:
        now_s = time.monotonic()
        self._services.backlog.on_peer_report(report.host, report.loads, now_s)
        for part_id, engine, ready_in_ms in report.parts:
            ready_s = now_s + ready_in_ms / MS_PER_S
            self._services.locations.on_segment_used(part_id, engine, now_s, ready_s)
        for backend in report.silent:
            self._services.health.on_reported_unresponsive(backend, now_s)
        for word in report.words:
            for follower in (self._configuration_follower, self._backends_follower):
                if follower.topic == word.topic:
                    follower.on_word(word, now_s)
        for fingerprint, backend in report.losses:
            self._services.suspects.on_crash(backend, frozenset({fingerprint}), now_s)

    # Time and signals.

    @handler("Tick")
    def _on_tick(self, message: Tick) -> None:
        now_s = message.now_s
        rank, told_hosts = self._reports.rank()
        for follower in (self._configuration_follower, self._backends_follower):
            follower.reading.poller_rank, follower.reading.host_count = rank, told_hosts
            follower.on_tick(now_s)
            read = follower.next_to_tell(now_s)
            if read is not None:
                self._services.news.reads.append(read)
        self._hosts.on_tick(now_s)
        self._reload(now_s)
        self._note_store(now_s)
        hosts = max(self._reports.live_hosts, self._hosts.count)
        self._reports.listed_hosts = self._hosts.count
        self._services.retries.on_host_count(hosts)
        self._services.live_hosts = hosts
        self._services.connections.on_tick(now_s)
        self._services.suspects.expire(now_s)
        self._desk.on_tick(now_s)
        self._reports.on_tick(now_s)
        self._order_roles(now_s)
        self._log_lines.on_tick(now_s)
        if self._stop is not None:
            self._go_on_stopping(self._stop, now_s)

    def _note_store(self, now_s: float) -> None:
        registry = self._services.registry
        if self._backends_follower.failures:
            registry.on_store_unreachable()
        elif self._backends_follower.complete:
            registry.on_store_answered(now_s)
        self._backends.expire(now_s)

    def _order_roles(self, now_s: float) -> None:
        table = self._configuration.table
        followed = self._backends_follower.complete and not self._backends_follower.failures
        if table is not None and followed and self._stop is None:
            self._role_orders.served = self._desk.has_served
            self._role_orders.on_tick(table, now_s)

    @handler("StopRequested")
    def _on_stop_requested(self, message: StopRequested) -> None:
        if self._stop is None:
            self._stop = ShutdownSchedule(message.now_s, self._options.bounds.grace_s)
            _log.info("stop", open_calls=self._desk.open_calls)
            self._desk.stop_keeping()
            self._hosts.remove()

    def _go_on_stopping(self, plan: ShutdownSchedule, now_s: float) -> None:
        quiet = not self._desk.open_calls and not self._desk.open_connections
        phase = plan.phase(quiet, now_s)
        if phase is ShutdownPhase.FINISHING:
            self._desk.close()
        elif phase is ShutdownPhase.ENDED:
            after_s = round(now_s - plan.signalled_s, 3)
            _log.info("stopped", open_calls=self._desk.open_calls, after_s=after_s)
            self._loop.stop()

    def _on_hangup(self, _signal: int, _frame: object) -> None:
        self._reload_wanted = True

    def _reload(self, now_s: float) -> None:
        """Takes the bounds of a settings file that has changed; the rest needs a new process."""
        wanted, self._reload_wanted = self._reload_wanted, False
        if not (wanted or self._settings.has_changed(now_s)):
            return
        read = read_relay_file(self._settings.path)
        if isinstance(read, Failure):
            faults = [str(fault) for fault in read.failure()]
            _log.error("reload refused, what was read before stays in force", faults=faults)
            return
        options = read.unwrap()
        changed = [
            name
            for name in fields_dict(RelayOptions)
            if getattr(options, name) != getattr(self._options, name)
        ]
        self._options = evolve(self._options, bounds=options.bounds)
        self._services.retries.on_options(_retry_bounds(options))
        _log.info("reload", signalled=wanted, changed=changed, applied=["bounds"])

    # Pages.

    def _ready_page(self) -> Page:
        obstacle = self._obstacle()
        return (SERVICE_UNAVAILABLE if obstacle else STATUS_OK), TEXT, f"{obstacle}\n".encode()

    def _obstacle(self) -> str:
        if self._stop is not None:
            return "stopping"
        if self._configuration.table is None:
            return "no configuration is known"
        if not self._backends_follower.complete:
            return "no backend server is known"
        return ""

    def _metrics_page(self) -> Page:
        table = self._configuration.table
        body = self._services.measures.render(
            self._desk.open_calls, 0 if table is None else table.version, self._log_lines.dropped
        )
        return STATUS_OK, TEXT, body


def _retry_bounds(options: RelayOptions) -> RetryBudgetOptions:
    bounds = options.bounds
    return RetryBudgetOptions(bounds.retry_ratio, bounds.retry_window_s, bounds.retry_extra)

"""A relay host: assembles the components and runs them from start to graceful shutdown."""

import signal
import time
import uuid
from random import Random
from typing import Final

import logbook
from attrs import evolve, fields_dict
from circuits import BaseComponent, handler
from returns.result import Failure

from berylquay.decisions.arrival_bounds import ArrivalBounds
from berylquay.decisions.backend_health import BackendHealth, HealthOptions
from berylquay.decisions.backend_registry import BackendEntry, BackendRegistry, RegistryChange
from berylquay.decisions.crash_history import CrashHistory, CrashHistoryLimits
from berylquay.decisions.engine_backlog import EngineBacklog
from berylquay.decisions.engine_estimates import EngineEstimates
from berylquay.decisions.engine_placement import PlacementOptions, PredictivePlacementPolicy
from berylquay.decisions.fleet import Address, Role
from berylquay.decisions.load_sharing_scope import LoadSharingScope
from berylquay.decisions.load_spreading import LoadSpreading
from berylquay.decisions.pool_version_history import PoolVersionHistory
from berylquay.decisions.prefix_cache_index import PrefixCacheIndex
from berylquay.decisions.route_table import RouteTable
from berylquay.decisions.segment_crash_history import SegmentCrashHistory, SegmentCrashLimits
from berylquay.decisions.server_notices import ServerNotice
from berylquay.decisions.server_starts import ServerStarts
from berylquay.decisions.shared_retry_budget import RetryBudgetOptions, SharedRetryBudget
from berylquay.decisions.shutdown_schedule import ShutdownPhase, ShutdownSchedule
from berylquay.decisions.store_era import StoreEra
from berylquay.decisions.topology import Location, Topology
from berylquay.net.clocks import boot_clock_s
from berylquay.net.event_loop import EventLoop
from berylquay.net.http_client import STATUS_OK
from berylquay.net.message_bus import BUS
from berylquay.net.persistent_http import PersistentConnection
from berylquay.net.process_messages import StopRequested, Tick
from berylquay.net.tcp_connections import TcpConnections
from berylquay.net.tcp_listener import TcpListener
from berylquay.net.ticker import Ticker
from berylquay.net.unexpected_errors import UnexpectedErrors
from berylquay.platform.store_client import StoreClient
from berylquay.platform.wire_names import (
    READY_PATH,
    TOPIC_BACKENDS,
    TOPIC_CONFIGURATION,
)
from berylquay.relay.caller_connection import SERVICE_UNAVAILABLE
from berylquay.relay.connection_pool import BackendConnectionPool
from berylquay.relay.crash_reports import CRASH_REPORT_TAG
from berylquay.relay.demand_reports import DEMAND_TAG, DemandReports
from berylquay.relay.follower import FollowTimings, TopicFollower
from berylquay.relay.gateway_server import GatewayServer
from berylquay.relay.host_duties import HostDuties
from berylquay.relay.host_list import HostList
from berylquay.relay.instance_probes import InstanceProbes
from berylquay.relay.log_handler import StdoutLogHandler
from berylquay.relay.metrics import RelayMetrics
from berylquay.relay.pages import Page, PageConnection
from berylquay.relay.path_monitor import PathMonitor
from berylquay.relay.peer_exchange import PeerExchange
from berylquay.relay.pool_version_store import PoolVersionStore
from berylquay.relay.prefill_requests import cancel_overdue_releases
from berylquay.relay.quarantine_store import QuarantineStore
from berylquay.relay.request_handler import RequestHandler, RequestHandlerOptions
from berylquay.relay.role_controller import RoleController
from berylquay.relay.segment_crash_handler import SegmentCrashHandler
from berylquay.relay.server_notice_handler import LEAVING_TAG, LIMIT_TAG, ServerNoticeHandler
from berylquay.relay.services import RelayServices
from berylquay.relay.store_views import BackendsView, ConfigurationView
from berylquay.relay.stream_version_exchange import (
    STREAM_QUERY_TAG,
    STREAM_VERSION_TAG,
    StreamVersionExchange,
)
from berylquay.relay.stream_version_store import StreamVersionStore
from berylquay.relay.tenant_use_exchange import TENANT_USE_TAG, TenantUseExchange
from berylquay.relay.usage_messages import USAGE_TAG
from berylquay.relay.version_datagrams import (
    VERSION_RECORD_TAG,
    PoolRecordNotice,
    decode_version_datagram,
)
from berylquay.settings.relay_settings import RelayOptions, SettingsFileWatcher, read_relay_settings

MS_PER_S: Final = 1000.0
METRICS_PATH: Final = b"/metrics"
TEXT_PLAIN: Final = b"text/plain; charset=utf-8"
# Minimum time between reads of the configuration, which wait at the store until it changes.
CONFIGURATION_INTERVAL_S: Final = 0.05
# Long-poll wait of a configuration read, as a fraction of the time within which a new configuration
# must be in force.
CONFIGURATION_LONG_POLL_FRACTION: Final = 0.2
# Long-poll wait for backend entries. Backend servers renew their entries all the time, so a read
# waits only for the next renewal.
BACKENDS_LONG_POLL_WAIT_S: Final = 0.8
# Interval between reads of the backend entries, as a fraction of the time after which a leaving
# backend server must get no more requests.
BACKENDS_INTERVAL_FRACTION: Final = 0.2
# File descriptors reserved for files and for connections to backend servers.
RESERVED_SOCKETS: Final = 700
# Time for which request contents in flight when an attempt was lost are remembered, whether or not
# its server has ended: long enough for several attempts of a caller.
CRASH_RETENTION_S: Final = 20.0
# Age of what this host knows of work that another one has placed: the interval between reports, and
# the time until they are read, at a tick or before a placement.
LOAD_REPORT_AGE_S: Final = 0.05
# Time after which the kernel closes the connection of a caller that takes no data. The default of
# 2.5 s also closes connections of callers that are there but read nothing for a while.
CALLER_USER_TIMEOUT_MS: Final = 15_000
_log = logbook.Logger("host")


class RelayHost(BaseComponent):
    """The process: ticks its components, handles signals, and reports whether it is ready."""

    channel = BUS

    _options: RelayOptions
    _loop: EventLoop
    _log_handler: StdoutLogHandler
    # The settings file, and whether SIGHUP has requested a reload.
    _settings_file: SettingsFileWatcher
    _reload_requested: bool
    _request_handler: RequestHandler
    _services: RelayServices
    # Records errors that were not expected; the process goes on.
    _errors: UnexpectedErrors
    _configuration_view: ConfigurationView
    _configuration_follower: TopicFollower
    _backends_view: BackendsView
    _backends_follower: TopicFollower
    _server_notice_handler: ServerNoticeHandler
    _peer_exchange: PeerExchange
    _role_controller: RoleController
    # Demand of all hosts, which some of them collect.
    _demand_reports: DemandReports
    # Reports of usage and orders of servers, where the platform expects them.
    _duties: HostDuties
    _host_list: HostList
    _quarantine_store: QuarantineStore
    # Lends other hosts this one's paths to the backend servers.
    _gateway_server: GatewayServer
    # Era of the store, as its answers state it.
    _store_era: StoreEra
    # Whether an entry has changed since the placement was told the prefill engines.
    _prefill_engines_changed: bool
    _callers_listener: TcpListener
    # Schedule of the requested shutdown, or None.
    _shutdown_schedule: ShutdownSchedule | None

    def __init__(
        self, options: RelayOptions, settings_path: str, log_handler: StdoutLogHandler
    ) -> None:
        super().__init__()
        self._options = options
        self._settings_file = SettingsFileWatcher(settings_path)
        self._reload_requested = False
        self._log_handler = log_handler
        self._loop = EventLoop()
        self._shutdown_schedule = None
        self._prefill_engines_changed = False
        self._errors = UnexpectedErrors()
        connections = TcpConnections(self._loop, self._errors).register(self._loop)
        rng = Random()
        self._store_era = StoreEra()
        self._services = self._make_services(connections, rng)
        self._errors.on_error = self._services.metrics.on_unexpected_error
        self._server_notice_handler = ServerNoticeHandler(
            self._services.registry,
            self._services.metrics,
            rng,
            self._send_to_all_hosts,
        )
        self._configuration_view = ConfigurationView(self._on_configuration, self._store_era)
        self._backends_view = BackendsView(self._services.registry, self._on_backend)
        self._make_topic_followers(connections, rng)
        self._demand_reports = DemandReports(
            options.host,
            options.data_centre,
            options.peers_address,
            self._services.demand,
            get_hosts=self._fleet_addresses,
            send=self._send_to_host,
        )
        self._peer_exchange = PeerExchange(
            self._services,
            options,
            (self._configuration_follower, self._backends_follower),
            self._configuration_view,
            notice_handlers={
                LEAVING_TAG: self._server_notice_handler.on_leaving_datagram,
                LIMIT_TAG: self._server_notice_handler.on_limit_datagram,
                CRASH_REPORT_TAG: self._services.segment_crashes.on_datagram,
                STREAM_VERSION_TAG: self._services.stream_versions.on_version_datagram,
                STREAM_QUERY_TAG: self._services.stream_versions.on_query_datagram,
                VERSION_RECORD_TAG: self._on_version_datagram,
                USAGE_TAG: self._on_usage_datagram,
                DEMAND_TAG: self._demand_reports.on_datagram,
                TENANT_USE_TAG: self._services.tenant_use.on_datagram,
            },
        )
        self._request_handler = RequestHandler(
            connections,
            self._services,
            self._configuration_view,
            self._make_request_handler_options(),
            self._configuration_confirmed_s,
        )
        self._role_controller = self._make_role_controller(connections)
        self._duties = HostDuties(
            options,
            self._services,
            connections,
            self._store_era,
            peer_exchange=self._peer_exchange,
            demand_reports=self._demand_reports,
            rng=rng,
        )
        self._quarantine_store = self._make_quarantine_store(connections, rng)
        self._store_era.add_listener(self._on_store_era)
        self._gateway_server = GatewayServer(
            connections, self._services.registry, self._services.path_monitor, rng
        )
        self._listen(connections)
        Ticker().register(self._loop)
        self.register(self._loop)

    def run(self) -> None:
        """Runs until the process was asked to stop and its shutdown schedule has ended."""
        signal.signal(signal.SIGHUP, self._on_hangup)
        options = self._options
        _log.info("start", host=options.host, callers=str(options.callers_address))
        self._loop.run()
        self._log_handler.flush()

    # Assembly.

    def _make_services(self, connections: TcpConnections, rng: Random) -> RelayServices:
        options = self._options
        location = Location(options.data_centre, options.region)
        topology = Topology(location, options.regions)
        backlog, prefix_cache_index, estimates = (
            EngineBacklog(),
            PrefixCacheIndex(),
            EngineEstimates(),
        )
        health = BackendHealth(HealthOptions())
        metrics = RelayMetrics()
        registry = BackendRegistry()
        pool_versions = PoolVersionHistory(is_first_start=options.is_first_start)
        server_starts = ServerStarts()
        path_monitor = PathMonitor(
            connections,
            registry,
            health,
            topology=topology,
            metrics=metrics,
            rng=rng,
            get_hosts=self._fleet_places,
            health_path=self._health_path,
        )
        crash_history = CrashHistory(CrashHistoryLimits(retention_s=CRASH_RETENTION_S))
        return RelayServices(
            registry=registry,
            health=health,
            retry_budget=SharedRetryBudget(
                _retry_budget_options(options),
                known_since_s=float("-inf") if options.is_first_start else time.monotonic(),
            ),
            backlog=backlog,
            prefix_cache_index=prefix_cache_index,
            estimates=estimates,
            placement=PredictivePlacementPolicy(
                PlacementOptions(),
                topology,
                backlog,
                prefix_cache_index,
                estimates,
                health,
                LoadSpreading(rng, LOAD_REPORT_AGE_S) if options.spread_load else None,
            ),
            topology=topology,
            load_sharing_scope=LoadSharingScope(topology),
            crash_history=crash_history,
            segment_crashes=SegmentCrashHandler(
                SegmentCrashHistory(SegmentCrashLimits()),
                crash_history,
                metrics,
                send_to_all=self._send_to_all_hosts,
                send_to_group=self._send_to_group,
                save=self._save_quarantine,
                get_group_size=lambda: self._peer_exchange.group_size,
            ),
            stream_versions=StreamVersionExchange(
                host=options.host,
                address=options.peers_address,
                get_hosts=self._group_addresses,
                send=self._send_to_host,
                find_stored=self._find_stored_stream,
                on_unknown=self._on_unknown_stream,
            ),
            pool_versions=pool_versions,
            pool_version_store=PoolVersionStore(
                history=pool_versions,
                registry=registry,
                store_client=StoreClient(connections, options.store_address, self._store_era),
                metrics=metrics,
                rng=rng,
                unix_ms=lambda: round(time.time() * MS_PER_S),
                boot_clock=boot_clock_s,
                is_first_of_group=self._is_first_of_group,
                send_to_group=self._send_to_group,
                on_read=self._on_pool_versions_read,
            ),
            stream_version_store=StreamVersionStore(
                history=pool_versions,
                append_client=StoreClient(connections, options.store_address, self._store_era),
                read_client=StoreClient(connections, options.store_address, self._store_era),
                metrics=metrics,
                rng=rng,
                first_host=self._first_host_address,
                first_host_start=self._first_host_start,
                get_group_size=lambda: self._peer_exchange.group_size,
                send=self._send_to_host,
                ask=self._ask_for_stream,
                reply=self._reply_with_stream,
            ),
            tenant_use=TenantUseExchange(
                host=options.host,
                get_group_size=lambda: self._peer_exchange.group_size,
                send_to_group=self._send_to_group,
            ),
            connection_pool=BackendConnectionPool(connections, path_monitor, server_starts),
            server_starts=server_starts,
            instance_probes=InstanceProbes(
                registry,
                server_starts,
                connect=self._connect_to_server,
                health_path=self._health_path,
                on_notice=self._on_server_notice,
                clock=time.monotonic,
            ),
            path_monitor=path_monitor,
            metrics=metrics,
            rng=rng,
            on_work_placed=self._notify_work_placed,
            on_server_notice=self._on_server_notice,
            receive_reports=self._receive_reports,
            errors=self._errors,
        )

    def _connect_to_server(self, backend: BackendEntry, now_s: float) -> PersistentConnection:
        return self._services.acquire_connection(backend, True, now_s)

    def _health_path(self, pool: str) -> str:
        table = self._configuration_view.table
        known = None if table is None else table.pools.get(pool)
        return "" if known is None else known.health_path

    def _is_first_of_group(self, now_s: float) -> bool:
        return self._peer_exchange.is_first_of_group(now_s)

    def _first_host_address(self, now_s: float) -> Address | None:
        return self._peer_exchange.first_host_address(now_s)

    def _first_host_start(self, now_s: float) -> tuple[str, str]:
        return self._peer_exchange.first_host_start(now_s)

    def _find_stored_stream(self, call_id: str) -> str | None:
        return self._services.stream_version_store.ledger.find(call_id)

    def _on_unknown_stream(self, call_id: str, reply_to: Address, now_s: float) -> None:
        self._services.stream_version_store.on_unknown_query(call_id, reply_to, now_s)

    def _ask_for_stream(self, call_id: str, address: Address) -> None:
        self._services.stream_versions.ask_host(call_id, address)

    def _reply_with_stream(self, call_id: str, reply_to: Address) -> None:
        self._services.stream_versions.reply(call_id, reply_to)

    def _on_pool_versions_read(self, now_s: float) -> None:
        """Reads streams in advance if callers may continue them at one of several versions."""
        services = self._services
        if any(
            services.pool_versions.has_several(pool, now_s)
            for pool in services.pool_version_store.pools
        ):
            services.stream_version_store.request_read(now_s)

    def _on_version_datagram(self, data: bytes, arrival: ArrivalBounds) -> None:
        notice = decode_version_datagram(data)
        if notice is None:
            _log.warning("unreadable versions", size_bytes=len(data))
        elif isinstance(notice, PoolRecordNotice):
            self._services.pool_version_store.on_notice(notice, arrival)
        else:
            self._services.stream_version_store.on_notice(notice, arrival.latest_s)

    def _notify_work_placed(self, now_s: float) -> None:
        self._peer_exchange.on_work_placed(now_s)

    def _on_server_notice(self, backend: BackendEntry, notice: ServerNotice, sent_s: float) -> None:
        self._server_notice_handler.on_notice(backend, notice, sent_s)

    def _send_to_all_hosts(self, data: bytes) -> None:
        self._peer_exchange.send_to_all(data)

    def _save_quarantine(self, segment: str, is_quarantined: bool) -> None:
        self._quarantine_store.save(segment, is_quarantined=is_quarantined)

    def _send_to_group(self, data: bytes) -> None:
        self._peer_exchange.send_to_group(data)

    def _group_addresses(self) -> dict[str, Address]:
        return self._peer_exchange.group_addresses()

    def _fleet_places(self) -> dict[str, tuple[Address, str]]:
        return self._peer_exchange.fleet_places()

    def _fleet_addresses(self) -> dict[str, Address]:
        return self._peer_exchange.fleet_addresses()

    def _send_to_host(self, data: bytes, address: Address) -> None:
        self._peer_exchange.send(data, address)

    def _receive_reports(self, now_s: float) -> None:
        self._peer_exchange.receive(now_s)

    def _make_topic_followers(self, connections: TcpConnections, rng: Random) -> None:
        address = self._options.store_address
        self._configuration_follower = TopicFollower(
            TOPIC_CONFIGURATION,
            self._configuration_timings(),
            StoreClient(connections, address, self._store_era),
            self._configuration_view,
            rng,
            time.monotonic,
            boot_clock_s,
            self._store_era,
        )
        self._backends_follower = TopicFollower(
            TOPIC_BACKENDS,
            self._backends_timings(),
            StoreClient(connections, address, self._store_era),
            self._backends_view,
            rng,
            time.monotonic,
            boot_clock_s,
            self._store_era,
        )
        self._host_list = HostList(
            StoreClient(connections, address, self._store_era),
            self._options,
            rng,
            self._on_host_listed,
            lambda: self._peer_exchange.is_first_of_group(time.monotonic()),
        )

    def _make_quarantine_store(self, connections: TcpConnections, rng: Random) -> QuarantineStore:
        return QuarantineStore(
            StoreClient(connections, self._options.store_address, self._store_era),
            rng,
            self._services.segment_crashes.on_stored_quarantines,
            self._peer_exchange.is_first_of_group,
        )

    def _configuration_timings(self) -> FollowTimings:
        max_staleness_s = self._options.bounds.configuration_apply_s
        # The configuration is confirmed as of the sending of the last read that was answered, so
        # two consecutive long polls must fit into the time to apply a change: only then is it never
        # treated as outdated while the store answers, nor as current once the store has stopped
        # answering.
        long_poll_wait_s = max_staleness_s * CONFIGURATION_LONG_POLL_FRACTION
        return FollowTimings(long_poll_wait_s, CONFIGURATION_INTERVAL_S, max_staleness_s)

    def _backends_timings(self) -> FollowTimings:
        max_staleness_s = self._options.bounds.leaving_apply_s
        return FollowTimings(
            BACKENDS_LONG_POLL_WAIT_S, max_staleness_s * BACKENDS_INTERVAL_FRACTION, max_staleness_s
        )

    def _make_role_controller(self, connections: TcpConnections) -> RoleController:
        options = self._options
        return RoleController(
            self._services,
            StoreClient(connections, options.store_address, self._store_era),
            f"{options.host}-{uuid.uuid4().hex[:8]}",
            lease_s=options.bounds.lease_s,
            host_rank=lambda: self._peer_exchange.host_rank,
        )

    def _on_usage_datagram(self, data: bytes, arrival: ArrivalBounds) -> None:
        self._duties.on_usage_datagram(data, arrival)

    def _configuration_confirmed_s(self) -> float:
        return self._configuration_follower.confirmed_s

    def _make_request_handler_options(self) -> RequestHandlerOptions:
        options = self._options
        return RequestHandlerOptions(
            max_connections=max(64, options.max_sockets - RESERVED_SOCKETS),
            body_memory_bytes=options.body_memory_bytes,
            max_configuration_age_s=options.bounds.configuration_apply_s,
        )

    def _listen(self, connections: TcpConnections) -> None:
        options = self._options
        ready_pages = {READY_PATH.encode(): self._ready_page}
        metrics_pages = {METRICS_PATH: self._metrics_page}
        self._callers_listener = TcpListener(
            self._loop,
            connections,
            options.callers_address,
            self._request_handler.make_connection,
            CALLER_USER_TIMEOUT_MS,
        ).register(self._loop)
        TcpListener(
            self._loop, connections, options.peers_address, self._gateway_server.make_tunnel
        ).register(self._loop)
        TcpListener(
            self._loop,
            connections,
            options.readiness_address,
            lambda: PageConnection(connections, ready_pages),
        ).register(self._loop)
        TcpListener(
            self._loop,
            connections,
            options.metrics_address,
            lambda: PageConnection(connections, metrics_pages),
        ).register(self._loop)

    # Updates from the store and from other hosts.

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
        self._services.pool_version_store.pools = frozenset(
            share.pool
            for routes in table.by_host.values()
            for route in routes
            if route.streaming and route.resumable
            for share in route.weighted_pools
        )
        engine_properties = next(iter(pools.values()), None)
        self._services.placement.on_pool(engine_properties, min(objectives, default=0.0))
        self._services.metrics.tenants.on_configuration(table.tenant_keys)

    def _on_backend(self, change: RegistryChange) -> None:
        services, now_s = self._services, time.monotonic()
        if change.after is None or change.restarted or change.is_back:
            services.connection_pool.close_idle(change.name)
            if change.after is None:
                services.health.forget(change.name)
            else:
                services.health.on_restarted(change.name, now_s)
            services.estimates.forget_engine(change.name)
            services.prefix_cache_index.forget_engine(change.name)
        if change.is_back:
            services.segment_crashes.on_server_back(change.name, now_s)
        elif change.after is None or change.restarted:
            services.segment_crashes.on_entry_ended(
                change.name, restarted=change.restarted, now_s=now_s
            )
        services.health.on_entry_changed(change.name)
        if change.after is None:
            services.server_starts.forget(change.name)
        elif change.after.started_unix_ms:
            services.server_starts.on_listed(
                change.name, change.after.started_unix_ms, time.monotonic()
            )
        if change.before is not None:
            services.pool_versions.on_entry_replaced(change.before, now_s)
        services.pool_version_store.on_entries_changed()
        self._prefill_engines_changed = True

    def _update_prefill_engines(self) -> None:
        """Passes on the prefill engines once a tick, however many of them have changed."""
        if self._prefill_engines_changed:
            self._prefill_engines_changed = False
            entries = self._services.registry.all_entries()
            self._services.placement.on_prefill_engines(
                [entry for entry in entries if entry.role is Role.PREFILL]
            )

    def _on_store_era(self, before: int | None, era: int) -> None:
        """Drops what is of a former era when the store has come back from an older copy."""
        now_s = time.monotonic()
        self._services.metrics.on_store_era(era, has_risen=before is not None)
        self._role_controller.on_store_era(era)
        self._services.pool_versions.on_store_era(era)
        self._duties.on_store_era(era, has_risen=before is not None)
        if before is None:
            return
        followers = (self._configuration_follower, self._backends_follower)
        _log.warning(
            "store came back older",
            era=era,
            before=before,
            last_read={follower.topic: follower.next_offset for follower in followers},
        )
        self._services.registry.on_store_restored(now_s)
        for follower in followers:
            follower.on_new_era(now_s)
        self._host_list.on_new_era(now_s)
        self._services.pool_version_store.on_new_era()
        self._services.stream_version_store.on_new_era(now_s)
        self._quarantine_store.on_new_era(
            self._services.segment_crashes.quarantined_segments(now_s), now_s
        )

    def _on_host_listed(self, host: str, address: Address, data_centre: str) -> None:
        self._peer_exchange.add_host(host, address, data_centre, time.monotonic())

    # Ticks and signals.

    @handler("Tick")
    def _on_tick(self, message: Tick) -> None:
        # The host may have stood still since the tick was posted.
        now_s = max(message.now_s, time.monotonic())
        # An error in one step must not keep the others from running, tick after tick.
        run, services = self._errors.run, self._services
        run("peers", self._peer_exchange.receive, now_s)
        run("topics", self._peer_exchange.follow_topics, now_s)
        run("host-list", self._host_list.on_tick, now_s)
        run("settings", self._reload_if_changed, now_s)
        run("store", self._update_store_state, now_s)
        run("host-count", self._update_host_count, now_s)
        run("prefill-engines", self._update_prefill_engines)
        run("connections", services.connection_pool.on_tick, now_s)
        run("instance-probes", services.instance_probes.on_tick, now_s)
        run("paths", services.path_monitor.on_tick, self._request_handler.open_calls > 0, now_s)
        run("gateway", self._gateway_server.on_tick, now_s)
        run("releases", cancel_overdue_releases, services, now_s)
        run("notices", self._server_notice_handler.on_tick, now_s)
        run("crashes", services.crash_history.expire, now_s)
        run("segment-crashes", services.segment_crashes.on_tick, now_s)
        run("quarantines", self._quarantine_store.on_tick, now_s)
        run("requests", self._request_handler.on_tick, now_s)
        run("stream-versions", services.stream_versions.on_tick, now_s)
        run("tenants", self._exchange_tenant_use, now_s)
        run("pool-versions", services.pool_version_store.on_tick, now_s)
        run("stream-version-store", services.stream_version_store.on_tick, now_s)
        run("peers", self._peer_exchange.on_tick, now_s)
        run("roles", self._check_roles, now_s)
        run("usage", self._duties.report_usage, now_s)
        run("scaling", self._order_servers, now_s)
        run("log", self._log_handler.on_tick, now_s)
        if self._shutdown_schedule is not None:
            self._advance_shutdown(self._shutdown_schedule, now_s)

    def _update_host_count(self, now_s: float) -> None:
        host_count = self._peer_exchange.update_host_count(self._host_list.listed_host_count)
        # Only a fleet that starts for the first time is as small as the host sees it.
        is_known = self._host_list.is_count_known or self._options.is_first_start
        self._services.retry_budget.on_host_count(host_count if is_known else None, now_s)
        self._services.live_host_count = host_count
        self._services.registry.notices.limits.host_count = host_count
        self._services.placement.on_group_size(self._peer_exchange.group_size)

    def _exchange_tenant_use(self, now_s: float) -> None:
        self._services.tenant_use.on_tick(now_s, has_tenants=self._has_tenants())

    def _has_tenants(self) -> bool:
        table = self._configuration_view.table
        return table is not None and table.tenant_keys is not None

    def _update_store_state(self, now_s: float) -> None:
        registry = self._services.registry
        if self._backends_follower.consecutive_failures:
            registry.on_store_unreachable()
        elif self._backends_follower.has_snapshot:
            registry.on_store_answered(now_s)
        self._backends_view.expire(now_s)
        pool_versions = self._services.pool_versions
        pool_versions.on_clocks(time.monotonic(), boot_clock_s())
        follower = self._backends_follower
        pool_versions.on_list_confirmed(follower.confirmed_s, now_s, follower.confirmed_by)

    def _is_registry_current(self) -> bool:
        follower = self._backends_follower
        return follower.has_snapshot and not follower.consecutive_failures

    def _check_roles(self, now_s: float) -> None:
        table = self._configuration_view.table
        may_order = (
            self._is_registry_current() and not self._services.path_monitor.lost_engine_pools
        )
        if table is not None and may_order and self._shutdown_schedule is None:
            self._role_controller.has_served = self._request_handler.has_served
            self._role_controller.on_tick(table, now_s)

    def _order_servers(self, now_s: float) -> None:
        table = self._configuration_view.table
        if table is not None:
            self._duties.order_servers(
                table,
                now_s,
                is_list_current=self._is_registry_current(),
                is_stopping=self._shutdown_schedule is not None,
            )

    @handler("exception", channel="*")
    def _on_exception(
        self, _error_type: type, error: BaseException, _traceback: list[str], **_context: object
    ) -> None:
        """Records an error that circuits has caught in a handler, in place of its own output."""
        self._errors.record("event", error)

    @handler("StopRequested")
    def _on_stop_requested(self, message: StopRequested) -> None:
        if self._shutdown_schedule is None:
            self._shutdown_schedule = ShutdownSchedule(message.now_s, self._options.bounds.grace_s)
            _log.info("stop", open_calls=self._request_handler.open_calls)
            self._request_handler.stop_keep_alive()
            self._gateway_server.is_stopping = True
            self._host_list.remove_entry()

    def _advance_shutdown(self, schedule: ShutdownSchedule, now_s: float) -> None:
        is_idle = (
            not self._request_handler.open_calls
            and not self._request_handler.open_connections
            and not self._gateway_server.open_tunnels
        )
        phase = schedule.phase(is_idle, now_s)
        if phase is ShutdownPhase.FINISHING:
            self._request_handler.refuse_new_requests()
        elif phase is ShutdownPhase.ENDED and self._callers_listener.is_accepting:
            # Connections that were not accepted yet are served before the process ends.
            self._callers_listener.accept_rest_and_close()
        elif phase is ShutdownPhase.ENDED and self._request_handler.open_calls:
            _log.info("calls ended by the stop", open_calls=self._request_handler.open_calls)
            # The responses are sent before the next tick.
            self._request_handler.refuse_open_requests(now_s)
        elif phase is ShutdownPhase.ENDED:
            after_s = round(now_s - schedule.requested_s, 3)
            _log.info("stopped", open_calls=0, after_s=after_s)
            self._duties.send_last_counts()
            self._loop.stop()

    def _on_hangup(self, _signal: int, _frame: object) -> None:
        self._reload_requested = True

    def _reload_if_changed(self, now_s: float) -> None:
        """Applies the `bounds` of a changed settings file; all other settings need a restart."""
        signalled, self._reload_requested = self._reload_requested, False
        if not (signalled or self._settings_file.has_changed(now_s)):
            return
        result = read_relay_settings(self._settings_file.path)
        if isinstance(result, Failure):
            faults = [str(fault) for fault in result.failure()]
            _log.error("reload refused, what was read before stays in force", faults=faults)
            return
        options = result.unwrap()
        changed = [
            name
            for name in fields_dict(RelayOptions)
            if getattr(options, name) != getattr(self._options, name)
        ]
        self._options = evolve(self._options, bounds=options.bounds)
        self._services.retry_budget.on_options(_retry_budget_options(options))
        _log.info("reload", signalled=signalled, changed=changed, applied=["bounds"])

    # HTTP pages.

    def _ready_page(self) -> Page:
        reason = self._not_ready_reason()
        return (SERVICE_UNAVAILABLE if reason else STATUS_OK), TEXT_PLAIN, f"{reason}\n".encode()

    def _not_ready_reason(self) -> str:
        if self._shutdown_schedule is not None:
            return "stopping"
        if self._configuration_view.table is None:
            return "no configuration is known"
        if self._configuration_view.is_outdated(time.monotonic()):
            return "other hosts have a newer configuration"
        if not self._backends_follower.has_snapshot:
            return "no backend server is known"
        return ""

    def _metrics_page(self) -> Page:
        table = self._configuration_view.table
        notices = self._services.registry.notices
        self._services.metrics.on_server_notices(notices.paused_count, notices.leaving_count)
        body = self._services.metrics.render(
            self._request_handler.open_calls,
            0 if table is None else table.version,
            self._log_handler.dropped_lines,
        )
        return STATUS_OK, TEXT_PLAIN, body


def _retry_budget_options(options: RelayOptions) -> RetryBudgetOptions:
    bounds = options.bounds
    return RetryBudgetOptions(bounds.retry_ratio, bounds.retry_window_s, bounds.retry_extra)

"""Duties of a host towards the platform: reports of usage, and orders of servers."""

import uuid
from random import Random
from typing import Final

from berylquay.decisions.arrival_bounds import ArrivalBounds
from berylquay.decisions.order_claims import ClaimTimes
from berylquay.decisions.route_table import RouteTable
from berylquay.decisions.store_era import StoreEra
from berylquay.net.tcp_connections import TcpConnections
from berylquay.platform.duty_client import DutyClient
from berylquay.platform.store_client import StoreClient
from berylquay.platform.wire_names import TOPIC_SCALING
from berylquay.relay.claimant import Claimant, ClaimListener
from berylquay.relay.demand_reports import DemandReports
from berylquay.relay.peer_exchange import PeerExchange
from berylquay.relay.role_controller import CLAIM_DURATION_S, ORDER_DELAY_S
from berylquay.relay.scaling_controller import ScalingController, Surroundings
from berylquay.relay.services import RelayServices
from berylquay.relay.usage_reporter import UsageReporter, make_usage_reporter
from berylquay.settings.relay_settings import RelayOptions

# Duties that share the platform's rate of calls.
DUTY_COUNT: Final = 2


class HostDuties:
    """Carries out the duties that the settings name; none without an API for them."""

    _options: RelayOptions
    _services: RelayServices
    _connections: TcpConnections
    _store_era: StoreEra
    _demand_reports: DemandReports
    # Clients of the platform's API, one a duty: a slow call of one must not delay the others.
    _clients: list[DutyClient]
    _usage_reporter: UsageReporter | None
    _scaling_controller: ScalingController | None

    def __init__(
        self,
        options: RelayOptions,
        services: RelayServices,
        connections: TcpConnections,
        store_era: StoreEra,
        *,
        peer_exchange: PeerExchange,
        demand_reports: DemandReports,
        rng: Random,
    ) -> None:
        self._options = options
        self._services = services
        self._connections = connections
        self._store_era = store_era
        self._demand_reports = demand_reports
        self._clients = []
        self._scaling_controller = self._make_scaling_controller()
        self._usage_reporter = self._make_usage_reporter(peer_exchange, rng)
        if self._usage_reporter is not None:
            services.on_request_began = self._usage_reporter.on_request_began

    def on_usage_datagram(self, data: bytes, arrival: ArrivalBounds) -> None:
        """Takes counts of another host, or its answer."""
        if self._usage_reporter is not None:
            self._usage_reporter.on_datagram(data, arrival)

    def on_store_era(self, era: int, *, has_risen: bool) -> None:
        """Gives up claims of a former era of the store."""
        if self._usage_reporter is not None:
            self._usage_reporter.on_store_era(era)
        if self._scaling_controller is not None:
            self._scaling_controller.on_store_era(era, has_risen=has_risen)

    def report_usage(self, now_s: float) -> None:
        """Takes the next step of the calls in flight and of the reports of usage."""
        for client in self._clients:
            client.on_tick(now_s)
        if self._usage_reporter is not None:
            self._usage_reporter.on_tick(now_s)

    def order_servers(
        self, table: RouteTable, now_s: float, *, is_list_current: bool, is_stopping: bool
    ) -> None:
        """Reports demand, and orders servers if this host holds that duty.

        Args:
            table: The configuration in force.
            now_s: Present monotonic time.
            is_list_current: Whether the list of servers is current.
            is_stopping: Whether this host is asked to stop.
        """
        controller = self._scaling_controller
        if controller is None:
            return
        pools = [pool.name for pool in table.pools.values() if pool.scaling is not None]
        self._services.demand.enabled = bool(pools)
        if not pools:
            return
        self._demand_reports.on_tick(pools, now_s)
        surroundings = Surroundings(
            is_list_current=is_list_current,
            is_cut_off=self._services.path_monitor.is_cut_off,
            is_stopping=is_stopping,
            rank=self._demand_reports.rank(now_s),
            host_count=self._services.live_host_count,
        )
        controller.on_tick(table, surroundings, now_s)

    def send_last_counts(self) -> None:
        """Sends the counts of usage to the other hosts, as the process ends."""
        if self._usage_reporter is not None:
            self._usage_reporter.send_last_counts()

    def _make_client(self) -> DutyClient | None:
        duties = self._options.duties
        if duties is None:
            return None
        client = DutyClient(self._connections, duties.address, duties.calls_per_s / DUTY_COUNT)
        self._clients.append(client)
        return client

    def _make_store_client(self) -> StoreClient:
        return StoreClient(self._connections, self._options.store_address, self._store_era)

    def _make_usage_reporter(
        self, peer_exchange: PeerExchange, rng: Random
    ) -> UsageReporter | None:
        options = self._options
        if options.duties is None or not options.duties.reports_usage:
            return None
        client = self._make_client()
        if client is None:
            return None
        return make_usage_reporter(
            options,
            options.duties,
            store_client=self._make_store_client(),
            client=client,
            peer_exchange=peer_exchange,
            metrics=self._services.metrics,
            rng=rng,
        )

    def _make_scaling_controller(self) -> ScalingController | None:
        options = self._options
        duties = options.duties
        if duties is None or not duties.orders_servers or not options.scaling.enabled:
            return None
        client = self._make_client()
        if client is None:
            return None
        claim_holder = f"{options.host}-{uuid.uuid4().hex[:8]}"

        def make_claims(listener: ClaimListener) -> Claimant:
            return Claimant(
                TOPIC_SCALING,
                claim_holder,
                ClaimTimes(CLAIM_DURATION_S, options.bounds.lease_s + ORDER_DELAY_S),
                self._make_store_client(),
                self._services.rng,
                listener=listener,
            )

        return ScalingController(
            options.scaling,
            self._services.registry,
            self._demand_reports.fleet,
            client,
            estimates=self._services.estimates,
            metrics=self._services.metrics,
            host=options.host,
            claim_holder=claim_holder,
            make_claims=make_claims,
        )

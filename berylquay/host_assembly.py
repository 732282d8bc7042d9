"""Assembly: builds the component tree of one entry host from its options.

Each step registers the components of one subsystem. Components communicate only by messages, apart
from the sockets that they share and the decision objects that they are given.
"""

import secrets
import uuid
from random import Random
from typing import Final

import logbook

from berylquay.authority.controller import Controller
from berylquay.authority.drain_notice_handler import DrainNoticeHandler
from berylquay.backends.admission_updater import AdmissionUpdater
from berylquay.backends.attempt_runner import AttemptRunner
from berylquay.backends.backend_prober import BackendProber
from berylquay.backends.call_dispatcher import CallDispatcher
from berylquay.backends.engine_order_client import EngineOrderClient
from berylquay.backends.load_poller import LoadPoller
from berylquay.call_log import CallLog
from berylquay.callers.request_handler import CallerRequestHandler
from berylquay.callers.request_limits import RequestLimitFilter
from berylquay.callers.server import CALLERS_CHANNEL, HttpServer
from berylquay.callers.ticket_endpoint import TicketEndpoint
from berylquay.component_messages import ConfigurationInForce
from berylquay.decisions.available_servers import HostLocation
from berylquay.decisions.call_tracker import CallTracker, CallTrackerOptions
from berylquay.decisions.controller_lease import LeaseManager, LeaseTiming
from berylquay.decisions.deployment import Configuration, Deployment
from berylquay.decisions.fleet import Address
from berylquay.decisions.host_drains import HostDrains
from berylquay.decisions.idempotency import IdempotencyController
from berylquay.decisions.latency_prediction import LatencyPredictor
from berylquay.decisions.load_polling import PollLimits, PollSchedule
from berylquay.decisions.order_commands import (
    OrderLimits,
)
from berylquay.decisions.order_controller import OrderController
from berylquay.decisions.peering import DialScheduler, PeeringLimits
from berylquay.decisions.pending_appends import AppendLimits
from berylquay.decisions.per_deployment_admission import PerDeploymentAdmission
from berylquay.decisions.power_of_two_routing import PowerOfTwoRouting
from berylquay.decisions.tickets import TicketIssuer
from berylquay.graceful_shutdown import GracefulShutdown
from berylquay.health_pages import HEALTH_CHANNEL, HealthPages
from berylquay.host_metrics import HostMetrics
from berylquay.idempotency.component import IdempotencyComponent
from berylquay.net.event_loop import EventLoop
from berylquay.net.message_bus import post
from berylquay.net.tcp_connections import TcpConnections
from berylquay.net.ticker import Ticker
from berylquay.operators.bridge import OperatorsBridge
from berylquay.operators.server import OperatorsServer
from berylquay.peers.peer_links import HostIdentity, PeerLinks
from berylquay.peers.security_layer import SecurityLayerFactory
from berylquay.settings.host_options import HostOptions
from berylquay.standalone.configuration_manager import ConfigurationManager
from berylquay.standalone.log_client import LogClient
from berylquay.standalone.membership_poller import MembershipPoller
from berylquay.standalone.weight_store_client import WeightStoreClient

TICKET_SECRET_BYTES: Final = 32
_log = logbook.Logger("assembly")


class HostAssembly:
    """Builds the component tree of one entry host."""

    # Root of the tree.
    _loop: EventLoop
    # Options from the settings file.
    _options: HostOptions
    # Opens all outgoing connections.
    _connections: TcpConnections
    # Id of this run of the process, unique among all runs and hosts.
    _incarnation: str

    def __init__(self, options: HostOptions) -> None:
        self._loop = EventLoop()
        self._options = options
        self._incarnation = f"{options.host}-{uuid.uuid4().hex[:8]}"
        self._connections = TcpConnections(self._loop).register(self._loop)

    def build(
        self,
        initial_deployments: tuple[Deployment, ...],
        security_layer_factory: SecurityLayerFactory,
    ) -> EventLoop:
        """Returns the root of the component tree, ready to run.

        Args:
            initial_deployments: Deployments in force until the platform's log has a configuration.
            security_layer_factory: Creates the security layers of links between entry hosts, with
                or without TLS.
        """
        options = self._options
        Ticker().register(self._loop)
        self._add_backends()
        self._add_peers(security_layer_factory)
        self._add_dispatch()
        self._add_callers()
        self._add_monitoring()
        self._add_operators()
        GracefulShutdown(options.stop_notice_s).register(self._loop)
        self._add_authority()
        self._add_configuration(initial_deployments)
        _log.info("starting", host=options.host, callers=str(options.callers_address))
        return self._loop

    def _add_backends(self) -> None:
        options = self._options
        MembershipPoller(self._connections, options.membership_address).register(self._loop)
        AttemptRunner(self._connections).register(self._loop)
        BackendProber(self._connections).register(self._loop)
        schedule = PollSchedule(options.host, options.data_centre, PollLimits())
        LoadPoller(self._connections, schedule).register(self._loop)

    def _add_peers(self, security_layer_factory: SecurityLayerFactory) -> None:
        options = self._options
        if options.peers is None:
            return
        identity = HostIdentity(options.host, options.data_centre, self._incarnation)
        dial_scheduler = DialScheduler(PeeringLimits(), Random(self._incarnation))
        PeerLinks(
            self._connections, options.peers, identity, security_layer_factory, dial_scheduler
        ).register(self._loop)

    def _add_dispatch(self) -> None:
        options = self._options
        admission = PerDeploymentAdmission(options.data_centre, options.engine_speed)
        AdmissionUpdater(admission).register(self._loop)
        routing = PowerOfTwoRouting(
            LatencyPredictor(options.engine_speed), Random(self._incarnation)
        )
        location = HostLocation(options.host, options.data_centre)
        call_tracker = CallTracker(
            routing, self._incarnation, CallTrackerOptions(location=location), admission
        )
        CallDispatcher(call_tracker, requires_grant=True).register(self._loop)

    def _add_callers(self) -> None:
        options = self._options
        server = self._serve_http(options.callers_address, CALLERS_CHANNEL)
        secret = secrets.token_bytes(TICKET_SECRET_BYTES)
        controller = IdempotencyController(TicketIssuer(options.host, self._incarnation, secret))
        IdempotencyComponent(controller).register(self._loop)
        TicketEndpoint(controller).register(self._loop)
        CallerRequestHandler(server).register(self._loop)

    def _add_monitoring(self) -> None:
        metrics = HostMetrics().register(self._loop)
        CallLog().register(self._loop)
        if self._options.health_address is not None:
            self._serve_http(self._options.health_address, HEALTH_CHANNEL)
            HealthPages(metrics).register(self._loop)

    def _add_operators(self) -> None:
        options = self._options
        if options.operators_address is None:
            return
        weights = options.weight_store
        if weights is not None:
            client = WeightStoreClient(
                self._connections, weights.address, weights.lookups_per_s, Random()
            )
            client.register(self._loop)
        bridge = OperatorsBridge(
            self._loop, options.host, options.data_centre, weights is not None
        ).register(self._loop)
        OperatorsServer(options.operators_address, bridge).register(self._loop)

    def _add_authority(self) -> None:
        options = self._options
        drains = HostDrains(OrderLimits().host_drain_validity_s)
        DrainNoticeHandler(options.host, drains).register(self._loop)
        authority = options.authority
        if options.log_service is None or authority is None:
            return
        lease_timing = LeaseTiming(
            lease_s=authority.lease_s,
            renewal_interval_s=authority.renewal_interval_s,
            order_margin_s=authority.order_margin_s,
        )
        lease = LeaseManager(options.data_centre, self._incarnation, lease_timing, Random())
        order_limits = OrderLimits(order_margin_s=authority.order_margin_s)
        order_controller = OrderController(options.data_centre, options.host, order_limits)
        EngineOrderClient(self._connections, authority.sender_address).register(self._loop)
        Controller(options.host, options.data_centre, lease, order_controller).register(self._loop)

    def _add_configuration(self, initial_deployments: tuple[Deployment, ...]) -> None:
        log_service = self._options.log_service
        if log_service is None:
            post(self._loop, ConfigurationInForce(Configuration(deployments=initial_deployments)))
            return
        limits = AppendLimits(appends_per_s=log_service.appends_per_s)
        LogClient(self._connections, log_service.address, limits, Random()).register(self._loop)
        manager = ConfigurationManager(
            log_service.configuration_stream, log_service.retention_s, initial_deployments, Random()
        )
        manager.register(self._loop)

    def _serve_http(self, address: Address, channel: str) -> HttpServer:
        limits = self._options.caller_limits
        server = HttpServer(address, limits, channel).register(self._loop)
        RequestLimitFilter(server, limits).register(self._loop)
        return server

"""Assembly: puts the components of one entry host together, as its options ask for.

Each step registers the components of one side of the host. They know each other only by messages,
but for the sockets that they share and the decisions that they drive.
"""

import secrets
import uuid
from random import Random
from typing import Final

import logbook

from berylquay.authority.controller import Controller
from berylquay.authority.drain_holder import DrainHolder
from berylquay.backends.admission_feed import AdmissionFeed
from berylquay.backends.attempts import BackendAttempts
from berylquay.backends.dispatch import Dispatch
from berylquay.backends.orders import EngineOrders
from berylquay.backends.probes import BackendProbes
from berylquay.backends.reports import ReportPoller
from berylquay.call_log import CallLog
from berylquay.callers.gate import Gate
from berylquay.callers.limits import RequestLimits
from berylquay.callers.server import CALLERS_CHANNEL, HttpServer
from berylquay.callers.tickets import TicketsPage
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
from berylquay.health import HEALTH_CHANNEL, HealthPages
from berylquay.lifecycle import Lifecycle
from berylquay.messages import ConfigurationInForce
from berylquay.metrics import Metrics
from berylquay.net.bus import post
from berylquay.net.connections import Connections
from berylquay.net.loop import Loop
from berylquay.net.ticker import Ticker
from berylquay.once.keeper import OnceKeeper
from berylquay.operators.bridge import OperatorsBridge
from berylquay.operators.server import OperatorsServer
from berylquay.peers.links import LinkIdentity, PeerLinks
from berylquay.peers.pipes import PipeFactory
from berylquay.settings.options import Options
from berylquay.standalone.configuration import ConfigurationKeeper
from berylquay.standalone.log_client import LogClient
from berylquay.standalone.membership import MembershipPoller
from berylquay.standalone.weights import WeightStoreClient

SECRET_BYTES: Final = 32
_log = logbook.Logger("assembly")


class HostAssembly:
    """Builds the component tree of one entry host."""

    # Root of the tree.
    _loop: Loop
    # What the settings file says.
    _options: Options
    # Opens every connection that goes out.
    _outbound: Connections
    # Name of this run of the process; differs from those of all other runs and hosts.
    _incarnation: str

    def __init__(self, options: Options) -> None:
        self._loop = Loop()
        self._options = options
        self._incarnation = f"{options.host}-{uuid.uuid4().hex[:8]}"
        self._outbound = Connections(self._loop).register(self._loop)

    def build(self, deployments: tuple[Deployment, ...], pipes: PipeFactory) -> Loop:
        """Returns the tree, ready to run.

        Args:
            deployments: What is in force until the platform's log says otherwise.
            pipes: Makes the pipes of links between entry hosts, with or without TLS.
        """
        options = self._options
        Ticker().register(self._loop)
        self._add_backends()
        self._add_peers(pipes)
        self._add_dispatch()
        self._add_callers()
        self._add_watching()
        self._add_operators()
        Lifecycle(options.stop_notice_s).register(self._loop)
        self._add_authority()
        self._add_configuration(deployments)
        _log.info("starting", host=options.host, callers=str(options.callers_address))
        return self._loop

    def _add_backends(self) -> None:
        options = self._options
        MembershipPoller(self._outbound, options.membership_address).register(self._loop)
        BackendAttempts(self._outbound).register(self._loop)
        BackendProbes(self._outbound).register(self._loop)
        schedule = PollSchedule(options.host, options.data_centre, PollLimits())
        ReportPoller(self._outbound, schedule).register(self._loop)

    def _add_peers(self, pipes: PipeFactory) -> None:
        options = self._options
        if options.peers is None:
            return
        identity = LinkIdentity(options.host, options.data_centre, self._incarnation)
        plan = DialScheduler(PeeringLimits(), Random(self._incarnation))
        PeerLinks(self._outbound, options.peers, identity, pipes, plan).register(self._loop)

    def _add_dispatch(self) -> None:
        options = self._options
        admission = PerDeploymentAdmission(options.data_centre, options.engine_speed)
        AdmissionFeed(admission).register(self._loop)
        routing = PowerOfTwoRouting(
            LatencyPredictor(options.engine_speed), Random(self._incarnation)
        )
        place = HostLocation(options.host, options.data_centre)
        fates = CallTracker(
            routing, self._incarnation, CallTrackerOptions(location=place), admission
        )
        Dispatch(fates, grants_needed=True).register(self._loop)

    def _add_callers(self) -> None:
        options = self._options
        server = self._serve_http(options.callers_address, CALLERS_CHANNEL)
        secret = secrets.token_bytes(SECRET_BYTES)
        once = IdempotencyController(TicketIssuer(options.host, self._incarnation, secret))
        OnceKeeper(once).register(self._loop)
        TicketsPage(once).register(self._loop)
        Gate(server).register(self._loop)

    def _add_watching(self) -> None:
        metrics = Metrics().register(self._loop)
        CallLog().register(self._loop)
        if self._options.health_address is not None:
            self._serve_http(self._options.health_address, HEALTH_CHANNEL)
            HealthPages(metrics).register(self._loop)

    def _add_operators(self) -> None:
        options = self._options
        if options.operators_address is None:
            return
        weights = options.weights
        if weights is not None:
            client = WeightStoreClient(
                self._outbound, weights.address, weights.lookups_per_s, Random()
            )
            client.register(self._loop)
        bridge = OperatorsBridge(
            self._loop, options.host, options.data_centre, weights is not None
        ).register(self._loop)
        OperatorsServer(options.operators_address, bridge).register(self._loop)

    def _add_authority(self) -> None:
        options = self._options
        drains = HostDrains(OrderLimits().host_drain_validity_s)
        DrainHolder(options.host, drains).register(self._loop)
        authority = options.authority
        if options.log is None or authority is None:
            return
        lease_limits = LeaseTiming(
            lease_s=authority.lease_s,
            renewal_interval_s=authority.renewal_interval_s,
            order_margin_s=authority.order_margin_s,
        )
        lease = LeaseManager(options.data_centre, self._incarnation, lease_limits, Random())
        order_limits = OrderLimits(order_margin_s=authority.order_margin_s)
        orders = OrderController(options.data_centre, options.host, order_limits)
        EngineOrders(self._outbound, authority.sender_address).register(self._loop)
        Controller(options.host, options.data_centre, lease, orders).register(self._loop)

    def _add_configuration(self, initial: tuple[Deployment, ...]) -> None:
        log = self._options.log
        if log is None:
            post(self._loop, ConfigurationInForce(Configuration(deployments=initial)))
            return
        limits = AppendLimits(appends_per_s=log.appends_per_s)
        LogClient(self._outbound, log.address, limits, Random()).register(self._loop)
        keeper = ConfigurationKeeper(log.configuration_stream, log.retention_s, initial, Random())
        keeper.register(self._loop)

    def _serve_http(self, address: Address, channel: str) -> HttpServer:
        limits = self._options.caller_limits
        server = HttpServer(address, limits, channel).register(self._loop)
        RequestLimits(server, limits).register(self._loop)
        return server

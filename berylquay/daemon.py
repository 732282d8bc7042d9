"""`berylquayd`: the process of one entry host; reads its settings and runs the circuits loop."""

import argparse
import secrets
import signal
import sys
import time
import uuid
from random import Random
from typing import Final, NoReturn

import logbook
from circuits.core.pollers import EPoll
from returns.result import Failure

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
from berylquay.decisions.appends import AppendLimits
from berylquay.decisions.configured_admission import ConfiguredAdmission
from berylquay.decisions.deployment import Configuration, Deployment
from berylquay.decisions.drains import HeldDrains
from berylquay.decisions.fates import CallFates, FatesOptions
from berylquay.decisions.fleet import Address
from berylquay.decisions.lease import LeaseKeeper, LeaseLimits
from berylquay.decisions.nearby_routing import NearbyChoice
from berylquay.decisions.once import AtMostOnce
from berylquay.decisions.orders import OrderKeeper, OrderLimits
from berylquay.decisions.peering import DialPlan, PeeringLimits
from berylquay.decisions.polling import PollLimits, PollSchedule
from berylquay.decisions.predictions import Predictor
from berylquay.decisions.serving import HostPlace
from berylquay.decisions.tickets import TicketIssuer
from berylquay.errors import SettingsError
from berylquay.health import HEALTH_CHANNEL, HealthPages
from berylquay.lifecycle import Lifecycle
from berylquay.logs import set_up_logs
from berylquay.messages import ConfigurationInForce, StopRequested
from berylquay.metrics import Metrics
from berylquay.net.bus import post
from berylquay.net.outbound import OutboundConnections
from berylquay.net.ticker import Ticker
from berylquay.once.keeper import OnceKeeper
from berylquay.operators.bridge import OperatorsBridge
from berylquay.operators.server import OperatorsServer
from berylquay.peers.links import LinkIdentity, PeerLinks
from berylquay.peers.pipes import PipeFactory, make_pipe_factory
from berylquay.platform.configuration import ConfigurationKeeper
from berylquay.platform.log_client import LogClient
from berylquay.platform.membership import MembershipPoller
from berylquay.platform.weights import WeightStoreClient
from berylquay.settings.deployment_file import read_deployment_file
from berylquay.settings.host_file import read_host_file
from berylquay.settings.options import AuthorityOptions, CallerLimits, LogOptions, Options

EXIT_BAD_SETTINGS: Final = 2
SECRET_BYTES: Final = 32
_log = logbook.Logger("daemon")


class Loop(EPoll):
    """The root of the component tree: the poller, which also hears the signals."""

    def _signal_handler(self, signo: int, stack: object) -> None:
        _log.info("signal received", signal=signal.Signals(signo).name)
        post(self, StopRequested(time.monotonic()))


def main() -> None:
    """Runs the daemon until it is told to stop."""
    arguments = _parse_arguments()
    read = read_host_file(arguments.settings)
    if isinstance(read, Failure):
        _exit_for_bad_settings(read.failure())
    options = read.unwrap()
    deployments = _read_initial_deployments(options)
    pipes = _make_pipes(options, arguments.settings)
    if arguments.check:
        print(f"{arguments.settings}: ok")  # noqa: T201
        return
    set_up_logs(options.log_level)
    build_loop(options, deployments, pipes).run()


def build_loop(options: Options, deployments: tuple[Deployment, ...], pipes: PipeFactory) -> Loop:
    """Returns the component tree of one entry host, ready to run."""
    loop = Loop()
    incarnation = f"{options.host}-{uuid.uuid4().hex[:8]}"
    Ticker().register(loop)
    outbound = OutboundConnections(loop).register(loop)
    MembershipPoller(outbound, options.membership_address).register(loop)
    BackendAttempts(outbound).register(loop)
    BackendProbes(outbound).register(loop)
    schedule = PollSchedule(options.host, options.data_centre, PollLimits())
    ReportPoller(outbound, schedule).register(loop)
    if options.peers is not None:
        identity = LinkIdentity(options.host, options.data_centre, incarnation)
        plan = DialPlan(PeeringLimits(), Random(incarnation))
        PeerLinks(outbound, options.peers, identity, pipes, plan).register(loop)
    place = HostPlace(options.host, options.data_centre)
    admission = ConfiguredAdmission(options.data_centre, options.engine_speed)
    AdmissionFeed(admission).register(loop)
    routing = NearbyChoice(Predictor(options.engine_speed), Random(incarnation))
    fates = CallFates(routing, incarnation, FatesOptions(place=place), admission)
    Dispatch(fates, grants_needed=True).register(loop)
    callers = _serve_http(loop, options.callers_address, options.caller_limits, CALLERS_CHANNEL)
    _keep_once(loop, TicketIssuer(options.host, incarnation, secrets.token_bytes(SECRET_BYTES)))
    Gate(callers).register(loop)
    metrics = Metrics().register(loop)
    CallLog().register(loop)
    if options.health_address is not None:
        _serve_http(loop, options.health_address, options.caller_limits, HEALTH_CHANNEL)
        HealthPages(metrics).register(loop)
    if options.operators_address is not None:
        _serve_operators(loop, outbound, options, options.operators_address)
    Lifecycle(options.stop_notice_s).register(loop)
    DrainHolder(options.host, HeldDrains(OrderLimits().host_hold_s)).register(loop)
    if options.log is not None and options.authority is not None:
        _stand_for_authority(loop, outbound, options, options.authority, incarnation)
    if options.log is not None:
        _keep_configuration(loop, outbound, options.log, deployments)
    else:
        post(loop, ConfigurationInForce(Configuration(deployments=deployments)))
    _log.info("starting", host=options.host, callers=str(options.callers_address))
    return loop


def _serve_operators(
    loop: Loop, outbound: OutboundConnections, options: Options, address: Address
) -> None:
    weights = options.weights
    if weights is not None:
        client = WeightStoreClient(outbound, weights.address, weights.lookups_per_s, Random())
        client.register(loop)
    bridge = OperatorsBridge(loop, options.host, options.data_centre, weights is not None)
    bridge.register(loop)
    OperatorsServer(address, bridge).register(loop)


def _keep_configuration(
    loop: Loop,
    outbound: OutboundConnections,
    options: LogOptions,
    initial: tuple[Deployment, ...],
) -> None:
    limits = AppendLimits(appends_per_s=options.appends_per_s)
    LogClient(outbound, options.address, limits, Random()).register(loop)
    stream = options.configuration_stream
    ConfigurationKeeper(stream, options.retention_s, initial, Random()).register(loop)


def _stand_for_authority(
    loop: Loop,
    outbound: OutboundConnections,
    options: Options,
    authority: AuthorityOptions,
    incarnation: str,
) -> None:
    lease_limits = LeaseLimits(
        lease_s=authority.lease_s,
        renewal_interval_s=authority.renewal_interval_s,
        order_margin_s=authority.order_margin_s,
    )
    lease = LeaseKeeper(options.data_centre, incarnation, lease_limits, Random())
    order_limits = OrderLimits(order_margin_s=authority.order_margin_s)
    orders = OrderKeeper(options.data_centre, options.host, order_limits)
    EngineOrders(outbound, authority.sender_address).register(loop)
    Controller(options.host, lease, orders).register(loop)


def _keep_once(loop: Loop, issuer: TicketIssuer) -> None:
    once = AtMostOnce(issuer)
    OnceKeeper(once).register(loop)
    TicketsPage(once).register(loop)


def _serve_http(loop: Loop, address: Address, limits: CallerLimits, channel: str) -> HttpServer:
    server = HttpServer(address, limits, channel).register(loop)
    RequestLimits(server, limits).register(loop)
    return server


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="berylquayd", description="Serves callers on one entry host."
    )
    parser.add_argument("settings", help="path of the host's INI file")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    return parser.parse_args()


def _read_initial_deployments(options: Options) -> tuple[Deployment, ...]:
    deployments: list[Deployment] = []
    for path in options.initial_deployments:
        read = read_deployment_file(path)
        if isinstance(read, Failure):
            _exit_for_bad_settings(read.failure())
        deployments.append(read.unwrap())
    return tuple(deployments)


def _make_pipes(options: Options, file: str) -> PipeFactory:
    made = make_pipe_factory(options.peers.tls if options.peers is not None else None)
    if isinstance(made, Failure):
        allowed = "a certificate, its key and the authority's certificate, in PEM files"
        _exit_for_bad_settings(
            (SettingsError(file, "peers", "certificate", made.failure(), allowed),)
        )
    return made.unwrap()


def _exit_for_bad_settings(errors: tuple[SettingsError, ...]) -> NoReturn:
    for error in errors:
        print(error, file=sys.stderr)  # noqa: T201
    sys.exit(EXIT_BAD_SETTINGS)


if __name__ == "__main__":
    main()

"""A model of hosts that order servers, in virtual time: the real controllers, claims and planner.

The platform's side is the cloud of the bench, with lost responses. It checks the rules for orders:
fencing tokens never fall, no two holders have one, and none comes back within the lease.
"""

from collections.abc import Callable
from random import Random
from typing import Final

from attrs import define, field

from bench.scaling import SCALING, SCENARIOS, Cloud, SimulatedServer
from berylquay.decisions.backend_registry import BackendEntry, BackendRegistry, EntryState
from berylquay.decisions.engine_estimates import EngineEstimates
from berylquay.decisions.fleet import Address
from berylquay.decisions.order_claims import ClaimTimes
from berylquay.decisions.route_table import CallerRequestLimits, EngineProperties, Pool, RouteTable
from berylquay.decisions.scaling.demand import FleetDemand, HostDemand, PoolLoad
from berylquay.platform.duty_client import DutyOutcome
from berylquay.relay.claimant import Claimant, ClaimListener
from berylquay.relay.metrics import RelayMetrics
from berylquay.relay.scaling_controller import ScalingController, Surroundings
from berylquay.settings.relay_settings import ScalingOptions
from tests.relay.test_claimant import Log, LogClient

POOL: Final = "lm"
TICK_S: Final = 0.05
LEASE_S: Final = 3.0
TIMES: Final = ClaimTimes(validity_s=2.0, in_flight_grace_s=LEASE_S + 2.0)
TABLE: Final = RouteTable(
    1,
    {},
    {POOL: Pool(POOL, 100, EngineProperties(16, 1, 1, 1.0, 1.0, 1.0), SCALING)},
    CallerRequestLimits(),
)


@define
class OrderRules:
    """Checks the orders that arrive at the platform."""

    # Time, holder and fencing number of each order.
    orders: list[tuple[float, str, int]] = field(factory=list)

    def on_order(self, holder: str, fencing_number: int, now_s: float) -> None:
        """Checks one order against those before.

        Raises:
            AssertionError: A rule is broken.
        """
        for before_s, other, number in self.orders:
            assert number <= fencing_number, "a lower token after a higher one"
            assert number != fencing_number or other == holder, "one token, two holders"
            if other != holder:
                own_before = any(
                    each_s < before_s and each == holder and now_s - each_s < LEASE_S
                    for each_s, each, _ in self.orders
                )
                assert not own_before, "a holder came back within the lease"
        self.orders.append((now_s, holder, fencing_number))


@define
class ModelApi:
    """The API as one host sees it: each call ends after a while, or gets no response."""

    model: "ScalingModel"
    busy: bool = False
    _unanswered: tuple[int, float] = (0, 0.0)

    def may_send(self, _path: str, fencing_number: int) -> bool:
        """Tells whether no older call may still arrive."""
        number, until_s = self._unanswered
        return number in (0, fencing_number) or self.model.log.now_s >= until_s

    def order_servers(
        self,
        holder: str,
        fencing_number: int,
        pool: str,
        data_centre: str,
        count: int,
        *,
        spot: bool,
        on_result: Callable[[DutyOutcome], None],
    ) -> None:
        """Carries the order out after a delay."""
        assert pool == POOL
        model = self.model
        self.busy = True
        sent_s = model.log.now_s

        def arrive() -> None:
            now_s = model.log.now_s
            model.rules.on_order(holder, fencing_number, now_s)
            ok = model.cloud.order(data_centre, count, spot=spot, now_s=now_s)
            if model.rng.random() < model.lost_responses:
                model.later(1.0 - (now_s - sent_s), lambda: end(DutyOutcome.FAILED))
            else:
                end(DutyOutcome.ACCEPTED if ok else DutyOutcome.NONE_AVAILABLE)

        def end(outcome: DutyOutcome) -> None:
            if outcome is DutyOutcome.FAILED:
                self._unanswered = (fencing_number, sent_s + 2.0)
            self.busy = False
            on_result(outcome)

        model.later(model.rng.uniform(0.01, 0.2), arrive)


class ModelHost:
    """One host with its own view of the demand."""

    def __init__(self, name: str, model: "ScalingModel") -> None:
        self.name = name
        self.alive = True
        self.is_list_current = True
        self.is_cut_off = False
        self.demand = FleetDemand()
        self.registry = BackendRegistry()
        log = model.log

        def make_claims(listener: ClaimListener) -> Claimant:
            return Claimant(
                "scaling",
                name,
                TIMES,
                LogClient(log),
                Random(1),
                listener=listener,
                clock=lambda: log.now_s,
            )

        self.controller = ScalingController(
            ScalingOptions(),
            self.registry,
            self.demand,
            ModelApi(model),
            estimates=EngineEstimates(),
            metrics=RelayMetrics(),
            host=name,
            claim_holder=name,
            make_claims=make_claims,
        )


class ScalingModel:
    """Three hosts, one pool, and the platform."""

    def __init__(self, seed: int = 1, lost_responses: float = 0.0) -> None:
        self.rng = Random(seed)
        self.lost_responses = lost_responses
        self.log = Log()
        self.rules = OrderRules()
        self.cloud = Cloud(SCENARIOS[0])
        self.cloud.servers = [
            SimulatedServer(zone, False, 0.0) for zone in SCALING.prices for _ in range(6)
        ]
        self.load: PoolLoad | None = None
        # Fewest servers that were ready in the present run.
        self.fewest_ready = 99
        self._later: list[tuple[float, Callable[[], None]]] = []
        self._steps = 0
        self.hosts = [ModelHost(f"h{number}", self) for number in range(3)]

    def later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Calls the action after a delay."""
        self._later.append((self.log.now_s + delay_s, action))

    def restart(self, number: int) -> None:
        """Replaces a host by a new process of the same name."""
        self.hosts[number] = ModelHost(f"h{number}", self)

    def run(self, seconds: float) -> None:
        """Advances by some seconds."""
        self.fewest_ready = 99
        for _ in range(round(seconds / TICK_S)):
            self._steps += 1
            now_s = self.log.now_s = self._steps * TICK_S
            due = [entry for entry in self._later if entry[0] <= now_s]
            self._later = [entry for entry in self._later if entry[0] > now_s]
            for _at_s, action in due:
                action()
            self.cloud.on_step(now_s)
            ready = sum(count.total for count in self.cloud.ready(now_s).values())
            self.fewest_ready = min(self.fewest_ready, ready)
            self._tick_hosts(now_s)

    def _tick_hosts(self, now_s: float) -> None:
        live = [host for host in self.hosts if host.alive]
        for rank, host in enumerate(live):
            if self._steps % 20 == 0:
                for other in live:
                    # Hosts report even without calls, as in operation.
                    loads = {POOL: self.load if other is live[0] and self.load else PoolLoad()}
                    host.demand.on_report(HostDemand(other.name, "atlas-a", loads), now_s)
            if host.is_list_current and self._steps % 5 == 0:
                host.registry.on_snapshot(self._entries(now_s), now_s)
            surroundings = Surroundings(
                is_list_current=host.is_list_current,
                is_cut_off=host.is_cut_off,
                is_stopping=False,
                rank=rank,
                host_count=3,
            )
            host.controller.on_tick(TABLE, surroundings, now_s)

    def _entries(self, now_s: float) -> list[BackendEntry]:
        return [
            BackendEntry(
                str(id(server)),
                POOL,
                Address("10.0.0.1", 80),
                server.data_centre,
                16,
                EntryState.READY if server.ends_s > 1e9 else EntryState.LEAVING,
                spot=server.spot,
            )
            for server in self.cloud.servers
            if server.ready_s <= now_s
        ]

    def present(self, *, spot: bool) -> int:
        """Returns the servers of a kind that are not leaving."""
        return sum(server.spot is spot and server.ends_s > 1e9 for server in self.cloud.servers)

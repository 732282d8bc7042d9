"""Scaling in virtual time: cost and served share of the planner and of baselines, side by side."""

import math
from collections.abc import Callable, Sequence
from random import Random
from typing import Final, Protocol

from attrs import define, field, frozen

from berylquay.decisions.engine_placement import PlacementOptions
from berylquay.decisions.role_split import RoleSplitOptions, target_decode_engines
from berylquay.decisions.route_table import ScalingProperties
from berylquay.decisions.scaling.capacity import ServerSpeed, Utilisation, needed_servers
from berylquay.decisions.scaling.demand import DemandMeter, FleetDemand, HostDemand, PoolLoad
from berylquay.decisions.scaling.plan import ServerCounts
from berylquay.decisions.scaling.planner import PoolPlanner, PoolState

POOL: Final = "lm"
STEP_S: Final = 0.05
DECISION_INTERVAL_S: Final = 0.25
REPORT_INTERVAL_S: Final = 1.0
# Traffic begins some time after the hosts, as in a deployment.
TRAFFIC_START_S: Final = 16.0
LENGTH_S: Final = 90.0
# Longest wait of a prompt before it is refused.
MAX_WAIT_S: Final = 0.6
# Time from the notice of a reclaimed spot server to its end.
RECLAIM_NOTICE_S: Final = 2.5
MEAN_OUTPUT_TOKENS: Final = 60
TOKEN_S: Final = 0.012
SLOTS: Final = 16
MEAN_PROMPT_TOKENS: Final = 1800.0
MEAN_REQUESTS_PER_S: Final = 70.0
START_SERVERS: Final = 6
SCALING: Final = ScalingProperties(
    1, 15, 4.0, 0.18, {"atlas-a": 0.85, "atlas-b": 1.0, "atlas-c": 1.2}
)
# Ten seconds of the run, counted from 0, in which the load is that of a burst.
BURST_AT: Final = 4
# Waits above which the reactive baseline adds a server, and below which it gives one up.
LONG_WAIT_S: Final = 0.1
SHORT_WAIT_S: Final = 0.02
_SPEEDS: Final = PlacementOptions()
# Fraction of a decode engine's prefill rate that the model gives it while it decodes.
DECODE_PREFILL_FRACTION: Final = 0.25


@frozen
class ScalingScenario:
    """Load and failures of one run; times are in seconds from the start of the traffic."""

    name: str
    # Factors on the mean rate of requests, and on the mean length of prompts.
    rate: Callable[[float], float] = lambda _: 1.0
    prompt: Callable[[float], float] = lambda _: 1.0
    boot_s: float = 4.0
    # When the spot servers of the first data centre are reclaimed, or None, and until when there
    # are no new ones.
    reclaimed_at_s: float | None = None
    unavailable_s: float = 9.0


SCENARIOS: Final = (
    ScalingScenario("steady"),
    ScalingScenario("wave", rate=lambda t: 1.0 + 0.27 * math.sin(2.0 * math.pi * t / 11.0)),
    ScalingScenario("mix", prompt=lambda t: 1.5 if int(t / 2.8) % 2 else 0.5),
    ScalingScenario("burst", rate=lambda t: 2.4 if t // 10.0 == BURST_AT else 1.0),
    ScalingScenario("reclaim", reclaimed_at_s=30.0),
    ScalingScenario("slow-boot", rate=lambda t: 0.5 + min(1.5, t / 40.0), boot_s=8.0),
    # The trend rises steeply and then ends.
    ScalingScenario("wrong-forecast", rate=lambda t: 0.6 + (t % 15.0) / 15.0),
)


@define
class SimulatedServer:
    """A server from its order until it is gone."""

    data_centre: str
    spot: bool
    ready_s: float
    # When it is gone, once it drains or is reclaimed.
    ends_s: float = math.inf


@define
class Cloud:
    """The platform's side: accepts orders, boots, drains and reclaims servers."""

    scenario: ScalingScenario
    servers: list[SimulatedServer] = field(factory=list)
    cost: float = 0.0
    order_count: int = 0
    refused_until_s: float = 0.0

    def order(self, data_centre: str, number: int, *, spot: bool, now_s: float) -> bool:
        """Carries out an order; returns False if there are no such servers there now."""
        self.order_count += 1
        present = [
            server
            for server in self.servers
            if (server.data_centre, server.spot) == (data_centre, spot)
            and server.ends_s == math.inf
        ]
        missing = number - len(present)
        if missing > 0 and spot and data_centre == "atlas-a" and now_s < self.refused_until_s:
            return False
        for _ in range(missing):
            ready_s = now_s + self.scenario.boot_s
            self.servers.append(SimulatedServer(data_centre, spot, ready_s))
        # The newest are drained first, also if they are not ready yet.
        for server in present[number:]:
            server.ends_s = now_s + 1.0
        return True

    def on_step(self, now_s: float) -> None:
        """Ends servers, reclaims some, and charges the rest."""
        at_s = self.scenario.reclaimed_at_s
        if at_s is not None and not self.refused_until_s and now_s >= TRAFFIC_START_S + at_s:
            self.refused_until_s = now_s + self.scenario.unavailable_s
            for server in self.servers:
                if server.data_centre == "atlas-a" and server.spot:
                    server.ends_s = min(server.ends_s, now_s + RECLAIM_NOTICE_S)
        self.servers = [server for server in self.servers if now_s < server.ends_s]
        for server in self.servers:
            share = SCALING.spot_price if server.spot else 1.0
            self.cost += SCALING.prices[server.data_centre] * share * STEP_S

    def ready(self, now_s: float) -> dict[str, ServerCounts]:
        """Returns the servers that accept work."""
        counts = {}
        for data_centre in SCALING.prices:
            kinds = [
                server.spot
                for server in self.servers
                if server.data_centre == data_centre
                and server.ready_s <= now_s
                and server.ends_s == math.inf
            ]
            counts[data_centre] = ServerCounts(kinds.count(False), kinds.count(True))
        return counts

    def reclaimed(self) -> frozenset[str]:
        """Returns the data centres with spot servers that are being reclaimed."""
        if not self.refused_until_s:
            return frozenset()
        return frozenset(
            server.data_centre
            for server in self.servers
            if server.spot and server.data_centre == "atlas-a" and server.ends_s < math.inf
        )


@define
class Engines:
    """Serves the requests: prompts in order of arrival, then a slot for the output."""

    backlog_tokens: float = 0.0
    running_until_s: list[float] = field(factory=list)

    def serve(self, tokens: float, output_s: float, engines: int, now_s: float) -> float | None:
        """Returns when the request ends, or None if it is refused."""
        decode, rate = _capacity(engines)
        wait_s = (self.backlog_tokens + tokens) / rate if rate else math.inf
        if wait_s > MAX_WAIT_S or len(self.running_until_s) >= decode * SLOTS:
            return None
        self.backlog_tokens += tokens
        end_s = now_s + wait_s + output_s
        self.running_until_s.append(end_s)
        return end_s

    def on_step(self, engines: int, now_s: float) -> None:
        """Works off what waits."""
        _, rate = _capacity(engines)
        self.backlog_tokens = max(0.0, self.backlog_tokens - rate * STEP_S)
        self.running_until_s = [end_s for end_s in self.running_until_s if end_s > now_s]


def _capacity(engines: int) -> tuple[int, float]:
    """Returns the decode engines, and the prompt tokens prefilled in a second."""
    decode = target_decode_engines(engines, 0.0, RoleSplitOptions())
    decode_rate = _SPEEDS.decode_tokens_per_ms * DECODE_PREFILL_FRACTION
    rate = (engines - decode) * _SPEEDS.prefill_tokens_per_ms + decode * decode_rate
    return decode, rate * 1000.0


class ScalingPolicy(Protocol):
    """Orders servers."""

    name: str

    def act(self, cloud: Cloud, engines: Engines, fleet: FleetDemand, now_s: float) -> None:
        """Called at regular intervals."""


@define
class Planner:
    """The planner in use, with an interface that responds at once."""

    name: str = "planner"
    planner: PoolPlanner = field(factory=PoolPlanner)
    _started: bool = False

    def act(self, cloud: Cloud, _engines: Engines, fleet: FleetDemand, now_s: float) -> None:
        """Orders what the planner decides."""
        ready = cloud.ready(now_s)
        planner = self.planner
        if not self._started:
            self._started = True
            planner.on_present(ready)
        load = fleet.load(POOL, now_s)
        state = PoolState(
            ready, cloud.reclaimed(), load, ServerSpeed(SLOTS, True), True, fleet.is_complete(now_s)
        )
        planner.on_sample(state, SCALING, 45, now_s)
        decision = planner.decide(state, SCALING, {}, now_s)
        planner.on_ordered(decision.counts, now_s)
        for data_centre, spot, number in planner.due_orders(now_s):
            if cloud.order(data_centre, number, spot=spot, now_s=now_s):
                planner.on_accepted(data_centre, number, spot=spot, now_s=now_s)
            else:
                planner.on_none_available(data_centre, spot=spot, now_s=now_s)


@define
class AllKept:
    """Keeps the servers of the start."""

    name: str = "all kept"

    def act(self, cloud: Cloud, engines: Engines, fleet: FleetDemand, now_s: float) -> None:
        """Orders nothing."""


@define
class FixedShare:
    """Replaces half of the servers by spot servers at the start."""

    name: str = "fixed share"
    _step: int = 0

    def act(self, cloud: Cloud, _engines: Engines, _fleet: FleetDemand, now_s: float) -> None:
        """Orders twice: the spot servers, and later fewer of the others."""
        if self._step == 0:
            self._step = 1
            for data_centre in SCALING.prices:
                cloud.order(data_centre, START_SERVERS // 2, spot=True, now_s=now_s)
        elif self._step == 1 and now_s > cloud.scenario.boot_s + 1.0:
            self._step = 2
            for data_centre in SCALING.prices:
                cloud.order(data_centre, START_SERVERS // 2, spot=False, now_s=now_s)


@define
class ReactiveByQueue:
    """One server more while prompts wait, one less while none does, in every data centre."""

    name: str = "queue length"
    _number: int = START_SERVERS
    _next_s: float = TRAFFIC_START_S

    def act(self, cloud: Cloud, engines: Engines, _fleet: FleetDemand, now_s: float) -> None:
        """Orders on-demand servers by the wait of the prompts."""
        if now_s < self._next_s:
            return
        self._next_s = now_s + 2.0
        _, rate = _capacity(sum(count.total for count in cloud.ready(now_s).values()))
        wait_s = engines.backlog_tokens / rate if rate else math.inf
        change = 1 if wait_s > LONG_WAIT_S else -1 if wait_s < SHORT_WAIT_S else 0
        self._number = min(15, max(1, self._number + change))
        for data_centre in SCALING.prices:
            cloud.order(data_centre, self._number, spot=False, now_s=now_s)


@frozen
class ScalingResult:
    """Outcome of one run."""

    scenario: str
    policy: str
    # Price of all server seconds.
    cost: float
    served_share: float
    orders: int


def run_scaling(scenario: ScalingScenario, policy: ScalingPolicy, seed: int) -> ScalingResult:
    """Runs a scenario under a policy."""
    rng, cloud, engines = Random(seed), Cloud(scenario), Engines()
    cloud.servers = [
        SimulatedServer(data_centre, False, 0.0)
        for data_centre in SCALING.prices
        for _ in range(START_SERVERS)
    ]
    meter, fleet = DemandMeter(), FleetDemand()
    meter.enabled = True
    ends: list[tuple[float, float]] = []
    arrived = served = 0
    next_decision_s = next_report_s = 0.0
    for step in range(int((TRAFFIC_START_S + LENGTH_S) / STEP_S)):
        now_s = step * STEP_S
        cloud.on_step(now_s)
        ready = sum(count.total for count in cloud.ready(now_s).values())
        engines.on_step(ready, now_s)
        for ended in [each for each in ends if each[0] <= now_s]:
            meter.on_call_ended(POOL, ended[1], answered=True)
            ends.remove(ended)
        traffic_s = now_s - TRAFFIC_START_S
        if traffic_s >= 0.0:
            for _ in range(_poisson(rng, MEAN_REQUESTS_PER_S * scenario.rate(traffic_s) * STEP_S)):
                tokens = rng.expovariate(1.0 / (MEAN_PROMPT_TOKENS * scenario.prompt(traffic_s)))
                output_tokens = rng.expovariate(1.0 / MEAN_OUTPUT_TOKENS)
                arrived += 1
                meter.on_request(POOL, int(tokens), int(output_tokens), now_s)
                end_s = engines.serve(tokens, output_tokens * TOKEN_S, ready, now_s)
                if end_s is None:
                    meter.on_refused(POOL, now_s)
                else:
                    served += 1
                    meter.on_call_started(POOL)
                    ends.append((end_s, end_s - now_s))
        if now_s >= next_report_s:
            next_report_s += REPORT_INTERVAL_S
            fleet.on_report(HostDemand("h", "atlas-a", meter.loads([POOL], now_s)), now_s)
        if now_s >= next_decision_s:
            next_decision_s += DECISION_INTERVAL_S
            policy.act(cloud, engines, fleet, now_s)
    return ScalingResult(
        scenario.name, policy.name, cloud.cost, served / arrived, cloud.order_count
    )


def oracle_bound(scenario: ScalingScenario) -> ScalingResult:
    """Returns the cost of the fewest spot servers for the mean load at each moment of the traffic.

    As if servers booted at once, requests came evenly and no data centre were lost.
    """
    cost = 0.0
    price = SCALING.spot_price
    cheapest = sorted(SCALING.prices.values())
    for step in range(int(LENGTH_S / STEP_S)):
        traffic_s = step * STEP_S
        requests_per_s = MEAN_REQUESTS_PER_S * scenario.rate(traffic_s)
        load = PoolLoad(
            requests_per_s,
            requests_per_s * MEAN_PROMPT_TOKENS * scenario.prompt(traffic_s),
            call_s=MEAN_OUTPUT_TOKENS * TOKEN_S,
        )
        number = needed_servers(load, ServerSpeed(SLOTS, True), Utilisation(1.0, 1.0), 45)
        prices = [zone_price for zone_price in cheapest for _ in range(SCALING.max_servers)]
        cost += sum(prices[:number]) * price * STEP_S
    return ScalingResult(scenario.name, "oracle bound", cost, 1.0, 0)


def _poisson(rng: Random, mean: float) -> int:
    limit, product, count = math.exp(-mean), rng.random(), 0
    while product > limit:
        product *= rng.random()
        count += 1
    return count


def compare_scaling(seed: int) -> Sequence[ScalingResult]:
    """Returns the results of all scenarios and policies."""
    results = []
    for scenario in SCENARIOS:
        policies = (Planner(), AllKept(), FixedShare(), ReactiveByQueue())
        results += [run_scaling(scenario, policy, seed) for policy in policies]
        results.append(oracle_bound(scenario))
    return results


def scaling_table(seed: int) -> str:
    """Returns cost and served share of all runs as a Markdown table."""
    lines = ["| scenario | policy | cost | served | orders |", "| --- | --- | --- | --- | --- |"]
    lines += [
        f"| {each.scenario} | {each.policy} | {each.cost:.0f} | {each.served_share:.4f} "
        f"| {each.orders} |"
        for each in compare_scaling(seed)
    ]
    return "\n".join(lines)

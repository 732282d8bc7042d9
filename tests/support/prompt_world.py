"""A simulation of engines that prefill prompts, and of the hosts that place them.

Only the limiting factors are modelled: each engine prefills its prompts in the order of arrival,
hosts receive each other's load reports with a delay, and the first token follows the prefill.
"""

import heapq
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Final

from attrs import define, field

from berylquay.decisions.backend_health import BackendHealth, HealthOptions
from berylquay.decisions.backend_registry import BackendEntry, EntryState
from berylquay.decisions.engine_backlog import EngineBacklog
from berylquay.decisions.engine_estimates import EngineEstimates
from berylquay.decisions.engine_placement import PlacementOptions, PredictivePlacementPolicy
from berylquay.decisions.fleet import Address, Role
from berylquay.decisions.prefix_cache_index import PrefixCacheIndex
from berylquay.decisions.relay_admission import AdmissionAction, AdmissionOptions, admit
from berylquay.decisions.relay_call import GenerationRequest, PromptSegment, RelayCall
from berylquay.decisions.route_table import EngineProperties, Pool, Route
from berylquay.decisions.topology import Location, Topology

REPORT_DELAY_S: Final = 0.07
QUEUE_CHECK_INTERVAL_S: Final = 0.025
ENGINES: Final = EngineProperties(64, 500_000, 163_840, 1_400_000.0, 5.0, 3.0)
POOL: Final = Pool("lm", 370, ENGINES)
OPTIONS: Final = PlacementOptions()


@define
class RequestClass:
    """Requests of one route, with their rate and the distribution of prompt lengths."""

    route: Route
    requests_per_s: float
    # Approximate mean, and sigma, of the log-normally distributed prompt length.
    mean_tokens: float
    tokens_sigma: float


@define
class ClassOutcome:
    """Counts of the requests of one class by outcome."""

    in_time: int = 0
    late: int = 0
    refused: int = 0

    @property
    def fraction_in_time(self) -> float:
        """Returns the fraction of all requests whose first token was in time."""
        return self.in_time / max(1, self.in_time + self.late + self.refused)


class VirtualHost:
    """A host with its cached view of the engines and its placement policy."""

    def __init__(self, name: str, data_centre: str, regions: dict[str, str]) -> None:
        self.name = name
        self.backlog = EngineBacklog()
        self.prefix_cache_index = PrefixCacheIndex()
        self.placement = PredictivePlacementPolicy(
            OPTIONS,
            Topology(Location(data_centre, regions[data_centre]), regions),
            self.backlog,
            self.prefix_cache_index,
            EngineEstimates(),
            BackendHealth(HealthOptions()),
        )
        self.placement.on_pool(ENGINES, 0.3)


@define
class PromptSimulation:
    """A discrete-event simulation of engines and hosts, with events ordered by time."""

    seed: int
    engines: list[BackendEntry]
    hosts: list[VirtualHost]
    request_classes: list[RequestClass]
    # Returns the factor by which the rate of a class is multiplied at a given time.
    rate_factor: Callable[[RequestClass, float], float]
    # Whether requests that would be late are queued, and those that would time out refused.
    admission_enabled: bool = True
    outcomes: dict[str, ClassOutcome] = field(factory=dict)
    now_s: float = 0.0
    _events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _event_numbers: "count[int]" = field(factory=count)
    # Time at which each engine will have prefilled all prompts sent to it.
    _idle_from_s: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Passes the prefill engines to the hosts' placement policies."""
        prefill_engines = [engine for engine in self.engines if engine.role is Role.PREFILL]
        for host in self.hosts:
            host.placement.on_prefill_engines(prefill_engines)

    def run(self, duration_s: float) -> dict[str, ClassOutcome]:
        """Runs the simulation and returns the outcomes by route name.

        Requests arrive for `duration_s`; the simulation ends when all have an outcome.
        """
        rng = Random(self.seed)
        for request_class in self.request_classes:
            self.outcomes[request_class.route.name] = ClassOutcome()
            self._schedule_arrivals(request_class, duration_s, rng)
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        return self.outcomes

    def _schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._event_numbers), action))

    def _schedule_arrivals(
        self, request_class: RequestClass, duration_s: float, rng: Random
    ) -> None:
        at_s = 0.0
        while at_s < duration_s:
            at_s += rng.expovariate(
                request_class.requests_per_s * max(0.05, self.rate_factor(request_class, at_s))
            )
            tokens = max(
                16,
                round(
                    request_class.mean_tokens * rng.lognormvariate(-0.4, request_class.tokens_sigma)
                ),
            )
            call = RelayCall(
                f"{request_class.route.name}-{at_s}",
                request_class.route,
                POOL,
                at_s,
                at_s + 8.0,
                False,
                "",
            )
            call.generation = GenerationRequest(
                "m", tokens, 30, (PromptSegment(call.call_id, tokens),)
            )
            host = rng.choice(self.hosts)
            self._schedule(at_s, lambda call=call, host=host: self._place(call, host, rng))  # type: ignore[misc]

    def _place(self, call: RelayCall, host: VirtualHost, rng: Random) -> None:
        generation = call.generation
        assert generation is not None
        objective_left_s = call.received_s + call.route.objective_s - self.now_s
        placement = host.placement.place(
            generation, self.engines, call.route.objective_s, objective_left_s, self.now_s
        )
        assert placement is not None
        if self.admission_enabled:
            admission = admit(
                call,
                placement,
                AdmissionOptions(),
                host_count=len(self.hosts),
                rng=rng,
                now_s=self.now_s,
            )
            if admission.action is AdmissionAction.QUEUE:
                self._schedule(
                    self.now_s + QUEUE_CHECK_INTERVAL_S, lambda: self._place(call, host, rng)
                )
                return
            if admission.action is AdmissionAction.REFUSE:
                self.outcomes[call.route.name].refused += 1
                return
        engine = placement.prefill_engine or placement.decode_engine
        is_disaggregated = placement.prefill_engine is not None
        tokens_per_ms = (
            OPTIONS.prefill_tokens_per_ms if is_disaggregated else OPTIONS.decode_tokens_per_ms
        )
        prefill_start_s = max(self.now_s, self._idle_from_s.get(engine.name, 0.0))
        prefill_end_s = prefill_start_s + placement.prefill_cost_tokens / tokens_per_ms / 1000.0
        self._idle_from_s[engine.name] = prefill_end_s
        host.backlog.add_prompt(engine.name, call.call_id, placement.prefill_cost_tokens)
        self._send_load_report(host)
        self._schedule(prefill_end_s, lambda: self._end_prefill(call, host, engine.name))

    def _end_prefill(self, call: RelayCall, host: VirtualHost, engine: str) -> None:
        host.backlog.remove_prompt(engine, call.call_id)
        self._send_load_report(host)
        outcome = self.outcomes[call.route.name]
        time_to_first_token_s = (
            self.now_s - call.received_s + OPTIONS.first_token_overhead_ms / 1000.0
        )
        if time_to_first_token_s <= call.route.objective_s:
            outcome.in_time += 1
        elif time_to_first_token_s <= call.route.stall_timeout_s:
            outcome.late += 1
        else:
            outcome.refused += 1

    def _send_load_report(self, host: VirtualHost) -> None:
        loads = host.backlog.own_loads()

        def deliver() -> None:
            for other in self.hosts:
                if other is not host:
                    other.backlog.on_peer_report(host.name, loads, self.now_s)

        self._schedule(self.now_s + REPORT_DELAY_S, deliver)


def make_engines(prefill_count: int, decode_count: int) -> list[BackendEntry]:
    """Returns prefill and decode engines, all in the data centre `a`."""
    roles = [Role.PREFILL] * prefill_count + [Role.DECODE] * decode_count
    return [
        BackendEntry(
            f"e-{n}", "lm", Address("10.0.0.1", 80 + n), "a", 64, EntryState.READY, role=role
        )
        for n, role in enumerate(roles)
    ]


def make_hosts(host_count: int) -> list[VirtualHost]:
    """Returns hosts in the data centre `a`."""
    return [VirtualHost(f"h-{n}", "a", {"a": "r"}) for n in range(host_count)]

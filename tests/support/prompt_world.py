"""A virtual world of engines that read prompts in turn, and hosts that place them.

Only what binds is modelled: each engine reads its prompts in the order of arrival, hosts hear of
each other's prompts with a delay, and a first token comes when a prompt was read.
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
HELD_CHECK_S: Final = 0.025
ENGINES: Final = EngineProperties(64, 500_000, 163_840, 1_400_000.0, 5.0, 3.0)
POOL: Final = Pool("lm", 370, ENGINES)
OPTIONS: Final = PlacementOptions()


@define
class Kind:
    """A kind of request."""

    route: Route
    per_s: float
    # Mean and spread of the prompt's length.
    tokens: float
    spread: float


@define
class Outcome:
    """What became of the requests of one kind."""

    in_time: int = 0
    late: int = 0
    refused: int = 0

    @property
    def share_in_time(self) -> float:
        """Returns the part of all requests whose first token was in time."""
        return self.in_time / max(1, self.in_time + self.late + self.refused)


class VirtualHost:
    """One host's view and decisions."""

    def __init__(self, name: str, data_centre: str, regions: dict[str, str]) -> None:
        self.name = name
        self.backlog = EngineBacklog()
        self.locations = PrefixCacheIndex()
        self.placement = PredictivePlacementPolicy(
            OPTIONS,
            Topology(Location(data_centre, regions[data_centre]), regions),
            self.backlog,
            self.locations,
            EngineEstimates(),
            BackendHealth(HealthOptions()),
        )
        self.placement.on_pool(ENGINES, 0.3)


@define
class PromptWorld:
    """Engines, hosts and what is to happen, in order of time."""

    seed: int
    engines: list[BackendEntry]
    hosts: list[VirtualHost]
    kinds: list[Kind]
    # Factor on a kind's rate at a time.
    load: Callable[[Kind, float], float]
    # Whether late requests are held back and hopeless ones refused.
    admits: bool = True
    outcomes: dict[str, Outcome] = field(factory=dict)
    now_s: float = 0.0
    _queue: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _order: "count[int]" = field(factory=count)
    # Time at which an engine has read all that it was given.
    _free_s: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Tells the hosts which engines read prompts."""
        readers = [engine for engine in self.engines if engine.role is Role.PREFILL]
        for host in self.hosts:
            host.placement.on_prefill_engines(readers)

    def run(self, length_s: float) -> dict[str, Outcome]:
        """Plays the world and returns what became of each kind."""
        rng = Random(self.seed)
        for kind in self.kinds:
            self.outcomes[kind.route.name] = Outcome()
            self._plan_arrivals(kind, length_s, rng)
        while self._queue:
            self.now_s, _, act = heapq.heappop(self._queue)
            act()
        return self.outcomes

    def _at(self, at_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at_s, next(self._order), act))

    def _plan_arrivals(self, kind: Kind, length_s: float, rng: Random) -> None:
        at_s = 0.0
        while at_s < length_s:
            at_s += rng.expovariate(kind.per_s * max(0.05, self.load(kind, at_s)))
            tokens = max(16, round(kind.tokens * rng.lognormvariate(-0.4, kind.spread)))
            call = RelayCall(
                f"{kind.route.name}-{at_s}", kind.route, POOL, at_s, at_s + 8.0, False, ""
            )
            call.generation = GenerationRequest(
                "m", tokens, 30, (PromptSegment(call.call_id, tokens),)
            )
            host = rng.choice(self.hosts)
            self._at(at_s, lambda call=call, host=host: self._try(call, host, rng))  # type: ignore[misc]

    def _try(self, call: RelayCall, host: VirtualHost, rng: Random) -> None:
        generation = call.generation
        assert generation is not None
        objective_left_s = call.received_s + call.route.objective_s - self.now_s
        placement = host.placement.place(
            generation, self.engines, call.route.objective_s, objective_left_s, self.now_s
        )
        assert placement is not None
        if self.admits:
            admission = admit(
                call,
                placement,
                AdmissionOptions(),
                host_count=len(self.hosts),
                rng=rng,
                now_s=self.now_s,
            )
            if admission.action is AdmissionAction.QUEUE:
                self._at(self.now_s + HELD_CHECK_S, lambda: self._try(call, host, rng))
                return
            if admission.action is AdmissionAction.REFUSE:
                self.outcomes[call.route.name].refused += 1
                return
        engine = placement.prefill_engine or placement.decode_engine
        reads_fast = placement.prefill_engine is not None
        rate = OPTIONS.prefill_tokens_per_ms if reads_fast else OPTIONS.decode_tokens_per_ms
        begin_s = max(self.now_s, self._free_s.get(engine.name, 0.0))
        read_s = begin_s + placement.prefill_cost_tokens / rate / 1000.0
        self._free_s[engine.name] = read_s
        host.backlog.add_prompt(engine.name, call.call_id, placement.prefill_cost_tokens)
        self._tell(host)
        self._at(read_s, lambda: self._finish(call, host, engine.name))

    def _finish(self, call: RelayCall, host: VirtualHost, engine: str) -> None:
        host.backlog.remove_prompt(engine, call.call_id)
        self._tell(host)
        outcome = self.outcomes[call.route.name]
        taken_s = self.now_s - call.received_s + OPTIONS.first_token_ms / 1000.0
        if taken_s <= call.route.objective_s:
            outcome.in_time += 1
        elif taken_s <= call.route.stall_timeout_s:
            outcome.late += 1
        else:
            outcome.refused += 1

    def _tell(self, host: VirtualHost) -> None:
        loads = host.backlog.own_loads()

        def arrive() -> None:
            for other in self.hosts:
                if other is not host:
                    other.backlog.on_peer_report(host.name, loads, self.now_s)

        self._at(self.now_s + REPORT_DELAY_S, arrive)


def make_fleet(readers: int, makers: int) -> list[BackendEntry]:
    """Returns engines of one data centre."""
    roles = [Role.PREFILL] * readers + [Role.DECODE] * makers
    return [
        BackendEntry(
            f"e-{n}", "lm", Address("10.0.0.1", 80 + n), "a", 64, EntryState.READY, role=role
        )
        for n, role in enumerate(roles)
    ]


def make_hosts(number: int) -> list[VirtualHost]:
    """Returns hosts of the engines' data centre."""
    return [VirtualHost(f"h-{n}", "a", {"a": "r"}) for n in range(number)]

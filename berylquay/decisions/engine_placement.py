"""Placement: where the prompt of a request is read and where its tokens are made.

Pattern answered: long prompts and short ones share few engines, and reading prompts binds. A
prefill engine reads two to three times as fast as a decode engine, which reads between the tokens
of its streams, but a prompt read there must be handed over. Each request goes where its first token
is predicted to come in time at the least cost to others: shared parts read again, KV cache moved
far, streams that slow each other. Time within the objective counts little, so that long prompts
gather behind each other and leave some engines free for short ones, which have less time. Shared
parts that another engine keeps are copied from it where that is quicker than to read them again.
"""

from collections import Counter
from collections.abc import Sequence
from hashlib import blake2b
from typing import Final, Protocol

from attrs import define, field, frozen

from berylquay.decisions.backend_health import BackendHealth
from berylquay.decisions.backend_registry import BackendEntry
from berylquay.decisions.engine_backlog import EngineBacklog
from berylquay.decisions.engine_estimates import EngineEstimates
from berylquay.decisions.fleet import Role
from berylquay.decisions.prefix_cache_index import CachedPrefix, PrefixCacheIndex
from berylquay.decisions.relay_call import GenerationRequest
from berylquay.decisions.route_table import EngineProperties
from berylquay.decisions.topology import Topology

MS_PER_S: Final = 1000.0
BITS_PER_BYTE: Final = 8
BYTES_PER_KB: Final = 1000.0
BITS_PER_MS_PER_MBPS: Final = 1000.0


@frozen
class PlacementOptions:
    """Speeds until they are learned, and what other costs weigh against time."""

    # Prompt tokens that a prefill engine reads in a millisecond, its steps counted.
    prefill_tokens_per_ms: float = 52.0
    # The same for a decode engine, which reads in smaller pieces between the tokens of streams.
    decode_tokens_per_ms: float = 20.0
    # Part of a token's reading time that each token before it adds: attention looks back.
    attention_cost_per_token: float = 1.6e-5
    # Time from the request to the first token besides reading.
    first_token_ms: float = 12.0
    # Fixed time of a hand-over between engines.
    kv_transfer_ms: float = 10.0
    # Fixed time of a copy of shared parts from another engine's cache.
    segment_copy_ms: float = 4.0
    # Factors on the time of a move of KV cache between data centres and between regions.
    same_region_transfer_factor: float = 2.0
    cross_region_transfer_factor: float = 10.0
    # Time that reading one token of a shared part again counts for, as it displaces others.
    recompute_penalty_ms_per_token: float = 0.1
    # Time that a move of KV cache between regions counts for besides, for each gigabyte.
    cross_region_transfer_penalty_ms_per_gb: float = 70.0
    # Time that sending a kilobyte to another region counts for besides the round trip.
    cross_region_send_penalty_ms_per_kb: float = 3.5
    # Time that a certain failure counts for.
    failure_penalty_ms: float = 600.0
    # Rate of failures that another host's word of silence stands for.
    reported_unresponsive_failure_rate: float = 0.5
    # Time by which a prompt's home is preferred while no engine is known to keep its parts.
    affinity_bonus_ms: float = 40.0
    # Part of the objective within which a predicted time counts as surely in time.
    safe_time_fraction: float = 0.6
    # Weight of time that is surely in time; later time counts whole.
    safe_time_weight: float = 0.2
    # Part of the prefill engines that is kept quick for requests with little time.
    short_prompt_engine_fraction: float = 0.3
    # A request has more time than most if its objective is this many times the shortest one.
    relaxed_objective_factor: float = 1.6
    # Longest wait and reading together of a request with ample time at an engine kept quick.
    short_prompt_engine_limit_ms: float = 200.0
    # Time that a breach of that bound counts for: any other engine is better.
    short_prompt_engine_penalty_ms: float = 20_000.0
    # Prompt tokens that may wait at a decode engine before its streams pause for too long: about
    # six steps, of the ten or so between two events of a stream.
    decode_engine_backlog_limit_tokens: int = 1600
    # Time that each token beyond the bound counts for.
    excess_backlog_penalty_ms_per_token: float = 0.5
    # Time that a full batch counts for besides, in proportion: each stream slows the others.
    full_batch_penalty_ms: float = 100.0
    # Shortest shared part that has a home.
    affinity_min_tokens: int = 1000


@frozen
class Placement:
    """Where a request should run."""

    # Engine that reads the prompt, or None if the decode engine reads it too.
    prefill_engine: BackendEntry | None
    # Engine that makes the tokens.
    decode_engine: BackendEntry
    # Predicted time from now to the first token.
    first_token_s: float
    # Part of that time for which the prompt waits behind others.
    prefill_wait_s: float
    # Work of reading the prompt, in tokens at the beginning of a prompt.
    prefill_cost_tokens: int
    # Engine from which the reader copies shared parts first, or None.
    copy_from: BackendEntry | None = None


@frozen
class _CopySource:
    """An engine from which shared parts of a prompt can be copied into a data centre."""

    engine: BackendEntry
    # Tokens of the prompt's beginning that it keeps.
    prefix_tokens: int
    # Time of the copy, and what its price counts for.
    copy_ms: float
    penalty_ms: float


@frozen
class _PrefillEstimate:
    """What reading a prompt at an engine takes."""

    wait_ms: float
    # Time of copying shared parts and of reading the others.
    prefill_ms: float
    # Work of reading, in tokens at the beginning of a prompt.
    cost_tokens: int
    # Tokens of shared parts that are read though some engine may have read them before.
    recomputed_tokens: int
    copy_source: _CopySource | None

    @property
    def copy_from(self) -> BackendEntry | None:
        """Returns the engine from which shared parts are copied."""
        return None if self.copy_source is None else self.copy_source.engine

    @property
    def copy_penalty_ms(self) -> float:
        """Returns what the price of the copy counts for."""
        return 0.0 if self.copy_source is None else self.copy_source.penalty_ms


@frozen
class _DecodeEngineCost:
    """What making the tokens counts for at one engine, whoever read the prompt."""

    engine: BackendEntry
    cost_ms: float


class PlacementPolicy(Protocol):
    """Chooses the engines for a request."""

    def place(
        self,
        generation: GenerationRequest,
        engines: Sequence[BackendEntry],
        objective_s: float,
        objective_left_s: float,
        now_s: float,
    ) -> Placement | None:
        """Returns the best placement, or None if no engine can make tokens.

        Args:
            generation: What is asked.
            engines: Engines that may be used.
            objective_s: Time within which a first token is in time, from the request on.
            objective_left_s: The same from now on.
            now_s: Present time.
        """


@define
class PredictivePlacementPolicy:
    """Chooses the placement whose first token is predicted to come first."""

    _options: PlacementOptions
    # Round trips from this host.
    _topology: Topology
    _backlog: EngineBacklog
    _prefix_cache_index: PrefixCacheIndex
    _estimates: EngineEstimates
    _health: BackendHealth
    # What the engines of the pool have in common; set with each configuration.
    _engine_properties: EngineProperties | None = field(default=None, init=False)
    # Shortest objective of the pool's routes.
    _shortest_objective_s: float = field(default=0.0, init=False)
    # Names of the engines that read prompts for others, and of those that are kept quick.
    _prefill_engines: frozenset[str] = field(default=frozenset(), init=False)
    _short_prompt_engines: frozenset[str] = field(default=frozenset(), init=False)

    def on_pool(
        self, engine_properties: EngineProperties | None, shortest_objective_s: float
    ) -> None:
        """Takes what the engines of the pool have in common, and its routes' objectives."""
        self._engine_properties = engine_properties
        self._shortest_objective_s = shortest_objective_s

    def on_prefill_engines(self, prefill_engines: Sequence[BackendEntry]) -> None:
        """Takes the engines that read prompts for others."""
        self._prefill_engines = frozenset(engine.name for engine in prefill_engines)
        count = (
            round(len(prefill_engines) * self._options.short_prompt_engine_fraction)
            if len(prefill_engines) > 1
            else 0
        )
        self._short_prompt_engines = frozenset(_spread_over_data_centres(prefill_engines)[:count])

    def place(
        self,
        generation: GenerationRequest,
        engines: Sequence[BackendEntry],
        objective_s: float,
        objective_left_s: float,
        now_s: float,
    ) -> Placement | None:
        """Returns the best placement, or None if no engine can make tokens."""
        safe_ms = max(0.0, objective_left_s) * MS_PER_S * self._options.safe_time_fraction
        has_relaxed_objective = (
            objective_s > self._shortest_objective_s * self._options.relaxed_objective_factor
        )
        decode_engines = [engine for engine in engines if engine.role is not Role.PREFILL]
        sources = self._copy_sources(generation, engines, now_s)
        best: tuple[float, Placement] | None = None
        for engine in decode_engines:
            source = sources.get(engine.data_centre)
            best = _cheaper(
                best, self._colocated_option(generation, engine, source, safe_ms, now_s)
            )
        if best is None:
            return None
        costs = self._decode_engine_costs_ms(generation, decode_engines, now_s)
        preferred = self._preferred_prefill_engine(generation)
        for engine in engines:
            if engine.role is Role.PREFILL:
                decode_engine = self._best_decode_engine(engine, generation, costs)
                option = self._disaggregated_option(
                    generation,
                    engine,
                    decode_engine,
                    source=sources.get(engine.data_centre),
                    preferred=preferred,
                    safe_ms=safe_ms,
                    now_s=now_s,
                )
                best = _cheaper(
                    best, self._with_short_prompt_penalty(option, engine, has_relaxed_objective)
                )
        return best[1]

    def _with_short_prompt_penalty(
        self,
        option: tuple[float, Placement],
        prefill_engine: BackendEntry,
        has_relaxed_objective: bool,
    ) -> tuple[float, Placement]:
        """Makes an engine kept quick dear for a request that would hold it up for long."""
        cost_ms, placement = option
        rate = self._options.prefill_tokens_per_ms
        occupied_ms = placement.prefill_wait_s * MS_PER_S + placement.prefill_cost_tokens / rate
        if (
            has_relaxed_objective
            and prefill_engine.name in self._short_prompt_engines
            and occupied_ms > self._options.short_prompt_engine_limit_ms
        ):
            cost_ms += self._options.short_prompt_engine_penalty_ms
        return cost_ms, placement

    def decode_engine_for(
        self,
        prefill_engine: BackendEntry,
        generation: GenerationRequest,
        decode_engines: Sequence[BackendEntry],
        now_s: float,
    ) -> BackendEntry | None:
        """Returns the engine to which a prompt's KV cache is handed over at the least cost."""
        if not decode_engines:
            return None
        costs = self._decode_engine_costs_ms(generation, decode_engines, now_s)
        return self._best_decode_engine(prefill_engine, generation, costs)

    def _best_decode_engine(
        self,
        prefill_engine: BackendEntry,
        generation: GenerationRequest,
        costs_ms: list[_DecodeEngineCost],
    ) -> BackendEntry:
        def hand_over_cost(cost: _DecodeEngineCost) -> tuple[float, str]:
            move_ms = self._kv_transfer_ms(generation, prefill_engine, cost.engine)
            price_ms = self._kv_transfer_penalty_ms(generation, prefill_engine, cost.engine)
            return move_ms + price_ms + cost.cost_ms, cost.engine.name

        return min(costs_ms, key=hand_over_cost).engine

    def _decode_engine_costs_ms(
        self, generation: GenerationRequest, decode_engines: Sequence[BackendEntry], now_s: float
    ) -> list[_DecodeEngineCost]:
        """Returns what making the tokens counts for at each engine, whoever read the prompt."""
        return [
            _DecodeEngineCost(
                engine,
                self._send_cost_ms(generation, engine)
                + self._failure_cost_ms(engine, now_s)
                + self._round_trip_ms(engine)
                + self._batch_delay_ms(engine, now_s)
                + self._batch_occupancy_cost_ms(engine, now_s),
            )
            for engine in decode_engines
        ]

    def _copy_sources(
        self, generation: GenerationRequest, engines: Sequence[BackendEntry], now_s: float
    ) -> dict[str, _CopySource]:
        """Returns where to copy the prompt's shared parts from, for each data centre."""
        cached = self._prefix_cache_index.cached_prefixes(generation.segments[:-1], now_s)
        caching_engines = [
            (engine, cached[engine.name]) for engine in engines if engine.name in cached
        ]
        if not caching_engines:
            return {}
        data_centres = {engine.data_centre for engine in engines}
        return {place: self._copy_source(caching_engines, place) for place in data_centres}

    def _copy_source(
        self, caching_engines: list[tuple[BackendEntry, CachedPrefix]], data_centre: str
    ) -> _CopySource:
        """Returns where to copy shared parts from into one data centre."""

        def worth(keeper: tuple[BackendEntry, CachedPrefix]) -> tuple[int, float, float]:
            # The copy used last is the least likely to be evicted, and changes from use to use.
            engine, kept = keeper
            return (
                kept.tokens,
                -self._transfer_factor(engine.data_centre, data_centre),
                kept.least_recent_use_s,
            )

        engine, best = max(caching_engines, key=worth)
        tokens = best.tokens
        transfer_ms = self._transfer_ms(tokens, engine.data_centre, data_centre)
        penalty_ms = self._transfer_penalty_ms(tokens, engine.data_centre, data_centre)
        return _CopySource(engine, tokens, self._options.segment_copy_ms + transfer_ms, penalty_ms)

    def _colocated_option(
        self,
        generation: GenerationRequest,
        engine: BackendEntry,
        source: _CopySource | None,
        safe_ms: float,
        now_s: float,
    ) -> tuple[float, Placement]:
        rate = self._options.decode_tokens_per_ms
        prefill = self._estimate_prefill(generation, engine, rate, source, now_s)
        first_token_ms = (
            self._round_trip_ms(engine)
            + prefill.wait_ms
            + prefill.prefill_ms
            + self._batch_delay_ms(engine, now_s)
        )
        waiting = self._backlog.waiting_prefill_tokens(engine.name, now_s) + prefill.cost_tokens
        excess_tokens = max(0, waiting - self._options.decode_engine_backlog_limit_tokens)
        cost_ms = (
            self._first_token_cost_ms(first_token_ms, safe_ms)
            + self._recompute_cost_ms(prefill, engine, None)
            + self._send_cost_ms(generation, engine)
            + self._failure_cost_ms(engine, now_s)
            + excess_tokens * self._options.excess_backlog_penalty_ms_per_token
            + self._batch_occupancy_cost_ms(engine, now_s)
        )
        return cost_ms, _make_placement(None, engine, first_token_ms, prefill)

    def _disaggregated_option(
        self,
        generation: GenerationRequest,
        prefill_engine: BackendEntry,
        decode_engine: BackendEntry,
        *,
        source: _CopySource | None,
        preferred: str | None,
        safe_ms: float,
        now_s: float,
    ) -> tuple[float, Placement]:
        rate = self._options.prefill_tokens_per_ms
        prefill = self._estimate_prefill(generation, prefill_engine, rate, source, now_s)
        first_token_ms = (
            self._round_trip_ms(prefill_engine)
            + prefill.wait_ms
            + prefill.prefill_ms
            + self._kv_transfer_ms(generation, prefill_engine, decode_engine)
            + self._round_trip_ms(decode_engine)
            + self._batch_delay_ms(decode_engine, now_s)
        )
        cost_ms = (
            self._first_token_cost_ms(first_token_ms, safe_ms)
            + self._recompute_cost_ms(prefill, prefill_engine, preferred)
            + self._send_cost_ms(generation, prefill_engine)
            + self._failure_cost_ms(prefill_engine, now_s)
            + self._send_cost_ms(generation, decode_engine)
            + self._failure_cost_ms(decode_engine, now_s)
            + self._kv_transfer_penalty_ms(generation, prefill_engine, decode_engine)
            + self._batch_occupancy_cost_ms(decode_engine, now_s)
        )
        return cost_ms, _make_placement(prefill_engine, decode_engine, first_token_ms, prefill)

    def _first_token_cost_ms(self, first_token_ms: float, safe_ms: float) -> float:
        """Returns what the time to a first token counts for."""
        within_safe_ms = min(first_token_ms, safe_ms)
        return within_safe_ms * self._options.safe_time_weight + (first_token_ms - within_safe_ms)

    def _estimate_prefill(
        self,
        generation: GenerationRequest,
        engine: BackendEntry,
        tokens_per_ms: float,
        source: _CopySource | None,
        now_s: float,
    ) -> _PrefillEstimate:
        ms_per_token = self._estimates.slowdown(engine.name) / tokens_per_ms
        wait_ms = self._backlog.waiting_prefill_tokens(engine.name, now_s) * ms_per_token
        cached = self._prefix_cache_index.cached_tokens(engine.name, generation.segments, now_s)
        tokens = self._prefill_cost_tokens(generation, cached)
        prefill_ms = tokens * ms_per_token
        if source is not None and source.prefix_tokens > cached:
            tokens_after_copy = self._prefill_cost_tokens(generation, source.prefix_tokens)
            after_copy_ms = source.copy_ms + tokens_after_copy * ms_per_token
            if after_copy_ms + source.penalty_ms < prefill_ms:
                recomputed = generation.shared_tokens - source.prefix_tokens
                return _PrefillEstimate(
                    wait_ms, after_copy_ms, tokens_after_copy, recomputed, source
                )
        recomputed = max(0, generation.shared_tokens - cached)
        return _PrefillEstimate(wait_ms, prefill_ms, tokens, recomputed, None)

    def _prefill_cost_tokens(self, generation: GenerationRequest, cached: int) -> int:
        """Returns the work of reading a prompt, in tokens at the beginning of a prompt."""
        tokens = max(1, generation.prompt_tokens - cached)
        attention_cost = (cached + tokens / 2.0) * self._options.attention_cost_per_token
        return round(tokens * (1.0 + attention_cost))

    def _batch_occupancy_cost_ms(self, engine: BackendEntry, now_s: float) -> float:
        """Returns what one more stream counts for at an engine, by how full its batch is."""
        streams = self._backlog.streams(engine.name, now_s)
        return streams / max(1, engine.slots) * self._options.full_batch_penalty_ms

    def _batch_delay_ms(self, engine: BackendEntry, now_s: float) -> float:
        """Returns the time to a first token in the engine's batch; a full batch makes it wait."""
        slots = max(1, engine.slots)
        fullness = self._backlog.streams(engine.name, now_s) / slots
        queue_ms = max(0.0, fullness - 1.0) * MS_PER_S
        excess_delay_ms = self._estimates.excess_delay_s(engine.name, now_s) * MS_PER_S
        return self._options.first_token_ms * (1.0 + fullness) + queue_ms + excess_delay_ms

    def _recompute_cost_ms(
        self, prefill: _PrefillEstimate, engine: BackendEntry, preferred: str | None
    ) -> float:
        """Returns what having shared parts counts for at an engine that does not keep them."""
        cost_ms = (
            prefill.copy_penalty_ms
            + prefill.recomputed_tokens * self._options.recompute_penalty_ms_per_token
        )
        if prefill.recomputed_tokens and engine.name == preferred:
            cost_ms -= self._options.affinity_bonus_ms
        return cost_ms

    def _preferred_prefill_engine(self, generation: GenerationRequest) -> str | None:
        """Returns the reader that is the home of a prompt's shared parts, if they are long."""
        long_segments = [
            p for p in generation.segments[:-1] if p.tokens >= self._options.affinity_min_tokens
        ]
        if not long_segments:
            return None
        segment_id = long_segments[-1].segment_id
        return max(
            self._prefill_engines,
            key=lambda name: rendezvous_weight(segment_id, name),
            default=None,
        )

    def kv_transfer_to_first_event_s(
        self,
        generation: GenerationRequest,
        prefill_engine: BackendEntry,
        decode_engine: BackendEntry,
        now_s: float,
    ) -> float:
        """Returns the expected time from a hand-over to the first event, known lag not counted."""
        excess_delay_ms = self._estimates.excess_delay_s(decode_engine.name, now_s) * MS_PER_S
        expected_ms = (
            self._kv_transfer_ms(generation, prefill_engine, decode_engine)
            + self._round_trip_ms(decode_engine)
            + self._batch_delay_ms(decode_engine, now_s)
        )
        return (expected_ms - excess_delay_ms) / MS_PER_S

    def _kv_transfer_ms(
        self,
        generation: GenerationRequest,
        prefill_engine: BackendEntry,
        decode_engine: BackendEntry,
    ) -> float:
        transfer_ms = self._transfer_ms(
            generation.prompt_tokens, prefill_engine.data_centre, decode_engine.data_centre
        )
        return self._options.kv_transfer_ms + transfer_ms

    def _transfer_ms(self, tokens: int, source: str, destination: str) -> float:
        """Returns the time of moving the KV cache of tokens from one data centre to another."""
        properties = self._engine_properties
        if properties is None or properties.link_mbps <= 0.0:
            return 0.0
        bits = tokens * properties.kv_bytes_per_token * BITS_PER_BYTE
        transfer_ms = bits / (properties.link_mbps * BITS_PER_MS_PER_MBPS)
        return transfer_ms * self._transfer_factor(source, destination)

    def _transfer_factor(self, source: str, destination: str) -> float:
        if source == destination:
            return 1.0
        if self._region(source) == self._region(destination):
            return self._options.same_region_transfer_factor
        return self._options.cross_region_transfer_factor

    def _kv_transfer_penalty_ms(
        self,
        generation: GenerationRequest,
        prefill_engine: BackendEntry,
        decode_engine: BackendEntry,
    ) -> float:
        return self._transfer_penalty_ms(
            generation.prompt_tokens, prefill_engine.data_centre, decode_engine.data_centre
        )

    def _transfer_penalty_ms(self, tokens: int, source: str, destination: str) -> float:
        """Returns what moving the KV cache of tokens between data centres counts for besides."""
        properties = self._engine_properties
        if properties is None or self._region(source) == self._region(destination):
            return 0.0
        return (
            tokens
            * properties.kv_bytes_per_token
            / 1e9
            * self._options.cross_region_transfer_penalty_ms_per_gb
        )

    def _failure_cost_ms(self, engine: BackendEntry, now_s: float) -> float:
        """Returns what the engine's recent failures count for, here and at other hosts."""
        rate = self._health.failure_rate(engine.name)
        if self._health.is_reported_unresponsive(engine.name, now_s):
            rate += self._options.reported_unresponsive_failure_rate
        return rate * self._options.failure_penalty_ms

    def _send_cost_ms(self, generation: GenerationRequest, engine: BackendEntry) -> float:
        """Returns what sending the request to the engine counts for."""
        if self._region(engine.data_centre) == self._topology.location.region:
            return 0.0
        return (
            generation.request_bytes
            / BYTES_PER_KB
            * self._options.cross_region_send_penalty_ms_per_kb
        )

    def _round_trip_ms(self, engine: BackendEntry) -> float:
        return self._topology.round_trip_ms(engine.data_centre)

    def _region(self, data_centre: str) -> str:
        return self._topology.region_of(data_centre)


def rendezvous_weight(segment_id: str, engine: str) -> int:
    """Returns the weight of an engine for a part; the engine with the highest is its home."""
    return int.from_bytes(blake2b(f"{segment_id}|{engine}".encode(), digest_size=6).digest(), "big")


def _make_placement(
    prefill_engine: BackendEntry | None,
    decode_engine: BackendEntry,
    first_token_ms: float,
    prefill: _PrefillEstimate,
) -> Placement:
    return Placement(
        prefill_engine,
        decode_engine,
        first_token_ms / MS_PER_S,
        prefill.wait_ms / MS_PER_S,
        prefill.cost_tokens,
        prefill.copy_from,
    )


def _spread_over_data_centres(engines: Sequence[BackendEntry]) -> list[str]:
    """Returns the engines' names so that the first ones stand in different data centres."""
    seen: Counter[str] = Counter()
    ranked = []
    for engine in sorted(engines, key=lambda engine: engine.name):
        ranked.append((seen[engine.data_centre], engine.data_centre, engine.name))
        seen[engine.data_centre] += 1
    return [name for _, _, name in sorted(ranked)]


def _cheaper(
    best: tuple[float, Placement] | None, other: tuple[float, Placement]
) -> tuple[float, Placement]:
    return other if best is None or other[0] < best[0] else best

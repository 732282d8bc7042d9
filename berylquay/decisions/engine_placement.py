"""Placement of requests: which engine prefills a prompt and which one decodes.

Designed for long and short prompts that share few engines, where prefill is the bottleneck. A
prefill engine prefills two to three times as fast as a decode engine, which prefills between the
tokens of its streams, but disaggregated prefill needs a KV cache transfer. Each request goes where
its first token is predicted to come in time at the least cost to others: shared prefix segments
prefilled again, KV cache transferred between regions, streams that slow each other. Time well
within the objective has a low weight, so that long prompts queue behind each other and leave some
engines free for short ones, which have less time. Segments that another engine caches are copied
from it where that is faster than prefilling them again.
"""

from collections import Counter
from collections.abc import Sequence
from typing import Final, Protocol

from attrs import define, field, frozen

from berylquay.decisions.backend_health import BackendHealth
from berylquay.decisions.backend_registry import BackendEntry
from berylquay.decisions.engine_backlog import EngineBacklog
from berylquay.decisions.engine_estimates import EngineEstimates
from berylquay.decisions.fleet import Role
from berylquay.decisions.kv_transfer_costs import KVTransferCosts, KVTransferOptions
from berylquay.decisions.load_spreading import LoadSpreading
from berylquay.decisions.prefix_cache_index import CachedPrefix, PrefixCacheIndex
from berylquay.decisions.relay_call import GenerationRequest
from berylquay.decisions.rendezvous import rendezvous_weight
from berylquay.decisions.route_table import EngineProperties
from berylquay.decisions.topology import Topology

MS_PER_S: Final = 1000.0
BYTES_PER_KB: Final = 1000.0


@frozen
class PlacementOptions:
    """Initial speed estimates, and the weights of other costs against time.

    Penalties are in milliseconds: the added latency that they are equivalent to.
    """

    # Prompt tokens that a prefill engine prefills in a millisecond, the overhead of steps included.
    prefill_tokens_per_ms: float = 52.0
    # The same for a decode engine, which prefills in smaller chunks between the tokens of streams.
    decode_tokens_per_ms: float = 20.0
    # Fraction of a token's prefill time that each token before it adds (attention cost).
    attention_cost_per_token: float = 1.6e-5
    # Time from the request to the first token, without prefill.
    first_token_overhead_ms: float = 12.0
    # Fixed part of the time of a KV cache transfer between engines.
    kv_transfer_fixed_ms: float = 10.0
    # Fixed part of the time of a copy of prefix segments from another engine's cache.
    segment_copy_fixed_ms: float = 4.0
    # Penalty for prefilling a token of a shared segment again, as it displaces others.
    recompute_penalty_ms_per_token: float = 0.1
    # Time by which a copy of a segment may be slower than prefilling it again, for each token of
    # the segment: a copy leaves the engine free for other prompts.
    copy_preference_ms_per_token: float = 0.05
    # Times and penalties of transfers of KV cache between data centres.
    kv_transfers: KVTransferOptions = KVTransferOptions()
    # Penalty for each kilobyte sent to another region, besides the round trip.
    cross_region_send_penalty_ms_per_kb: float = 3.5
    # Penalty for a failure rate of 1; a lower rate is charged in proportion.
    failure_penalty_ms: float = 600.0
    # Failure rate added while another host reports the engine as unresponsive.
    reported_unresponsive_failure_rate: float = 0.5
    # Reduction of the cost of a prompt's preferred prefill engine while shared segments have to be
    # prefilled again.
    affinity_bonus_ms: float = 40.0
    # Fraction of the time left within which a predicted first token is in time with a safety
    # margin.
    safe_time_fraction: float = 0.6
    # Weight of the time within that safety margin; time beyond it has the weight 1.
    safe_time_weight: float = 0.2
    # Fraction of the prefill engines reserved for short prompts and requests with little time.
    short_prompt_engine_fraction: float = 0.3
    # An objective longer than the shortest one by more than this factor counts as relaxed.
    relaxed_objective_factor: float = 1.6
    # Longest wait plus prefill time of a request with a relaxed objective at a reserved engine.
    short_prompt_engine_limit_ms: float = 200.0
    # Penalty for exceeding that limit; so high that any other engine is preferred.
    short_prompt_engine_penalty_ms: float = 20_000.0
    # Prompt tokens that may wait for prefill at a decode engine before its streams pause for too
    # long: about six steps, of the ten or so between two events of a stream.
    decode_engine_backlog_limit_tokens: int = 1600
    # Penalty for each token beyond that limit.
    excess_backlog_penalty_ms_per_token: float = 0.5
    # Penalty for a full batch, charged in proportion to occupancy: each stream slows the others.
    full_batch_penalty_ms: float = 100.0
    # Shortest shared segment for which an engine is preferred.
    affinity_min_tokens: int = 1000


@frozen
class Placement:
    """Where a request should run."""

    # Engine that prefills the prompt, or None if the decode engine does so itself.
    prefill_engine: BackendEntry | None
    # Engine that decodes.
    decode_engine: BackendEntry
    # Predicted time from now to the first token.
    first_token_s: float
    # Part of that time for which the prompt waits for the prefill of others.
    prefill_wait_s: float
    # Prefill cost of the prompt, as the equivalent number of tokens at the start of a prompt.
    prefill_cost_tokens: int
    # Engine whose cached segments are copied before the prefill, or None.
    copy_from: BackendEntry | None = None


@frozen
class _CopySource:
    """An engine from which prefix segments can be copied to engines of one data centre."""

    engine: BackendEntry
    # Tokens of the prefix that it caches.
    prefix_tokens: int
    # Time of the copy, and the penalty for crossing regions.
    copy_ms: float
    penalty_ms: float


@frozen
class _PrefillEstimate:
    """Predicted times and costs of prefilling a prompt at an engine."""

    wait_ms: float
    # Time of copying cached segments, if any are copied, and of prefilling the rest.
    prefill_ms: float
    # Prefill cost, as the equivalent number of tokens at the start of a prompt.
    cost_tokens: int
    # Tokens of shared segments that are prefilled, though another engine may have cached them.
    recomputed_tokens: int
    copy_source: _CopySource | None

    @property
    def copy_from(self) -> BackendEntry | None:
        """Returns the engine from which segments are copied, or None."""
        return None if self.copy_source is None else self.copy_source.engine

    @property
    def copy_penalty_ms(self) -> float:
        """Returns the penalty for the copy; 0 if nothing is copied."""
        return 0.0 if self.copy_source is None else self.copy_source.penalty_ms


@frozen
class _DecodeEngineCost:
    """Cost of decoding at one engine, whichever engine prefills the prompt."""

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
        *,
        copy_sources: Sequence[BackendEntry] = (),
    ) -> Placement | None:
        """Returns the best placement, or None if there is no engine that decodes.

        Args:
            generation: The request.
            engines: Engines that may be used.
            objective_s: Objective for the time to the first token, from the arrival of the request.
            objective_left_s: What is left of it; it may be negative.
            now_s: Present time.
            copy_sources: Further engines from which cached segments may be copied.
        """


@define
class PredictivePlacementPolicy:
    """Chooses the placement with the lowest cost by its predicted first token and penalties."""

    _options: PlacementOptions
    # Round-trip times from this host.
    _topology: Topology
    _backlog: EngineBacklog
    _prefix_cache_index: PrefixCacheIndex
    _estimates: EngineEstimates
    _health: BackendHealth
    # Spreads prompts that several hosts place at the same moment; None to use the best engine.
    _spreading: LoadSpreading | None = None
    _transfers: KVTransferCosts = field(init=False)
    # Shortest objective of the pool's routes.
    _shortest_objective_s: float = field(default=0.0, init=False)
    # Names of the prefill engines that are reserved for short prompts.
    _short_prompt_engines: frozenset[str] = field(default=frozenset(), init=False)

    def __attrs_post_init__(self) -> None:
        """Starts without knowledge of the pool's engines."""
        self._transfers = KVTransferCosts(self._options.kv_transfers, self._topology)

    def on_pool(
        self, engine_properties: EngineProperties | None, shortest_objective_s: float
    ) -> None:
        """Sets the properties of the pool's engines and the shortest objective of its routes."""
        self._transfers.properties = engine_properties
        self._shortest_objective_s = shortest_objective_s

    def on_prefill_engines(self, prefill_engines: Sequence[BackendEntry]) -> None:
        """Sets the prefill engines and chooses those that are reserved for short prompts."""
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
        *,
        copy_sources: Sequence[BackendEntry] = (),
    ) -> Placement | None:
        """Returns the best placement, or None if there is no engine that decodes."""
        safe_ms = max(0.0, objective_left_s) * MS_PER_S * self._options.safe_time_fraction
        has_relaxed_objective = (
            objective_s > self._shortest_objective_s * self._options.relaxed_objective_factor
        )
        decode_engines = [engine for engine in engines if engine.role is not Role.PREFILL]
        sources = self._copy_sources(generation, engines, copy_sources, now_s)
        options = [
            self._colocated_option(
                generation, engine, sources.get(engine.data_centre), safe_ms, now_s
            )
            for engine in decode_engines
        ]
        if not options:
            return None
        costs = self._decode_engine_costs_ms(generation, decode_engines, now_s)
        preferred = self._preferred_prefill_engine(generation, engines)
        # The transfer depends on the data centres alone, so one choice serves all prefill engines
        # of a data centre.
        decode_engine_by_data_centre: dict[str, BackendEntry] = {}
        for engine in engines:
            if engine.role is Role.PREFILL:
                decode_engine = decode_engine_by_data_centre.get(engine.data_centre)
                if decode_engine is None:
                    decode_engine = self._best_decode_engine(engine, generation, costs)
                    decode_engine_by_data_centre[engine.data_centre] = decode_engine
                option = self._disaggregated_option(
                    generation,
                    engine,
                    decode_engine,
                    source=sources.get(engine.data_centre),
                    preferred=preferred,
                    safe_ms=safe_ms,
                    now_s=now_s,
                )
                options.append(
                    self._with_short_prompt_penalty(option, engine, has_relaxed_objective)
                )
        return self._choose(options, now_s)

    def on_group_size(self, host_count: int) -> None:
        """Sets the number of hosts that place prompts at the same engines, this one included."""
        if self._spreading is not None:
            self._spreading.host_count = host_count

    def on_placed(self, placement: Placement, now_s: float) -> None:
        """Records that this host has sent a prompt where it was placed."""
        if self._spreading is not None:
            self._spreading.on_placed(self._prefill_work_ms(placement), now_s)

    def _choose(self, options: Sequence[tuple[float, Placement]], now_s: float) -> Placement:
        """Returns the placement with the least cost, or one near it if other hosts place too."""
        best = min(range(len(options)), key=lambda index: options[index][0])
        if self._spreading is not None:
            work_ms = self._prefill_work_ms(options[best][1])
            best = self._spreading.choose([cost_ms for cost_ms, _ in options], work_ms, now_s)
        return options[best][1]

    def _prefill_work_ms(self, placement: Placement) -> float:
        """Returns how long the prompt occupies the engine that prefills it."""
        options = self._options
        is_disaggregated = placement.prefill_engine is not None
        rate = options.prefill_tokens_per_ms if is_disaggregated else options.decode_tokens_per_ms
        return placement.prefill_cost_tokens / rate

    def is_crowded(self, placement: Placement, objective_left_s: float, now_s: float) -> bool:
        """Tells whether a placement is a reason to consider engines of other regions.

        Args:
            placement: Best placement at the engines nearby.
            objective_left_s: What is left of the objective for the first token.
            now_s: Present time.
        """
        decode_engine = placement.decode_engine
        if self._backlog.streams(decode_engine.name, now_s) >= decode_engine.slots:
            return True
        return placement.first_token_s > objective_left_s * self._options.safe_time_fraction

    def _with_short_prompt_penalty(
        self,
        option: tuple[float, Placement],
        prefill_engine: BackendEntry,
        has_relaxed_objective: bool,
    ) -> tuple[float, Placement]:
        """Adds a penalty if a request with a relaxed objective would occupy a reserved engine."""
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
        """Returns the engine that decodes at the least cost after a KV cache transfer, or None.

        None if `decode_engines` is empty.
        """
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
        def total_cost(cost: _DecodeEngineCost) -> tuple[float, str]:
            transfer_ms = self._kv_transfer_ms(generation, prefill_engine, cost.engine)
            penalty_ms = self._kv_transfer_penalty_ms(generation, prefill_engine, cost.engine)
            return transfer_ms + penalty_ms + cost.cost_ms, cost.engine.name

        return min(costs_ms, key=total_cost).engine

    def _decode_engine_costs_ms(
        self, generation: GenerationRequest, decode_engines: Sequence[BackendEntry], now_s: float
    ) -> list[_DecodeEngineCost]:
        """Returns the cost of decoding at each engine, whichever engine prefills the prompt."""
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
        self,
        generation: GenerationRequest,
        engines: Sequence[BackendEntry],
        further_sources: Sequence[BackendEntry],
        now_s: float,
    ) -> dict[str, _CopySource]:
        """Returns the best engine to copy cached segments from, by data centre of the target.

        Empty if no engine is assumed to cache any.
        """
        cached = self._prefix_cache_index.cached_prefixes(generation.segments[:-1], now_s)
        if not cached:
            return {}
        by_name = {engine.name: engine for engine in (*further_sources, *engines)}
        caching_engines = [
            (by_name[name], prefix) for name, prefix in cached.items() if name in by_name
        ]
        if not caching_engines:
            return {}
        data_centres = {engine.data_centre for engine in engines}
        return {
            data_centre: self._copy_source(caching_engines, data_centre)
            for data_centre in data_centres
        }

    def _copy_source(
        self, caching_engines: list[tuple[BackendEntry, CachedPrefix]], data_centre: str
    ) -> _CopySource:
        """Returns the best engine to copy cached segments from into one data centre."""

        def preference(candidate: tuple[BackendEntry, CachedPrefix]) -> tuple[int, float, float]:
            # The most recently used copy is the least likely to be evicted, and choosing it
            # varies the source from use to use.
            engine, cached = candidate
            return (
                cached.tokens,
                -self._transfers.time_factor(engine.data_centre, data_centre),
                cached.least_recent_use_s,
            )

        engine, best = max(caching_engines, key=preference)
        tokens = best.tokens
        transfer_ms = self._transfers.transfer_ms(tokens, engine.data_centre, data_centre)
        penalty_ms = self._transfers.penalty_ms(tokens, engine.data_centre, data_centre)
        return _CopySource(
            engine, tokens, self._options.segment_copy_fixed_ms + transfer_ms, penalty_ms
        )

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
        """Returns the cost of the time to a first token, with a low weight within `safe_ms`."""
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
            recomputed = generation.shared_tokens - source.prefix_tokens
            copied_tokens = source.prefix_tokens - cached
            preference_ms = copied_tokens * self._options.copy_preference_ms_per_token
            if after_copy_ms + source.penalty_ms < prefill_ms + preference_ms:
                return _PrefillEstimate(
                    wait_ms, after_copy_ms, tokens_after_copy, recomputed, source
                )
        recomputed = max(0, generation.shared_tokens - cached)
        return _PrefillEstimate(wait_ms, prefill_ms, tokens, recomputed, None)

    def _prefill_cost_tokens(self, generation: GenerationRequest, cached: int) -> int:
        """Returns the cost of prefilling the tokens that are not cached.

        It is given as the equivalent number of tokens at the start of a prompt: later tokens cost
        more, as attention covers all tokens before them.
        """
        tokens = max(1, generation.prompt_tokens - cached)
        attention_cost = (cached + tokens / 2.0) * self._options.attention_cost_per_token
        return round(tokens * (1.0 + attention_cost))

    def _batch_occupancy_cost_ms(self, engine: BackendEntry, now_s: float) -> float:
        """Returns the cost of one more stream at an engine, by the occupancy of its batch."""
        streams = self._backlog.streams(engine.name, now_s)
        return streams / max(1, engine.slots) * self._options.full_batch_penalty_ms

    def _batch_delay_ms(self, engine: BackendEntry, now_s: float) -> float:
        """Returns the time from a prefilled prompt to its first token in the engine's batch.

        A batch that is more than full adds a queueing delay.
        """
        slots = max(1, engine.slots)
        occupancy = self._backlog.streams(engine.name, now_s) / slots
        queue_ms = max(0.0, occupancy - 1.0) * MS_PER_S
        excess_delay_ms = self._estimates.excess_delay_s(engine.name, now_s) * MS_PER_S
        return (
            self._options.first_token_overhead_ms * (1.0 + occupancy) + queue_ms + excess_delay_ms
        )

    def _recompute_cost_ms(
        self, prefill: _PrefillEstimate, engine: BackendEntry, preferred: str | None
    ) -> float:
        """Returns the cost of copying shared segments or prefilling them again at an engine."""
        cost_ms = (
            prefill.copy_penalty_ms
            + prefill.recomputed_tokens * self._options.recompute_penalty_ms_per_token
        )
        if prefill.recomputed_tokens and engine.name == preferred:
            cost_ms -= self._options.affinity_bonus_ms
        return cost_ms

    def _preferred_prefill_engine(
        self, generation: GenerationRequest, engines: Sequence[BackendEntry]
    ) -> str | None:
        """Returns the prefill engine preferred for the last long shared segment of a prompt.

        None if no shared segment is long or there is no prefill engine. An engine that this host
        does not use is never preferred, so that a segment has one in each region.
        """
        long_segments = [
            segment
            for segment in generation.segments[:-1]
            if segment.tokens >= self._options.affinity_min_tokens
        ]
        if not long_segments:
            return None
        segment_id = long_segments[-1].segment_id
        return max(
            (engine.name for engine in engines if engine.role is Role.PREFILL),
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
        """Returns the expected time from the start of a KV cache transfer to the first event.

        The excess delay learned for the decode engine is left out.
        """
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
        transfer_ms = self._transfers.transfer_ms(
            generation.prompt_tokens, prefill_engine.data_centre, decode_engine.data_centre
        )
        return self._options.kv_transfer_fixed_ms + transfer_ms

    def _kv_transfer_penalty_ms(
        self,
        generation: GenerationRequest,
        prefill_engine: BackendEntry,
        decode_engine: BackendEntry,
    ) -> float:
        return self._transfers.penalty_ms(
            generation.prompt_tokens, prefill_engine.data_centre, decode_engine.data_centre
        )

    def _failure_cost_ms(self, engine: BackendEntry, now_s: float) -> float:
        """Returns the penalty for recent failures of the engine, seen here or by other hosts."""
        rate = self._health.failure_rate(engine.name)
        if self._health.is_reported_unresponsive(engine.name, now_s):
            rate += self._options.reported_unresponsive_failure_rate
        return rate * self._options.failure_penalty_ms

    def _send_cost_ms(self, generation: GenerationRequest, engine: BackendEntry) -> float:
        """Returns the penalty for sending the request to an engine in another region."""
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
    """Returns the names of the engines, ordered round-robin over their data centres."""
    seen: Counter[str] = Counter()
    ranked = []
    for engine in sorted(engines, key=lambda engine: engine.name):
        ranked.append((seen[engine.data_centre], engine.data_centre, engine.name))
        seen[engine.data_centre] += 1
    return [name for _, _, name in sorted(ranked)]

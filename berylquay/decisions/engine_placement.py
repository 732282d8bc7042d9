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
from berylquay.decisions.distances import Distances
from berylquay.decisions.engine_backlog import EngineBacklog
from berylquay.decisions.engine_speeds import EngineSpeeds
from berylquay.decisions.fleet import Role
from berylquay.decisions.part_locations import KeptParts, PartLocations
from berylquay.decisions.relay_call import Generation
from berylquay.decisions.route_table import EnginePool

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
    look_back_per_token: float = 1.6e-5
    # Time from the request to the first token besides reading.
    first_token_ms: float = 12.0
    # Fixed time of a hand-over between engines.
    hand_over_ms: float = 10.0
    # Fixed time of a copy of shared parts from another engine's cache.
    copy_ms: float = 4.0
    # Factors on the time of a move of KV cache between data centres and between regions.
    region_move_factor: float = 2.0
    far_move_factor: float = 10.0
    # Time that reading one token of a shared part again counts for, as it displaces others.
    reread_ms_per_token: float = 0.1
    # Time that a move of KV cache between regions counts for besides, for each gigabyte.
    far_move_ms_per_gb: float = 70.0
    # Time that sending a kilobyte to another region counts for besides the round trip.
    far_send_ms_per_kb: float = 3.5
    # Time that a certain failure counts for.
    failure_ms: float = 600.0
    # Rate of failures that another host's word of silence stands for.
    suspicion_rate: float = 0.5
    # Time by which a prompt's home is preferred while no engine is known to keep its parts.
    home_bonus_ms: float = 40.0
    # Part of the objective within which a predicted time counts as surely in time.
    sure_share: float = 0.6
    # Weight of time that is surely in time; later time counts whole.
    sure_weight: float = 0.2
    # Part of the prefill engines that is kept quick for requests with little time.
    quick_share: float = 0.3
    # A request has more time than most if its objective is this many times the shortest one.
    ample_objectives: float = 1.6
    # Longest wait and reading together of a request with ample time at an engine kept quick.
    quick_bound_ms: float = 200.0
    # Time that a breach of that bound counts for: any other engine is better.
    quick_breach_ms: float = 20_000.0
    # Prompt tokens that may wait at a decode engine before its streams pause for too long: about
    # six steps, of the ten or so between two events of a stream.
    decode_read_bound_tokens: int = 1600
    # Time that each token beyond the bound counts for.
    beyond_bound_ms_per_token: float = 0.5
    # Time that a full batch counts for besides, in proportion: each stream slows the others.
    full_batch_ms: float = 100.0
    # Shortest shared part that has a home.
    home_min_tokens: int = 1000


@frozen
class Placement:
    """Where a request should run."""

    # Engine that reads the prompt, or None if the decode engine reads it too.
    prefill: BackendEntry | None
    # Engine that makes the tokens.
    decode: BackendEntry
    # Predicted time from now to the first token.
    first_token_s: float
    # Part of that time for which the prompt waits behind others.
    wait_s: float
    # Work of reading the prompt, in tokens at the beginning of a prompt.
    tokens_to_read: int
    # Engine from which the reader copies shared parts first, or None.
    copy_from: BackendEntry | None = None


@frozen
class _Source:
    """An engine from which shared parts of a prompt can be copied into a data centre."""

    engine: BackendEntry
    # Tokens of the prompt's beginning that it keeps.
    tokens: int
    # Time of the copy, and what its price counts for.
    copy_ms: float
    price_ms: float


@frozen
class _Reading:
    """What reading a prompt at an engine takes."""

    wait_ms: float
    # Time of copying shared parts and of reading the others.
    read_ms: float
    # Work of reading, in tokens at the beginning of a prompt.
    tokens: int
    # Tokens of shared parts that are read though some engine may have read them before.
    shared_tokens: int
    source: _Source | None

    @property
    def copy_from(self) -> BackendEntry | None:
        """Returns the engine from which shared parts are copied."""
        return None if self.source is None else self.source.engine

    @property
    def price_ms(self) -> float:
        """Returns what the price of the copy counts for."""
        return 0.0 if self.source is None else self.source.price_ms


@frozen
class _DecoderCost:
    """What making the tokens counts for at one engine, whoever read the prompt."""

    engine: BackendEntry
    cost_ms: float


class PlacementPolicy(Protocol):
    """Chooses the engines for a request."""

    def place(
        self,
        generation: Generation,
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
class PredictedPlacement:
    """Chooses the placement whose first token is predicted to come first."""

    _options: PlacementOptions
    # Round trips from this host.
    _distances: Distances
    _backlog: EngineBacklog
    _locations: PartLocations
    _speeds: EngineSpeeds
    _health: BackendHealth
    # What the engines of the pool have in common; set with each configuration.
    _pool: EnginePool | None = field(default=None, init=False)
    # Shortest objective of the pool's routes.
    _shortest_objective_s: float = field(default=0.0, init=False)
    # Names of the engines that read prompts for others, and of those that are kept quick.
    _readers: frozenset[str] = field(default=frozenset(), init=False)
    _quick: frozenset[str] = field(default=frozenset(), init=False)

    def on_pool(self, pool: EnginePool | None, shortest_objective_s: float) -> None:
        """Takes what the engines of the pool have in common, and its routes' objectives."""
        self._pool = pool
        self._shortest_objective_s = shortest_objective_s

    def on_readers(self, readers: Sequence[BackendEntry]) -> None:
        """Takes the engines that read prompts for others."""
        self._readers = frozenset(engine.name for engine in readers)
        count = round(len(readers) * self._options.quick_share) if len(readers) > 1 else 0
        self._quick = frozenset(_one_of_each_place(readers)[:count])

    def place(
        self,
        generation: Generation,
        engines: Sequence[BackendEntry],
        objective_s: float,
        objective_left_s: float,
        now_s: float,
    ) -> Placement | None:
        """Returns the best placement, or None if no engine can make tokens."""
        sure_ms = max(0.0, objective_left_s) * MS_PER_S * self._options.sure_share
        ample = objective_s > self._shortest_objective_s * self._options.ample_objectives
        decoders = [engine for engine in engines if engine.role is not Role.PREFILL]
        sources = self._sources(generation, engines, now_s)
        best: tuple[float, Placement] | None = None
        for engine in decoders:
            source = sources.get(engine.data_centre)
            best = _cheaper(best, self._whole(generation, engine, source, sure_ms, now_s))
        if best is None:
            return None
        costs = self._decoder_costs_ms(generation, decoders, now_s)
        home = self._home(generation)
        for engine in engines:
            if engine.role is Role.PREFILL:
                decoder = self._best_decoder(engine, generation, costs)
                option = self._split(
                    generation,
                    engine,
                    decoder,
                    source=sources.get(engine.data_centre),
                    home=home,
                    sure_ms=sure_ms,
                    now_s=now_s,
                )
                best = _cheaper(best, self._keep_quick(option, engine, ample))
        return best[1]

    def _keep_quick(
        self, option: tuple[float, Placement], reader: BackendEntry, ample: bool
    ) -> tuple[float, Placement]:
        """Makes an engine kept quick dear for a request that would hold it up for long."""
        cost_ms, placement = option
        rate = self._options.prefill_tokens_per_ms
        held_ms = placement.wait_s * MS_PER_S + placement.tokens_to_read / rate
        if ample and reader.name in self._quick and held_ms > self._options.quick_bound_ms:
            cost_ms += self._options.quick_breach_ms
        return cost_ms, placement

    def decoder_for(
        self,
        reader: BackendEntry,
        generation: Generation,
        decoders: Sequence[BackendEntry],
        now_s: float,
    ) -> BackendEntry | None:
        """Returns the engine to which a prompt's KV cache is handed over at the least cost."""
        if not decoders:
            return None
        costs = self._decoder_costs_ms(generation, decoders, now_s)
        return self._best_decoder(reader, generation, costs)

    def _best_decoder(
        self, reader: BackendEntry, generation: Generation, costs_ms: list[_DecoderCost]
    ) -> BackendEntry:
        def hand_over_cost(cost: _DecoderCost) -> tuple[float, str]:
            move_ms = self._move_ms(generation, reader, cost.engine)
            price_ms = self._move_price_ms(generation, reader, cost.engine)
            return move_ms + price_ms + cost.cost_ms, cost.engine.name

        return min(costs_ms, key=hand_over_cost).engine

    def _decoder_costs_ms(
        self, generation: Generation, decoders: Sequence[BackendEntry], now_s: float
    ) -> list[_DecoderCost]:
        """Returns what making the tokens counts for at each engine, whoever read the prompt."""
        return [
            _DecoderCost(
                engine,
                self._send_cost_ms(generation, engine)
                + self._failure_cost_ms(engine, now_s)
                + self._round_trip_ms(engine)
                + self._batch_ms(engine, now_s)
                + self._crowding_ms(engine, now_s),
            )
            for engine in decoders
        ]

    def _sources(
        self, generation: Generation, engines: Sequence[BackendEntry], now_s: float
    ) -> dict[str, _Source]:
        """Returns where to copy the prompt's shared parts from, for each data centre."""
        kept = self._locations.keepers(generation.parts[:-1], now_s)
        keepers = [(engine, kept[engine.name]) for engine in engines if engine.name in kept]
        if not keepers:
            return {}
        places = {engine.data_centre for engine in engines}
        return {place: self._source(keepers, place) for place in places}

    def _source(self, keepers: list[tuple[BackendEntry, KeptParts]], place: str) -> _Source:
        """Returns where to copy shared parts from into one data centre."""

        def worth(keeper: tuple[BackendEntry, KeptParts]) -> tuple[int, float, float]:
            # The copy used last is the least likely to be evicted, and changes from use to use.
            engine, kept = keeper
            return kept.tokens, -self._move_factor(engine.data_centre, place), kept.used_s

        engine, best = max(keepers, key=worth)
        tokens = best.tokens
        move_ms = self._transfer_ms(tokens, engine.data_centre, place)
        price_ms = self._transfer_price_ms(tokens, engine.data_centre, place)
        return _Source(engine, tokens, self._options.copy_ms + move_ms, price_ms)

    def _whole(
        self,
        generation: Generation,
        engine: BackendEntry,
        source: _Source | None,
        sure_ms: float,
        now_s: float,
    ) -> tuple[float, Placement]:
        rate = self._options.decode_tokens_per_ms
        reading = self._read(generation, engine, rate, source, now_s)
        first_ms = (
            self._round_trip_ms(engine)
            + reading.wait_ms
            + reading.read_ms
            + self._batch_ms(engine, now_s)
        )
        waiting = self._backlog.waiting_tokens(engine.name, now_s) + reading.tokens
        beyond = max(0, waiting - self._options.decode_read_bound_tokens)
        cost_ms = (
            self._time_cost_ms(first_ms, sure_ms)
            + self._reread_cost_ms(reading, engine, None)
            + self._send_cost_ms(generation, engine)
            + self._failure_cost_ms(engine, now_s)
            + beyond * self._options.beyond_bound_ms_per_token
            + self._crowding_ms(engine, now_s)
        )
        return cost_ms, _placement(None, engine, first_ms, reading)

    def _split(
        self,
        generation: Generation,
        reader: BackendEntry,
        decoder: BackendEntry,
        *,
        source: _Source | None,
        home: str | None,
        sure_ms: float,
        now_s: float,
    ) -> tuple[float, Placement]:
        rate = self._options.prefill_tokens_per_ms
        reading = self._read(generation, reader, rate, source, now_s)
        first_ms = (
            self._round_trip_ms(reader)
            + reading.wait_ms
            + reading.read_ms
            + self._move_ms(generation, reader, decoder)
            + self._round_trip_ms(decoder)
            + self._batch_ms(decoder, now_s)
        )
        cost_ms = (
            self._time_cost_ms(first_ms, sure_ms)
            + self._reread_cost_ms(reading, reader, home)
            + self._send_cost_ms(generation, reader)
            + self._failure_cost_ms(reader, now_s)
            + self._send_cost_ms(generation, decoder)
            + self._failure_cost_ms(decoder, now_s)
            + self._move_price_ms(generation, reader, decoder)
            + self._crowding_ms(decoder, now_s)
        )
        return cost_ms, _placement(reader, decoder, first_ms, reading)

    def _time_cost_ms(self, first_ms: float, sure_ms: float) -> float:
        """Returns what the time to a first token counts for."""
        sure = min(first_ms, sure_ms)
        return sure * self._options.sure_weight + (first_ms - sure)

    def _read(
        self,
        generation: Generation,
        engine: BackendEntry,
        rate: float,
        source: _Source | None,
        now_s: float,
    ) -> _Reading:
        ms_per_token = self._speeds.slowdown(engine.name) / rate
        wait_ms = self._backlog.waiting_tokens(engine.name, now_s) * ms_per_token
        cached = self._locations.cached_tokens(engine.name, generation.parts, now_s)
        tokens = self._work(generation, cached)
        read_ms = tokens * ms_per_token
        if source is not None and source.tokens > cached:
            tokens_after_copy = self._work(generation, source.tokens)
            after_copy_ms = source.copy_ms + tokens_after_copy * ms_per_token
            if after_copy_ms + source.price_ms < read_ms:
                shared = generation.shared_tokens - source.tokens
                return _Reading(wait_ms, after_copy_ms, tokens_after_copy, shared, source)
        shared = max(0, generation.shared_tokens - cached)
        return _Reading(wait_ms, read_ms, tokens, shared, None)

    def _work(self, generation: Generation, cached: int) -> int:
        """Returns the work of reading a prompt, in tokens at the beginning of a prompt."""
        tokens = max(1, generation.prompt_tokens - cached)
        look_back = (cached + tokens / 2.0) * self._options.look_back_per_token
        return round(tokens * (1.0 + look_back))

    def _crowding_ms(self, engine: BackendEntry, now_s: float) -> float:
        """Returns what one more stream counts for at an engine, by how full its batch is."""
        streams = self._backlog.streams(engine.name, now_s)
        return streams / max(1, engine.slots) * self._options.full_batch_ms

    def _batch_ms(self, engine: BackendEntry, now_s: float) -> float:
        """Returns the time to a first token in the engine's batch; a full batch makes it wait."""
        slots = max(1, engine.slots)
        fullness = self._backlog.streams(engine.name, now_s) / slots
        waits_ms = max(0.0, fullness - 1.0) * MS_PER_S
        lag_ms = self._speeds.lag_s(engine.name, now_s) * MS_PER_S
        return self._options.first_token_ms * (1.0 + fullness) + waits_ms + lag_ms

    def _reread_cost_ms(self, reading: _Reading, engine: BackendEntry, home: str | None) -> float:
        """Returns what having shared parts counts for at an engine that does not keep them."""
        cost_ms = reading.price_ms + reading.shared_tokens * self._options.reread_ms_per_token
        if reading.shared_tokens and engine.name == home:
            cost_ms -= self._options.home_bonus_ms
        return cost_ms

    def _home(self, generation: Generation) -> str | None:
        """Returns the reader that is the home of a prompt's shared parts, if they are long."""
        long_parts = [p for p in generation.parts[:-1] if p.tokens >= self._options.home_min_tokens]
        if not long_parts:
            return None
        part_id = long_parts[-1].part_id
        return max(self._readers, key=lambda name: home_weight(part_id, name), default=None)

    def hand_over_s(
        self, generation: Generation, reader: BackendEntry, decoder: BackendEntry, now_s: float
    ) -> float:
        """Returns the expected time from a hand-over to the first event, known lag not counted."""
        known_ms = self._speeds.lag_s(decoder.name, now_s) * MS_PER_S
        expected_ms = (
            self._move_ms(generation, reader, decoder)
            + self._round_trip_ms(decoder)
            + self._batch_ms(decoder, now_s)
        )
        return (expected_ms - known_ms) / MS_PER_S

    def _move_ms(
        self, generation: Generation, reader: BackendEntry, decoder: BackendEntry
    ) -> float:
        transfer_ms = self._transfer_ms(
            generation.prompt_tokens, reader.data_centre, decoder.data_centre
        )
        return self._options.hand_over_ms + transfer_ms

    def _transfer_ms(self, tokens: int, source: str, destination: str) -> float:
        """Returns the time of moving the KV cache of tokens from one data centre to another."""
        pool = self._pool
        if pool is None or pool.link_mbps <= 0.0:
            return 0.0
        bits = tokens * pool.token_bytes * BITS_PER_BYTE
        move_ms = bits / (pool.link_mbps * BITS_PER_MS_PER_MBPS)
        return move_ms * self._move_factor(source, destination)

    def _move_factor(self, source: str, destination: str) -> float:
        if source == destination:
            return 1.0
        if self._region(source) == self._region(destination):
            return self._options.region_move_factor
        return self._options.far_move_factor

    def _move_price_ms(
        self, generation: Generation, reader: BackendEntry, decoder: BackendEntry
    ) -> float:
        return self._transfer_price_ms(
            generation.prompt_tokens, reader.data_centre, decoder.data_centre
        )

    def _transfer_price_ms(self, tokens: int, source: str, destination: str) -> float:
        """Returns what moving the KV cache of tokens between data centres counts for besides."""
        pool = self._pool
        if pool is None or self._region(source) == self._region(destination):
            return 0.0
        return tokens * pool.token_bytes / 1e9 * self._options.far_move_ms_per_gb

    def _failure_cost_ms(self, engine: BackendEntry, now_s: float) -> float:
        """Returns what the engine's recent failures count for, here and at other hosts."""
        rate = self._health.failure_rate(engine.name)
        if self._health.is_suspected(engine.name, now_s):
            rate += self._options.suspicion_rate
        return rate * self._options.failure_ms

    def _send_cost_ms(self, generation: Generation, engine: BackendEntry) -> float:
        """Returns what sending the request to the engine counts for."""
        if self._region(engine.data_centre) == self._distances.place.region:
            return 0.0
        return generation.request_bytes / BYTES_PER_KB * self._options.far_send_ms_per_kb

    def _round_trip_ms(self, engine: BackendEntry) -> float:
        return self._distances.round_trip_ms(engine.data_centre)

    def _region(self, data_centre: str) -> str:
        return self._distances.region_of(data_centre)


def home_weight(part_id: str, engine: str) -> int:
    """Returns the weight of an engine for a part; the engine with the highest is its home."""
    return int.from_bytes(blake2b(f"{part_id}|{engine}".encode(), digest_size=6).digest(), "big")


def _placement(
    reader: BackendEntry | None, decoder: BackendEntry, first_ms: float, reading: _Reading
) -> Placement:
    return Placement(
        reader,
        decoder,
        first_ms / MS_PER_S,
        reading.wait_ms / MS_PER_S,
        reading.tokens,
        reading.copy_from,
    )


def _one_of_each_place(engines: Sequence[BackendEntry]) -> list[str]:
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

"""Fake engine in virtual time: continuous batching as a fluid, a prefix cache, roles.

Between two events every sequence in the batch advances at the same rate, so an engine costs a few
events per request and not one per token.
"""

import heapq
from collections import OrderedDict
from typing import Final

from attrs import define, field

from bench.jobs import Run
from berylquay.decisions.engine_speed import EngineSpeed
from berylquay.decisions.fleet import BackendServer, LoadReport, Role

CACHE_PIECES: Final = 1000
TOKENS_PER_PIECE: Final = 16
# Tokens by which sums of fractions may be off.
ROUNDING: Final = 1e-6


@define
class PrefixCache:
    """Prefixes in limited memory, the least recently used one going first."""

    # Pieces by prefix, the most recently used last.
    entries: OrderedDict[str, int] = field(factory=OrderedDict)
    # Pieces in use.
    used: int = 0

    def touch(self, prefix: str, tokens: int) -> bool:
        """Returns whether the prefix was there, and keeps it from now on."""
        if prefix in self.entries:
            self.entries.move_to_end(prefix)
            return True
        pieces = -(-tokens // TOKENS_PER_PIECE)
        self.entries[prefix] = pieces
        self.used += pieces
        while self.used > CACHE_PIECES:
            self.used -= self.entries.popitem(last=False)[1]
        return False


@define(eq=False)
class FakeEngine:
    """One engine: a prefill queue and a batch of sequences, both by priority."""

    server: BackendServer
    speed: EngineSpeed
    role: Role
    # Whether it runs at all.
    up: bool = True
    # Whether it waits for its work to end before it changes its role.
    draining: bool = False
    # Prompts that wait: priority, order, run.
    prompts: list[tuple[int, int, Run]] = field(factory=list)
    # The prompt in work.
    prefilling: Run | None = None
    # Prompt tokens of the prompt in work that are still to do.
    prefill_left: float = 0.0
    # Sequences that wait for room in the batch: priority, order, run.
    waiting: list[tuple[int, int, Run]] = field(factory=list)
    # Sequences in the batch by the progress at which they end: progress, order, run.
    batch: list[tuple[float, int, Run]] = field(factory=list)
    # Tokens that every sequence of the batch has got since the start.
    progress: float = 0.0
    # Time up to which the state is worked out.
    updated_s: float = 0.0
    # Number of the newest schedule; older events are void.
    version: int = 0
    cache: PrefixCache = field(factory=PrefixCache)
    # Prefixes found in the cache, and prefixes looked up.
    hits: int = 0
    lookups: int = 0
    # Number of entries made so far, for a stable order.
    count: int = 0

    def backlog_tokens(self) -> int:
        """Returns the prompt tokens still to be prefilled."""
        return int(self.prefill_left) + sum(entry[2].prompt_left for entry in self.prompts)

    def report(self, now_s: float) -> LoadReport:
        """Returns the engine's load report."""
        return LoadReport(
            backend=self.server.name,
            received_s=now_s,
            role=self.role,
            model="",
            running=len(self.batch),
            waiting=len(self.waiting),
            prefill_backlog_tokens=self.backlog_tokens(),
            kv_blocks_used=self.cache.used,
        )

    def is_idle(self) -> bool:
        """Tells whether nothing is left to do."""
        return not (self.prompts or self.prefilling or self.waiting or self.batch)

    def add_prompt(self, run: Run) -> None:
        """Queues a prompt."""
        self.count += 1
        run.prompt_left = run.job.prompt_tokens + run.resumed_tokens
        heapq.heappush(self.prompts, (run.job.call.class_spec.priority, self.count, run))

    def add_sequence(self, run: Run) -> None:
        """Queues a prefilled sequence for the batch."""
        self.count += 1
        heapq.heappush(self.waiting, (run.job.call.class_spec.priority, self.count, run))

    def advance(self, now_s: float) -> None:
        """Works out the state at the present time."""
        elapsed_s = now_s - self.updated_s
        self.updated_s = now_s
        if self.prefilling is not None:
            self.prefill_left = max(0.0, self.prefill_left - elapsed_s * self._prefill_rate())
        if self.batch:
            self.progress += elapsed_s / self._token_s()

    def start_next(self) -> None:
        """Starts what there is room for."""
        while self.waiting and len(self.batch) < self.speed.max_batch:
            run = heapq.heappop(self.waiting)[2]
            if not run.over:
                self.count += 1
                left = run.job.output_tokens - run.resumed_tokens - 1
                heapq.heappush(self.batch, (self.progress + left, self.count, run))
        while self.prefilling is None and self.prompts:
            run = heapq.heappop(self.prompts)[2]
            if not run.over:
                self._start_prefill(run)

    def next_event_s(self) -> float | None:
        """Returns when the next prompt or sequence ends, or None."""
        times = []
        if self.prefilling is not None:
            times.append(self.prefill_left / self._prefill_rate())
        if self.batch:
            times.append(max(0.0, self.batch[0][0] - self.progress) * self._token_s())
        return self.updated_s + min(times) if times else None

    def take_prefilled(self) -> Run | None:
        """Returns the prompt that has just been prefilled, or None."""
        run = self.prefilling
        if run is None or self.prefill_left > ROUNDING:
            return None
        self.prefilling = None
        return run

    def take_finished(self) -> Run | None:
        """Returns a sequence that has all its tokens, or None."""
        if not self.batch or self.batch[0][0] > self.progress + ROUNDING:
            return None
        return heapq.heappop(self.batch)[2]

    def cancel(self, run: Run) -> None:
        """Takes a run out that nobody waits for any more."""
        if self.prefilling is run:
            self.prefilling = None
            self.prefill_left = 0.0
        kept = [entry for entry in self.batch if entry[2] is not run]
        if len(kept) != len(self.batch):
            heapq.heapify(kept)
            self.batch = kept

    def take_all(self) -> list[Run]:
        """Returns every run and forgets them with the cache, as a crash does."""
        runs = [entry[2] for entry in (*self.prompts, *self.waiting, *self.batch)]
        if self.prefilling is not None:
            runs.append(self.prefilling)
        self.prompts, self.waiting, self.batch = [], [], []
        self.prefilling, self.prefill_left = None, 0.0
        self.cache = PrefixCache()
        return [run for run in runs if not run.over]

    def _start_prefill(self, run: Run) -> None:
        self.prefilling = run
        self.lookups += 1
        hit = self.cache.touch(run.job.prefix, run.job.prefix_tokens)
        self.hits += hit
        self.prefill_left = float(run.prompt_left - (run.job.prefix_tokens if hit else 0))

    def _prefill_rate(self) -> float:
        return 1.0 / self.speed.prefill_s(1.0, self.role, bool(self.batch))

    def _token_s(self) -> float:
        return self.speed.token_s(len(self.batch), self.role, self.prefilling is not None)

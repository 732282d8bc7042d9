"""Simulated engine in virtual time: continuous batching as a fluid model, a prefix cache, roles.

Between two events every sequence in the batch advances at the same rate, so an engine needs a few
events per request instead of one per token.
"""

import heapq
from collections import OrderedDict
from typing import Final

from attrs import define, field

from bench.jobs import JobAttempt
from berylquay.decisions.engine_speed import EngineSpeed
from berylquay.decisions.fleet import BackendServer, LoadReport, Role

CACHE_BLOCKS: Final = 1000
TOKENS_PER_BLOCK: Final = 16
# Rounding error allowed in sums of fractional tokens.
ROUNDING_TOLERANCE_TOKENS: Final = 1e-6


@define
class PrefixCache:
    """LRU cache of prompt prefixes with a limited number of blocks."""

    # Blocks by prefix, the most recently used last.
    entries: OrderedDict[str, int] = field(factory=OrderedDict)
    # Blocks in use.
    used_blocks: int = 0

    def touch(self, prefix: str, tokens: int) -> bool:
        """Returns whether the prefix was cached; inserts it if not, evicting others as needed."""
        if prefix in self.entries:
            self.entries.move_to_end(prefix)
            return True
        blocks = -(-tokens // TOKENS_PER_BLOCK)
        self.entries[prefix] = blocks
        self.used_blocks += blocks
        while self.used_blocks > CACHE_BLOCKS:
            self.used_blocks -= self.entries.popitem(last=False)[1]
        return False


@define(eq=False)
class SimulatedEngine:
    """One engine with a prefill queue and a batch of sequences, both served by priority."""

    server: BackendServer
    speed: EngineSpeed
    role: Role
    # False while it is crashed.
    up: bool = True
    # Whether it finishes its work before a role change.
    draining: bool = False
    # Heap of prompts waiting for prefill: priority, order, attempt.
    prompt_queue: list[tuple[int, int, JobAttempt]] = field(factory=list)
    # Attempt whose prompt is being prefilled; None if idle.
    current_prefill: JobAttempt | None = None
    # Tokens of that prompt still to be prefilled.
    prefill_tokens_left: float = 0.0
    # Heap of sequences waiting for a slot in the batch: priority, order, attempt.
    waiting_sequences: list[tuple[int, int, JobAttempt]] = field(factory=list)
    # Heap of sequences in the batch: value of progress_tokens at which they end, order, attempt.
    batch: list[tuple[float, int, JobAttempt]] = field(factory=list)
    # Tokens generated since the start by a sequence that is always in the batch.
    progress_tokens: float = 0.0
    # Time up to which the state has been computed.
    updated_s: float = 0.0
    # Number of the newest scheduled event; older events are ignored.
    schedule_version: int = 0
    cache: PrefixCache = field(factory=PrefixCache)
    # Prefixes found in the cache, and prefix lookups.
    cache_hits: int = 0
    cache_lookups: int = 0
    # Number of heap entries made so far; keeps entries of one priority in order of arrival.
    entry_count: int = 0

    def backlog_tokens(self) -> int:
        """Returns the prompt tokens still to be prefilled, including the prompt being prefilled."""
        return int(self.prefill_tokens_left) + sum(
            entry[2].prompt_tokens_left for entry in self.prompt_queue
        )

    def report(self, now_s: float) -> LoadReport:
        """Returns the engine's load report, received at `now_s`."""
        return LoadReport(
            backend=self.server.name,
            received_s=now_s,
            role=self.role,
            model="",
            running=len(self.batch),
            waiting=len(self.waiting_sequences),
            prefill_backlog_tokens=self.backlog_tokens(),
            kv_blocks_used=self.cache.used_blocks,
        )

    def is_idle(self) -> bool:
        """Returns whether the engine has no work."""
        return not (
            self.prompt_queue or self.current_prefill or self.waiting_sequences or self.batch
        )

    def add_prompt(self, attempt: JobAttempt) -> None:
        """Queues a prompt for prefill."""
        self.entry_count += 1
        attempt.prompt_tokens_left = attempt.job.prompt_tokens + attempt.resumed_tokens
        heapq.heappush(
            self.prompt_queue, (attempt.job.call.class_spec.priority, self.entry_count, attempt)
        )

    def add_sequence(self, attempt: JobAttempt) -> None:
        """Queues a prefilled sequence for decode."""
        self.entry_count += 1
        heapq.heappush(
            self.waiting_sequences,
            (attempt.job.call.class_spec.priority, self.entry_count, attempt),
        )

    def advance(self, now_s: float) -> None:
        """Advances the state to the present time."""
        elapsed_s = now_s - self.updated_s
        self.updated_s = now_s
        if self.current_prefill is not None:
            self.prefill_tokens_left = max(
                0.0, self.prefill_tokens_left - elapsed_s * self._prefill_tokens_per_s()
            )
        if self.batch:
            self.progress_tokens += elapsed_s / self._token_interval_s()

    def start_queued(self) -> None:
        """Fills the batch with waiting sequences and starts the next prefill, if any."""
        while self.waiting_sequences and len(self.batch) < self.speed.max_batch:
            attempt = heapq.heappop(self.waiting_sequences)[2]
            if not attempt.ended:
                self.entry_count += 1
                tokens_left = attempt.job.output_tokens - attempt.resumed_tokens - 1
                heapq.heappush(
                    self.batch, (self.progress_tokens + tokens_left, self.entry_count, attempt)
                )
        while self.current_prefill is None and self.prompt_queue:
            attempt = heapq.heappop(self.prompt_queue)[2]
            if not attempt.ended:
                self._start_prefill(attempt)

    def next_event_s(self) -> float | None:
        """Returns when the next prefill or sequence ends, or None if the engine is idle."""
        times = []
        if self.current_prefill is not None:
            times.append(self.prefill_tokens_left / self._prefill_tokens_per_s())
        if self.batch:
            times.append(
                max(0.0, self.batch[0][0] - self.progress_tokens) * self._token_interval_s()
            )
        return self.updated_s + min(times) if times else None

    def take_prefilled(self) -> JobAttempt | None:
        """Removes and returns the attempt whose prefill has just ended, or None."""
        attempt = self.current_prefill
        if attempt is None or self.prefill_tokens_left > ROUNDING_TOLERANCE_TOKENS:
            return None
        self.current_prefill = None
        return attempt

    def take_finished(self) -> JobAttempt | None:
        """Removes and returns a sequence that has all its tokens, or None."""
        if not self.batch or self.batch[0][0] > self.progress_tokens + ROUNDING_TOLERANCE_TOKENS:
            return None
        return heapq.heappop(self.batch)[2]

    def cancel(self, attempt: JobAttempt) -> None:
        """Removes an attempt from prefill and from the batch, if it is there."""
        if self.current_prefill is attempt:
            self.current_prefill = None
            self.prefill_tokens_left = 0.0
        remaining = [entry for entry in self.batch if entry[2] is not attempt]
        if len(remaining) != len(self.batch):
            heapq.heapify(remaining)
            self.batch = remaining

    def crash(self) -> list[JobAttempt]:
        """Drops all work and the prefix cache; returns the attempts that had not ended."""
        runs = [entry[2] for entry in (*self.prompt_queue, *self.waiting_sequences, *self.batch)]
        if self.current_prefill is not None:
            runs.append(self.current_prefill)
        self.prompt_queue, self.waiting_sequences, self.batch = [], [], []
        self.current_prefill, self.prefill_tokens_left = None, 0.0
        self.cache = PrefixCache()
        return [attempt for attempt in runs if not attempt.ended]

    def _start_prefill(self, attempt: JobAttempt) -> None:
        self.current_prefill = attempt
        self.cache_lookups += 1
        hit = self.cache.touch(attempt.job.prefix, attempt.job.prefix_tokens)
        self.cache_hits += hit
        self.prefill_tokens_left = float(
            attempt.prompt_tokens_left - (attempt.job.prefix_tokens if hit else 0)
        )

    def _prefill_tokens_per_s(self) -> float:
        return 1.0 / self.speed.prefill_s(1.0, self.role, bool(self.batch))

    def _token_interval_s(self) -> float:
        return self.speed.token_s(len(self.batch), self.role, self.current_prefill is not None)

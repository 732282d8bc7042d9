"""Announces the prompt segments that engines cache, or are about to, to the other hosts."""

from typing import Final

from attrs import frozen

from berylquay.decisions.engine_placement import Placement
from berylquay.decisions.relay_call import RelayCall
from berylquay.relay.services import RelayServices

# Smallest shared prefix segment that is announced.
MIN_ANNOUNCED_SEGMENT_TOKENS: Final = 100
MS_PER_S: Final = 1000.0


@frozen
class SegmentAnnouncements:
    """Announces the segments of one call's prompt; keeps no state of its own."""

    _services: RelayServices
    _call: RelayCall

    def on_prefill_placed(self, engine: str, placement: Placement, now_s: float) -> None:
        """Records the shared segments that an engine is about to prefill."""
        generation = self._call.generation
        if generation is None:
            return
        ready_s = now_s + placement.first_token_s
        for segment in generation.segments[:-1]:
            self._services.prefix_cache_index.on_segment_used(
                segment.segment_id, engine, now_s, ready_s
            )
        self._queue_updates(engine, round(placement.first_token_s * MS_PER_S))

    def on_prefilled(self, engine: str, now_s: float) -> None:
        """Records that an engine has cached all segments of the prompt."""
        generation = self._call.generation
        if generation is None:
            return
        for segment in generation.segments:
            self._services.prefix_cache_index.on_segment_used(segment.segment_id, engine, now_s)
        self._queue_updates(engine, 0)

    def _queue_updates(self, engine: str, ready_in_ms: int) -> None:
        """Queues updates for the other hosts on the shared segments that an engine caches.

        Args:
            engine: Name of the engine.
            ready_in_ms: Time until the segments are cached; 0 if they are.
        """
        generation = self._call.generation
        for segment in () if generation is None else generation.segments[:-1]:
            if segment.tokens >= MIN_ANNOUNCED_SEGMENT_TOKENS:
                self._services.pending_updates.segments.append(
                    (segment.segment_id, engine, ready_in_ms)
                )

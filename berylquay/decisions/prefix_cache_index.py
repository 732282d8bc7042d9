"""Index of which engines are assumed to cache which prefix segments in their KV cache.

Engines evict the least recently used segments without notice, so entries expire, and only the most
recently used segments are kept.
"""

from collections import OrderedDict
from collections.abc import Sequence
from typing import Final

from attrs import define, frozen

from berylquay.decisions.relay_call import PromptSegment

# Age at which a segment is assumed to be evicted.
ENTRY_TTL_S: Final = 14.0
# Time since its last prefill until which others copy from an engine: an engine that copies from an
# unresponsive one stalls for seconds.
COPY_SOURCE_MAX_IDLE_S: Final = 1.5
# Most segments in the index.
MAX_SEGMENTS: Final = 4096


@frozen
class CachedPrefix:
    """The prefix of a prompt that an engine is assumed to cache."""

    # Length of the prefix.
    tokens: int
    # Monotonic time of the last use of its least recently used segment there.
    least_recent_use_s: float


@define
class _SegmentUse:
    """The last use of a segment by an engine."""

    # Monotonic time of the last use, and time from which the segment is prefilled there.
    used_s: float
    prefilled_s: float


class PrefixCacheIndex:
    """Records which engines have prefilled segments, or are about to."""

    # Last use by segment and engine; the most recently used segment comes last.
    _uses: "OrderedDict[str, dict[str, _SegmentUse]]"
    # Monotonic time of each engine's last prefill.
    _last_prefill_s: dict[str, float]

    def __init__(self) -> None:
        self._uses = OrderedDict()
        self._last_prefill_s = {}

    def on_segment_used(
        self, segment_id: str, engine: str, now_s: float, prefilled_s: float = float("-inf")
    ) -> None:
        """Records that an engine has prefilled a segment, or is about to.

        Args:
            segment_id: The segment.
            engine: The engine.
            now_s: Present time.
            prefilled_s: Time at which the prefill is expected to be complete; by default it is.
        """
        is_prefilled = prefilled_s <= now_s
        uses = self._uses.setdefault(segment_id, {})
        before = uses.get(engine)
        if before is not None and now_s - before.used_s <= ENTRY_TTL_S:
            prefilled_s = min(prefilled_s, before.prefilled_s)
        uses[engine] = _SegmentUse(now_s, prefilled_s)
        if is_prefilled:
            self._last_prefill_s[engine] = now_s
        self._uses.move_to_end(segment_id)
        if len(self._uses) > MAX_SEGMENTS:
            self._uses.popitem(last=False)

    def cached_tokens(self, engine: str, segments: Sequence[PromptSegment], now_s: float) -> int:
        """Returns how many tokens of a prompt's prefix the engine need not prefill again.

        Prompts are prefilled in order of arrival, so a segment that waits for prefill counts too.
        """
        tokens = 0
        for segment in segments:
            use = self._uses.get(segment.segment_id, {}).get(engine)
            if use is None or now_s - use.used_s > ENTRY_TTL_S:
                break
            tokens += segment.tokens
        return tokens

    def cached_prefixes(
        self, segments: Sequence[PromptSegment], now_s: float
    ) -> dict[str, CachedPrefix]:
        """Returns the prefix that each live engine is assumed to cache, if it caches any."""
        cached = {}
        for engine in self._uses.get(segments[0].segment_id, {}) if segments else ():
            if now_s - self._last_prefill_s.get(engine, float("-inf")) > COPY_SOURCE_MAX_IDLE_S:
                continue
            tokens, used_s = 0, now_s
            for segment in segments:
                use = self._uses.get(segment.segment_id, {}).get(engine)
                if use is None or now_s - use.used_s > ENTRY_TTL_S or use.prefilled_s > now_s:
                    break
                tokens += segment.tokens
                used_s = min(used_s, use.used_s)
            if tokens:
                cached[engine] = CachedPrefix(tokens, used_s)
        return cached

    def on_prefill_cancelled(
        self, segments: Sequence[PromptSegment], engine: str, now_s: float
    ) -> None:
        """Removes segments that an engine was about to prefill and did not."""
        for segment in segments:
            uses = self._uses.get(segment.segment_id, {})
            use = uses.get(engine)
            if use is not None and use.prefilled_s > now_s:
                del uses[engine]

    def forget_engine(self, engine: str) -> None:
        """Drops the entries of an engine that has ended."""
        for uses in self._uses.values():
            uses.pop(engine, None)
        self._last_prefill_s.pop(engine, None)

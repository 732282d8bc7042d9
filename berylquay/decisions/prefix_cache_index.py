"""Locations of prompt parts: which engines are believed to keep a part in their KV cache.

Engines evict the least recently used parts without a word, so a belief ends with its age, and only
the newest are kept.
"""

from collections import OrderedDict
from collections.abc import Sequence
from typing import Final

from attrs import define, frozen

from berylquay.decisions.relay_call import PromptSegment

# Age at which a part is taken to be evicted.
ENTRY_TTL_S: Final = 14.0
# Time after an engine has last read a prompt until which others copy from it: an engine that copies
# from a silent one stands still for seconds.
COPY_SOURCE_MAX_IDLE_S: Final = 1.5
# Parts that are remembered.
MAX_SEGMENTS: Final = 4096


@frozen
class CachedPrefix:
    """What an engine is believed to keep of a prompt."""

    # Tokens of the prompt's beginning.
    tokens: int
    # Monotonic time of the last use there of the part that was not used for longest.
    least_recent_use_s: float


@define
class _SegmentUse:
    """The use of a part by an engine."""

    # Monotonic time of the last use, and time from which the engine has read the part.
    used_s: float
    prefilled_s: float


class PrefixCacheIndex:
    """Where parts were last read, or are about to be."""

    # Last use by engine, by part; the part used last stands last.
    _uses: "OrderedDict[str, dict[str, _SegmentUse]]"
    # Monotonic time at which an engine has last read a prompt, by engine.
    _last_prefill_s: dict[str, float]

    def __init__(self) -> None:
        self._uses = OrderedDict()
        self._last_prefill_s = {}

    def on_segment_used(
        self, segment_id: str, engine: str, now_s: float, prefilled_s: float = float("-inf")
    ) -> None:
        """Takes note that an engine reads a part, or has read it.

        Args:
            segment_id: The part.
            engine: The engine.
            now_s: Present time.
            prefilled_s: Time at which it is expected to have read the part, unless it has already.
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
        """Returns how much of a prompt's beginning the engine is believed not to read again.

        Prompts are read in the order in which they come, so a part that waits to be read counts.
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
        """Returns how much of a prompt's beginning each live engine is believed to have read."""
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
        """Takes note that an engine did not read what it was about to read."""
        for segment in segments:
            uses = self._uses.get(segment.segment_id, {})
            use = uses.get(engine)
            if use is not None and use.prefilled_s > now_s:
                del uses[engine]

    def forget_engine(self, engine: str) -> None:
        """Drops what an engine kept that has ended."""
        for uses in self._uses.values():
            uses.pop(engine, None)
        self._last_prefill_s.pop(engine, None)

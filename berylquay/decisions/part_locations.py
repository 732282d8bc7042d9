"""Locations of prompt parts: which engines are believed to keep a part in their KV cache.

Engines evict the least recently used parts without a word, so a belief ends with its age, and only
the newest are kept.
"""

from collections import OrderedDict
from collections.abc import Sequence
from typing import Final

from attrs import define, frozen

from berylquay.decisions.relay_call import PromptPart

# Age at which a part is taken to be evicted.
MAX_AGE_S: Final = 14.0
# Time after an engine has last read a prompt until which others copy from it: an engine that copies
# from a silent one stands still for seconds.
MAX_SILENCE_S: Final = 1.5
# Parts that are remembered.
MAX_PARTS: Final = 4096


@frozen
class KeptParts:
    """What an engine is believed to keep of a prompt."""

    # Tokens of the prompt's beginning.
    tokens: int
    # Monotonic time of the last use there of the part that was not used for longest.
    used_s: float


@define
class _Use:
    """The use of a part by an engine."""

    # Monotonic time of the last use, and time from which the engine has read the part.
    used_s: float
    ready_s: float


class PartLocations:
    """Where parts were last read, or are about to be."""

    # Last use by engine, by part; the part used last stands last.
    _uses: "OrderedDict[str, dict[str, _Use]]"
    # Monotonic time at which an engine has last read a prompt, by engine.
    _alive_s: dict[str, float]

    def __init__(self) -> None:
        self._uses = OrderedDict()
        self._alive_s = {}

    def on_used(
        self, part_id: str, engine: str, now_s: float, ready_s: float = float("-inf")
    ) -> None:
        """Takes note that an engine reads a part, or has read it.

        Args:
            part_id: The part.
            engine: The engine.
            now_s: Present time.
            ready_s: Time at which it is expected to have read the part, unless it has already.
        """
        has_read = ready_s <= now_s
        uses = self._uses.setdefault(part_id, {})
        before = uses.get(engine)
        if before is not None and now_s - before.used_s <= MAX_AGE_S:
            ready_s = min(ready_s, before.ready_s)
        uses[engine] = _Use(now_s, ready_s)
        if has_read:
            self._alive_s[engine] = now_s
        self._uses.move_to_end(part_id)
        if len(self._uses) > MAX_PARTS:
            self._uses.popitem(last=False)

    def cached_tokens(self, engine: str, parts: Sequence[PromptPart], now_s: float) -> int:
        """Returns how much of a prompt's beginning the engine is believed not to read again.

        Prompts are read in the order in which they come, so a part that waits to be read counts.
        """
        tokens = 0
        for part in parts:
            use = self._uses.get(part.part_id, {}).get(engine)
            if use is None or now_s - use.used_s > MAX_AGE_S:
                break
            tokens += part.tokens
        return tokens

    def keepers(self, parts: Sequence[PromptPart], now_s: float) -> dict[str, KeptParts]:
        """Returns how much of a prompt's beginning each live engine is believed to have read."""
        kept = {}
        for engine in self._uses.get(parts[0].part_id, {}) if parts else ():
            if now_s - self._alive_s.get(engine, float("-inf")) > MAX_SILENCE_S:
                continue
            tokens, used_s = 0, now_s
            for part in parts:
                use = self._uses.get(part.part_id, {}).get(engine)
                if use is None or now_s - use.used_s > MAX_AGE_S or use.ready_s > now_s:
                    break
                tokens += part.tokens
                used_s = min(used_s, use.used_s)
            if tokens:
                kept[engine] = KeptParts(tokens, used_s)
        return kept

    def on_not_read(self, parts: Sequence[PromptPart], engine: str, now_s: float) -> None:
        """Takes note that an engine did not read what it was about to read."""
        for part in parts:
            uses = self._uses.get(part.part_id, {})
            use = uses.get(engine)
            if use is not None and use.ready_s > now_s:
                del uses[engine]

    def forget_engine(self, engine: str) -> None:
        """Drops what an engine kept that has ended."""
        for uses in self._uses.values():
            uses.pop(engine, None)
        self._alive_s.pop(engine, None)

"""Locations of prompt parts: which engines are believed to keep a part in their KV cache.

Engines evict the least recently used parts without a word, so a belief ends with its age, and only
the newest are kept.
"""

from collections import OrderedDict
from collections.abc import Sequence
from typing import Final

from attrs import frozen

from berylquay.decisions.relay_call import PromptPart

# Age at which a part is taken to be evicted.
MAX_AGE_S: Final = 14.0
# Parts that are remembered.
MAX_PARTS: Final = 4096


@frozen
class KeptParts:
    """What an engine is believed to keep of a prompt."""

    # Tokens of the prompt's beginning.
    tokens: int
    # Monotonic time at which its first part was last used there.
    used_s: float


class PartLocations:
    """Where parts were last read."""

    # Monotonic time of the last use by engine, by part; the part used last stands last.
    _uses: "OrderedDict[str, dict[str, float]]"

    def __init__(self) -> None:
        self._uses = OrderedDict()

    def on_used(self, part_id: str, engine: str, now_s: float) -> None:
        """Takes note that an engine has read or fetched a part."""
        self._uses.setdefault(part_id, {})[engine] = now_s
        self._uses.move_to_end(part_id)
        if len(self._uses) > MAX_PARTS:
            self._uses.popitem(last=False)

    def cached_tokens(self, engine: str, parts: Sequence[PromptPart], now_s: float) -> int:
        """Returns how much of a prompt's beginning the engine is believed to keep."""
        tokens = 0
        for part in parts:
            used_s = self._uses.get(part.part_id, {}).get(engine)
            if used_s is None or now_s - used_s > MAX_AGE_S:
                break
            tokens += part.tokens
        return tokens

    def keepers(self, parts: Sequence[PromptPart], now_s: float) -> dict[str, KeptParts]:
        """Returns how much of a prompt's beginning each engine is believed to keep, if any."""
        uses = self._uses.get(parts[0].part_id, {}) if parts else {}
        return {
            engine: KeptParts(self.cached_tokens(engine, parts, now_s), used_s)
            for engine, used_s in uses.items()
            if now_s - used_s <= MAX_AGE_S
        }

    def forget_engine(self, engine: str) -> None:
        """Drops what an engine kept that has ended."""
        for uses in self._uses.values():
            uses.pop(engine, None)

"""Sums by tenant with exponential decay."""

import math
from collections import defaultdict
from typing import Final

# Key of the sum over all tenants. No tenant can have this name: the INI reader strips section
# names, and a configuration's names have no space at either end.
ALL_TENANTS: Final = " "


class DecayedSums:
    """Sums amounts by name with exponential decay, in constant time per call."""

    # Time constant of the decay: the time after which a past amount has 1/e of its weight.
    _decay_time_s: float
    # Decayed sum by name, and the time at which it was last updated.
    _sums: defaultdict[str, float]
    _updated_s: defaultdict[str, float]

    def __init__(self, decay_time_s: float) -> None:
        self._decay_time_s = decay_time_s
        self._sums = defaultdict(float)
        self._updated_s = defaultdict(float)

    def __len__(self) -> int:
        """Returns the number of names that have a sum."""
        return len(self._sums)

    def add(self, name: str, amount: float, now_s: float) -> None:
        """Adds an amount, which may be negative."""
        self._sums[name] = self.value(name, now_s) + amount
        self._updated_s[name] = now_s

    def value(self, name: str, now_s: float) -> float:
        """Returns the decayed sum of a name; 0 if it has none."""
        if name not in self._sums:
            return 0.0
        elapsed_s = now_s - self._updated_s[name]
        return self._sums[name] * math.exp(-elapsed_s / self._decay_time_s)

    def values(self, now_s: float) -> dict[str, float]:
        """Returns all decayed sums."""
        return {name: self.value(name, now_s) for name in self._sums}

    def drop_below(self, amount: float, now_s: float) -> None:
        """Forgets names whose sum has decayed below an amount."""
        for name in [name for name in self._sums if self.value(name, now_s) < amount]:
            del self._sums[name], self._updated_s[name]

"""Spreading of new work over servers whose load is known from reports that are a little old.

Many hosts choose at the same moment, each from reports of the same age. If all choose the server
with the least load, they overrun it until the next reports, while the others idle. The level
rule instead pours the work that all hosts are placing, seen and unseen, over the servers like water
over uneven ground: a server gets a part of it by how far its load lies below the common level. A
host draws the server of one request with these parts as probabilities. With no unseen work this is
the least loaded server; the more other hosts place within the age of a report, the more servers
share the work.
"""

from collections.abc import Sequence
from math import exp
from random import Random
from typing import Final

from attrs import define, field

# Time constant with which the rate of a host's own placements is averaged.
RATE_DECAY_S: Final = 2.0


def level_shares(loads: Sequence[float], speeds: Sequence[float], work: float) -> list[float]:
    """Returns how much of the work each server gets if all end at a common level.

    Servers above the level get nothing.

    Args:
        loads: Time until each server is idle, or another cost in the same unit.
        speeds: Work that each server does in a unit of time.
        work: Work to distribute, over 0.
    """
    order = sorted(range(len(loads)), key=lambda index: loads[index])
    total_speed = filled_work = level = 0.0
    for position, index in enumerate(order):
        total_speed += speeds[index]
        filled_work += speeds[index] * loads[index]
        level = (work + filled_work) / total_speed
        is_last = position + 1 == len(order)
        if is_last or level <= loads[order[position + 1]]:
            break
    return [speed * max(0.0, level - load) for load, speed in zip(loads, speeds, strict=True)]


@define
class LoadSpreading:
    """Chooses servers by the level rule; learns how much work other hosts place unseen."""

    _rng: Random
    # Age of the other hosts' newest reports, on average.
    _report_age_s: float
    # Hosts that place work at the same servers, this one included.
    host_count: int = field(default=1, init=False)
    # Work that this host has placed, with exponential decay, and as of when.
    _placed_ms: float = field(default=0.0, init=False)
    _placed_as_of_s: float = field(default=0.0, init=False)

    def on_placed(self, work_ms: float, now_s: float) -> None:
        """Records work that this host has placed."""
        self._placed_ms = self._decayed_ms(now_s) + work_ms
        self._placed_as_of_s = now_s

    def unseen_ms(self, now_s: float) -> float:
        """Returns the work that the other hosts have placed since their last reports.

        Each is assumed to place as much as this one.
        """
        rate_ms_per_s = self._decayed_ms(now_s) / RATE_DECAY_S
        return rate_ms_per_s * self._report_age_s * (self.host_count - 1)

    def choose(self, loads_ms: Sequence[float], work_ms: float, now_s: float) -> int:
        """Returns the index of the server for a piece of work.

        Args:
            loads_ms: Cost of each server, as time; not empty.
            work_ms: Duration of the work.
            now_s: Present time.
        """
        least = min(range(len(loads_ms)), key=lambda index: loads_ms[index])
        unseen_ms = self.unseen_ms(now_s)
        if unseen_ms <= 0.0:
            return least
        shares = level_shares(loads_ms, [1.0] * len(loads_ms), unseen_ms + max(0.0, work_ms))
        if sum(shares) <= 0.0:
            return least
        return self._rng.choices(range(len(shares)), shares)[0]

    def _decayed_ms(self, now_s: float) -> float:
        return self._placed_ms * exp(-max(0.0, now_s - self._placed_as_of_s) / RATE_DECAY_S)

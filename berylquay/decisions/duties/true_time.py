"""True time, from the wall clocks of all hosts.

Times are offsets of a wall clock against a monotonic clock that also runs while the host is
suspended. A host shows the others its own offset without jumps; a host whose offset differs from
the median of all follows the median.
"""

from collections.abc import Iterable
from statistics import median
from typing import Final

from attrs import define, field

# Difference from the median above which a host follows the median.
MAX_DIFFERENCE_S: Final = 0.5
# Change of the own wall clock between two ticks above which it has jumped.
MIN_JUMP_S: Final = 0.05
# Time after which the clock of a host that was not heard of is forgotten.
CLOCK_TTL_S: Final = 10.0
# Time between two ticks above which datagrams may have waited, so that they show no time.
MAX_TICK_GAP_S: Final = 0.3


@define
class TrueTime:
    """The time that one host takes for true."""

    # The own offset without jumps that the median has not confirmed; None before the first tick.
    own_offset_s: float | None = None
    # Offset of the own wall clock at the last tick, and the monotonic time of that tick.
    _wall_offset_s: float = field(default=0.0, init=False)
    _ticked_s: float = field(default=float("-inf"), init=False)
    # Offsets of other hosts' clocks, and the monotonic times at which they were heard, by host.
    _others: dict[str, tuple[float, float]] = field(factory=dict, init=False)

    def on_tick(self, wall_s: float, now_s: float) -> None:
        """Follows the own wall clock, unless it has jumped.

        Args:
            wall_s: Time of the own wall clock.
            now_s: Monotonic time at the same moment.
        """
        self._ticked_s = now_s
        before_s, self._wall_offset_s = self._wall_offset_s, wall_s - now_s
        if self.own_offset_s is None:
            self.own_offset_s = self._wall_offset_s
            return
        change_s = self._wall_offset_s - before_s
        if abs(change_s) <= MIN_JUMP_S:
            self.own_offset_s += change_s
        for host in [
            name for name, (_, at_s) in self._others.items() if now_s - at_s > CLOCK_TTL_S
        ]:
            del self._others[host]
        self._confirm_jump()

    def on_clock(self, host: str, time_s: float, now_s: float) -> None:
        """Records the time that another host's datagram shows; it has just been received.

        A datagram that may have waited while this host was suspended is ignored.
        """
        if now_s - self._ticked_s <= MAX_TICK_GAP_S:
            self._others[host] = (time_s - now_s, now_s)

    def offset_s(self) -> float:
        """Returns the offset of true time against the monotonic clock."""
        own_s = self.own_offset_s or 0.0
        all_s = self._median_s()
        return own_s if abs(own_s - all_s) <= MAX_DIFFERENCE_S else all_s

    def _median_s(self) -> float:
        others: Iterable[float] = (offset_s for offset_s, _ in self._others.values())
        return median((self.own_offset_s or 0.0, *others))

    def _confirm_jump(self) -> None:
        """Takes over a jump of the own wall clock that leads to the other hosts' time."""
        if not self._others:
            return
        others_s = median(offset_s for offset_s, _ in self._others.values())
        own_s = self.own_offset_s or 0.0
        is_own_wrong = abs(own_s - others_s) > MAX_DIFFERENCE_S
        if is_own_wrong and abs(self._wall_offset_s - others_s) <= MAX_DIFFERENCE_S:
            self.own_offset_s = self._wall_offset_s

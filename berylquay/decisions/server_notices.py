"""What backend servers state of themselves in answers: that they leave, or want a pause.

A statement holds for the instance that made it. An entry in the store that still says `ready` does
not lift it, nor does a change of role; a server that starts again begins without any.
"""

from collections.abc import Iterable
from random import Random
from typing import Final

from attrs import define, field, frozen

# Longest pause that is honoured; a server that still wants none says so again.
MAX_PAUSE_S: Final = 3600.0
# Hosts end their pauses spread over this fraction of the pause, up to the bound, so that a server
# does not get the requests of all of them at once.
PAUSE_END_SPREAD_FRACTION: Final = 0.2
MAX_PAUSE_END_SPREAD_S: Final = 0.5
# Most leaving instances that are remembered; the oldest are dropped first.
MAX_LEAVING_INSTANCES: Final = 10000


@frozen
class ServerInstance:
    """One incarnation of a backend server."""

    name: str
    # Start time in Unix milliseconds; 0 if unknown.
    started_unix_ms: int


@frozen
class ServerNotice:
    """What one answer states of its server."""

    # Whether the server leaves and must get no new requests.
    is_leaving: bool
    # Time for which the server wants no requests from this host, or None.
    pause_s: float | None


@define
class ServerNotices:
    """Statements of all backend servers, as this host knows them."""

    # Monotonic time at which each leaving instance became known.
    _leaving_since_s: dict[ServerInstance, float] = field(factory=dict, init=False)
    # Monotonic time until which each paused instance gets no requests.
    _paused_until_s: dict[ServerInstance, float] = field(factory=dict, init=False)

    @property
    def leaving_count(self) -> int:
        """Returns the number of leaving instances that are remembered."""
        return len(self._leaving_since_s)

    @property
    def paused_count(self) -> int:
        """Returns the number of paused instances."""
        return len(self._paused_until_s)

    def is_leaving(self, instance: ServerInstance) -> bool:
        """Tells whether the instance is leaving."""
        return instance in self._leaving_since_s

    def is_paused(self, instance: ServerInstance) -> bool:
        """Tells whether the instance wants no requests from this host, as of the last tick."""
        return instance in self._paused_until_s

    def accepts_requests(self, instance: ServerInstance) -> bool:
        """Tells whether nothing that the instance has stated forbids new requests."""
        return not self.is_leaving(instance) and not self.is_paused(instance)

    def on_leaving(self, instance: ServerInstance, now_s: float) -> bool:
        """Records that an instance is leaving; returns whether that is new."""
        if instance in self._leaving_since_s:
            return False
        self._leaving_since_s[instance] = now_s
        while len(self._leaving_since_s) > MAX_LEAVING_INSTANCES:
            del self._leaving_since_s[next(iter(self._leaving_since_s))]
        return True

    def on_pause(
        self, instance: ServerInstance, pause_s: float, rng: Random, now_s: float
    ) -> float | None:
        """Records a pause; returns how long it lasts, or None if an earlier one lasts longer."""
        pause_s = min(pause_s, MAX_PAUSE_S)
        spread_s = min(MAX_PAUSE_END_SPREAD_S, PAUSE_END_SPREAD_FRACTION * pause_s)
        until_s = now_s + pause_s + rng.uniform(0.0, spread_s)
        # The earlier answer still holds if a later one states a shorter time.
        if pause_s <= 0.0 or until_s <= self._paused_until_s.get(instance, float("-inf")):
            return None
        self._paused_until_s[instance] = until_s
        return until_s - now_s

    def on_tick(self, now_s: float) -> list[ServerInstance]:
        """Ends the pauses that are over and returns their instances."""
        ended = [name for name, until_s in self._paused_until_s.items() if now_s >= until_s]
        for instance in ended:
            del self._paused_until_s[instance]
        return ended

    def on_instance(self, instance: ServerInstance) -> None:
        """Forgets other instances of the same name: a server with that name has started again."""
        for statements in (self._leaving_since_s, self._paused_until_s):
            for other in [other for other in statements if other.name == instance.name]:
                if other.started_unix_ms < instance.started_unix_ms:
                    del statements[other]

    def earliest_return_s(self, instances: Iterable[ServerInstance], now_s: float) -> float | None:
        """Returns the time until the first of the instances may get requests again.

        None if one of them may now, or if none is merely paused.
        """
        staying = [instance for instance in instances if not self.is_leaving(instance)]
        if any(not self.is_paused(instance) for instance in staying):
            return None
        return min((self._paused_until_s[instance] - now_s for instance in staying), default=None)

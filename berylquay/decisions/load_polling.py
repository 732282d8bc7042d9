"""Load polling: which engines a host polls for their load and when, limited for any fleet size."""

import zlib
from collections.abc import Sequence

from attrs import frozen

from berylquay.decisions.fleet import BackendKind, BackendServer, MembershipView


@frozen
class PollLimits:
    """Limits on the polls of one host."""

    # Maximum number of engines that one host polls.
    max_engines: int = 24
    # Maximum number of polls per second.
    max_polls_per_s: float = 10.0
    # Minimum interval between two polls of one engine.
    min_interval_s: float = 0.5


class PollSchedule:
    """Spreads polls evenly over the engines that this host polls.

    Rendezvous hashing selects these engines, so that the hosts of a data centre poll different ones
    and a change of the membership list affects few of them. If the data centre has no more engines
    than `PollLimits.max_engines`, every host polls all of them. The other limits set the time
    between polls.
    """

    _host: str
    _data_centre: str
    _limits: PollLimits
    # Polled engines in polling order.
    _polled: list[BackendServer]
    # Index of the engine whose turn was last.
    _last_index: int
    # Monotonic time of the next poll.
    _next_poll_s: float
    # Names of the engines with a poll in flight.
    _in_flight: set[str]

    def __init__(self, host: str, data_centre: str, limits: PollLimits) -> None:
        self._host = host
        self._data_centre = data_centre
        self._limits = limits
        self._polled = []
        self._last_index = 0
        self._next_poll_s = float("-inf")
        self._in_flight = set()

    @property
    def polled(self) -> Sequence[BackendServer]:
        """Returns the engines that this host polls."""
        return self._polled

    @property
    def interval_s(self) -> float:
        """Returns the time between two polls of one engine."""
        rate_limited_s = len(self._polled) / self._limits.max_polls_per_s
        return max(self._limits.min_interval_s, rate_limited_s)

    def on_membership(self, view: MembershipView) -> None:
        """Selects the engines to poll from a newer membership list."""
        engines = [
            server
            for server in view.backends
            if server.kind is BackendKind.ENGINE and server.data_centre == self._data_centre
        ]
        engines.sort(key=lambda server: zlib.crc32(f"{self._host}|{server.name}".encode()))
        self._polled = engines[: self._limits.max_engines]

    def on_poll_ended(self, backend: str) -> None:
        """Records that a poll was answered or has failed."""
        self._in_flight.discard(backend)

    def take_due(self, now_s: float) -> Sequence[BackendServer]:
        """Returns the engines to poll now.

        An engine whose previous poll is still in flight misses its turn.
        """
        chosen: list[BackendServer] = []
        self._next_poll_s = max(self._next_poll_s, now_s - self.interval_s)
        while self._polled and self._next_poll_s <= now_s and len(chosen) < len(self._polled):
            self._next_poll_s += self.interval_s / len(self._polled)
            self._last_index = (self._last_index + 1) % len(self._polled)
            server = self._polled[self._last_index]
            if server.name not in self._in_flight:
                self._in_flight.add(server.name)
                chosen.append(server)
        return chosen

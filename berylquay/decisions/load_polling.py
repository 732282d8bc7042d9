"""Which engines a host asks for their load, and when: bounded whatever the size of the fleet."""

import zlib
from collections.abc import Sequence

from attrs import frozen

from berylquay.decisions.fleet import BackendKind, BackendServer, MembershipView


@frozen
class PollLimits:
    """Bounds on what a host asks."""

    # Most engines that one host asks.
    max_engines: int = 24
    # Most questions in a second.
    max_polls_per_s: float = 10.0
    # Shortest interval between two questions to one engine.
    min_interval_s: float = 0.5


class PollSchedule:
    """Spreads questions evenly over the engines that this host follows.

    Each host follows the engines that rendezvous hashing gives it, so that the hosts of a data
    centre follow different ones and a change of the list moves few. Where the engines are no more
    than the bound, every host follows all of them.
    """

    _host: str
    _data_centre: str
    _limits: PollLimits
    # Followed engines in the order of their turns.
    _polled: list[BackendServer]
    # Position of the next turn.
    _last_index: int
    _next_poll_s: float
    # Engines that have not answered the last question.
    _unanswered: set[str]

    def __init__(self, host: str, data_centre: str, limits: PollLimits) -> None:
        self._host = host
        self._data_centre = data_centre
        self._limits = limits
        self._polled = []
        self._last_index = 0
        self._next_poll_s = float("-inf")
        self._unanswered = set()

    @property
    def polled(self) -> Sequence[BackendServer]:
        """Returns the engines that this host asks."""
        return self._polled

    @property
    def interval_s(self) -> float:
        """Returns the time between two questions to one engine."""
        rate_limited_s = len(self._polled) / self._limits.max_polls_per_s
        return max(self._limits.min_interval_s, rate_limited_s)

    def on_membership(self, view: MembershipView) -> None:
        """Takes a newer membership list."""
        engines = [
            server
            for server in view.backends
            if server.kind is BackendKind.ENGINE and server.data_centre == self._data_centre
        ]
        engines.sort(key=lambda server: zlib.crc32(f"{self._host}|{server.name}".encode()))
        self._polled = engines[: self._limits.max_engines]

    def on_poll_ended(self, backend: str) -> None:
        """Notes that the question to an engine has ended."""
        self._unanswered.discard(backend)

    def take_due(self, now_s: float) -> Sequence[BackendServer]:
        """Returns the engines to ask now."""
        chosen: list[BackendServer] = []
        self._next_poll_s = max(self._next_poll_s, now_s - self.interval_s)
        while self._polled and self._next_poll_s <= now_s and len(chosen) < len(self._polled):
            self._next_poll_s += self.interval_s / len(self._polled)
            self._last_index = (self._last_index + 1) % len(self._polled)
            server = self._polled[self._last_index]
            if server.name not in self._unanswered:
                self._unanswered.add(server.name)
                chosen.append(server)
        return chosen

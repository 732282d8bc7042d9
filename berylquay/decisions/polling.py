"""Which engines a host asks for their load, and when: bounded whatever the size of the fleet."""

import zlib
from collections.abc import Sequence

from attrs import frozen

from berylquay.decisions.fleet import BackendKind, BackendServer, MembershipView


@frozen
class PollLimits:
    """Bounds on what a host asks."""

    # Most engines that one host asks.
    engines: int = 24
    # Most questions in a second.
    polls_per_s: float = 10.0
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
    _followed: list[BackendServer]
    # Position of the next turn.
    _turn: int
    _next_s: float
    # Engines that have not answered the last question.
    _asked: set[str]

    def __init__(self, host: str, data_centre: str, limits: PollLimits) -> None:
        self._host = host
        self._data_centre = data_centre
        self._limits = limits
        self._followed = []
        self._turn = 0
        self._next_s = float("-inf")
        self._asked = set()

    @property
    def followed(self) -> Sequence[BackendServer]:
        """Returns the engines that this host asks."""
        return self._followed

    @property
    def interval_s(self) -> float:
        """Returns the time between two questions to one engine."""
        spread_s = len(self._followed) / self._limits.polls_per_s
        return max(self._limits.min_interval_s, spread_s)

    def on_membership(self, view: MembershipView) -> None:
        """Takes a newer membership list."""
        engines = [
            server
            for server in view.backends
            if server.kind is BackendKind.ENGINE and server.data_centre == self._data_centre
        ]
        engines.sort(key=lambda server: zlib.crc32(f"{self._host}|{server.name}".encode()))
        self._followed = engines[: self._limits.engines]

    def on_answered(self, backend: str) -> None:
        """Notes that the question to an engine has ended."""
        self._asked.discard(backend)

    def due(self, now_s: float) -> Sequence[BackendServer]:
        """Returns the engines to ask now."""
        chosen: list[BackendServer] = []
        self._next_s = max(self._next_s, now_s - self.interval_s)
        while self._followed and self._next_s <= now_s and len(chosen) < len(self._followed):
            self._next_s += self.interval_s / len(self._followed)
            self._turn = (self._turn + 1) % len(self._followed)
            server = self._followed[self._turn]
            if server.name not in self._asked:
                self._asked.add(server.name)
                chosen.append(server)
        return chosen

"""Routing: chooses the backend server for an attempt.

The policy varies, so it is a `Protocol`; the simplest baseline stands here.
"""

from collections.abc import Sequence
from typing import Protocol

from attrs import frozen

from berylquay.decisions.calls import Call
from berylquay.decisions.fleet import BackendServer, LoadReport


@frozen
class Candidate:
    """A backend server that could run a call now."""

    # The server itself.
    server: BackendServer
    # Attempts that this host has in flight on it.
    in_flight: int
    # Newest report, or None if none has come.
    report: LoadReport | None


class RoutingPolicy(Protocol):
    """Chooses one of the servers that could run a call."""

    def choose(self, call: Call, candidates: Sequence[Candidate], now_s: float) -> str | None:
        """Returns the name of the chosen server, or None if none should take the call."""


class LeastInFlight:
    """Chooses the server with the fewest attempts in flight from this host."""

    def choose(self, call: Call, candidates: Sequence[Candidate], now_s: float) -> str | None:
        """Returns the name of the least loaded server, or None without candidates."""
        if not candidates:
            return None
        chosen = min(candidates, key=lambda candidate: (candidate.in_flight, candidate.server.name))
        return chosen.server.name

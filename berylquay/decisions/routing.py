"""Routing: chooses the backend server for an attempt.

The policy varies, so it is a `Protocol`; the simplest baselines stand here. Policies look at the
fleet through `Candidates`, which `berylquay.decisions.fleet_load` keeps up to date at a cost per
event that does not grow with the fleet.
"""

from collections import Counter
from collections.abc import Sequence
from typing import Protocol

from attrs import define, field, frozen

from berylquay.decisions.calls import Call
from berylquay.decisions.fleet import BackendServer, LoadReport


@define
class Candidate:
    """A backend server that could run a call now, with what is known of its load."""

    # The server itself.
    server: BackendServer
    # Attempts that this host has in flight on it.
    in_flight: int
    # Newest report, or None if none has come.
    report: LoadReport | None
    # Prompt tokens that this host sent to it and whose first token has not come back.
    pending_prompt_tokens: int = 0
    # Prompt tokens that this host sent to it since the newest report came.
    prompt_tokens_since_report: int = 0
    # Attempts that this host started on it, less those that ended, since the newest report came.
    started_since_report: int = 0
    # The pending prompt tokens of this host by the priority of their class.
    pending_by_priority: Counter[int] = field(factory=Counter)

    def pending_fraction(self, priority: int) -> float:
        """Returns the part of the pending prompt tokens that goes before or with a priority."""
        if self.pending_prompt_tokens <= 0:
            return 1.0
        ahead = sum(count for other, count in self.pending_by_priority.items() if other <= priority)
        return ahead / self.pending_prompt_tokens


@frozen
class Candidates:
    """The servers that could run a call, by nearness; nothing in it is copied for one call."""

    # Servers in the host's own data centre that can begin a generation, or services.
    local: Sequence[Candidate]
    # Servers elsewhere that can begin a generation, or services.
    remote: Sequence[Candidate] = ()
    # Servers that must not be chosen.
    excluded: frozenset[str] = frozenset()
    # Engines of the own data centre that take over KV cache after a prefill.
    decode_engines: Sequence[Candidate] = ()
    # Server that the content's prefix belongs to, or None to take it from the order of the locals.
    preferred: Candidate | None = None

    def __len__(self) -> int:
        """Returns the number of servers, the avoided ones among them."""
        return len(self.local) + len(self.remote)


class RoutingPolicy(Protocol):
    """Chooses one of the servers that could run a call."""

    def choose(self, call: Call, candidates: Candidates, now_s: float) -> Candidate | None:
        """Returns the chosen server, or None if none should take the call."""

    def choose_decode_engine(
        self, call: Call, decode_engines: Sequence[Candidate], now_s: float
    ) -> Candidate | None:
        """Returns the engine of the same data centre that takes over the KV cache, or None."""


def allowed_candidates(candidates: Candidates) -> Sequence[Candidate]:
    """Returns the candidates that may be chosen, own data centre first if it has any."""
    local = [c for c in candidates.local if c.server.name not in candidates.excluded]
    if local:
        return local
    return [c for c in candidates.remote if c.server.name not in candidates.excluded]


class LeastInFlight:
    """Chooses the server with the fewest attempts in flight from this host."""

    def choose(self, call: Call, candidates: Candidates, now_s: float) -> Candidate | None:
        """Returns the least loaded server, or None without candidates."""
        return min(allowed_candidates(candidates), key=_by_in_flight, default=None)

    def choose_decode_engine(
        self, call: Call, decode_engines: Sequence[Candidate], now_s: float
    ) -> Candidate | None:
        """Returns the least loaded decoder, or None without any."""
        return min(decode_engines, key=_by_in_flight, default=None)


class RoundRobin:
    """Chooses the servers in turn."""

    # Number of choices made so far.
    _choice_count: int

    def __init__(self) -> None:
        self._choice_count = 0

    def choose(self, call: Call, candidates: Candidates, now_s: float) -> Candidate | None:
        """Returns the next server, or None without candidates."""
        return self._next(allowed_candidates(candidates))

    def choose_decode_engine(
        self, call: Call, decode_engines: Sequence[Candidate], now_s: float
    ) -> Candidate | None:
        """Returns the next decoder, or None without any."""
        return self._next(decode_engines)

    def _next(self, servers: Sequence[Candidate]) -> Candidate | None:
        if not servers:
            return None
        self._choice_count += 1
        return servers[self._choice_count % len(servers)]


class LeastLoaded:
    """Chooses by the newest reports and the attempts since, without regard to prefixes."""

    def choose(self, call: Call, candidates: Candidates, now_s: float) -> Candidate | None:
        """Returns the server with the least load, or None without candidates."""
        return min(allowed_candidates(candidates), key=_by_reported_load, default=None)

    def choose_decode_engine(
        self, call: Call, decode_engines: Sequence[Candidate], now_s: float
    ) -> Candidate | None:
        """Returns the decoder with the least load, or None without any."""
        return min(decode_engines, key=_by_reported_load, default=None)


def _by_in_flight(candidate: Candidate) -> tuple[int, str]:
    return candidate.in_flight, candidate.server.name


def _by_reported_load(candidate: Candidate) -> tuple[int, int, str]:
    report = candidate.report
    reported = report.running + report.waiting if report else candidate.in_flight
    return reported + candidate.started_since_report, candidate.in_flight, candidate.server.name

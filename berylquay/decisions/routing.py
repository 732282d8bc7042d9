"""Routing: chooses the backend server for an attempt.

The policy is interchangeable, so it is a `Protocol`; this module has the simplest baselines.
Policies see the fleet through `Candidates`, which `berylquay.decisions.fleet_load` keeps up to date
at a cost per event that does not grow with the fleet.
"""

from collections import Counter
from collections.abc import Sequence
from typing import Protocol

from attrs import define, field, frozen

from berylquay.decisions.calls import Call
from berylquay.decisions.fleet import BackendServer, LoadReport


@define
class Candidate:
    """A backend server that could run a call now, with its load as known to this host."""

    # The server itself.
    server: BackendServer
    # Number of attempts that this host has in flight on the server.
    in_flight: int
    # Newest load report, or None before the first.
    report: LoadReport | None
    # Prompt tokens of this host's attempts on the server that have not received their first token.
    pending_prompt_tokens: int = 0
    # Prompt tokens that this host has sent to the server since the newest report.
    prompt_tokens_since_report: int = 0
    # Attempts that this host has started on the server since the newest report, less those that
    # ended.
    started_since_report: int = 0
    # The pending prompt tokens by the priority of their class; a lower number goes first.
    pending_by_priority: Counter[int] = field(factory=Counter)

    def pending_fraction(self, priority: int) -> float:
        """Returns the fraction of the pending prompt tokens with this or a more urgent priority.

        Returns 1 if there are no pending prompt tokens.
        """
        if self.pending_prompt_tokens <= 0:
            return 1.0
        tokens_ahead = sum(
            count for other, count in self.pending_by_priority.items() if other <= priority
        )
        return tokens_ahead / self.pending_prompt_tokens


@frozen
class Candidates:
    """The servers that could run a call; the lists are shared between calls and not copied."""

    # Servers in the host's own data centre: services, or engines that can start a generation.
    local: Sequence[Candidate]
    # Servers in other data centres: services, or engines that can start a generation.
    remote: Sequence[Candidate] = ()
    # Names of servers that must not be chosen.
    excluded: frozenset[str] = frozenset()
    # Engines of the host's own data centre that can receive the KV cache after a prefill.
    decode_engines: Sequence[Candidate] = ()
    # Server with cache affinity for the prompt's prefix; None to select it by a hash over `local`.
    preferred: Candidate | None = None

    def __len__(self) -> int:
        """Returns the number of servers, including the excluded ones."""
        return len(self.local) + len(self.remote)


class RoutingPolicy(Protocol):
    """Chooses one of the servers that could run a call."""

    def choose(self, call: Call, candidates: Candidates, now_s: float) -> Candidate | None:
        """Returns the chosen server, or None if none should take the call."""

    def choose_decode_engine(
        self, call: Call, decode_engines: Sequence[Candidate], now_s: float
    ) -> Candidate | None:
        """Returns the engine that receives the KV cache and decodes, or None if none should."""


def allowed_candidates(candidates: Candidates) -> Sequence[Candidate]:
    """Returns the local candidates that may be chosen, or the remote ones if there are none."""
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
        """Returns the least loaded decode engine, or None without any."""
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
        """Returns the next decode engine, or None without any."""
        return self._next(decode_engines)

    def _next(self, servers: Sequence[Candidate]) -> Candidate | None:
        if not servers:
            return None
        self._choice_count += 1
        return servers[self._choice_count % len(servers)]


class LeastLoaded:
    """Chooses by the newest load reports and the attempts since, ignoring cache affinity."""

    def choose(self, call: Call, candidates: Candidates, now_s: float) -> Candidate | None:
        """Returns the server with the least load, or None without candidates."""
        return min(allowed_candidates(candidates), key=_by_reported_load, default=None)

    def choose_decode_engine(
        self, call: Call, decode_engines: Sequence[Candidate], now_s: float
    ) -> Candidate | None:
        """Returns the decode engine with the least load, or None without any."""
        return min(decode_engines, key=_by_reported_load, default=None)


def _by_in_flight(candidate: Candidate) -> tuple[int, str]:
    return candidate.in_flight, candidate.server.name


def _by_reported_load(candidate: Candidate) -> tuple[int, int, str]:
    report = candidate.report
    reported_requests = report.running + report.waiting if report else candidate.in_flight
    return (
        reported_requests + candidate.started_since_report,
        candidate.in_flight,
        candidate.server.name,
    )

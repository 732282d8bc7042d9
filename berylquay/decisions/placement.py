"""Placement: bounds the backend servers that a content may reach, and lets routing choose there."""

from collections.abc import Iterator
from itertools import chain, islice
from typing import Final

from attrs import frozen

from berylquay.decisions.calls import Call
from berylquay.decisions.routing import Candidate, Candidates, RoutingPolicy
from berylquay.decisions.serving import ServingSet
from berylquay.decisions.suspects import Standing, SuspectLedger

# Servers that copies of one content may reach before anything is known of it.
EXPOSED_SERVERS: Final = 3
# Time after which a suspect may go back to a server that was lost under it, if no other is left.
RETURN_AFTER_S: Final = 10.0


@frozen
class Choice:
    """Where a call may run now."""

    # The chosen server, or None if there is none.
    candidate: Candidate | None
    # Whether the call should wait because another suspect has its server to itself.
    wait: bool = False


class Placement:
    """Chooses servers for attempts and keeps suspects apart from each other."""

    # Chooses among the servers that it is given.
    _routing: RoutingPolicy
    # Servers that may take new work.
    _serving: ServingSet
    # What is known of contents.
    _ledger: SuspectLedger
    # Server by isolated content that is running.
    _isolated: dict[str, str]

    def __init__(self, routing: RoutingPolicy, serving: ServingSet, ledger: SuspectLedger) -> None:
        self._routing = routing
        self._serving = serving
        self._ledger = ledger
        self._isolated = {}

    def choose(self, call: Call, avoided: frozenset[str], now_s: float) -> Choice:
        """Returns the server on which the call should run now, if any."""
        standing = self._ledger.standing_of(call.fingerprint)
        if standing is Standing.QUARANTINED:
            return Choice(None)
        if standing is Standing.CLEAR:
            return Choice(self._choose_clear(call, avoided, now_s))
        if standing is Standing.ISOLATED:
            return self._choose_isolated(call, avoided, now_s)
        return Choice(self._first_accepted(call, self._suspect_order(call, avoided, now_s), now_s))

    def on_started(self, call: Call, backend: str) -> None:
        """Takes note that an attempt of the call starts."""
        if self._ledger.standing_of(call.fingerprint) is Standing.ISOLATED:
            self._isolated[call.fingerprint] = backend

    def on_ended(self, call: Call, backend: str) -> None:
        """Takes note that an attempt of the call has ended."""
        if self._isolated.get(call.fingerprint) == backend:
            del self._isolated[call.fingerprint]

    def _choose_clear(self, call: Call, avoided: frozenset[str], now_s: float) -> Candidate | None:
        near = self._serving.near_order(call)
        exposed = list(islice(near, EXPOSED_SERVERS))
        chosen = self._route(call, exposed, avoided, now_s)
        if chosen is None:
            chosen = self._route(call, [*near], avoided, now_s)
        if chosen is None:
            chosen = self._route(call, [*self._serving.far_order(call)], avoided, now_s)
        return chosen

    def _choose_isolated(self, call: Call, avoided: frozenset[str], now_s: float) -> Choice:
        if call.fingerprint in self._isolated:
            return Choice(None, wait=True)
        order = list(self._suspect_order(call, avoided, now_s))
        taken = set(self._isolated.values())
        free = (candidate for candidate in order if candidate.server.name not in taken)
        chosen = self._first_accepted(call, free, now_s)
        return Choice(chosen, wait=chosen is None and bool(order) and bool(taken))

    def _suspect_order(
        self, call: Call, avoided: frozenset[str], now_s: float
    ) -> Iterator[Candidate]:
        lost_at_s = {loss.backend: loss.lost_s for loss in self._ledger.losses_of(call.fingerprint)}
        near = [c for c in self._serving.near_order(call) if c.server.name not in avoided]
        untouched = [c for c in near if c.server.name not in lost_at_s]
        returned = [
            c for c in near if now_s - lost_at_s.get(c.server.name, now_s) >= RETURN_AFTER_S
        ]
        return chain(untouched, returned)

    def _first_accepted(
        self, call: Call, order: Iterator[Candidate], now_s: float
    ) -> Candidate | None:
        for candidate in order:
            if self._routing.choose(call, Candidates([candidate]), now_s) is not None:
                return candidate
        return None

    def _route(
        self, call: Call, candidates: list[Candidate], avoided: frozenset[str], now_s: float
    ) -> Candidate | None:
        allowed = [c for c in candidates if c.server.name not in avoided] if avoided else candidates
        if not allowed:
            return None
        return self._routing.choose(call, Candidates(allowed), now_s)

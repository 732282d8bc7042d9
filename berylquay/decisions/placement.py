"""Placement: bounds the backend servers that a content may reach, and lets routing choose there."""

from collections.abc import Iterator
from itertools import islice
from typing import Final

from attrs import frozen

from berylquay.decisions.calls import Call
from berylquay.decisions.isolation import ClaimState, Isolation
from berylquay.decisions.routing import Candidate, Candidates, RoutingPolicy
from berylquay.decisions.serving import Place, ServingSet
from berylquay.decisions.suspects import Standing, SuspectLedger
from berylquay.peers.payloads import IsolationClaim

# Servers that copies of one content may reach before anything is known of it.
EXPOSED_SERVERS: Final = 3
# Servers of other data centres that copies of one content may reach while near ones are in service.
EXPOSED_ELSEWHERE: Final = 2
# Time after which a suspect may go back to a server that was lost under it, if no other is left.
RETURN_AFTER_S: Final = 10.0


@frozen
class Choice:
    """Where a call may run now."""

    # The chosen server, or None if there is none.
    candidate: Candidate | None
    # Whether the call should wait because another suspect has its server to itself.
    wait: bool = False
    # What peers must be told of the server that the call claims or gives up, if anything.
    claim: IsolationClaim | None = None


class Placement:
    """Chooses servers for attempts and keeps suspects apart from each other."""

    # Chooses among the servers that it is given.
    _routing: RoutingPolicy
    # Servers that may take new work.
    _serving: ServingSet
    # What is known of contents.
    _ledger: SuspectLedger
    # Servers that suspects have to themselves.
    _isolation: Isolation

    def __init__(
        self,
        routing: RoutingPolicy,
        serving: ServingSet,
        ledger: SuspectLedger,
        isolation: Isolation,
    ) -> None:
        self._routing = routing
        self._serving = serving
        self._ledger = ledger
        self._isolation = isolation

    def choose(self, call: Call, avoided: frozenset[str], now_s: float) -> Choice:
        """Returns the server on which the call should run now, if any."""
        standing = self._ledger.standing_of(call.fingerprint)
        if standing is Standing.QUARANTINED:
            return Choice(None)
        if standing is Standing.CLEAR:
            return Choice(self._choose_clear(call, avoided, now_s))
        place = self._first_accepted(call, avoided, now_s)
        if standing is Standing.ISOLATED:
            return self._choose_isolated(call, place, now_s)
        if place is None or place.usable:
            return Choice(place.candidate if place else None)
        return Choice(None, wait=True)

    def _choose_clear(self, call: Call, avoided: frozenset[str], now_s: float) -> Candidate | None:
        near = self._serving.near_order(call, now_s)
        exposed = _usable(islice(near, EXPOSED_SERVERS), avoided)
        chosen = self._route(call, exposed, self._elsewhere(call, avoided, now_s), now_s)
        if chosen is None:
            chosen = self._route(call, _usable(near, avoided), [], now_s)
        if chosen is None:
            far = self._serving.far_order(call, now_s)
            chosen = self._route(call, _usable(far, avoided), [], now_s)
        return chosen

    def _elsewhere(self, call: Call, avoided: frozenset[str], now_s: float) -> list[Candidate]:
        far = self._serving.far_order(call, now_s)
        return _usable(islice(far, EXPOSED_ELSEWHERE), avoided)

    def _choose_isolated(self, call: Call, place: Place | None, now_s: float) -> Choice:
        fingerprint = call.fingerprint
        name = place.candidate.server.name if place is not None and place.usable else ""
        claim = self._isolation.own_claim(fingerprint, now_s)
        if claim is None:
            if place is None or not name or self._isolation.is_claimed(name, fingerprint, now_s):
                return Choice(None, wait=place is not None)
            made = self._isolation.claim(fingerprint, name, now_s)
            return Choice(None, wait=True, claim=made)
        backend, state = claim
        if state is not ClaimState.READY:
            return Choice(None, wait=True)
        if place is not None and name == backend:
            return Choice(place.candidate)
        return Choice(None, wait=True, claim=self._isolation.release(fingerprint))

    def _first_accepted(self, call: Call, avoided: frozenset[str], now_s: float) -> Place | None:
        for place in self._suspect_order(call, avoided, now_s):
            if not place.usable or self._accepts(call, place.candidate, now_s):
                return place
        return None

    def _accepts(self, call: Call, candidate: Candidate, now_s: float) -> bool:
        return self._routing.choose(call, Candidates([candidate]), now_s) is not None

    def _suspect_order(self, call: Call, avoided: frozenset[str], now_s: float) -> Iterator[Place]:
        lost_at_s = {loss.backend: loss.lost_s for loss in self._ledger.losses_of(call.fingerprint)}
        returned: list[Place] = []
        for place in self._serving.near_order(call, now_s):
            name = place.candidate.server.name
            if name in avoided and place.usable:
                continue
            if name not in lost_at_s:
                yield place
            elif place.usable and now_s >= lost_at_s[name] + RETURN_AFTER_S:
                returned.append(place)
        yield from returned

    def _route(
        self, call: Call, near: list[Candidate], far: list[Candidate], now_s: float
    ) -> Candidate | None:
        if not near:
            return None
        # An order leads with the prefix's home; if that is out of service, the next stands in.
        return self._routing.choose(call, Candidates(near, far, home=near[0]), now_s)


def _usable(places: Iterator[Place], avoided: frozenset[str]) -> list[Candidate]:
    return [
        place.candidate
        for place in places
        if place.usable and place.candidate.server.name not in avoided
    ]

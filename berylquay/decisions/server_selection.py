"""Server selection: limits the servers that a content may reach; routing chooses among these.

The limit keeps a poison request, whose content crashes servers, from reaching many of them.
"""

from collections.abc import Iterator
from itertools import islice
from typing import Final

from attrs import frozen

from berylquay.decisions.available_servers import AvailableServers, RankedServer
from berylquay.decisions.calls import Call
from berylquay.decisions.crash_history import CrashHistory, Suspicion
from berylquay.decisions.isolation import IsolationClaims, IsolationState
from berylquay.decisions.routing import Candidate, Candidates, RoutingPolicy
from berylquay.peers.payloads import IsolationClaim

# Number of servers that requests with the same content may reach before it is suspected.
MAX_EXPOSED_SERVERS: Final = 3
# Number of servers of other data centres that requests with the same content may reach while
# local ones are available.
MAX_EXPOSED_REMOTE_SERVERS: Final = 2
# Time after which a suspected content may run again on a server that crashed under it, if no other
# server is left.
CRASHED_SERVER_COOLDOWN_S: Final = 10.0


@frozen
class Selection:
    """Result of selecting a server for a call."""

    # Selected server, or None if there is none or the call must wait.
    candidate: Candidate | None
    # Whether the call must wait: its server is claimed for another suspected content, its own claim
    # is not ready, or crash reports about a recently ejected server may still arrive.
    must_wait: bool = False
    # Notification for the peers if the call claims a server or releases its claim, else None.
    claim: IsolationClaim | None = None


class ServerSelector:
    """Selects servers for attempts and keeps contents suspected of crashing servers apart."""

    # Policy that chooses among the permitted servers.
    _routing: RoutingPolicy
    # Servers that can accept new work.
    _servers: AvailableServers
    # Crashes by content.
    _crash_history: CrashHistory
    # Claims of servers for isolated contents.
    _isolation: IsolationClaims

    def __init__(
        self,
        routing: RoutingPolicy,
        servers: AvailableServers,
        crash_history: CrashHistory,
        isolation: IsolationClaims,
    ) -> None:
        self._routing = routing
        self._servers = servers
        self._crash_history = crash_history
        self._isolation = isolation

    def select(self, call: Call, excluded: frozenset[str], now_s: float) -> Selection:
        """Returns the server on which the call should run now, or whether it must wait.

        Args:
            call: The call.
            excluded: Names of the servers on which an attempt of the call failed.
            now_s: Present time.
        """
        suspicion = self._crash_history.suspicion_of(call.fingerprint)
        if suspicion is Suspicion.QUARANTINED:
            return Selection(None)
        if suspicion is Suspicion.NONE:
            return Selection(self._select_unsuspected(call, excluded, now_s))
        ranked = self._first_accepted(call, excluded, now_s)
        if suspicion is Suspicion.ISOLATED:
            return self._select_isolated(call, ranked, now_s)
        if ranked is None or ranked.usable:
            return Selection(ranked.candidate if ranked else None)
        return Selection(None, must_wait=True)

    def _select_unsuspected(
        self, call: Call, excluded: frozenset[str], now_s: float
    ) -> Candidate | None:
        local = self._servers.local_order(call, now_s)
        exposed = _usable_candidates(islice(local, MAX_EXPOSED_SERVERS), excluded)
        chosen = self._route(call, exposed, self._remote_candidates(call, excluded, now_s), now_s)
        if chosen is None:
            chosen = self._route(call, _usable_candidates(local, excluded), [], now_s)
        if chosen is None:
            remote = self._servers.remote_order(call, now_s)
            chosen = self._route(call, _usable_candidates(remote, excluded), [], now_s)
        return chosen

    def _remote_candidates(
        self, call: Call, excluded: frozenset[str], now_s: float
    ) -> list[Candidate]:
        remote = self._servers.remote_order(call, now_s)
        return _usable_candidates(islice(remote, MAX_EXPOSED_REMOTE_SERVERS), excluded)

    def _select_isolated(self, call: Call, ranked: RankedServer | None, now_s: float) -> Selection:
        fingerprint = call.fingerprint
        name = ranked.candidate.server.name if ranked is not None and ranked.usable else ""
        claim = self._isolation.local_claim(fingerprint, now_s)
        if claim is None:
            if ranked is None or not name or self._isolation.is_claimed(name, fingerprint, now_s):
                return Selection(None, must_wait=ranked is not None)
            new_claim = self._isolation.claim(fingerprint, name, now_s)
            return Selection(None, must_wait=True, claim=new_claim)
        backend, state = claim
        if state is not IsolationState.READY:
            return Selection(None, must_wait=True)
        if ranked is not None and name == backend:
            return Selection(ranked.candidate)
        return Selection(None, must_wait=True, claim=self._isolation.release(fingerprint))

    def _first_accepted(
        self, call: Call, excluded: frozenset[str], now_s: float
    ) -> RankedServer | None:
        for ranked in self._suspect_order(call, excluded, now_s):
            if not ranked.usable or self._accepts(call, ranked.candidate, now_s):
                return ranked
        return None

    def _accepts(self, call: Call, candidate: Candidate, now_s: float) -> bool:
        return self._routing.choose(call, Candidates([candidate]), now_s) is not None

    def _suspect_order(
        self, call: Call, excluded: frozenset[str], now_s: float
    ) -> Iterator[RankedServer]:
        crashed_at_s = {
            crash.backend: crash.crashed_at_s
            for crash in self._crash_history.crashes_of(call.fingerprint)
        }
        cooled_down: list[RankedServer] = []
        for ranked in self._servers.local_order(call, now_s):
            name = ranked.candidate.server.name
            if name in excluded and ranked.usable:
                continue
            if name not in crashed_at_s:
                yield ranked
            elif ranked.usable and now_s >= crashed_at_s[name] + CRASHED_SERVER_COOLDOWN_S:
                cooled_down.append(ranked)
        yield from cooled_down

    def _route(
        self, call: Call, local: list[Candidate], remote: list[Candidate], now_s: float
    ) -> Candidate | None:
        if not local:
            return None
        # The preference order starts with the server that has cache affinity; if that one is not
        # available, the next takes its place.
        return self._routing.choose(call, Candidates(local, remote, preferred=local[0]), now_s)


def _usable_candidates(
    ranked_servers: Iterator[RankedServer], excluded: frozenset[str]
) -> list[Candidate]:
    return [
        ranked.candidate
        for ranked in ranked_servers
        if ranked.usable and ranked.candidate.server.name not in excluded
    ]

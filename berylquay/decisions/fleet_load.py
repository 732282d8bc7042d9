"""Load of the fleet as known to one host: its own attempts, and load reports, which lag.

The cost of an event does not depend on the size of the fleet, except that a newer membership list,
a drain, or a server that changes its role rebuilds the lists that routing reads.
"""

from collections import defaultdict

from berylquay.decisions.fleet import (
    BackendServer,
    Liveness,
    LoadReport,
    MembershipView,
    Role,
)
from berylquay.decisions.routing import Candidate, Candidates


class FleetLoad:
    """Keeps the candidates of each pool and their load up to date."""

    # Data centre of this host.
    _data_centre: str
    # All servers on the membership list by name.
    _candidates: dict[str, Candidate]
    # Names of the servers that must get no new work.
    _draining: set[str]
    # Servers of this host's data centre that can start a call, by pool.
    _local: defaultdict[str, list[Candidate]]
    # Servers of other data centres that can start a call, by pool.
    _remote: defaultdict[str, list[Candidate]]
    # Engines that can receive KV cache after a prefill, by pool and data centre.
    _decode_engines: defaultdict[tuple[str, str], list[Candidate]]

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._candidates = {}
        self._draining = set()
        self._rebuild()

    def on_membership(self, view: MembershipView) -> None:
        """Replaces the membership list; servers that stay on it keep their load."""
        self._candidates = {
            server.name: self._updated_candidate(server) for server in view.backends
        }
        self._rebuild()

    def on_drain_changed(self, backend: str, draining: bool) -> None:
        """Excludes a draining server from new work, or includes it again."""
        if draining:
            self._draining.add(backend)
        else:
            self._draining.discard(backend)
        self._rebuild()

    def on_report(self, report: LoadReport) -> None:
        """Records a load report; reports of unknown servers are ignored."""
        candidate = self._candidates.get(report.backend)
        if candidate is None:
            return
        role_before = _role_of(candidate)
        candidate.report = report
        candidate.prompt_tokens_since_report = 0
        candidate.started_since_report = 0
        if _role_of(candidate) is not role_before:
            self._rebuild()

    def on_sent(self, backend: str, prompt_tokens: int, priority: int = 0) -> None:
        """Counts an attempt that this host sends to a server."""
        candidate = self._candidates.get(backend)
        if candidate is None:
            return
        candidate.in_flight += 1
        candidate.pending_prompt_tokens += prompt_tokens
        candidate.pending_by_priority[priority] += prompt_tokens
        candidate.prompt_tokens_since_report += prompt_tokens
        candidate.started_since_report += 1

    def on_first_token(self, backend: str, prompt_tokens: int, priority: int = 0) -> None:
        """Counts the prompt of an attempt as prefilled."""
        candidate = self._candidates.get(backend)
        if candidate is not None:
            candidate.pending_prompt_tokens -= prompt_tokens
            candidate.pending_by_priority[priority] -= prompt_tokens

    def on_ended(self, backend: str) -> None:
        """Counts an attempt on a server as ended."""
        candidate = self._candidates.get(backend)
        if candidate is not None:
            # The count restarts at 0 for a server that left the membership list and came back.
            candidate.in_flight = max(candidate.in_flight - 1, 0)
            candidate.started_since_report -= 1

    def get(self, backend: str) -> Candidate | None:
        """Returns the server with that name, or None if it is not on the membership list."""
        return self._candidates.get(backend)

    def candidates(self, pool: str, excluded: frozenset[str] = frozenset()) -> Candidates:
        """Returns the candidates for a call in the pool.

        Args:
            pool: Name of the pool.
            excluded: Names of servers that must not be chosen.
        """
        decode_engines = self._decode_engines[pool, self._data_centre]
        return Candidates(self._local[pool], self._remote[pool], excluded, decode_engines)

    def decode_engines(self, pool: str, data_centre: str) -> list[Candidate]:
        """Returns the data centre's decode engines, or its mixed engines if it has none."""
        return self._decode_engines[pool, data_centre]

    def _updated_candidate(self, server: BackendServer) -> Candidate:
        existing = self._candidates.get(server.name)
        if existing is None:
            return Candidate(server, 0, None)
        existing.server = server
        return existing

    def _rebuild(self) -> None:
        self._local = defaultdict(list)
        self._remote = defaultdict(list)
        self._decode_engines = defaultdict(list)
        usable = [c for c in self._candidates.values() if self._is_usable(c)]
        for role in (Role.DECODE, Role.MIXED):
            self._add_decode_engines([c for c in usable if _role_of(c) is role])
        for candidate in usable:
            self._add_if_can_start_calls(candidate)

    def _add_decode_engines(self, engines: list[Candidate]) -> None:
        locations_with_engines = frozenset(self._decode_engines)
        for engine in engines:
            location = (engine.server.pool, engine.server.data_centre)
            if location not in locations_with_engines:
                self._decode_engines[location].append(engine)

    def _add_if_can_start_calls(self, candidate: Candidate) -> None:
        server = candidate.server
        role = _role_of(candidate)
        if role is Role.DECODE:
            return
        if role is Role.PREFILL and not self._decode_engines[server.pool, server.data_centre]:
            return
        is_local = server.data_centre == self._data_centre
        candidates = self._local if is_local else self._remote
        candidates[server.pool].append(candidate)

    def _is_usable(self, candidate: Candidate) -> bool:
        is_live = candidate.server.liveness is Liveness.LIVE
        return is_live and candidate.server.name not in self._draining


def _role_of(candidate: Candidate) -> Role:
    return candidate.report.role if candidate.report else Role.MIXED

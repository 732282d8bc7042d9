"""Load of the fleet as one host knows it: its own attempts, and load reports that lag.

Every event costs the same however large the fleet is; only a newer membership list, or a server
that changes its role, touches the lists that routing reads.
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
    # Every server of the membership list by name.
    _candidates: dict[str, Candidate]
    # Names that must get no new work.
    _draining: set[str]
    # Servers that can begin a generation, by pool, in the own data centre.
    _local: defaultdict[str, list[Candidate]]
    # Servers that can begin a generation, by pool, elsewhere.
    _remote: defaultdict[str, list[Candidate]]
    # Engines that take over KV cache, by pool and data centre.
    _decode_engines: defaultdict[tuple[str, str], list[Candidate]]

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._candidates = {}
        self._draining = set()
        self._rebuild()

    def on_membership(self, view: MembershipView) -> None:
        """Takes a newer membership list and keeps the load of servers that stay."""
        self._candidates = {
            server.name: self._updated_candidate(server) for server in view.backends
        }
        self._rebuild()

    def on_drain_changed(self, backend: str, draining: bool) -> None:
        """Begins or ceases to keep new work away from a server."""
        if draining:
            self._draining.add(backend)
        else:
            self._draining.discard(backend)
        self._rebuild()

    def on_report(self, report: LoadReport) -> None:
        """Takes a load report."""
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
        """Counts an attempt that is sent to a server."""
        candidate = self._candidates.get(backend)
        if candidate is None:
            return
        candidate.in_flight += 1
        candidate.pending_prompt_tokens += prompt_tokens
        candidate.pending_by_priority[priority] += prompt_tokens
        candidate.prompt_tokens_since_report += prompt_tokens
        candidate.started_since_report += 1

    def on_first_token(self, backend: str, prompt_tokens: int, priority: int = 0) -> None:
        """Counts a prompt as prefilled."""
        candidate = self._candidates.get(backend)
        if candidate is not None:
            candidate.pending_prompt_tokens -= prompt_tokens
            candidate.pending_by_priority[priority] -= prompt_tokens

    def on_ended(self, backend: str) -> None:
        """Counts an attempt as ended."""
        candidate = self._candidates.get(backend)
        if candidate is not None:
            # A server that left the list and came back was counted anew.
            candidate.in_flight = max(candidate.in_flight - 1, 0)
            candidate.started_since_report -= 1

    def get(self, backend: str) -> Candidate | None:
        """Returns the server of that name, or None."""
        return self._candidates.get(backend)

    def candidates(self, pool: str, excluded: frozenset[str] = frozenset()) -> Candidates:
        """Returns the servers of the pool that can begin a call."""
        decode_engines = self._decode_engines[pool, self._data_centre]
        return Candidates(self._local[pool], self._remote[pool], excluded, decode_engines)

    def decode_engines(self, pool: str, data_centre: str) -> list[Candidate]:
        """Returns the data centre's decode engines, or its mixed ones if it has none."""
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
            self._add_entry_candidate(candidate)

    def _add_decode_engines(self, engines: list[Candidate]) -> None:
        already_served = frozenset(self._decode_engines)
        for engine in engines:
            location = (engine.server.pool, engine.server.data_centre)
            if location not in already_served:
                self._decode_engines[location].append(engine)

    def _add_entry_candidate(self, candidate: Candidate) -> None:
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
        live = candidate.server.liveness is Liveness.LIVE
        return live and candidate.server.name not in self._draining


def _role_of(candidate: Candidate) -> Role:
    return candidate.report.role if candidate.report else Role.MIXED

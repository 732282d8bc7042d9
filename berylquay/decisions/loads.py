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


class FleetLoads:
    """Keeps the candidates of each pool and their load up to date."""

    # Data centre of this host.
    _data_centre: str
    # Every server of the membership list by name.
    _by_name: dict[str, Candidate]
    # Names that must get no new work.
    _draining: set[str]
    # Servers that can begin a generation, by pool, in the own data centre.
    _local: defaultdict[str, list[Candidate]]
    # Servers that can begin a generation, by pool, elsewhere.
    _remote: defaultdict[str, list[Candidate]]
    # Engines that take over KV cache, by pool and data centre.
    _decoders: defaultdict[tuple[str, str], list[Candidate]]

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._by_name = {}
        self._draining = set()
        self._rebuild()

    def on_membership(self, view: MembershipView) -> None:
        """Takes a newer membership list and keeps the load of servers that stay."""
        self._by_name = {server.name: self._renewed(server) for server in view.backends}
        self._rebuild()

    def on_drain(self, backend: str, draining: bool) -> None:
        """Begins or ceases to keep new work away from a server."""
        if draining:
            self._draining.add(backend)
        else:
            self._draining.discard(backend)
        self._rebuild()

    def on_report(self, report: LoadReport) -> None:
        """Takes a load report."""
        candidate = self._by_name.get(report.backend)
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
        candidate = self._by_name.get(backend)
        if candidate is None:
            return
        candidate.in_flight += 1
        candidate.pending_prompt_tokens += prompt_tokens
        candidate.pending_by_priority[priority] += prompt_tokens
        candidate.prompt_tokens_since_report += prompt_tokens
        candidate.started_since_report += 1

    def on_first_token(self, backend: str, prompt_tokens: int, priority: int = 0) -> None:
        """Counts a prompt as prefilled."""
        candidate = self._by_name.get(backend)
        if candidate is not None:
            candidate.pending_prompt_tokens -= prompt_tokens
            candidate.pending_by_priority[priority] -= prompt_tokens

    def on_ended(self, backend: str) -> None:
        """Counts an attempt as ended."""
        candidate = self._by_name.get(backend)
        if candidate is not None:
            # A server that left the list and came back was counted anew.
            candidate.in_flight = max(candidate.in_flight - 1, 0)
            candidate.started_since_report -= 1

    def named(self, backend: str) -> Candidate | None:
        """Returns the server of that name, or None."""
        return self._by_name.get(backend)

    def candidates(self, pool: str, avoided: frozenset[str] = frozenset()) -> Candidates:
        """Returns the servers of the pool that can begin a call."""
        decoders = self._decoders[pool, self._data_centre]
        return Candidates(self._local[pool], self._remote[pool], avoided, decoders)

    def decoders(self, pool: str, data_centre: str) -> list[Candidate]:
        """Returns the data centre's decode engines, or its mixed ones if it has none."""
        return self._decoders[pool, data_centre]

    def _renewed(self, server: BackendServer) -> Candidate:
        known = self._by_name.get(server.name)
        if known is None:
            return Candidate(server, 0, None)
        known.server = server
        return known

    def _rebuild(self) -> None:
        self._local = defaultdict(list)
        self._remote = defaultdict(list)
        self._decoders = defaultdict(list)
        usable = [c for c in self._by_name.values() if self._is_usable(c)]
        for role in (Role.DECODE, Role.MIXED):
            self._add_decoders([c for c in usable if _role_of(c) is role])
        for candidate in usable:
            self._place(candidate)

    def _add_decoders(self, engines: list[Candidate]) -> None:
        covered = frozenset(self._decoders)
        for engine in engines:
            place = (engine.server.pool, engine.server.data_centre)
            if place not in covered:
                self._decoders[place].append(engine)

    def _place(self, candidate: Candidate) -> None:
        server = candidate.server
        role = _role_of(candidate)
        if role is Role.DECODE:
            return
        if role is Role.PREFILL and not self._decoders[server.pool, server.data_centre]:
            return
        nearby = server.data_centre == self._data_centre
        side = self._local if nearby else self._remote
        side[server.pool].append(candidate)

    def _is_usable(self, candidate: Candidate) -> bool:
        live = candidate.server.liveness is Liveness.LIVE
        return live and candidate.server.name not in self._draining


def _role_of(candidate: Candidate) -> Role:
    return candidate.report.role if candidate.report else Role.MIXED

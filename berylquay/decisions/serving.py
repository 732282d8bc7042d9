"""The serving set: which backend servers may take new work, and in which order for a content.

The order of a content is fixed by a hash ring, so that all hosts of a data centre come to the same
one without talking to each other. It bounds the servers that copies of one content can reach.
"""

from bisect import bisect
from collections import Counter
from collections.abc import Iterator
from hashlib import blake2b
from typing import Final

from attrs import frozen

from berylquay.decisions.calls import Call
from berylquay.decisions.fleet import BackendServer, EntryHost, Liveness, LoadReport, MembershipView
from berylquay.decisions.health import ServerHealth
from berylquay.decisions.routing import Candidate

POINTS_PER_SERVER: Final = 16
HASH_BYTES: Final = 8


@frozen
class HostPlace:
    """Where this entry host stands."""

    # Name of the host; empty in tests that need none.
    host: str = ""
    # Its data centre; empty if all backend servers count as near.
    data_centre: str = ""


@frozen
class Place:
    """A server's place in the order of a content."""

    # The server and its load.
    candidate: Candidate
    # Whether new work may go there. A server that was set aside just now keeps its place for a
    # moment, since peers may be about to report which content it was lost under.
    usable: bool


class HashRing:
    """Consistent hashing: gives each content its own order of the servers."""

    # Hashes in rising order.
    _points: list[int]
    # Server at each point.
    _servers: list[str]
    # Number of distinct servers.
    _count: int

    def __init__(self, servers: list[str]) -> None:
        pairs = sorted(
            (_hash(f"{name}#{n}"), name) for name in servers for n in range(POINTS_PER_SERVER)
        )
        self._points = [point for point, _ in pairs]
        self._servers = [name for _, name in pairs]
        self._count = len(servers)

    def order_of(self, key: str) -> Iterator[str]:
        """Yields every server once, in the key's order."""
        seen: set[str] = set()
        index = bisect(self._points, _hash(key))
        while len(seen) < self._count:
            name = self._servers[index % len(self._servers)]
            index += 1
            if name not in seen:
                seen.add(name)
                yield name


@frozen
class _Pool:
    """The live servers of one pool."""

    # Servers of this host's data centre.
    near: HashRing
    # Servers of the other data centres.
    far: HashRing


class ServingSet:
    """Knows the backend servers, their state, and what this host has in flight on them."""

    # Where this host stands.
    _place: HostPlace
    # Servers set aside by this host.
    _health: ServerHealth
    # Live servers by pool.
    _pools: dict[str, _Pool]
    # All servers on the list by name.
    _backends: dict[str, BackendServer]
    # Entry hosts on the list.
    _hosts: tuple[EntryHost, ...]
    # Newest load report by backend server.
    _reports: dict[str, LoadReport]
    # Servers that the configuration drains.
    _drained_by_configuration: frozenset[str]
    # Servers that an order drains.
    _drained_by_order: set[str]
    # Attempts in flight by backend server.
    _in_flight: Counter[str]

    def __init__(self, place: HostPlace, health: ServerHealth) -> None:
        self._place = place
        self._health = health
        self._pools = {}
        self._backends = {}
        self._hosts = ()
        self._reports = {}
        self._drained_by_configuration = frozenset()
        self._drained_by_order = set()
        self._in_flight = Counter()

    def on_membership(self, view: MembershipView) -> None:
        """Takes a newer membership list."""
        self._backends = {server.name: server for server in view.backends}
        self._hosts = view.hosts
        live = [server for server in view.backends if server.liveness is Liveness.LIVE]
        self._pools = {pool: self._pool_of(pool, live) for pool in {s.pool for s in live}}
        self._reports = {name: r for name, r in self._reports.items() if name in self._backends}
        self._health.forget_all_but(frozenset(self._backends))

    def on_load(self, report: LoadReport) -> None:
        """Takes a load report."""
        self._reports[report.backend] = report

    def on_configured_drains(self, draining: frozenset[str]) -> None:
        """Takes the servers that the configuration in force drains."""
        self._drained_by_configuration = draining

    def on_drain_changed(self, backend: str, draining: bool) -> None:
        """Takes an order to keep new work away from a server, or to cease doing so."""
        if draining:
            self._drained_by_order.add(backend)
        else:
            self._drained_by_order.discard(backend)

    def on_started(self, backend: str) -> None:
        """Counts an attempt."""
        self._in_flight[backend] += 1

    def on_ended(self, backend: str) -> None:
        """Counts an attempt off."""
        self._in_flight[backend] -= 1
        if not self._in_flight[backend]:
            del self._in_flight[backend]

    def in_flight(self, backend: str) -> int:
        """Returns the number of this host's attempts on the server."""
        return self._in_flight[backend]

    def knows(self, backend: str) -> bool:
        """Tells whether the server is on the membership list."""
        return backend in self._backends

    def peers(self) -> list[str]:
        """Returns the names of the other entry hosts of this data centre."""
        return [
            host.name
            for host in self._hosts
            if host.data_centre == self._place.data_centre and host.name != self._place.host
        ]

    def near_order(self, call: Call, now_s: float) -> Iterator[Place]:
        """Yields the near servers that are in service, in the order of the call's content."""
        pool = self._pools.get(call.spec.pool)
        if pool is not None:
            yield from self._places(pool.near.order_of(call.fingerprint), now_s)

    def far_order(self, call: Call, now_s: float) -> Iterator[Place]:
        """Yields the servers of other data centres, in the order of the call's content."""
        pool = self._pools.get(call.spec.pool)
        if pool is not None:
            yield from self._places(pool.far.order_of(call.fingerprint), now_s)

    def _pool_of(self, pool: str, live: list[BackendServer]) -> _Pool:
        members = [server for server in live if server.pool == pool]
        near = [server.name for server in members if self._is_near(server)]
        far = [server.name for server in members if not self._is_near(server)]
        return _Pool(HashRing(near), HashRing(far))

    def _is_near(self, server: BackendServer) -> bool:
        return self._place.data_centre in {"", server.data_centre}

    def _places(self, names: Iterator[str], now_s: float) -> Iterator[Place]:
        for name in names:
            aside = self._health.is_aside(name)
            newly_aside = aside and self._health.is_newly_aside(name, now_s)
            if not self._is_drained(name) and (not aside or newly_aside):
                server = self._backends[name]
                candidate = Candidate(server, self._in_flight[name], self._reports.get(name))
                yield Place(candidate, usable=not aside)

    def _is_drained(self, name: str) -> bool:
        return name in self._drained_by_configuration or name in self._drained_by_order


def _hash(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH_BYTES).digest(), "big")

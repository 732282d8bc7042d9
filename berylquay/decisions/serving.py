"""The serving set: which backend servers may take new work, and in which order for a content.

The order of a content is fixed by a hash ring, so that all hosts of a data centre come to the same
one without talking to each other. It bounds the servers that copies of one content can reach.
"""

from bisect import bisect
from collections import Counter, deque
from collections.abc import Iterator
from hashlib import blake2b
from itertools import chain
from typing import Final

from attrs import frozen

from berylquay.decisions.calls import Call
from berylquay.decisions.fleet import BackendServer, EntryHost, Liveness, LoadReport, MembershipView
from berylquay.decisions.health import ServerHealth
from berylquay.decisions.loads import FleetLoads
from berylquay.decisions.prefixes import prefix_key
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
    # Servers of each of the other data centres.
    far: tuple[HashRing, ...]


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
    # Load of the servers.
    _loads: FleetLoads
    # Servers that the configuration drains.
    _drained_by_configuration: frozenset[str]
    # Servers that an order drains.
    _drained_by_order: set[str]
    # Attempts in flight by backend server, whether or not the server is still on the list.
    _in_flight: Counter[str]
    # Rings in use by the names of their servers; a ring is costly to make at 12,000 servers.
    _rings: dict[tuple[str, ...], HashRing]

    def __init__(self, place: HostPlace, health: ServerHealth) -> None:
        self._place = place
        self._health = health
        self._pools = {}
        self._backends = {}
        self._hosts = ()
        self._loads = FleetLoads(place.data_centre)
        self._drained_by_configuration = frozenset()
        self._drained_by_order = set()
        self._in_flight = Counter()
        self._rings = {}

    def on_membership(self, view: MembershipView) -> None:
        """Takes a newer membership list."""
        self._backends = {server.name: server for server in view.backends}
        self._hosts = view.hosts
        self._loads.on_membership(view)
        self._pools = self._make_pools(view)
        self._health.forget_all_but(frozenset(self._backends))

    def on_load(self, report: LoadReport) -> None:
        """Takes a load report."""
        self._loads.on_report(report)

    def on_configured_drains(self, draining: frozenset[str]) -> None:
        """Takes the servers that the configuration in force drains."""
        self._drained_by_configuration = draining

    def on_drain_changed(self, backend: str, draining: bool) -> None:
        """Takes an order to keep new work away from a server, or to cease doing so."""
        if draining:
            self._drained_by_order.add(backend)
        else:
            self._drained_by_order.discard(backend)

    def on_started(self, call: Call, backend: str) -> None:
        """Counts an attempt."""
        self._in_flight[backend] += 1
        self._loads.on_sent(backend, call.prompt_tokens, call.spec.priority)

    def on_first_token(self, call: Call, backend: str) -> None:
        """Counts the attempt's prompt as prefilled."""
        self._loads.on_first_token(backend, call.prompt_tokens, call.spec.priority)

    def on_ended(self, backend: str) -> None:
        """Counts an attempt off."""
        self._in_flight[backend] -= 1
        if not self._in_flight[backend]:
            del self._in_flight[backend]
        self._loads.on_ended(backend)

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
        """Yields the near servers that are in service, in the order of the call's content.

        The first is the home of the content's prefix, which may have it cached.
        """
        pool = self._pools.get(call.spec.pool)
        if pool is not None:
            yield from self._places(_order_of(pool.near, call), now_s)

    def far_order(self, call: Call, now_s: float) -> Iterator[Place]:
        """Yields the servers of other data centres, each data centre's in its own order.

        A content thus reaches no more servers of a data centre from outside than from inside.
        """
        pool = self._pools.get(call.spec.pool)
        if pool is not None:
            orders = [_order_of(ring, call) for ring in pool.far]
            yield from self._places(_in_turn(orders), now_s)

    def has_other(self, call: Call, failed: frozenset[str], now_s: float) -> bool:
        """Tells whether a server may take the call that has not failed it."""
        places = chain(self.near_order(call, now_s), self.far_order(call, now_s))
        return any(p.usable and p.candidate.server.name not in failed for p in places)

    def _make_pools(self, view: MembershipView) -> dict[str, _Pool]:
        names: dict[str, dict[str, list[str]]] = {}
        for server in view.backends:
            if server.liveness is Liveness.LIVE:
                place = "" if self._is_near(server) else server.data_centre
                names.setdefault(server.pool, {}).setdefault(place, []).append(server.name)
        known, self._rings = self._rings, {}
        return {pool: self._pool_of(places, known) for pool, places in names.items()}

    def _pool_of(
        self, places: dict[str, list[str]], known: dict[tuple[str, ...], HashRing]
    ) -> _Pool:
        near = self._ring_of(places.get("", []), known)
        far = tuple(self._ring_of(names, known) for place, names in sorted(places.items()) if place)
        return _Pool(near, far)

    def _ring_of(self, names: list[str], known: dict[tuple[str, ...], HashRing]) -> HashRing:
        key = tuple(sorted(names))
        ring = known.get(key) or HashRing(list(key))
        self._rings[key] = ring
        return ring

    def _is_near(self, server: BackendServer) -> bool:
        return self._place.data_centre in {"", server.data_centre}

    def _places(self, names: Iterator[str], now_s: float) -> Iterator[Place]:
        for name in names:
            aside = self._health.is_aside(name)
            newly_aside = aside and self._health.is_newly_aside(name, now_s)
            if not self._is_drained(name) and (not aside or newly_aside):
                candidate = self._loads.named(name)
                if candidate is not None:
                    yield Place(candidate, usable=not aside)

    def _is_drained(self, name: str) -> bool:
        return name in self._drained_by_configuration or name in self._drained_by_order


def _hash(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH_BYTES).digest(), "big")


def _order_of(ring: HashRing, call: Call) -> Iterator[str]:
    order = ring.order_of(call.fingerprint)
    if not call.is_generation:
        yield from order
        return
    home = next(ring.order_of(str(prefix_key(call))), None)
    if home is not None:
        yield home
    yield from (name for name in order if name != home)


def _in_turn(orders: list[Iterator[str]]) -> Iterator[str]:
    # One at a time, since a call that needs two names must not hash its way into every data centre.
    left = deque(orders)
    while left:
        order = left.popleft()
        name = next(order, None)
        if name is not None:
            left.append(order)
            yield name

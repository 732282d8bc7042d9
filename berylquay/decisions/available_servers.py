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
from berylquay.decisions.fleet_load import FleetLoad
from berylquay.decisions.prefix_affinity import prefix_key
from berylquay.decisions.routing import Candidate
from berylquay.decisions.server_health import ServerHealth

VIRTUAL_NODES_PER_SERVER: Final = 16
HASH_BYTES: Final = 8


@frozen
class HostLocation:
    """Where this entry host stands."""

    # Name of the host; empty in tests that need none.
    host: str = ""
    # Its data centre; empty if all backend servers count as near.
    data_centre: str = ""


@frozen
class RankedServer:
    """A server's place in the order of a content."""

    # The server and its load.
    candidate: Candidate
    # Whether new work may go there. A server that was set aside just now keeps its place for a
    # moment, since peers may be about to report which content it was lost under.
    usable: bool


class HashRing:
    """Consistent hashing: gives each content its own order of the servers."""

    # Hashes in rising order.
    _hashes: list[int]
    # Server at each point.
    _hash_owners: list[str]
    # Number of distinct servers.
    _server_count: int

    def __init__(self, servers: list[str]) -> None:
        virtual_nodes = sorted(
            (_hash(f"{name}#{n}"), name)
            for name in servers
            for n in range(VIRTUAL_NODES_PER_SERVER)
        )
        self._hashes = [point for point, _ in virtual_nodes]
        self._hash_owners = [name for _, name in virtual_nodes]
        self._server_count = len(servers)

    def preference_order(self, key: str) -> Iterator[str]:
        """Yields every server once, in the key's order."""
        seen: set[str] = set()
        index = bisect(self._hashes, _hash(key))
        while len(seen) < self._server_count:
            name = self._hash_owners[index % len(self._hash_owners)]
            index += 1
            if name not in seen:
                seen.add(name)
                yield name


@frozen
class _PoolRings:
    """The live servers of one pool."""

    # Servers of this host's data centre.
    local: HashRing
    # Servers of each of the other data centres.
    remote: tuple[HashRing, ...]


class AvailableServers:
    """Knows the backend servers, their state, and what this host has in flight on them."""

    # Where this host stands.
    _location: HostLocation
    # Servers set aside by this host.
    _health: ServerHealth
    # Live servers by pool.
    _pools: dict[str, _PoolRings]
    # All servers on the list by name.
    _backends: dict[str, BackendServer]
    # Entry hosts on the list.
    _hosts: tuple[EntryHost, ...]
    # Load of the servers.
    _loads: FleetLoad
    # Servers that the configuration drains.
    _configured_drains: frozenset[str]
    # Servers that an order drains.
    _ordered_drains: set[str]
    # Attempts in flight by backend server, whether or not the server is still on the list.
    _in_flight: Counter[str]
    # Rings in use by the names of their servers; a ring is costly to make at 12,000 servers.
    _ring_cache: dict[tuple[str, ...], HashRing]

    def __init__(self, location: HostLocation, health: ServerHealth) -> None:
        self._location = location
        self._health = health
        self._pools = {}
        self._backends = {}
        self._hosts = ()
        self._loads = FleetLoad(location.data_centre)
        self._configured_drains = frozenset()
        self._ordered_drains = set()
        self._in_flight = Counter()
        self._ring_cache = {}

    def on_membership(self, view: MembershipView) -> None:
        """Takes a newer membership list."""
        self._backends = {server.name: server for server in view.backends}
        self._hosts = view.hosts
        self._loads.on_membership(view)
        self._pools = self._make_pools(view)
        self._health.retain(frozenset(self._backends))

    def on_load(self, report: LoadReport) -> None:
        """Takes a load report."""
        self._loads.on_report(report)

    def on_configured_drains(self, draining: frozenset[str]) -> None:
        """Takes the servers that the configuration in force drains."""
        self._configured_drains = draining

    def on_drain_changed(self, backend: str, draining: bool) -> None:
        """Takes an order to keep new work away from a server, or to cease doing so."""
        if draining:
            self._ordered_drains.add(backend)
        else:
            self._ordered_drains.discard(backend)

    def on_attempt_started(self, call: Call, backend: str) -> None:
        """Counts an attempt."""
        self._in_flight[backend] += 1
        self._loads.on_sent(backend, call.prompt_tokens, call.class_spec.priority)

    def on_first_token(self, call: Call, backend: str) -> None:
        """Counts the attempt's prompt as prefilled."""
        self._loads.on_first_token(backend, call.prompt_tokens, call.class_spec.priority)

    def on_attempt_ended(self, backend: str) -> None:
        """Counts an attempt off."""
        self._in_flight[backend] -= 1
        if not self._in_flight[backend]:
            del self._in_flight[backend]
        self._loads.on_ended(backend)

    def in_flight(self, backend: str) -> int:
        """Returns the number of this host's attempts on the server."""
        return self._in_flight[backend]

    def is_member(self, backend: str) -> bool:
        """Tells whether the server is on the membership list."""
        return backend in self._backends

    def peers(self) -> list[str]:
        """Returns the names of the other entry hosts of this data centre."""
        return [
            host.name
            for host in self._hosts
            if host.data_centre == self._location.data_centre and host.name != self._location.host
        ]

    def local_order(self, call: Call, now_s: float) -> Iterator[RankedServer]:
        """Yields the near servers that are in service, in the order of the call's content.

        The first is the home of the content's prefix, which may have it cached.
        """
        pool = self._pools.get(call.class_spec.pool)
        if pool is not None:
            yield from self._rank_available(_preference_order(pool.local, call), now_s)

    def remote_order(self, call: Call, now_s: float) -> Iterator[RankedServer]:
        """Yields the servers of other data centres, each data centre's in its own order.

        A content thus reaches no more servers of a data centre from outside than from inside.
        """
        pool = self._pools.get(call.class_spec.pool)
        if pool is not None:
            orders = [_preference_order(ring, call) for ring in pool.remote]
            yield from self._rank_available(_interleave(orders), now_s)

    def has_alternative(self, call: Call, failed: frozenset[str], now_s: float) -> bool:
        """Tells whether a server may take the call that has not failed it."""
        ranked_servers = chain(self.local_order(call, now_s), self.remote_order(call, now_s))
        return any(p.usable and p.candidate.server.name not in failed for p in ranked_servers)

    def _make_pools(self, view: MembershipView) -> dict[str, _PoolRings]:
        names_by_pool: dict[str, dict[str, list[str]]] = {}
        for server in view.backends:
            if server.liveness is Liveness.LIVE:
                location = "" if self._is_local(server) else server.data_centre
                names_by_pool.setdefault(server.pool, {}).setdefault(location, []).append(
                    server.name
                )
        previous_rings, self._ring_cache = self._ring_cache, {}
        return {
            pool: self._make_pool_rings(names_by_location, previous_rings)
            for pool, names_by_location in names_by_pool.items()
        }

    def _make_pool_rings(
        self,
        names_by_location: dict[str, list[str]],
        previous_rings: dict[tuple[str, ...], HashRing],
    ) -> _PoolRings:
        local = self._reuse_or_make_ring(names_by_location.get("", []), previous_rings)
        remote = tuple(
            self._reuse_or_make_ring(names, previous_rings)
            for location, names in sorted(names_by_location.items())
            if location
        )
        return _PoolRings(local, remote)

    def _reuse_or_make_ring(
        self, names: list[str], previous_rings: dict[tuple[str, ...], HashRing]
    ) -> HashRing:
        key = tuple(sorted(names))
        ring = previous_rings.get(key) or HashRing(list(key))
        self._ring_cache[key] = ring
        return ring

    def _is_local(self, server: BackendServer) -> bool:
        return self._location.data_centre in {"", server.data_centre}

    def _rank_available(self, names: Iterator[str], now_s: float) -> Iterator[RankedServer]:
        for name in names:
            ejected = self._health.is_ejected(name)
            recently_ejected = ejected and self._health.is_recently_ejected(name, now_s)
            if not self._is_drained(name) and (not ejected or recently_ejected):
                candidate = self._loads.get(name)
                if candidate is not None:
                    yield RankedServer(candidate, usable=not ejected)

    def _is_drained(self, name: str) -> bool:
        return name in self._configured_drains or name in self._ordered_drains


def _hash(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH_BYTES).digest(), "big")


def _preference_order(ring: HashRing, call: Call) -> Iterator[str]:
    order = ring.preference_order(call.fingerprint)
    if not call.is_generation:
        yield from order
        return
    preferred = next(ring.preference_order(str(prefix_key(call))), None)
    if preferred is not None:
        yield preferred
    yield from (name for name in order if name != preferred)


def _interleave(orders: list[Iterator[str]]) -> Iterator[str]:
    # One at a time, since a call that needs two names must not hash its way into every data centre.
    remaining = deque(orders)
    while remaining:
        order = remaining.popleft()
        name = next(order, None)
        if name is not None:
            remaining.append(order)
            yield name

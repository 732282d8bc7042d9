"""Available servers: which backend servers can accept new work, in preference order per content.

The preference order of a content comes from a consistent hash ring, so that all hosts of a data
centre use the same order without communication. It limits the servers that requests with the same
content can reach.
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
    """Name and data centre of this entry host."""

    # Name of the host; empty in tests that need none.
    host: str = ""
    # Its data centre; empty if all backend servers count as local.
    data_centre: str = ""


@frozen
class RankedServer:
    """A server at its position in the preference order of a content."""

    # The server and its load.
    candidate: Candidate
    # Whether the server can accept new work. A recently ejected server keeps its position for a
    # short time, since peers may still report the content that crashed it.
    usable: bool


class HashRing:
    """A consistent hash ring, which gives each key its own preference order of the servers."""

    # Hashes of the virtual nodes in ascending order.
    _hashes: list[int]
    # Name of the server of each virtual node, in the same order.
    _hash_owners: list[str]
    # Number of distinct servers.
    _server_count: int

    def __init__(self, servers: list[str]) -> None:
        virtual_nodes = sorted(
            (_hash(f"{name}#{n}"), name)
            for name in servers
            for n in range(VIRTUAL_NODES_PER_SERVER)
        )
        self._hashes = [node_hash for node_hash, _ in virtual_nodes]
        self._hash_owners = [name for _, name in virtual_nodes]
        self._server_count = len(servers)

    def preference_order(self, key: str) -> Iterator[str]:
        """Yields the name of every server once, in the preference order of the key."""
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
    """Hash rings of the live servers of one pool."""

    # Servers of this host's data centre.
    local: HashRing
    # Servers of the other data centres, one ring for each.
    remote: tuple[HashRing, ...]


class AvailableServers:
    """Tracks the backend servers, their state, and the attempts that this host has in flight."""

    # Name and data centre of this host.
    _location: HostLocation
    # Health of the servers, with those that this host has ejected.
    _health: ServerHealth
    # Hash rings of the live servers by pool.
    _pools: dict[str, _PoolRings]
    # All backend servers on the membership list by name.
    _backends: dict[str, BackendServer]
    # Entry hosts on the membership list.
    _hosts: tuple[EntryHost, ...]
    # Load of the servers.
    _loads: FleetLoad
    # Names of the servers that the configuration drains.
    _configured_drains: frozenset[str]
    # Names of the servers that an order drains.
    _ordered_drains: set[str]
    # Attempts in flight by backend server, including servers that have left the membership list.
    _in_flight: Counter[str]
    # Hash rings in use by the names of their servers; building one is expensive at 12,000 servers.
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
        """Replaces the membership list."""
        self._backends = {server.name: server for server in view.backends}
        self._hosts = view.hosts
        self._loads.on_membership(view)
        self._pools = self._make_pools(view)
        self._health.retain(frozenset(self._backends))

    def on_load(self, report: LoadReport) -> None:
        """Records a load report."""
        self._loads.on_report(report)

    def on_configured_drains(self, draining: frozenset[str]) -> None:
        """Replaces the set of servers that the configuration in force drains."""
        self._configured_drains = draining

    def on_drain_changed(self, backend: str, draining: bool) -> None:
        """Applies an order to start or end the drain of a server."""
        if draining:
            self._ordered_drains.add(backend)
        else:
            self._ordered_drains.discard(backend)

    def on_attempt_started(self, call: Call, backend: str) -> None:
        """Counts a new attempt of this host on the server."""
        self._in_flight[backend] += 1
        self._loads.on_sent(backend, call.prompt_tokens, call.class_spec.priority)

    def on_first_token(self, call: Call, backend: str) -> None:
        """Counts the prompt of an attempt as prefilled."""
        self._loads.on_first_token(backend, call.prompt_tokens, call.class_spec.priority)

    def on_attempt_ended(self, backend: str) -> None:
        """Removes an attempt of this host on the server from the count."""
        self._in_flight[backend] -= 1
        if not self._in_flight[backend]:
            del self._in_flight[backend]
        self._loads.on_ended(backend)

    def in_flight(self, backend: str) -> int:
        """Returns the number of attempts that this host has in flight on the server."""
        return self._in_flight[backend]

    def is_member(self, backend: str) -> bool:
        """Returns whether the server is on the membership list."""
        return backend in self._backends

    def peers(self) -> list[str]:
        """Returns the names of the other entry hosts of this data centre."""
        return [
            host.name
            for host in self._hosts
            if host.data_centre == self._location.data_centre and host.name != self._location.host
        ]

    def local_order(self, call: Call, now_s: float) -> Iterator[RankedServer]:
        """Yields the available servers of this data centre in the preference order of the content.

        For a generation, the server with cache affinity for the prompt's prefix is first.
        """
        pool = self._pools.get(call.class_spec.pool)
        if pool is not None:
            yield from self._rank_available(_preference_order(pool.local, call), now_s)

    def remote_order(self, call: Call, now_s: float) -> Iterator[RankedServer]:
        """Yields the available servers of other data centres, alternating between data centres.

        The servers of each data centre come in its own preference order, so that a content reaches
        no more servers there from outside than from inside.
        """
        pool = self._pools.get(call.class_spec.pool)
        if pool is not None:
            orders = [_preference_order(ring, call) for ring in pool.remote]
            yield from self._rank_available(_interleave(orders), now_s)

    def has_alternative(self, call: Call, failed: frozenset[str], now_s: float) -> bool:
        """Returns whether any usable server is left for the call besides the failed ones."""
        ranked_servers = chain(self.local_order(call, now_s), self.remote_order(call, now_s))
        return any(
            ranked.usable and ranked.candidate.server.name not in failed
            for ranked in ranked_servers
        )

    def _make_pools(self, view: MembershipView) -> dict[str, _PoolRings]:
        names_by_pool: dict[str, dict[str, list[str]]] = {}
        for server in view.backends:
            if server.liveness is Liveness.LIVE:
                # The empty name stands for this data centre.
                data_centre = "" if self._is_local(server) else server.data_centre
                names_by_pool.setdefault(server.pool, {}).setdefault(data_centre, []).append(
                    server.name
                )
        previous_rings, self._ring_cache = self._ring_cache, {}
        return {
            pool: self._make_pool_rings(names_by_data_centre, previous_rings)
            for pool, names_by_data_centre in names_by_pool.items()
        }

    def _make_pool_rings(
        self,
        names_by_data_centre: dict[str, list[str]],
        previous_rings: dict[tuple[str, ...], HashRing],
    ) -> _PoolRings:
        local = self._reuse_or_make_ring(names_by_data_centre.get("", []), previous_rings)
        remote = tuple(
            self._reuse_or_make_ring(names, previous_rings)
            for data_centre, names in sorted(names_by_data_centre.items())
            if data_centre
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
    # Lazily, one name at a time: a call that needs two names must not hash into every data centre.
    remaining = deque(orders)
    while remaining:
        order = remaining.popleft()
        name = next(order, None)
        if name is not None:
            remaining.append(order)
            yield name

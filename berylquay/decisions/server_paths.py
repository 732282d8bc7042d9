"""Which backend servers this host can't reach by connections of its own, and who else can.

Designed for hosts that are partitioned from servers which other hosts reach. The servers may be all
of them, those of one service, or some of a service. Connections that fail to several servers of a
pool, with none that succeeds in between, are taken for a fault of this host's path, not of the
servers; one server that fails is asked for through another host before it is blamed. Requests to a
lost server go through another host, the gateway, until a connection of this host's own succeeds.

An established connection is no proof of a path: what lies between may accept it, and reset it or
swallow what it carries. A path that was lost in this way is regained by an answer only.
"""

from collections.abc import Collection, Mapping, Sequence
from random import Random
from typing import Final

from attrs import define, field

# Servers of a pool to which connections must have failed; fewer if there are not as many.
MIN_FAILED_SERVERS: Final = 2
# Gateways that must have failed to reach a server before the server is blamed.
MIN_FAILED_GATEWAYS: Final = 2
# Time for which a failed connection counts.
FAILURE_TTL_S: Final = 3.0
# Time without data from any server, while requests wait, after which the path is tested.
SILENCE_BEFORE_PROBE_S: Final = 1.0
PROBE_INTERVAL_S: Final = 0.25
# Lost servers that are probed at a time: one while they remain lost, twice as many after each
# success, so that a healed link is in use again for all servers within a few intervals.
MAX_PROBES: Final = 16
# Least time between two tests of one server through a gateway.
GATEWAY_TEST_INTERVAL_S: Final = 1.0
# Time for which a gateway that could not help is not used for servers of the same pool.
GATEWAY_BACKOFF_S: Final = 1.0
# Time for which another host's report that it has lost a pool is valid; a few reports.
LOST_POOL_TTL_S: Final = 2.5
# Gateways that are farther than the nearest one by no more than this share the load with it, so
# that the last host of a data centre does not carry all the others'.
GATEWAY_SPREAD_MS: Final = 5.0


@define
class ServerPaths:
    """What this host's own connections show of its paths."""

    # Monotonic time at which the path to a server was found to be lost, by server.
    _lost_s: dict[str, float] = field(factory=dict, init=False)
    # Monotonic time of the last failed connection, by pool and server, since one to the pool
    # succeeded.
    _failed_s: dict[str, dict[str, float]] = field(factory=dict, init=False)
    # Lost servers to which connections are established, so that only an answer ends the loss.
    _answer_required: set[str] = field(factory=set, init=False)
    # Monotonic time of the last question that was not answered on an established connection, by
    # pool and server, since a server of the pool has answered.
    _unanswered_s: dict[str, dict[str, float]] = field(factory=dict, init=False)
    # Monotonic time at which a server was silent for too long after a question, by server, since it
    # has answered.
    _silent_s: dict[str, float] = field(factory=dict, init=False)
    # Pools whose servers were all taken for lost as some of them failed, until one is reached.
    _assumed_lost_pools: set[str] = field(factory=set, init=False)
    # Gateways that have not reached a server, by server: monotonic time by gateway, since one has.
    _unreached_s: dict[str, dict[str, float]] = field(factory=dict, init=False)
    # Monotonic time of the last test of a server through a gateway.
    _tested_s: dict[str, float] = field(factory=dict, init=False)
    # Monotonic times of the last successful connection, the last data from any server, and the last
    # probe.
    last_connected_s: float = field(default=float("-inf"), init=False)
    _last_data_s: float = field(default=float("-inf"), init=False)
    # Whether a server has sent data since the last tick.
    has_new_data: bool = field(default=False, init=False)
    _last_probe_s: float = field(default=float("-inf"), init=False)
    _probe_count: int = field(default=1, init=False)

    @property
    def lost_servers(self) -> Collection[str]:
        """Returns the servers that no connection of this host's own reaches."""
        return self._lost_s.keys()

    def is_lost(self, server: str) -> bool:
        """Tells whether requests to a server should take a gateway."""
        return server in self._lost_s

    def lost_since_s(self, server: str) -> float | None:
        """Returns the monotonic time since which the path to a server is lost, or None."""
        return self._lost_s.get(server)

    def requires_answer(self, server: str) -> bool:
        """Tells whether only an answer shows that the path to a lost server works again."""
        return server in self._answer_required

    def failed_servers(self, pool: str) -> list[str]:
        """Returns the servers of a pool that have failed since a connection or answer succeeded."""
        return sorted({*self._failed_s.get(pool, ()), *self._unanswered_s.get(pool, ())})

    def on_answered(self, server: str, pool: str, now_s: float) -> bool:
        """Records data from a server on a connection of this host's own, as `on_connected`."""
        self._unanswered_s.pop(pool, None)
        self._silent_s.pop(server, None)
        self._answer_required.discard(server)
        self._last_data_s = max(self._last_data_s, now_s)
        return self.on_connected(server, pool, now_s)

    def on_connected(self, server: str, pool: str, now_s: float) -> bool:
        """Records a successful connection; returns whether the path was lost before."""
        self._failed_s.pop(pool, None)
        self.last_connected_s = now_s
        if server in self._answer_required:
            return False
        self._assumed_lost_pools.discard(pool)
        if self._lost_s.pop(server, None) is None:
            return False
        self._probe_count = min(2 * self._probe_count, MAX_PROBES)
        return True

    def on_connect_failed(
        self, server: str, pool: str, pool_servers: Sequence[str], now_s: float
    ) -> list[str]:
        """Records a failed connection; returns the servers whose paths are lost from now on.

        Args:
            server: Name of the server.
            pool: Its pool.
            pool_servers: Servers of the pool that are listed as ready.
            now_s: Present time.
        """
        return self._on_failed(self._failed_s, server, pool, pool_servers, now_s)

    def on_unanswered(
        self, server: str, pool: str, pool_servers: Sequence[str], now_s: float
    ) -> list[str]:
        """Records an established connection that ended without an answer to a question.

        Arguments and result are those of `on_connect_failed`.
        """
        if server in self._lost_s:
            self._answer_required.add(server)
        lost = self._on_failed(self._unanswered_s, server, pool, pool_servers, now_s)
        self._answer_required.update(lost)
        return lost

    def on_silent(self, server: str, now_s: float) -> None:
        """Records a question that was not answered in time on an established connection.

        The server may have paused, so that this counts only if another host gets an answer.
        """
        if server in self._lost_s:
            self._answer_required.add(server)
            self._probe_count = 1
        else:
            self._silent_s[server] = now_s
            self._last_data_s = max(self._last_data_s, now_s)

    def _on_failed(
        self,
        failed_s_by_pool: dict[str, dict[str, float]],
        server: str,
        pool: str,
        pool_servers: Sequence[str],
        now_s: float,
    ) -> list[str]:
        if server in self._lost_s:
            self._probe_count = 1
            return []
        failed_s_by_pool.setdefault(pool, {})[server] = now_s
        for failed_s in (self._failed_s.get(pool, {}), self._unanswered_s.get(pool, {})):
            for name in [name for name, at_s in failed_s.items() if now_s - at_s > FAILURE_TTL_S]:
                del failed_s[name]
        failed = self.failed_servers(pool)
        # A host that has lost a pool needs less evidence for the next one.
        required = 1 if self._assumed_lost_pools else min(MIN_FAILED_SERVERS, len(pool_servers))
        if len(failed) < max(1, required):
            return []
        self._assumed_lost_pools.add(pool)
        lost = [name for name in {*pool_servers, *failed} if name not in self._lost_s]
        for name in lost:
            self._lost_s[name] = now_s
        return sorted(lost)

    def on_reached_by_gateway(self, server: str, pool: str, now_s: float) -> bool:
        """Records that another host reaches a server; returns whether this host's path is at fault.

        False if a connection of this host's own, or a question, has succeeded since the one that
        failed.
        """
        has_failed = server in self._silent_s or server in self.failed_servers(pool)
        if server in self._lost_s or not has_failed:
            return False
        self._lost_s[server] = now_s
        if server in self._silent_s or server in self._unanswered_s.get(pool, ()):
            self._answer_required.add(server)
        return True

    def on_reached(self, server: str) -> None:
        """Records that a gateway has reached a server."""
        self._unreached_s.pop(server, None)

    def on_unreached(self, server: str, gateway: str, now_s: float) -> bool:
        """Records that a gateway has not reached a server; returns whether the server is at fault.

        One gateway may be partitioned as well, and not know it yet; the server is blamed when
        several have failed.
        """
        unreached_s = self._unreached_s.setdefault(server, {})
        unreached_s[gateway] = now_s
        for name in [name for name, at_s in unreached_s.items() if now_s - at_s > FAILURE_TTL_S]:
            del unreached_s[name]
        return len(unreached_s) >= MIN_FAILED_GATEWAYS

    def take_gateway_test(self, server: str, now_s: float) -> bool:
        """Tells whether to ask another host for a server that this host has failed to reach."""
        if server in self._lost_s:
            return False
        if now_s - self._tested_s.get(server, float("-inf")) < GATEWAY_TEST_INTERVAL_S:
            return False
        self._tested_s = {
            name: tested_s
            for name, tested_s in self._tested_s.items()
            if now_s - tested_s < GATEWAY_TEST_INTERVAL_S
        }
        self._tested_s[server] = now_s
        return True

    def retain(self, servers: Collection[str]) -> None:
        """Forgets all servers but these, which are listed as ready."""
        failed_s = (*self._failed_s.values(), *self._unanswered_s.values())
        for states in (self._lost_s, self._silent_s, self._tested_s, *failed_s):
            for name in [name for name in states if name not in servers]:
                del states[name]
        self._answer_required.intersection_update(self._lost_s)
        if not self._lost_s:
            self._assumed_lost_pools.clear()
        for name in [name for name in self._unreached_s if name not in servers]:
            del self._unreached_s[name]

    def lost_pools(self, pools: Mapping[str, Collection[str]]) -> frozenset[str]:
        """Returns the pools of which no server can be reached.

        Args:
            pools: Names of the servers that are listed as ready, by pool.
        """
        return frozenset(
            pool
            for pool, servers in pools.items()
            if servers and all(name in self._lost_s for name in servers)
        )

    def take_probe_turn(self, has_waiting_requests: bool, now_s: float) -> bool:
        """Tells whether to test servers now, as some are lost or none sends data, and notes that.

        Args:
            has_waiting_requests: Whether requests wait for data from servers.
            now_s: Present time.
        """
        if self.has_new_data or not has_waiting_requests:
            self.has_new_data = False
            self._last_data_s = now_s
        is_silent = has_waiting_requests and now_s - self._last_data_s > SILENCE_BEFORE_PROBE_S
        if not (self._lost_s or is_silent) or now_s - self._last_probe_s < PROBE_INTERVAL_S:
            return False
        self._last_probe_s = now_s
        return True

    def choose_probes(self, servers: Sequence[str], rng: Random) -> list[str]:
        """Returns the servers to test: some of those that are lost, or any one if none is.

        Args:
            servers: Servers that are listed as ready.
            rng: Chooses the servers.
        """
        candidates = [name for name in servers if name in self._lost_s] or list(servers)
        return rng.sample(candidates, min(self._probe_count, len(candidates)))


@define
class GatewayChoice:
    """Chooses the host through which a request goes."""

    # Monotonic time until which a host is not used for a pool, by host and pool: as it could not be
    # used, and as it has reported that it has lost the pool.
    _failed_until_s: dict[tuple[str, str], float] = field(factory=dict, init=False)
    _lost_until_s: dict[tuple[str, str], float] = field(factory=dict, init=False)

    def on_failed(self, host: str, pool: str, now_s: float) -> None:
        """Records that a host could not be used as a gateway to a server of a pool."""
        self._failed_until_s[host, pool] = now_s + GATEWAY_BACKOFF_S

    def on_lost_pools(self, host: str, pools: Collection[str], now_s: float) -> None:
        """Records the report of a host that it has lost all servers of some pools."""
        for pool in pools:
            self._lost_until_s[host, pool] = now_s + LOST_POOL_TTL_S

    def expire(self, now_s: float) -> None:
        """Forgets what is over."""
        for until_s_by_key in (self._failed_until_s, self._lost_until_s):
            for key in [key for key, until_s in until_s_by_key.items() if until_s <= now_s]:
                del until_s_by_key[key]

    def choose(
        self, pool: str, round_trips_ms: Mapping[str, float], rng: Random, now_s: float
    ) -> str | None:
        """Returns one of the nearest hosts that may be used, or None.

        If all that may have a path could not be used just now, they are tried again: this host's
        own path is known to be lost.

        Args:
            pool: Pool of the server.
            round_trips_ms: Round-trip times from this host, by host.
            rng: Chooses among the nearest ones, so that the load is spread.
            now_s: Present time.
        """
        with_path = [
            host for host in round_trips_ms if self._lost_until_s.get((host, pool), 0.0) <= now_s
        ]
        usable = [
            host for host in with_path if self._failed_until_s.get((host, pool), 0.0) <= now_s
        ] or with_path
        if not usable:
            return None
        farthest_ms = min(round_trips_ms[host] for host in usable) + GATEWAY_SPREAD_MS
        return rng.choice([host for host in usable if round_trips_ms[host] <= farthest_ms])

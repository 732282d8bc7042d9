"""Routes: which pool of backend servers a request goes to, and how it may be retried."""

from collections.abc import Mapping
from enum import Enum
from random import Random
from typing import Final

from attrs import field, frozen

from berylquay.decisions.tenants.keys import TenantKeys

LOWEST_RANK: Final = 9
# Shortest time without an event after which callers abandon a stream, by the platform's rules.
MIN_STALL_TIMEOUT_S: Final = 2.0


class RepeatRule(Enum):
    """Whether a request of a route may run more than once."""

    # Any number of runs.
    REPEATABLE = "repeatable"
    # At most once for each attempt of the caller.
    AT_MOST_ONCE = "once"


@frozen
class WeightedPool:
    """A pool that serves a fraction of the requests of a route."""

    # Name of the pool.
    pool: str
    # Weight relative to the other pools of the route.
    weight: float


@frozen
class EngineProperties:
    """Properties that all engines of a pool have in common."""

    # Most requests that an engine runs concurrently.
    slots: int
    # Capacity of an engine's KV cache in tokens.
    kv_cache_tokens: int
    # Size of the KV cache of one token.
    kv_bytes_per_token: int
    # Bandwidth of an engine's link to other engines, in megabits per second.
    link_mbps: float
    # Time after which an engine frees the KV cache of a prefilled prompt that is not fetched.
    kv_handle_ttl_s: float
    # Time for which an engine is unavailable while it changes its role.
    role_change_s: float


@frozen
class ScalingProperties:
    """Limits, prices and boot time of the servers that may be ordered for a pool."""

    # Fewest and most servers in each data centre, on-demand and spot servers together.
    min_servers: int
    max_servers: int
    # Time from an order until a new server serves.
    boot_s: float
    # Price of a spot server as a fraction of that of an on-demand server.
    spot_price: float
    # Price of an on-demand server by data centre; empty if the prices are not known.
    prices: Mapping[str, float] = field(factory=dict)


@frozen
class Pool:
    """A pool of backend servers."""

    # Name under which backend servers register.
    name: str
    # Most connections that one backend server accepts, from all hosts together.
    max_connections: int
    # Properties of its engines, or None for a plain service.
    engine_properties: EngineProperties | None = None
    # How servers may be ordered for it, or None if their number is fixed.
    scaling: ScalingProperties | None = None
    # Path of its servers' health checks; empty if they have none.
    health_path: str = ""


@frozen
class Route:
    """A rule that matches requests and defines how they are served."""

    # Name for logs and metrics.
    name: str
    # Host header to match, in lower case.
    host: str
    # Path prefix to match; begins and ends with a slash.
    path_prefix: str
    # Pools that serve the route.
    weighted_pools: tuple[WeightedPool, ...]
    # Whether a request may run more than once.
    repeat: RepeatRule
    # Whether the answer is a stream of events.
    streaming: bool
    # Whether an interrupted stream may be resumed by another run.
    resumable: bool
    # Most backend servers to which one attempt of a caller may be sent.
    max_attempts: int
    # Longest time until a caller gets its final answer.
    timeout_s: float
    # Latency objective: time within which an answer (of a stream: its first event) has full value.
    objective_s: float
    # Priority rank of the route; 0 is served first.
    rank: int
    # Longest gap between events with which a stream is still on time; 0 if it is no stream.
    max_event_gap_s: float = 0.0
    # Whether its requests need no key where the configuration has tenants.
    keyless: bool = False

    @property
    def repeatable(self) -> bool:
        """Tells whether a request may run more than once."""
        return self.repeat is RepeatRule.REPEATABLE

    @property
    def stall_timeout_s(self) -> float:
        """Returns the time without an event after which a caller abandons a stream."""
        return max(MIN_STALL_TIMEOUT_S, 4.0 * self.objective_s, 8.0 * self.max_event_gap_s)

    def pick_pool(self, rng: Random) -> str:
        """Returns the pool for one request, chosen at random by weight."""
        if len(self.weighted_pools) == 1:
            return self.weighted_pools[0].pool
        return rng.choices(
            [weighted_pool.pool for weighted_pool in self.weighted_pools],
            [weighted_pool.weight for weighted_pool in self.weighted_pools],
        )[0]


@frozen
class CallerRequestLimits:
    """Limits on the size and the duration of what a caller sends."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@frozen
class RouteTable:
    """The routes and pools of one version of the configuration."""

    # Version; later versions are higher.
    version: int
    # Routes by HTTP host name, the longest path prefix first.
    by_host: dict[str, tuple[Route, ...]]
    # Pools by name.
    pools: dict[str, Pool]
    # Limits on what callers send.
    request_limits: CallerRequestLimits = field(factory=CallerRequestLimits)
    # Keys of the tenants, or None if the configuration has none and requests need no key.
    tenant_keys: TenantKeys | None = None

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route of a request, or None if there is none."""
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def make_route_table(
    version: int,
    routes: list[Route],
    pools: list[Pool],
    request_limits: CallerRequestLimits,
    tenant_keys: TenantKeys | None = None,
) -> RouteTable:
    """Returns the table, with the routes of each HTTP host name, longest prefix first.

    Nothing is validated here; of pools with the same name, the last one counts.
    """
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return RouteTable(
        version,
        {
            host: tuple(sorted(host_routes, key=lambda route: -len(route.path_prefix)))
            for host, host_routes in by_host.items()
        },
        {pool.name: pool for pool in pools},
        request_limits,
        tenant_keys,
    )

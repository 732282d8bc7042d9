"""Routes: which pool of backend servers a request goes to, and what may be done with it."""

from enum import Enum
from random import Random
from typing import Final

from attrs import field, frozen

LOWEST_RANK: Final = 9
# Shortest time without an event after which callers abandon a stream, as the platform says.
MIN_STALL_TIMEOUT_S: Final = 2.0


class RepeatRule(Enum):
    """Says whether a request of a route may run more than once."""

    # Any number of runs.
    REPEATABLE = "repeatable"
    # At most one run for each attempt of the caller.
    AT_MOST_ONCE = "once"


@frozen
class WeightedPool:
    """A pool that takes a share of a route's requests."""

    # Name of the pool.
    pool: str
    # Weight against the other pools of the route.
    weight: float


@frozen
class EngineProperties:
    """What is common to the engines of a pool."""

    # Requests that an engine runs at once.
    slots: int
    # Tokens that fit into an engine's KV cache.
    kv_cache_tokens: int
    # Size of one cached token.
    kv_bytes_per_token: int
    # Bandwidth of an engine's link to other engines.
    link_mbps: float
    # Time for which an engine keeps a prefilled prompt that nobody fetches.
    kv_handle_ttl_s: float
    # Time that an engine is away while it changes its role.
    role_change_s: float


@frozen
class Pool:
    """A pool of backend servers."""

    # Name under which backend servers register.
    name: str
    # Most connections that one backend server accepts from all hosts together.
    max_connections: int
    # What its engines have in common, or None for a plain service.
    engine_properties: EngineProperties | None = None


@frozen
class Route:
    """A rule that selects requests and says how they are served."""

    # Name for logs and metrics.
    name: str
    # Host header that is matched, in lower case.
    host: str
    # Start of the path that is matched; begins and ends with a slash.
    path_prefix: str
    # Pools that serve the route.
    weighted_pools: tuple[WeightedPool, ...]
    # Whether a request may run more than once.
    repeat: RepeatRule
    # Whether the answer is a stream of events.
    streaming: bool
    # Whether a broken stream may be continued by another run.
    resumable: bool
    # Most backend servers that may be sent one attempt of a caller.
    max_attempts: int
    # Longest time that a caller is kept waiting.
    timeout_s: float
    # Time within which an answer (a stream: its first event) has its full value.
    objective_s: float
    # Rank among routes; 0 is served first.
    rank: int
    # Longest pause between events for which a stream is still on time; 0 for other answers.
    max_event_gap_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Tells whether a further run of a request does no harm."""
        return self.repeat is RepeatRule.REPEATABLE

    @property
    def stall_timeout_s(self) -> float:
        """Returns the time without an event after which a caller abandons a stream."""
        return max(MIN_STALL_TIMEOUT_S, 4.0 * self.objective_s, 8.0 * self.max_event_gap_s)

    def pick_pool(self, rng: Random) -> str:
        """Returns the pool for one request, by weight."""
        if len(self.weighted_pools) == 1:
            return self.weighted_pools[0].pool
        return rng.choices(
            [share.pool for share in self.weighted_pools],
            [share.weight for share in self.weighted_pools],
        )[0]


@frozen
class CallerRequestLimits:
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@frozen
class RouteTable:
    """One version of the configuration, whole."""

    # Version; a later one is higher.
    version: int
    # Routes by host, the longest path prefix first.
    by_host: dict[str, tuple[Route, ...]]
    # Pools by name.
    pools: dict[str, Pool]
    # Bounds on what callers send.
    request_limits: CallerRequestLimits = field(factory=CallerRequestLimits)

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route of a request, or None if there is none."""
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def make_route_table(
    version: int, routes: list[Route], pools: list[Pool], request_limits: CallerRequestLimits
) -> RouteTable:
    """Returns the table with each host's routes ordered by the length of their prefix."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return RouteTable(
        version,
        {
            host: tuple(sorted(found, key=lambda route: -len(route.path_prefix)))
            for host, found in by_host.items()
        },
        {pool.name: pool for pool in pools},
        request_limits,
    )

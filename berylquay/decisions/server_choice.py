"""Choice of a plain backend server: near, little used and not failing.

Pattern answered: services with few slots, of which some fail part of their requests or turn slow
while their health is reported as good. A further attempt never goes to a server that had one.
"""

from collections.abc import Collection, Mapping, Sequence
from random import Random
from typing import Final

from berylquay.decisions.backend_health import BackendHealth
from berylquay.decisions.backend_registry import BackendEntry
from berylquay.decisions.distances import Distances

# Time that a request of this host already under way at a server counts for.
BUSY_MS: Final = 25.0
# Time that a failure counts for: a further attempt, or a caller without an answer.
FAILURE_MS: Final = 400.0
# Differences below this are settled by lot, so that hosts do not all choose alike.
LOT_MS: Final = 2.0


def choose_server(
    servers: Sequence[BackendEntry],
    tried: Collection[str],
    *,
    under_way: Mapping[str, int],
    health: BackendHealth,
    distances: Distances,
    rng: Random,
    now_s: float,
) -> BackendEntry | None:
    """Returns the server for a request, or None if none is left to try.

    Args:
        servers: Servers of the pool that take requests.
        tried: Names of servers that had the request.
        under_way: Requests of this host at each server.
        health: What this host has seen of them.
        distances: Round trips from this host.
        rng: Settles small differences.
        now_s: Present time.
    """
    open_servers = [server for server in servers if server.name not in tried]
    reachable = [server for server in open_servers if not health.is_paused(server.name, now_s)]

    def cost_ms(server: BackendEntry) -> float:
        return (
            distances.round_trip_ms(server.data_centre)
            + under_way.get(server.name, 0) * BUSY_MS
            + health.failure_rate(server.name) * FAILURE_MS
            + rng.uniform(0.0, LOT_MS)
        )

    return min(reachable or open_servers, key=cost_ms, default=None)

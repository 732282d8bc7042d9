"""Choice of a plain backend server: near, little used and not failing.

Pattern answered: services with few slots, of which some fail part of their requests or turn slow
while their health is reported as good. A further attempt never goes to a server that had one.
"""

from collections.abc import Collection, Mapping, Sequence
from random import Random
from typing import Final

from berylquay.decisions.backend_health import BackendHealth
from berylquay.decisions.backend_registry import BackendEntry
from berylquay.decisions.topology import Topology

# Time that a request of this host already under way at a server counts for.
IN_FLIGHT_PENALTY_MS: Final = 25.0
# Time that a failure counts for: a further attempt, or a caller without an answer.
FAILURE_PENALTY_MS: Final = 400.0
# Differences below this are settled by lot, so that hosts do not all choose alike.
TIE_BREAK_JITTER_MS: Final = 2.0


def choose_server(
    servers: Sequence[BackendEntry],
    tried: Collection[str],
    *,
    in_flight: Mapping[str, int],
    health: BackendHealth,
    distances: Topology,
    rng: Random,
    now_s: float,
) -> BackendEntry | None:
    """Returns the server for a request, or None if none is left to try.

    Args:
        servers: Servers of the pool that take requests.
        tried: Names of servers that had the request.
        in_flight: Requests of this host at each server.
        health: What this host has seen of them.
        distances: Round trips from this host.
        rng: Settles small differences.
        now_s: Present time.
    """
    untried = [server for server in servers if server.name not in tried]
    not_paused = [server for server in untried if not health.is_backing_off(server.name, now_s)]

    def cost_ms(server: BackendEntry) -> float:
        return (
            distances.round_trip_ms(server.data_centre)
            + in_flight.get(server.name, 0) * IN_FLIGHT_PENALTY_MS
            + health.failure_rate(server.name) * FAILURE_PENALTY_MS
            + rng.uniform(0.0, TIE_BREAK_JITTER_MS)
        )

    return min(not_paused or untried, key=cost_ms, default=None)

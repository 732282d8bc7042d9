"""Routing of service calls: prefers servers that are near, lightly loaded and not failing.

It is designed for services with few slots, of which some servers fail part of their requests or
become slow while they report good health. A retry never goes to a server that was already tried.
"""

from collections.abc import Collection, Mapping, Sequence
from random import Random
from typing import Final

from berylquay.decisions.backend_health import BackendHealth
from berylquay.decisions.backend_registry import BackendEntry
from berylquay.decisions.topology import Topology

# Penalty for each request that this host already has in flight on the server.
IN_FLIGHT_PENALTY_MS: Final = 25.0
# Penalty for a failed request, which costs a further attempt or leaves the caller without answer.
FAILURE_PENALTY_MS: Final = 400.0
# Random jitter that decides between servers of almost equal cost, so that hosts do not all choose
# the same one.
TIE_BREAK_JITTER_MS: Final = 2.0


def choose_server(
    servers: Sequence[BackendEntry],
    tried: Collection[str],
    *,
    in_flight: Mapping[str, int],
    health: BackendHealth,
    topology: Topology,
    rng: Random,
    now_s: float,
) -> BackendEntry | None:
    """Returns the server for a request, or None if all servers were tried.

    Servers in backoff are chosen only if no other is left.

    Args:
        servers: Servers of the pool that accept requests.
        tried: Names of servers to which the request was already sent.
        in_flight: Number of requests that this host has in flight, by server.
        health: Failures of the servers as seen by this host.
        topology: Round-trip times from this host to the data centres.
        rng: Source of the jitter.
        now_s: Present time.
    """
    untried = [server for server in servers if server.name not in tried]
    not_backing_off = [
        server for server in untried if not health.is_backing_off(server.name, now_s)
    ]

    def cost_ms(server: BackendEntry) -> float:
        return (
            topology.round_trip_ms(server.data_centre)
            + in_flight.get(server.name, 0) * IN_FLIGHT_PENALTY_MS
            + health.failure_rate(server.name) * FAILURE_PENALTY_MS
            + rng.uniform(0.0, TIE_BREAK_JITTER_MS)
        )

    return min(not_backing_off or untried, key=cost_ms, default=None)

"""Load sharing scope: which hosts exchange load reports, and which engines a host uses.

In fleets of tens or hundreds of hosts, the number of load reports between all pairs of hosts would
grow with the square of the fleet size. In a small fleet, all hosts share all engines. In a large
one, the hosts of a region share its engines and exchange reports only with each other; the first
host of each region sends a summary to the other regions. A host uses engines of another region if
those of its own are crowded, and considers only a few of them: the least loaded of a random sample,
so that hosts which have the same summary do not all choose the same engine.
"""

from collections.abc import Iterable, Sequence
from random import Random
from typing import Final

from attrs import frozen

from berylquay.decisions.backend_registry import BackendEntry
from berylquay.decisions.engine_backlog import EngineBacklog
from berylquay.decisions.fleet import Role
from berylquay.decisions.topology import Topology

# Largest fleet in which every host sends load reports to every other, which makes some tens of
# datagrams per second and host.
MAX_FULL_MESH_HOSTS: Final = 32
# Engines of another region that are compared for each role, and those of them that are considered.
REMOTE_SAMPLE_ENGINES: Final = 6
REMOTE_CANDIDATE_ENGINES: Final = 2


@frozen
class LoadSharingScope:
    """Limits the hosts and engines that a host of one region takes into account."""

    # Distances to the data centres, and which of them belong to this host's region.
    topology: Topology

    def is_full_mesh(self, host_count: int) -> bool:
        """Tells whether all hosts of a fleet of that size exchange load reports."""
        return host_count <= MAX_FULL_MESH_HOSTS

    def shares_load_with(self, data_centre: str, host_count: int) -> bool:
        """Returns whether this host sends its load reports to a host in the data centre.

        Args:
            data_centre: Data centre of the other host.
            host_count: Number of hosts in the whole fleet.
        """
        return self.is_full_mesh(host_count) or self.topology.is_in_own_region(data_centre)

    def usable_engines(
        self, engines: Sequence[BackendEntry], host_count: int
    ) -> list[BackendEntry]:
        """Returns the engines that this host uses.

        In a large fleet these are the engines of its own region, or all engines if the region has
        none that can decode.
        """
        if self.is_full_mesh(host_count):
            return list(engines)
        nearby = [
            engine for engine in engines if self.topology.is_in_own_region(engine.data_centre)
        ]
        return (
            nearby if any(engine.role is not Role.PREFILL for engine in nearby) else list(engines)
        )

    def remote_candidates(
        self,
        engines: Iterable[BackendEntry],
        backlog: EngineBacklog,
        rng: Random,
        now_s: float,
    ) -> list[BackendEntry]:
        """Returns engines of other regions to use while those of the own region are crowded.

        Regions without a valid summary of their load are left out.

        Args:
            engines: All engines of the pool that may be used.
            backlog: Work in flight at the engines.
            rng: Draws the sample.
            now_s: Present time.
        """
        groups: dict[tuple[str, bool], list[BackendEntry]] = {}
        for engine in engines:
            region = self.topology.region_of(engine.data_centre)
            if region != self.topology.location.region and backlog.knows_region(region, now_s):
                groups.setdefault((region, engine.role is Role.PREFILL), []).append(engine)

        def load(engine: BackendEntry) -> tuple[float, int]:
            waiting_tokens = backlog.waiting_prefill_tokens(engine.name, now_s)
            if engine.role is Role.PREFILL:
                return 0.0, waiting_tokens
            return backlog.streams(engine.name, now_s) / max(1, engine.slots), waiting_tokens

        candidates: list[BackendEntry] = []
        for _, group in sorted(groups.items()):
            # The sample is in random order, which decides between equal loads.
            sample = rng.sample(group, min(REMOTE_SAMPLE_ENGINES, len(group)))
            candidates += sorted(sample, key=load)[:REMOTE_CANDIDATE_ENGINES]
        return candidates

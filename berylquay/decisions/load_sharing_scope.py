"""Scope: which hosts tell each other of their load, and which engines a host uses.

Pattern answered: fleets of tens or hundreds of hosts, where reports from each host to each other
would grow with the square of the fleet. A small fleet shares all engines. In a large one the hosts
of a region share its engines and tell only each other; engines elsewhere, of whose load a host then
knows nothing, are used only where its own region has none.
"""

from collections.abc import Sequence
from typing import Final

from attrs import frozen

from berylquay.decisions.backend_registry import BackendEntry
from berylquay.decisions.fleet import Role
from berylquay.decisions.topology import Topology

# Hosts up to which all tell each other: some tens of datagrams a second each.
MAX_FULL_MESH_HOSTS: Final = 16


@frozen
class LoadSharingScope:
    """What a host of one region takes into account."""

    distances: Topology

    def shares_load_with(self, data_centre: str, host_count: int) -> bool:
        """Tells whether a host in the data centre is told of this host's load.

        Args:
            data_centre: Where the other host stands.
            host_count: Hosts of the whole fleet.
        """
        return host_count <= MAX_FULL_MESH_HOSTS or self.distances.is_in_own_region(data_centre)

    def usable_engines(
        self, engines: Sequence[BackendEntry], host_count: int
    ) -> list[BackendEntry]:
        """Returns the engines that this host uses."""
        if host_count <= MAX_FULL_MESH_HOSTS:
            return list(engines)
        nearby = [
            engine for engine in engines if self.distances.is_in_own_region(engine.data_centre)
        ]
        return (
            nearby if any(engine.role is not Role.PREFILL for engine in nearby) else list(engines)
        )

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
from berylquay.decisions.distances import Distances
from berylquay.decisions.fleet import Role

# Hosts up to which all tell each other: some tens of datagrams a second each.
ALL_HOSTS: Final = 16


@frozen
class HostScope:
    """What a host of one region takes into account."""

    distances: Distances

    def tells(self, data_centre: str, hosts: int) -> bool:
        """Tells whether a host in the data centre is told of this host's load.

        Args:
            data_centre: Where the other host stands.
            hosts: Hosts of the whole fleet.
        """
        return hosts <= ALL_HOSTS or self.distances.is_near(data_centre)

    def usable(self, engines: Sequence[BackendEntry], hosts: int) -> list[BackendEntry]:
        """Returns the engines that this host uses."""
        if hosts <= ALL_HOSTS:
            return list(engines)
        near = [engine for engine in engines if self.distances.is_near(engine.data_centre)]
        return near if any(engine.role is not Role.PREFILL for engine in near) else list(engines)

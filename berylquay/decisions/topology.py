"""Topology: round-trip times from a host within a data centre, a region and between regions."""

from collections.abc import Mapping

from attrs import frozen


@frozen
class Location:
    """Data centre and region of a host or an engine."""

    data_centre: str
    region: str


@frozen
class Topology:
    """Round-trip times from this host in milliseconds, by default those of the specified links."""

    location: Location
    # Maps the name of a data centre to the name of its region.
    regions: Mapping[str, str]
    same_data_centre_ms: float = 0.5
    same_region_ms: float = 2.5
    cross_region_ms: float = 41.0

    def region_of(self, data_centre: str) -> str:
        """Returns the region of a data centre; one without an entry is a region of its own."""
        return self.regions.get(data_centre, data_centre)

    def is_in_own_region(self, data_centre: str) -> bool:
        """Tells whether a data centre is in this host's region."""
        return self.region_of(data_centre) == self.location.region

    def round_trip_ms(self, data_centre: str) -> float:
        """Returns the round-trip time to a data centre in milliseconds."""
        if data_centre == self.location.data_centre:
            return self.same_data_centre_ms
        return self.same_region_ms if self.is_in_own_region(data_centre) else self.cross_region_ms

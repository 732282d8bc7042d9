"""Distances from a host: round trips within a data centre, within a region and between regions."""

from collections.abc import Mapping

from attrs import frozen


@frozen
class Location:
    """Where a host or an engine stands."""

    data_centre: str
    region: str


@frozen
class Topology:
    """Round trips from this host, as the users' sheets give their links."""

    location: Location
    # Region of each data centre.
    regions: Mapping[str, str]
    same_data_centre_ms: float = 0.5
    same_region_ms: float = 2.5
    cross_region_ms: float = 41.0

    def region_of(self, data_centre: str) -> str:
        """Returns the region of a data centre; one that is not listed is a region of its own."""
        return self.regions.get(data_centre, data_centre)

    def is_in_own_region(self, data_centre: str) -> bool:
        """Tells whether a data centre stands in this host's region."""
        return self.region_of(data_centre) == self.location.region

    def round_trip_ms(self, data_centre: str) -> float:
        """Returns the round trip to a data centre."""
        if data_centre == self.location.data_centre:
            return self.same_data_centre_ms
        return self.same_region_ms if self.is_in_own_region(data_centre) else self.cross_region_ms

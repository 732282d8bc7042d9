"""Distances from a host: round trips within a data centre, within a region and between regions."""

from collections.abc import Mapping

from attrs import frozen


@frozen
class Place:
    """Where a host or an engine stands."""

    data_centre: str
    region: str


@frozen
class Distances:
    """Round trips from this host, as the users' sheets give their links."""

    place: Place
    # Region of each data centre.
    regions: Mapping[str, str]
    near_ms: float = 0.5
    region_ms: float = 2.5
    far_ms: float = 41.0

    def region_of(self, data_centre: str) -> str:
        """Returns the region of a data centre; one that is not listed is a region of its own."""
        return self.regions.get(data_centre, data_centre)

    def is_near(self, data_centre: str) -> bool:
        """Tells whether a data centre stands in this host's region."""
        return self.region_of(data_centre) == self.place.region

    def round_trip_ms(self, data_centre: str) -> float:
        """Returns the round trip to a data centre."""
        if data_centre == self.place.data_centre:
            return self.near_ms
        return self.region_ms if self.is_near(data_centre) else self.far_ms

"""The cheapest numbers of on-demand and spot servers in each data centre for a needed capacity.

The spot servers of one data centre may be reclaimed at once. For each limit on the spot servers of
a data centre, the rest must be enough for the load; the cheapest of these plans is chosen.
"""

from collections.abc import Mapping, Sequence
from typing import Final

from attrs import define, evolve, frozen

# Part of the price by which servers that are present already count as cheaper, so that equal prices
# do not replace one server by another.
PRESENT_DISCOUNT: Final = 0.03


@frozen
class ServerCounts:
    """Servers of a pool in one data centre."""

    on_demand: int = 0
    spot: int = 0

    @property
    def total(self) -> int:
        """Returns the number of servers of both kinds."""
        return self.on_demand + self.spot

    def number(self, *, spot: bool) -> int:
        """Returns the number of servers of one kind."""
        return self.spot if spot else self.on_demand

    def with_one_less(self, *, spot: bool) -> "ServerCounts":
        """Returns the counts with one server of a kind less."""
        if spot:
            return evolve(self, spot=self.spot - 1)
        return evolve(self, on_demand=self.on_demand - 1)


@frozen
class Need:
    """Servers that a pool needs."""

    # In normal operation.
    total: int
    # After the loss of the spot servers of any one data centre.
    after_loss: int

    def at_least(self, other: "Need") -> "Need":
        """Returns the need that covers both."""
        return Need(max(self.total, other.total), max(self.after_loss, other.after_loss))

    def is_met(self, counts: Mapping[str, ServerCounts]) -> bool:
        """Tells whether these servers are enough, also after the loss of a data centre's spot."""
        total = sum(count.total for count in counts.values())
        most_spot = max((count.spot for count in counts.values()), default=0)
        return total >= self.total and total - most_spot >= self.after_loss


@frozen
class ScalingZone:
    """A data centre in which a pool may have servers."""

    data_centre: str
    # Its place in the sequence of zones.
    index: int
    # Price of an on-demand server.
    price: float
    # Limits on both kinds together.
    min_servers: int
    max_servers: int
    # Most servers of each kind that are to be had there now.
    max_on_demand: int
    max_spot: int
    # What was ordered there.
    ordered: ServerCounts


def cheapest_plan(
    need: Need, zones: Sequence[ScalingZone], spot_price: float
) -> dict[str, ServerCounts]:
    """Returns the number of servers by data centre.

    If the limits do not allow what is needed, the plan lacks as few servers as possible.

    Args:
        need: Servers that are needed.
        zones: Data centres with their limits.
        spot_price: Price of a spot server as a fraction of that of an on-demand server.
    """
    units = sorted(unit for zone in zones for unit in _units(zone, spot_price))
    best: tuple[tuple[int, float, int], _Filling] | None = None
    highest = max((min(zone.max_spot, zone.max_servers) for zone in zones), default=0)
    for spot_limit in range(highest + 1):
        filling = _fill(need, zones, units, spot_limit)
        cost = sum(
            zone.price * (on_demand + spot * spot_price)
            for zone, on_demand, spot in zip(zones, filling.on_demand, filling.spot, strict=True)
        )
        # Rounded, so that equal costs are equal: the lower limit spreads the servers better.
        option = (filling.missing(need), round(cost, 6), spot_limit)
        if best is None or option < best[0]:
            best = (option, filling)
    if best is None:
        return {}
    filling = best[1]
    return {
        zone.data_centre: ServerCounts(on_demand, spot)
        for zone, on_demand, spot in zip(zones, filling.on_demand, filling.spot, strict=True)
    }


# A server that can be added: price, how many of its kind are there before it, data centre, index of
# the zone, and whether it is a spot server. Sorted, the cheapest and best spread come first.
_Unit = tuple[float, int, str, int, bool]


def _units(zone: ScalingZone, spot_price: float) -> list[_Unit]:
    """Returns all servers that a zone can have."""
    units = []
    for spot, price, most, present in (
        (True, zone.price * spot_price, zone.max_spot, zone.ordered.spot),
        (False, zone.price, zone.max_on_demand, zone.ordered.on_demand),
    ):
        for number in range(min(most, zone.max_servers)):
            discount = PRESENT_DISCOUNT if number < present else 0.0
            units.append((price * (1.0 - discount), number, zone.data_centre, zone.index, spot))
    return units


@define
class _Filling:
    """Servers of each zone, in the order of the zones."""

    on_demand: list[int]
    spot: list[int]

    def missing(self, need: Need) -> int:
        """Returns how many servers are missing."""
        total = sum(self.on_demand) + sum(self.spot)
        most_spot = max(self.spot, default=0)
        return max(0, need.total - total, need.after_loss + most_spot - total)


def _fill(
    need: Need, zones: Sequence[ScalingZone], units: Sequence[_Unit], spot_limit: int
) -> _Filling:
    """Adds the cheapest servers until there are enough, with limited spot servers in each zone."""
    spot = [min(zone.min_servers, spot_limit, zone.max_spot) for zone in zones]
    on_demand = [
        min(zone.min_servers - own_spot, zone.max_on_demand)
        for zone, own_spot in zip(zones, spot, strict=True)
    ]
    filling = _Filling(on_demand, spot)
    missing = filling.missing(need)
    for _, number, _, index, is_spot in units:
        if not missing:
            break
        counts = spot if is_spot else on_demand
        is_present = number < counts[index]
        is_full = on_demand[index] + spot[index] >= zones[index].max_servers
        if is_present or is_full or (is_spot and number >= spot_limit):
            continue
        counts[index] += 1
        missing = filling.missing(need)
    return filling

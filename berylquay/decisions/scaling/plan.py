"""The cheapest numbers of on-demand and spot servers in each data centre for a needed capacity.

The spot servers of one data centre may be reclaimed at once. For each limit on the spot servers of
a data centre, the rest must be enough for the load; the cheapest of these plans is chosen.
"""

from collections.abc import Mapping, Sequence
from typing import Final

from attrs import evolve, frozen

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
    best: tuple[int, float, int, dict[str, ServerCounts]] | None = None
    highest = max((min(zone.max_spot, zone.max_servers) for zone in zones), default=0)
    for spot_limit in range(highest + 1):
        counts = _fill(need, zones, spot_price, spot_limit)
        missing = _missing(need, counts)
        cost = sum(
            zone.price
            * (counts[zone.data_centre].on_demand + counts[zone.data_centre].spot * spot_price)
            for zone in zones
        )
        # Rounded, so that equal costs are equal: the lower limit spreads the servers better.
        option = (missing, round(cost, 6), spot_limit, counts)
        if best is None or option[:3] < best[:3]:
            best = option
    return {} if best is None else best[3]


def _missing(need: Need, counts: Mapping[str, ServerCounts]) -> int:
    total = sum(count.total for count in counts.values())
    most_spot = max((count.spot for count in counts.values()), default=0)
    return max(0, need.total - total, need.after_loss + most_spot - total)


def _fill(
    need: Need, zones: Sequence[ScalingZone], spot_price: float, spot_limit: int
) -> dict[str, ServerCounts]:
    """Adds the cheapest servers until there are enough, with limited spot servers in each zone."""
    counts = {zone.data_centre: _minimum(zone, spot_limit) for zone in zones}
    while _missing(need, counts):
        options = [
            option for zone in zones for option in _one_more(zone, counts, spot_price, spot_limit)
        ]
        if not options:
            break
        _, _, data_centre, count = min(options, key=lambda option: option[:3])
        counts[data_centre] = count
    return counts


def _minimum(zone: ScalingZone, spot_limit: int) -> ServerCounts:
    spot = min(zone.min_servers, spot_limit, zone.max_spot)
    return ServerCounts(min(zone.min_servers - spot, zone.max_on_demand), spot)


def _one_more(
    zone: ScalingZone, counts: Mapping[str, ServerCounts], spot_price: float, spot_limit: int
) -> list[tuple[float, int, str, ServerCounts]]:
    """Returns the servers that can be added in a zone: price, number there, and the new counts."""
    count = counts[zone.data_centre]
    if count.total >= zone.max_servers:
        return []
    options = []
    if count.spot < min(spot_limit, zone.max_spot):
        price = zone.price * spot_price
        if count.spot < zone.ordered.spot:
            price *= 1.0 - PRESENT_DISCOUNT
        more = evolve(count, spot=count.spot + 1)
        options.append((price, count.spot, zone.data_centre, more))
    if count.on_demand < zone.max_on_demand:
        price = zone.price
        if count.on_demand < zone.ordered.on_demand:
            price *= 1.0 - PRESENT_DISCOUNT
        more = evolve(count, on_demand=count.on_demand + 1)
        options.append((price, count.on_demand, zone.data_centre, more))
    return options

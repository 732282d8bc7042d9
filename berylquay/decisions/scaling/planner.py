"""Plans the servers of one pool over time: scales out at once, and in only when that is safe.

What is ordered follows the cheapest plan for the need. The need is that of the busiest moment of
the last 30 s, or more if the trend says so. Servers are given up, the most expensive first, only as
far as those that are registered as ready are enough without them, also after the loss of the spot
servers of any one data centre.
"""

import math
from collections import deque
from collections.abc import Mapping
from typing import Final

from attrs import evolve, frozen

from berylquay.decisions.rate_forecast import RateForecast
from berylquay.decisions.route_table import ScalingProperties
from berylquay.decisions.scaling.capacity import CapacityOptions, ServerSpeed, needed_servers
from berylquay.decisions.scaling.demand import PoolLoad
from berylquay.decisions.scaling.plan import (
    Need,
    ScalingZone,
    ServerCounts,
    cheapest_plan,
)

# Price of data centres for which none is stated.
DEFAULT_PRICE: Final = 1.0


@frozen
class ScalingTimes:
    """Times and steps of the planner."""

    # Time over which the busiest moment counts.
    busiest_window_s: float = 30.0
    # Interval between samples of the need.
    sample_interval_s: float = 0.5
    # Time for which load must have been seen before the pool gets fewer servers than it had.
    min_observation_s: float = 10.0
    # Time for which load must have been seen before its trend counts: at the start it rises from 0.
    min_trend_s: float = 6.0
    # Time for which a lower number must have been enough before spot servers are given up.
    scale_in_hold_s: float = 5.0
    # The same for on-demand servers, whose replacement is ready by then.
    replace_hold_s: float = 1.0
    # Shortest interval between two reductions: servers become ready one after the other.
    min_reduction_interval_s: float = 2.0
    # Time for which a data centre that had no server is not asked again; doubles each time.
    first_refusal_backoff_s: float = 2.0
    max_refusal_backoff_s: float = 16.0
    # Time beyond the boot time after which servers that were ordered and are not ready count as
    # missing.
    missing_margin_s: float = 4.0
    # Time after which servers that were given up and are still ready are given up again: the host
    # that planned it may have ended before it ordered. Doubles each time.
    surplus_s: float = 8.0
    # Time for which spot servers are not ordered where some are being reclaimed.
    reclaim_backoff_s: float = 4.0
    # Windows of the forecast's level and trend.
    level_window_s: float = 1.5
    trend_window_s: float = 6.0
    # Most that the forecast may exceed the present load, in case it is wrong.
    max_forecast_ratio: float = 1.3
    # Fraction of refused requests above which the estimate of the capacity is taken as wrong, and
    # the fraction of servers that is added then.
    refused_fraction: float = 0.03
    refused_growth: float = 0.25


@frozen
class PoolState:
    """What a host knows of a pool at one moment."""

    # Servers that are registered as ready, by data centre.
    ready: Mapping[str, ServerCounts]
    # Data centres in which spot servers are being reclaimed.
    reclaimed: frozenset[str]
    # Demand of all hosts, or None if no host has reported any.
    load: PoolLoad | None
    speed: ServerSpeed
    # Whether anything may be given up: the list of servers is current, this host is not cut off and
    # did not just take over.
    may_replace: bool
    # Whether the load data is complete, which scaling in needs as well.
    may_scale_in: bool


@frozen
class Decision:
    """Numbers to order, and the inputs that led to them."""

    counts: dict[str, ServerCounts]
    need: Need
    # Cheapest plan for the need, which `counts` approach.
    target: dict[str, ServerCounts]
    # Whether load was seen for long enough to go below the number of servers at the start.
    has_observed_load: bool


# A data centre and whether spot servers are meant.
OrderKey = tuple[str, bool]


@frozen
class _Refusal:
    """A data centre that had no servers of one kind, and until when it is not asked again."""

    until_s: float
    backoff_s: float
    # Most servers to plan with there until then.
    limit: int


class PoolPlanner:
    """Plans the servers of one pool."""

    # Number of servers to keep until load was seen.
    base: int
    # Numbers that were ordered last, or are to be ordered, by data centre.
    ordered: dict[str, ServerCounts]
    # Cheapest plan, and what it was made from.
    _plan_inputs: tuple[Need, list[ScalingZone], float] | None
    _plan: dict[str, ServerCounts]
    # What was ordered since the start, rather than present.
    _touched: set[OrderKey]
    # Servers that were registered as ready at the last decision, by data centre.
    last_ready: Mapping[str, ServerCounts]
    # Numbers that the platform has accepted; None if that is not known.
    _accepted: dict[OrderKey, int | None]
    _times: ScalingTimes
    _capacity: CapacityOptions
    _prefill_forecast: RateForecast
    _concurrency_forecast: RateForecast
    # Time and need of the samples in the window.
    _needs: deque[tuple[float, Need]]
    _next_sample_s: float
    # Monotonic time at which load was seen first, or None.
    _load_since_s: float | None
    # Since when fewer servers would be enough, and the most that were needed since, by key.
    _lower_since: dict[OrderKey, tuple[float, int]]
    _refusals: dict[OrderKey, _Refusal]
    # Where more servers are ready than were ordered: when to order again, and the interval.
    _surplus: dict[OrderKey, tuple[float, float]]
    # Time of the last rise that was ordered, by key; servers boot after it.
    _raised_s: dict[OrderKey, float]
    _last_reduction_s: float

    def __init__(
        self, times: ScalingTimes | None = None, capacity: CapacityOptions | None = None
    ) -> None:
        self.base = 0
        self.ordered = {}
        self._accepted = {}
        self.last_ready = {}
        self._touched = set()
        self._plan_inputs = None
        self._plan = {}
        self._times = times or ScalingTimes()
        self._capacity = capacity or CapacityOptions()
        windows_s = (self._times.level_window_s, self._times.trend_window_s)
        self._prefill_forecast = RateForecast(*windows_s)
        self._concurrency_forecast = RateForecast(*windows_s)
        self._needs = deque()
        self._next_sample_s = float("-inf")
        self._load_since_s = None
        self._lower_since = {}
        self._refusals = {}
        self._raised_s = {}
        self._surplus = {}
        self._last_reduction_s = float("-inf")

    def on_base(self, base: int) -> None:
        """Sets how many servers to keep until load was seen, as another host has planned."""
        self.base = min(base, sum(count.total for count in self.ordered.values()))

    def on_new_era(self) -> None:
        """Orders everything again: the newest orders may be lost from the store."""
        self._accepted = dict.fromkeys(self._accepted)

    def _include_registered(self, ready: Mapping[str, ServerCounts]) -> None:
        """Takes in servers of the start that register late, of which none was ordered."""
        for data_centre, count in ready.items():
            key = (data_centre, False)
            ordered = self.ordered.get(data_centre, ServerCounts())
            if key not in self._touched and count.on_demand > ordered.on_demand:
                self.base += count.on_demand - ordered.on_demand
                self.ordered[data_centre] = evolve(ordered, on_demand=count.on_demand)
                self._accepted[key] = count.on_demand

    def on_present(self, counts: Mapping[str, ServerCounts]) -> None:
        """Starts from the servers that are present, of which none was ordered."""
        for data_centre, count in counts.items():
            self.ordered[data_centre] = count
            self._accepted[data_centre, False] = count.on_demand
            self._accepted[data_centre, True] = count.spot
        self.base = sum(count.total for count in counts.values())

    def on_ordered(
        self, counts: Mapping[str, ServerCounts], now_s: float, *, by_other_host: bool = False
    ) -> None:
        """Records the numbers that are ordered from now on.

        Args:
            counts: Numbers by data centre.
            now_s: Present time.
            by_other_host: Whether another host orders them; it is assumed to do so, and servers
                that do not come are ordered again.
        """
        for data_centre, count in counts.items():
            before = self.ordered.get(data_centre, ServerCounts())
            self.ordered[data_centre] = count
            for spot, old, new in (
                (False, before.on_demand, count.on_demand),
                (True, before.spot, count.spot),
            ):
                key = (data_centre, spot)
                if new != old or by_other_host:
                    self._touched.add(key)
                if by_other_host:
                    self._accepted[key] = new
                if new > old:
                    self._raised_s[key] = now_s
                elif new < old:
                    self._last_reduction_s = now_s
                    self._lower_since.pop(key, None)

    def due_orders(self, now_s: float) -> list[tuple[str, bool, int]]:
        """Returns data centre, whether of spot servers, and number of the orders to send, in order.

        Rises come first, and nothing is ordered where there were no servers a moment ago.
        """
        due = []
        for data_centre, count in sorted(self.ordered.items()):
            for spot, number in ((True, count.spot), (False, count.on_demand)):
                accepted = self._accepted.get((data_centre, spot), 0)
                if number != accepted and not self._is_refused((data_centre, spot), now_s):
                    is_reduction = accepted is not None and number < accepted
                    due.append((is_reduction, data_centre, spot, number))
        return [order[1:] for order in sorted(due, key=lambda order: order[0])]

    def on_accepted(self, data_centre: str, number: int, *, spot: bool, now_s: float) -> None:
        """Records that an order was accepted."""
        self._accepted[data_centre, spot] = number
        self._raised_s[data_centre, spot] = now_s

    def on_outcome_unknown(self, data_centre: str, *, spot: bool) -> None:
        """Records that an order may have been carried out; it is sent again."""
        self._accepted[data_centre, spot] = None

    def on_none_available(self, data_centre: str, *, spot: bool, now_s: float) -> None:
        """Records that a data centre has no more servers of one kind now."""
        key = (data_centre, spot)
        accepted = self._accepted.get(key, 0)
        self._refuse(key, self._ready(key) if accepted is None else accepted, now_s)

    def _ready(self, key: OrderKey) -> int:
        return self.last_ready.get(key[0], ServerCounts()).number(spot=key[1])

    def _refuse(self, key: OrderKey, limit: int, now_s: float) -> None:
        times, before = self._times, self._refusals.get(key)
        backoff_s = times.first_refusal_backoff_s
        if before is not None:
            backoff_s = min(times.max_refusal_backoff_s, 2.0 * before.backoff_s)
        self._refusals[key] = _Refusal(now_s + backoff_s, backoff_s, limit)

    def on_sample(
        self, state: PoolState, scaling: ScalingProperties, most: int, now_s: float
    ) -> None:
        """Records the need at regular intervals; also on hosts that do not order."""
        load = state.load
        if load is None or now_s < self._next_sample_s:
            return
        self._next_sample_s = now_s + self._times.sample_interval_s
        if self._load_since_s is None:
            if not load.requests_per_s:
                return
            self._load_since_s = now_s
        present, ahead = self._expected_loads(load, scaling.boot_s, now_s)
        need = self._need_of(present, state.speed, most)
        if now_s - self._load_since_s >= self._times.min_trend_s:
            need = need.at_least(self._need_of(ahead, state.speed, most))
        if load.refused_per_s > self._times.refused_fraction * load.requests_per_s:
            ready = sum(count.total for count in state.ready.values())
            grown = min(most, ready + math.ceil(ready * self._times.refused_growth))
            need = evolve(need, total=max(need.total, grown))
        self._needs.append((now_s, need))
        while self._needs[0][0] <= now_s - self._times.busiest_window_s:
            self._needs.popleft()

    def _need_of(self, load: PoolLoad, speed: ServerSpeed, most: int) -> Need:
        options = self._capacity
        return Need(
            needed_servers(load, speed, options.normal, most, options),
            needed_servers(load, speed, options.after_loss, most, options),
        )

    def _expected_loads(
        self, load: PoolLoad, boot_s: float, now_s: float
    ) -> tuple[PoolLoad, PoolLoad]:
        """Returns the smoothed load, and that expected when a server ordered now is ready."""
        concurrency = load.concurrency(self._capacity.default_token_s)
        self._prefill_forecast.observe(load.prefill_tokens_per_s, now_s)
        self._concurrency_forecast.observe(concurrency, now_s)
        ahead_s = boot_s + self._times.sample_interval_s
        smoothed = self._concurrency_forecast.rate_after(0.0)
        most = self._times.max_forecast_ratio
        return PoolLoad(
            prefill_tokens_per_s=load.prefill_tokens_per_s, open_calls=smoothed
        ), PoolLoad(
            prefill_tokens_per_s=min(
                most * load.prefill_tokens_per_s, self._prefill_forecast.rate_after(ahead_s)
            ),
            open_calls=min(most * smoothed, self._concurrency_forecast.rate_after(ahead_s)),
        )

    def need(self, data_centres: int, now_s: float) -> Need:
        """Returns the servers that are needed, and kept until load has been seen for a while."""
        need = Need(0, 0)
        for _, sample in self._needs:
            need = need.at_least(sample)
        if not self._has_observed_load(now_s):
            # Spread like the servers of a pool that has its load.
            need = need.at_least(Need(self.base, self.base - math.ceil(self.base / data_centres)))
        return need

    def _has_observed_load(self, now_s: float) -> bool:
        since_s = self._load_since_s
        return since_s is not None and now_s - since_s >= self._times.min_observation_s

    def decide(
        self,
        state: PoolState,
        scaling: ScalingProperties,
        pins: Mapping[str, ServerCounts],
        now_s: float,
    ) -> Decision:
        """Returns the numbers to order now.

        Args:
            state: What is known of the pool.
            scaling: Limits and prices.
            pins: Numbers that the operator has fixed, by data centre.
            now_s: Present time.
        """
        self.last_ready = state.ready
        self._include_registered(state.ready)
        self._update_refusals(state, scaling, now_s)
        zones = self._zones(state, scaling, pins, now_s)
        need = self.need(max(1, len(zones)), now_s)
        inputs = (need, zones, scaling.spot_price)
        if inputs != self._plan_inputs:
            self._plan_inputs, self._plan = inputs, cheapest_plan(*inputs)
        target = self._plan
        counts = {
            zone.data_centre: self._raised(zone, target[zone.data_centre], pins) for zone in zones
        }
        self._update_holds(target, now_s)
        decision = Decision(counts, need, target, self._has_observed_load(now_s))
        if state.may_replace:
            prices = [
                (zone.price * (scaling.spot_price if spot else 1.0), zone.data_centre, spot)
                for zone in zones
                for spot in (False, True)
                if zone.data_centre not in pins
            ]
            keys = [(data_centre, spot) for _, data_centre, spot in sorted(prices, reverse=True)]
            self._reduce(decision, state, keys, now_s)
        return decision

    def _zones(
        self,
        state: PoolState,
        scaling: ScalingProperties,
        pins: Mapping[str, ServerCounts],
        now_s: float,
    ) -> list[ScalingZone]:
        zones: list[ScalingZone] = []
        for data_centre in sorted(scaling.prices or {*state.ready, *self.ordered}):
            ordered = self.ordered.get(data_centre, ServerCounts())
            pin = pins.get(data_centre)
            least = scaling.min_servers if pin is None else pin.total
            most = scaling.max_servers if pin is None else pin.total
            zones.append(
                ScalingZone(
                    data_centre,
                    len(zones),
                    scaling.prices.get(data_centre, DEFAULT_PRICE),
                    least,
                    most,
                    self._limit(
                        (data_centre, False), now_s, most if pin is None else pin.on_demand
                    ),
                    self._limit((data_centre, True), now_s, most if pin is None else pin.spot),
                    ordered,
                )
            )
        return zones

    def _limit(self, key: OrderKey, now_s: float, most: int) -> int:
        is_refused = self._is_refused(key, now_s)
        return min(most, self._refusals[key].limit) if is_refused else most

    def _is_refused(self, key: OrderKey, now_s: float) -> bool:
        refusal = self._refusals.get(key)
        return refusal is not None and now_s < refusal.until_s

    def _update_refusals(self, state: PoolState, scaling: ScalingProperties, now_s: float) -> None:
        """Plans without servers that are being reclaimed, or that are not ready in time."""
        times = self._times
        for data_centre in state.reclaimed:
            present = state.ready.get(data_centre, ServerCounts()).spot
            if present >= self.ordered.get(data_centre, ServerCounts()).spot:
                # The servers leave because fewer were ordered.
                continue
            key = (data_centre, True)
            until_s = now_s + times.reclaim_backoff_s
            self._refusals[key] = _Refusal(until_s, times.first_refusal_backoff_s, present)
            self._accepted[key] = None
        for data_centre, ordered in self.ordered.items():
            ready = state.ready.get(data_centre, ServerCounts())
            for spot, number, present in (
                (False, ordered.on_demand, ready.on_demand),
                (True, ordered.spot, ready.spot),
            ):
                key = (data_centre, spot)
                raised_s = self._raised_s.get(key)
                self._check_surplus(key, present - number, now_s)
                if present >= number:
                    if not self._is_refused(key, now_s):
                        self._refusals.pop(key, None)
                elif (
                    raised_s is not None
                    and now_s - raised_s > scaling.boot_s + times.missing_margin_s
                    and not self._is_refused(key, now_s)
                ):
                    self._raised_s[key] = now_s
                    self._accepted[key] = None
                    self._refuse(key, present, now_s)

    def _check_surplus(self, key: OrderKey, surplus: int, now_s: float) -> None:
        """Orders again where more servers stay than were ordered, ever less often."""
        if surplus <= 0:
            self._surplus.pop(key, None)
            return
        interval_s = self._times.surplus_s
        due_s, interval_s = self._surplus.setdefault(key, (now_s + interval_s, interval_s))
        if now_s >= due_s:
            self._accepted[key] = None
            self._surplus[key] = (now_s + 2.0 * interval_s, 2.0 * interval_s)

    def _raised(
        self, zone: ScalingZone, target: ServerCounts, pins: Mapping[str, ServerCounts]
    ) -> ServerCounts:
        """Returns what is ordered, with the rises of the plan that fit into the limits."""
        ordered = zone.ordered
        if zone.data_centre in pins:
            return pins[zone.data_centre]
        on_demand = max(ordered.on_demand, target.on_demand)
        on_demand = min(on_demand, max(ordered.on_demand, zone.max_servers - ordered.spot))
        spot = max(ordered.spot, target.spot)
        return ServerCounts(on_demand, min(spot, max(ordered.spot, zone.max_servers - on_demand)))

    def _update_holds(self, target: Mapping[str, ServerCounts], now_s: float) -> None:
        """Tracks since when fewer servers would be enough.

        Where the plan is lower because servers are not to be had, the number stays ordered: a
        reduction could end those that are there.
        """
        for data_centre, ordered in self.ordered.items():
            planned = target.get(data_centre, ordered)
            for spot, before, after in (
                (False, ordered.on_demand, planned.on_demand),
                (True, ordered.spot, planned.spot),
            ):
                key = (data_centre, spot)
                if after >= before or self._is_refused(key, now_s):
                    self._lower_since.pop(key, None)
                else:
                    since_s, most = self._lower_since.get(key, (now_s, 0))
                    self._lower_since[key] = (since_s, max(most, after))

    def _reduce(
        self,
        decision: Decision,
        state: PoolState,
        keys: list[OrderKey],
        now_s: float,
    ) -> None:
        """Gives up servers that are not needed, as far as the ready ones are enough without.

        Args:
            decision: Its counts are reduced.
            state: What is known of the pool.
            keys: What may be reduced, the most expensive servers first.
            now_s: Present time.
        """
        times, counts = self._times, decision.counts
        if now_s - self._last_reduction_s < times.min_reduction_interval_s:
            return
        # Replacing on-demand servers needs no load data as long as their number is kept.
        may_replace = state.may_scale_in or not decision.has_observed_load
        for data_centre, spot in keys:
            hold = self._lower_since.get((data_centre, spot))
            hold_s = times.scale_in_hold_s if spot else times.replace_hold_s
            may_reduce = state.may_scale_in if spot else may_replace
            if hold is None or now_s - hold[0] < hold_s or not may_reduce:
                continue
            lowest = max(hold[1], decision.target[data_centre].number(spot=spot))
            while counts[data_centre].number(spot=spot) > lowest:
                before = counts[data_centre]
                counts[data_centre] = before.with_one_less(spot=spot)
                if not decision.need.is_met(self._ready_after(counts, state)):
                    counts[data_centre] = before
                    break

    def _ready_after(
        self, counts: Mapping[str, ServerCounts], state: PoolState
    ) -> dict[str, ServerCounts]:
        """Returns the servers that are certainly ready once the numbers have been ordered.

        Where fewer are ordered, the platform may give up those that are ready before those that
        boot.
        """
        after = {}
        for data_centre, count in counts.items():
            ordered = self.ordered.get(data_centre, ServerCounts())
            ready = state.ready.get(data_centre, ServerCounts())
            after[data_centre] = ServerCounts(
                max(0, ready.on_demand - max(0, ordered.on_demand - count.on_demand)),
                max(0, ready.spot - max(0, ordered.spot - count.spot)),
            )
        return after

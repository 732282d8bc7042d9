"""Demand on pools: what each host measures, and the sum over the hosts that report it."""

from collections import deque
from collections.abc import Iterable, Mapping
from typing import Final

from attrs import define, field, frozen

# Time over which arrivals are counted: shorter ones vary by the size of single prompts.
RATE_WINDOW_S: Final = 2.0
# Weight of the newest call in the mean duration of calls.
DURATION_SMOOTHING: Final = 0.05
# Age at which a host's report no longer counts; three times the interval between reports.
REPORT_TTL_S: Final = 3.0
# Time after which a silent host is assumed to be gone; until then its demand may come back.
HOST_TTL_S: Final = 10.0


@frozen
class PoolLoad:
    """Demand on one pool, of one host or of several."""

    # Arrivals; of the callers' retries only those that are admitted.
    requests_per_s: float = 0.0
    # Prompt tokens to prefill, as the equivalent number of uncached tokens at the start of a
    # prompt.
    prefill_tokens_per_s: float = 0.0
    # Most tokens that the arriving requests may generate.
    output_tokens_per_s: float = 0.0
    # Calls without a complete response, also those that are queued.
    open_calls: float = 0.0
    # Mean duration of the calls that were answered; 0 if none was.
    call_s: float = 0.0
    # Calls refused because of the load.
    refused_per_s: float = 0.0

    def concurrency(self, default_token_s: float) -> float:
        """Returns how many calls run at the same time if none is refused.

        Args:
            default_token_s: Time to generate a token, for pools of which no call has been answered.
        """
        arriving = (
            self.requests_per_s * self.call_s
            if self.call_s
            else self.output_tokens_per_s * default_token_s
        )
        return max(self.open_calls, arriving)


def add_loads(loads: Iterable[PoolLoad]) -> PoolLoad:
    """Returns the sum of the loads; the mean duration is weighted by the requests."""
    each = list(loads)
    requests_per_s = sum(load.requests_per_s for load in each)
    # Hosts that have not answered a call yet say nothing about the duration.
    measured = [load for load in each if load.call_s]
    weight = sum(load.requests_per_s for load in measured)
    call_s = max((load.call_s for load in measured), default=0.0)
    if weight:
        call_s = sum(load.requests_per_s * load.call_s for load in measured) / weight
    return PoolLoad(
        requests_per_s,
        sum(load.prefill_tokens_per_s for load in each),
        sum(load.output_tokens_per_s for load in each),
        sum(load.open_calls for load in each),
        call_s,
        sum(load.refused_per_s for load in each),
    )


@define
class _Arrivals:
    """Sums over the last `RATE_WINDOW_S`."""

    # Time, requests, prefill tokens, output tokens, refusals.
    _recent: deque[tuple[float, int, int, int, int]] = field(factory=deque, init=False)
    _sums: list[int] = field(factory=lambda: [0, 0, 0, 0], init=False)

    def add(self, now_s: float, counts: tuple[int, int, int, int]) -> None:
        self._recent.append((now_s, *counts))
        for index, count in enumerate(counts):
            self._sums[index] += count

    def rates(self, now_s: float) -> list[float]:
        while self._recent and self._recent[0][0] <= now_s - RATE_WINDOW_S:
            for index, count in enumerate(self._recent.popleft()[1:]):
                self._sums[index] -= count
        return [total / RATE_WINDOW_S for total in self._sums]


@define
class _PoolMeter:
    arrivals: _Arrivals = field(factory=_Arrivals)
    open_calls: int = 0
    call_s: float = 0.0


class DemandMeter:
    """Measures the demand that reaches this host, by pool."""

    # Whether a pool is scaled and the demand is needed; nothing is counted otherwise.
    enabled: bool
    _pools: dict[str, _PoolMeter]

    def __init__(self) -> None:
        self.enabled = False
        self._pools = {}

    def on_call_started(self, pool: str) -> None:
        """Counts a call that is open from now on."""
        self._meter(pool).open_calls += 1

    def on_request(self, pool: str, prefill_tokens: int, output_tokens: int, now_s: float) -> None:
        """Counts an arrival once its cost is known."""
        if self.enabled:
            self._meter(pool).arrivals.add(now_s, (1, prefill_tokens, output_tokens, 0))

    def on_refused(self, pool: str, now_s: float) -> None:
        """Counts a call that was refused because of the load."""
        if self.enabled:
            self._meter(pool).arrivals.add(now_s, (0, 0, 0, 1))

    def on_call_ended(self, pool: str, duration_s: float, *, answered: bool) -> None:
        """Counts the end of a call; only answered calls tell how long a server takes."""
        meter = self._meter(pool)
        meter.open_calls -= 1
        if answered:
            weight = DURATION_SMOOTHING if meter.call_s else 1.0
            meter.call_s += weight * (duration_s - meter.call_s)

    def call_s(self, pool: str) -> float:
        """Returns the mean duration of a pool's answered calls; 0 if none was answered."""
        meter = self._pools.get(pool)
        return 0.0 if meter is None else meter.call_s

    def loads(self, pools: Iterable[str], now_s: float) -> dict[str, PoolLoad]:
        """Returns the demand on the named pools."""
        loads = {}
        for pool in pools:
            meter = self._meter(pool)
            requests, prefill, output, refused = meter.arrivals.rates(now_s)
            loads[pool] = PoolLoad(
                requests, prefill, output, meter.open_calls, meter.call_s, refused
            )
        return loads

    def _meter(self, pool: str) -> _PoolMeter:
        meter = self._pools.get(pool)
        if meter is None:
            meter = self._pools[pool] = _PoolMeter()
        return meter


@frozen
class HostDemand:
    """What one host reports."""

    host: str
    data_centre: str
    loads: Mapping[str, PoolLoad]


class FleetDemand:
    """The newest report of each host, and their sums."""

    # Reports by host, with the monotonic time at which they arrived.
    _reports: dict[str, tuple[float, HostDemand]]

    def __init__(self) -> None:
        self._reports = {}

    def on_report(self, report: HostDemand, now_s: float) -> None:
        """Replaces the previous report of a host."""
        self._reports[report.host] = (now_s, report)

    def load(self, pool: str, now_s: float) -> PoolLoad:
        """Returns the demand on a pool over all hosts with a valid report."""
        return add_loads(
            report.loads[pool]
            for received_s, report in self._reports.values()
            if now_s - received_s <= REPORT_TTL_S and pool in report.loads
        )

    def requests_by_data_centre(self, pool: str, now_s: float) -> dict[str, float]:
        """Returns the arrivals per second by the data centre of the hosts that they reach."""
        rates: dict[str, float] = {}
        for received_s, report in self._reports.values():
            if now_s - received_s <= REPORT_TTL_S and pool in report.loads:
                rate = report.loads[pool].requests_per_s
                rates[report.data_centre] = rates.get(report.data_centre, 0.0) + rate
        return rates

    def host_count(self, now_s: float) -> int:
        """Returns how many hosts have a valid report."""
        return sum(now_s - received_s <= REPORT_TTL_S for received_s, _ in self._reports.values())

    def is_complete(self, now_s: float) -> bool:
        """Tells whether no host has fallen silent lately, whose demand may come back."""
        for host, (received_s, _) in list(self._reports.items()):
            if now_s - received_s > HOST_TTL_S:
                del self._reports[host]
        return bool(self._reports) and all(
            now_s - received_s <= REPORT_TTL_S for received_s, _ in self._reports.values()
        )

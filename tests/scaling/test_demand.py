"""Demand: what a host measures and reports, and which hosts receive it."""

import pytest

from berylquay.decisions.arrival_bounds import ArrivalBounds
from berylquay.decisions.fleet import Address
from berylquay.decisions.scaling.demand import (
    DemandMeter,
    FleetDemand,
    HostDemand,
    PoolLoad,
    add_loads,
)
from berylquay.relay.demand_reports import (
    DEMAND_TAG,
    DemandReports,
    decode_demand,
    encode_demand,
)
from berylquay.relay.report_fields import compress_fields

ADDRESS = Address("10.0.0.1", 7)
LOAD = PoolLoad(10.0, 2000.0, 300.0, 4.0, 0.5, 1.0)


class Net:
    """Delivers datagrams between hosts that live."""

    def __init__(self, names: list[str]) -> None:
        self.addresses = {name: Address(name, 1) for name in names}
        self.reports = {
            name: DemandReports(
                name,
                "fes-a",
                self.addresses[name],
                DemandMeter(),
                get_hosts=lambda name=name: {  # type: ignore[misc]
                    other: address for other, address in self.addresses.items() if other != name
                },
                send=self.send,
            )
            for name in names
        }
        self.dead: set[str] = set()
        self.now_s = 0.0

    def send(self, data: bytes, address: Address) -> None:
        if address.ip not in self.dead:
            self.reports[address.ip].on_datagram(data, ArrivalBounds(self.now_s, self.now_s))

    def run(self, seconds: int) -> None:
        for _ in range(seconds * 4):
            self.now_s += 0.25
            for name, reports in self.reports.items():
                if name not in self.dead:
                    reports.on_tick(["lm"], self.now_s)


def test_all_hosts_report_to_the_first_three_that_live() -> None:
    """Guards against a fleet in which no host that may order knows the demand."""
    net = Net([f"10.0.0.{number}" for number in range(6)])
    net.run(3)
    ranks = [net.reports[name].rank(net.now_s) for name in sorted(net.reports)]
    assert ranks == [0, 1, 2, None, None, None]
    assert net.reports["10.0.0.2"].fleet.host_count(net.now_s) == 6
    net.dead |= {"10.0.0.0", "10.0.0.1"}
    net.run(7)
    # Dead hosts stay in the store's list; they are passed over.
    assert net.reports["10.0.0.2"].rank(net.now_s) == 0
    assert net.reports["10.0.0.4"].rank(net.now_s) == 2
    assert net.reports["10.0.0.4"].fleet.host_count(net.now_s) == 4


def test_load_data_is_incomplete_after_a_host_fell_silent() -> None:
    """Guards against scaling in because reports were lost."""
    fleet = FleetDemand()
    assert not fleet.is_complete(0.0)
    for host in ("a", "b"):
        fleet.on_report(HostDemand(host, "fes-a", {"lm": LOAD}), 0.0)
    assert fleet.load("lm", 1.0).requests_per_s == 20.0
    assert fleet.is_complete(1.0)
    fleet.on_report(HostDemand("a", "fes-a", {"lm": LOAD}), 5.0)
    assert not fleet.is_complete(5.0)
    assert fleet.load("lm", 5.0).requests_per_s == 10.0
    fleet.on_report(HostDemand("a", "fes-a", {"lm": LOAD}), 11.0)
    assert fleet.is_complete(11.0)


def test_a_report_is_read_as_it_was_written() -> None:
    demand = HostDemand("h", "fes-a", {"lm": LOAD})
    assert decode_demand(encode_demand(demand, ADDRESS)) == (demand, ADDRESS)


@pytest.mark.parametrize(
    "fields",
    [
        [],
        [1, 2],
        ["h", "a", "10.0.0.1", "x", {}],
        ["h", "a", "10.0.0.1", 99999, {}],
        ["h", "a", "ip", 1, {}],
        ["h", "a", "10.0.0.1", 1, [1]],
        ["h", "a", "10.0.0.1", 1, {"lm": ["x"]}],
        ["h", "a", "10.0.0.1", 1, {"lm": [float("nan")]}],
        ["h", "a", "10.0.0.1", 1, {"lm": [-1.0]}],
        ["h", "a", "10.0.0.1", 1, {"lm": [1] * 9}],
        ["h", "a", "10.0.0.1", 1, {"lm": 5}],
    ],
)
def test_malformed_reports_are_ignored(fields: list[object]) -> None:
    """Guards against a host that ends, or plans without bounds, because of a datagram."""
    assert decode_demand(DEMAND_TAG + compress_fields(fields)) is None
    assert decode_demand(DEMAND_TAG + b"x") is None


def test_rates_cover_the_last_two_seconds_and_durations_answered_calls() -> None:
    meter = DemandMeter()
    meter.enabled = True
    for step in range(40):
        meter.on_call_started("lm")
        meter.on_request("lm", 100, 10, step * 0.1)
    meter.on_call_ended("lm", 0.6, answered=True)
    meter.on_call_ended("lm", 0.01, answered=False)
    load = meter.loads(["lm"], 4.0)["lm"]
    assert (load.requests_per_s, load.prefill_tokens_per_s) == (9.5, 950.0)
    assert (load.open_calls, load.call_s) == (38, 0.6)
    assert add_loads([load, PoolLoad()]).call_s == 0.6

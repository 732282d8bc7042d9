"""Load: hundreds of hosts that find each other through the store's list.

Pattern: each host read the whole list every 20 s, and reported hosts that it never hears, those of
other regions, as lost again after each read.
"""

import socket
from collections.abc import Callable, Iterator
from random import Random

import pytest
from attrs import define
from logbook import TestHandler as LogCapture

from berylquay.decisions.arrival_bounds import ArrivalBounds
from berylquay.decisions.fleet import Address
from berylquay.decisions.load_sharing_scope import LoadSharingScope
from berylquay.decisions.topology import Location, Topology
from berylquay.platform.store_client import AppendResult, KeyedRecord, NewestRecordsPage
from berylquay.relay.host_list import HostList
from berylquay.relay.load_reports import HOST_TTL_S, LoadGossip, LoadReport, encode_report
from berylquay.relay.pending_updates import PendingUpdates
from berylquay.settings.relay_settings import OperatingLimits, RelayOptions

REGIONS = {"fes-a": "fes", "tanja-a": "tanja"}
OWN_ADDRESS = Address("127.0.0.1", 0)
OPTIONS = RelayOptions(
    host="fes-a-1",
    data_centre="fes-a",
    region="fes",
    regions=REGIONS,
    callers_address=OWN_ADDRESS,
    readiness_address=OWN_ADDRESS,
    peers_address=OWN_ADDRESS,
    metrics_address=OWN_ADDRESS,
    store_address=OWN_ADDRESS,
    body_memory_bytes=1,
    max_sockets=1,
    bounds=OperatingLimits(8.0, 4.0, 4.0, 0.2, 10.0, 200.0, 3.0),
    log_level="info",
)
TICK_S = 0.1
MINUTES_S = 600.0


@define
class CountingStoreClient:
    """Answers each call at once and counts the reads."""

    reads: int = 0
    busy: bool = False

    def on_tick(self, now_s: float) -> None:
        """Does nothing: no call is ever in flight."""

    def append(self, _topic: str, _contents: list[bytes], on_result: Callable[..., None]) -> None:
        on_result(AppendResult(0))

    def read_newest(self, _topic: str, _after: str, on_result: Callable[..., None]) -> None:
        self.reads += 1
        on_result(NewestRecordsPage((KeyedRecord("fes-a-1", b"{}"),), False, 1))


@pytest.mark.parametrize(("is_first_of_group", "most_reads"), [(False, 16), (True, 45)])
def test_only_the_first_host_of_a_group_reads_the_list_often(
    is_first_of_group: bool, most_reads: int
) -> None:
    store_client = CountingStoreClient()
    host_list = HostList(
        store_client,  # type: ignore[arg-type]
        OPTIONS,
        Random(1),
        lambda _host, _address, _data_centre: None,
        lambda: is_first_of_group,
    )
    now_s = 0.0
    while now_s < MINUTES_S:
        host_list.on_tick(now_s)
        now_s += TICK_S
    assert most_reads / 2 < store_client.reads <= most_reads


def make_gossip(reports: list[str]) -> LoadGossip:
    return LoadGossip(
        get_standing_reports=lambda: (),
        host="fes-a-1",
        data_centre="fes-a",
        address=OWN_ADDRESS,
        get_loads=dict,
        on_report=lambda report, _arrival: reports.append(report.host),
        on_report_sent=lambda _report: None,
        on_exchange_datagram=lambda _data, _arrival: None,
        clock=lambda: 0.0,
        boot_clock=lambda: 0.0,
        scope=LoadSharingScope(Topology(Location("fes-a", "fes"), REGIONS)),
        pending_updates=PendingUpdates(),
    )


@pytest.fixture
def gossip() -> Iterator[LoadGossip]:
    gossip = make_gossip([])
    yield gossip
    gossip._sock.close()


def test_only_hosts_that_have_reported_are_logged_as_timed_out(gossip: LoadGossip) -> None:
    for number in range(3):
        gossip.add_peer(f"tanja-a-{number}", Address("127.0.0.1", 9), "tanja-a", 0.0)
    report = LoadReport("fes-a-2", "fes-a", Address("127.0.0.1", 9), {}, ())
    gossip._handle_datagram(encode_report(report), ArrivalBounds(0.0, 0.0))
    with LogCapture() as log:
        gossip.on_tick(HOST_TTL_S + 0.1)
    timed_out = [record for record in log.records if record.message == "host timed out"]
    assert [record.kwargs["host"] for record in timed_out] == ["fes-a-2"]
    assert gossip.live_host_count == 1


def test_a_first_host_that_falls_silent_is_replaced_by_the_next(gossip: LoadGossip) -> None:
    report = LoadReport("fes-a-0", "fes-a", Address("127.0.0.1", 9), {}, ())
    gossip._handle_datagram(encode_report(report), ArrivalBounds(0.0, 0.0))
    assert gossip.rank_among_recipients(1.0)[0] == 1
    assert gossip.first_live_before(1.0) == Address("127.0.0.1", 9)
    assert gossip.rank_among_recipients(3.5)[0] == 0
    assert gossip.first_live_before(3.5) is None


def test_datagrams_wait_in_the_socket_until_they_are_received_together() -> None:
    """Guards against an event loop that wakes up for each datagram of a large fleet."""
    reports: list[str] = []
    gossip = make_gossip(reports)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for number in range(100):
            report = LoadReport(f"fes-a-{number}", "fes-a", Address("127.0.0.1", 9), {}, ())
            sender.sendto(encode_report(report), gossip._sock.getsockname())
    gossip.receive(1.0)
    assert len(reports) == 99
    gossip.receive(1.0)
    gossip.receive(1.1)
    assert len(reports) == 99
    gossip._sock.close()

"""Load: hundreds of hosts in several regions that must know each other's load.

Pattern: reports between all hosts would grow with the square of the fleet, so hosts knew nothing of
other regions and left their engines idle while their own were crowded. One summary a region, passed
on by the first host of each other one.
"""

from collections import Counter, defaultdict
from random import Random

import pytest
from attrs import evolve
from logbook import TestHandler as LogCapture

from berylquay.decisions.arrival_bounds import ArrivalBounds
from berylquay.decisions.backend_registry import BackendEntry, EntryState
from berylquay.decisions.engine_backlog import REPORT_TTL_S, EngineBacklog, EngineLoad
from berylquay.decisions.fleet import Address, Role
from berylquay.decisions.load_sharing_scope import REMOTE_CANDIDATE_ENGINES, LoadSharingScope
from berylquay.decisions.segment_crash_history import Quarantine
from berylquay.decisions.server_instance import ServerInstance
from berylquay.decisions.shared_polling import TopicReport
from berylquay.decisions.topology import Location, Topology
from berylquay.relay.crash_reports import CrashReport, encode_crash_report
from berylquay.relay.region_exchange import (
    CONTACT_TTL_S,
    SUMMARY_INTERVAL_S,
    SUMMARY_TAG,
    RegionExchange,
    RegionSummary,
    decode_summary,
    encode_summary,
)
from berylquay.relay.server_notice_handler import encode_leaving_server, encode_server_limit
from berylquay.relay.topic_deltas import TopicDelta

REGIONS = {"fes-a": "fes", "tanja-a": "tanja", "marrakech-a": "marrakech"}
HOSTS_PER_REGION = 65
ENGINE = BackendEntry(
    "e", "lm", Address("10.0.0.1", 80), "fes-a", 16, EntryState.READY, role=Role.DECODE
)
SUMMARY = RegionSummary(
    "fes",
    "fes-a-0",
    Address("10.0.0.1", 7380),
    {"e-1": EngineLoad(3, 1200)},
    (TopicReport("keyed.op", "12", 40),),
    (("part", "e-1", 250),),
)


SERVER = ServerInstance("e-1", 1000)
NOTICES = [
    encode_leaving_server(SERVER),
    encode_server_limit(SERVER, 4.6),
    encode_crash_report(CrashReport(quarantines=(Quarantine("part", 600.0),))),
]
NOTICE_TAGS = [data[:1] for data in NOTICES]


class Fleet:
    """Hosts of three regions whose datagrams arrive at once."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.sent: Counter[str] = Counter()
        self.summaries: dict[str, dict[str, RegionSummary]] = {}
        self.hosts: dict[str, RegionExchange] = {}
        self.down: set[str] = set()
        self.active = True
        # Segments of all summaries that were received.
        self.announced: list[tuple[str, str, int]] = []
        # Datagrams about backend servers that each host has received.
        self.notices: dict[str, list[bytes]] = defaultdict(list)
        self.by_address = {
            Address(f"10.{number}.0.{index}", 7380): f"{data_centre}-{index:02}"
            for number, data_centre in enumerate(sorted(REGIONS))
            for index in range(HOSTS_PER_REGION)
        }
        addresses = {name: address for address, name in self.by_address.items()}
        for name, address in addresses.items():
            self.hosts[name] = self._make_host(name, address)
            for other, other_address in addresses.items():
                self.hosts[name].add_host(other, other_address, data_centre_of(other))

    def _make_host(self, name: str, address: Address) -> RegionExchange:
        data_centre = data_centre_of(name)
        received: dict[str, RegionSummary] = {}
        self.summaries[name] = received

        def on_summary(summary: RegionSummary, _arrival: ArrivalBounds) -> None:
            received[summary.region] = summary
            self.announced += summary.segments

        def send(data: bytes, to: Address) -> None:
            self.sent[name] += 1
            receiver = self.by_address[to]
            if receiver not in self.down:
                first = self.first_of(receiver)
                first_address = None if first == receiver else self.address_of(first)
                self.hosts[receiver].on_datagram(data, first_address, self.arrival)

        def send_to_group(data: bytes) -> None:
            for peer in self.group_of(name):
                if peer != name:
                    send(data, self.address_of(peer))

        def on_notice(data: bytes, _arrival: ArrivalBounds) -> None:
            self.notices[name].append(data)

        def on_delta(_delta: TopicDelta, _arrival: ArrivalBounds) -> None:
            """Ignores deltas."""

        return RegionExchange(
            topology=Topology(Location(data_centre, REGIONS[data_centre]), REGIONS),
            host=name,
            address=address,
            get_loads=lambda _now_s: {f"e-{name}": EngineLoad(1, 100)},
            get_topic_reports=lambda: (),
            send=send,
            send_to_group=send_to_group,
            is_active=lambda: self.active,
            on_summary=on_summary,
            notice_handlers=dict.fromkeys(NOTICE_TAGS, on_notice),
            on_delta=on_delta,
            rng=Random(1),
        )

    def tell_all(self, name: str, data: bytes) -> None:
        """Sends a datagram from one host to all others, as `PeerExchange.send_to_all` does."""
        for peer in self.group_of(name):
            if peer != name and peer not in self.down:
                self.sent[name] += 1
                self.hosts[peer].on_datagram(data, None, self.arrival)
        self.hosts[name].send_to_regions(data, self.now_s)

    @property
    def arrival(self) -> ArrivalBounds:
        """Returns when a datagram arrives that is delivered now."""
        return ArrivalBounds(self.now_s, self.now_s)

    def address_of(self, name: str) -> Address:
        return next(address for address, other in self.by_address.items() if other == name)

    def group_of(self, name: str) -> list[str]:
        return [other for other in self.hosts if data_centre_of(other) == data_centre_of(name)]

    def first_of(self, name: str) -> str:
        return min(other for other in self.group_of(name) if other not in self.down)

    def run(self, duration_s: float) -> None:
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += SUMMARY_INTERVAL_S
            for data_centre in REGIONS:
                first = self.first_of(f"{data_centre}-00")
                self.hosts[first].on_tick(self.now_s, is_first_host=True)


def data_centre_of(host: str) -> str:
    return host.rpartition("-")[0]


def test_each_host_learns_the_load_of_the_other_regions_from_their_first_hosts() -> None:
    fleet = Fleet()
    fleet.run(2.0)
    for name, received in fleet.summaries.items():
        others = set(REGIONS.values()) - {REGIONS[data_centre_of(name)]}
        assert set(received) == others
        assert all(summary.host.endswith("-00") for summary in received.values())


def test_a_summary_costs_one_datagram_for_each_host_that_receives_it() -> None:
    fleet = Fleet()
    fleet.run(2.0)
    fleet.sent.clear()
    fleet.run(SUMMARY_INTERVAL_S)
    receivers = 2 * len(fleet.hosts)
    assert sum(fleet.sent.values()) == receivers
    assert len(fleet.sent) == len(REGIONS)


def test_a_region_is_reached_again_after_its_first_host_was_lost() -> None:
    fleet = Fleet()
    fleet.run(2.0)
    fleet.down.add("fes-a-00")
    fleet.run(2.0)
    assert fleet.summaries["tanja-a-40"]["fes"].host == "fes-a-01"
    fleet.summaries["fes-a-40"].clear()
    fleet.run(SUMMARY_INTERVAL_S)
    assert set(fleet.summaries["fes-a-40"]) == {"tanja", "marrakech"}


def test_announced_segments_reach_the_other_regions_once() -> None:
    fleet = Fleet()
    fleet.run(2.0)
    fleet.hosts["fes-a-00"].on_segments([("part", "e-1", 250)], fleet.now_s)
    fleet.run(SUMMARY_INTERVAL_S)
    assert fleet.summaries["tanja-a-07"]["fes"].segments == (("part", "e-1", 0),)
    fleet.run(SUMMARY_INTERVAL_S)
    assert not fleet.summaries["tanja-a-07"]["fes"].segments


def test_a_host_that_becomes_the_first_one_does_not_announce_old_segments() -> None:
    """Guards against segments that other regions would take for cached long after their use."""
    fleet = Fleet()
    fleet.run(2.0)
    fleet.hosts["fes-a-01"].on_segments([("old", "e-1", 0)], fleet.now_s)
    fleet.run(5.0)
    fleet.down.add("fes-a-00")
    fleet.run(2.0)
    assert fleet.summaries["tanja-a-40"]["fes"].host == "fes-a-01"
    assert "old" not in {segment for segment, _, _ in fleet.announced}


def test_a_region_that_falls_silent_is_logged_once_and_again_when_it_returns() -> None:
    fleet = Fleet()
    fleet.run(2.0)
    host = fleet.hosts["tanja-a-40"]
    with LogCapture() as log:
        for _ in range(3):
            fleet.now_s += CONTACT_TTL_S
            host.on_tick(fleet.now_s, is_first_host=False)
        lost = [record.message for record in log.records]
        fleet.run(SUMMARY_INTERVAL_S)
    assert lost == ["region timed out"] * 2
    assert host.region_rank(fleet.now_s) == 2


# Guards against hosts of a large fleet that do not learn that a server leaves, has a limit, or was
# lost to a prompt, and against a cost that grows with the square of the fleet.
@pytest.mark.parametrize("data", NOTICES)
@pytest.mark.parametrize("lost", [(), ("tanja-a-00",), ("tanja-a-00", "marrakech-a-00")])
def test_a_notice_about_a_server_reaches_all_hosts_of_all_regions(
    data: bytes, lost: tuple[str, ...]
) -> None:
    fleet = Fleet()
    fleet.run(2.0)
    fleet.down.update(lost)
    # The others are heard of again once their successors have sent a summary.
    fleet.run(2.0)
    fleet.sent.clear()
    fleet.tell_all("fes-a-40", data)
    alive = set(fleet.hosts) - {"fes-a-40", *lost}
    assert {name for name in alive if fleet.notices[name] == [data]} == alive
    assert sum(fleet.sent.values()) <= len(fleet.hosts) + len(REGIONS)


# Guards against notices that are lost while a region's first host is not known yet.
def test_a_notice_reaches_all_hosts_before_the_first_summary() -> None:
    fleet = Fleet()
    fleet.tell_all("fes-a-40", NOTICES[0])
    assert all(fleet.notices[name] for name in fleet.hosts if name != "fes-a-40")


def test_regions_of_a_fleet_whose_hosts_all_report_to_each_other_exchange_nothing() -> None:
    """Guards against load that is counted twice, by the hosts' reports and by a summary."""
    fleet = Fleet()
    fleet.active = False
    fleet.run(2.0)
    assert not fleet.sent
    fleet.hosts["tanja-a-00"].on_datagram(encode_summary(SUMMARY), None, fleet.arrival)
    assert not fleet.summaries["tanja-a-00"]


def test_a_decoded_summary_equals_the_encoded_one() -> None:
    assert decode_summary(encode_summary(SUMMARY)) == SUMMARY


@pytest.mark.parametrize("data", [b"", b"text", b"x\x9cjunk", b"\xff" * 40])
def test_a_datagram_that_is_no_summary_decodes_to_none(data: bytes) -> None:
    assert decode_summary(SUMMARY_TAG + data) is None


def make_scope() -> LoadSharingScope:
    return LoadSharingScope(Topology(Location("fes-a", "fes"), REGIONS))


def make_remote_engines(count: int) -> list[BackendEntry]:
    return [evolve(ENGINE, name=f"t-{number}", data_centre="tanja-a") for number in range(count)]


def test_engines_of_a_region_whose_load_is_unknown_are_no_candidates() -> None:
    backlog = EngineBacklog()
    engines = make_remote_engines(5)
    assert not make_scope().remote_candidates(engines, backlog, Random(1), 10.0)
    backlog.on_region_summary("tanja", {}, 10.0)
    assert make_scope().remote_candidates(engines, backlog, Random(1), 10.0)
    assert not make_scope().remote_candidates(engines, backlog, Random(1), 10.1 + REPORT_TTL_S)


def test_a_crowded_region_spreads_its_work_over_the_idle_engines_of_another() -> None:
    """Guards against newly added idle engines being left idle, or all being sent to one of them."""
    backlog = EngineBacklog()
    engines = make_remote_engines(20)
    busy = {engine.name: EngineLoad(14, 0) for engine in engines[:12]}
    backlog.on_region_summary("tanja", busy, 10.0)
    rng = Random(1)
    chosen: Counter[str] = Counter()
    for _ in range(400):
        candidates = make_scope().remote_candidates(engines, backlog, rng, 10.0)
        assert len(candidates) == REMOTE_CANDIDATE_ENGINES
        chosen[candidates[0].name] += 1
    idle = [chosen[engine.name] for engine in engines[12:]]
    assert sum(idle) > 0.95 * chosen.total()
    assert max(idle) < 0.5 * chosen.total()


def test_summaries_and_reports_of_hosts_add_up() -> None:
    backlog = EngineBacklog()
    backlog.add_stream("e-1", "id-1")
    backlog.on_peer_report("h-1", {"e-1": EngineLoad(2, 30)}, 10.0)
    backlog.on_region_summary("tanja", {"e-1": EngineLoad(4, 500)}, 10.0)
    assert backlog.streams("e-1", 10.0) == 7
    assert backlog.waiting_prefill_tokens("e-1", 10.0) == 530
    assert backlog.group_loads(10.0) == {"e-1": EngineLoad(3, 30)}
    backlog.on_region_summary("tanja", {}, 10.2)
    assert backlog.streams("e-1", 10.2) == 3

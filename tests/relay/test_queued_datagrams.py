"""Datagrams that have waited in a host's queue: what they state counts from before the wait."""

import socket
from collections.abc import Iterator
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
from attrs import define, field

from berylquay.decisions.arrival_bounds import ArrivalBounds, ReceiveQueue
from berylquay.decisions.backend_registry import BackendRegistry
from berylquay.decisions.fleet import Address
from berylquay.decisions.load_sharing_scope import LoadSharingScope
from berylquay.decisions.pool_version_history import PoolVersionHistory, PoolVersionRecord
from berylquay.decisions.segment_crash_history import Quarantine
from berylquay.decisions.server_instance import ServerInstance
from berylquay.decisions.shared_polling import OwnRead, TopicReport
from berylquay.decisions.topology import Location, Topology
from berylquay.platform.store_client import encode_keyed_record
from berylquay.relay.crash_reports import CrashReport, encode_crash_report
from berylquay.relay.load_reports import (
    FIRST_HOST_TTL_S,
    MAX_DATAGRAMS_PER_READ,
    LoadGossip,
    LoadReport,
    decode_report,
    encode_report,
)
from berylquay.relay.metrics import RelayMetrics
from berylquay.relay.peer_exchange import PeerExchange
from berylquay.relay.pending_updates import PendingUpdates
from berylquay.relay.server_notice_handler import ServerNoticeHandler, encode_server_limit
from berylquay.relay.topic_deltas import TopicDelta
from examples.processes import free_port
from tests.relay.test_crash_reports import Host, make_call
from tests.relay.test_topic_deltas import Fleet

TOPIC = "keyed.servers"
STOOD_STILL_S = 7.0


@define
class Receiver:
    """A host that receives on loopback, with clocks that the test sets."""

    now_s: float = 0.0
    # Time for which the machine was suspended, which the monotonic clock lacks.
    suspended_s: float = 0.0
    arrivals: list[ArrivalBounds] = field(factory=list)
    address: Address = field(factory=lambda: Address("127.0.0.1", free_port()))
    gossip: LoadGossip = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Listens on the address."""
        topology = Topology(Location("fes-a", "fes"), {"fes-a": "fes"})
        self.gossip = LoadGossip(
            get_standing_reports=lambda: (),
            host="fes-a-2",
            data_centre="fes-a",
            address=self.address,
            get_loads=dict,
            on_report=lambda _report, arrival: self.arrivals.append(arrival),
            on_report_sent=lambda _report: None,
            on_exchange_datagram=lambda _data, arrival: self.arrivals.append(arrival),
            clock=lambda: self.now_s,
            boot_clock=lambda: self.now_s + self.suspended_s,
            scope=LoadSharingScope(topology),
            pending_updates=PendingUpdates(),
        )

    def send(self, count: int = 1) -> None:
        """Sends reports of another host to this one."""
        report = LoadReport("fes-a-1", "fes-a", Address("127.0.0.1", 9), {}, ())
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for _ in range(count):
                sock.sendto(encode_report(report), (self.address.ip, self.address.port))

    def receive(self, now_s: float) -> list[ArrivalBounds]:
        """Handles what has arrived and returns when it did."""
        self.now_s = now_s
        self.arrivals.clear()
        self.gossip.receive(now_s)
        return list(self.arrivals)


@pytest.fixture
def receiver() -> Iterator[Receiver]:
    receiver = Receiver()
    yield receiver
    receiver.gossip._sock.close()


# Guards against a queued datagram that counts as one that was just sent.
def test_a_datagram_can_have_arrived_since_the_queue_was_empty(receiver: Receiver) -> None:
    receiver.receive(1.0)
    receiver.send()
    assert receiver.receive(1.0 + STOOD_STILL_S) == [ArrivalBounds(1.0, 1.0 + STOOD_STILL_S)]
    receiver.send()
    assert receiver.receive(8.5) == [ArrivalBounds(1.0 + STOOD_STILL_S, 8.5)]


# Guards against a suspension that the monotonic clock does not show.
def test_a_datagram_can_have_arrived_before_the_machine_was_suspended(receiver: Receiver) -> None:
    receiver.receive(1.0)
    receiver.send()
    receiver.suspended_s = STOOD_STILL_S
    (arrival,) = receiver.receive(1.1)
    assert arrival.earliest_s == pytest.approx(1.0 - STOOD_STILL_S)


# Guards against the rest of a long queue, which later reads handle, that counts as new.
def test_the_rest_of_a_long_queue_is_as_old_as_its_beginning() -> None:
    queue = ReceiveQueue(1.0)
    assert queue.bound_arrival(8.0, 8.0).earliest_s == 1.0
    assert queue.bound_arrival(8.1, 8.1).earliest_s == 1.0
    queue.on_empty(8.1)
    assert queue.bound_arrival(8.2, 8.2).earliest_s == 8.1


def test_a_read_that_leaves_datagrams_does_not_make_the_queue_empty(receiver: Receiver) -> None:
    receiver.receive(1.0)
    receiver.gossip._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_000_000)
    receiver.send(MAX_DATAGRAMS_PER_READ // 2)
    first = receiver.receive(8.0)
    receiver.send(MAX_DATAGRAMS_PER_READ // 2)
    assert {bounds.earliest_s for bounds in first} == {1.0}
    assert {bounds.earliest_s for bounds in receiver.receive(8.1)} == {8.0}


# Guards against a host that was lost meanwhile, on which this one goes on to rely.
def test_a_queued_report_does_not_keep_a_host_alive(receiver: Receiver) -> None:
    receiver.receive(0.0)
    receiver.send()
    receiver.receive(0.1)
    receiver.send()
    receiver.receive(0.1 + STOOD_STILL_S)
    assert STOOD_STILL_S > FIRST_HOST_TTL_S
    assert receiver.gossip.first_live_before(receiver.now_s) is None
    receiver.send()
    receiver.receive(7.2)
    assert receiver.gossip.first_live_before(receiver.now_s) is not None


def make_exchange(follower: Any) -> PeerExchange:
    """Returns an exchange that applies datagrams to a follower, without a socket."""
    exchange = PeerExchange.__new__(PeerExchange)
    exchange._followers = (follower,)
    exchange._services = SimpleNamespace()  # type: ignore[assignment]
    return exchange


# Guards against a list of servers that counts as current, and so its pool as one of one version.
def test_a_queued_statement_on_a_topic_is_as_old_as_its_wait() -> None:
    ages_ms: list[int] = []
    follower = SimpleNamespace(
        topic=TOPIC,
        on_peer_report=lambda report, _now_s, _host: ages_ms.append(report.age_ms),
        on_delta=lambda delta, _now_s: ages_ms.append(delta.age_ms),
    )
    exchange = make_exchange(follower)
    arrival = ArrivalBounds(1.0, 1.0 + STOOD_STILL_S)
    exchange._apply_topic_reports((TopicReport(TOPIC, "state", 40),), "fes-a-1", arrival)
    exchange._on_delta(TopicDelta(TOPIC, "before", "after", 40, ()), arrival)
    assert ages_ms == [7040, 7040]


# Guards against a sound segment that is refused longer than the hosts that know more refuse it.
def test_the_remaining_time_of_a_quarantine_passes_in_the_queue() -> None:
    host = Host()
    report = CrashReport(quarantines=(Quarantine("poison", 20.0),))
    host.handler.on_datagram(encode_crash_report(report), ArrivalBounds(0.0, 10.0))
    assert host.handler.find_quarantined(make_call(1), 19.0) is not None
    assert host.handler.find_quarantined(make_call(1), 21.0) is None


# Guards against a limit that ends by what another host heard before the server named it.
def test_a_queued_notice_does_not_end_a_limit_that_was_named_since() -> None:
    registry, sent = BackendRegistry(), list[bytes]()
    notices = registry.notices
    handler = ServerNoticeHandler(registry, RelayMetrics(), Random(1), sent.append)
    instance = ServerInstance("i-1", 5)
    notices.on_limit(instance, 2.0, sent_s=6.0, rng=Random(1), now_s=6.5)
    ended = encode_server_limit(instance, None)
    handler.on_limit_datagram(ended, ArrivalBounds(1.0, 8.0))
    assert notices.limits.limit_of(instance) == 2.0
    handler.on_limit_datagram(ended, ArrivalBounds(8.0, 8.1))
    assert notices.limits.limit_of(instance) is None


# Guards against a pool whose record counts as current by a notice from before the gap in the list.
def test_a_queued_record_does_not_make_the_versions_complete() -> None:
    history = PoolVersionHistory()
    history.on_list_confirmed(8.0, 8.0)
    history.on_record("lm", PoolVersionRecord(frozenset({"v1"})), 8.1, 10**6, current_s=1.0)
    assert history.only_version("lm", (), 8.1) is None
    history.on_record("lm", PoolVersionRecord(frozenset({"v1"})), 8.2, 10**6, current_s=8.1)
    assert history.only_version("lm", (), 8.2) == "v1"


# Guards against an age that was stated before the sender stood still, and sent after it.
def test_a_report_states_the_age_of_a_read_when_it_is_sent(
    receiver: Receiver, monkeypatch: pytest.MonkeyPatch
) -> None:
    sent: list[bytes] = []
    gossip = receiver.gossip
    monkeypatch.setattr(gossip, "send", lambda data, _address: sent.append(data))
    gossip.add_peer("fes-a-1", Address("127.0.0.1", 9), "fes-a", 1.0)
    gossip._pending_updates.topic_reads.append(OwnRead(TOPIC, "state", 0.9))
    receiver.now_s = 1.0 + STOOD_STILL_S
    gossip.on_tick(1.0)
    report = decode_report(sent[0])
    assert report is not None
    assert report.topic_reports == (TopicReport(TOPIC, "state", 7100),)


# The same for changes, which wait for the next tick.
def test_changes_state_the_age_of_the_read_when_they_are_passed_on() -> None:
    fleet = Fleet(1, lose_deltas=False)
    (follower,) = fleet.followers
    for number in (1, 2):
        fleet.now_s = float(number)
        follower.on_tick(fleet.now_s)
    fleet.store.contents.append(encode_keyed_record("k", b"second"))
    fleet.now_s = 3.0
    follower.on_tick(fleet.now_s)
    follower.on_tick(fleet.now_s)
    assert [delta.age_ms for delta in follower.take_deltas(3.0 + STOOD_STILL_S)] == [7000]

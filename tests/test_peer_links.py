"""Links between entry hosts over real sockets in one process, whose loops the test runs."""

import ssl
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random
from threading import RLock
from typing import Final

import pytest
from attrs import define, field
from circuits import BaseComponent, handler
from circuits.core.events import generate_events
from circuits.core.pollers import EPoll

from berylquay.component_messages import (
    MembershipRead,
    PeerLinkChanged,
    PeerReceived,
    PeerSendRequested,
)
from berylquay.decisions.fleet import Address, EntryHost, MembershipView
from berylquay.decisions.peering import DialScheduler, PeeringLimits
from berylquay.net.message_bus import BUS, post
from berylquay.net.process_messages import Tick
from berylquay.net.tcp_connections import TcpConnections
from berylquay.peers.codec import encode_payload
from berylquay.peers.payloads import DrainNotice, Heartbeat, Hello
from berylquay.peers.peer_links import HostIdentity, PeerLinks
from berylquay.peers.security_layer import (
    SecurityLayerFactory,
    create_security_layer_factory,
    make_plaintext_layer,
)
from berylquay.peers.websocket import MAX_MESSAGE_BYTES
from berylquay.settings.host_options import PeerOptions, PeerTls
from examples.processes import free_port
from tests.support.certificates import CertificateAuthority
from tests.support.raw_peers import RawPeer, TcpProxy

LIMITS: Final = PeeringLimits(
    heartbeat_interval_s=0.05,
    heartbeat_timeout_s=0.4,
    handshake_timeout_s=0.4,
    max_initial_delay_s=0.01,
    base_backoff_s=0.05,
    max_backoff_s=0.1,
)
WAIT_S: Final = 10.0
NOTICE: Final = DrainNotice("engine-1", True, 7)


class PeerRecorder(BaseComponent):
    """Stores the messages that a host posts about its peers."""

    channel = BUS

    def __init__(self) -> None:
        super().__init__()
        self.received: list[PeerReceived] = []
        self.changes: list[PeerLinkChanged] = []

    @handler("PeerReceived")
    def _on_received(self, message: PeerReceived) -> None:
        if not isinstance(message.payload, Heartbeat | Hello):
            self.received.append(message)

    @handler("PeerLinkChanged")
    def _on_changed(self, message: PeerLinkChanged) -> None:
        self.changes.append(message)


class Host:
    """The peer links of one entry host, with its own loop."""

    def __init__(self, name: str, security_layers: SecurityLayerFactory, port: int) -> None:
        self.name = name
        self._lock = RLock()
        self.loop = EPoll()
        self.recorder = PeerRecorder().register(self.loop)
        self.address = Address("127.0.0.1", port)
        connections = TcpConnections(self.loop).register(self.loop)
        identity = HostIdentity(name, "fes-1", f"{name}-1")
        options = PeerOptions(self.address)
        self.links = PeerLinks(
            connections, options, identity, security_layers, DialScheduler(LIMITS, Random(name))
        )
        self.links.register(self.loop)

    def run_loop_once(self) -> None:
        post(self.loop, Tick(time.monotonic()))
        for _ in range(4):
            self.loop.fire(generate_events(self._lock, 0.001), "*")
            self.loop.tick()

    def close(self) -> None:
        for session in list(self.links._sessions):
            self.links.end_session(session, "the test is over")
        self.links._server.close()


@define
class HostGroup:
    """Hosts whose loops the test runs."""

    hosts: list[Host] = field(factory=list)

    def add(
        self, name: str, security_layers: SecurityLayerFactory = make_plaintext_layer, port: int = 0
    ) -> Host:
        host = Host(name, security_layers, port or free_port())
        self.hosts.append(host)
        return host

    def publish_membership(self, addresses: dict[str, Address] | None = None) -> None:
        all_addresses = {host.name: host.address for host in self.hosts} | (addresses or {})
        entries = tuple(
            EntryHost(name, address, "fes", "fes-1") for name, address in all_addresses.items()
        )
        for host in self.hosts:
            post(host.loop, MembershipRead(MembershipView(1, (), entries)))

    def run_until(self, condition: Callable[[], bool]) -> None:
        deadline_s = time.monotonic() + WAIT_S
        while not condition():
            assert time.monotonic() < deadline_s, [host.links.counts for host in self.hosts]
            for host in self.hosts:
                host.run_loop_once()

    def all_linked(self) -> bool:
        return all(len(host.links.linked_hosts) == len(self.hosts) - 1 for host in self.hosts)

    def close(self) -> None:
        for host in self.hosts:
            host.close()


@pytest.fixture
def hosts() -> Iterator[HostGroup]:
    group = HostGroup()
    yield group
    group.close()


def test_one_link_per_pair_carries_payloads_both_ways(hosts: HostGroup) -> None:
    for name in ("a", "b", "c"):
        hosts.add(name)
    hosts.publish_membership()
    hosts.run_until(hosts.all_linked)
    assert sum(host.links.counts["links_made"] for host in hosts.hosts) == 6
    for sender in hosts.hosts:
        for receiver in hosts.hosts:
            post(sender.loop, PeerSendRequested(receiver.name, NOTICE))
    hosts.run_until(lambda: all(len(host.recorder.received) == 2 for host in hosts.hosts))
    assert {message.host for message in hosts.hosts[0].recorder.received} == {"b", "c"}


def test_payload_to_a_host_without_a_link_is_dropped_and_counted(hosts: HostGroup) -> None:
    host = hosts.add("a")
    post(host.loop, PeerSendRequested("b", NOTICE))
    hosts.run_until(lambda: host.links.counts["payloads_dropped"] == 1)


def test_unresponsive_link_is_replaced(hosts: HostGroup) -> None:
    first, second = hosts.add("a"), hosts.add("b")
    with TcpProxy(second.address) as proxy:
        hosts.publish_membership({"b": proxy.address})
        hosts.run_until(lambda: proxy.process_pending() and hosts.all_linked())
        proxy.stop_forwarding()
        hosts.run_until(lambda: proxy.process_pending() and len(first.recorder.changes) >= 3)
        assert [change.connected for change in first.recorder.changes] == [True, False, True]
        assert first.links.counts["links_silent"] + second.links.counts["links_silent"] >= 1
        hosts.run_until(lambda: proxy.process_pending() and hosts.all_linked())
        post(second.loop, PeerSendRequested("a", NOTICE))
        hosts.run_until(lambda: proxy.process_pending() and first.recorder.received != [])


def test_restarted_host_is_linked_again(hosts: HostGroup) -> None:
    first, second = hosts.add("a"), hosts.add("b")
    hosts.publish_membership()
    hosts.run_until(hosts.all_linked)
    hosts.hosts.remove(second)
    HostGroup([second]).close()
    hosts.run_until(lambda: not first.links.linked_hosts)
    hosts.add("b", port=second.address.port)
    hosts.run_until(hosts.all_linked)


@pytest.mark.parametrize(
    ("counter", "messages"),
    [
        ("links_rejected", [b"\xff\xff"]),
        ("links_rejected", [encode_payload(NOTICE)]),
        ("links_rejected", [encode_payload(Hello("z", "z-1")), b"not CBOR"]),
        ("links_rejected", [encode_payload(Hello("z", "z-1"))] * 2),
        ("links_rejected", [encode_payload(Hello("a", "a-9"))]),
        ("messages_unknown", [encode_payload(Hello("z", "z-1")), b"\x83\x01\x65Later\xa0"]),
        ("messages_unknown", [encode_payload(Hello("z", "z-1")), b"\x83\x09\x65Hello\xa0"]),
        ("links_broken", [encode_payload(Hello("z", "z-1")), bytes(MAX_MESSAGE_BYTES + 1)]),
    ],
)
def test_malformed_messages_are_counted_and_never_end_the_loop(
    hosts: HostGroup, counter: str, messages: list[bytes]
) -> None:
    first, _ = hosts.add("a"), hosts.add("b")
    hosts.publish_membership()
    hosts.run_until(hosts.all_linked)
    sender = RawPeer(first.address, messages)
    hosts.run_until(lambda: sender.process_pending() and first.links.counts[counter] >= 1)
    sender.close()
    hosts.run_until(hosts.all_linked)


def test_concurrent_dials_are_limited_while_no_host_answers(hosts: HostGroup) -> None:
    host = hosts.add("a")
    hosts.publish_membership({f"b{n}": Address("127.0.0.1", free_port()) for n in range(30)})
    end_s = time.monotonic() + 1.0
    while time.monotonic() < end_s:
        host.run_loop_once()
        assert len(host.links._sessions) <= LIMITS.max_concurrent_dials


def test_mutual_tls_links_hosts_that_the_authority_signed(hosts: HostGroup, tmp_path: Path) -> None:
    authority = CertificateAuthority(tmp_path / "ours")
    for name in ("a", "b"):
        hosts.add(name, _security_layers(authority.tls_for(name)))
    hosts.publish_membership()
    hosts.run_until(hosts.all_linked)
    post(hosts.hosts[0].loop, PeerSendRequested("b", NOTICE))
    hosts.run_until(lambda: hosts.hosts[1].recorder.received != [])


@pytest.mark.parametrize("fault", ["other authority", "other name", "no TLS"])
def test_mutual_tls_rejects_other_hosts(hosts: HostGroup, tmp_path: Path, fault: str) -> None:
    own, other = CertificateAuthority(tmp_path / "ours"), CertificateAuthority(tmp_path / "other")
    rejected_layers = {
        "other authority": _security_layers(other.tls_for("b")),
        "other name": _security_layers(own.tls_for("c")),
        "no TLS": make_plaintext_layer,
    }
    first = hosts.add("a", _security_layers(own.tls_for("a")))
    hosts.add("b", rejected_layers[fault])
    hosts.publish_membership()
    hosts.run_until(lambda: first.links.counts["dials"] >= 3)
    assert all(host.links.counts["links_made"] == 0 for host in hosts.hosts[:1])
    assert first.recorder.changes == []


def _security_layers(tls: PeerTls) -> SecurityLayerFactory:
    return create_security_layer_factory(tls).unwrap()


def test_certificate_that_cannot_be_read_is_an_error(tmp_path: Path) -> None:
    missing = str(tmp_path / "missing.pem")
    assert (
        "No such file"
        in create_security_layer_factory(PeerTls(missing, missing, missing)).failure()
    )
    assert ssl.HAS_TLSv1_3

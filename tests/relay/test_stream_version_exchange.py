"""Which hosts know at which software version a stream began, when others and datagrams are lost."""

from random import Random

import pytest
from attrs import define, field

from berylquay.decisions.arrival_bounds import ArrivalBounds
from berylquay.decisions.backend_registry import BackendEntry, EntryState
from berylquay.decisions.fleet import Address, Role
from berylquay.decisions.pool_version_history import PoolVersionHistory
from berylquay.decisions.stream_versions import (
    KEEPERS,
    MAX_KEPT_STREAMS,
    MAX_LIST_AGE_S,
    STREAM_RETENTION_S,
    StreamVersions,
    choose_keepers,
)
from berylquay.relay.stream_version_exchange import (
    STREAM_QUERY_TAG,
    STREAM_VERSION_TAG,
    StreamVersionExchange,
    decode_stream_query,
    decode_stream_version,
    encode_stream_query,
    encode_stream_version,
)

STREAMS = 400
AT_START = ArrivalBounds(0.0, 0.0)


def address_of(host: str) -> Address:
    return Address("10.0.0.1", 7000 + int(host.removeprefix("host-")))


@define
class Network:
    """Hosts in virtual time, whose datagrams may be lost."""

    loss: float
    rng: Random
    exchanges: dict[str, StreamVersionExchange] = field(factory=dict)
    # Hosts that each one does not know.
    unknown: dict[str, set[str]] = field(factory=dict)
    sent: int = 0

    def add_host(self, host: str) -> None:
        self.exchanges[host] = StreamVersionExchange(
            host=host,
            address=address_of(host),
            get_hosts=lambda: {
                other: address_of(other)
                for other in self.exchanges
                if other != host and other not in self.unknown.get(host, set())
            },
            send=self._send,
        )

    def _send(self, data: bytes, address: Address) -> None:
        self.sent += 1
        exchange = self.exchanges.get(f"host-{address.port - 7000}")
        if exchange is None or self.rng.random() < self.loss:
            return
        if data.startswith(STREAM_QUERY_TAG):
            exchange.on_query_datagram(data, AT_START)
        else:
            exchange.on_version_datagram(data, AT_START)

    def find(self, host: str, call_id: str, *, ask_all: bool) -> str | None:
        exchange = self.exchanges[host]
        if exchange.versions.find(call_id) is None:
            exchange.ask(call_id)
        if exchange.versions.find(call_id) is None and ask_all:
            exchange.ask_all(call_id)
        return exchange.versions.find(call_id)


def begin_streams(network: Network) -> dict[str, str]:
    """Begins streams at random hosts; returns their versions."""
    versions = {}
    for number in range(STREAMS):
        host = network.rng.choice(sorted(network.exchanges))
        versions[f"call-{number}"] = version = f"v{network.rng.randrange(3)}"
        network.exchanges[host].on_stream_begun(f"call-{number}", version, 0.0)
    return versions


def found_share(network: Network, versions: dict[str, str], *, ask_all: bool = True) -> float:
    """Takes each stream up at a random host; returns the share whose version is found."""
    found = 0
    for call_id, version in versions.items():
        host = network.rng.choice(sorted(network.exchanges))
        answer = network.find(host, call_id, ask_all=ask_all)
        assert answer in (None, version)
        found += answer is not None
    return found / len(versions)


# Guards against streams whose version nobody knows any more.
@pytest.mark.parametrize("hosts", [2, 8, 32, 65])
@pytest.mark.parametrize(
    ("lost_hosts", "loss", "least_share"),
    [(0.0, 0.0, 1.0), (0.3, 0.0, 0.9), (0.55, 0.0, 0.7), (0.0, 0.03, 0.99), (0.3, 0.03, 0.88)],
)
def test_versions_outlive_the_hosts_that_began_the_streams(
    hosts: int, lost_hosts: float, loss: float, least_share: float
) -> None:
    network = Network(loss, Random(hosts))
    for number in range(hosts):
        network.add_host(f"host-{number}")
    versions = begin_streams(network)
    for host in network.rng.sample(sorted(network.exchanges), int(lost_hosts * hosts)):
        del network.exchanges[host]
    assert found_share(network, versions) >= least_share


def test_a_stream_costs_the_same_in_a_fleet_of_any_size() -> None:
    for hosts in (8, 65, 195):
        network = Network(0.0, Random(1))
        for number in range(hosts):
            network.add_host(f"host-{number}")
        begin_streams(network)
        assert network.sent <= STREAMS * KEEPERS


def test_hosts_that_know_other_hosts_find_the_version() -> None:
    network = Network(0.0, Random(3))
    for number in range(12):
        network.add_host(f"host-{number}")
    for number in range(4):
        # A quarter of the fleet is new to the first hosts.
        network.unknown[f"host-{number}"] = {f"host-{other}" for other in range(9, 12)}
    versions = begin_streams(network)
    assert found_share(network, versions, ask_all=False) >= 0.9
    assert found_share(network, versions) >= 0.99


def test_the_keepers_of_a_stream_are_the_same_for_all_hosts() -> None:
    hosts = [f"host-{number}" for number in range(20)]
    for number in range(50):
        chosen = choose_keepers(f"call-{number}", hosts, KEEPERS)
        assert chosen == choose_keepers(f"call-{number}", hosts[::-1], KEEPERS)
        others = [host for host in hosts if host != chosen[0]]
        assert choose_keepers(f"call-{number}", others, KEEPERS)[:2] == chosen[1:]


def test_versions_are_forgotten() -> None:
    versions = StreamVersions()
    versions.record("old", "v1", 0.0)
    versions.record("new", "v2", 10.0)
    versions.expire(STREAM_RETENTION_S)
    assert (versions.find("old"), versions.find("new")) == (None, "v2")
    for number in range(MAX_KEPT_STREAMS):
        versions.record(f"call-{number}", "v1", 10.0)
    assert versions.find("new") is None


@pytest.mark.parametrize("data", [b"", b"x", b"\xff" * 40])
def test_malformed_datagrams_are_ignored(data: bytes) -> None:
    assert decode_stream_version(STREAM_VERSION_TAG + data) is None
    assert decode_stream_query(STREAM_QUERY_TAG + data) is None
    query = encode_stream_query(Address("10.0.0.1", 7000), "call")
    version = encode_stream_version("call", "v1")
    assert decode_stream_version(version[:-8]) is None
    assert decode_stream_query(query[:-8]) is None
    network = Network(0.0, Random(1))
    network.add_host("host-0")
    exchange = network.exchanges["host-0"]
    exchange.on_version_datagram(STREAM_VERSION_TAG + data, AT_START)
    exchange.on_query_datagram(STREAM_QUERY_TAG + data, AT_START)
    assert not network.sent


def make_entry(version: str, pool: str = "lm") -> BackendEntry:
    address = Address("10.0.0.1", 80)
    return BackendEntry(
        "i-1", pool, address, "a", 4, EntryState.READY, Role.DECODE, software_version=version
    )


@pytest.mark.parametrize(
    ("listed", "removed", "confirmed_until_s", "expected"),
    [
        (["v1", "v1"], None, 100.0, "v1"),
        (["v1", "v2"], None, 100.0, None),
        # A stream may have begun at a version whose last server has just gone.
        (["v2"], ("v1", 99.0), 100.0, None),
        (["v2"], ("v1", 100.0 - STREAM_RETENTION_S), 100.0, "v2"),
        # The list may lack a version.
        (["v1"], None, 99.0 - MAX_LIST_AGE_S, None),
        ([], None, 100.0, None),
    ],
)
def test_the_only_version_of_a_pool(
    listed: list[str],
    removed: tuple[str, float] | None,
    confirmed_until_s: float,
    expected: str | None,
) -> None:
    pool_versions = PoolVersionHistory()
    entries = [make_entry(version) for version in listed]
    pool_versions.on_list_confirmed(0.0, 0.0)
    assert pool_versions.only_version("lm", entries, 1.0) is None
    if removed is not None:
        pool_versions.on_entry_replaced(make_entry(removed[0]), removed[1])
    pool_versions.on_entry_replaced(make_entry("v9", "app"), 99.0)
    pool_versions.on_list_confirmed(min(confirmed_until_s, 100.0), 100.0)
    assert pool_versions.only_version("lm", entries, 100.0) == expected


def test_after_a_gap_in_the_list_no_version_counts_as_the_only_one() -> None:
    pool_versions = PoolVersionHistory()
    pool_versions.on_list_confirmed(0.0, 0.0)
    pool_versions.on_list_confirmed(50.0, 51.0 + MAX_LIST_AGE_S)
    for now_s in (60.0, 100.0, 59.0 + STREAM_RETENTION_S):
        pool_versions.on_list_confirmed(now_s, now_s)
        assert pool_versions.only_version("lm", [make_entry("v1")], now_s) is None
    now_s = 60.0 + STREAM_RETENTION_S
    assert pool_versions.only_version("lm", [make_entry("v1")], now_s) == "v1"

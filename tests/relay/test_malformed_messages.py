"""Malformed messages at each interface of a relay host: the process goes on and serves others."""

import random
import socket
import time
import zlib
from typing import Final

import cbor2
import pytest

from berylquay.decisions.engine_backlog import EngineLoad
from berylquay.decisions.fleet import Address
from berylquay.net.event_loop import EventLoop
from berylquay.net.tcp_connections import TcpConnections
from berylquay.relay.load_reports import FORMAT_VERSION, LoadReport, encode_report
from tests.relay.test_gateways import peers_port
from tests.support.relay_fleet import PATHS, RelayFleet, wait_until

TAGS: Final = (*(bytes([tag]) for tag in range(0x0D)), b"\x8a", b"\xff")
DATAGRAMS: Final = 2000
ABSURD: Final[tuple[object, ...]] = (
    None,
    -1,
    10**400,
    float("nan"),
    float("inf"),
    "",
    "\x00" * 300,
    b"\xff",
    [],
    {},
    [[]],
    {"decode-0": [10**300, -(10**300)]},
    [["aa", "decode-0", 10**300]],
    [["keyed.op", "1", 10**400]],
    [[-1, 2, 3]],
    cbor2.CBORTag(4, [10**9, 1]),
    cbor2.CBORTag(35, "("),
)
VALID_REPORT: Final = encode_report(
    LoadReport("host-x", "fes-a", Address("127.0.0.1", 9), {"decode-0": EngineLoad(1, 2)}, ())
)
# Fields of the right types: a port and an address to which nothing can be sent.
REPORT_FIELDS: Final = [FORMAT_VERSION, "host-x", "fes-a", "127.0.0.1", 9, {}, [], [], [], []]
ABSURD_REPORTS: Final[dict[str, dict[int, object]]] = {
    "port": {4: 70_000},
    "negative-port": {4: -1},
    "address": {3: "no address"},
    "load": {5: {"decode-0": [10**400, 10**400]}},
    "negative-load": {5: {"decode-0": [-(10**9), -(10**9)]}},
    "segment": {6: [["aa", "decode-0", 10**400]]},
    "topic-age": {9: [["keyed.op", "1", 10**400], ["keyed.servers", "1", -(10**400)]]},
}


def make_datagram(rng: random.Random) -> bytes:
    kind = rng.randrange(4)
    if kind == 0:
        return rng.choice(TAGS) + rng.randbytes(rng.choice((0, 1, 7, 200, 4000)))
    if kind == 1:
        data = bytearray(VALID_REPORT[: rng.randrange(len(VALID_REPORT))] or b"\x8a")
        data[rng.randrange(len(data))] = rng.randrange(256)
        return bytes(data)
    fields = [rng.choice(ABSURD) for _ in range(rng.randrange(9))]
    if kind == 2:
        report: list[object] = list(REPORT_FIELDS)
        report[rng.randrange(1, 10)] = rng.choice(ABSURD)
        return cbor2.dumps(report)
    return rng.choice(TAGS) + zlib.compress(cbor2.dumps(fields))


def error_lines(fleet: RelayFleet) -> list[dict[str, object]]:
    return [line for line in fleet.log_lines() if line["message"] == "unexpected error"]


def check_serving(fleet: RelayFleet) -> None:
    """Fails if the host does not serve both kinds of calls, or does not tick."""
    assert fleet.is_ready()
    assert fleet.send_request(PATHS["once"], f"app-{time.monotonic()}").status == 200
    prompt = {"Token-Counts": "20,4"}
    assert fleet.send_request(PATHS["stream"], f"lm-{time.monotonic()}", b"", prompt).status == 200


def add_both_kinds(fleet: RelayFleet) -> RelayFleet:
    fleet.add_backend("app-0", "app")
    wait_until(lambda: fleet.send_request(PATHS["once"], f"id-{time.monotonic()}").status == 200)
    return fleet


# Guards against a datagram of another host that makes every tick, or every placement, fail.
@pytest.mark.parametrize("kind", ABSURD_REPORTS)
def test_a_report_with_absurd_values_harms_nothing(engine_fleet: RelayFleet, kind: str) -> None:
    fleet = add_both_kinds(engine_fleet)
    fields: list[object] = list(REPORT_FIELDS)
    for index, value in ABSURD_REPORTS[kind].items():
        fields[index] = value
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for _ in range(20):
            sock.sendto(cbor2.dumps(fields), ("127.0.0.1", peers_port(fleet, "host-0")))
            time.sleep(0.02)
    check_serving(fleet)
    assert not error_lines(fleet)


# Guards against a process that ends, or serves nobody, after datagrams of any content.
@pytest.mark.parametrize("seed", [1, 2])
def test_datagrams_of_any_content_harm_nothing(engine_fleet: RelayFleet, seed: int) -> None:
    fleet, rng = add_both_kinds(engine_fleet), random.Random(seed)
    address = ("127.0.0.1", peers_port(fleet, "host-0"))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for number in range(DATAGRAMS):
            sock.sendto(make_datagram(rng), address)
            if number % 50 == 0:
                time.sleep(0.03)
    check_serving(fleet)
    assert not error_lines(fleet)


MALFORMED_RECORDS: Final = (
    "",
    "null",
    "[]",
    "7",
    "{",
    "[" * 5000,
    '{"ip": 1e999, "port": 1e999}',
    '{"ip": "nowhere", "port": 99999, "data_centre": "fes-a"}',
    '{"service": 1e999, "address": "127.0.0.1:99999", "slots": 1e999, "seq": 1e999}',
    '{"service": "lm", "address": "x:1", "state": [], "born": 1e999, "phase": {}}',
    '{"version": 1e999, "routes": 5, "services": {}}',
    '{"version": 99, "routes": [[]], "services": [7], "limits": []}',
)


# Guards against a record in the store that stops all later ones, or the process.
@pytest.mark.parametrize(
    "topic", ["keyed.op", "keyed.servers", "keyed.hosts", "keyed.quarantines", "authority"]
)
def test_malformed_records_harm_nothing(engine_fleet: RelayFleet, topic: str) -> None:
    fleet = add_both_kinds(engine_fleet)
    keys = ("config", "host-0", "x")
    for number, text in enumerate(MALFORMED_RECORDS):
        fields = {"topic": topic, "key": keys[number % len(keys)], "value": text}
        fleet.store.post("/put", fields)
    time.sleep(1.0)
    check_serving(fleet)
    assert not error_lines(fleet)


class FailingHandler:
    """A connection's handler that does not expect what it gets."""

    def __init__(self) -> None:
        self.ends: list[str] = []

    def on_connected(self) -> None:
        """Does nothing."""

    def on_data_received(self, data: bytes) -> None:
        """Raises for some data."""
        if data.startswith(b"fail"):
            raise LookupError("x" * 5000)

    def on_disconnected(self, detail: str) -> None:
        """Records the end, and fails again."""
        self.ends.append(detail)
        raise ZeroDivisionError


# Guards against an unexpected error that leaves its connection open, or ends others.
def test_an_unexpected_error_ends_its_connection_only() -> None:
    loop = EventLoop()
    connections = TcpConnections(loop).register(loop)
    components: list[str] = []
    connections.errors.on_error = components.append
    handlers = [FailingHandler(), FailingHandler()]
    peers = []
    with socket.create_server(("127.0.0.1", 0)) as listener:
        for handler in handlers:
            peers.append(socket.create_connection(listener.getsockname(), timeout=2.0))
            connections.adopt(listener.accept()[0], Address("127.0.0.1", 1), handler)
    loop.start()
    try:
        peers[1].sendall(b"go on")
        peers[0].sendall(b"fail")
        assert peers[0].recv(1) == b""
        wait_until(lambda: bool(handlers[0].ends))
        assert not handlers[1].ends
    finally:
        loop.stop()
    assert components == ["FailingHandler", "FailingHandler"]

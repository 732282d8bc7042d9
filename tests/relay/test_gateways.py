"""Answers that reach a host without a path of its own by way of another host."""

import socket
import subprocess
import time
from pathlib import Path
from random import Random
from unittest.mock import Mock

import pytest
from attrs import evolve

from berylquay.decisions.backend_registry import BackendEntry, BackendRegistry, EntryState
from berylquay.decisions.fleet import Address
from berylquay.decisions.server_instance import ServerInstance
from berylquay.decisions.server_paths import ServerPaths
from berylquay.decisions.shutdown_schedule import MIN_SHUTDOWN_S
from berylquay.net.event_loop import EventLoop
from berylquay.net.tcp_connections import Connection, ConnectionHandler, TcpConnections
from berylquay.peers.security_layer import PlaintextLayer
from berylquay.peers.websocket import PeerWebSocket
from berylquay.relay.gateway_server import GatewayServer, ServedTunnel
from berylquay.relay.path_monitor import PathMonitor
from berylquay.relay.tunnel_messages import (
    END,
    GATEWAY_REFUSED,
    MAX_DATA_BYTES,
    OPENED,
    PAUSE,
    SERVER_REFUSED,
    decode_message,
    decode_open,
    encode_data,
    encode_event,
    encode_open,
)
from tests.relay.test_partitioned_hosts import Partition
from tests.relay.test_stream_versions import OpenStream
from tests.support.relay_fleet import PATHS, RelayFleet, make_configuration, wait_until

EVENTS = 20
# The host that is cut off, and the one that it uses as its gateway.
CUT, GATEWAY = 0, 1


def start_cut_host(fleet: RelayFleet, directory: Path) -> None:
    """Starts two hosts, and cuts the first one off from all servers."""
    fleet.put_configuration(make_configuration())
    for name in ("app-0", "app-1"):
        fleet.add_backend(name, "app")
    fleet.add_backend("decode-0", "lm", "decode", "--events", str(EVENTS), "--interval-ms", "40")
    partition = Partition.make(directory / "partition.json")
    partition.ports = [process.port for process in fleet.backends.values()]
    partition.set_mode("")
    fleet.add_host("host-0", partition_file=partition.file)
    fleet.add_host("host-1")
    partition.set_mode("refuse")
    numbers = iter(range(1000))

    def is_served_again() -> bool:
        call_id = f"first-{next(numbers)}"
        answer = fleet.send_request(PATHS["once"] + call_id, call_id, call_id.encode(), host=CUT)
        return has_line(fleet, CUT, "paths to servers lost") and answer.status == 200

    wait_until(is_served_again)


def has_line(fleet: RelayFleet, host: int, message: str) -> bool:
    return any(line["message"] == message for line in fleet.log_lines(host))


def is_complete(received: bytes) -> bool:
    return received.endswith(b"0\r\n\r\n")


# Guards against an answer that ends early with its gateway, or its server, and looks complete.
# Without length and chunks, a server lost between two events looks like one that is done.
@pytest.mark.parametrize(
    ("framing", "lost"),
    [
        ("chunked", "gateway"),
        ("chunked", "server"),
        ("chunked", "nothing"),
        ("unframed", "gateway"),
        ("unframed", "server"),
        ("unframed", "nothing"),
    ],
)
def test_an_answer_is_complete_only_if_the_server_ended_it(
    fleet: RelayFleet, tmp_path: Path, framing: str, lost: str
) -> None:
    start_cut_host(fleet, tmp_path)
    engine = fleet.backends["decode-0"]
    engine.post("/faults", {"unframed": True} if framing == "unframed" else {})
    stream = OpenStream.begin(fleet, "stream", CUT)
    if lost == "gateway":
        fleet.hosts[GATEWAY].kill()
    elif lost == "server":
        engine.kill()
    newest = stream.read_to_end() if lost != "nothing" else read_to_last_chunk(stream)
    assert is_complete(stream.received) is (lost == "nothing")
    assert (newest == EVENTS) is (lost == "nothing")


def read_to_last_chunk(stream: OpenStream) -> int:
    """Reads a complete answer; its connection stays open."""
    stream.sock.settimeout(5.0)
    while not is_complete(stream.received):
        stream.received += stream.sock.recv(65536)
    return stream.received.count(b"\nid: ")


def peers_port(fleet: RelayFleet, host: str) -> int:
    settings = (fleet.processes.directory / f"{host}.ini").read_text(encoding="utf-8")
    return int(settings.partition("peers = 127.0.0.1:")[2].split()[0])


def open_tunnel(port: int, server: ServerInstance) -> tuple[socket.socket, PeerWebSocket, object]:
    """Opens a tunnel as another host does; returns it and the gateway's first message."""
    sock = socket.create_connection(("127.0.0.1", port), timeout=3.0)
    websocket = PeerWebSocket(PlaintextLayer(), server_side=False)
    sock.sendall(websocket.take_outgoing())
    messages: list[bytes] = []
    while not websocket.is_open:
        messages += websocket.receive(sock.recv(4096))
    websocket.send(encode_open(server))
    sock.sendall(websocket.take_outgoing())
    while not messages:
        messages += websocket.receive(sock.recv(4096))
    return sock, websocket, decode_message(messages[0])


# Guards against a planned stop of a gateway that breaks off answers of the hosts that use it.
def test_a_gateway_that_stops_finishes_its_tunnels(fleet: RelayFleet) -> None:
    fleet.put_configuration(make_configuration())
    fleet.add_backend("app-0", "app")
    host = fleet.add_host()
    port, server = peers_port(fleet, "host-0"), ServerInstance("app-0", 1000)
    sock, _, message = open_tunnel(port, server)
    assert message == (OPENED, "")
    host.popen.terminate()
    wait_until(lambda: has_line(fleet, CUT, "stop"))
    newer_sock, _, message = open_tunnel(port, server)
    assert message == (GATEWAY_REFUSED, "the gateway is stopping")
    newer_sock.close()
    with pytest.raises(subprocess.TimeoutExpired):
        host.popen.wait(timeout=MIN_SHUTDOWN_S + 1.0)
    sock.close()
    assert host.popen.wait(timeout=1.5) == 0


class RecordingConnections(TcpConnections):
    """Connections that exist in name only; what is sent waits to be read."""

    def __init__(self) -> None:
        super().__init__(EventLoop())

    def open(self, address: Address, connection_handler: ConnectionHandler) -> Connection:
        return Connection(address, connection_handler, socket.socket())

    def send(self, connection: Connection, data: bytes) -> None:
        connection.unsent.append(data)

    def half_close(self, connection: Connection) -> None:
        connection.half_closing = True

    def close(self, connection: Connection) -> None:
        connection.closed = True


# Guards against a gateway that drops the rest of an answer when the server has closed.
def test_a_slow_host_gets_all_that_the_server_sent() -> None:
    connections, registry = RecordingConnections(), BackendRegistry()
    address = Address("127.0.0.1", 80)
    registry.on_entry(BackendEntry("app-0", "app", address, "a", 4, EntryState.READY))
    monitor = Mock(PathMonitor)
    monitor.paths = ServerPaths()
    gateway = GatewayServer(connections, registry, monitor, Random(1))
    tunnel = gateway.make_tunnel()
    assert tunnel is not None
    tunnel.connection = connections.open(address, tunnel)
    client = PeerWebSocket(PlaintextLayer(), server_side=False)
    tunnel.on_data_received(client.take_outgoing())
    client.receive(b"".join(tunnel.connection.unsent))
    client.send(encode_open(ServerInstance("app-0", 0)))
    tunnel.on_data_received(client.take_outgoing())
    server = tunnel._server
    assert server is not None
    server.established = True
    tunnel.on_server_connected()
    tunnel.connection.unsent.clear()
    tunnel.on_server_data(b"answer")
    server.peer_closed_cleanly = True
    tunnel.on_server_disconnected("closed by the other end")
    # The host reads long after the time that a tunnel may take to open.
    gateway.on_tick(time.monotonic() + 60.0)
    assert not tunnel.connection.closed
    messages = client.receive(b"".join(tunnel.connection.unsent))
    assert [decode_message(message) for message in messages] == [b"answer", (END, "")]
    tunnel.on_disconnected("closed by the other end")
    assert gateway.open_tunnels == 0


def open_named_tunnel(
    registry: BackendRegistry, instance: ServerInstance
) -> tuple[ServedTunnel, PeerWebSocket]:
    """Asks a gateway without sockets for a tunnel to an instance."""
    connections, monitor = RecordingConnections(), Mock(PathMonitor)
    monitor.paths = ServerPaths()
    tunnel = GatewayServer(connections, registry, monitor, Random(1)).make_tunnel()
    assert tunnel is not None
    tunnel.connection = connections.open(Address("127.0.0.1", 80), tunnel)
    client = PeerWebSocket(PlaintextLayer(), server_side=False)
    tunnel.on_data_received(client.take_outgoing())
    client.receive(b"".join(tunnel.connection.unsent))
    tunnel.connection.unsent.clear()
    client.send(encode_open(instance))
    tunnel.on_data_received(client.take_outgoing())
    return tunnel, client


# Guards against a request that reaches another start than the host has asked for.
@pytest.mark.parametrize("started_unix_ms", [1000, 2000, 3000])
def test_a_tunnel_leads_to_the_start_that_is_named(started_unix_ms: int) -> None:
    registry = BackendRegistry()
    address = Address("127.0.0.1", 80)
    registry.on_entry(
        BackendEntry("app-0", "app", address, "a", 4, EntryState.READY, started_unix_ms=2000)
    )
    tunnel, client = open_named_tunnel(registry, ServerInstance("app-0", started_unix_ms))
    assert (tunnel._server is not None) is (started_unix_ms == 2000)
    messages = client.receive(b"".join(tunnel.connection.unsent))
    refusal = [] if started_unix_ms == 2000 else [(SERVER_REFUSED, "unknown server")]
    assert [decode_message(message) for message in messages] == refusal


# Guards against requests of the gateway to a start that has asked for a pause in a tunnel before
# its entry came.
@pytest.mark.parametrize("is_listed_first", [False, True])
def test_a_pause_in_a_tunnel_holds_when_the_entry_follows(*, is_listed_first: bool) -> None:
    registry, now_ms = BackendRegistry(), time.time_ns() // 10**6
    before = BackendEntry(
        "app-0",
        "app",
        Address("127.0.0.1", 80),
        "a",
        4,
        EntryState.READY,
        started_unix_ms=now_ms - 600_000,
    )
    registry.on_entry(before)
    tunnel, client = open_named_tunnel(registry, before.instance)
    restarted = evolve(before, started_unix_ms=now_ms - 3000)
    if is_listed_first:
        registry.on_entry(restarted)
    client.send(encode_event(PAUSE, "60"))
    tunnel.on_data_received(client.take_outgoing())
    if not is_listed_first:
        registry.on_entry(restarted)
    assert registry.ready_in_pool("app") == []


# Guards against work that goes on at an engine after the caller of a tunnelled request has left.
def test_the_engine_stops_when_the_caller_leaves(fleet: RelayFleet, tmp_path: Path) -> None:
    start_cut_host(fleet, tmp_path)
    OpenStream.begin(fleet, "stream", CUT).sock.close()
    wait_until(lambda: fleet.get_witness("decode-0", "cancelled") == ["stream"], 0.6)


# Guards against requests of the gateway to a server that has asked for a pause in a tunnel.
def test_a_pause_stated_in_a_tunnel_binds_the_gateway(fleet: RelayFleet, tmp_path: Path) -> None:
    start_cut_host(fleet, tmp_path)
    for name in ("app-0", "app-1"):
        fleet.backends[name].post("/faults", {"pause_s": 2})
    deadline_s = time.monotonic() + 1.0
    while time.monotonic() < deadline_s and not has_line(fleet, CUT, "server paused"):
        fleet.send_request(PATHS["many"], f"id-{time.monotonic()}", host=CUT)
    paused = {
        str(line["backend"]) for line in fleet.log_lines(CUT) if line["message"] == "server paused"
    }
    assert paused
    for name in ("app-0", "app-1"):
        fleet.backends[name].post("/faults", {})
    time.sleep(0.1)
    before = len(fleet.runs(*paused))
    for number in range(20):
        fleet.send_request(PATHS["many"], f"direct-{number}", str(number).encode(), host=GATEWAY)
    assert len(fleet.runs(*paused)) == before


# Guards against a host that fails, or keeps a connection open, when a tunnel gets other bytes.
@pytest.mark.parametrize(
    "data", [b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 200, b"", b"\x00" * 70_000, b"{}"]
)
def test_bytes_that_open_no_tunnel_are_dropped(fleet: RelayFleet, data: bytes) -> None:
    fleet.put_configuration(make_configuration())
    fleet.add_backend("app-0", "app")
    fleet.add_host()
    port = peers_port(fleet, "host-0")
    with socket.create_connection(("127.0.0.1", port), timeout=3.0) as sock:
        sock.sendall(data)
        try:
            while sock.recv(4096):
                pass
        except ConnectionResetError:
            # Closed with bytes that were not read.
            sock.close()
    assert fleet.send_request(PATHS["once"], "id-1").status == 200
    # What breaks the protocol is logged; the rest ends with its connection.
    if data.startswith(b"GET") or data.startswith(b"\xff"):
        wait_until(lambda: has_line(fleet, 0, "tunnel abandoned"))


def test_messages_of_a_tunnel() -> None:
    instance = ServerInstance("i-1", 7)
    assert decode_open(encode_open(instance)) == instance
    assert decode_message(encode_event(OPENED)) == (OPENED, "")
    data = bytes(range(256)) * (MAX_DATA_BYTES // 100)
    parts = [decode_message(message) for message in encode_data(data)]
    assert b"".join(part for part in parts if isinstance(part, bytes)) == data
    for malformed in (b"", b"\xff", b"\x81", encode_event("other", "x")[:-1], b"\x05"):
        assert decode_message(malformed) is None
        assert decode_open(malformed) is None
    assert decode_open(encode_event(OPENED)) is None

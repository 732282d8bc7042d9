"""Measures links between entry hosts: bytes, processor time and memory per link.

Run as `python -m bench.links LINKS SECONDS`: one host connects to that many simulated
peers, which run in a second process; only heartbeats are exchanged.
"""

import argparse
import contextlib
import json
import multiprocessing
import selectors
import socket
import time
from multiprocessing.connection import Connection
from pathlib import Path
from random import Random
from typing import Final

from attrs import define
from circuits import BaseComponent, handler
from circuits.core.events import started
from circuits.core.pollers import EPoll

from berylquay.component_messages import MembershipRead
from berylquay.decisions.fleet import Address, EntryHost, MembershipView
from berylquay.decisions.peering import DialScheduler, PeeringLimits
from berylquay.net.message_bus import BUS, post
from berylquay.net.process_messages import Tick
from berylquay.net.tcp_connections import TcpConnections
from berylquay.net.ticker import Ticker
from berylquay.peers.codec import encode_payload
from berylquay.peers.payloads import Heartbeat, Hello
from berylquay.peers.peer_links import HostIdentity, PeerLinks
from berylquay.peers.security_layer import PlaintextLayer, make_plaintext_layer
from berylquay.peers.websocket import PeerWebSocket
from berylquay.settings.host_options import PeerOptions

STARTUP_WAIT_S: Final = 5.0
SELECT_TIMEOUT_S: Final = 0.05
RECEIVE_BYTES: Final = 65536
MEASURED_HOST: Final = "a"


class ResourceMeter(BaseComponent):
    """Measures processor time and memory of this process between two ticks."""

    channel = BUS

    def __init__(self, links: PeerLinks, hosts: tuple[EntryHost, ...], seconds: float) -> None:
        super().__init__()
        self._links = links
        self._hosts = hosts
        self._start_s = time.monotonic() + STARTUP_WAIT_S
        self._end_s = self._start_s + seconds
        self._start_cpu_s: float | None = None
        self._start_resident_kb = resident_kb()
        self.result: dict[str, float] = {}

    @handler("started", channel="*")
    def _on_started(self, event: started, *_: object) -> None:
        post(self, MembershipRead(MembershipView(1, (), self._hosts)))

    @handler("Tick")
    def _on_tick(self, message: Tick) -> None:
        if self._start_cpu_s is None and message.now_s >= self._start_s:
            self._start_cpu_s = time.process_time()
        elif self._start_cpu_s is not None and message.now_s >= self._end_s:
            cpu_s = time.process_time() - self._start_cpu_s
            self.result = {
                "links": float(len(self._links.linked_hosts)),
                "core_percent": 100.0 * cpu_s / (message.now_s - self._start_s),
                "resident_kb_more": resident_kb() - self._start_resident_kb,
            }
            self.root.stop()


@define(eq=False)
class PeerConnection:
    """The simulated peer's side of one link."""

    name: str
    sock: socket.socket
    websocket: PeerWebSocket
    hello_sent: bool = False


class PeerSimulator:
    """Simulates the peers of all links, in a separate process."""

    def __init__(self, ports: list[int]) -> None:
        self._selector = selectors.DefaultSelector()
        for number, port in enumerate(ports):
            listener = socket.create_server(("127.0.0.1", port), backlog=16)
            self._selector.register(listener, selectors.EVENT_READ, f"b-{number}")
        self._connections: list[PeerConnection] = []
        self.received_bytes = 0
        self.sent_bytes = 0

    def serve_ready(self) -> None:
        """Accepts new connections and reads those that are ready."""
        for key, _ in self._selector.select(SELECT_TIMEOUT_S):
            if isinstance(key.data, PeerConnection):
                self._read(key.data)
            elif isinstance(key.fileobj, socket.socket):
                sock, _ = key.fileobj.accept()
                connection = PeerConnection(
                    str(key.data), sock, PeerWebSocket(PlaintextLayer(), server_side=True)
                )
                self._connections.append(connection)
                self._selector.register(sock, selectors.EVENT_READ, connection)

    def send_heartbeats(self) -> None:
        """Sends a heartbeat on every link whose Hello was sent."""
        for connection in self._connections:
            if connection.hello_sent:
                connection.websocket.send(
                    encode_payload(Heartbeat(f"{connection.name}-12345678", 1000))
                )
                self._write(connection)

    def _read(self, connection: PeerConnection) -> None:
        data = connection.sock.recv(RECEIVE_BYTES)
        if not data:
            self._selector.unregister(connection.sock)
            self._connections.remove(connection)
            return
        self.received_bytes += len(data)
        connection.websocket.receive(data)
        if connection.websocket.is_open and not connection.hello_sent:
            connection.hello_sent = True
            connection.websocket.send(
                encode_payload(Hello(connection.name, f"{connection.name}-12345678"))
            )
        self._write(connection)

    def _write(self, connection: PeerConnection) -> None:
        data = connection.websocket.take_outgoing()
        with contextlib.suppress(OSError):
            connection.sock.sendall(data)
        self.sent_bytes += len(data)


def run_peers(ports: list[int], pipe: Connection) -> None:
    """Runs the simulated peers; reports the time and the bytes sent and received when asked."""
    peers = PeerSimulator(ports)
    pipe.send(None)
    next_heartbeat_s = time.monotonic()
    while True:
        peers.serve_ready()
        if time.monotonic() >= next_heartbeat_s:
            next_heartbeat_s += PeeringLimits().heartbeat_interval_s
            peers.send_heartbeats()
        if pipe.poll():
            pipe.recv()
            pipe.send((time.monotonic(), peers.sent_bytes, peers.received_bytes))


def measure(link_count: int, seconds: float) -> dict[str, float]:
    """Returns the costs of a host with `link_count` links."""
    ports = free_ports(link_count + 1)
    parent_pipe, child_pipe = multiprocessing.Pipe()
    process = multiprocessing.Process(target=run_peers, args=(ports[1:], child_pipe))
    process.start()
    parent_pipe.recv()
    try:
        result = run_measured_host(ports, seconds)
        parent_pipe.send(None)
        _, sent_bytes, received_bytes = parent_pipe.recv()
    finally:
        process.terminate()
        process.join()
    total_s = seconds + STARTUP_WAIT_S
    result["payload_bytes_per_link_per_s"] = (
        (sent_bytes + received_bytes) / total_s / max(link_count, 1)
    )
    return result


def run_measured_host(ports: list[int], seconds: float) -> dict[str, float]:
    """Runs the measured host for STARTUP_WAIT_S and `seconds`; returns its costs."""
    loop = EPoll()
    Ticker().register(loop)
    outbound = TcpConnections(loop).register(loop)
    scheduler = DialScheduler(PeeringLimits(max_connections=4096), Random(1))
    options = PeerOptions(Address("127.0.0.1", ports[0]))
    identity = HostIdentity(MEASURED_HOST, "fes-1", f"{MEASURED_HOST}-12345678")
    links = PeerLinks(outbound, options, identity, make_plaintext_layer, scheduler).register(loop)
    hosts = tuple(
        EntryHost(f"b-{number}", Address("127.0.0.1", port), "fes", "fes-1")
        for number, port in enumerate(ports[1:])
    )
    meter = ResourceMeter(links, hosts, seconds).register(loop)
    loop.run()
    return meter.result


def free_ports(count: int) -> list[int]:
    """Returns ports that were free a moment ago."""
    socks = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [int(sock.getsockname()[1]) for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def resident_kb() -> float:
    """Returns this process's resident memory in kB."""
    status = Path("/proc/self/status").read_text(encoding="utf-8")
    line = next(line for line in status.splitlines() if line.startswith("VmRSS:"))
    return float(line.split()[1])


def main() -> None:
    """Measures and prints one line of JSON."""
    parser = argparse.ArgumentParser(description="Measures links between entry hosts.")
    parser.add_argument("links", type=int)
    parser.add_argument("seconds", type=float)
    arguments = parser.parse_args()
    print(json.dumps(measure(arguments.links, arguments.seconds)))  # noqa: T201


if __name__ == "__main__":
    main()

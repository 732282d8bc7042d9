"""Measures links between entry hosts: bytes, processor time and memory per link.

Run as `python -m bench.links LINKS SECONDS`: one host dials that many others, whose ends run in a
second process; only heartbeats pass.
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

from berylquay.component_messages import MembershipRead, Tick
from berylquay.decisions.fleet import Address, EntryHost, MembershipView
from berylquay.decisions.peering import DialScheduler, PeeringLimits
from berylquay.net.message_bus import BUS, post
from berylquay.net.tcp_connections import TcpConnections
from berylquay.net.ticker import Ticker
from berylquay.peers.codec import encode_payload
from berylquay.peers.payloads import Heartbeat, Hello
from berylquay.peers.peer_links import HostIdentity, PeerLinks
from berylquay.peers.security_layer import PlaintextLayer, make_plaintext_layer
from berylquay.peers.websocket import PeerWebSocket
from berylquay.settings.host_options import PeerOptions

SETTLE_S: Final = 5.0
POLL_S: Final = 0.05
RECEIVE_BYTES: Final = 65536
MEASURED: Final = "a"


class Probe(BaseComponent):
    """Measures this process from one tick to a later one."""

    channel = BUS

    def __init__(self, links: PeerLinks, hosts: tuple[EntryHost, ...], seconds: float) -> None:
        super().__init__()
        self._links = links
        self._hosts = hosts
        self._start_s = time.monotonic() + SETTLE_S
        self._end_s = self._start_s + seconds
        self._cpu_s: float | None = None
        self._resident_kb = resident_kb()
        self.result: dict[str, float] = {}

    @handler("started", channel="*")
    def _on_started(self, event: started, *_: object) -> None:
        post(self, MembershipRead(MembershipView(1, (), self._hosts)))

    @handler("Tick")
    def _on_tick(self, message: Tick) -> None:
        if self._cpu_s is None and message.now_s >= self._start_s:
            self._cpu_s = time.process_time()
        elif self._cpu_s is not None and message.now_s >= self._end_s:
            cpu_s = time.process_time() - self._cpu_s
            self.result = {
                "links": float(len(self._links.linked_hosts)),
                "core_percent": 100.0 * cpu_s / (message.now_s - self._start_s),
                "resident_kb_more": resident_kb() - self._resident_kb,
            }
            self.root.stop()


@define(eq=False)
class OtherEnd:
    """The other end of one link."""

    name: str
    sock: socket.socket
    wire: PeerWebSocket
    greeted: bool = False


class Others:
    """The other ends of all links, in a process of their own."""

    def __init__(self, ports: list[int]) -> None:
        self._selector = selectors.DefaultSelector()
        for number, port in enumerate(ports):
            listener = socket.create_server(("127.0.0.1", port), backlog=16)
            self._selector.register(listener, selectors.EVENT_READ, f"b-{number}")
        self._ends: list[OtherEnd] = []
        self.received_bytes = 0
        self.sent_bytes = 0

    def turn(self) -> None:
        """Serves what waits."""
        for key, _ in self._selector.select(POLL_S):
            if isinstance(key.data, OtherEnd):
                self._read(key.data)
            elif isinstance(key.fileobj, socket.socket):
                sock, _ = key.fileobj.accept()
                end = OtherEnd(
                    str(key.data), sock, PeerWebSocket(PlaintextLayer(), server_side=True)
                )
                self._ends.append(end)
                self._selector.register(sock, selectors.EVENT_READ, end)

    def beat(self) -> None:
        """Sends a heartbeat on every link."""
        for end in self._ends:
            if end.greeted:
                end.wire.send(encode_payload(Heartbeat(f"{end.name}-12345678", 1000)))
                self._write(end)

    def _read(self, end: OtherEnd) -> None:
        data = end.sock.recv(RECEIVE_BYTES)
        if not data:
            self._selector.unregister(end.sock)
            self._ends.remove(end)
            return
        self.received_bytes += len(data)
        end.wire.receive(data)
        if end.wire.is_open and not end.greeted:
            end.greeted = True
            end.wire.send(encode_payload(Hello(end.name, f"{end.name}-12345678")))
        self._write(end)

    def _write(self, end: OtherEnd) -> None:
        data = end.wire.take_outgoing()
        with contextlib.suppress(OSError):
            end.sock.sendall(data)
        self.sent_bytes += len(data)


def run_others(ports: list[int], pipe: Connection) -> None:
    """Serves the other ends; sends the bytes seen when it is asked."""
    others = Others(ports)
    pipe.send(None)
    next_s = time.monotonic()
    while True:
        others.turn()
        if time.monotonic() >= next_s:
            next_s += PeeringLimits().heartbeat_interval_s
            others.beat()
        if pipe.poll():
            pipe.recv()
            pipe.send((time.monotonic(), others.sent_bytes, others.received_bytes))


def measure(count: int, seconds: float) -> dict[str, float]:
    """Returns the costs of a host with that many links."""
    ports = free_ports(count + 1)
    here, there = multiprocessing.Pipe()
    process = multiprocessing.Process(target=run_others, args=(ports[1:], there))
    process.start()
    here.recv()
    try:
        result = run_measured(ports, seconds)
        here.send(None)
        _, sent_bytes, received_bytes = here.recv()
    finally:
        process.terminate()
        process.join()
    whole_s = seconds + SETTLE_S
    result["payload_bytes_per_link_per_s"] = (sent_bytes + received_bytes) / whole_s / max(count, 1)
    return result


def run_measured(ports: list[int], seconds: float) -> dict[str, float]:
    """Runs the measured host until its time is up."""
    loop = EPoll()
    Ticker().register(loop)
    outbound = TcpConnections(loop).register(loop)
    plan = DialScheduler(PeeringLimits(max_connections=4096), Random(1))
    options = PeerOptions(Address("127.0.0.1", ports[0]))
    identity = HostIdentity(MEASURED, "fes-1", f"{MEASURED}-12345678")
    links = PeerLinks(outbound, options, identity, make_plaintext_layer, plan).register(loop)
    hosts = tuple(
        EntryHost(f"b-{number}", Address("127.0.0.1", port), "fes", "fes-1")
        for number, port in enumerate(ports[1:])
    )
    probe = Probe(links, hosts, seconds).register(loop)
    loop.run()
    return probe.result


def free_ports(count: int) -> list[int]:
    """Returns ports that nothing listens on now."""
    socks = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [int(sock.getsockname()[1]) for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def resident_kb() -> float:
    """Returns this process's resident memory."""
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

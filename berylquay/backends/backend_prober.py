"""Probes backend servers on new connections, to find out whether they still answer."""

from typing import Final

from circuits import BaseComponent, handler

from berylquay.backends.answer_end_check import parse_incarnation
from berylquay.component_messages import MembershipRead, ProbeEnded, ProbeRequested
from berylquay.decisions.fleet import Address
from berylquay.errors import TransportError
from berylquay.net.body_framing import BodyFraming
from berylquay.net.http_client import HttpExchange, HttpRequest, HttpResponseHead
from berylquay.net.message_bus import BUS, post
from berylquay.net.process_messages import Tick
from berylquay.net.tcp_connections import TcpConnections

# Time within which a probe must be answered.
PROBE_TIMEOUT_S: Final = 1.0
PROBE_PATH: Final = "/v1/state"
# Limit on the buffered body of a probe's response; nothing is added once it is reached.
MAX_PROBE_BODY_BYTES: Final = 65536


class BackendProber(BaseComponent):
    """Owns the probes in flight, at most one per server; each ends with one `ProbeEnded`."""

    channel = BUS

    # Opens the connections.
    _connections: TcpConnections
    # Address by backend server.
    _addresses: dict[str, Address]
    # Probe in flight by backend server.
    _probes: dict[str, "_Probe"]
    # Monotonic time of the last tick.
    _now_s: float

    def __init__(self, connections: TcpConnections) -> None:
        super().__init__()
        self._connections = connections
        self._addresses = {}
        self._probes = {}
        self._now_s = 0.0

    @handler("MembershipRead")
    def _on_membership(self, message: MembershipRead) -> None:
        self._addresses = {server.name: server.address for server in message.view.backends}

    @handler("ProbeRequested")
    def _on_requested(self, message: ProbeRequested) -> None:
        address = self._addresses.get(message.backend)
        if address is None:
            post(self, ProbeEnded(message.backend, alive=False))
        elif message.backend not in self._probes:
            deadline_s = self._now_s + PROBE_TIMEOUT_S
            self._probes[message.backend] = _Probe(self, message.backend, address, deadline_s)

    @handler("Tick")
    def _on_tick(self, message: Tick) -> None:
        self._now_s = message.now_s
        for probe in list(self._probes.values()):
            if message.now_s >= probe.deadline_s:
                probe.exchange.cancel()
                self.on_probe_ended(ProbeEnded(probe.backend, alive=False))

    def start_exchange(self, address: Address, probe: "_Probe") -> HttpExchange:
        """Sends the request of a probe on a new connection."""
        return HttpExchange(self._connections, address, HttpRequest("GET", PROBE_PATH), probe)

    def on_probe_ended(self, message: ProbeEnded) -> None:
        """Removes a probe and posts its outcome."""
        del self._probes[message.backend]
        post(self, message)


class _Probe:
    """One probe; any complete HTTP response, of any status, shows that the server is alive.

    A response that ends with its connection and states no incarnation may have ended with the
    server; the head of a second one, asked for afterwards, shows that the server is alive.
    """

    def __init__(
        self, prober: BackendProber, backend: str, address: Address, deadline_s: float
    ) -> None:
        self.backend = backend
        self.deadline_s = deadline_s
        self._prober = prober
        self._address = address
        self._body = bytearray()
        self._is_unframed = False
        self._is_repeated = False
        self.exchange = prober.start_exchange(address, self)

    def on_response_head(self, head: HttpResponseHead) -> None:
        """Waits for the body, which may contain the incarnation."""
        self._is_unframed = head.framing is BodyFraming.CONNECTION_END

    def on_response_data(self, data: bytes) -> None:
        """Buffers the body until the limit is reached."""
        if len(self._body) < MAX_PROBE_BODY_BYTES:
            self._body += data

    def on_response_complete(self) -> None:
        """Reports the server as alive; the incarnation is empty if the body contains none."""
        incarnation = parse_incarnation(bytes(self._body))
        if self._is_unframed and not incarnation and not self._is_repeated:
            self._is_repeated = True
            self._body.clear()
            self.exchange = self._prober.start_exchange(self._address, self)
            return
        self._prober.on_probe_ended(ProbeEnded(self.backend, alive=True, incarnation=incarnation))

    def on_response_failed(self, error: TransportError) -> None:
        """Reports the server as not alive."""
        self._prober.on_probe_ended(ProbeEnded(self.backend, alive=False))

"""The membership list: polls the platform and posts each newer reading."""

import json
from typing import Final

from circuits import BaseComponent, handler

from berylquay.decisions.fleet import (
    Address,
    BackendKind,
    BackendServer,
    EntryHost,
    Liveness,
    MembershipView,
)
from berylquay.errors import TransportError
from berylquay.messages import MembershipRead, Tick
from berylquay.net.bus import BUS, post
from berylquay.net.http_client import HttpExchange, HttpHead, HttpRequest
from berylquay.net.outbound import OutboundConnections

POLL_INTERVAL_S: Final = 0.5
POLL_TIMEOUT_S: Final = 2.0
STATUS_OK: Final = 200


class MembershipPoller(BaseComponent):
    """Reads the membership list at a steady interval."""

    channel = BUS

    # Opens the connections.
    _outbound: OutboundConnections
    # Where the membership list is served.
    _address: Address
    # Poll that is under way, if any.
    _poll: "_Poll | None"
    # Monotonic time of the next poll.
    _next_s: float
    # Version of the newest list that was posted.
    _version: int

    def __init__(self, outbound: OutboundConnections, address: Address) -> None:
        super().__init__()
        self._outbound = outbound
        self._address = address
        self._poll = None
        self._next_s = 0.0
        self._version = -1

    @handler("Tick")
    def _on_tick(self, message: Tick) -> None:
        if self._poll is not None and message.now_s >= self._next_s + POLL_TIMEOUT_S:
            self._poll.exchange.cancel()
            self._poll = None
        if self._poll is None and message.now_s >= self._next_s:
            self._next_s = message.now_s + POLL_INTERVAL_S
            self._poll = _Poll(self, self._outbound, self._address)

    def on_poll_ended(self, body: bytes | None) -> None:
        """Posts the list if it is newer than the last; None means that the poll failed."""
        self._poll = None
        if body is None:
            return
        view = parse_membership(body)
        if view.version > self._version:
            self._version = view.version
            post(self, MembershipRead(view))


class _Poll:
    """One reading of the list."""

    def __init__(
        self, owner: MembershipPoller, outbound: OutboundConnections, address: Address
    ) -> None:
        self._owner = owner
        self._body: list[bytes] = []
        self._status = 0
        self.exchange = HttpExchange(outbound, address, HttpRequest("GET", "/v1/members"), self)

    def on_head(self, head: HttpHead) -> None:
        """Keeps the status."""
        self._status = head.status

    def on_body(self, data: bytes) -> None:
        """Collects the body."""
        self._body.append(data)

    def on_end(self) -> None:
        """Hands the whole list over."""
        self._owner.on_poll_ended(b"".join(self._body) if self._status == STATUS_OK else None)

    def on_error(self, error: TransportError) -> None:
        """Tells that there is no new list."""
        self._owner.on_poll_ended(None)


def parse_membership(body: bytes) -> MembershipView:
    """Returns the membership list in a body of the platform's published JSON shape."""
    value = json.loads(body)
    backends = tuple(_parse_backend(item) for item in value["backends"])
    hosts = tuple(_parse_host(item) for item in value["hosts"])
    return MembershipView(int(value["version"]), backends, hosts)


def _parse_backend(item: dict[str, str]) -> BackendServer:
    return BackendServer(
        name=item["name"],
        kind=BackendKind(item["kind"]),
        address=parse_address(item["address"]),
        region=item["region"],
        data_centre=item["data_centre"],
        pool=item["pool"],
        liveness=Liveness(item["state"]),
        checks_fencing=bool(item.get("checks_fencing", True)),
    )


def _parse_host(item: dict[str, str]) -> EntryHost:
    return EntryHost(
        name=item["name"],
        address=parse_address(item["address"]),
        region=item["region"],
        data_centre=item["data_centre"],
        liveness=Liveness(item["state"]),
    )


def parse_address(text: str) -> Address:
    """Returns the address in a text of the form ip:port."""
    ip, port = text.rsplit(":", 1)
    return Address(ip, int(port))

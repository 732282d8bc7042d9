"""The membership poller: reads the platform's membership list and posts each newer version."""

from collections.abc import Mapping
from typing import Any, Final

import logbook
from circuits import BaseComponent, handler
from returns.result import Failure

from berylquay.component_messages import MembershipRead
from berylquay.decisions.fleet import (
    Address,
    BackendKind,
    BackendServer,
    EntryHost,
    Liveness,
    MembershipView,
)
from berylquay.net.http_client import STATUS_OK, HttpRequest
from berylquay.net.message_bus import BUS, post
from berylquay.net.process_messages import Tick
from berylquay.net.tcp_connections import TcpConnections
from berylquay.standalone.json_exchange import ExchangeOutcome, JsonExchange

POLL_INTERVAL_S: Final = 0.5
POLL_TIMEOUT_S: Final = 2.0
_log = logbook.Logger("membership")


class MembershipPoller(BaseComponent):
    """Polls the membership list at a fixed interval.

    The requests are conditional (If-None-Match), so that the platform sends the list only if it has
    changed.
    """

    channel = BUS

    _connections: TcpConnections
    # Where the membership list is served.
    _address: Address
    # Poll in flight, if any.
    _pending_poll: JsonExchange | None
    # Monotonic time of the next poll.
    _next_poll_s: float
    # Version of the newest list that was posted; -1 before the first.
    _posted_version: int
    # Entity tag of the last list received, for If-None-Match; empty before the first.
    _entity_tag: str

    def __init__(self, connections: TcpConnections, address: Address) -> None:
        super().__init__()
        self._connections = connections
        self._address = address
        self._pending_poll = None
        self._next_poll_s = 0.0
        self._posted_version = -1
        self._entity_tag = ""

    @handler("Tick")
    def _on_tick(self, message: Tick) -> None:
        if self._pending_poll is not None:
            self._pending_poll.expire_if_overdue(message.now_s)
        if self._pending_poll is None and message.now_s >= self._next_poll_s:
            self._next_poll_s = message.now_s + POLL_INTERVAL_S
            self._start_poll(message.now_s + POLL_TIMEOUT_S)

    def _start_poll(self, deadline_s: float) -> None:
        headers = (("If-None-Match", self._entity_tag),) if self._entity_tag else ()
        request = HttpRequest("GET", "/v1/members", headers=headers)
        self._pending_poll = JsonExchange(
            self._connections, self._address, request, deadline_s, self._on_poll_outcome
        )

    def _on_poll_outcome(self, outcome: ExchangeOutcome) -> None:
        self._pending_poll = None
        if isinstance(outcome, Failure):
            return
        response = outcome.unwrap()
        if response.status != STATUS_OK:
            return
        try:
            view = parse_membership(response.body)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            _log.warning("malformed membership list", error=repr(error))
            return
        self._entity_tag = response.entity_tag
        if view.version > self._posted_version:
            self._posted_version = view.version
            post(self, MembershipRead(view))


def parse_membership(value: Mapping[str, Any]) -> MembershipView:
    """Returns the membership list decoded from the platform's published JSON format.

    Raises:
        ValueError, KeyError, TypeError or AttributeError: the value is malformed.
    """
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
    """Returns the address parsed from a text of the form ip:port.

    Raises:
        ValueError: there is no colon or no integer after the last one.
    """
    ip, port = text.rsplit(":", 1)
    return Address(ip, int(port))

"""The membership list: polls the platform and posts each newer reading."""

from collections.abc import Mapping
from typing import Any, Final

import logbook
from circuits import BaseComponent, handler
from returns.result import Failure

from berylquay.decisions.fleet import (
    Address,
    BackendKind,
    BackendServer,
    EntryHost,
    Liveness,
    MembershipView,
)
from berylquay.messages import MembershipRead, Tick
from berylquay.net.bus import BUS, post
from berylquay.net.connections import Connections
from berylquay.net.http_client import STATUS_OK, HttpRequest
from berylquay.standalone.json_exchange import JsonExchange, Outcome

POLL_INTERVAL_S: Final = 0.5
POLL_TIMEOUT_S: Final = 2.0
_log = logbook.Logger("membership")


class MembershipPoller(BaseComponent):
    """Reads the membership list at a steady interval; a list that has not changed is not sent."""

    channel = BUS

    # Opens the connections.
    _outbound: Connections
    # Where the membership list is served.
    _address: Address
    # Poll that is under way, if any.
    _poll: JsonExchange | None
    # Monotonic time of the next poll.
    _next_s: float
    # Version of the newest list that was posted.
    _version: int
    # Entity tag of the newest list, by which the platform sees that it has not changed.
    _tag: str

    def __init__(self, outbound: Connections, address: Address) -> None:
        super().__init__()
        self._outbound = outbound
        self._address = address
        self._poll = None
        self._next_s = 0.0
        self._version = -1
        self._tag = ""

    @handler("Tick")
    def _on_tick(self, message: Tick) -> None:
        if self._poll is not None:
            self._poll.expire(message.now_s)
        if self._poll is None and message.now_s >= self._next_s:
            self._next_s = message.now_s + POLL_INTERVAL_S
            self._start_poll(message.now_s + POLL_TIMEOUT_S)

    def _start_poll(self, deadline_s: float) -> None:
        headers = (("If-None-Match", self._tag),) if self._tag else ()
        request = HttpRequest("GET", "/v1/members", headers=headers)
        self._poll = JsonExchange(
            self._outbound, self._address, request, deadline_s, self._on_outcome
        )

    def _on_outcome(self, outcome: Outcome) -> None:
        self._poll = None
        if isinstance(outcome, Failure):
            return
        answer = outcome.unwrap()
        if answer.status != STATUS_OK:
            return
        try:
            view = parse_membership(answer.value)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            _log.warning("malformed membership list", error=repr(error))
            return
        self._tag = answer.entity_tag
        if view.version > self._version:
            self._version = view.version
            post(self, MembershipRead(view))


def parse_membership(value: Mapping[str, Any]) -> MembershipView:
    """Returns the membership list in a JSON value of the platform's published shape."""
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

"""Polls the load of a limited number of the data centre's engines at a limited rate."""

import time
from functools import partial
from typing import Final

from circuits import BaseComponent, handler
from returns.result import Failure

from berylquay.component_messages import LoadReported, MembershipRead
from berylquay.decisions.fleet import BackendServer, LoadReport, Role
from berylquay.decisions.load_polling import PollSchedule
from berylquay.net.http_client import STATUS_OK, HttpRequest
from berylquay.net.message_bus import BUS, post
from berylquay.net.process_messages import Tick
from berylquay.net.tcp_connections import TcpConnections
from berylquay.standalone.json_exchange import ExchangeOutcome, JsonExchange

POLL_TIMEOUT_S: Final = 2.0


class LoadPoller(BaseComponent):
    """Requests load reports from engines and posts them; failed polls are ignored."""

    channel = BUS

    # Opens the connections.
    _connections: TcpConnections
    # Decides which engine is polled when.
    _schedule: PollSchedule
    # Polls in flight.
    _pending_polls: set[JsonExchange]

    def __init__(self, connections: TcpConnections, schedule: PollSchedule) -> None:
        super().__init__()
        self._connections = connections
        self._schedule = schedule
        self._pending_polls = set()

    @handler("MembershipRead")
    def _on_membership(self, message: MembershipRead) -> None:
        self._schedule.on_membership(message.view)

    @handler("Tick")
    def _on_tick(self, message: Tick) -> None:
        for exchange in tuple(self._pending_polls):
            exchange.expire_if_overdue(message.now_s)
        for server in self._schedule.take_due(message.now_s):
            self._poll(server, message.now_s)

    def _poll(self, server: BackendServer, now_s: float) -> None:
        def on_exchange_ended(outcome: ExchangeOutcome) -> None:
            self._pending_polls.discard(exchange)
            self._schedule.on_poll_ended(server.name)
            on_outcome(outcome)

        on_outcome = partial(self._on_outcome, server.name)
        request = HttpRequest("GET", "/v1/load")
        deadline_s = now_s + POLL_TIMEOUT_S
        exchange = JsonExchange(
            self._connections, server.address, request, deadline_s, on_exchange_ended
        )
        self._pending_polls.add(exchange)

    def _on_outcome(self, backend: str, outcome: ExchangeOutcome) -> None:
        if isinstance(outcome, Failure) or outcome.unwrap().status != STATUS_OK:
            return
        report = parse_load_report(backend, outcome.unwrap().body, time.monotonic())
        if report is not None:
            post(self, LoadReported(report))


def parse_load_report(
    backend: str, value: dict[str, object], received_s: float
) -> LoadReport | None:
    """Returns the report in the body of an engine's response, or None if it is malformed."""
    try:
        adapters = value["adapters"]
        return LoadReport(
            backend=backend,
            received_s=received_s,
            role=Role(value["role"]),
            model=str(value["model"]),
            adapters=frozenset(map(str, adapters if isinstance(adapters, list) else [])),
            running=int(str(value["running"])),
            waiting=int(str(value["waiting"])),
            prefill_backlog_tokens=int(str(value["prefill_backlog_tokens"])),
            kv_blocks_used=int(str(value["kv_pieces_used"])),
            kv_blocks_total=int(str(value["kv_pieces_total"])),
        )
    except (KeyError, ValueError):
        return None

"""The controller: acquires the lease of its data centre and sends orders while it holds it."""

import time
from collections.abc import Sequence
from typing import Final

import logbook
from circuits import BaseComponent, handler

from berylquay.component_messages import (
    AuthorityChanged,
    AuthorityObserved,
    ConfigurationInForce,
    EngineStateRead,
    MembershipRead,
    OrderOutcomeKnown,
    PeerLinkChanged,
    PeerReceived,
    PeerSendRequested,
    RecordAppendFailed,
    RecordsRead,
    RoleChangeRequested,
    StreamFollowRequested,
)
from berylquay.decisions.controller_lease import LeaseManager
from berylquay.decisions.order_commands import (
    ChangeEnded,
    DrainNoticeWanted,
    OrderCommand,
)
from berylquay.decisions.order_controller import OrderController
from berylquay.net.message_bus import BUS, post
from berylquay.net.process_messages import StopRequested, Tick
from berylquay.peers.payloads import DrainAcknowledgement

FIRST_OFFSET: Final = 1
# Interval between checks of the engines.
ORDER_CHECK_INTERVAL_S: Final = 0.25
_log = logbook.Logger("authority")


class Controller(BaseComponent):
    """Passes events to the lease manager and the order controller and executes their commands."""

    channel = BUS

    # Name of this host.
    _host: str
    # Claims, renews and releases the lease.
    _lease_manager: LeaseManager
    # Decides which orders and drain notices to send.
    _order_controller: OrderController
    # Data centre whose engines the orders go to.
    _data_centre: str
    # Last authority posted for the operators' calls, or None before the first.
    _announced_authority: AuthorityObserved | None
    # Term of the last `AuthorityChanged` that was posted; 0 without authority.
    _announced_term: int
    # Monotonic time of the next check of the engines.
    _next_check_s: float
    # Whether the stream with the lease's records has been requested.
    _lease_stream_requested: bool
    # Whether this host is stopping.
    _stopping: bool

    def __init__(
        self,
        host: str,
        data_centre: str,
        lease_manager: LeaseManager,
        order_controller: OrderController,
    ) -> None:
        super().__init__()
        self._host = host
        self._data_centre = data_centre
        self._announced_authority = None
        self._lease_manager = lease_manager
        self._order_controller = order_controller
        self._announced_term = 0
        self._next_check_s = float("-inf")
        self._lease_stream_requested = False
        self._stopping = False

    @handler("RecordsRead")
    def _on_records(self, message: RecordsRead) -> None:
        self._lease_manager.on_records(message, time.monotonic())

    @handler("RecordAppendFailed")
    def _on_append_failed(self, message: RecordAppendFailed) -> None:
        self._lease_manager.on_append_failed(message.record_id)

    @handler("MembershipRead")
    def _on_membership(self, message: MembershipRead) -> None:
        self._order_controller.on_membership(message.view)

    @handler("ConfigurationInForce")
    def _on_configuration(self, message: ConfigurationInForce) -> None:
        self._order_controller.on_configuration(message.configuration)

    @handler("RoleChangeRequested")
    def _on_role_change(self, message: RoleChangeRequested) -> None:
        self._order_controller.on_role_change_requested(message.change)

    @handler("PeerReceived")
    def _on_peer(self, message: PeerReceived) -> None:
        if isinstance(message.payload, DrainAcknowledgement):
            self._order_controller.on_drain_acknowledgement(message.host, message.payload)

    @handler("PeerLinkChanged")
    def _on_peer_link(self, message: PeerLinkChanged) -> None:
        if not message.connected:
            self._order_controller.on_host_disconnected(message.host)

    @handler("EngineStateRead")
    def _on_engine_state(self, message: EngineStateRead) -> None:
        now_s = time.monotonic()
        if self._lease_manager.authority(now_s) is None:
            return
        commands = self._order_controller.on_engine_state(
            message.backend, message.state, message.sent_s, now_s
        )
        self._execute_commands(commands)

    @handler("OrderOutcomeKnown")
    def _on_send_outcome(self, message: OrderOutcomeKnown) -> None:
        now_s = time.monotonic()
        self._execute_commands(
            self._order_controller.on_send_outcome(message.order_id, message.outcome, now_s)
        )

    @handler("StopRequested")
    def _on_stop_requested(self, _message: StopRequested) -> None:
        self._stopping = True

    @handler("Tick")
    def _on_tick(self, message: Tick) -> None:
        if not self._lease_stream_requested:
            self._lease_stream_requested = True
            post(self, StreamFollowRequested(self._lease_manager.stream, FIRST_OFFSET))
        self._maintain_lease(message.now_s)
        if message.now_s >= self._next_check_s:
            self._next_check_s = message.now_s + ORDER_CHECK_INTERVAL_S
            self._execute_commands(self._order_controller.on_tick(message.now_s))

    def _maintain_lease(self, now_s: float) -> None:
        requests = list(self._lease_manager.on_tick(now_s))
        if self._stopping and not self._order_controller.has_order_in_flight:
            requests += self._lease_manager.release(now_s)
        authority = self._lease_manager.authority(now_s)
        self._execute_commands(self._order_controller.on_authority(authority, now_s))
        for request in requests:
            post(self, request)
        term = authority.term if authority is not None else 0
        if term != self._announced_term:
            self._announced_term = term
            _log.info("authority changed", host=self._host, term=term)
            post(self, AuthorityChanged(term))
        self._notify_operators()

    def _notify_operators(self) -> None:
        observed = AuthorityObserved(
            self._data_centre, self._lease_manager.term_holder, self._lease_manager.term
        )
        if observed != self._announced_authority:
            self._announced_authority = observed
            post(self, observed)

    def _execute_commands(self, commands: Sequence[OrderCommand]) -> None:
        for command in commands:
            if isinstance(command, DrainNoticeWanted):
                self._send_drain_notice(command)
                continue
            if isinstance(command, ChangeEnded):
                _log.info(
                    "change ended",
                    change=str(command.change),
                    made=command.succeeded,
                    detail=command.detail,
                    term=self._announced_term,
                )
            post(self, command)

    def _send_drain_notice(self, command: DrainNoticeWanted) -> None:
        for host in command.hosts:
            if host == self._host:
                post(self, PeerReceived(host, command.notice))
            else:
                post(self, PeerSendRequested(host, command.notice))

"""The component around `IdempotencyController`: passes messages in and posts its commands."""

import time
from collections.abc import Sequence

from circuits import BaseComponent, handler
from circuits.core.events import started

from berylquay.component_messages import (
    CallCompleted,
    CallerGone,
    CallReceived,
    CallRefused,
    LogReachabilityChanged,
    MembershipRead,
    PeerLinkChanged,
    PeerReceived,
    RecordsRead,
    StreamFollowRequested,
)
from berylquay.decisions.idempotency import IdempotencyCommand, IdempotencyController
from berylquay.decisions.key_claims import CLAIMS_STREAM
from berylquay.net.message_bus import BUS, post
from berylquay.net.process_messages import Tick


class IdempotencyComponent(BaseComponent):
    """Drives the `IdempotencyController` of this process."""

    channel = BUS

    _controller: IdempotencyController

    def __init__(self, controller: IdempotencyController) -> None:
        super().__init__()
        self._controller = controller

    @handler("started", channel="*")
    def _on_started(self, event: started, *_: object) -> None:
        post(self, StreamFollowRequested(CLAIMS_STREAM, 1))

    @handler("CallReceived")
    def _on_call(self, message: CallReceived) -> None:
        if not message.call.repeatable:
            self._post_all(self._controller.on_call(message.call, time.monotonic(), time.time()))

    @handler("CallerGone")
    def _on_caller_gone(self, message: CallerGone) -> None:
        self._controller.on_caller_gone(message.call_id)

    @handler("CallCompleted")
    def _on_completed(self, message: CallCompleted) -> None:
        self._controller.on_call_completed(message, time.monotonic())

    @handler("CallRefused")
    def _on_refused(self, message: CallRefused) -> None:
        self._post_all(self._controller.on_call_refused(message, time.monotonic()))

    @handler("RecordsRead")
    def _on_records(self, message: RecordsRead) -> None:
        if message.stream == CLAIMS_STREAM:
            self._post_all(self._controller.on_records(message, time.monotonic(), time.time()))

    @handler("LogReachabilityChanged")
    def _on_reachability(self, message: LogReachabilityChanged) -> None:
        self._controller.on_log_reachability(message.reachable)

    @handler("MembershipRead")
    def _on_membership(self, message: MembershipRead) -> None:
        self._controller.on_host_count(len(message.view.hosts))

    @handler("PeerLinkChanged")
    def _on_link(self, message: PeerLinkChanged) -> None:
        self._controller.on_peer_link(message.host, message.connected)

    @handler("PeerReceived")
    def _on_peer(self, message: PeerReceived) -> None:
        self._post_all(
            self._controller.on_peer_message(message.host, message.payload, time.monotonic())
        )

    @handler("Tick")
    def _on_tick(self, message: Tick) -> None:
        self._post_all(self._controller.on_tick(message.now_s))

    def _post_all(self, commands: Sequence[IdempotencyCommand]) -> None:
        for command in commands:
            post(self, command)

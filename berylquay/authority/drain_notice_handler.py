"""Handles drain notices: this host places no new work on engines that a controller drains."""

import time

from circuits import BaseComponent, handler

from berylquay.component_messages import (
    AttemptCancelled,
    AttemptCompleted,
    AttemptFailed,
    AttemptRequested,
    DrainApplied,
    PeerReceived,
    PeerSendRequested,
)
from berylquay.decisions.host_drains import HostDrains
from berylquay.net.message_bus import BUS, post
from berylquay.net.process_messages import Tick
from berylquay.peers.payloads import DrainNotice


class DrainNoticeHandler(BaseComponent):
    """Applies drain notices and acknowledges them with this host's number of attempts in flight."""

    channel = BUS

    # Name of this host.
    _host: str
    # Active drains on this host.
    _drains: HostDrains
    # Backend server by attempt in flight.
    _backend_by_attempt: dict[str, str]

    def __init__(self, host: str, drains: HostDrains) -> None:
        super().__init__()
        self._host = host
        self._drains = drains
        self._backend_by_attempt = {}

    @handler("AttemptRequested")
    def _on_requested(self, message: AttemptRequested) -> None:
        attempt = message.attempt
        self._backend_by_attempt[attempt.attempt_id] = attempt.backend
        self._drains.on_attempt_started(attempt.backend)

    @handler("AttemptCancelled")
    def _on_cancelled(self, message: AttemptCancelled) -> None:
        self._on_attempt_ended(message.attempt_id)

    @handler("AttemptCompleted")
    def _on_completed(self, message: AttemptCompleted) -> None:
        self._on_attempt_ended(message.attempt_id)

    @handler("AttemptFailed")
    def _on_failed(self, message: AttemptFailed) -> None:
        self._on_attempt_ended(message.attempt_id)

    @handler("PeerReceived")
    def _on_peer(self, message: PeerReceived) -> None:
        if not isinstance(message.payload, DrainNotice):
            return
        for change in self._drains.on_notice(message.host, message.payload, time.monotonic()):
            post(self, change)
        post(self, DrainApplied(message.payload, settled=False))

    @handler("DrainApplied")
    def _on_applied(self, message: DrainApplied) -> None:
        if not message.settled:
            # An attempt that was started before the drain may be queued behind this message.
            # It has been counted once a second message has passed through the queue.
            post(self, DrainApplied(message.notice, settled=True))
            return
        self._drains.on_drain_applied(message.notice)
        self._send_acknowledgements()

    @handler("Tick")
    def _on_tick(self, message: Tick) -> None:
        for change in self._drains.on_tick(message.now_s):
            post(self, change)
        self._send_acknowledgements()

    def _on_attempt_ended(self, attempt_id: str) -> None:
        backend = self._backend_by_attempt.pop(attempt_id, None)
        if backend is not None:
            self._drains.on_attempt_ended(backend)

    def _send_acknowledgements(self) -> None:
        for host, message in self._drains.take_acknowledgements():
            if host == self._host:
                post(self, PeerReceived(host, message))
            else:
                post(self, PeerSendRequested(host, message))

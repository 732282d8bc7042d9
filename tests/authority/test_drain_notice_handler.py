"""The drain notice handler beside the other components: it counts every attempt in flight."""

from circuits import BaseComponent, handler

from berylquay.authority.drain_notice_handler import DrainNoticeHandler
from berylquay.component_messages import (
    AttemptCompleted,
    AttemptRequested,
    BackendDrainChanged,
    CallReceived,
    PeerReceived,
    PeerSendRequested,
)
from berylquay.decisions.calls import Attempt
from berylquay.decisions.host_drains import HostDrains
from berylquay.net.message_bus import BUS, post
from berylquay.peers.payloads import DrainAcknowledgement, DrainNotice
from tests.support.idempotency_model import make_call


class AttemptStarter(BaseComponent):
    """Starts an attempt for each call until the backend drains, as the call dispatcher does."""

    channel = BUS

    def __init__(self) -> None:
        super().__init__()
        self.draining = False
        self.acknowledged_in_flight: list[int] = []

    @handler("CallReceived")
    def _on_call(self, message: CallReceived) -> None:
        if not self.draining:
            post(self, AttemptRequested(Attempt("a", message.call, "e")))

    @handler("BackendDrainChanged")
    def _on_drain(self, message: BackendDrainChanged) -> None:
        self.draining = message.draining

    @handler("PeerSendRequested")
    def _on_send(self, message: PeerSendRequested) -> None:
        assert isinstance(message.payload, DrainAcknowledgement)
        self.acknowledged_in_flight.append(message.payload.in_flight)


def handle_all_messages(attempt_starter: AttemptStarter) -> None:
    while len(attempt_starter):
        attempt_starter.flush()


def test_attempt_started_before_the_drain_is_counted() -> None:
    attempt_starter = AttemptStarter()
    DrainNoticeHandler("h", HostDrains(validity_s=10.0)).register(attempt_starter)
    handle_all_messages(attempt_starter)
    post(attempt_starter, PeerReceived("c", DrainNotice("e", True, term=1, notice=1)))
    post(attempt_starter, CallReceived(make_call("one", "", 0.0)))
    handle_all_messages(attempt_starter)
    assert attempt_starter.acknowledged_in_flight == [1]
    post(attempt_starter, CallReceived(make_call("two", "", 0.0)))
    post(attempt_starter, AttemptCompleted("a", 0, 200, b"", ""))
    post(attempt_starter, PeerReceived("c", DrainNotice("e", True, term=1, notice=2)))
    handle_all_messages(attempt_starter)
    assert attempt_starter.acknowledged_in_flight == [1, 0]

"""The drain holder among the other components of a process: no attempt escapes its count."""

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


class Starter(BaseComponent):
    """Starts an attempt for each call until it hears of the drain, as dispatch does."""

    channel = BUS

    def __init__(self) -> None:
        super().__init__()
        self.draining = False
        self.told: list[int] = []

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
        self.told.append(message.payload.in_flight)


def run_all(starter: Starter) -> None:
    while len(starter):
        starter.flush()


def test_attempt_that_was_decided_on_before_the_drain_is_told() -> None:
    starter = Starter()
    DrainNoticeHandler("h", HostDrains(validity_s=10.0)).register(starter)
    run_all(starter)
    post(starter, PeerReceived("c", DrainNotice("e", True, term=1, notice=1)))
    post(starter, CallReceived(make_call("one", "", 0.0)))
    run_all(starter)
    assert starter.told == [1]
    post(starter, CallReceived(make_call("two", "", 0.0)))
    post(starter, AttemptCompleted("a", 0, 200, b"", ""))
    post(starter, PeerReceived("c", DrainNotice("e", True, term=1, notice=2)))
    run_all(starter)
    assert starter.told == [1, 0]

"""Graceful shutdown: closes admission after a notice period and stops when all answers are sent."""

import logbook
from circuits import BaseComponent, handler

from berylquay.component_messages import AdmissionClosed, AnswersDrained
from berylquay.net.message_bus import BUS, post
from berylquay.net.process_messages import StopRequested, Tick

_log = logbook.Logger("lifecycle")


class GracefulShutdown(BaseComponent):
    """Closes admission after a notice period and ends the process once all answers are sent."""

    channel = BUS

    # Time for which a stopping host still admits requests, so that the load balancer can take it
    # out of rotation first.
    _stop_notice_s: float
    # Monotonic time at which admission closes, or None if no stop was requested.
    _admission_closes_s: float | None
    _admission_closed: bool

    def __init__(self, stop_notice_s: float) -> None:
        super().__init__()
        self._stop_notice_s = stop_notice_s
        self._admission_closes_s = None
        self._admission_closed = False

    @handler("StopRequested")
    def _on_stop_requested(self, message: StopRequested) -> None:
        if self._admission_closes_s is None:
            _log.info("stopping", notice_s=self._stop_notice_s)
            self._admission_closes_s = message.now_s + self._stop_notice_s

    @handler("Tick")
    def _on_tick(self, message: Tick) -> None:
        closes_s = self._admission_closes_s
        if closes_s is not None and not self._admission_closed and message.now_s >= closes_s:
            self._admission_closed = True
            post(self, AdmissionClosed())

    @handler("AnswersDrained")
    def _on_answers_drained(self, _message: AnswersDrained) -> None:
        _log.info("stopped")
        self.root.stop()

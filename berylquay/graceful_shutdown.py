"""The lifecycle of the process: from ready to serve, over a graceful stop, to its end."""

import logbook
from circuits import BaseComponent, handler

from berylquay.component_messages import AdmissionClosed, AnswersDrained, StopRequested, Tick
from berylquay.net.message_bus import BUS, post

_log = logbook.Logger("lifecycle")


class GracefulShutdown(BaseComponent):
    """Closes admission after a notice period and ends the process once all answers are sent."""

    channel = BUS

    # Time for which a stopping host still admits, so that the balancer learns of the stop.
    _stop_notice_s: float
    # Monotonic time at which admission closes, or None while no stop was asked for.
    _admission_closes_s: float | None
    # Whether admission is closed.
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
        due_s = self._admission_closes_s
        if due_s is not None and not self._admission_closed and message.now_s >= due_s:
            self._admission_closed = True
            post(self, AdmissionClosed())

    @handler("AnswersDrained")
    def _on_answers_drained(self, _message: AnswersDrained) -> None:
        _log.info("stopped")
        self.root.stop()

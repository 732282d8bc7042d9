"""The lifecycle of the process: from ready to serve, over a graceful stop, to its end."""

import logbook
from circuits import BaseComponent, handler

from berylquay.messages import AdmissionClosed, AnswersDrained, StopRequested, Tick
from berylquay.net.bus import BUS, post

_log = logbook.Logger("lifecycle")


class Lifecycle(BaseComponent):
    """Closes admission after a notice period and ends the process once all answers are sent."""

    channel = BUS

    # Time for which a stopping host still admits, so that the balancer learns of the stop.
    _notice_s: float
    # Monotonic time at which admission closes, or None while no stop was asked for.
    _close_admission_s: float | None
    # Whether admission is closed.
    _closed: bool

    def __init__(self, notice_s: float) -> None:
        super().__init__()
        self._notice_s = notice_s
        self._close_admission_s = None
        self._closed = False

    @handler("StopRequested")
    def _on_stop_requested(self, message: StopRequested) -> None:
        if self._close_admission_s is None:
            _log.info("stopping", notice_s=self._notice_s)
            self._close_admission_s = message.now_s + self._notice_s

    @handler("Tick")
    def _on_tick(self, message: Tick) -> None:
        due_s = self._close_admission_s
        if due_s is not None and not self._closed and message.now_s >= due_s:
            self._closed = True
            post(self, AdmissionClosed())

    @handler("AnswersDrained")
    def _on_answers_drained(self, _message: AnswersDrained) -> None:
        _log.info("stopped")
        self.root.stop()

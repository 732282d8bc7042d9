"""The event loop: root of the component tree; polls the sockets and handles signals."""

import signal
import time

import logbook
from circuits.core.pollers import EPoll

from berylquay.net.message_bus import post
from berylquay.net.process_messages import StopRequested

_log = logbook.Logger("loop")


class EventLoop(EPoll):
    """The poller that every component of the process is registered under.

    On a signal, it posts a request to stop the process.
    """

    def _signal_handler(self, signo: int, stack: object) -> None:
        _log.info("signal received", signal=signal.Signals(signo).name)
        post(self, StopRequested(time.monotonic()))

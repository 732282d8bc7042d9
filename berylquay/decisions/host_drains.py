"""Drains on an entry host: no new work is placed on a draining engine until the drain expires.

A drain expires without a notice, so that a controller that crashed does not keep an engine idle
for ever. The controller counts a drain's validity from just before it sent the notice, and sends
an order only while the drain is valid.
"""

from collections import Counter
from collections.abc import Sequence

from attrs import define

from berylquay.component_messages import BackendDrainChanged
from berylquay.peers.payloads import DrainAcknowledgement, DrainNotice


@define
class _ActiveDrain:
    notice: DrainNotice
    # Host that sent the notice and receives the acknowledgements.
    sender: str
    # Monotonic time at which the drain expires.
    expires_s: float
    # Attempts in flight according to the last acknowledgement, or -1 before the first.
    acknowledged_in_flight: int
    # Whether every component that starts attempts has applied the drain.
    applied: bool


class HostDrains:
    """The drains on this host that controllers have requested."""

    # Time after a notice at which its drain expires.
    _validity_s: float
    # Active drains by backend server.
    _active: dict[str, _ActiveDrain]
    # Term and number of the newest notice by backend server.
    _newest_notices: dict[str, tuple[int, int]]
    # Number of attempts in flight by backend server.
    _in_flight: Counter[str]

    def __init__(self, validity_s: float) -> None:
        self._validity_s = validity_s
        self._active = {}
        self._newest_notices = {}
        self._in_flight = Counter()

    def on_attempt_started(self, backend: str) -> None:
        """Counts an attempt as in flight on the backend server."""
        self._in_flight[backend] += 1

    def on_attempt_ended(self, backend: str) -> None:
        """Counts an attempt on the backend server as ended."""
        self._in_flight[backend] -= 1

    def on_notice(
        self, sender: str, notice: DrainNotice, now_s: float
    ) -> Sequence[BackendDrainChanged]:
        """Applies a notice and returns the change if the backend server's drain began or ended.

        A notice that is older than another one for the same backend server is ignored.
        """
        backend = notice.backend
        number = (notice.term, notice.notice)
        if number < self._newest_notices.get(backend, (0, 0)):
            return []
        self._newest_notices[backend] = number
        previous = self._active.get(backend)
        was_draining = previous is not None
        applied = previous is not None and previous.applied
        if not notice.draining:
            self._active.pop(backend, None)
            return [BackendDrainChanged(backend, False)] if was_draining else []
        self._active[backend] = _ActiveDrain(notice, sender, now_s + self._validity_s, -1, applied)
        return [] if was_draining else [BackendDrainChanged(backend, True)]

    def on_tick(self, now_s: float) -> Sequence[BackendDrainChanged]:
        """Ends the drains that have expired and returns them."""
        expired = [backend for backend, drain in self._active.items() if now_s >= drain.expires_s]
        for backend in expired:
            del self._active[backend]
        return [BackendDrainChanged(backend, False) for backend in expired]

    def on_drain_applied(self, notice: DrainNotice) -> None:
        """Records that no attempt that was placed before the notice can still be started.

        Ignored if the notice is not that of the backend server's active drain.
        """
        drain = self._active.get(notice.backend)
        if drain is not None and drain.notice == notice:
            drain.applied = True

    def take_acknowledgements(self) -> Sequence[tuple[str, DrainAcknowledgement]]:
        """Returns the acknowledgements that are due, each with the host to send it to.

        One is due when an applied drain's number of attempts in flight differs from the last one
        acknowledged; the returned ones count as acknowledged.
        """
        answers: list[tuple[str, DrainAcknowledgement]] = []
        for backend, drain in self._active.items():
            in_flight = self._in_flight[backend]
            if drain.applied and drain.acknowledged_in_flight != in_flight:
                drain.acknowledged_in_flight = in_flight
                notice = drain.notice
                message = DrainAcknowledgement(backend, notice.term, in_flight, notice.notice)
                answers.append((drain.sender, message))
        return answers

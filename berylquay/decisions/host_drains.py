"""Drains on an entry host: the promise to keep new work away from an engine for a while.

A promise runs out by itself, so that a controller that died does not keep an engine idle for ever;
the controller counts the promise from before its notice and orders only while it holds.
"""

from collections import Counter
from collections.abc import Sequence

from attrs import define

from berylquay.messages import BackendDrainChanged
from berylquay.peers.payloads import DrainAcknowledgement, DrainNotice


@define
class _ActiveDrain:
    notice: DrainNotice
    # Host that sent the notice and gets the acknowledgements.
    sender: str
    # Monotonic time at which the promise ends.
    expires_s: float
    # Attempts in flight as they were last told.
    acknowledged_in_flight: int
    # Whether everything that starts attempts has heard of the drain.
    applied: bool


class HostDrains:
    """Holds the drains that controllers announced to this host."""

    # Time for which a promise holds.
    _validity_s: float
    # Drains by backend server.
    _active: dict[str, _ActiveDrain]
    # Term and number of the newest notice by backend server.
    _newest_notices: dict[str, tuple[int, int]]
    # Attempts in flight by backend server.
    _in_flight: Counter[str]

    def __init__(self, validity_s: float) -> None:
        self._validity_s = validity_s
        self._active = {}
        self._newest_notices = {}
        self._in_flight = Counter()

    def on_attempt_started(self, backend: str) -> None:
        """Counts an attempt."""
        self._in_flight[backend] += 1

    def on_attempt_ended(self, backend: str) -> None:
        """Ceases to count an attempt."""
        self._in_flight[backend] -= 1

    def on_notice(
        self, sender: str, notice: DrainNotice, now_s: float
    ) -> Sequence[BackendDrainChanged]:
        """Takes a notice; one that is older than another of the same backend server is ignored."""
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
        """Ends the drains whose promise has run out."""
        expired = [backend for backend, drain in self._active.items() if now_s >= drain.expires_s]
        for backend in expired:
            del self._active[backend]
        return [BackendDrainChanged(backend, False) for backend in expired]

    def on_drain_applied(self, notice: DrainNotice) -> None:
        """Notes that no attempt will be started that was decided on before the notice."""
        drain = self._active.get(notice.backend)
        if drain is not None and drain.notice == notice:
            drain.applied = True

    def take_acknowledgements(self) -> Sequence[tuple[str, DrainAcknowledgement]]:
        """Returns what has not been told yet, with the host to tell it to."""
        answers: list[tuple[str, DrainAcknowledgement]] = []
        for backend, drain in self._active.items():
            in_flight = self._in_flight[backend]
            if drain.applied and drain.acknowledged_in_flight != in_flight:
                drain.acknowledged_in_flight = in_flight
                notice = drain.notice
                message = DrainAcknowledgement(backend, notice.term, in_flight, notice.notice)
                answers.append((drain.sender, message))
        return answers

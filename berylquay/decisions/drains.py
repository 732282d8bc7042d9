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
class _Held:
    notice: DrainNotice
    # Host that sent the notice and gets the acknowledgements.
    sender: str
    # Monotonic time at which the promise ends.
    until_s: float
    # Attempts in flight as they were last told.
    told: int
    # Whether everything that starts attempts has heard of the drain.
    applied: bool


class HeldDrains:
    """Holds the drains that controllers announced to this host."""

    # Time for which a promise holds.
    _hold_s: float
    # Drains by backend server.
    _held: dict[str, _Held]
    # Term and number of the newest notice by backend server.
    _newest: dict[str, tuple[int, int]]
    # Attempts in flight by backend server.
    _in_flight: Counter[str]

    def __init__(self, hold_s: float) -> None:
        self._hold_s = hold_s
        self._held = {}
        self._newest = {}
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
        if number < self._newest.get(backend, (0, 0)):
            return []
        self._newest[backend] = number
        before = self._held.get(backend)
        was_held = before is not None
        applied = before is not None and before.applied
        if not notice.draining:
            self._held.pop(backend, None)
            return [BackendDrainChanged(backend, False)] if was_held else []
        self._held[backend] = _Held(notice, sender, now_s + self._hold_s, -1, applied)
        return [] if was_held else [BackendDrainChanged(backend, True)]

    def on_tick(self, now_s: float) -> Sequence[BackendDrainChanged]:
        """Ends the drains whose promise has run out."""
        over = [backend for backend, held in self._held.items() if now_s >= held.until_s]
        for backend in over:
            del self._held[backend]
        return [BackendDrainChanged(backend, False) for backend in over]

    def on_applied(self, notice: DrainNotice) -> None:
        """Notes that no attempt will be started that was decided on before the notice."""
        held = self._held.get(notice.backend)
        if held is not None and held.notice == notice:
            held.applied = True

    def acknowledgements(self) -> Sequence[tuple[str, DrainAcknowledgement]]:
        """Returns what has not been told yet, with the host to tell it to."""
        answers: list[tuple[str, DrainAcknowledgement]] = []
        for backend, held in self._held.items():
            in_flight = self._in_flight[backend]
            if held.applied and held.told != in_flight:
                held.told = in_flight
                notice = held.notice
                message = DrainAcknowledgement(backend, notice.term, in_flight, notice.notice)
                answers.append((held.sender, message))
        return answers

"""The bridge between the threads of the gRPC server and the circuits loop.

Threads put questions into a queue, wake the loop and wait; the loop alone reads and changes state.
"""

import time
from collections.abc import Callable
from concurrent.futures import Future
from queue import Empty, SimpleQueue

from attrs import evolve, field, frozen
from circuits import BaseComponent, handler
from circuits.core.events import generate_events
from circuits.core.pollers import BasePoller

from berylquay.decisions.configuration_state import Change, ChangeOutcome, ChangeStatus
from berylquay.decisions.weight_lookups import WeightsInfo, WeightsKey
from berylquay.messages import (
    AuthorityObserved,
    ConfigurationChangeEnded,
    ConfigurationChangeRequested,
    ConfigurationInForce,
    ConfigurationStatus,
    LoadReported,
    MembershipRead,
    PeerReceived,
    WeightsLookedUp,
    WeightsLookupRequested,
)
from berylquay.net.bus import BUS, post
from berylquay.operators.view import AuthorityView, OperatorsView
from berylquay.peers.payloads import Heartbeat


@frozen(eq=False)
class _ViewQuestion:
    """A thread waits for a view of a configuration above the revision."""

    newer_than: int
    answer: "Future[OperatorsView]" = field(factory=Future)


@frozen(eq=False)
class _ChangeQuestion:
    """A thread waits for the outcome of a change."""

    request: ConfigurationChangeRequested
    answer: "Future[ChangeOutcome]" = field(factory=Future)


@frozen(eq=False)
class _WeightsQuestion:
    """A thread waits for what the weight store says."""

    key: WeightsKey
    answer: "Future[WeightsInfo]" = field(factory=Future)


_Question = _ViewQuestion | _ChangeQuestion | _WeightsQuestion


class OperatorsBridge(BaseComponent):
    """Answers the threads of the gRPC server."""

    channel = BUS

    # Whether there is a weight store to ask.
    has_weight_store: bool
    # Poller of the process, woken by the threads.
    _poller: BasePoller
    # Questions that the loop has not seen.
    _questions: "SimpleQueue[_Question]"
    # Threads that wait for a newer configuration.
    _watchers: list[_ViewQuestion]
    # Threads that wait for a change, by its id.
    _changes: dict[str, list[_ChangeQuestion]]
    # Threads that wait for the weight store, by what they asked.
    _lookups: dict[WeightsKey, list[_WeightsQuestion]]
    # What there is to see.
    _view: OperatorsView

    def __init__(
        self, poller: BasePoller, host: str, data_centre: str, has_weight_store: bool
    ) -> None:
        super().__init__()
        self._poller = poller
        self._questions = SimpleQueue()
        self._watchers = []
        self._changes = {}
        self._lookups = {}
        self.has_weight_store = has_weight_store
        self._view = OperatorsView(host, data_centre)

    def ask_view(self, newer_than: int = -1) -> "Future[OperatorsView]":
        """Asks, from any thread, for the view once its revision is above the given one."""
        question = _ViewQuestion(newer_than)
        self._put(question)
        return question.answer

    def ask_change(self, change: Change, dry_run: bool) -> "Future[ChangeOutcome]":
        """Asks, from any thread, for a change."""
        question = _ChangeQuestion(ConfigurationChangeRequested(change, dry_run))
        self._put(question)
        return question.answer

    def ask_weights(self, key: WeightsKey) -> "Future[WeightsInfo]":
        """Asks, from any thread, what the weight store says of a version of a model."""
        question = _WeightsQuestion(key)
        self._put(question)
        return question.answer

    def _put(self, question: _Question) -> None:
        self._questions.put(question)
        self._poller.resume()

    @handler("generate_events", channel="*")
    def _on_generate_events(self, event: generate_events) -> None:
        if self._questions.empty():
            return
        event.reduce_time_left(0)
        while True:
            try:
                question = self._questions.get_nowait()
            except Empty:
                return
            self._take(question)

    def _take(self, question: _Question) -> None:
        if isinstance(question, _ViewQuestion):
            self._watchers.append(question)
            self._answer_watchers()
        elif isinstance(question, _ChangeQuestion):
            change_id = question.request.change.change_id
            self._changes.setdefault(change_id, []).append(question)
            post(self, question.request)
        else:
            self._lookups.setdefault(question.key, []).append(question)
            post(self, WeightsLookupRequested(question.key))

    @handler("stopped", channel="*")
    def _on_stopped(self, *_: object) -> None:
        """Lets every waiting thread go, so that the process can end."""
        for watcher in self._watchers:
            watcher.answer.cancel()
        self._watchers.clear()
        for lookups in self._lookups.values():
            for lookup in lookups:
                lookup.answer.set_result(WeightsInfo(exists=None))
        self._lookups.clear()
        for change_id, questions in self._changes.items():
            detail = "this host stops; the change may have reached the log"
            revision = self._view.configuration.revision
            outcome = ChangeOutcome(change_id, ChangeStatus.UNKNOWN, revision, detail=detail)
            for question in questions:
                question.answer.set_result(outcome)
        self._changes.clear()

    @handler("ConfigurationChangeEnded")
    def _on_change_ended(self, message: ConfigurationChangeEnded) -> None:
        for question in self._changes.pop(message.outcome.change_id, ()):
            question.answer.set_result(message.outcome)

    @handler("WeightsLookedUp")
    def _on_weights(self, message: WeightsLookedUp) -> None:
        for question in self._lookups.pop(message.key, ()):
            question.answer.set_result(message.facts)

    @handler("ConfigurationInForce")
    def _on_configuration(self, message: ConfigurationInForce) -> None:
        self._update(lambda view: evolve(view, configuration=message.configuration))
        self._answer_watchers()

    @handler("ConfigurationStatus")
    def _on_status(self, message: ConfigurationStatus) -> None:
        self._update(
            lambda view: evolve(
                view, state=message.state, up_to_date=message.up_to_date, gap=message.gap
            )
        )

    @handler("MembershipRead")
    def _on_membership(self, message: MembershipRead) -> None:
        self._update(lambda view: evolve(view, membership=message.view))

    @handler("LoadReported")
    def _on_load(self, message: LoadReported) -> None:
        report = message.report
        self._update(lambda view: evolve(view, loads={**view.loads, report.backend: report}))

    @handler("AuthorityObserved")
    def _on_authority(self, message: AuthorityObserved) -> None:
        seen = AuthorityView(message.holder, message.term)
        self._update(
            lambda view: evolve(view, authorities={**view.authorities, message.data_centre: seen})
        )

    @handler("PeerReceived")
    def _on_peer(self, message: PeerReceived) -> None:
        payload = message.payload
        if isinstance(payload, Heartbeat):
            now_s = time.monotonic()
            self._update(lambda view: view.with_heard(message.host, payload.revision, now_s))

    def _update(self, change: Callable[[OperatorsView], OperatorsView]) -> None:
        self._view = change(self._view)

    def _answer_watchers(self) -> None:
        revision = self._view.configuration.revision
        for question in tuple(self._watchers):
            if question.answer.cancelled():
                self._watchers.remove(question)
            elif revision > question.newer_than:
                self._watchers.remove(question)
                if question.answer.set_running_or_notify_cancel():
                    question.answer.set_result(self._view)

"""The bridge between the threads of the gRPC server and the circuits loop.

Threads put requests into a queue, wake the loop and wait; only the loop reads and changes state.
"""

import time
from collections.abc import Callable
from concurrent.futures import Future
from queue import Empty, SimpleQueue

from attrs import evolve, field, frozen
from circuits import BaseComponent, handler
from circuits.core.events import generate_events
from circuits.core.pollers import BasePoller

from berylquay.component_messages import (
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
from berylquay.decisions.configuration_state import Change, ChangeOutcome, ChangeStatus
from berylquay.decisions.weight_lookups import WeightsInfo, WeightsKey
from berylquay.net.message_bus import BUS, post
from berylquay.operators.view import AuthorityView, OperatorsView
from berylquay.peers.payloads import Heartbeat


@frozen(eq=False)
class _ViewRequest:
    """A thread waits for a view whose configuration is newer than the revision."""

    newer_than_revision: int
    future: "Future[OperatorsView]" = field(factory=Future)


@frozen(eq=False)
class _ChangeRequest:
    """A thread waits for the outcome of a change."""

    message: ConfigurationChangeRequested
    future: "Future[ChangeOutcome]" = field(factory=Future)


@frozen(eq=False)
class _WeightsRequest:
    """A thread waits for the result of a lookup in the weight store."""

    key: WeightsKey
    future: "Future[WeightsInfo]" = field(factory=Future)


_ThreadRequest = _ViewRequest | _ChangeRequest | _WeightsRequest


class OperatorsBridge(BaseComponent):
    """Answers requests from the threads of the gRPC server."""

    channel = BUS

    # Whether there is a weight store to look versions up in.
    has_weight_store: bool
    # Poller of the process, which the threads wake.
    _poller: BasePoller
    # Requests that the loop has not taken yet.
    _request_queue: "SimpleQueue[_ThreadRequest]"
    # Requests for a newer configuration than the one in force.
    _pending_views: list[_ViewRequest]
    # Requests that wait for the outcome of a change, by the change's id.
    _pending_changes: dict[str, list[_ChangeRequest]]
    # Requests that wait for the weight store, by the key that is looked up.
    _pending_lookups: dict[WeightsKey, list[_WeightsRequest]]
    # Current view, which answers requests.
    _view: OperatorsView

    def __init__(
        self, poller: BasePoller, host: str, data_centre: str, has_weight_store: bool
    ) -> None:
        super().__init__()
        self._poller = poller
        self._request_queue = SimpleQueue()
        self._pending_views = []
        self._pending_changes = {}
        self._pending_lookups = {}
        self.has_weight_store = has_weight_store
        self._view = OperatorsView(host, data_centre)

    def request_view(self, newer_than_revision: int = -1) -> "Future[OperatorsView]":
        """Requests the view once its revision is above the given one; callable from any thread.

        Returns:
            The future view, which is cancelled if the process stops first.
        """
        request = _ViewRequest(newer_than_revision)
        self._enqueue(request)
        return request.future

    def submit_change(self, change: Change, dry_run: bool) -> "Future[ChangeOutcome]":
        """Requests a change; callable from any thread.

        Args:
            change: Change to make.
            dry_run: Whether to check the change only, without an effect.

        Returns:
            The future outcome, which is UNKNOWN if the process stops first.
        """
        request = _ChangeRequest(ConfigurationChangeRequested(change, dry_run))
        self._enqueue(request)
        return request.future

    def look_up_weights(self, key: WeightsKey) -> "Future[WeightsInfo]":
        """Requests a lookup of a model version in the weight store; callable from any thread.

        Returns:
            The future result; its `exists` is None if the process stops first.
        """
        request = _WeightsRequest(key)
        self._enqueue(request)
        return request.future

    def _enqueue(self, request: _ThreadRequest) -> None:
        self._request_queue.put(request)
        self._poller.resume()

    @handler("generate_events", channel="*")
    def _on_generate_events(self, event: generate_events) -> None:
        if self._request_queue.empty():
            return
        event.reduce_time_left(0)
        while True:
            try:
                request = self._request_queue.get_nowait()
            except Empty:
                return
            self._handle_request(request)

    def _handle_request(self, request: _ThreadRequest) -> None:
        if isinstance(request, _ViewRequest):
            self._pending_views.append(request)
            self._resolve_pending_views()
        elif isinstance(request, _ChangeRequest):
            change_id = request.message.change.change_id
            self._pending_changes.setdefault(change_id, []).append(request)
            post(self, request.message)
        else:
            self._pending_lookups.setdefault(request.key, []).append(request)
            post(self, WeightsLookupRequested(request.key))

    @handler("stopped", channel="*")
    def _on_stopped(self, *_: object) -> None:
        """Completes or cancels every pending future, so that the process can end."""
        for view_request in self._pending_views:
            view_request.future.cancel()
        self._pending_views.clear()
        for lookups in self._pending_lookups.values():
            for lookup in lookups:
                lookup.future.set_result(WeightsInfo(exists=None))
        self._pending_lookups.clear()
        for change_id, requests in self._pending_changes.items():
            detail = "this host stops; the change may have reached the log"
            revision = self._view.configuration.revision
            outcome = ChangeOutcome(change_id, ChangeStatus.UNKNOWN, revision, detail=detail)
            for request in requests:
                request.future.set_result(outcome)
        self._pending_changes.clear()

    @handler("ConfigurationChangeEnded")
    def _on_change_ended(self, message: ConfigurationChangeEnded) -> None:
        for request in self._pending_changes.pop(message.outcome.change_id, ()):
            request.future.set_result(message.outcome)

    @handler("WeightsLookedUp")
    def _on_weights(self, message: WeightsLookedUp) -> None:
        for request in self._pending_lookups.pop(message.key, ()):
            request.future.set_result(message.info)

    @handler("ConfigurationInForce")
    def _on_configuration(self, message: ConfigurationInForce) -> None:
        self._update_view(lambda view: evolve(view, configuration=message.configuration))
        self._resolve_pending_views()

    @handler("ConfigurationStatus")
    def _on_status(self, message: ConfigurationStatus) -> None:
        self._update_view(
            lambda view: evolve(
                view,
                configuration_state=message.state,
                up_to_date=message.up_to_date,
                has_gap=message.has_gap,
            )
        )

    @handler("MembershipRead")
    def _on_membership(self, message: MembershipRead) -> None:
        self._update_view(lambda view: evolve(view, membership=message.view))

    @handler("LoadReported")
    def _on_load(self, message: LoadReported) -> None:
        report = message.report
        self._update_view(
            lambda view: evolve(view, load_reports={**view.load_reports, report.backend: report})
        )

    @handler("AuthorityObserved")
    def _on_authority(self, message: AuthorityObserved) -> None:
        authority = AuthorityView(message.holder, message.term)
        self._update_view(
            lambda view: evolve(
                view, authorities={**view.authorities, message.data_centre: authority}
            )
        )

    @handler("PeerReceived")
    def _on_peer(self, message: PeerReceived) -> None:
        payload = message.payload
        if isinstance(payload, Heartbeat):
            now_s = time.monotonic()
            self._update_view(
                lambda view: view.with_peer_revision(message.host, payload.revision, now_s)
            )

    def _update_view(self, update: Callable[[OperatorsView], OperatorsView]) -> None:
        self._view = update(self._view)

    def _resolve_pending_views(self) -> None:
        revision = self._view.configuration.revision
        for request in tuple(self._pending_views):
            if request.future.cancelled():
                self._pending_views.remove(request)
            elif revision > request.newer_than_revision:
                self._pending_views.remove(request)
                if request.future.set_running_or_notify_cancel():
                    request.future.set_result(self._view)

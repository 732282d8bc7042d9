"""The configuration manager: puts the newest accepted configuration in force on this host.

It follows the configuration stream of the platform's log, appends operators' changes and snapshots
to it, and exchanges snapshots with peers while the log is unreachable. The decisions are made in
`berylquay.decisions.configuration_state_machine`, `configuration_snapshots` and `pending_changes`.
"""

import time
import uuid
from random import Random
from typing import Final

import logbook
from circuits import BaseComponent, handler
from circuits.core.events import started

from berylquay.component_messages import (
    ConfigurationChangeEnded,
    ConfigurationChangeRequested,
    ConfigurationInForce,
    ConfigurationStatus,
    LogReachabilityChanged,
    PeerReceived,
    PeerSendRequested,
    RecordAppendFailed,
    RecordAppendRequested,
    RecordAppendUnsettled,
    RecordsRead,
    StreamFollowRequested,
)
from berylquay.decisions.configuration_snapshots import (
    SnapshotSchedule,
    compress_snapshot,
    decompress_snapshot,
    snapshot_to_json,
)
from berylquay.decisions.configuration_state import (
    SNAPSHOT_KIND,
    SNAPSHOT_REQUEST_KIND,
    Change,
    ChangeOutcome,
    ChangeStatus,
    change_to_fields,
)
from berylquay.decisions.configuration_state_machine import (
    ApplyResult,
    ConfigurationStateMachine,
    LogPage,
)
from berylquay.decisions.deployment import Configuration, Deployment
from berylquay.decisions.pending_changes import (
    APPEND_TIMEOUT_S,
    PendingChanges,
    decide_without_append,
)
from berylquay.net.message_bus import BUS, post
from berylquay.net.process_messages import Tick
from berylquay.peers.payloads import ConfigurationOffer, ConfigurationRequest, Heartbeat
from berylquay.standalone.records import NewRecord

# Shortest interval between two snapshot requests of this host, separately for the log and peers.
SNAPSHOT_REQUEST_INTERVAL_S: Final = 5.0
_log = logbook.Logger("configuration")


class ConfigurationManager(BaseComponent):
    """Maintains the configuration of this host and answers requests to change it."""

    channel = BUS

    # Stream of the log that carries the configuration.
    _stream: str
    # Deployments that are in force if the log contains no configuration.
    _initial_deployments: tuple[Deployment, ...]
    _state_machine: ConfigurationStateMachine
    # Changes requested through this host whose outcomes are not known yet.
    _pending_changes: PendingChanges
    # Decides when to append a snapshot.
    _snapshot_schedule: SnapshotSchedule
    # Whether the log is reachable.
    _log_reachable: bool
    # Revision of the last configuration that was posted, or None before the first. 0 stands for the
    # initial deployments.
    _posted_revision: int | None
    # Last status that was posted, or None before the first.
    _posted_status: ConfigurationStatus | None
    # Monotonic times from which a snapshot may be requested again in the log and from a peer.
    _next_log_request_s: float
    _next_peer_request_s: float

    def __init__(
        self,
        stream: str,
        retention_s: float,
        initial_deployments: tuple[Deployment, ...],
        rng: Random,
    ) -> None:
        super().__init__()
        self._stream = stream
        self._initial_deployments = initial_deployments
        self._state_machine = ConfigurationStateMachine()
        self._pending_changes = PendingChanges()
        self._snapshot_schedule = SnapshotSchedule(retention_s, rng)
        self._log_reachable = False
        self._posted_revision = None
        self._posted_status = None
        self._next_log_request_s = 0.0
        self._next_peer_request_s = 0.0

    @property
    def _up_to_date(self) -> bool:
        return self._log_reachable and self._state_machine.up_to_date

    @handler("started", channel="*")
    def _on_started(self, event: started, *_: object) -> None:
        post(self, StreamFollowRequested(self._stream, 1))

    @handler("LogReachabilityChanged")
    def _on_reachability_changed(self, message: LogReachabilityChanged) -> None:
        self._log_reachable = message.reachable
        self._post_status()

    @handler("RecordsRead")
    def _on_records_read(self, message: RecordsRead) -> None:
        if message.stream != self._stream:
            return
        page = LogPage(message.records, message.first_offset, message.next_offset)
        result = self._state_machine.on_page(page)
        now_s = time.monotonic()
        for outcome in result.outcomes:
            self._complete_if_pending(outcome)
        self._update_snapshot_schedule(result, now_s)
        self._post_configuration()
        self._post_status()
        if self._state_machine.caught_up and self._state_machine.has_gap:
            self._request_snapshot_in_log(now_s)

    @handler("ConfigurationChangeRequested")
    def _on_change_requested(self, message: ConfigurationChangeRequested) -> None:
        change = message.change
        outcome = decide_without_append(self._state_machine.state, self._up_to_date, change)
        if outcome is None and message.dry_run:
            revision = self._posted_revision or 0
            outcome = ChangeOutcome(
                change.change_id, ChangeStatus.ACCEPTED, revision, detail="dry run"
            )
        if outcome is not None:
            post(self, ConfigurationChangeEnded(outcome))
            return
        self._pending_changes.add(change, time.monotonic())
        self._append_change(change)

    @handler("RecordAppendFailed")
    def _on_append_failed(self, message: RecordAppendFailed) -> None:
        outcome = self._pending_changes.on_append_failed(
            message.record_id, message.detail, self._state_machine.state
        )
        if outcome is not None:
            post(self, ConfigurationChangeEnded(outcome))

    @handler("RecordAppendUnsettled")
    def _on_append_unsettled(self, message: RecordAppendUnsettled) -> None:
        self._pending_changes.on_append_unsettled(
            message.record_id, message.detail, time.monotonic()
        )

    @handler("PeerReceived")
    def _on_peer_received(self, message: PeerReceived) -> None:
        payload = message.payload
        state = self._state_machine.state
        if isinstance(payload, Heartbeat):
            self._request_peer_snapshot_if_behind(message.host, payload.revision)
        elif isinstance(payload, ConfigurationRequest):
            if state is not None and state.applied_offset > payload.offset:
                offer = ConfigurationOffer(compress_snapshot(state))
                post(self, PeerSendRequested(message.host, offer))
        elif isinstance(payload, ConfigurationOffer):
            self._apply_peer_snapshot(message.host, payload)

    @handler("Tick")
    def _on_tick(self, message: Tick) -> None:
        for outcome in self._pending_changes.expire_overdue(
            self._state_machine.state, message.now_s
        ):
            post(self, ConfigurationChangeEnded(outcome))
        if self._up_to_date and self._snapshot_schedule.take_due(message.now_s):
            self._append_snapshot()

    def _complete_if_pending(self, outcome: ChangeOutcome) -> None:
        if self._pending_changes.on_outcome_read(outcome):
            _log.info("change decided", change=outcome.change_id, status=outcome.status.value)
            post(self, ConfigurationChangeEnded(outcome))

    def _update_snapshot_schedule(self, result: ApplyResult, now_s: float) -> None:
        for snapshot in result.snapshots:
            self._snapshot_schedule.on_snapshot(snapshot, now_s)
        if self._state_machine.state is not None:
            self._snapshot_schedule.on_state(self._state_machine.state, now_s)
        if result.snapshot_request_offset and not self._state_machine.has_gap:
            self._snapshot_schedule.on_snapshot_request(result.snapshot_request_offset, now_s)

    def _post_configuration(self) -> None:
        state = self._state_machine.state
        if state is None or not self._state_machine.initial_sync_done:
            return
        if state.revision > (self._posted_revision or 0):
            self._posted_revision = state.revision
            _log.info("configuration in force", revision=state.revision)
            post(self, ConfigurationInForce(state.to_configuration()))
        elif self._posted_revision is None and self._state_machine.up_to_date:
            # The log was read to its end and contains no configuration.
            self._posted_revision = 0
            post(self, ConfigurationInForce(Configuration(deployments=self._initial_deployments)))

    def _post_status(self) -> None:
        status = ConfigurationStatus(
            self._state_machine.state,
            self._up_to_date,
            self._state_machine.has_gap,
            self._log_reachable,
        )
        previous = self._posted_status
        if previous == status:
            return
        self._posted_status = status
        if status.has_gap and (previous is None or not previous.has_gap):
            _log.warning("configuration records are missing; waiting for a snapshot")
        post(self, status)

    def _append(self, kind: str, record_id: str, fields: dict[str, object]) -> None:
        record = NewRecord(record_id, kind, fields)
        request = RecordAppendRequested(self._stream, record, timeout_s=APPEND_TIMEOUT_S)
        post(self, request)

    def _append_change(self, change: Change) -> None:
        self._append(change.kind.value, change.change_id, change_to_fields(change))

    def _append_snapshot(self) -> None:
        state = self._state_machine.state
        if state is not None:
            self._append(SNAPSHOT_KIND, uuid.uuid4().hex, snapshot_to_json(state))

    def _request_snapshot_in_log(self, now_s: float) -> None:
        if now_s >= self._next_log_request_s:
            self._next_log_request_s = now_s + SNAPSHOT_REQUEST_INTERVAL_S
            self._append(SNAPSHOT_REQUEST_KIND, uuid.uuid4().hex, {})

    def _request_peer_snapshot_if_behind(self, host: str, revision: int) -> None:
        state = self._state_machine.state
        behind = state is None or state.revision < revision
        now_s = time.monotonic()
        if not behind or self._up_to_date or now_s < self._next_peer_request_s:
            return
        self._next_peer_request_s = now_s + SNAPSHOT_REQUEST_INTERVAL_S
        offset = state.applied_offset if state is not None else 0
        post(self, PeerSendRequested(host, ConfigurationRequest(offset)))

    def _apply_peer_snapshot(self, host: str, offer: ConfigurationOffer) -> None:
        snapshot = decompress_snapshot(offer.snapshot)
        if snapshot is None:
            _log.warning("malformed snapshot from a peer", peer=host)
            return
        result = self._state_machine.on_snapshot(snapshot)
        for outcome in result.outcomes:
            self._complete_if_pending(outcome)
        self._post_configuration()
        self._post_status()

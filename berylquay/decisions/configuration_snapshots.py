"""Snapshots of the configuration: their JSON form, and when a host appends one.

Log records expire, so a host must append a new snapshot well before the newest one expires. Any
host may do so: each waits for a random time and restarts its timer when it reads a snapshot from
another host, so that usually only one host appends.
"""

import json
import zlib
from collections.abc import Mapping
from random import Random
from typing import Any, Final

from attrs import asdict, frozen

from berylquay.decisions.configuration_state import ConfigurationState, LastChange
from berylquay.decisions.deployment_json import deployment_from_json, deployment_to_json

# Range, as fractions of the retention time, from which the delay after a snapshot is chosen.
EARLIEST_RETENTION_FRACTION: Final = 0.25
LATEST_RETENTION_FRACTION: Final = 0.5
# Upper end of the range (from 0) when the newest snapshot is of unknown age because the host read
# it while starting.
LATEST_RETENTION_FRACTION_UNKNOWN_AGE: Final = 0.125
# Number of records after a snapshot at which a new snapshot is due, so that starting hosts need not
# read them all.
MAX_RECORDS_BETWEEN_SNAPSHOTS: Final = 64
# Maximum random delay of a snapshot that is due because of the number of records.
RECORD_COUNT_JITTER_S: Final = 4.0
# Maximum random delay of a snapshot that another host requested.
REQUEST_JITTER_S: Final = 1.0
# Maximum time after which a snapshot is appended again if it was not read back.
APPEND_RETRY_S: Final = 10.0
# Size limit, after decompression, of a snapshot from a peer.
MAX_UNCOMPRESSED_SNAPSHOT_BYTES: Final = 16 * 1024 * 1024


def snapshot_to_json(state: ConfigurationState) -> dict[str, object]:
    """Returns the state as JSON-serialisable values."""
    return {
        "offset": state.applied_offset,
        "revision": state.revision,
        "deployments": [deployment_to_json(item) for item in state.deployments.values()],
        "draining": sorted(state.draining),
        "changes": {key: asdict(last_change) for key, last_change in state.last_changes.items()},
        "floor_revision": state.floor_revision,
        "refused_ids": list(state.refused_ids),
    }


def snapshot_from_json(value: Mapping[str, Any]) -> ConfigurationState | None:
    """Returns the state in a snapshot, or None if it is malformed."""
    try:
        deployments = [deployment_from_json(item) for item in value["deployments"]]
        return ConfigurationState(
            applied_offset=int(value["offset"]),
            revision=int(value["revision"]),
            deployments={deployment.name: deployment for deployment in deployments},
            draining=frozenset(value["draining"]),
            last_changes={
                key: LastChange(**last_change) for key, last_change in value["changes"].items()
            },
            floor_revision=int(value["floor_revision"]),
            refused_ids=tuple(value["refused_ids"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def compress_snapshot(state: ConfigurationState) -> bytes:
    """Returns the state as compressed JSON, to be sent to a peer."""
    return zlib.compress(json.dumps(snapshot_to_json(state)).encode())


def decompress_snapshot(data: bytes) -> dict[str, Any] | None:
    """Returns the JSON object in compressed data, or None if it is malformed or too large."""
    decompressor = zlib.decompressobj()
    try:
        value = json.loads(decompressor.decompress(data, MAX_UNCOMPRESSED_SNAPSHOT_BYTES))
    except (ValueError, zlib.error):
        return None
    return value if isinstance(value, dict) else None


@frozen
class SnapshotRecord:
    """A snapshot that was read from the log."""

    # Offset of the record that carries the snapshot.
    offset: int
    # Whether it was appended while this host was following the log, so that its age is known.
    appended_while_following: bool


class SnapshotSchedule:
    """Decides when this host appends a snapshot."""

    # Retention time of the log's records.
    _retention_s: float
    # Chooses the random delays.
    _rng: Random
    # Offset of the newest snapshot, or 0 before any.
    _newest_snapshot_offset: int
    # When this host appends a snapshot unless it reads a newer one first; None until an accepted
    # change or a snapshot was read.
    _next_append_s: float | None
    # Whether the append was already brought forward because of the number of records.
    _record_limit_reached: bool

    def __init__(self, retention_s: float, rng: Random) -> None:
        self._retention_s = retention_s
        self._rng = rng
        self._newest_snapshot_offset = 0
        self._next_append_s = None
        self._record_limit_reached = False

    def on_snapshot(self, snapshot: SnapshotRecord, now_s: float) -> None:
        """Restarts the timer if the snapshot is newer than the newest known one."""
        if snapshot.offset <= self._newest_snapshot_offset:
            return
        self._newest_snapshot_offset = snapshot.offset
        self._record_limit_reached = False
        self._next_append_s = now_s + self._random_delay_s(snapshot.appended_while_following)

    def on_snapshot_request(self, offset: int, now_s: float) -> None:
        """Brings the append forward because a host requested a snapshot in the record at offset."""
        if self._next_append_s is None or offset < self._newest_snapshot_offset:
            return
        self._next_append_s = min(
            self._next_append_s, now_s + self._rng.uniform(0.0, REQUEST_JITTER_S)
        )

    def on_state(self, state: ConfigurationState, now_s: float) -> None:
        """Updates the schedule for the state after newly applied records."""
        if state.revision == 0:
            return
        if self._next_append_s is None:
            self._next_append_s = now_s + self._random_delay_s(age_known=False)
        limit_reached = (
            state.applied_offset - self._newest_snapshot_offset >= MAX_RECORDS_BETWEEN_SNAPSHOTS
        )
        if limit_reached and not self._record_limit_reached:
            self._record_limit_reached = True
            self._next_append_s = min(
                self._next_append_s, now_s + self._rng.uniform(0.0, self._record_count_jitter_s())
            )

    def take_due(self, now_s: float) -> bool:
        """Returns whether to append a snapshot now; if so, schedules the next attempt."""
        if self._next_append_s is None or now_s < self._next_append_s:
            return False
        self._next_append_s = now_s + min(
            APPEND_RETRY_S, self._retention_s * EARLIEST_RETENTION_FRACTION
        )
        return True

    def _record_count_jitter_s(self) -> float:
        return min(RECORD_COUNT_JITTER_S, self._retention_s * LATEST_RETENTION_FRACTION_UNKNOWN_AGE)

    def _random_delay_s(self, age_known: bool) -> float:
        if age_known:
            retention_fraction = self._rng.uniform(
                EARLIEST_RETENTION_FRACTION, LATEST_RETENTION_FRACTION
            )
        else:
            retention_fraction = self._rng.uniform(0.0, LATEST_RETENTION_FRACTION_UNKNOWN_AGE)
        return self._retention_s * retention_fraction

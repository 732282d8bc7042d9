"""Snapshots of the configuration: their JSON form, and when a host appends one.

Records expire, so some host appends a snapshot well before the newest one goes. Any host may; each
draws its time by lot and starts over when it reads another's, so that as a rule only one does.
"""

import json
import zlib
from collections.abc import Mapping
from random import Random
from typing import Any, Final

from attrs import asdict, frozen

from berylquay.decisions.configuration_state import ConfigurationState, LastChange
from berylquay.decisions.deployment_json import deployment_from_json, deployment_to_json

# Share of the retention time after which the first and the last host would append a snapshot.
EARLIEST_SHARE: Final = 0.25
LATEST_SHARE: Final = 0.5
# The same for a snapshot of unknown age, which a host found when it started.
LATEST_SHARE_UNKNOWN_AGE: Final = 0.125
# Records after a snapshot, after which a new one saves starting hosts from reading them all.
RECORDS_BETWEEN: Final = 64
# Time over which the hosts spread a snapshot that is due because of the number of records.
SPREAD_S: Final = 4.0
# Time over which the hosts spread a snapshot that another host has asked for.
WANTED_SPREAD_S: Final = 1.0
# Time after which an append that nobody read is tried again.
RETRY_S: Final = 10.0
# Largest snapshot that is taken from a peer, unpacked.
MAX_SNAPSHOT_BYTES: Final = 16 * 1024 * 1024


def snapshot_to_json(state: ConfigurationState) -> dict[str, object]:
    """Returns the state as values that JSON can carry."""
    return {
        "offset": state.offset,
        "revision": state.revision,
        "deployments": [deployment_to_json(item) for item in state.deployments.values()],
        "draining": sorted(state.draining),
        "changes": {key: asdict(last) for key, last in state.changes.items()},
        "floor_revision": state.floor_revision,
        "refused_ids": list(state.refused_ids),
    }


def snapshot_from_json(value: Mapping[str, Any]) -> ConfigurationState | None:
    """Returns the state in a snapshot, or None if it is malformed."""
    try:
        deployments = [deployment_from_json(item) for item in value["deployments"]]
        return ConfigurationState(
            offset=int(value["offset"]),
            revision=int(value["revision"]),
            deployments={deployment.name: deployment for deployment in deployments},
            draining=frozenset(value["draining"]),
            changes={key: LastChange(**last) for key, last in value["changes"].items()},
            floor_revision=int(value["floor_revision"]),
            refused_ids=tuple(value["refused_ids"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def pack_snapshot(state: ConfigurationState) -> bytes:
    """Returns the state as compressed JSON, for a peer."""
    return zlib.compress(json.dumps(snapshot_to_json(state)).encode())


def unpack_snapshot(data: bytes) -> dict[str, Any] | None:
    """Returns the values in compressed JSON, or None if they are malformed or too large."""
    unpacker = zlib.decompressobj()
    try:
        value = json.loads(unpacker.decompress(data, MAX_SNAPSHOT_BYTES))
    except (ValueError, zlib.error):
        return None
    return value if isinstance(value, dict) else None


@frozen
class SnapshotSeen:
    """A snapshot that was read from the log."""

    # Offset of the record that carries it.
    offset: int
    # Whether it was appended while this host was following.
    fresh: bool


class SnapshotSchedule:
    """Decides when this host appends a snapshot."""

    # Time for which the log keeps a record.
    _retention_s: float
    # Draws the time.
    _rng: Random
    # Offset of the newest snapshot, 0 before any.
    _newest_offset: int
    # When this host appends one, unless it reads another's before.
    _due_s: float | None
    # Whether the due time was brought forward because of the number of records.
    _brought_forward: bool

    def __init__(self, retention_s: float, rng: Random) -> None:
        self._retention_s = retention_s
        self._rng = rng
        self._newest_offset = 0
        self._due_s = None
        self._brought_forward = False

    def on_snapshot(self, seen: SnapshotSeen, now_s: float) -> None:
        """Starts over from a newer snapshot."""
        if seen.offset <= self._newest_offset:
            return
        self._newest_offset = seen.offset
        self._brought_forward = False
        self._due_s = now_s + self._draw_s(seen.fresh)

    def on_wanted(self, offset: int, now_s: float) -> None:
        """Brings the time forward because a host asked for a snapshot in a record."""
        if self._due_s is None or offset < self._newest_offset:
            return
        self._due_s = min(self._due_s, now_s + self._rng.uniform(0.0, WANTED_SPREAD_S))

    def on_progress(self, state: ConfigurationState, now_s: float) -> None:
        """Notes how far the host has read."""
        if state.revision == 0:
            return
        if self._due_s is None:
            self._due_s = now_s + self._draw_s(fresh=False)
        many = state.offset - self._newest_offset >= RECORDS_BETWEEN
        if many and not self._brought_forward:
            self._brought_forward = True
            self._due_s = min(self._due_s, now_s + self._rng.uniform(0.0, self._spread_s()))

    def take_due(self, now_s: float) -> bool:
        """Tells whether to append a snapshot now; if so, sets the time of another try."""
        if self._due_s is None or now_s < self._due_s:
            return False
        self._due_s = now_s + min(RETRY_S, self._retention_s * EARLIEST_SHARE)
        return True

    def _spread_s(self) -> float:
        return min(SPREAD_S, self._retention_s * LATEST_SHARE_UNKNOWN_AGE)

    def _draw_s(self, fresh: bool) -> float:
        if fresh:
            share = self._rng.uniform(EARLIEST_SHARE, LATEST_SHARE)
        else:
            share = self._rng.uniform(0.0, LATEST_SHARE_UNKNOWN_AGE)
        return self._retention_s * share

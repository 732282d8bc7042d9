"""The configuration state, and how each change record from the log modifies it.

Every host applies the same records in the same order with this module, so every host reaches the
same state. Concurrency control is optimistic: a change names the revision that it was based on and
is refused if its target was changed after that revision. Changes to different deployments do not
conflict.
"""

from collections.abc import Mapping
from enum import Enum
from typing import Any, Final

import attrs
from attrs import field, frozen

from berylquay.decisions.deployment import Configuration, Deployment
from berylquay.decisions.deployment_json import deployment_from_json, deployment_to_json
from berylquay.standalone.records import LogRecord

# Number of refused record ids to keep, so that a late copy of a refused change has no effect.
MAX_REFUSED_IDS: Final = 256
# Number of removed deployments and ended drains whose last change is kept.
MAX_TOMBSTONES: Final = 1000


class ChangeKind(Enum):
    """Kind of a change; the value is the kind of its log record."""

    APPLY = "apply-deployment"
    REMOVE = "remove-deployment"
    DRAIN = "drain"
    UNDRAIN = "undrain"


CHANGE_KINDS: Final = frozenset(kind.value for kind in ChangeKind)
SNAPSHOT_KIND: Final = "snapshot"
# Kind of the record with which a host that lacks records requests a snapshot.
SNAPSHOT_REQUEST_KIND: Final = "snapshot-wanted"


@frozen
class Change:
    """One requested change of the configuration."""

    # Unique id that makes the change idempotent: it takes effect at most once.
    change_id: str
    kind: ChangeKind
    # Name of the deployment, backend server or host.
    name: str
    # Configuration revision that the change is based on.
    base_revision: int
    # Who requested the change.
    author: str
    # The deployment to apply; None for kinds other than APPLY.
    deployment: Deployment | None = None

    @property
    def target_key(self) -> str:
        """Returns the key of the deployment or drain that the change modifies."""
        key_prefix = (
            "deployment" if self.kind in (ChangeKind.APPLY, ChangeKind.REMOVE) else "draining"
        )
        return f"{key_prefix}/{self.name}"


@frozen
class LastChange:
    """The last accepted change of a target."""

    revision: int
    change_id: str
    author: str


class ChangeStatus(Enum):
    """Outcome of a change."""

    ACCEPTED = "accepted"
    # The target was changed after the base revision.
    CONFLICT = "conflict"
    # The change is not valid for the configuration that it was applied to.
    INVALID = "invalid"
    # The change was refused before it reached the log; it has no effect.
    REFUSED = "refused"
    # It could not be determined whether the change takes effect.
    UNKNOWN = "unknown"


@frozen
class ChangeOutcome:
    """Outcome of one change, with details."""

    change_id: str
    status: ChangeStatus
    # Revision of the deciding host's state after the change.
    revision: int
    # The change that won a conflict.
    winner: LastChange | None = None
    # Explanation for the operator.
    detail: str = ""


@frozen
class ConfigurationState:
    """The state after applying all records up to an offset."""

    # Offset of the last applied record.
    applied_offset: int = 0
    # Offset of the last accepted change.
    revision: int = 0
    deployments: Mapping[str, Deployment] = field(factory=dict)
    draining: frozenset[str] = frozenset()
    # Last change by target key, including targets that no longer exist (tombstones).
    last_changes: Mapping[str, LastChange] = field(factory=dict)
    # Targets evicted from `last_changes` were last changed at this revision or before.
    floor_revision: int = 0
    # Ids of the last refused changes, oldest first.
    refused_ids: tuple[str, ...] = ()

    def to_configuration(self) -> Configuration:
        """Returns the configuration in the form that the other components use."""
        deployments = tuple(self.deployments[name] for name in sorted(self.deployments))
        return Configuration(self.revision, deployments, self.draining)

    def last_change(self, key: str) -> LastChange | None:
        """Returns the last change of a target, or None if it was never changed or was evicted."""
        return self.last_changes.get(key)


@frozen
class Transition:
    """The state after a record, and the outcome if the record carried a new change."""

    state: ConfigurationState
    outcome: ChangeOutcome | None = None


def check_change(state: ConfigurationState, change: Change) -> ChangeOutcome | None:
    """Returns the refusal of the change, or None if the state would accept it."""
    last_change = state.last_change(change.target_key)
    if last_change is not None and last_change.revision > change.base_revision:
        detail = (
            f"{change.target_key} was changed at revision {last_change.revision}"
            f" by {last_change.author}"
        )
        return _refusal_outcome(state, change, ChangeStatus.CONFLICT, detail, last_change)
    if last_change is None and state.floor_revision > change.base_revision:
        detail = f"base revision {change.base_revision} is too old to be judged"
        return _refusal_outcome(state, change, ChangeStatus.CONFLICT, detail, None)
    error = _validation_error(state, change)
    return _refusal_outcome(state, change, ChangeStatus.INVALID, error, None) if error else None


def apply_record(state: ConfigurationState, record: LogRecord) -> Transition:
    """Returns the transition caused by a record, which must be the next one of the stream."""
    state = attrs.evolve(state, applied_offset=record.offset)
    if record.kind not in CHANGE_KINDS:
        return Transition(state)
    change = change_from_record(record)
    if change is None or is_duplicate(state, change):
        return Transition(state)
    refusal = check_change(state, change)
    if refusal is not None:
        return Transition(_add_refused_id(state, change.change_id), refusal)
    new_state = _apply_change(state, change)
    return Transition(
        new_state, ChangeOutcome(change.change_id, ChangeStatus.ACCEPTED, new_state.revision)
    )


def is_duplicate(state: ConfigurationState, change: Change) -> bool:
    """Returns whether the change was already accepted or refused.

    An accepted change that was followed by another change of the same target is not recognised
    here, but `check_change` refuses it, because its base revision is older than the other change.
    """
    if change.change_id in state.refused_ids:
        return True
    last_change = state.last_change(change.target_key)
    return last_change is not None and last_change.change_id == change.change_id


def change_to_fields(change: Change) -> dict[str, object]:
    """Returns the fields of the log record that carries the change."""
    fields: dict[str, object] = {
        "name": change.name,
        "base_revision": change.base_revision,
        "author": change.author,
    }
    if change.deployment is not None:
        fields["deployment"] = deployment_to_json(change.deployment)
    return fields


def change_from_record(record: LogRecord) -> Change | None:
    """Returns the change in a record, or None if the record is malformed."""
    fields: Mapping[str, Any] = record.fields
    try:
        kind = ChangeKind(record.kind)
        is_apply = kind is ChangeKind.APPLY
        return Change(
            change_id=record.record_id,
            kind=kind,
            name=str(fields["name"]),
            base_revision=int(fields["base_revision"]),
            author=str(fields.get("author", "")),
            deployment=deployment_from_json(fields["deployment"]) if is_apply else None,
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def _refusal_outcome(
    state: ConfigurationState,
    change: Change,
    status: ChangeStatus,
    detail: str,
    winner: LastChange | None,
) -> ChangeOutcome:
    return ChangeOutcome(change.change_id, status, state.revision, winner, detail)


def _validation_error(state: ConfigurationState, change: Change) -> str:
    if change.base_revision > state.revision:
        return f"base revision {change.base_revision} lies after {state.revision}"
    if change.kind is ChangeKind.REMOVE and change.name not in state.deployments:
        return f"there is no deployment {change.name}"
    if change.deployment is None:
        return ""
    if change.deployment.name != change.name:
        return f"the change names {change.name}, its deployment {change.deployment.name}"
    return _class_name_conflict(state, change.deployment)


def _class_name_conflict(state: ConfigurationState, deployment: Deployment) -> str:
    names = {spec.name for spec in deployment.classes}
    for other in state.deployments.values():
        if other.name == deployment.name:
            continue
        conflicting_names = names.intersection(spec.name for spec in other.classes)
        if conflicting_names:
            return f"class {min(conflicting_names)} belongs to deployment {other.name}"
    return ""


def _add_refused_id(state: ConfigurationState, record_id: str) -> ConfigurationState:
    ids = (*state.refused_ids, record_id)[-MAX_REFUSED_IDS:]
    return attrs.evolve(state, refused_ids=ids)


def _apply_change(state: ConfigurationState, change: Change) -> ConfigurationState:
    deployments = dict(state.deployments)
    draining = state.draining
    if change.kind is ChangeKind.APPLY and change.deployment is not None:
        deployments[change.name] = change.deployment
    elif change.kind is ChangeKind.REMOVE:
        del deployments[change.name]
    elif change.kind is ChangeKind.DRAIN:
        draining |= {change.name}
    else:
        draining -= {change.name}
    last_changes = dict(state.last_changes)
    last_changes[change.target_key] = LastChange(
        state.applied_offset, change.change_id, change.author
    )
    new_state = attrs.evolve(
        state,
        revision=state.applied_offset,
        deployments=deployments,
        draining=draining,
        last_changes=last_changes,
    )
    return _evict_oldest_tombstone(new_state)


def _evict_oldest_tombstone(state: ConfigurationState) -> ConfigurationState:
    if len(state.last_changes) <= MAX_TOMBSTONES + len(state.deployments) + len(state.draining):
        return state
    tombstone_keys = [key for key in state.last_changes if not _target_exists(state, key)]
    oldest_key = min(tombstone_keys, key=lambda key: state.last_changes[key].revision)
    last_changes = {
        key: last_change for key, last_change in state.last_changes.items() if key != oldest_key
    }
    floor_revision = max(state.floor_revision, state.last_changes[oldest_key].revision)
    return attrs.evolve(state, last_changes=last_changes, floor_revision=floor_revision)


def _target_exists(state: ConfigurationState, key: str) -> bool:
    key_prefix, _, name = key.partition("/")
    return name in (state.deployments if key_prefix == "deployment" else state.draining)

"""The state that the stream of configuration changes adds up to, and the effect of one change.

Every host applies the same records in the same order with this module, so every host reaches the
same state. A change names the revision that it was based on; it is refused if what it changes was
changed after that revision. Changes to different deployments do not conflict.
"""

from collections.abc import Mapping
from enum import Enum
from typing import Any, Final

import attrs
from attrs import field, frozen

from berylquay.decisions.deployment import Configuration, Deployment
from berylquay.decisions.deployment_json import deployment_from_json, deployment_to_json
from berylquay.standalone.records import LogRecord

# Refused record ids that are remembered, so that a late copy of a refused change has no effect.
REFUSED_IDS: Final = 256
# Removed deployments and ended drains whose last change is remembered.
TOMBSTONES: Final = 1000


class ChangeKind(Enum):
    """What a change does; the value is the kind of its log record."""

    APPLY = "apply-deployment"
    REMOVE = "remove-deployment"
    DRAIN = "drain"
    UNDRAIN = "undrain"


CHANGE_KINDS: Final = frozenset(kind.value for kind in ChangeKind)
SNAPSHOT_KIND: Final = "snapshot"
# Kind of a record by which a host that lacks records asks for a snapshot.
SNAPSHOT_WANTED_KIND: Final = "snapshot-wanted"


@frozen
class Change:
    """One change as its writer asked for it."""

    # Unique id, under which the change takes effect at most once.
    change_id: str
    kind: ChangeKind
    # Name of the deployment, backend server or host.
    name: str
    # Configuration revision that the writer had seen.
    base_revision: int
    # Who asked for the change.
    author: str
    # The deployment to apply; None for the other kinds.
    deployment: Deployment | None = None

    @property
    def key(self) -> str:
        """Returns the key of what the change touches."""
        family = "deployment" if self.kind in (ChangeKind.APPLY, ChangeKind.REMOVE) else "draining"
        return f"{family}/{self.name}"


@frozen
class LastChange:
    """The change that something was last changed by."""

    revision: int
    change_id: str
    author: str


class ChangeStatus(Enum):
    """What became of a change."""

    ACCEPTED = "accepted"
    # Something newer had changed the same thing.
    CONFLICT = "conflict"
    # The change makes no sense on the configuration that it met.
    INVALID = "invalid"
    # It was refused before it reached the log; it has no effect.
    REFUSED = "refused"
    # Whether it takes effect could not be found out.
    UNKNOWN = "unknown"


@frozen
class ChangeOutcome:
    """What became of one change."""

    change_id: str
    status: ChangeStatus
    # Revision in force at the deciding host after the change.
    revision: int
    # The change that won a conflict.
    winner: LastChange | None = None
    # What a person should read.
    detail: str = ""


@frozen
class ConfigurationState:
    """Everything that the records up to an offset add up to."""

    # Offset of the last record that is taken in.
    offset: int = 0
    # Offset of the last accepted change.
    revision: int = 0
    deployments: Mapping[str, Deployment] = field(factory=dict)
    draining: frozenset[str] = frozenset()
    # Last change of each thing, also of things that are gone.
    changes: Mapping[str, LastChange] = field(factory=dict)
    # Things that `changes` has forgotten were last changed at this revision or before.
    floor_revision: int = 0
    # Ids of the last refused changes, oldest first.
    refused_ids: tuple[str, ...] = ()

    def configuration(self) -> Configuration:
        """Returns what the other components read."""
        deployments = tuple(self.deployments[name] for name in sorted(self.deployments))
        return Configuration(self.revision, deployments, self.draining)

    def last_change(self, key: str) -> LastChange | None:
        """Returns the last change of a thing, or None if it never was or was forgotten."""
        return self.changes.get(key)


@frozen
class Step:
    """The state after a record, and what became of the change in it, if there was a new one."""

    state: ConfigurationState
    outcome: ChangeOutcome | None = None


def judge(state: ConfigurationState, change: Change) -> ChangeOutcome | None:
    """Returns why the state refuses the change, or None if it would accept it."""
    last = state.last_change(change.key)
    if last is not None and last.revision > change.base_revision:
        detail = f"{change.key} was changed at revision {last.revision} by {last.author}"
        return _refusal(state, change, ChangeStatus.CONFLICT, detail, last)
    if last is None and state.floor_revision > change.base_revision:
        detail = f"base revision {change.base_revision} is too old to be judged"
        return _refusal(state, change, ChangeStatus.CONFLICT, detail, None)
    fault = _fault_of(state, change)
    return _refusal(state, change, ChangeStatus.INVALID, fault, None) if fault else None


def apply_record(state: ConfigurationState, record: LogRecord) -> Step:
    """Returns the state after a record of the stream, which must be the next one."""
    state = attrs.evolve(state, offset=record.offset)
    if record.kind not in CHANGE_KINDS:
        return Step(state)
    change = change_of(record)
    if change is None or is_repeated(state, change):
        return Step(state)
    refused = judge(state, change)
    if refused is not None:
        return Step(_remember_refused(state, change.change_id), refused)
    changed = _with_change(state, change)
    return Step(changed, ChangeOutcome(change.change_id, ChangeStatus.ACCEPTED, changed.revision))


def is_repeated(state: ConfigurationState, change: Change) -> bool:
    """Tells whether the change was decided on before.

    An accepted change that was followed by another on the same thing is not recognised here, but
    `judge` refuses it, because its base revision lies before the other.
    """
    if change.change_id in state.refused_ids:
        return True
    last = state.last_change(change.key)
    return last is not None and last.change_id == change.change_id


def change_fields(change: Change) -> dict[str, object]:
    """Returns the fields of the record that carries the change."""
    fields: dict[str, object] = {
        "name": change.name,
        "base_revision": change.base_revision,
        "author": change.author,
    }
    if change.deployment is not None:
        fields["deployment"] = deployment_to_json(change.deployment)
    return fields


def change_of(record: LogRecord) -> Change | None:
    """Returns the change in a record, or None if the record is malformed."""
    fields: Mapping[str, Any] = record.fields
    try:
        kind = ChangeKind(record.kind)
        applied = kind is ChangeKind.APPLY
        return Change(
            change_id=record.record_id,
            kind=kind,
            name=str(fields["name"]),
            base_revision=int(fields["base_revision"]),
            author=str(fields.get("author", "")),
            deployment=deployment_from_json(fields["deployment"]) if applied else None,
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def _refusal(
    state: ConfigurationState,
    change: Change,
    status: ChangeStatus,
    detail: str,
    winner: LastChange | None,
) -> ChangeOutcome:
    return ChangeOutcome(change.change_id, status, state.revision, winner, detail)


def _fault_of(state: ConfigurationState, change: Change) -> str:
    if change.base_revision > state.revision:
        return f"base revision {change.base_revision} lies after {state.revision}"
    if change.kind is ChangeKind.REMOVE and change.name not in state.deployments:
        return f"there is no deployment {change.name}"
    if change.deployment is None:
        return ""
    if change.deployment.name != change.name:
        return f"the change names {change.name}, its deployment {change.deployment.name}"
    return _class_clash(state, change.deployment)


def _class_clash(state: ConfigurationState, deployment: Deployment) -> str:
    names = {spec.name for spec in deployment.classes}
    for other in state.deployments.values():
        if other.name == deployment.name:
            continue
        clash = names.intersection(spec.name for spec in other.classes)
        if clash:
            return f"class {min(clash)} belongs to deployment {other.name}"
    return ""


def _remember_refused(state: ConfigurationState, record_id: str) -> ConfigurationState:
    ids = (*state.refused_ids, record_id)[-REFUSED_IDS:]
    return attrs.evolve(state, refused_ids=ids)


def _with_change(state: ConfigurationState, change: Change) -> ConfigurationState:
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
    changes = dict(state.changes)
    changes[change.key] = LastChange(state.offset, change.change_id, change.author)
    changed = attrs.evolve(
        state,
        revision=state.offset,
        deployments=deployments,
        draining=draining,
        changes=changes,
    )
    return _forget_old_tombstones(changed)


def _forget_old_tombstones(state: ConfigurationState) -> ConfigurationState:
    if len(state.changes) <= TOMBSTONES + len(state.deployments) + len(state.draining):
        return state
    gone = [key for key in state.changes if not _exists(state, key)]
    oldest = min(gone, key=lambda key: state.changes[key].revision)
    changes = {key: last for key, last in state.changes.items() if key != oldest}
    floor = max(state.floor_revision, state.changes[oldest].revision)
    return attrs.evolve(state, changes=changes, floor_revision=floor)


def _exists(state: ConfigurationState, key: str) -> bool:
    family, _, name = key.partition("/")
    return name in (state.deployments if family == "deployment" else state.draining)

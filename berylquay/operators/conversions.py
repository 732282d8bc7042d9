"""Conversions between the operators' protobuf messages and the classes in `decisions`."""

from typing import Final

from berylquay.decisions.configuration_state import ChangeOutcome, ChangeStatus, LastChange
from berylquay.decisions.deployment import (
    ClassSpec,
    Deployment,
    ModelSpec,
    PoolSpec,
    TenantSpec,
    WorkKind,
)
from berylquay.decisions.fleet import Role
from berylquay.operators.generated import berylquay_pb2 as pb

_KIND_TO_PROTO: Final = {
    WorkKind.GENERATION: pb.WORK_KIND_GENERATION,
    WorkKind.SERVICE_CALL: pb.WORK_KIND_SERVICE_CALL,
}
_ROLE_TO_PROTO: Final = {
    Role.PREFILL: pb.ROLE_PREFILL,
    Role.DECODE: pb.ROLE_DECODE,
    Role.MIXED: pb.ROLE_MIXED,
}
_STATUS_TO_PROTO: Final = {
    ChangeStatus.ACCEPTED: pb.CHANGE_STATUS_ACCEPTED,
    ChangeStatus.CONFLICT: pb.CHANGE_STATUS_CONFLICT,
    ChangeStatus.INVALID: pb.CHANGE_STATUS_INVALID,
    ChangeStatus.REFUSED: pb.CHANGE_STATUS_REFUSED,
    ChangeStatus.UNKNOWN: pb.CHANGE_STATUS_UNKNOWN,
}
_KIND_FROM_PROTO: Final = {number: kind for kind, number in _KIND_TO_PROTO.items()}
_ROLE_FROM_PROTO: Final = {number: role for role, number in _ROLE_TO_PROTO.items()}
_STATUS_FROM_PROTO: Final[dict[int, ChangeStatus]] = {
    number: status for status, number in _STATUS_TO_PROTO.items()
}


def deployment_to_proto(deployment: Deployment) -> pb.Deployment:
    """Returns the protobuf message of the deployment."""
    return pb.Deployment(
        name=deployment.name,
        models=[
            pb.Model(name=item.name, version=item.version, adapters=item.adapters)
            for item in deployment.models
        ],
        pools=[_pool_to_proto(item) for item in deployment.pools],
        classes=[_class_to_proto(item) for item in deployment.classes],
        tenants=[pb.Tenant(name=item.name, share=item.share) for item in deployment.tenants],
        role_change_weight=deployment.role_change_weight,
        role_changes_per_hour=deployment.role_changes_per_hour,
    )


def deployment_from_proto(message: pb.Deployment) -> Deployment:
    """Returns the deployment in the message.

    Raises:
        ValueError: A role is unknown, or a class's kind is missing or unknown.
    """
    return Deployment(
        name=message.name,
        models=tuple(
            ModelSpec(item.name, item.version, tuple(item.adapters)) for item in message.models
        ),
        pools=tuple(_pool_from_proto(item) for item in message.pools),
        classes=tuple(_class_from_proto(item) for item in message.classes),
        tenants=tuple(TenantSpec(item.name, item.share) for item in message.tenants),
        role_change_weight=message.role_change_weight,
        role_changes_per_hour=message.role_changes_per_hour,
    )


def outcome_to_proto(outcome: ChangeOutcome) -> pb.ChangeReply:
    """Returns the reply to a change."""
    return pb.ChangeReply(
        change_id=outcome.change_id,
        status=_STATUS_TO_PROTO[outcome.status],
        revision=outcome.revision,
        winner=last_change_to_proto(outcome.winner) if outcome.winner else None,
        detail=outcome.detail,
    )


def status_from_proto(number: int) -> ChangeStatus:
    """Returns the status of a change, or UNKNOWN for a number that this version does not know."""
    return _STATUS_FROM_PROTO.get(number, ChangeStatus.UNKNOWN)


def last_change_to_proto(last_change: LastChange) -> pb.LastChange:
    """Returns the protobuf message of the last change of a deployment or drain."""
    return pb.LastChange(
        revision=last_change.revision, change_id=last_change.change_id, author=last_change.author
    )


def _pool_to_proto(pool: PoolSpec) -> pb.Pool:
    return pb.Pool(
        name=pool.name,
        models=pool.models,
        min_per_role=pool.min_per_role,
        roles=[_ROLE_TO_PROTO[role] for role in pool.roles],
    )


def _pool_from_proto(message: pb.Pool) -> PoolSpec:
    roles = [_ROLE_FROM_PROTO.get(number) for number in message.roles]
    known_roles = tuple(role for role in roles if role is not None)
    if len(known_roles) != len(roles):
        raise ValueError(f"pool {message.name} has an unknown role")
    return PoolSpec(message.name, tuple(message.models), message.min_per_role, known_roles)


def _class_to_proto(spec: ClassSpec) -> pb.RequestClass:
    return pb.RequestClass(
        name=spec.name,
        kind=_KIND_TO_PROTO[spec.kind],
        pool=spec.pool,
        priority=spec.priority,
        deadline_s=spec.deadline_s,
        repeatable=spec.repeatable,
        max_output_tokens=spec.max_output_tokens,
        expected_output_tokens=spec.expected_output_tokens,
    )


def _class_from_proto(message: pb.RequestClass) -> ClassSpec:
    kind = _KIND_FROM_PROTO.get(message.kind)
    if kind is None:
        raise ValueError(f"class {message.name} has no kind")
    return ClassSpec(
        name=message.name,
        kind=kind,
        pool=message.pool,
        priority=message.priority,
        deadline_s=message.deadline_s,
        repeatable=message.repeatable,
        max_output_tokens=message.max_output_tokens,
        expected_output_tokens=message.expected_output_tokens,
    )

"""The JSON form of deployments, as the log's records and the snapshots carry them.

Keys that this version does not know are passed over and missing keys get their defaults, so that
hosts of neighbouring versions read each other's records.
"""

from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any, TypeVar

import attrs

from berylquay.decisions.deployment import (
    ClassSpec,
    Deployment,
    ModelSpec,
    PoolSpec,
    TenantSpec,
    WorkKind,
)
from berylquay.decisions.fleet import Role

T = TypeVar("T")
Plain = Mapping[str, Any]


def deployment_to_json(deployment: Deployment) -> dict[str, object]:
    """Returns the deployment as values that JSON can carry."""
    return attrs.asdict(deployment, value_serializer=_serialize)


def deployment_from_json(value: Plain) -> Deployment:
    """Returns the deployment; raises ValueError, TypeError or KeyError if it is malformed."""
    known = _known_fields(Deployment, value)
    known["models"] = _parse_all(value.get("models", ()), _model)
    known["pools"] = _parse_all(value.get("pools", ()), _pool)
    known["classes"] = _parse_all(value.get("classes", ()), _class)
    known["tenants"] = _parse_all(value.get("tenants", ()), _tenant)
    deployment = Deployment(**known)
    if not isinstance(deployment.name, str) or not deployment.name:
        raise ValueError("a deployment needs a name")
    return deployment


def _serialize(instance: object, attribute: object, value: object) -> object:
    return value.value if isinstance(value, Enum) else value


def _known_fields(kind: type[attrs.AttrsInstance], value: Plain) -> dict[str, Any]:
    names = {attribute.name for attribute in attrs.fields(kind)}
    return {name: item for name, item in value.items() if name in names}


def _parse_all(items: Any, parse: Callable[[Plain], T]) -> tuple[T, ...]:
    return tuple(parse(item) for item in items)


def _model(value: Plain) -> ModelSpec:
    known = _known_fields(ModelSpec, value)
    known["adapters"] = tuple(value.get("adapters", ()))
    return ModelSpec(**known)


def _pool(value: Plain) -> PoolSpec:
    known = _known_fields(PoolSpec, value)
    known["models"] = tuple(value.get("models", ()))
    known["roles"] = tuple(Role(role) for role in value.get("roles", (Role.MIXED.value,)))
    return PoolSpec(**known)


def _class(value: Plain) -> ClassSpec:
    known = _known_fields(ClassSpec, value)
    known["kind"] = WorkKind(value["kind"])
    return ClassSpec(**known)


def _tenant(value: Plain) -> TenantSpec:
    return TenantSpec(**_known_fields(TenantSpec, value))

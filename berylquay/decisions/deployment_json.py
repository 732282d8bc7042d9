"""JSON encoding of deployments in log records and snapshots.

Unknown keys are ignored and missing keys get their defaults, so that hosts of adjacent versions can
read each other's records.
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
JsonObject = Mapping[str, Any]


def deployment_to_json(deployment: Deployment) -> dict[str, object]:
    """Returns the deployment as JSON-serialisable values."""
    return attrs.asdict(deployment, value_serializer=_serialize_enum)


def deployment_from_json(value: JsonObject) -> Deployment:
    """Returns the deployment in a JSON object.

    Raises:
        ValueError, TypeError or KeyError: If the object is malformed.
    """
    field_values = _known_fields(Deployment, value)
    field_values["models"] = _parse_all(value.get("models", ()), _model_from_json)
    field_values["pools"] = _parse_all(value.get("pools", ()), _pool_from_json)
    field_values["classes"] = _parse_all(value.get("classes", ()), _class_from_json)
    field_values["tenants"] = _parse_all(value.get("tenants", ()), _tenant_from_json)
    deployment = Deployment(**field_values)
    if not isinstance(deployment.name, str) or not deployment.name:
        raise ValueError("a deployment needs a name")
    return deployment


def _serialize_enum(instance: object, attribute: object, value: object) -> object:
    return value.value if isinstance(value, Enum) else value


def _known_fields(spec_type: type[attrs.AttrsInstance], value: JsonObject) -> dict[str, Any]:
    names = {attribute.name for attribute in attrs.fields(spec_type)}
    return {name: item for name, item in value.items() if name in names}


def _parse_all(items: Any, parse: Callable[[JsonObject], T]) -> tuple[T, ...]:
    return tuple(parse(item) for item in items)


def _model_from_json(value: JsonObject) -> ModelSpec:
    field_values = _known_fields(ModelSpec, value)
    field_values["adapters"] = tuple(value.get("adapters", ()))
    return ModelSpec(**field_values)


def _pool_from_json(value: JsonObject) -> PoolSpec:
    field_values = _known_fields(PoolSpec, value)
    field_values["models"] = tuple(value.get("models", ()))
    field_values["roles"] = tuple(Role(role) for role in value.get("roles", (Role.MIXED.value,)))
    return PoolSpec(**field_values)


def _class_from_json(value: JsonObject) -> ClassSpec:
    field_values = _known_fields(ClassSpec, value)
    field_values["kind"] = WorkKind(value["kind"])
    return ClassSpec(**field_values)


def _tenant_from_json(value: JsonObject) -> TenantSpec:
    return TenantSpec(**_known_fields(TenantSpec, value))

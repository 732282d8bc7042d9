"""Decodes the operator's JSON configuration into a route table."""

import json
import secrets
from collections.abc import Mapping
from typing import Final

from returns.result import Failure, Result, Success

from berylquay.decisions.route_table import (
    LOWEST_RANK,
    CallerRequestLimits,
    EngineProperties,
    Pool,
    RepeatRule,
    Route,
    RouteTable,
    ScalingProperties,
    WeightedPool,
    make_route_table,
)
from berylquay.decisions.tenants.keys import Tenant, TenantKeys

KIND_STREAMING: Final = "streaming"
KIND_IDEMPOTENT: Final = "idempotent"

# Of this process only, so that no digest of a key can be compared with that of another process.
_KEY_DIGEST_SECRET: Final = secrets.token_bytes(32)

JsonObject = Mapping[str, object]


class FieldError(ValueError):
    """A field that is missing or has the wrong type."""


def decode_configuration(data: bytes) -> Result[RouteTable, str]:
    """Returns the route table, or why the bytes are not a valid configuration."""
    try:
        fields = _require_object(json.loads(data), "the configuration")
        return Success(
            make_route_table(
                _version_field(fields),
                [
                    _decode_route(_require_object(item, "a route"))
                    for item in _list_field(fields, "routes")
                ],
                [
                    _decode_pool(_require_object(item, "a service"))
                    for item in _list_field(fields, "services")
                ],
                _decode_caller_limits(_optional_object(fields, "limits")),
                _decode_tenants(fields),
            )
        )
    except (ValueError, OverflowError, RecursionError) as error:
        return Failure(str(error))


def _decode_tenants(fields: JsonObject) -> TenantKeys | None:
    """Returns the tenants' keys, or None without the field `tenants`.

    An empty list is no absence of tenants: it refuses every key. No error names a key.
    """
    if "tenants" not in fields:
        return None
    items = [_require_object(item, "a tenant") for item in _list_field(fields, "tenants")]
    tenants = [(_decode_tenant(item), _decode_keys(item)) for item in items]
    names: set[str] = set()
    for tenant, _keys in tenants:
        if tenant.name in names:
            raise FieldError(f"several tenants are named {tenant.name!r}")
        names.add(tenant.name)
    return TenantKeys(tenants, _KEY_DIGEST_SECRET)


def _decode_tenant(fields: JsonObject) -> Tenant:
    name = _text_field(fields, "name")
    # Servers receive the name as the value of a header.
    if not name or name != name.strip() or not name.isascii() or not name.isprintable():
        raise FieldError(f"the tenant's name {name!r} is not a valid header value")
    if fields.get("priority") is None:
        return Tenant(name)
    priority = _number_field(fields, "priority")
    if not priority.is_integer():
        raise FieldError(f"the priority of tenant {name!r} is not a whole number")
    return Tenant(name, _clamp_rank(int(priority)))


def _decode_keys(fields: JsonObject) -> list[str]:
    keys = []
    for key in _list_field(fields, "apiKeys"):
        # Callers can send no other key in the field `Authorization`.
        if not isinstance(key, str) or not key or not key.isascii() or not key.isprintable():
            raise FieldError(f"tenant {fields.get('name')!r} has a key that is not valid")
        if " " in key:
            raise FieldError(f"tenant {fields.get('name')!r} has a key with a space")
        keys.append(key)
    return keys


def _decode_route(fields: JsonObject) -> Route:
    kind = _text_field(fields, "kind")
    resumable = fields.get("resumable") is True
    repeatable = kind == KIND_IDEMPOTENT or (kind == KIND_STREAMING and resumable)
    objective_ms = _number_field(fields, "goalMs", 0.0)
    timeout_ms = _number_field(fields, "timeoutMs")
    return Route(
        name=_text_field(fields, "name"),
        host=_text_field(fields, "host").lower(),
        path_prefix=_text_field(fields, "pathPrefix"),
        weighted_pools=_decode_weighted_pools(fields),
        repeat=RepeatRule.REPEATABLE if repeatable else RepeatRule.AT_MOST_ONCE,
        streaming=kind == KIND_STREAMING,
        resumable=resumable,
        max_attempts=max(1, _integer_field(fields, "maxAttempts", 1)),
        timeout_s=timeout_ms / 1000.0,
        objective_s=(objective_ms or timeout_ms) / 1000.0,
        max_event_gap_s=_number_field(fields, "gapTargetMs", 0.0) / 1000.0,
        rank=_clamp_rank(_integer_field(fields, "priority", LOWEST_RANK)),
        keyless=fields.get("keyless") is True,
    )


def _clamp_rank(priority: int) -> int:
    return min(LOWEST_RANK, max(0, priority))


def _decode_weighted_pools(fields: JsonObject) -> tuple[WeightedPool, ...]:
    # A route names one service, or a list of weighted services under the key "backends".
    weighted = fields.get("backends")
    if not weighted:
        return (WeightedPool(_text_field(fields, "service"), 1.0),)
    weighted_services = [
        _require_object(item, "a weighted service") for item in _list_field(fields, "backends")
    ]
    return tuple(
        WeightedPool(_text_field(item, "service"), _number_field(item, "weight"))
        for item in weighted_services
    )


def _decode_pool(fields: JsonObject) -> Pool:
    engine, scaling = fields.get("engine"), fields.get("scaling")
    return Pool(
        name=_text_field(fields, "name"),
        max_connections=_integer_field(fields, "maxConns", 0),
        engine_properties=(
            None if not engine else _decode_engine_properties(_require_object(engine, "engine"))
        ),
        scaling=None if not scaling else _decode_scaling(_require_object(scaling, "scaling")),
        health_path=_health_path(fields),
    )


def _health_path(fields: JsonObject) -> str:
    """Returns the path of health checks; empty if it is missing or can't be requested."""
    path = fields.get("healthPath")
    if not isinstance(path, str) or not path.startswith("/"):
        return ""
    return path if path.isascii() and path.isprintable() and " " not in path else ""


def _decode_scaling(fields: JsonObject) -> ScalingProperties:
    prices = _optional_object(fields, "zonePrices")
    scaling = ScalingProperties(
        min_servers=_integer_field(fields, "min", 0),
        max_servers=_integer_field(fields, "max"),
        boot_s=_number_field(fields, "bootS", 0.0),
        spot_price=_number_field(fields, "spotPrice", 1.0),
        prices={data_centre: _number_field(prices, data_centre) for data_centre in prices},
    )
    if not 0 <= scaling.min_servers <= scaling.max_servers:
        raise FieldError("scaling needs 0 <= min <= max")
    if min((scaling.boot_s, scaling.spot_price, *scaling.prices.values())) < 0.0:
        raise FieldError("scaling has a negative time or price")
    return scaling


def _decode_engine_properties(fields: JsonObject) -> EngineProperties:
    return EngineProperties(
        slots=_integer_field(fields, "slots"),
        kv_cache_tokens=_integer_field(fields, "kvCapTokens"),
        kv_bytes_per_token=_integer_field(fields, "kvTokenBytes", 0),
        link_mbps=_number_field(fields, "linkMbps", 0.0),
        kv_handle_ttl_s=_number_field(fields, "handleTtlS", 0.0),
        role_change_s=_number_field(fields, "roleSwitchS", 0.0),
    )


def _decode_caller_limits(fields: JsonObject) -> CallerRequestLimits:
    defaults = CallerRequestLimits()
    return CallerRequestLimits(
        max_header_bytes=_integer_field(fields, "maxHeaderBytes", defaults.max_header_bytes),
        max_body_bytes=_integer_field(fields, "maxBodyBytes", defaults.max_body_bytes),
        header_timeout_s=_number_field(fields, "headerTimeoutMs", defaults.header_timeout_s * 1e3)
        / 1e3,
        idle_timeout_s=_number_field(fields, "idleTimeoutMs", defaults.idle_timeout_s * 1e3) / 1e3,
    )


def _require_object(value: object, description: str) -> JsonObject:
    if not isinstance(value, dict):
        raise FieldError(f"{description} is not an object")
    return value


def _optional_object(fields: JsonObject, name: str) -> JsonObject:
    """Returns an object, empty if the field is missing or null."""
    value = fields.get(name)
    return {} if value is None else _require_object(value, name)


def _list_field(fields: JsonObject, name: str) -> list[object]:
    value = fields.get(name)
    if not isinstance(value, list):
        raise FieldError(f"{name} is not a list")
    return value


def _text_field(fields: JsonObject, name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str):
        raise FieldError(f"{name} is not a string")
    return value


def _version_field(fields: JsonObject) -> int:
    """Returns the version, exactly: a float can't tell large versions apart."""
    value = fields.get("version")
    if isinstance(value, float) and value.is_integer():
        return int(value)
    if isinstance(value, bool) or not isinstance(value, int):
        raise FieldError("version is not a whole number")
    return value


def _number_field(fields: JsonObject, name: str, default: float | None = None) -> float:
    """Returns a number; a field that is null counts as missing."""
    value = fields.get(name)
    if value is None:
        value = default
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise FieldError(f"{name} is not a number")
    return float(value)


def _integer_field(fields: JsonObject, name: str, default: int | None = None) -> int:
    return int(_number_field(fields, name, default))

"""The operator's configuration: JSON of the platform to a route table."""

import json
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
    WeightedPool,
    make_route_table,
)

STREAMING: Final = "streaming"
IDEMPOTENT: Final = "idempotent"

Fields = Mapping[str, object]


class FieldError(ValueError):
    """A field that is missing or of another type."""


def decode_configuration(data: bytes) -> Result[RouteTable, str]:
    """Returns the route table, or why the bytes are no configuration."""
    try:
        fields = _mapping(json.loads(data), "the configuration")
        return Success(
            make_route_table(
                _integer(fields, "version"),
                [_decode_route(_mapping(item, "a route")) for item in _items(fields, "routes")],
                [_decode_pool(_mapping(item, "a service")) for item in _items(fields, "services")],
                _decode_bounds(_mapping(fields.get("limits", {}), "limits")),
            )
        )
    except (ValueError, RecursionError) as error:
        return Failure(str(error))


def _decode_route(fields: Fields) -> Route:
    kind = _text(fields, "kind")
    resumable = fields.get("resumable") is True
    repeatable = kind == IDEMPOTENT or (kind == STREAMING and resumable)
    objective_ms = _number(fields, "goalMs", 0.0)
    timeout_ms = _number(fields, "timeoutMs")
    return Route(
        name=_text(fields, "name"),
        host=_text(fields, "host").lower(),
        path_prefix=_text(fields, "pathPrefix"),
        weighted_pools=_decode_shares(fields),
        repeat=RepeatRule.REPEATABLE if repeatable else RepeatRule.AT_MOST_ONCE,
        streaming=kind == STREAMING,
        resumable=resumable,
        max_attempts=max(1, _integer(fields, "maxAttempts", 1)),
        timeout_s=timeout_ms / 1000.0,
        objective_s=(objective_ms or timeout_ms) / 1000.0,
        max_event_gap_s=_number(fields, "gapTargetMs", 0.0) / 1000.0,
        rank=min(LOWEST_RANK, max(0, _integer(fields, "priority", LOWEST_RANK))),
    )


def _decode_shares(fields: Fields) -> tuple[WeightedPool, ...]:
    # A route names one service, or a list of what it calls back ends: services with weights.
    weighted = fields.get("backends")
    if not weighted:
        return (WeightedPool(_text(fields, "service"), 1.0),)
    shares = [_mapping(item, "a weighted service") for item in _items(fields, "backends")]
    return tuple(WeightedPool(_text(item, "service"), _number(item, "weight")) for item in shares)


def _decode_pool(fields: Fields) -> Pool:
    engine = fields.get("engine")
    return Pool(
        name=_text(fields, "name"),
        max_connections=_integer(fields, "maxConns", 0),
        engine_properties=None if not engine else _decode_engines(_mapping(engine, "engine")),
    )


def _decode_engines(fields: Fields) -> EngineProperties:
    return EngineProperties(
        slots=_integer(fields, "slots"),
        kv_cache_tokens=_integer(fields, "kvCapTokens"),
        kv_bytes_per_token=_integer(fields, "kvTokenBytes", 0),
        link_mbps=_number(fields, "linkMbps", 0.0),
        kv_handle_ttl_s=_number(fields, "handleTtlS", 0.0),
        role_change_s=_number(fields, "roleSwitchS", 0.0),
    )


def _decode_bounds(fields: Fields) -> CallerRequestLimits:
    usual = CallerRequestLimits()
    return CallerRequestLimits(
        max_header_bytes=_integer(fields, "maxHeaderBytes", usual.max_header_bytes),
        max_body_bytes=_integer(fields, "maxBodyBytes", usual.max_body_bytes),
        header_timeout_s=_number(fields, "headerTimeoutMs", usual.header_timeout_s * 1e3) / 1e3,
        idle_timeout_s=_number(fields, "idleTimeoutMs", usual.idle_timeout_s * 1e3) / 1e3,
    )


def _mapping(value: object, what: str) -> Fields:
    if not isinstance(value, dict):
        raise FieldError(f"{what} is no object")
    return value


def _items(fields: Fields, name: str) -> list[object]:
    value = fields.get(name)
    if not isinstance(value, list):
        raise FieldError(f"{name} is no list")
    return value


def _text(fields: Fields, name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str):
        raise FieldError(f"{name} is no text")
    return value


def _number(fields: Fields, name: str, default: float | None = None) -> float:
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise FieldError(f"{name} is no number")
    return float(value)


def _integer(fields: Fields, name: str, default: int | None = None) -> int:
    return int(_number(fields, name, default))

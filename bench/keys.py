"""Processor time of the check of a caller's key, by number of tenants."""

import json
import secrets
import time
from collections.abc import Callable
from typing import Final, TypeVar

from attrs import frozen

from berylquay.decisions.store_era import StoreEra
from berylquay.net.persistent_http import Headers
from berylquay.relay.caller_authentication import CallerAuthenticator, CallerIdentity
from berylquay.relay.store_views import ConfigurationView

TENANT_COUNTS: Final = (1, 82, 4900)
KEYS_PER_TENANT: Final = 2
KEY_BYTES: Final = 16
REPEATS: Final = 20_000
ROUNDS: Final = 5
ROUTE: Final = {"name": "r", "host": "h", "pathPrefix": "/", "kind": "idempotent"}
US_PER_S: Final = 1e6
MS_PER_S: Final = 1e3
T = TypeVar("T")


@frozen
class KeyCost:
    """What the check costs with a number of tenants."""

    tenants: int
    # Look-up of a known key and of an unknown one.
    find_us: float
    find_unknown_us: float
    # Whole check of a request with ten header fields.
    identify_us: float
    # Decoding of the configuration, which blocks the process once a version.
    decode_ms: float


def measure_key_costs() -> list[KeyCost]:
    """Returns the costs for each number of tenants; the best of several rounds."""
    return [_measure(count) for count in TENANT_COUNTS]


def _measure(count: int) -> KeyCost:
    keys = [secrets.token_hex(KEY_BYTES) for _ in range(count * KEYS_PER_TENANT)]
    tenants = [
        {"name": f"tenant{n}", "apiKeys": keys[n * KEYS_PER_TENANT : (n + 1) * KEYS_PER_TENANT]}
        for n in range(count)
    ]
    route = {**ROUTE, "timeoutMs": 1000, "service": "s"}
    fields = {"version": 1, "routes": [route], "services": [], "tenants": tenants}
    data = json.dumps(fields).encode()
    view = ConfigurationView(lambda _table: None, StoreEra())
    began_s = time.perf_counter()
    view.on_snapshot({"config": data}, 0.0)
    decode_s = time.perf_counter() - began_s
    table = view.table
    if table is None or table.tenant_keys is None:
        raise AssertionError("the configuration was refused")
    matched = table.match("h", "/")
    if matched is None:
        raise AssertionError("there is no route")
    find = table.tenant_keys.find
    known = [key.encode() for key in keys]
    unknown = [secrets.token_hex(KEY_BYTES).encode() for _ in range(len(keys))]
    now_s = time.monotonic()
    authenticator = CallerAuthenticator(view, lambda: now_s, 2.5)
    requests = [_make_headers(key) for key in known]

    def identify(headers: Headers) -> None:
        if not isinstance(authenticator.identify(matched, headers, now_s), CallerIdentity):
            raise AssertionError("a key was refused")

    return KeyCost(
        count,
        _time_us(find, known),
        _time_us(find, unknown),
        _time_us(identify, requests),
        decode_s * MS_PER_S,
    )


def _make_headers(key: bytes) -> Headers:
    others = [(f"x-field-{number}".encode(), b"value") for number in range(9)]
    return [*others, (b"authorization", b"Bearer " + key)]


def _time_us(check: Callable[[T], object], items: list[T]) -> float:
    best_s = float("inf")
    inputs = [items[number % len(items)] for number in range(REPEATS)]
    for _ in range(ROUNDS):
        began_s = time.perf_counter()
        for item in inputs:
            check(item)
        best_s = min(best_s, time.perf_counter() - began_s)
    return best_s / REPEATS * US_PER_S

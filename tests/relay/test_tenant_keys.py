"""Keys of tenants without a network: decoding, and the headers that servers get."""

import json
from typing import Final

import pytest
from returns.result import Failure

from berylquay.decisions.relay_call import RelayCall
from berylquay.decisions.route_table import Pool, RouteTable
from berylquay.decisions.tenants.keys import KeyFault, Tenant
from berylquay.net.persistent_http import Headers
from berylquay.platform.request_codec import (
    RunDetails,
    decode_caller_key,
    encode_prefill_request,
    encode_run_request,
)
from berylquay.platform.route_configuration import decode_configuration
from tests.support.relay_fleet import HOST_NAME, PATHS, make_configuration

KEY: Final = "m82tSecret"
TENANTS: Final = [
    {"name": "hule930", "apiKeys": [KEY, "y5rcSecret"], "priority": 1},
    {"name": "fida11", "apiKeys": ["q1"]},
]


def decode(tenants: object) -> RouteTable:
    return decode_configuration(json.dumps(make_configuration(tenants=tenants)).encode()).unwrap()


def test_a_key_identifies_its_tenant() -> None:
    keys = decode(TENANTS).tenant_keys
    assert keys is not None
    assert keys.find(KEY.encode()) == keys.find(b"y5rcSecret") == Tenant("hule930", 1)
    assert keys.find(b"q1") == Tenant("fida11", None)
    assert (keys.tenant_count, keys.key_count) == (2, 3)
    for unknown in (b"", KEY[:-1].encode(), KEY.lower().encode(), b"hule930", b"\xff"):
        assert keys.find(unknown) is None


# Guards against a configuration without tenants that refuses requests, and against one whose last
# tenant was removed and that serves them without a key.
def test_no_tenants_and_an_empty_list_differ() -> None:
    table = decode_configuration(json.dumps(make_configuration()).encode()).unwrap()
    assert table.tenant_keys is None
    assert decode([]).tenant_keys is not None


# Guards against a part of a faulty list that comes into force, and against a key in the log line.
@pytest.mark.parametrize(
    "tenants",
    [
        None,
        {},
        "hule930",
        [1],
        [{"name": "", "apiKeys": [KEY]}],
        [{"apiKeys": [KEY]}],
        [{"name": 5, "apiKeys": [KEY]}],
        [{"name": "a\r\nEvil: 1", "apiKeys": [KEY]}],
        [{"name": "a\x00", "apiKeys": [KEY]}],
        [{"name": " a", "apiKeys": [KEY]}],
        [{"name": "ü", "apiKeys": [KEY]}],
        [{"name": "a"}],
        [{"name": "a", "apiKeys": KEY}],
        [{"name": "a", "apiKeys": [KEY, 5]}],
        [{"name": "a", "apiKeys": [""]}],
        [{"name": "a", "apiKeys": [KEY + " " + KEY]}],
        [{"name": "a", "apiKeys": [KEY + "\n"]}],
        [{"name": "a", "apiKeys": [KEY], "priority": "1"}],
        [{"name": "a", "apiKeys": [KEY], "priority": True}],
        [{"name": "a", "apiKeys": [KEY], "priority": 1.5}],
        [{"name": "a", "apiKeys": [KEY], "priority": 1e999}],
        [{"name": "a", "apiKeys": [KEY]}, {"name": "a", "apiKeys": []}],
        [{"name": "a", "apiKeys": [KEY]}, {"name": "b", "apiKeys": [KEY]}],
    ],
)
def test_malformed_tenants_refuse_the_whole_version(tenants: object) -> None:
    decoded = decode_configuration(json.dumps(make_configuration(tenants=tenants)).encode())
    assert isinstance(decoded, Failure)
    assert KEY not in decoded.failure()


def test_the_text_of_a_table_has_no_key() -> None:
    table = decode(TENANTS)
    assert "Secret" not in repr(table) + str(table) + repr(vars(table.tenant_keys))


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([b"Bearer abc"], b"abc"),
        ([b"bEARER   abc"], b"abc"),
        ([], KeyFault.MISSING),
        ([b""], KeyFault.EMPTY),
        ([b"Bearer"], KeyFault.EMPTY),
        ([b"Bearer  "], KeyFault.EMPTY),
        ([b"abc"], KeyFault.SCHEME),
        ([b"Basic abc"], KeyFault.SCHEME),
        ([b"Bearer a b"], KeyFault.SEVERAL),
        ([b"Bearer a, Bearer b"], KeyFault.SEVERAL),
        ([b"Bearer a", b"Bearer a"], KeyFault.SEVERAL),
        ([b"Bearer a", b"Basic b"], KeyFault.SEVERAL),
        ([b"Bearer a", b""], KeyFault.SEVERAL),
    ],
)
def test_exactly_one_key_is_accepted(values: list[bytes], expected: bytes | KeyFault) -> None:
    assert decode_caller_key([(b"authorization", value) for value in values]) == expected


CALLER_HEADERS: Final[Headers] = [
    (b"host", HOST_NAME.encode()),
    (b"connection", b"Authorization, tenant, attempt-id"),
    (b"authorization", b"Bearer m82tSecret"),
    (b"tenant", b"mallory"),
    (b"authorization", b"Basic x"),
    (b"tenant", b"mallory-2"),
    (b"attempt-id", b"id"),
]


# Guards against a key that reaches a server, and against a tenant that the caller has chosen.
@pytest.mark.parametrize("tenant", ["hule930", None])
@pytest.mark.parametrize("encode", [encode_run_request, encode_prefill_request])
def test_servers_get_the_tenant_and_not_the_key(encode: object, tenant: str | None) -> None:
    details = RunDetails("s", 1.0, last_event_id=3, hides_key=True, tenant=tenant)
    request = encode(b"POST", b"/", CALLER_HEADERS, b"", details)  # type: ignore[operator]
    names = [name for name, _ in request.headers]
    assert b"authorization" not in names
    expected = [] if tenant is None else [tenant.encode()]
    assert [value for name, value in request.headers if name == b"tenant"] == expected
    assert (b"attempt-id", b"id") in request.headers


# Guards against changed bytes where the configuration has no tenants.
def test_without_tenants_the_headers_pass() -> None:
    headers = [header for header in CALLER_HEADERS if header[0] != b"connection"]
    request = encode_run_request(b"POST", b"/", headers, b"", RunDetails("s", 1.0))
    assert request.headers[: len(headers)] == headers


def test_the_rank_of_the_tenant_takes_precedence() -> None:
    route = decode(TENANTS).match(HOST_NAME, PATHS["once"])
    assert route is not None
    call = RelayCall("id", route, Pool("app", 100), 0.0, 8.0, False, "content")
    assert call.rank == route.rank == 1
    call.tenant_rank = 0
    assert call.rank == 0

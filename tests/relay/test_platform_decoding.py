"""Decoding of the platform's records and headers, and rejection of malformed ones."""

import json
from collections.abc import Callable
from typing import Any

import pytest
from returns.result import Failure, Success

from berylquay.decisions.backend_registry import EntryState
from berylquay.decisions.fleet import Address, Role
from berylquay.decisions.relay_call import PromptSegment
from berylquay.decisions.route_table import RepeatRule
from berylquay.net.persistent_http import RawResponseHead
from berylquay.platform.backend_entries import decode_backend_entry
from berylquay.platform.request_codec import (
    KVCacheHandle,
    RunDetails,
    decode_accepted_order_count,
    decode_kv_cache_handle,
    decode_request_metadata,
    encode_prefill_request,
    encode_run_request,
    forwarded_headers,
    is_declared_not_executed,
)
from berylquay.platform.route_configuration import decode_configuration
from berylquay.platform.store_client import decode_keyed_record, encode_keyed_record
from tests.support.relay_fleet import HOST_NAME, PATHS, make_configuration

ENTRY = {
    "service": "lm",
    "address": "10.0.0.1:80",
    "zone": "fes-a",
    "version": "v1.2",
    "slots": 4,
    "state": "draining",
    "coldLeftMs": 0,
    "phase": "decode",
    "seq": 7,
    "born": 12,
}


def test_an_entry_is_decoded_with_its_recency_key() -> None:
    entry = decode_backend_entry("i-1", json.dumps(ENTRY).encode()).unwrap()
    assert (entry.name, entry.pool, entry.address) == ("i-1", "lm", Address("10.0.0.1", 80))
    assert (entry.state, entry.role) == (EntryState.LEAVING, Role.DECODE)
    assert entry.recency_key == (12, 7)
    assert entry.software_version == "v1.2"


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\xfe",
        b"[1]",
        b"[" * 100_000,
        json.dumps({**ENTRY, "state": "resting"}).encode(),
        json.dumps({**ENTRY, "phase": "mixed"}).encode(),
        json.dumps({**ENTRY, "slots": "4"}).encode(),
        json.dumps({**ENTRY, "slots": True}).encode(),
        json.dumps({**ENTRY, "address": "10.0.0.1"}).encode(),
        json.dumps({**ENTRY, "address": "10.0.0.1:99999"}).encode(),
        json.dumps({**ENTRY, "version": 2}).encode(),
        json.dumps({**ENTRY, "seq": None}).encode(),
        json.dumps({**ENTRY, "coldLeftMs": "0"}).encode(),
        json.dumps({**ENTRY, "coldLeftMs": True}).encode(),
        json.dumps({**ENTRY, "coldLeftMs": -1}).encode(),
        json.dumps({**ENTRY, "born": "12"}).encode(),
        *(
            json.dumps({key: value for key, value in ENTRY.items() if key != missing}).encode()
            for missing in ("zone", "version", "coldLeftMs", "seq")
        ),
    ],
)
def test_a_malformed_entry_is_rejected(data: bytes) -> None:
    assert isinstance(decode_backend_entry("i-1", data), Failure)


# Guards against a server of an entry that states no start, as not all deployments' servers do, or
# a part of a millisecond, and that gets no requests.
@pytest.mark.parametrize("changes", [{"born": None}, {"coldLeftMs": 0.5}])
def test_an_entry_is_accepted(changes: dict[str, object]) -> None:
    fields = {key: value for key, value in {**ENTRY, **changes}.items() if value is not None}
    assert isinstance(decode_backend_entry("i-1", json.dumps(fields).encode()), Success)


def test_a_configuration_is_matched_by_host_and_path_prefix() -> None:
    table = decode_configuration(json.dumps(make_configuration(7)).encode()).unwrap()
    assert table.version == 7
    once = table.match(HOST_NAME.upper(), PATHS["once"] + "x")
    many = table.match(HOST_NAME, PATHS["many"])
    resumable = table.match(HOST_NAME, PATHS["resumable"])
    assert once is not None and many is not None and resumable is not None
    assert (once.repeat, many.repeat) == (RepeatRule.AT_MOST_ONCE, RepeatRule.REPEATABLE)
    assert resumable.repeatable and resumable.streaming
    assert (once.timeout_s, once.objective_s, resumable.max_event_gap_s) == (4.0, 0.4, 0.15)
    assert table.match(HOST_NAME, "/on") is None
    assert table.match("other.example", PATHS["once"]) is None


def test_the_longest_prefix_wins() -> None:
    configuration = make_configuration()
    routes = configuration["routes"]
    assert isinstance(routes, list)
    routes.append({**routes[2], "name": "deeper", "pathPrefix": PATHS["once"] + "deep/"})
    table = decode_configuration(json.dumps(configuration).encode()).unwrap()
    route = table.match(HOST_NAME, PATHS["once"] + "deep/x")
    assert route is not None and route.name == "deeper"


def _remove_routes(configuration: dict[str, object]) -> None:
    del configuration["routes"]


def _make_version_a_string(configuration: dict[str, object]) -> None:
    configuration["version"] = "7"


def _make_routes_numbers(configuration: dict[str, object]) -> None:
    configuration["routes"] = [1, 2]


@pytest.mark.parametrize("corrupt", [_remove_routes, _make_version_a_string, _make_routes_numbers])
def test_an_invalid_configuration_is_rejected(
    corrupt: Callable[[dict[str, object]], None],
) -> None:
    configuration = make_configuration()
    corrupt(configuration)
    assert isinstance(decode_configuration(json.dumps(configuration).encode()), Failure)


# Guards against an invalid configuration that is taken because a field of another type looks empty.
@pytest.mark.parametrize("value", [0, "", [], False])
def test_limits_of_another_type_are_refused(value: object) -> None:
    data = json.dumps(make_configuration(limits=value)).encode()
    assert isinstance(decode_configuration(data), Failure)


# Guards against a newer version that is taken for the one in force, as they differ by little.
def test_versions_that_no_float_can_tell_apart_are_different() -> None:
    versions = [2**53, 2**53 + 1, 10**18, 10**18 + 1]
    decoded = [
        decode_configuration(json.dumps(make_configuration(version)).encode()).unwrap().version
        for version in versions
    ]
    assert decoded == versions


# Guards against a configuration that stays out of force for good because of an optional field.
@pytest.mark.parametrize("place", ["routes", "services", "limits"])
def test_an_optional_field_that_is_null_counts_as_missing(place: str) -> None:
    configuration: dict[str, Any] = make_configuration()
    if place == "routes":
        names = ["goalMs", "priority", "maxAttempts", "gapTargetMs"]
        configuration["routes"][0].update(dict.fromkeys(names))
    elif place == "services":
        configuration["services"][0]["maxConns"] = None
        configuration["services"][0]["engine"].update(linkMbps=None, handleTtlS=None)
    else:
        configuration["limits"] = None
    table = decode_configuration(json.dumps(configuration).encode()).unwrap()
    assert table.match(HOST_NAME, PATHS["stream"]) is not None


@pytest.mark.parametrize(
    ("header", "expected"),
    [
        (b"aa:5,bb:6", (PromptSegment("aa", 5), PromptSegment("bb", 6))),
        (b"aa:5, bb:6", (PromptSegment("aa", 5), PromptSegment("bb", 6))),
        (b"aa:5,bad,bb:6", (PromptSegment("aa", 5),)),
        (b"", ()),
    ],
)
def test_prompt_segments(header: bytes, expected: tuple[PromptSegment, ...]) -> None:
    facts = decode_request_metadata([(b"token-counts", b"11,4"), (b"prompt-prefix", header)])
    assert facts.generation is not None
    assert facts.generation.segments == expected
    assert (facts.generation.prompt_tokens, facts.generation.max_output_tokens) == (11, 4)


def test_a_request_that_continues_a_stream_names_its_first_attempt() -> None:
    metadata = decode_request_metadata([(b"last-event-id", b"7"), (b"resumes", b"id-1")])
    assert (metadata.last_event_id, metadata.resumed_call_id) == (7, "id-1")
    assert decode_request_metadata([(b"last-event-id", b"x")]).resumed_call_id == ""


# Guards against a stream that goes on at another software version because its long event id counts
# as absent, so that the version at which it began is not looked up.
@pytest.mark.parametrize(("digits", "is_read"), [(19, True), (39, True), (40, False)])
def test_an_event_id_may_be_longer_than_a_count(digits: int, is_read: bool) -> None:
    metadata = decode_request_metadata([(b"last-event-id", b"9" * digits)])
    assert metadata.last_event_id == (10**digits - 1 if is_read else None)


@pytest.mark.parametrize("counts", [b"many,4", b"", b"-3,4"])
def test_malformed_token_counts_give_no_generation_request(counts: bytes) -> None:
    assert decode_request_metadata([(b"token-counts", counts)]).generation is None


def test_a_run_has_the_relays_headers_and_no_hop_by_hop_headers() -> None:
    headers = [
        (b"host", b"h"),
        (b"connection", b"keep-alive, x-hop"),
        (b"x-hop", b"1"),
        (b"x-own", b"2"),
        (b"deadline-ms", b"9999"),
        (b"kv-source", b"forged"),
        (b"transfer-encoding", b"chunked"),
    ]
    kv_cache_handle = KVCacheHandle("i-1", Address("10.0.0.9", 81), "abc", 5)
    details = RunDetails("i-2", 1.5, urgency=3, kv_cache_handle=kv_cache_handle, last_event_id=4)
    run = encode_run_request(b"POST", b"/p?q", headers, b"body", details)
    assert dict(run.headers) == {
        b"host": b"h",
        b"x-own": b"2",
        b"deadline-ms": b"1500",
        b"expect-instance": b"i-2",
        b"content-length": b"4",
        b"urgency-level": b"3",
        b"kv-source": b"10.0.0.9:81/abc",
        b"last-event-id": b"4",
    }
    prefill_details = RunDetails("i-1", 1.5, copy_source=Address("10.0.0.8", 82))
    prefill = encode_prefill_request(b"POST", b"/p?q", headers, b"body", prefill_details)
    assert dict(prefill.headers)[b"stage"] == b"prefill"
    assert dict(prefill.headers)[b"kv-fetch"] == b"10.0.0.8:82"


def test_hop_by_hop_headers_of_a_response_are_removed() -> None:
    headers = [
        (b"connection", b"close, x-hop"),
        (b"x-hop", b"1"),
        (b"keep-alive", b"timeout=5"),
        (b"server-seal", b"s"),
        (b"content-length", b"2"),
    ]
    head = RawResponseHead(200, b"OK", headers)
    assert forwarded_headers(head) == [(b"server-seal", b"s"), (b"content-length", b"2")]
    assert not is_declared_not_executed(head)
    assert is_declared_not_executed(RawResponseHead(503, b"", [(b"not-executed", b"1")]))


@pytest.mark.parametrize(
    "body", [b"", b"{}", b'{"kvHandle": 3}', b'{"kvHandle": "a/../b"}', b'["kvHandle"]']
)
def test_a_malformed_handle_is_rejected(body: bytes) -> None:
    assert isinstance(decode_kv_cache_handle("i-1", Address("10.0.0.1", 80), body), Failure)


@pytest.mark.parametrize(("body", "orders"), [(b'{"seq": 3}', 3), (b"{}", None), (b"x", None)])
def test_accepted_orders(body: bytes, orders: int | None) -> None:
    assert decode_accepted_order_count(body) == orders


def test_keyed_records_and_malformed_ones() -> None:
    record = decode_keyed_record(encode_keyed_record("key", b"value"))
    assert record is not None
    assert (record.key, record.value) == ("key", b"value")
    deletion = decode_keyed_record(encode_keyed_record("key", b""))
    assert deletion is not None and deletion.value is None
    assert decode_keyed_record(b"") is None
    assert decode_keyed_record(b"\x09abc") is None


SCALING = {"min": 1, "max": 15, "bootS": 4.0, "spotPrice": 0.18, "zonePrices": {"fes-a": 0.85}}


@pytest.mark.parametrize(
    "changes",
    [{"max": "15"}, {"max": 0}, {"spotPrice": -1}, {"zonePrices": {"fes-a": "0.85"}}],
)
def test_malformed_scaling_refuses_the_version(changes: dict[str, object]) -> None:
    """Guards against orders by limits or prices that were misread."""
    fields = make_configuration()
    services = [{"name": "lm", "maxConns": 1, "scaling": {**SCALING, **changes}}]
    decoded = decode_configuration(json.dumps({**fields, "services": services}).encode())
    assert isinstance(decoded, Failure)


def test_scaling_of_a_pool_is_decoded() -> None:
    fields = make_configuration()
    services = [{"name": "lm", "maxConns": 1, "scaling": SCALING}, {"name": "app", "maxConns": 1}]
    table = decode_configuration(json.dumps({**fields, "services": services}).encode()).unwrap()
    scaling = table.pools["lm"].scaling
    assert scaling is not None
    assert (scaling.min_servers, scaling.max_servers, scaling.boot_s) == (1, 15, 4.0)
    assert (scaling.spot_price, scaling.prices) == (0.18, {"fes-a": 0.85})
    assert table.pools["app"].scaling is None


def test_a_spot_server_and_the_time_until_it_is_reclaimed_are_decoded() -> None:
    """Guards against counting spot servers as on-demand ones."""
    plain = decode_backend_entry("i-1", json.dumps(ENTRY).encode()).unwrap()
    assert (plain.spot, plain.leaves_ms) == (False, None)
    fields = {**ENTRY, "spot": True, "leaves_ms": 2400}
    entry = decode_backend_entry("i-1", json.dumps(fields).encode()).unwrap()
    assert (entry.spot, entry.leaves_ms) == (True, 2400)

"""Codec for requests from callers and requests to backend servers, with the platform's headers."""

import json
from math import inf
from typing import Final

from attrs import frozen
from returns.result import Failure, Result, Success

from berylquay.decisions.fleet import Address, Role
from berylquay.decisions.relay_call import GenerationRequest, PromptSegment
from berylquay.decisions.response_end import InstanceStatement
from berylquay.decisions.server_notices import ServerNotice
from berylquay.decisions.tenants.keys import KeyFault
from berylquay.net.persistent_http import Headers, RawRequest, RawResponseHead
from berylquay.net.response_heads import is_success
from berylquay.platform import wire_names
from berylquay.whole_numbers import MAX_EVENT_ID_DIGITS, parse_whole_number

MS_PER_S: Final = 1000.0
STATUS_MISDIRECTED: Final = 421
STATUS_UNAVAILABLE: Final = 503
# Headers that apply to one connection only, and the content length, which is set again.
_HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
_IDENTITY_HEADERS: Final = frozenset({wire_names.AUTHORIZATION, wire_names.TENANT})
_KEY_SCHEME: Final = b"bearer"
_OVERWRITTEN_HEADERS: Final = frozenset({wire_names.DEADLINE_MS}) | wire_names.SYSTEM_HEADERS
JSON_HEADER: Final = (b"content-type", b"application/json")


@frozen
class RequestMetadata:
    """Metadata from the headers of a caller's request."""

    # Id of this attempt of the caller; empty if it sent none.
    call_id: str
    # Time that the caller will wait, or None if it did not say.
    deadline_s: float | None
    # Generation request, or None if the request is not for a language model.
    generation: GenerationRequest | None
    # Id of the newest event that the caller already has of a stream, or None.
    last_event_id: int | None
    # Id of the caller's attempt that brought the first event of the stream that this request
    # continues; empty if it does not say.
    resumed_call_id: str


@frozen
class KVCacheHandle:
    """The KV cache of a prompt that an engine has prefilled and retains for another engine."""

    # Name and address of the engine that retains the KV cache.
    engine: str
    address: Address
    # Id of the KV cache at that engine; valid for one use.
    handle: str
    # Length of the prompt; 0 if the engine did not say.
    prompt_tokens: int


@frozen
class EngineOrder:
    """An order to an engine to change its role."""

    role: Role
    # Name and fencing number of the holder of the authority.
    holder: str
    term: int
    # Number of orders that the engine must have accepted before this one.
    expected_orders: int


def decode_request_metadata(headers: Headers) -> RequestMetadata:
    """Returns the metadata in the headers; a value that can't be parsed counts as absent."""
    values = dict(headers)
    deadline_ms = parse_whole_number(values.get(wire_names.DEADLINE_MS))
    return RequestMetadata(
        call_id=values.get(wire_names.ATTEMPT_ID, b"").decode("latin-1"),
        deadline_s=None if deadline_ms is None else deadline_ms / MS_PER_S,
        generation=_decode_generation(values),
        last_event_id=parse_whole_number(values.get(wire_names.LAST_EVENT_ID), MAX_EVENT_ID_DIGITS),
        resumed_call_id=values.get(wire_names.RESUMES, b"").decode("latin-1"),
    )


def decode_caller_key(headers: Headers) -> bytes | KeyFault:
    """Returns the key in the headers of a caller's request, or why there is not exactly one."""
    values = [value for name, value in headers if name == wire_names.AUTHORIZATION]
    if not values:
        return KeyFault.MISSING
    if len(values) > 1:
        return KeyFault.SEVERAL
    scheme, _, key = values[0].partition(b" ")
    if not scheme:
        return KeyFault.EMPTY
    if scheme.lower() != _KEY_SCHEME:
        return KeyFault.SCHEME
    key = key.strip()
    if not key:
        return KeyFault.EMPTY
    return key if len(key.split()) == 1 else KeyFault.SEVERAL


def _decode_generation(values: dict[bytes, bytes]) -> GenerationRequest | None:
    counts = values.get(wire_names.TOKEN_COUNTS)
    if counts is None:
        return None
    prompt_text, _, output_text = counts.partition(b",")
    prompt_tokens = parse_whole_number(prompt_text)
    if prompt_tokens is None:
        return None
    segments = _decode_prompt_segments(values.get(wire_names.PROMPT_SEGMENTS, b""))
    model = values.get(wire_names.MODEL, b"").decode("latin-1")
    return GenerationRequest(model, prompt_tokens, parse_whole_number(output_text) or 0, segments)


def _decode_prompt_segments(text: bytes) -> tuple[PromptSegment, ...]:
    segments = []
    for item in text.split(b","):
        segment_id, _, tokens = item.strip().partition(b":")
        count = parse_whole_number(tokens)
        if not segment_id or count is None:
            # Segments after one that can't be parsed are not known to be shared.
            break
        segments.append(PromptSegment(segment_id.decode("latin-1"), count))
    return tuple(segments)


@frozen
class RunDetails:
    """Data that the system adds to a request for one backend server."""

    # Name of the backend server that must run the request.
    backend: str
    # Time that the backend server has for the request.
    remaining_s: float
    # Rank of the request in an engine's queue, or None for a plain service.
    urgency: int | None = None
    # KV cache that the engine fetches before it decodes, or None if it prefills the prompt itself.
    kv_cache_handle: KVCacheHandle | None = None
    # Id of the newest event that the caller has, if the stream of another run is continued.
    last_event_id: int | None = None
    # Engine from which cached prefix segments are copied before the rest of the prompt is
    # prefilled, or None.
    copy_source: Address | None = None
    # Whether the caller's key and its own `Tenant` are removed.
    hides_key: bool = False
    # Name of the caller's tenant, or None if it sent no key.
    tenant: str | None = None


def encode_run_request(
    method: bytes, target: bytes, headers: Headers, body: bytes, details: RunDetails
) -> RawRequest:
    """Returns the request to send to a backend server."""
    return RawRequest(method, target, _make_run_headers(headers, body, details), body)


def encode_prefill_request(
    method: bytes, target: bytes, headers: Headers, body: bytes, details: RunDetails
) -> RawRequest:
    """Returns the request that makes an engine prefill the prompt and retain its KV cache."""
    run_headers = _make_run_headers(headers, body, details)
    return RawRequest(
        method, target, [*run_headers, (wire_names.STAGE, wire_names.STAGE_PREFILL)], body
    )


def encode_release_request(kv_handle: KVCacheHandle) -> RawRequest:
    """Returns the request that frees a KV cache that no engine will fetch."""
    target = f"{wire_names.KV_HANDLE_PATH}{kv_handle.handle}".encode("latin-1")
    headers = [(b"host", str(kv_handle.address).encode()), (b"content-length", b"0")]
    return RawRequest(b"DELETE", target, [*headers, _expect_instance_header(kv_handle.engine)])


def encode_order_request(address: Address, engine: str, order: EngineOrder) -> RawRequest:
    """Returns the request that sends an order to an engine."""
    body = json.dumps(
        {
            "op": "phase",
            "phase": order.role.value,
            "holder": order.holder,
            "fence": order.term,
            "expected": order.expected_orders,
        }
    ).encode()
    headers = [
        (b"host", str(address).encode()),
        (b"content-length", str(len(body)).encode()),
        JSON_HEADER,
        _expect_instance_header(engine),
    ]
    return RawRequest(b"POST", wire_names.ORDER_PATH.encode(), headers, body)


def encode_report_request(address: Address, engine: str) -> RawRequest:
    """Returns the request that reads an engine's state."""
    headers = [(b"host", str(address).encode()), _expect_instance_header(engine)]
    return RawRequest(b"GET", wire_names.REPORT_PATH.encode(), headers)


def encode_health_request(
    address: Address, path: str, backend: str, check_id: str = ""
) -> RawRequest:
    """Returns the request for a backend server's health check.

    Args:
        address: Address of the server.
        path: Path of its health checks.
        backend: Its id.
        check_id: Id that tells the answer from a late copy of another one; empty for none.
    """
    headers = [(b"host", str(address).encode()), _expect_instance_header(backend)]
    if check_id:
        headers.append((wire_names.ATTEMPT_ID, check_id.encode()))
    return RawRequest(b"GET", path.encode("latin-1"), headers)


def decode_instance_statement(head: RawResponseHead, body: bytes) -> InstanceStatement:
    """Returns what the answer to a health check or report request states of the server."""
    name = (head.get(wire_names.INSTANCE_ID) or b"").strip().decode("latin-1")
    return InstanceStatement(name, decode_started_unix_ms(body), is_misdirected(head))


def decode_started_unix_ms(body: bytes) -> int:
    """Returns the start time that a report states; 0 if it states none, or is no report."""
    try:
        value = json.loads(body)["born"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return 0
    is_time = isinstance(value, int) and not isinstance(value, bool) and value > 0
    return value if is_time else 0


def decode_accepted_order_count(body: bytes) -> int | None:
    """Returns the number of orders that an engine has accepted, or None if it can't be parsed."""
    try:
        # In a report "seq" counts accepted orders; in a registration it numbers heartbeats.
        accepted = json.loads(body)["seq"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
    return accepted if isinstance(accepted, int) else None


def _expect_instance_header(backend: str) -> tuple[bytes, bytes]:
    return wire_names.EXPECT_INSTANCE, backend.encode("latin-1")


def _make_run_headers(headers: Headers, body: bytes, details: RunDetails) -> Headers:
    dropped = _HOP_BY_HOP_HEADERS | _OVERWRITTEN_HEADERS | _headers_named_by_connection(headers)
    if details.last_event_id is not None:
        dropped |= {wire_names.LAST_EVENT_ID}
    if details.hides_key:
        dropped |= _IDENTITY_HEADERS
    forwarded = [(name, value) for name, value in headers if name not in dropped]
    remaining_ms = max(1, int(details.remaining_s * MS_PER_S))
    forwarded += [
        (wire_names.DEADLINE_MS, str(remaining_ms).encode()),
        _expect_instance_header(details.backend),
    ]
    if body or any(name == b"content-length" for name, _ in headers):
        forwarded.append((b"content-length", str(len(body)).encode()))
    if details.tenant is not None:
        forwarded.append((wire_names.TENANT, details.tenant.encode("ascii")))
    if details.urgency is not None:
        forwarded.append((wire_names.URGENCY, str(details.urgency).encode()))
    if details.kv_cache_handle is not None:
        source = f"{details.kv_cache_handle.address}/{details.kv_cache_handle.handle}"
        forwarded.append((wire_names.KV_SOURCE, source.encode("latin-1")))
    if details.copy_source is not None:
        forwarded.append((wire_names.KV_FETCH, str(details.copy_source).encode()))
    if details.last_event_id is not None:
        forwarded.append((wire_names.LAST_EVENT_ID, str(details.last_event_id).encode()))
    return forwarded


def _headers_named_by_connection(headers: Headers) -> frozenset[bytes]:
    connection_values = [value for name, value in headers if name == b"connection"]
    tokens = frozenset(
        token.strip().lower() for value in connection_values for token in value.split(b",")
    )
    # A caller can't remove the headers that identify its request.
    return tokens - {
        wire_names.ATTEMPT_ID,
        wire_names.MODEL,
        wire_names.TOKEN_COUNTS,
        wire_names.PROMPT_SEGMENTS,
        b"host",
    }


def forwarded_headers(head: RawResponseHead) -> Headers:
    """Returns the headers of a backend server's response that are forwarded to the caller."""
    dropped = (_HOP_BY_HOP_HEADERS - {b"content-length"}) | _headers_named_by_connection(
        head.headers
    )
    return [(name, value) for name, value in head.headers if name not in dropped]


def is_declared_not_executed(head: RawResponseHead) -> bool:
    """Returns whether the backend server states that it did not run the request."""
    return head.get(wire_names.NOT_EXECUTED) is not None


def is_misdirected(head: RawResponseHead) -> bool:
    """Returns whether the address is that of another backend server, or the stage is wrong."""
    return head.status == STATUS_MISDIRECTED


def find_answer_fault(head: RawResponseHead) -> str:
    """Returns why a response is no answer of the backend server to a run, or an empty string.

    A failure needs no signature.
    """
    if has_encoded_body(head):
        return "the answer has a Content-Encoding"
    if is_success(head.status) and not (head.get(wire_names.SERVER_SEAL) or b"").strip():
        return "the answer reports success without a Server-Seal"
    return ""


def has_encoded_body(head: RawResponseHead) -> bool:
    """Returns whether the body of a response is encoded, so that it is not the server's."""
    return head.get(wire_names.CONTENT_ENCODING) is not None


def decode_server_notice(head: RawResponseHead) -> ServerNotice:
    """Returns what a response states of its server; a number that can't be parsed is ignored."""
    is_leaving = (head.get(wire_names.SERVER_LEAVING) or b"").strip() == b"1"
    limit_per_s = _parse_limit_per_s(head.get(wire_names.SERVER_LIMIT))
    retry_after = head.get(wire_names.RETRY_AFTER)
    if head.status != STATUS_UNAVAILABLE or retry_after is None:
        return ServerNotice(is_leaving, None, limit_per_s)
    return ServerNotice(is_leaving, _parse_pause_s(retry_after), limit_per_s)


def _parse_limit_per_s(text: bytes | None) -> float | None:
    """Returns the limit, infinity if there is none, or None if it can't be parsed."""
    if text is None:
        return inf
    try:
        limit_per_s = float(text)
    except ValueError:
        return None
    # Not for "nan" either.
    return limit_per_s if 0.0 <= limit_per_s < inf else None


def _parse_pause_s(text: bytes) -> float | None:
    try:
        pause_s = float(text)
    except ValueError:
        return None
    # Not for "nan" either.
    return pause_s if pause_s > 0.0 else None


def decode_kv_cache_handle(
    engine: str, address: Address, body: bytes
) -> Result[KVCacheHandle, str]:
    """Returns the handle of the KV cache in an engine's prefill response, or why there is none."""
    try:
        fields = json.loads(body)
        handle = fields["kvHandle"]
        if not isinstance(handle, str) or not handle.isalnum():
            return Failure(f"handle {handle!r}")
        return Success(KVCacheHandle(engine, address, handle, int(fields.get("tokens", 0))))
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        return Failure(f"{type(error).__name__}: {error}")

"""Codec of the peer links: encodes payloads as CBOR envelopes and decodes them.

An envelope is a CBOR array of the format's version, the payload's name and a map of its fields.
"""

from collections.abc import Callable
from typing import Final, get_args

import cbor2
from attrs import Attribute, fields, frozen, resolve_types
from returns.result import Failure, Result, Success

from berylquay.peers.payloads import PeerPayload
from berylquay.peers.websocket import MAX_MESSAGE_BYTES

ENVELOPE_VERSION: Final = 1
_ENVELOPE_LENGTH: Final = 3


@frozen
class CodecError:
    """A message that could not be decoded into a payload."""

    # Description of the error for logs.
    detail: str
    # Whether the message violates the format; an unknown payload of a newer sender does not.
    malformed: bool


def _collect_payload_types() -> dict[str, type[PeerPayload]]:
    types: dict[str, type[PeerPayload]] = {}
    for payload_type in get_args(PeerPayload):
        resolve_types(payload_type)
        types[payload_type.__name__] = payload_type
    return types


_PAYLOAD_TYPES: Final = _collect_payload_types()


def encode_payload(payload: PeerPayload) -> bytes:
    """Returns the envelope of a payload."""
    payload_type = type(payload)
    values = {item.name: getattr(payload, item.name) for item in fields(payload_type)}
    return cbor2.dumps([ENVELOPE_VERSION, payload_type.__name__, values])


def decode_payload(data: bytes) -> Result[PeerPayload, CodecError]:
    """Returns the payload in an envelope, or the error if it cannot be decoded."""
    if len(data) > MAX_MESSAGE_BYTES:
        return Failure(CodecError("the message is too long", malformed=True))
    try:
        envelope = cbor2.loads(data)
    except (cbor2.CBORDecodeError, RecursionError, MemoryError, ValueError) as error:
        return Failure(CodecError(f"the message is not CBOR: {error}", malformed=True))
    if not isinstance(envelope, list) or len(envelope) != _ENVELOPE_LENGTH:
        return Failure(CodecError("the message is not an envelope", malformed=True))
    version, name, values = envelope
    if version != ENVELOPE_VERSION:
        return Failure(CodecError(f"unknown envelope version {version!r}", malformed=False))
    payload_type = _PAYLOAD_TYPES.get(name) if isinstance(name, str) else None
    if payload_type is None:
        return Failure(CodecError(f"unknown payload {name!r}", malformed=False))
    return _build_payload(payload_type, values)


def _build_payload(
    payload_type: type[PeerPayload], values: object
) -> Result[PeerPayload, CodecError]:
    if not isinstance(values, dict):
        return Failure(CodecError("the fields are not a map", malformed=True))
    arguments: dict[str, object] = {}
    for attribute in fields(payload_type):
        if attribute.name not in values:
            return Failure(CodecError(f"field {attribute.name} is missing", malformed=True))
        value = values[attribute.name]
        if not _has_expected_type(attribute, value):
            return Failure(CodecError(f"field {attribute.name} has a wrong type", malformed=True))
        arguments[attribute.name] = tuple(value) if isinstance(value, list) else value
    # Fields that this version does not know are ignored, so that newer versions can add fields.
    constructor: Callable[..., PeerPayload] = payload_type
    return Success(constructor(**arguments))


def _has_expected_type(attribute: "Attribute[object]", value: object) -> bool:
    expected = attribute.type
    if expected is float:
        return type(value) in {float, int}
    if expected == tuple[str, ...]:
        return isinstance(value, list) and all(type(element) is str for element in value)
    return type(value) is expected

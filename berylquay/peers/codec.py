"""The codec of the links: a payload to a CBOR envelope and back.

An envelope is a CBOR array of the format's version, the payload's name and a map of its fields.
"""

from collections.abc import Callable
from typing import Final, get_args

import cbor2
from attrs import Attribute, fields, frozen, resolve_types
from returns.result import Failure, Result, Success

from berylquay.peers.payloads import PeerPayload

ENVELOPE_VERSION: Final = 1
# Most bytes of one message, checked before it is decoded.
MAX_MESSAGE_BYTES: Final = 262144
_ENVELOPE_ITEMS: Final = 3


@frozen
class CodecError:
    """A message that could not be turned into a payload."""

    # What a person should read.
    detail: str
    # Whether the sender broke the format; a newer sender's unknown payload does not.
    malformed: bool


def _payload_types() -> dict[str, type[PeerPayload]]:
    types: dict[str, type[PeerPayload]] = {}
    for payload_type in get_args(PeerPayload):
        resolve_types(payload_type)
        types[payload_type.__name__] = payload_type
    return types


_TYPES: Final = _payload_types()


def encode_payload(payload: PeerPayload) -> bytes:
    """Returns the envelope of a payload."""
    payload_type = type(payload)
    values = {item.name: getattr(payload, item.name) for item in fields(payload_type)}
    return cbor2.dumps([ENVELOPE_VERSION, payload_type.__name__, values])


def decode_payload(data: bytes) -> Result[PeerPayload, CodecError]:
    """Returns the payload in an envelope, or what is wrong with it."""
    if len(data) > MAX_MESSAGE_BYTES:
        return Failure(CodecError("the message is too long", malformed=True))
    try:
        envelope = cbor2.loads(data)
    except (cbor2.CBORDecodeError, RecursionError, MemoryError, ValueError) as error:
        return Failure(CodecError(f"the message is not CBOR: {error}", malformed=True))
    if not isinstance(envelope, list) or len(envelope) != _ENVELOPE_ITEMS:
        return Failure(CodecError("the message is not an envelope", malformed=True))
    version, name, values = envelope
    if version != ENVELOPE_VERSION:
        return Failure(CodecError(f"unknown envelope version {version!r}", malformed=False))
    payload_type = _TYPES.get(name) if isinstance(name, str) else None
    if payload_type is None:
        return Failure(CodecError(f"unknown payload {name!r}", malformed=False))
    return _build(payload_type, values)


def _build(payload_type: type[PeerPayload], values: object) -> Result[PeerPayload, CodecError]:
    if not isinstance(values, dict):
        return Failure(CodecError("the fields are not a map", malformed=True))
    arguments: dict[str, object] = {}
    for item in fields(payload_type):
        if item.name not in values:
            return Failure(CodecError(f"field {item.name} is missing", malformed=True))
        value = values[item.name]
        if not _fits(item, value):
            return Failure(CodecError(f"field {item.name} has a wrong type", malformed=True))
        arguments[item.name] = tuple(value) if isinstance(value, list) else value
    # Fields that this version does not know are left out, so that newer hosts can add some.
    build: Callable[..., PeerPayload] = payload_type
    return Success(build(**arguments))


def _fits(item: "Attribute[object]", value: object) -> bool:
    expected = item.type
    if expected is float:
        return type(value) in {float, int}
    if expected == tuple[str, ...]:
        return isinstance(value, list) and all(type(inner) is str for inner in value)
    return type(value) is expected

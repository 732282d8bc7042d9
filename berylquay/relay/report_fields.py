"""Fields that several kinds of datagrams between hosts have in common, as CBOR values."""

import re
import zlib
from ipaddress import IPv4Address
from typing import Final

import cbor2

from berylquay.decisions.engine_backlog import EngineLoad
from berylquay.decisions.fleet import Address
from berylquay.decisions.shared_polling import TopicReport

# A prefix segment that an engine caches or is about to prefill: segment id, engine, and the time
# until it is prefilled, in milliseconds.
AnnouncedSegment = tuple[str, str, int]
# Raised by fields that are missing or of another type.
FIELD_ERRORS: Final = (
    cbor2.CBORDecodeError,
    zlib.error,
    ValueError,
    TypeError,
    AttributeError,
    LookupError,
    ArithmeticError,
    RecursionError,
    re.error,
)
# Bounds on numbers in datagrams. Larger ones are not of a host, and would overflow what is computed
# from them at each placement.
MAX_COUNT: Final = 10**9
MAX_TIME_MS: Final = 10**8
MAX_PORT: Final = 65535
# Bound on the decompressed size of a datagram, against data that expands without end.
MAX_DECOMPRESSED_BYTES: Final = 1_000_000


def compress_fields(fields: list[object]) -> bytes:
    """Returns the fields as compressed CBOR."""
    return zlib.compress(cbor2.dumps(fields))


def decompress_fields(data: bytes) -> list[object]:
    """Returns the fields of compressed CBOR.

    Raises:
        One of `FIELD_ERRORS`, if the data is anything else.
    """
    fields = cbor2.loads(zlib.decompressobj().decompress(data, MAX_DECOMPRESSED_BYTES))
    if not isinstance(fields, list):
        raise TypeError("the datagram is no list of fields")
    return fields


def decode_count(value: object) -> int:
    """Returns a count of streams or tokens.

    Raises:
        One of `FIELD_ERRORS`, if the value is no number or one that no host can have.
    """
    count = int(str(value))
    if not 0 <= count <= MAX_COUNT:
        raise ValueError("no count that a host can have")
    return count


def decode_time_ms(value: object) -> int:
    """Returns an age, or the time until something, in milliseconds.

    Raises:
        One of `FIELD_ERRORS`, if the value is no number or longer than any state is kept.
    """
    time_ms = int(str(value))
    if abs(time_ms) > MAX_TIME_MS:
        raise ValueError("longer than any state is kept")
    return time_ms


def decode_address(ip: object, port: object) -> Address:
    """Returns an address to which datagrams can be sent.

    Raises:
        One of `FIELD_ERRORS`, for a name, which would have to be resolved, or no port.
    """
    number = int(str(port))
    if not 0 < number <= MAX_PORT:
        raise ValueError("no port")
    return Address(str(IPv4Address(str(ip))), number)


def encode_loads(loads: dict[str, EngineLoad]) -> dict[str, list[int]]:
    """Returns the work in flight by engine."""
    return {engine: [load.streams, load.prefill_tokens] for engine, load in loads.items()}


def decode_loads(value: dict[str, list[int]]) -> dict[str, EngineLoad]:
    """Returns the work in flight by engine; raises one of `FIELD_ERRORS` for other values."""
    return {
        str(engine): EngineLoad(decode_count(streams), decode_count(tokens))
        for engine, (streams, tokens) in value.items()
    }


def decode_segments(value: list[list[object]]) -> tuple[AnnouncedSegment, ...]:
    """Returns announced segments; raises one of `FIELD_ERRORS` for other values."""
    return tuple(
        (str(segment), str(engine), decode_time_ms(ready_in_ms))
        for segment, engine, ready_in_ms in value
    )


def encode_topic_reports(reports: tuple[TopicReport, ...]) -> list[list[object]]:
    """Returns reports on topics of the store."""
    return [[report.topic, report.state_hash, report.age_ms] for report in reports]


def decode_topic_reports(value: list[list[object]]) -> tuple[TopicReport, ...]:
    """Returns reports on topics; raises one of `FIELD_ERRORS` for other values."""
    return tuple(
        TopicReport(str(topic), str(state_hash), decode_time_ms(age_ms))
        for topic, state_hash, age_ms in value
    )

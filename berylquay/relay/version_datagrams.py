"""Datagrams on versions that are kept in the store: a pool's record, and streams to be written."""

from collections.abc import Sequence
from typing import Final

import cbor2
from attrs import frozen

from berylquay.decisions.pool_version_history import PoolVersionRecord
from berylquay.decisions.stream_ledger import HASH_BYTES
from berylquay.relay.report_fields import FIELD_ERRORS, compress_fields, decompress_fields

# First byte of these datagrams.
VERSION_RECORD_TAG: Final = b"\x09"
POOL_KIND: Final = "pool"
STREAMS_KIND: Final = "streams"
# Largest time, era or offset that is read.
MAX_NUMBER: Final = 10**18


@frozen
class PoolRecordNotice:
    """A pool's record, as the sender has just found it in the store or written it."""

    pool: str
    record: PoolVersionRecord
    # Offset in the topic after which the record was current.
    offset: int


@frozen
class StreamsNotice:
    """Streams that began at one version, for the host that writes them to the store."""

    software_version: str
    streams: tuple[bytes, ...]


def encode_pool_record(notice: PoolRecordNotice) -> bytes:
    """Returns a datagram with a pool's record."""
    record = notice.record
    return VERSION_RECORD_TAG + compress_fields(
        [
            POOL_KIND,
            notice.pool,
            sorted(record.present),
            dict(record.absent_unix_ms),
            record.era,
            notice.offset,
            record.since_unix_ms,
        ]
    )


def encode_streams(software_version: str, streams: Sequence[bytes]) -> bytes:
    """Returns a datagram with streams that began at a version."""
    return VERSION_RECORD_TAG + compress_fields([STREAMS_KIND, software_version, b"".join(streams)])


def decode_version_datagram(data: bytes) -> PoolRecordNotice | StreamsNotice | None:
    """Returns what a datagram states, or None if it is malformed."""
    try:
        kind, *fields = decompress_fields(data[len(VERSION_RECORD_TAG) :])
        if kind == STREAMS_KIND:
            version, hashes = fields
            return StreamsNotice(_to_text(version), _split_hashes(hashes))
        pool, present, absent, era, offset, since_unix_ms = fields
        if kind != POOL_KIND or not isinstance(present, list) or not isinstance(absent, dict):
            return None
        return PoolRecordNotice(
            _to_text(pool),
            PoolVersionRecord(
                frozenset(_to_text(version) for version in present),
                {_to_text(version): _to_number(unix_ms) for version, unix_ms in absent.items()},
                None if era is None else _to_number(era),
                _to_number(since_unix_ms),
            ),
            _to_number(offset),
        )
    except FIELD_ERRORS:
        return None


def encode_stream_record(software_version: str, streams: Sequence[bytes]) -> bytes:
    """Returns a record of the topic of streams."""
    content: bytes = cbor2.dumps([software_version, b"".join(streams)])
    return content


def decode_stream_record(content: bytes) -> StreamsNotice | None:
    """Returns the streams of a record, or None if it is malformed."""
    try:
        fields = cbor2.loads(content)
        if not isinstance(fields, list):
            return None
        version, hashes = fields
        return StreamsNotice(_to_text(version), _split_hashes(hashes))
    except FIELD_ERRORS:
        return None


def _to_text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError("not a text")
    return value


def _to_number(value: object) -> int:
    if type(value) is not int or not 0 <= value <= MAX_NUMBER:
        raise TypeError("not a time, an era or an offset")
    return value


def _split_hashes(joined: object) -> tuple[bytes, ...]:
    if not isinstance(joined, bytes) or len(joined) % HASH_BYTES:
        raise TypeError("not a list of hashes")
    return tuple(joined[start : start + HASH_BYTES] for start in range(0, len(joined), HASH_BYTES))

"""Topic deltas: the records that a host has just read, passed on to the hosts that rely on it.

Without them, each change in the store makes every host of a large fleet read it. A delta names the
state that it starts from, so a host that has missed an earlier change ignores it and reads the
store. Changes that do not fit into a datagram are not passed on.
"""

from typing import Final

from attrs import frozen

from berylquay.decisions.shared_polling import TopicReport
from berylquay.relay.report_fields import (
    FIELD_ERRORS,
    compress_fields,
    decode_time_ms,
    decompress_fields,
)

# First byte of a delta's datagram; load reports begin with the head of a CBOR array.
DELTA_TAG: Final = b"\x00"
MAX_DELTA_DATAGRAM_BYTES: Final = 8000


@frozen
class TopicDelta:
    """Consecutive changes of a topic, as one host has read them."""

    topic: str
    # Hashes of the state before and after the records.
    before_hash: str
    after_hash: str
    # Time since the read that returned them was sent, in milliseconds.
    age_ms: int
    # The records that changed the state.
    contents: tuple[bytes, ...]

    def to_report(self) -> TopicReport:
        """Returns the report that a host is up to date with the records."""
        return TopicReport(self.topic, self.after_hash, self.age_ms)


def encode_delta(delta: TopicDelta) -> bytes | None:
    """Returns the delta as a datagram, or None if it is too large for one."""
    data = DELTA_TAG + compress_fields(
        [delta.topic, delta.before_hash, delta.after_hash, delta.age_ms, list(delta.contents)]
    )
    return data if len(data) <= MAX_DELTA_DATAGRAM_BYTES else None


def decode_delta(data: bytes) -> TopicDelta | None:
    """Returns the delta, or None if the datagram is not a complete delta."""
    try:
        topic, before_hash, after_hash, age_ms, contents = decompress_fields(data[len(DELTA_TAG) :])
        if not isinstance(contents, list):
            return None
        records = tuple(content for content in contents if isinstance(content, bytes))
        if len(records) < len(contents):
            return None
        return TopicDelta(
            str(topic), str(before_hash), str(after_hash), decode_time_ms(age_ms), records
        )
    except FIELD_ERRORS:
        return None

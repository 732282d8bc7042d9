"""Records of the platform's log and their JSON encoding."""

import json
from collections.abc import Sequence
from typing import Final

from attrs import field, frozen

# Kind given to a record whose data this version cannot decode; state machines skip it.
UNREADABLE_KIND: Final = "unreadable"


@frozen
class NewRecord:
    """A record to append."""

    # Unique id, by which the record is recognised when read back if the response to its append was
    # lost.
    record_id: str
    # Type of the record; selects the state machine that applies it.
    kind: str
    # Body; contains only values that can be encoded as JSON.
    fields: dict[str, object] = field(factory=dict)


@frozen
class LogRecord:
    """A record that was read from a stream."""

    # Position in the stream. Never decreases; records that were appended as a group share one.
    offset: int
    # Unique id given by the writer.
    record_id: str
    # Type of the record.
    kind: str
    fields: dict[str, object] = field(factory=dict)


def encode_records(records: Sequence[NewRecord]) -> str:
    """Returns the data of one log entry that contains the record or the group of records."""
    values = [
        {"record_id": record.record_id, "kind": record.kind, "fields": record.fields}
        for record in records
    ]
    value = values[0] if len(values) == 1 else {"group": values}
    return json.dumps(value, separators=(",", ":"))


def decode_records(offset: int, data: str) -> tuple[LogRecord, ...]:
    """Returns the records in the data; one of `UNREADABLE_KIND` if the data is malformed."""
    try:
        value = json.loads(data)
        items = value.get("group", [value])
        return tuple(_decode_record(offset, item) for item in items)
    except (ValueError, KeyError, TypeError, AttributeError):
        return (LogRecord(offset, "", UNREADABLE_KIND),)


def _decode_record(offset: int, item: dict[str, object]) -> LogRecord:
    fields = item["fields"]
    if not isinstance(fields, dict):
        raise TypeError(fields)
    return LogRecord(offset, str(item["record_id"]), str(item["kind"]), fields)

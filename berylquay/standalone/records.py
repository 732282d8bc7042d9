"""Records of the platform's log, as the rest of berylquay sees them, and their JSON form."""

import json
from collections.abc import Sequence
from typing import Final

from attrs import field, frozen

# Kind of a record whose data this version cannot read; folds pass over it.
UNREADABLE_KIND: Final = "unreadable"


@frozen
class NewRecord:
    """A record to append."""

    # Unique id, by which a reader recognises the record if the append's answer is lost.
    record_id: str
    # What the record says; names the fold that takes it.
    kind: str
    # Body; only values that JSON can carry.
    fields: dict[str, object] = field(factory=dict)


@frozen
class LogRecord:
    """A record that was read."""

    # Position in the stream; only rises, but records that were appended as a group share one.
    offset: int
    # Unique id that the writer gave.
    record_id: str
    # What the record says.
    kind: str
    # Body.
    fields: dict[str, object] = field(factory=dict)


def encode_records(records: Sequence[NewRecord]) -> str:
    """Returns the data of a log record that carries one record or a group of them."""
    values = [
        {"record_id": record.record_id, "kind": record.kind, "fields": record.fields}
        for record in records
    ]
    value = values[0] if len(values) == 1 else {"group": values}
    return json.dumps(value, separators=(",", ":"))


def decode_records(offset: int, data: str) -> tuple[LogRecord, ...]:
    """Returns the records in the data; one of kind `UNREADABLE` if the data is malformed."""
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

"""Output of the tool: text tables for operators, JSON for scripts."""

import json
from collections.abc import Sequence
from typing import Final

from google.protobuf.json_format import MessageToDict
from google.protobuf.message import Message

# Names of the 64-bit integer fields in the protobuf schema.
_INT64_FIELDS: Final = ("revision", "base_revision", "term")


def print_json(value: object) -> None:
    """Prints a value as indented JSON."""
    print(json.dumps(value, indent=2, sort_keys=True), flush=True)  # noqa: T201


def print_text(text: str) -> None:
    """Prints human-readable text."""
    print(text, flush=True)  # noqa: T201


def message_to_dict(message: Message) -> dict[str, object]:
    """Converts a protobuf message to a dictionary that can be encoded as JSON."""
    value: dict[str, object] = MessageToDict(
        message, preserving_proto_field_name=True, always_print_fields_with_no_presence=True
    )
    return {name: _restore_int64_values(name, item) for name, item in value.items()}


def _restore_int64_values(name: str, value: object) -> object:
    """Converts 64-bit integers, which protobuf's JSON encodes as strings, back to integers."""
    if isinstance(value, dict):
        return {key: _restore_int64_values(key, item) for key, item in value.items()}
    if isinstance(value, list):
        return [_restore_int64_values(name, item) for item in value]
    return int(value) if name in _INT64_FIELDS and isinstance(value, str) else value


def print_table(headers: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Prints a header line and rows, aligned in columns."""
    lines = [[str(cell) for cell in row] for row in (headers, *rows)]
    widths = [max(len(line[index]) for line in lines) for index in range(len(headers))]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        print_text("  ".join(cells).rstrip())


def yes_no(value: bool) -> str:
    """Returns "yes" or "no"."""
    return "yes" if value else "no"

"""Structured logging: JSON lines on standard error through logbook."""

import json
import sys

import logbook


def format_json_line(record: logbook.LogRecord, handler: object) -> str:
    """Returns the record as a JSON object on one line; keyword arguments become its fields."""
    fields: dict[str, object] = {
        "time": record.time.isoformat(),
        "level": record.level_name,
        "logger": record.channel,
        "message": record.message,
    }
    fields.update(record.kwargs)
    if record.formatted_exception:
        fields["exception"] = record.formatted_exception
    return json.dumps(fields, default=str)


def set_up_logging(level: str) -> None:
    """Writes records of the given level and above to standard error as JSON lines."""
    logbook.set_datetime_format("utc")
    handler = logbook.StreamHandler(sys.stderr, level=level.upper())
    handler.formatter = format_json_line
    handler.push_application()

"""How the end of a response's body is marked, and what its content type tells of it."""

from collections.abc import Container
from enum import Enum
from typing import Final

TRANSFER_ENCODING: Final = "transfer-encoding"
CONTENT_LENGTH: Final = "content-length"
JSON_TYPE: Final = "application/json"
JSON_SUFFIX: Final = "+json"
# Statuses of responses that never have a body.
STATUSES_WITHOUT_BODY: Final = frozenset({204, 304})


class BodyFraming(Enum):
    """How the end of a response's body is marked."""

    LENGTH = "length"
    CHUNKED = "chunked"
    # The body ends with its connection: neither a length nor chunks.
    CONNECTION_END = "connection-end"


def framing_of(header_names: Container[str]) -> BodyFraming:
    """Returns the framing of a response with these headers; names are in lower case."""
    if TRANSFER_ENCODING in header_names:
        return BodyFraming.CHUNKED
    if CONTENT_LENGTH in header_names:
        return BodyFraming.LENGTH
    return BodyFraming.CONNECTION_END


def media_type(content_type: str) -> str:
    """Returns the type in a Content-Type header without its parameters, in lower case."""
    return content_type.partition(";")[0].strip().lower()


def is_json(content_type: str) -> bool:
    """Returns whether a body with this Content-Type header is a JSON document."""
    name = media_type(content_type)
    return name == JSON_TYPE or name.endswith(JSON_SUFFIX)

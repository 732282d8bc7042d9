"""Checks of response heads that the HTTP parser leaves to its user."""

from typing import Final

import h11

# Status codes of success, and the first one after them.
FIRST_SUCCESS: Final = 200
FIRST_REDIRECTION: Final = 300
# Status codes of final responses are below this.
END_OF_STATUS_CODES: Final = 600
# All minor versions of HTTP/1 are read alike.
SUPPORTED_MAJOR_VERSION: Final = b"1"


def is_success(status: int) -> bool:
    """Returns whether a status code reports success."""
    return FIRST_SUCCESS <= status < FIRST_REDIRECTION


def find_head_fault(head: h11.Response) -> str:
    """Returns why a final response's status line is none of HTTP/1, or an empty string.

    Source: RFC 9110, sections 2.5 and 15.
    """
    if head.status_code >= END_OF_STATUS_CODES:
        return f"status {head.status_code}"
    if head.http_version.partition(b".")[0] != SUPPORTED_MAJOR_VERSION:
        return f"version {head.http_version.decode('latin-1')}"
    return ""

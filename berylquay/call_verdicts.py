"""Verdicts: the statement about a request that every answer, refusal and error carries."""

from enum import Enum

from attrs import frozen


class Verdict(Enum):
    """Says whether a request may have run on a backend server."""

    # No byte of the request reached a backend server, or the server refused before starting.
    NOT_RUN = "not-run"
    # The request may have run in part or in whole.
    MAY_HAVE_RUN = "may-have-run"
    # The whole answer was delivered.
    COMPLETED = "completed"


class RefusalReason(Enum):
    """Says why a request was given up on."""

    # The request is malformed or names something unknown.
    INVALID = "invalid"
    # The deadline has passed or cannot be met.
    DEADLINE = "deadline"
    # Admission control turned the request away.
    OVERLOADED = "overloaded"
    # No backend server that can run the request is in reach.
    NO_BACKEND = "no-backend"
    # The backend server failed and the request may not be retried.
    BACKEND_FAILED = "backend-failed"
    # The idempotency key has been used already, or may have been.
    DUPLICATE = "duplicate"
    # Requests with the same content have crashed backend servers.
    QUARANTINED = "quarantined"
    # This host is shutting down.
    SHUTTING_DOWN = "shutting-down"
    # What must be agreed on through the platform's log cannot be agreed on now.
    PLATFORM_UNAVAILABLE = "platform-away"


@frozen
class Refusal:
    """The final answer to a request that was given up on."""

    # Why the request was given up on.
    reason: RefusalReason
    # Whether the request may have run.
    verdict: Verdict
    # What a person should read.
    detail: str
    # When the caller should come back, or None if it should not.
    retry_after_s: float | None = None

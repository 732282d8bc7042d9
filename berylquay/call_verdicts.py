"""Verdicts, which state in every answer, refusal and error whether the request may have run."""

from enum import Enum

from attrs import frozen


class Verdict(Enum):
    """Whether a request may have run on a backend server."""

    # No byte of the request reached a backend server, or the server refused before starting.
    NOT_RUN = "not-run"
    # The request may have run partly or completely.
    MAY_HAVE_RUN = "may-have-run"
    # The complete answer was delivered.
    COMPLETED = "completed"


class RefusalReason(Enum):
    """Why a request was refused or abandoned."""

    # The request is malformed or names something unknown.
    INVALID = "invalid"
    # The deadline has passed or cannot be met.
    DEADLINE = "deadline"
    # Admission control rejected the request.
    OVERLOADED = "overloaded"
    # No backend server that can run the request is reachable.
    NO_BACKEND = "no-backend"
    # The backend server failed and the request may not be retried.
    BACKEND_FAILED = "backend-failed"
    # The idempotency key has been used already, or may have been.
    DUPLICATE = "duplicate"
    # The caller's key is not, or no longer, valid.
    UNAUTHORIZED = "unauthorized"
    # Requests with the same content have crashed backend servers.
    QUARANTINED = "quarantined"
    # This host is shutting down.
    SHUTTING_DOWN = "shutting-down"
    # The request needs a decision through the platform's log, which is not possible now.
    PLATFORM_UNAVAILABLE = "platform-away"


@frozen
class Refusal:
    """The final answer to a request that was refused or abandoned."""

    # Why the request was refused or abandoned.
    reason: RefusalReason
    # Whether the request may have run.
    verdict: Verdict
    # Human-readable description.
    detail: str
    # Time after which the caller should retry, or None if it should not retry.
    retry_after_s: float | None = None

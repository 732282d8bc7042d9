"""Refusals of calls: reason, verdict and detail for the caller, and when it may retry."""

from typing import Final

from berylquay.call_verdicts import Refusal, RefusalReason
from berylquay.decisions.open_calls import OpenCall

DEADLINE_DETAIL: Final = "the deadline has passed"
CALLER_GONE_DETAIL: Final = "the caller went away"
QUARANTINE_DETAIL: Final = "backend servers were lost under requests with the same content"


def refusal_of(
    open_call: OpenCall, reason: RefusalReason, detail: str, retry_after_s: float
) -> Refusal:
    """Returns the refusal of a call, with the verdict of its attempts.

    Args:
        open_call: The call.
        reason: Why it is refused.
        detail: Human-readable explanation.
        retry_after_s: Time after which the caller may retry. A time that a backend server gave
            takes precedence. The refusal has none if the call may have run and is not repeatable.
    """
    if open_call.retry_after_s is not None:
        retry_after_s = open_call.retry_after_s
    not_retryable = open_call.may_have_run and not open_call.call.repeatable
    return Refusal(reason, open_call.verdict, detail, None if not_retryable else retry_after_s)


def refusal_without_servers(
    open_call: OpenCall, until_next_probe_s: float | None, retry_after_s: float
) -> Refusal:
    """Returns the refusal of a call for which no backend server is available.

    Args:
        open_call: The call.
        until_next_probe_s: Time until the next probe of an ejected server; None if none is
            ejected.
        retry_after_s: Shortest time after which the caller may retry.
    """
    pool = open_call.call.class_spec.pool
    if open_call.attempts_made:
        detail = f"{open_call.failure_detail}; no other backend server of pool {pool} is in reach"
        return refusal_of(open_call, RefusalReason.BACKEND_FAILED, detail, retry_after_s)
    detail = f"no backend server of pool {pool} is in reach"
    longer_wait_s = max(until_next_probe_s or 0.0, retry_after_s)
    return refusal_of(open_call, RefusalReason.NO_BACKEND, detail, longer_wait_s)

"""Refusals of calls: what a caller is told when a call is given up on, and when to come back."""

from typing import Final

from berylquay.decisions.open_calls import OpenCall
from berylquay.verdicts import Refusal, RefusalReason

DEADLINE_DETAIL: Final = "the deadline has passed"
CALLER_GONE_DETAIL: Final = "the caller went away"
QUARANTINE_DETAIL: Final = "backend servers were lost under requests with the same content"


def refusal_of(
    open_call: OpenCall, reason: RefusalReason, detail: str, retry_after_s: float
) -> Refusal:
    """Returns the refusal of a call, with its true verdict.

    Args:
        open_call: The call.
        reason: Why it is given up on.
        detail: What a person should read.
        retry_after_s: When to come back, unless a backend server said so or the call may have run
            and must not be repeated.
    """
    if open_call.retry_after_s is not None:
        retry_after_s = open_call.retry_after_s
    not_retryable = open_call.may_have_run and not open_call.call.repeatable
    return Refusal(reason, open_call.verdict, detail, None if not_retryable else retry_after_s)


def refusal_without_servers(
    open_call: OpenCall, next_probe_s: float | None, retry_after_s: float
) -> Refusal:
    """Returns the refusal of a call for which no server is left.

    Args:
        open_call: The call.
        next_probe_s: Time until a server that was set aside is tried again, if any was.
        retry_after_s: When to come back if nothing better is known.
    """
    pool = open_call.call.class_spec.pool
    if open_call.attempts_made:
        detail = f"{open_call.failure_detail}; no other backend server of pool {pool} is in reach"
        return refusal_of(open_call, RefusalReason.BACKEND_FAILED, detail, retry_after_s)
    detail = f"no backend server of pool {pool} is in reach"
    longest_wait_s = max(next_probe_s or 0.0, retry_after_s)
    return refusal_of(open_call, RefusalReason.NO_BACKEND, detail, longest_wait_s)

"""Refusals of calls: what a caller is told when a call is given up on, and when to come back."""

from typing import Final

from berylquay.decisions.open_calls import OpenCall
from berylquay.verdicts import Refusal, RefusalReason

DEADLINE_DETAIL: Final = "the deadline has passed"
CALLER_GONE_DETAIL: Final = "the caller went away"
QUARANTINE_DETAIL: Final = "backend servers were lost under requests with the same content"


def refusal_of(
    state: OpenCall, reason: RefusalReason, detail: str, retry_after_s: float
) -> Refusal:
    """Returns the refusal of a call, with its true verdict.

    Args:
        state: The call.
        reason: Why it is given up on.
        detail: What a person should read.
        retry_after_s: When to come back, unless a backend server said so or the call may have run
            and must not be repeated.
    """
    if state.retry_after_s is not None:
        retry_after_s = state.retry_after_s
    final = state.may_have_run and not state.call.repeatable
    return Refusal(reason, state.verdict, detail, None if final else retry_after_s)


def refusal_for_lack_of_servers(
    state: OpenCall, soonest_probe_s: float | None, retry_after_s: float
) -> Refusal:
    """Returns the refusal of a call for which no server is left.

    Args:
        state: The call.
        soonest_probe_s: Time until a server that was set aside is tried again, if any was.
        retry_after_s: When to come back if nothing better is known.
    """
    pool = state.call.spec.pool
    if state.attempts_made:
        detail = f"{state.last_failure}; no other backend server of pool {pool} is in reach"
        return refusal_of(state, RefusalReason.BACKEND_FAILED, detail, retry_after_s)
    detail = f"no backend server of pool {pool} is in reach"
    come_back_s = max(soonest_probe_s or 0.0, retry_after_s)
    return refusal_of(state, RefusalReason.NO_BACKEND, detail, come_back_s)

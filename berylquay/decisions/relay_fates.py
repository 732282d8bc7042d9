"""Fates of relayed calls: what follows when one attempt at a backend server has ended badly."""

from enum import Enum
from typing import Final

from attrs import frozen

from berylquay.decisions.relay_call import RelayCall
from berylquay.verdicts import Refusal, RefusalReason, Verdict


class AttemptEnd(Enum):
    """How an attempt ended without an answer for the caller."""

    # No byte of the request went out.
    NOT_SENT = "not-sent"
    # The backend server said that it did not run the request.
    REJECTED = "rejected"
    # The engine could not have the KV cache that was handed over, and did not run the request.
    CACHE_GONE = "cache-gone"
    # The backend server at the address is another one.
    OTHER_SERVER = "other-server"
    # The backend server answered with a failure of its own, whole.
    FAILED = "failed"
    # The connection ended after the request had gone out.
    BROKEN = "broken"


# Ends that leave no doubt that the request has not run.
SURELY_NOT_RUN: Final = frozenset(
    {
        AttemptEnd.NOT_SENT,
        AttemptEnd.REJECTED,
        AttemptEnd.CACHE_GONE,
        AttemptEnd.OTHER_SERVER,
    }
)


@frozen
class AttemptLimits:
    """Bounds on further attempts for one call."""

    # Most connections that may fail before the call is given up.
    failed_connects: int = 4
    # Time that must be left for a further attempt to be worth it.
    least_left_s: float = 0.06
    # When a caller should come back if nothing better is known; longer than most restarts of a
    # connection, shorter than most objectives.
    retry_after_s: float = 0.4


def note_attempt_end(call: RelayCall, end: AttemptEnd) -> None:
    """Takes note of what the end means for the call."""
    if end is AttemptEnd.NOT_SENT:
        call.failed_connects += 1
    elif end not in SURELY_NOT_RUN:
        call.may_have_run = True


def may_try_again(
    call: RelayCall, end: AttemptEnd, has_budget: bool, now_s: float, limits: AttemptLimits
) -> bool:
    """Tells whether the call may be sent to another backend server.

    Args:
        call: The call, with the end already noted.
        end: How the last attempt ended.
        has_budget: Whether the host may make one more extra send to the pool.
        now_s: Present time.
        limits: Bounds for one call.
    """
    if call.left_s(now_s) < limits.least_left_s:
        return False
    if call.may_have_run and not call.route.repeatable:
        return False
    if end is AttemptEnd.NOT_SENT:
        return call.failed_connects < limits.failed_connects and _may_send_elsewhere(call)
    if end is AttemptEnd.CACHE_GONE:
        # The same engine may be asked again: it was no reason that the request did not run.
        return has_budget
    return has_budget and _may_send_elsewhere(call)


def _may_send_elsewhere(call: RelayCall) -> bool:
    return len(set(call.sent_to)) < call.route.max_attempts


def refuse(call: RelayCall, reason: RefusalReason, detail: str, retry_after_s: float) -> Refusal:
    """Returns the final answer to a call that is given up."""
    if call.may_have_run:
        return Refusal(reason, Verdict.MAY_HAVE_RUN, detail)
    return Refusal(reason, Verdict.NOT_RUN, detail, retry_after_s)

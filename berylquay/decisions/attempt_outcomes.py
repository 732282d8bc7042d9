"""Fates of relayed calls: what follows when one attempt at a backend server has ended badly."""

from enum import Enum
from typing import Final

from attrs import frozen

from berylquay.decisions.relay_call import RelayCall
from berylquay.verdicts import Refusal, RefusalReason, Verdict


class AttemptOutcome(Enum):
    """How an attempt ended without an answer for the caller."""

    # No byte of the request went out.
    NOT_SENT = "not-sent"
    # The backend server said that it did not run the request.
    REJECTED = "rejected"
    # The engine could not have the KV cache that was handed over, and did not run the request.
    KV_CACHE_UNAVAILABLE = "cache-gone"
    # The backend server at the address is another one.
    WRONG_SERVER = "other-server"
    # The backend server answered with a failure of its own, whole.
    SERVER_ERROR = "failed"
    # The connection ended after the request had gone out.
    CONNECTION_LOST = "broken"


# Ends that leave no doubt that the request has not run.
NOT_RUN_OUTCOMES: Final = frozenset(
    {
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.REJECTED,
        AttemptOutcome.KV_CACHE_UNAVAILABLE,
        AttemptOutcome.WRONG_SERVER,
    }
)


@frozen
class AttemptLimits:
    """Bounds on further attempts for one call."""

    # Most connections that may fail before the call is given up.
    max_failed_connects: int = 4
    # Time that must be left for a further attempt to be worth it.
    min_remaining_s: float = 0.06
    # When a caller should come back if nothing better is known; longer than most restarts of a
    # connection, shorter than most objectives.
    retry_after_s: float = 0.4


def record_attempt_outcome(call: RelayCall, outcome: AttemptOutcome) -> None:
    """Takes note of what the end means for the call."""
    if outcome is AttemptOutcome.NOT_SENT:
        call.failed_connects += 1
    elif outcome not in NOT_RUN_OUTCOMES:
        call.may_have_run = True


def may_retry(
    call: RelayCall, outcome: AttemptOutcome, has_budget: bool, now_s: float, limits: AttemptLimits
) -> bool:
    """Tells whether the call may be sent to another backend server.

    Args:
        call: The call, with the end already noted.
        outcome: How the last attempt ended.
        has_budget: Whether the host may make one more extra send to the pool.
        now_s: Present time.
        limits: Bounds for one call.
    """
    if call.remaining_s(now_s) < limits.min_remaining_s:
        return False
    if call.may_have_run and not call.route.repeatable:
        return False
    if outcome is AttemptOutcome.NOT_SENT:
        return call.failed_connects < limits.max_failed_connects and _may_send_elsewhere(call)
    if outcome is AttemptOutcome.KV_CACHE_UNAVAILABLE:
        # The same engine may be asked again: it was no reason that the request did not run.
        return has_budget
    return has_budget and _may_send_elsewhere(call)


def _may_send_elsewhere(call: RelayCall) -> bool:
    return len(set(call.sent_to)) < call.route.max_attempts


def make_refusal(
    call: RelayCall, reason: RefusalReason, detail: str, retry_after_s: float
) -> Refusal:
    """Returns the final answer to a call that is given up."""
    if call.may_have_run:
        return Refusal(reason, Verdict.MAY_HAVE_RUN, detail)
    return Refusal(reason, Verdict.NOT_RUN, detail, retry_after_s)

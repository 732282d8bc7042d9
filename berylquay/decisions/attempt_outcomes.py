"""Outcomes of failed attempts at backend servers, and whether a relayed call may be retried."""

from enum import Enum
from typing import Final

from attrs import frozen

from berylquay.call_verdicts import Refusal, RefusalReason, Verdict
from berylquay.decisions.relay_call import RelayCall


class AttemptOutcome(Enum):
    """How an attempt ended without an answer for the caller."""

    # No byte of the request went out.
    NOT_SENT = "not-sent"
    # The same, as the host that was to pass the request on could not be used.
    GATEWAY_FAILED = "gateway-failed"
    # The backend server answered that it did not run the request.
    REJECTED = "rejected"
    # The engine could not fetch the KV cache from the prefill engine and did not run the request.
    KV_CACHE_UNAVAILABLE = "cache-gone"
    # The server at the address answered that it is not the intended one, or that it does not run
    # this stage of a request (prefill or decode); it did not run the request.
    WRONG_SERVER = "other-server"
    # The backend server sent a complete answer that reports a failure of its own.
    SERVER_ERROR = "failed"
    # The connection was lost after the request had been sent.
    CONNECTION_LOST = "broken"


# Outcomes in which no byte of the request has reached a backend server.
UNSENT_OUTCOMES: Final = frozenset({AttemptOutcome.NOT_SENT, AttemptOutcome.GATEWAY_FAILED})
# Outcomes after which the request has certainly not run.
NOT_RUN_OUTCOMES: Final = frozenset(
    {
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.GATEWAY_FAILED,
        AttemptOutcome.REJECTED,
        AttemptOutcome.KV_CACHE_UNAVAILABLE,
        AttemptOutcome.WRONG_SERVER,
    }
)


@frozen
class AttemptLimits:
    """Limits on further attempts for one call."""

    # Number of failed connections after which the call is abandoned.
    max_failed_connects: int = 4
    # Number of gateways that could not be used after which the call is abandoned.
    max_failed_gateways: int = 8
    # Least time until the deadline with which a further attempt is worthwhile.
    min_remaining_s: float = 0.06
    # Default time after which a caller should retry; longer than most restarts of a connection,
    # shorter than most objectives.
    retry_after_s: float = 0.4


def record_attempt_outcome(call: RelayCall, outcome: AttemptOutcome) -> None:
    """Updates the call after an attempt has ended with an outcome."""
    if outcome is AttemptOutcome.NOT_SENT:
        call.failed_connects += 1
    elif outcome is AttemptOutcome.GATEWAY_FAILED:
        call.failed_gateways += 1
    elif outcome not in NOT_RUN_OUTCOMES:
        call.may_have_run = True


def may_retry(
    call: RelayCall, outcome: AttemptOutcome, has_budget: bool, now_s: float, limits: AttemptLimits
) -> bool:
    """Tells whether the call may be sent to another backend server.

    Args:
        call: The call, with the outcome already recorded.
        outcome: How the last attempt ended.
        has_budget: Whether the retry budget allows one more retry to the pool.
        now_s: Present time.
        limits: Limits for one call.
    """
    if call.remaining_s(now_s) < limits.min_remaining_s:
        return False
    if call.may_have_run and not call.route.repeatable:
        return False
    if outcome is AttemptOutcome.NOT_SENT:
        return call.failed_connects < limits.max_failed_connects and _may_send_elsewhere(call)
    if outcome is AttemptOutcome.GATEWAY_FAILED:
        return call.failed_gateways < limits.max_failed_gateways and _may_send_elsewhere(call)
    if outcome is AttemptOutcome.KV_CACHE_UNAVAILABLE:
        # The same engine may be used again: it was not the cause of the failure.
        return has_budget
    return has_budget and _may_send_elsewhere(call)


def _may_send_elsewhere(call: RelayCall) -> bool:
    return len(set(call.sent_to)) < call.route.max_attempts


def make_refusal(
    call: RelayCall, reason: RefusalReason, detail: str, retry_after_s: float
) -> Refusal:
    """Returns the final answer to a call that is abandoned.

    Only a call that has certainly not run gets a time to retry after.
    """
    if call.may_have_run:
        return Refusal(reason, Verdict.MAY_HAVE_RUN, detail)
    return Refusal(reason, Verdict.NOT_RUN, detail, retry_after_s)

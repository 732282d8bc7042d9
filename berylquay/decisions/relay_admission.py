"""Admission of generation requests by their predicted first token: send, queue or refuse.

Designed for bursts of more prompts than the engines can prefill in time. Engines prefill prompts in
order of arrival, so a request that is late in any case would only delay the next ones. It is queued
at this host while others can still be in time, and is sent when an engine has little to do, or when
its caller would otherwise abandon it. A request whose first token would come after that is refused
at once, with the time after which the queue is expected to be short. A caller that retries is sent
without queueing, because the refusal that told it when to retry promised it a place.
"""

from enum import Enum
from random import Random
from typing import Final

from attrs import frozen

from berylquay.decisions.engine_placement import Placement
from berylquay.decisions.relay_call import RelayCall

# Shortest and longest time after which a refused caller is told to retry.
MIN_RETRY_AFTER_S: Final = 0.25
MAX_RETRY_AFTER_S: Final = 3.0


class AdmissionAction(Enum):
    """What is done with a request now."""

    SEND = "send"
    QUEUE = "hold"
    REFUSE = "refuse"


@frozen
class AdmissionOptions:
    """Limits on how late a first token may be."""

    # A request is in time if its first token is predicted within this fraction of the objective.
    objective_fraction: float = 0.95
    # Fraction of the caller's stall timeout within which the first token must be predicted.
    stall_timeout_fraction: float = 0.8
    # Fraction of the time left until the deadline within which the first token must be predicted.
    remaining_time_fraction: float = 0.6
    # Wait at an engine up to which requests that are late in any case may use it.
    idle_engine_wait_s: float = 0.12


@frozen
class Admission:
    """The decision on a request."""

    action: AdmissionAction
    # Time after which the caller should retry, if the request is refused.
    retry_after_s: float = 0.0


def first_token_limit_s(call: RelayCall, options: AdmissionOptions, now_s: float) -> float:
    """Returns the time from now within which the first token of a request must be predicted."""
    return min(
        options.stall_timeout_fraction * call.route.stall_timeout_s - (now_s - call.received_s),
        options.remaining_time_fraction * call.remaining_s(now_s),
    )


def can_wait(
    call: RelayCall, placement: Placement, options: AdmissionOptions, now_s: float
) -> bool:
    """Tells whether a request would meet its limit if it were sent a little later."""
    idle_s = options.idle_engine_wait_s
    later_s = placement.first_token_s * (1.0 + idle_s) + idle_s
    return later_s <= first_token_limit_s(call, options, now_s)


def admit(
    call: RelayCall,
    placement: Placement,
    options: AdmissionOptions,
    *,
    host_count: int,
    rng: Random,
    now_s: float,
) -> Admission:
    """Returns the decision on a request at the present time.

    Args:
        call: The request.
        placement: Where it would run if sent now, with its predicted first token.
        options: Limits.
        host_count: Number of hosts that may see the same idle engine at the same time.
        rng: Chooses at random which of them use it.
        now_s: Present time.
    """
    first_token_s = placement.first_token_s
    if first_token_s > first_token_limit_s(call, options, now_s):
        # Time in which the queue drains to half of the objective if nothing is added to it.
        queue_drain_s = first_token_s - call.route.objective_s / 2.0
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, queue_drain_s))
        return Admission(AdmissionAction.REFUSE, retry_after_s)
    objective_s = options.objective_fraction * call.route.objective_s
    in_time = now_s - call.received_s + first_token_s <= objective_s
    if in_time or call.is_caller_retry:
        return Admission(AdmissionAction.SEND)
    if placement.prefill_wait_s <= options.idle_engine_wait_s and rng.random() < 2.0 / (
        1.0 + host_count
    ):
        return Admission(AdmissionAction.SEND)
    if not can_wait(call, placement, options, now_s):
        # If it were sent later, its first token would miss the limit.
        return Admission(AdmissionAction.SEND)
    return Admission(AdmissionAction.QUEUE)

"""Admission of generations by their predicted first token: send, hold or refuse.

Pattern answered: bursts of more prompts than the engines read in time. Engines read prompts in the
order in which they come, so a request that will be late whatever happens would only make the next
ones late too. It is held back at this host while others can still be in time, and goes out when an
engine has little to do, or when its caller would otherwise give up. A request whose first token
would come after that is refused at once, with the time after which the queue is expected to be
short. A caller that comes back goes first: it was promised a place by being told when to return.
"""

from enum import Enum
from random import Random
from typing import Final

from attrs import frozen

from berylquay.decisions.engine_placement import Placement
from berylquay.decisions.relay_call import RelayCall

# Shortest and longest time that a caller is told to stay away.
MIN_RETRY_AFTER_S: Final = 0.25
MAX_RETRY_AFTER_S: Final = 3.0


class AdmissionAction(Enum):
    """What becomes of a request now."""

    SEND = "send"
    QUEUE = "hold"
    REFUSE = "refuse"


@frozen
class AdmissionOptions:
    """How late a first token may be."""

    # Part of the objective within which the first token must be predicted to count as in time.
    objective_fraction: float = 0.95
    # Part of the caller's patience within which the first token must be predicted.
    stall_timeout_fraction: float = 0.8
    # Part of the time left within which the first token must be predicted.
    remaining_time_fraction: float = 0.6
    # Wait at an engine below which requests that are late anyway may use it.
    idle_engine_wait_s: float = 0.12


@frozen
class Admission:
    """What becomes of a request now, and why."""

    action: AdmissionAction
    # When the caller should come back, if it is refused.
    retry_after_s: float = 0.0


def admit(
    call: RelayCall,
    placement: Placement,
    options: AdmissionOptions,
    *,
    host_count: int,
    rng: Random,
    now_s: float,
) -> Admission:
    """Returns what becomes of a request now.

    Args:
        call: The request.
        placement: Where it would go now, and how soon its first token would come.
        options: Limits.
        host_count: Hosts that may see the same spare engine at the same moment.
        rng: Draws which of them uses it.
        now_s: Present time.
    """
    waited_s = now_s - call.received_s
    route = call.route
    limit_s = min(
        options.stall_timeout_fraction * route.stall_timeout_s - waited_s,
        options.remaining_time_fraction * call.remaining_s(now_s),
    )
    first_token_s = placement.first_token_s
    if first_token_s > limit_s:
        # By then the queue has shrunk to what the objective allows, if nothing is added.
        queue_drain_s = first_token_s - route.objective_s / 2.0
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, queue_drain_s))
        return Admission(AdmissionAction.REFUSE, retry_after_s)
    in_time = waited_s + first_token_s <= options.objective_fraction * route.objective_s
    if in_time or call.is_caller_retry:
        return Admission(AdmissionAction.SEND)
    if placement.prefill_wait_s <= options.idle_engine_wait_s and rng.random() < 2.0 / (
        1.0 + host_count
    ):
        return Admission(AdmissionAction.SEND)
    if first_token_s * (1.0 + options.idle_engine_wait_s) + options.idle_engine_wait_s > limit_s:
        # The caller would not wait for a later start.
        return Admission(AdmissionAction.SEND)
    return Admission(AdmissionAction.QUEUE)

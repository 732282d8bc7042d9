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
SHORTEST_RETURN_S: Final = 0.25
LONGEST_RETURN_S: Final = 3.0


class AdmissionStep(Enum):
    """What becomes of a request now."""

    SEND = "send"
    HOLD = "hold"
    REFUSE = "refuse"


@frozen
class AdmissionOptions:
    """How late a first token may be."""

    # Part of the objective within which the first token must be predicted to count as in time.
    in_time_share: float = 0.95
    # Part of the caller's patience within which the first token must be predicted.
    patience_share: float = 0.8
    # Part of the time left within which the first token must be predicted.
    left_share: float = 0.6
    # Wait at an engine below which requests that are late anyway may use it.
    spare_wait_s: float = 0.12


@frozen
class Admission:
    """What becomes of a request now, and why."""

    step: AdmissionStep
    # When the caller should come back, if it is refused.
    retry_after_s: float = 0.0


def admit(
    call: RelayCall,
    placement: Placement,
    options: AdmissionOptions,
    *,
    hosts: int,
    rng: Random,
    now_s: float,
) -> Admission:
    """Returns what becomes of a request now.

    Args:
        call: The request.
        placement: Where it would go now, and how soon its first token would come.
        options: Limits.
        hosts: Hosts that may see the same spare engine at the same moment.
        rng: Draws which of them uses it.
        now_s: Present time.
    """
    waited_s = now_s - call.received_s
    route = call.route
    limit_s = min(
        options.patience_share * route.patience_s - waited_s,
        options.left_share * call.left_s(now_s),
    )
    first_token_s = placement.first_token_s
    if first_token_s > limit_s:
        # By then the queue has shrunk to what the objective allows, if nothing is added.
        until_short_s = first_token_s - route.objective_s / 2.0
        retry_after_s = min(LONGEST_RETURN_S, max(SHORTEST_RETURN_S, until_short_s))
        return Admission(AdmissionStep.REFUSE, retry_after_s)
    in_time = waited_s + first_token_s <= options.in_time_share * route.objective_s
    if in_time or call.returning:
        return Admission(AdmissionStep.SEND)
    if placement.wait_s <= options.spare_wait_s and rng.random() < 2.0 / (1.0 + hosts):
        return Admission(AdmissionStep.SEND)
    if first_token_s * (1.0 + options.spare_wait_s) + options.spare_wait_s > limit_s:
        # The caller would not wait for a later start.
        return Admission(AdmissionStep.SEND)
    return Admission(AdmissionStep.HOLD)

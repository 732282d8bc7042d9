"""Admission of generations by their predicted first token.

Pattern answered: more prompts than the engines read in time. A queue in which every request is late
serves nobody, so a request whose first token would come far too late is refused at once, with the
time after which the queue is expected to be short. A caller that comes back is let in as long as it
can be served at all: it was promised a place by being told when to return.
"""

from typing import Final

from attrs import frozen

from berylquay.decisions.relay_call import RelayCall

# Shortest and longest time that a caller is told to stay away.
SHORTEST_RETURN_S: Final = 0.25
LONGEST_RETURN_S: Final = 3.0


@frozen
class AdmissionOptions:
    """How late a first token may be."""

    # Predicted time to the first token, in objectives, above which a new request is refused.
    new_objectives: float = 3.0
    # Part of the time left within which the first token of a returning request must be predicted.
    returning_share: float = 0.7
    # Part of the time left within which that of a new request must be predicted.
    new_share: float = 0.6


def retry_after_s(
    call: RelayCall, first_token_s: float, options: AdmissionOptions, now_s: float
) -> float | None:
    """Returns when the caller should come back, or None if the request is let in.

    Args:
        call: The request.
        first_token_s: Predicted time from now to the first token.
        options: Limits.
        now_s: Present time.
    """
    left_s = call.left_s(now_s)
    if call.returning:
        limit_s = options.returning_share * left_s
    else:
        waited_s = now_s - call.received_s
        limit_s = min(
            options.new_objectives * call.route.objective_s - waited_s, options.new_share * left_s
        )
    if first_token_s <= limit_s:
        return None
    # By then the queue has shrunk to what the objective allows, if nothing is added.
    until_short_s = first_token_s - call.route.objective_s / 2.0
    return min(LONGEST_RETURN_S, max(SHORTEST_RETURN_S, until_short_s))

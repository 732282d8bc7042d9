"""Progress: tells attempts whose connection seems to have gone silent from those that are slow."""

from enum import Enum

from attrs import frozen

from berylquay.decisions.calls import Call


class AttemptPhase(Enum):
    """How far an attempt has come."""

    # The connection is being made; no byte of the request was sent.
    CONNECTING = "connecting"
    # The request was handed over; no head of an answer has come.
    SENT = "sent"
    # The head of the answer has come, but no token.
    ANSWERED = "answered"
    # Tokens are coming.
    STREAMING = "streaming"


@frozen
class StallTimeouts:
    """How long an attempt may make no progress."""

    # Time within which a connection must stand.
    connect_timeout_s: float = 1.0
    # Time within which the head of an answer, or a service's whole answer, must have come.
    head_timeout_s: float = 3.0
    # Time within which the first token of an empty prompt must have come.
    first_token_timeout_s: float = 3.0
    # Slowest prefill that counts as progress.
    min_prefill_tokens_per_s: float = 2000.0
    # Longest time between two tokens.
    token_timeout_s: float = 2.0

    def stall_timeout_s(self, call: Call, phase: AttemptPhase, first_token_index: int) -> float:
        """Returns how long the attempt may stay in the phase without progress."""
        if phase is AttemptPhase.CONNECTING:
            return self.connect_timeout_s
        if phase is AttemptPhase.STREAMING:
            return self.token_timeout_s
        if not call.is_generation:
            return self.head_timeout_s
        prefill_tokens = call.prompt_tokens + first_token_index
        return self.first_token_timeout_s + prefill_tokens / self.min_prefill_tokens_per_s

"""Stall detection: tells attempts on an unresponsive connection from those that are only slow."""

from enum import Enum

from attrs import frozen

from berylquay.decisions.calls import Call


class AttemptPhase(Enum):
    """Progress of an attempt."""

    # The connection is being opened; no byte of the request was sent.
    CONNECTING = "connecting"
    # The request is being sent or was sent; the response head has not been received.
    SENT = "sent"
    # The response head was received, but no token.
    ANSWERED = "answered"
    # Tokens are being received.
    STREAMING = "streaming"


@frozen
class StallTimeouts:
    """How long an attempt may go without progress in each phase."""

    # Time within which a connection must be established.
    connect_timeout_s: float = 1.0
    # Time within which a service's response head, and then its complete response, must arrive.
    head_timeout_s: float = 3.0
    # Time within which the first token of an empty prompt must arrive.
    first_token_timeout_s: float = 3.0
    # Slowest prefill that counts as progress; longer prompts extend the timeout accordingly.
    min_prefill_tokens_per_s: float = 2000.0
    # Longest time between two batches of tokens.
    token_timeout_s: float = 2.0

    def stall_timeout_s(self, call: Call, phase: AttemptPhase, first_token_index: int) -> float:
        """Returns how long an attempt of the call may stay in the phase without progress.

        Args:
            call: The call.
            phase: Phase of the attempt.
            first_token_index: Tokens delivered by earlier attempts, which are prefilled again.
        """
        if phase is AttemptPhase.CONNECTING:
            return self.connect_timeout_s
        if phase is AttemptPhase.STREAMING:
            return self.token_timeout_s
        if not call.is_generation:
            return self.head_timeout_s
        prefill_tokens = call.prompt_tokens + first_token_index
        return self.first_token_timeout_s + prefill_tokens / self.min_prefill_tokens_per_s

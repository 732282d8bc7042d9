"""Speed model of an engine, used by admission, routing and role planning to predict times."""

from attrs import frozen

from berylquay.decisions.fleet import Role


@frozen
class EngineSpeed:
    """Rates of one type of engine with continuous batching."""

    # Prompt tokens that an engine in the prefill role prefills in a second.
    prefill_tokens_per_s: float = 8000.0
    # Time between tokens with an empty batch.
    token_base_s: float = 0.020
    # Additional time between tokens for each sequence in the batch.
    token_per_sequence_s: float = 0.0004
    # Most sequences in the batch.
    max_batch: int = 48
    # Factor on all times in the mixed role.
    mixed_overhead: float = 1.2
    # Fraction of a mixed engine's time that prefill gets while sequences decode.
    mixed_prefill_share: float = 0.35
    # Largest fraction of a mixed engine's time that prefill gets over long periods.
    mixed_prefill_limit: float = 0.6

    def prefill_s(self, tokens: float, role: Role, decoding: bool = False) -> float:
        """Returns the seconds that an engine in the role takes to prefill the tokens."""
        seconds = tokens / self.prefill_tokens_per_s
        if role is not Role.MIXED:
            return seconds
        share = self.mixed_prefill_share if decoding else 1.0
        return seconds * self.mixed_overhead / share

    def token_s(self, batch: float, role: Role, prefilling: bool = False) -> float:
        """Returns the seconds between output tokens of a sequence at a batch size."""
        seconds = self.token_base_s + self.token_per_sequence_s * batch
        if role is not Role.MIXED:
            return seconds
        share = 1.0 - self.mixed_prefill_share if prefilling else 1.0
        return seconds * self.mixed_overhead / share

    def work_s(self, prompt_tokens: float, output_tokens: float) -> float:
        """Returns the least engine time that a generation takes, at a full batch."""
        return self.prefill_work_s(prompt_tokens) + self.decode_work_s(output_tokens)

    def prefill_work_s(self, prompt_tokens: float) -> float:
        """Returns the least engine time that the prefill of the prompt takes."""
        return prompt_tokens / self.prefill_tokens_per_s

    def decode_work_s(self, output_tokens: float) -> float:
        """Returns the least engine time that the output takes, at a full batch."""
        return output_tokens * self.token_s(self.max_batch, Role.DECODE) / self.max_batch

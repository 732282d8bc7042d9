"""Speeds of an engine, from which admission, routing and role planning predict times."""

from attrs import frozen

from berylquay.decisions.fleet import Role


@frozen
class EngineSpeed:
    """Rates of one kind of engine with continuous batching."""

    # Prompt tokens prefilled in a second by an engine in the prefill role.
    prefill_tokens_per_s: float = 8000.0
    # Time between tokens with an empty batch.
    token_base_s: float = 0.020
    # Time between tokens that each sequence in the batch adds.
    token_per_sequence_s: float = 0.0004
    # Most sequences in the batch.
    max_batch: int = 48
    # Factor on all times of an engine in the mixed role.
    mixed_overhead: float = 1.2
    # Part of a mixed engine's time that prefill gets while sequences decode.
    mixed_prefill_share: float = 0.35
    # Part of a mixed engine's time that prefill gets over long stretches at the most.
    mixed_prefill_limit: float = 0.6

    def prefill_s(self, tokens: float, role: Role, decoding: bool = False) -> float:
        """Returns the time to prefill the tokens."""
        seconds = tokens / self.prefill_tokens_per_s
        if role is not Role.MIXED:
            return seconds
        share = self.mixed_prefill_share if decoding else 1.0
        return seconds * self.mixed_overhead / share

    def token_s(self, batch: float, role: Role, prefilling: bool = False) -> float:
        """Returns the time between tokens at the batch size."""
        seconds = self.token_base_s + self.token_per_sequence_s * batch
        if role is not Role.MIXED:
            return seconds
        share = 1.0 - self.mixed_prefill_share if prefilling else 1.0
        return seconds * self.mixed_overhead / share

    def work_s(self, prompt_tokens: float, output_tokens: float) -> float:
        """Returns the least engine time that a generation costs, at the best batch."""
        return self.prefill_work_s(prompt_tokens) + self.decode_work_s(output_tokens)

    def prefill_work_s(self, prompt_tokens: float) -> float:
        """Returns the least engine time that the prompt costs."""
        return prompt_tokens / self.prefill_tokens_per_s

    def decode_work_s(self, output_tokens: float) -> float:
        """Returns the least engine time that the output costs, at a full batch."""
        return output_tokens * self.token_s(self.max_batch, Role.DECODE) / self.max_batch

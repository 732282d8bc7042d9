"""A relayed call: an opaque request of a caller on its way through the decisions."""

from attrs import define, field, frozen

from berylquay.decisions.route_table import Pool, Route


@frozen
class PromptSegment:
    """A part of a prompt that other requests may share."""

    # Id of the part; equal parts have equal ids.
    segment_id: str
    # Length of the part.
    tokens: int


@frozen
class GenerationRequest:
    """What a request asks of a language model."""

    model: str
    # Length of the whole prompt.
    prompt_tokens: int
    # Most tokens to generate.
    max_output_tokens: int
    # The prompt's parts in order; the last one belongs to the request or its session.
    segments: tuple[PromptSegment, ...] = ()
    # Size of the request's body, which goes to each engine that is used.
    request_bytes: int = 0

    @property
    def shared_tokens(self) -> int:
        """Returns the length of the parts that other requests may share."""
        return sum(part.tokens for part in self.segments[:-1])


@define(eq=False)
class RelayCall:
    """One attempt of a caller, and what has become of it."""

    # Id that the caller gave to this attempt.
    call_id: str
    route: Route
    pool: Pool
    # Monotonic time at which the head of the request was read.
    received_s: float
    # Monotonic time at which the caller must have its final answer.
    deadline_s: float
    # Whether the caller was told before to come back with this request.
    is_caller_retry: bool
    # Hash of what is asked for; the same when the caller sends it again.
    fingerprint: str
    # What is asked of a model, or None if the pool has no engines.
    generation: GenerationRequest | None = None
    # Backend servers that were sent the request so that it could run.
    sent_to: list[str] = field(factory=list)
    # Connections that failed before a byte went out.
    failed_connects: int = 0
    # Whether the request may have run.
    may_have_run: bool = False

    def remaining_s(self, now_s: float) -> float:
        """Returns the time left until the final answer is due."""
        return self.deadline_s - now_s

"""A relayed call: the state of an opaque request of a caller, for routing and retries."""

from typing import Final

from attrs import define, field, frozen

from berylquay.decisions.route_table import Pool, Route

# Work of one token to generate, in tokens to prefill. An estimate: a token of a stream takes part
# in a step of its own, beside those of all other streams of the engine.
OUTPUT_TOKEN_WEIGHT: Final = 4


@frozen
class PromptSegment:
    """A segment of a prompt that other requests may share."""

    # Id of the segment; equal segments have equal ids.
    segment_id: str
    # Length of the segment.
    tokens: int


@frozen
class GenerationRequest:
    """A request for generation by a language model."""

    model: str
    # Length of the whole prompt.
    prompt_tokens: int
    # Most tokens to generate.
    max_output_tokens: int
    # Segments of the prompt in order; the last one is private to the request or its session.
    segments: tuple[PromptSegment, ...] = ()
    # Size of the request's body, which is sent to each engine that is used.
    request_bytes: int = 0

    @property
    def work_tokens(self) -> int:
        """Returns the work at engines for comparisons between tenants, in prompt tokens.

        It does not depend on what engines have cached, which is no merit of a tenant.
        """
        return self.prompt_tokens + OUTPUT_TOKEN_WEIGHT * self.max_output_tokens

    @property
    def shared_tokens(self) -> int:
        """Returns the total length of the segments that other requests may share."""
        return sum(segment.tokens for segment in self.segments[:-1])


@define(eq=False)
class RelayCall:
    """One attempt of a caller, and its state."""

    # Id that the caller gave to this attempt.
    call_id: str
    route: Route
    pool: Pool
    # Monotonic time at which the head of the request was read.
    received_s: float
    # Monotonic time by which the caller must have its final answer.
    deadline_s: float
    # Whether the caller sends this request again because a refusal told it to retry.
    is_caller_retry: bool
    # Hash of the content of the request; the same when the caller sends it again.
    fingerprint: str
    # Parsed request for generation, or None if the pool has no engines.
    generation: GenerationRequest | None = None
    # Name of the tenant whose key the caller has sent, or None.
    tenant: str | None = None
    # Priority rank of the tenant, or None if the route's applies.
    tenant_rank: int | None = None
    # Whether the configuration has tenants, so that servers get no key of the caller.
    hides_key: bool = False
    # Id of the newest event that the caller has of the stream that it takes up; None if it begins a
    # new one.
    resumed_after_event: int | None = None
    # Id of the attempt that brought the first event of that stream; empty if it is not known.
    resumed_call_id: str = ""
    # Version of the configuration by which the call is handled, and the time for which it had not
    # been confirmed, in milliseconds.
    configuration_version: int = 0
    configuration_age_ms: int = 0
    # Software version of the servers at which the caller's event stream may go on; None if it
    # has not begun.
    stream_version: str | None = None
    # Names of the engines that could not show that they are the starts in their entries, so that
    # the stream can't go on there.
    unproven_engines: set[str] = field(factory=set)
    # Names of the backend servers to which the request was sent so that it could run.
    sent_to: list[str] = field(factory=list)
    # Connections that failed before a byte of the request was sent.
    failed_connects: int = 0
    # Hosts that could not pass the request on to a server that this host does not reach.
    failed_gateways: int = 0
    # Whether the request may have run.
    may_have_run: bool = False

    @property
    def rank(self) -> int:
        """Returns the priority rank: that of the tenant takes precedence over the route's."""
        return self.route.rank if self.tenant_rank is None else self.tenant_rank

    @property
    def shared_segment_ids(self) -> tuple[str, ...]:
        """Returns the ids of the prompt's segments that other requests may share, in order."""
        if self.generation is None:
            return ()
        return tuple(segment.segment_id for segment in self.generation.segments[:-1])

    def may_use_version(self, software_version: str) -> bool:
        """Tells whether the events of servers with this version fit those that the caller has."""
        return self.stream_version in (None, software_version)

    def remaining_s(self, now_s: float) -> float:
        """Returns the time left until the final answer is due."""
        return self.deadline_s - now_s

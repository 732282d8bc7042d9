"""A call, which is one request of a caller, and the attempts to run it on backend servers."""

from attrs import frozen

from berylquay.decisions.deployment import ClassSpec, WorkKind


@frozen
class Call:
    """One accepted request of a caller, validated against the configuration."""

    # Unique id of this call on this host.
    call_id: str
    # Request id given by the caller, or generated if it gave none; used in logs and answers.
    request_id: str
    # Tenant that sent the request.
    tenant: str
    # Class of the request.
    class_spec: ClassSpec
    # Monotonic time at which the request was received completely.
    received_s: float
    # Monotonic time after which the answer is of no use to the caller.
    deadline_s: float
    # Whether the request may run more than once.
    repeatable: bool
    # Idempotency key: a non-repeatable request runs at most once under it; empty if none was given.
    idempotency_key: str
    # Hash of the request content; equal for requests with equal content.
    fingerprint: str
    # Whether the caller wants the answer streamed token by token.
    wants_stream: bool
    # Model name for a generation, empty for a service call.
    model: str
    # Adapter name, or empty.
    adapter: str
    # Prompt for a generation, empty for a service call.
    prompt: str
    # Estimated length of the prompt in tokens.
    prompt_tokens: int
    # Maximum number of tokens to generate.
    max_output_tokens: int
    # HTTP method of a service call.
    method: str = "POST"
    # Path of a service call.
    path: str = ""
    # Body of a service call.
    body: bytes = b""

    @property
    def is_generation(self) -> bool:
        """Returns whether the call is a generation by a model."""
        return self.class_spec.kind is WorkKind.GENERATION


@frozen
class Attempt:
    """One attempt to run a call on one backend server."""

    # Unique id, checked on every frame that the server sends back.
    attempt_id: str
    # Call that the attempt belongs to.
    call: Call
    # Name of the backend server.
    backend: str
    # Index of the first token needed; above 0 if earlier attempts already delivered tokens.
    first_token_index: int = 0
    # Model version that generated the tokens delivered so far, or empty if unknown. No other
    # version may continue the answer.
    model_version: str = ""

"""A call: one request of a caller, and the attempts that berylquay makes to run it."""

from attrs import frozen

from berylquay.decisions.deployment import ClassSpec, WorkKind


@frozen
class Call:
    """One accepted request of a caller, checked against the configuration."""

    # Unique id of this call on this host.
    call_id: str
    # Request id that the caller gave or that was made up for it; for logs and answers.
    request_id: str
    # Tenant that asks.
    tenant: str
    # Class of the request.
    class_spec: ClassSpec
    # Monotonic time at which the request was received whole.
    received_s: float
    # Monotonic time after which the answer is worth nothing.
    deadline_s: float
    # Whether the request may run more than once.
    repeatable: bool
    # Key under which a non-repeatable request runs at most once; empty if none was given.
    idempotency_key: str
    # Hash of what is asked for; the same for the same content.
    fingerprint: str
    # Whether the caller wants the answer token by token.
    wants_stream: bool
    # Model name for a generation, empty for a service call.
    model: str
    # Adapter name, or empty.
    adapter: str
    # Prompt for a generation, empty for a service call.
    prompt: str
    # Estimate of the prompt's length.
    prompt_tokens: int
    # Most tokens to generate.
    max_output_tokens: int
    # HTTP method of a service call.
    method: str = "POST"
    # Path of a service call.
    path: str = ""
    # Body of a service call.
    body: bytes = b""

    @property
    def is_generation(self) -> bool:
        """Tells whether a model is to answer."""
        return self.class_spec.kind is WorkKind.GENERATION


@frozen
class Attempt:
    """One try to run a call on one backend server."""

    # Unique id, checked on every frame that comes back.
    attempt_id: str
    # Call that the attempt belongs to.
    call: Call
    # Name of the backend server.
    backend: str
    # First token that is wanted; above 0 when an earlier attempt delivered some already.
    first_token_index: int = 0
    # Version that made the tokens delivered so far, if it is known; no other may go on with them.
    model_version: str = ""

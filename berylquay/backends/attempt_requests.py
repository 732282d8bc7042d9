"""Encodes attempts as HTTP requests to backend servers."""

from typing import Final

from berylquay.decisions.calls import Attempt
from berylquay.net.http_client import HttpRequest, make_json_request

ATTEMPT_ID_HEADER: Final = "X-Attempt-Id"


def build_attempt_request(attempt: Attempt) -> HttpRequest:
    """Returns the HTTP request that runs the attempt."""
    call = attempt.call
    headers = ((ATTEMPT_ID_HEADER, attempt.attempt_id),)
    if not call.is_generation:
        return HttpRequest(call.method, call.path, call.body, headers=headers)
    body = {
        "attempt_id": attempt.attempt_id,
        "model": call.model,
        "model_version": attempt.model_version,
        "adapter": call.adapter,
        "prompt": call.prompt,
        "prompt_tokens": call.prompt_tokens,
        "max_tokens": call.max_output_tokens,
        "priority": call.class_spec.priority,
        "first_token": attempt.first_token_index,
    }
    return make_json_request("POST", "/v1/generate", body, headers)

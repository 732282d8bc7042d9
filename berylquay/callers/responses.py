"""Encodes tokens, complete responses and refusals as callers receive them."""

import json
import math
from json.encoder import encode_basestring_ascii as _encode_text
from typing import Final

from berylquay.call_verdicts import Refusal, RefusalReason, Verdict
from berylquay.decisions.calls import Call

VERDICT_HEADER: Final = "X-Verdict"
REQUEST_ID_HEADER: Final = "X-Request-Id"
DONE_EVENT: Final = b"data: [DONE]\n\n"

_STATUS_BY_REASON: Final = {
    RefusalReason.INVALID: 400,
    RefusalReason.UNAUTHORIZED: 401,
    RefusalReason.DEADLINE: 504,
    RefusalReason.OVERLOADED: 429,
    RefusalReason.NO_BACKEND: 503,
    RefusalReason.BACKEND_FAILED: 502,
    RefusalReason.DUPLICATE: 409,
    RefusalReason.QUARANTINED: 422,
    RefusalReason.SHUTTING_DOWN: 503,
    RefusalReason.PLATFORM_UNAVAILABLE: 503,
}


def refusal_status(refusal: Refusal) -> int:
    """Returns the HTTP status for the reason of the refusal."""
    return _STATUS_BY_REASON[refusal.reason]


def refusal_body(refusal: Refusal) -> bytes:
    """Returns the JSON body of a refusal."""
    value = {
        "error": {
            "reason": refusal.reason.value,
            "verdict": refusal.verdict.value,
            "detail": refusal.detail,
            "retry_after_s": refusal.retry_after_s,
        }
    }
    return json.dumps(value).encode()


def format_retry_after(retry_after_s: float) -> str:
    """Returns the value of a Retry-After header: whole seconds, rounded up, at least 1."""
    return str(max(1, math.ceil(retry_after_s)))


class TokenEventEncoder:
    """Encodes the tokens of one streamed response as server-sent events.

    Only the text differs between the events of a response, so the rest is encoded once.
    """

    # Bytes of an event before its text.
    _prefix: bytes
    # Bytes of an event after its text.
    _suffix: bytes

    def __init__(self, call: Call) -> None:
        value = {
            "id": call.request_id,
            "object": "chat.completion.chunk",
            "model": call.model,
            "choices": [{"index": 0, "delta": {"content": ""}, "finish_reason": None}],
        }
        prefix, suffix = json.dumps(value).rsplit('""', 1)
        self._prefix = b"data: " + prefix.encode()
        self._suffix = suffix.encode() + b"\n\n"

    def encode(self, text: str) -> bytes:
        """Returns the event with the text of one or more tokens."""
        return self._prefix + _encode_text(text).encode() + self._suffix


def final_events(call: Call, total_tokens: int) -> bytes:
    """Returns the server-sent events that end a complete streamed response."""
    value = {
        "id": call.request_id,
        "object": "chat.completion.chunk",
        "model": call.model,
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": {"completion_tokens": total_tokens},
        "verdict": Verdict.COMPLETED.value,
    }
    return b"data: " + json.dumps(value).encode() + b"\n\n" + DONE_EVENT


def refusal_event(refusal: Refusal) -> bytes:
    """Returns the server-sent event that ends a streamed response before it is complete."""
    return b"data: " + refusal_body(refusal) + b"\n\n"


def completion_body(call: Call, text: str, total_tokens: int) -> bytes:
    """Returns the JSON body of a generation response that is not streamed."""
    value = {
        "id": call.request_id,
        "object": "chat.completion",
        "model": call.model,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "stop",
            }
        ],
        "usage": {"prompt_tokens": call.prompt_tokens, "completion_tokens": total_tokens},
    }
    return json.dumps(value).encode()

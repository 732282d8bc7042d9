"""Parses the frames of an engine's token stream: one JSON object in each server-sent event."""

import json

from attrs import frozen
from returns.result import Failure, Result, Success


@frozen
class TokenFrame:
    """One generated token."""

    attempt_id: str
    index: int
    text: str


@frozen
class EndFrame:
    """The end of a complete token stream."""

    attempt_id: str
    total_tokens: int


Frame = TokenFrame | EndFrame


def parse_frame(data: bytes) -> Result[Frame, str]:
    """Returns the frame in the data of one event, or a description of what is wrong with it."""
    try:
        value = json.loads(data)
    except (ValueError, RecursionError):
        return Failure("a frame is not JSON")
    if not isinstance(value, dict):
        return Failure("a frame is not a JSON object")
    attempt_id = value.get("attempt_id")
    if not isinstance(attempt_id, str):
        return Failure("a frame names no attempt")
    if "total_tokens" in value:
        return _parse_end_frame(attempt_id, value["total_tokens"])
    return _parse_token_frame(attempt_id, value.get("index"), value.get("text"))


def _parse_end_frame(attempt_id: str, total_tokens: object) -> Result[Frame, str]:
    if not _is_non_negative_int(total_tokens):
        return Failure("a frame's total_tokens is not a whole number")
    return Success(EndFrame(attempt_id, int(str(total_tokens))))


def _parse_token_frame(attempt_id: str, index: object, text: object) -> Result[Frame, str]:
    if not _is_non_negative_int(index) or not isinstance(text, str):
        return Failure("a frame has no index or no text")
    return Success(TokenFrame(attempt_id, int(str(index)), text))


def _is_non_negative_int(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0

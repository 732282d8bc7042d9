"""Stream frames of engines: malformed frames are refused, and no input raises an exception."""

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from berylquay.backends.sse import MAX_EVENT_BYTES, EventSplitter, OversizedEventError
from berylquay.backends.stream_frames import EndFrame, TokenFrame, parse_frame
from berylquay.backends.upstream_attempt import parse_retry_after

BAD_FRAMES = Path(__file__).parents[1] / "test-data" / "backends" / "bad_frames.txt"


@pytest.mark.parametrize("line", BAD_FRAMES.read_text(encoding="utf-8").splitlines())
def test_malformed_frame_is_refused(line: str) -> None:
    assert isinstance(parse_frame(line.encode()), Failure)


def test_valid_frames_are_parsed() -> None:
    token = parse_frame(b'{"attempt_id": "a", "index": 3, "text": "x", "more": 1}')
    assert token == Success(TokenFrame("a", 3, "x"))
    assert parse_frame(b'{"attempt_id": "a", "total_tokens": 4}') == Success(EndFrame("a", 4))


@settings(derandomize=True, database=None)
@given(st.binary(max_size=200))
def test_no_bytes_raise(data: bytes) -> None:
    parse_frame(data)


@settings(derandomize=True, database=None)
@given(st.lists(st.binary(max_size=30).filter(lambda data: b"\n" not in data)), st.randoms())
def test_events_come_whole_however_they_are_cut(events: list[bytes], rng: object) -> None:
    stream = b"".join(b"data: " + event + b"\n\n" for event in events)
    splitter = EventSplitter()
    got: list[bytes] = []
    while stream:
        size = getattr(rng, "randint")(1, 40)  # noqa: B009 (hypothesis's Random is untyped)
        got += splitter.feed(stream[:size])
        stream = stream[size:]
    assert got == events


def test_oversized_event_is_refused() -> None:
    splitter = EventSplitter()
    with pytest.raises(OversizedEventError):
        for _ in range(MAX_EVENT_BYTES // 1000 + 2):
            splitter.feed(b"x" * 1000)


@pytest.mark.parametrize(
    ("text", "seconds"),
    [("3", 3.0), ("0", 0.0), ("", None), ("-1", None), ("nan", None), ("inf", None), ("Fri", None)],
)
def test_retry_after_is_seconds_or_none(text: str, seconds: float | None) -> None:
    assert parse_retry_after(text) == seconds

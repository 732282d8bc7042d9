"""The end of a JSON document that arrives in pieces."""

import json
from typing import Final

import pytest

from berylquay.net.json_end import JsonEndDetector

DOCUMENTS: Final = (
    {"a": [1, {"b": 'quoted " and } and \\'}], "c": None},
    [[], {}, "", "\\", '"'],
    "only a string",
)


@pytest.mark.parametrize("document", DOCUMENTS)
@pytest.mark.parametrize("piece_bytes", [1, 3, 1000])
def test_a_document_is_complete_at_its_last_byte_only(document: object, piece_bytes: int) -> None:
    text = json.dumps(document).encode()
    for end in range(len(text) + 1):
        detector = JsonEndDetector()
        for at in range(0, end, piece_bytes):
            detector.feed(text[at : min(at + piece_bytes, end)])
        assert detector.is_complete is (end == len(text))
        assert detector.is_closed is (end == len(text))


# Guards against a number that was cut off and is taken for whole.
@pytest.mark.parametrize("text", [b"12", b"true ", b"\n1.5"])
def test_a_document_without_quotes_and_brackets_is_never_closed(text: bytes) -> None:
    detector = JsonEndDetector()
    detector.feed(text)
    assert detector.is_complete
    assert not detector.is_closed


def test_space_around_a_document_does_not_matter() -> None:
    detector = JsonEndDetector()
    detector.feed(b" \r\n\t")
    assert not detector.is_complete
    detector.feed(b"{} \n")
    assert detector.is_complete

"""Whole numbers in text from other processes."""

import pytest

from berylquay.decisions.store_era import split_era
from berylquay.whole_numbers import MAX_DIGITS, parse_whole_number


@pytest.mark.parametrize(
    ("text", "number"),
    [
        ("0", 0),
        (b" 42 ", 42),
        ("9" * MAX_DIGITS, 10**MAX_DIGITS - 1),
        ("9" * (MAX_DIGITS + 1), None),
        # More digits than Python converts.
        (b"9" * 5000, None),
        ("\u0663", None),
        ("-1", None),
        ("1.5", None),
        ("", None),
        (None, None),
    ],
)
def test_a_number_is_read_or_counts_as_absent(text: str | bytes | None, number: int | None) -> None:
    assert parse_whole_number(text) == number


# Guards against a datagram whose era is too long a number to convert.
def test_an_unreadable_era_is_part_of_the_state() -> None:
    marked_hash = "9" * 5000 + ":12"
    assert split_era(marked_hash) == (None, marked_hash)

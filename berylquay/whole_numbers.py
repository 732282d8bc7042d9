"""Whole numbers in text from other processes."""

from typing import Final

# Digits of the largest number that is read; more could not be a count, a time or an offset.
MAX_DIGITS: Final = 18


def parse_whole_number(text: str | bytes | None) -> int | None:
    """Returns the number, or None if the text is not a whole number of at most `MAX_DIGITS`."""
    stripped = (text or "").strip()
    is_number = stripped.isascii() and stripped.isdigit() and len(stripped) <= MAX_DIGITS
    return int(stripped) if is_number else None

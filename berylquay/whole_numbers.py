"""Whole numbers in text from other processes."""

from typing import Final

# Digits of the largest number that is read; more could not be a count, a time or an offset.
MAX_DIGITS: Final = 18
# The same for ids of events, which may have up to 128 bits.
MAX_EVENT_ID_DIGITS: Final = 39


def parse_whole_number(text: str | bytes | None, max_digits: int = MAX_DIGITS) -> int | None:
    """Returns the number, or None if the text is not a whole number of at most `max_digits`."""
    stripped = (text or "").strip()
    is_number = stripped.isascii() and stripped.isdigit() and len(stripped) <= max_digits
    return int(stripped) if is_number else None

"""Detects the end of a JSON document that arrives in pieces."""

from typing import Final

from berylquay.net.body_framing import BodyFraming, is_json

CUT_OFF: Final = "the JSON document was cut off"
_OPENING: Final = frozenset(b"{[")
_CLOSING: Final = frozenset(b"}]")
_QUOTE: Final = ord('"')
_BACKSLASH: Final = ord("\\")
_WHITESPACE: Final = frozenset(b" \t\r\n")


def is_unframed_json(framing: BodyFraming, content_type: str) -> bool:
    """Returns whether nothing but the body's own end tells that it is complete."""
    return framing is BodyFraming.CONNECTION_END and is_json(content_type)


class JsonEndDetector:
    """Follows strings and brackets only: tells a document that was cut off, not a malformed one.

    A number or literal outside of any bracket is taken as complete.
    """

    # Brackets that are open.
    _depth: int
    _in_string: bool
    # Whether the next byte of a string is escaped.
    _escaped: bool
    # Whether anything but whitespace was received.
    _has_begun: bool

    def __init__(self) -> None:
        self._depth = 0
        self._in_string = False
        self._escaped = False
        self._has_begun = False

    @property
    def is_complete(self) -> bool:
        """Returns whether the document that was received so far may be complete."""
        return self._has_begun and not self._depth and not self._in_string

    def feed(self, data: bytes) -> None:
        """Adds bytes of the document."""
        for byte in data:
            if self._in_string:
                self._feed_string(byte)
            elif byte == _QUOTE:
                self._in_string = True
            elif byte in _OPENING:
                self._depth += 1
            elif byte in _CLOSING:
                self._depth -= 1
            if byte not in _WHITESPACE:
                self._has_begun = True

    def _feed_string(self, byte: int) -> None:
        if self._escaped:
            self._escaped = False
        elif byte == _BACKSLASH:
            self._escaped = True
        elif byte == _QUOTE:
            self._in_string = False

"""Detects the end of a JSON document that arrives in pieces."""

from typing import Final

from berylquay.net.body_framing import BodyFraming, is_json

CUT_OFF: Final = "the JSON document was cut off"
_QUOTE: Final = b'"'
_BACKSLASH: Final = b"\\"
_WHITESPACE: Final = b" \t\r\n"


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
    # Whether the last byte but whitespace was a closing quote or bracket.
    _ends_closed: bool

    def __init__(self) -> None:
        self._depth = 0
        self._in_string = False
        self._escaped = False
        self._has_begun = False
        self._ends_closed = False

    @property
    def is_complete(self) -> bool:
        """Returns whether the document that was received so far may be complete."""
        return self._has_begun and not self._depth and not self._in_string

    @property
    def is_closed(self) -> bool:
        """Returns whether a closing quote or bracket has ended the document."""
        return self.is_complete and self._ends_closed

    def feed(self, data: bytes) -> None:
        """Adds bytes of the document."""
        first, *rest = data.split(_QUOTE)
        self._feed_without_quotes(first)
        for part in rest:
            self._feed_quote()
            self._feed_without_quotes(part)

    def _feed_quote(self) -> None:
        self._has_begun = True
        if self._escaped:
            self._escaped = False
        else:
            self._in_string = not self._in_string
            self._ends_closed = not self._in_string

    def _feed_without_quotes(self, part: bytes) -> None:
        if not part:
            return
        if self._in_string:
            backslashes = len(part) - len(part.rstrip(_BACKSLASH))
            if backslashes == len(part):
                # The first one may be escaped itself.
                backslashes -= self._escaped
            self._escaped = backslashes % 2 == 1
            return
        self._depth += part.count(b"{") + part.count(b"[") - part.count(b"}") - part.count(b"]")
        if text := part.rstrip(_WHITESPACE):
            self._has_begun = True
            self._ends_closed = text.endswith((b"}", b"]"))

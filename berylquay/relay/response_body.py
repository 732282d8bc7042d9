"""Bodies of backend servers' responses: what may be relayed, and whether the body is complete.

A body that ends with its connection, or whose sender ended the message early, can look complete to
HTTP. Its content then tells more: an event stream ends between two events, and a JSON document with
its last bracket.
"""

from typing import Final, Protocol

from returns.result import Failure, Result, Success

from berylquay.net.body_framing import STATUSES_WITHOUT_BODY, media_type
from berylquay.net.json_end import CUT_OFF, JsonEndDetector, is_unframed_json
from berylquay.net.persistent_http import RawResponseHead
from berylquay.relay.event_stream import EventTracker

EVENT_STREAM_TYPE: Final = "text/event-stream"
FIRST_REDIRECT: Final = 300


class ResponseBody(Protocol):
    """The body of one response."""

    def feed(self, data: bytes) -> bytes:
        """Adds received bytes and returns those that may be relayed."""

    def finish(self) -> Result[bytes, str]:
        """Returns the bytes still to be relayed, or why the body is incomplete.

        Called once, after HTTP has delivered the whole body.
        """

    @property
    def shows_its_end(self) -> bool:
        """Returns whether what was received shows that nothing is missing at the end."""


class OpaqueBody:
    """A body whose framing alone tells whether it is complete."""

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes as received."""
        return data

    def finish(self) -> Result[bytes, str]:
        """Returns nothing: all bytes were returned as they were received."""
        return Success(b"")

    @property
    def shows_its_end(self) -> bool:
        """Returns False: the content is not known."""
        return False


class EmptyBody(OpaqueBody):
    """The body of a response that has none."""

    @property
    def shows_its_end(self) -> bool:
        """Returns True: nothing can be missing."""
        return True


class UnframedJsonBody:
    """A JSON document that ends with its connection."""

    _end_detector: JsonEndDetector

    def __init__(self) -> None:
        self._end_detector = JsonEndDetector()

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes as received."""
        self._end_detector.feed(data)
        return data

    def finish(self) -> Result[bytes, str]:
        """Fails if the document was cut off."""
        if self._end_detector.is_complete:
            return Success(b"")
        return Failure(CUT_OFF)

    @property
    def shows_its_end(self) -> bool:
        """Returns whether the document is closed; a number could go on."""
        return self._end_detector.is_closed


def select_response_body(
    method: bytes, head: RawResponseHead, event_tracker: EventTracker, *, is_streaming_route: bool
) -> ResponseBody:
    """Returns the body that fits the head of a response.

    Args:
        method: Method of the request.
        head: Head of the response.
        event_tracker: The call's event tracker, used if the response is an event stream.
        is_streaming_route: Whether the route's successful responses are event streams.
    """
    if method == b"HEAD" or head.status in STATUSES_WITHOUT_BODY:
        return EmptyBody()
    content_type = (head.get(b"content-type") or b"").decode("latin-1")
    if not content_type and is_streaming_route and head.status < FIRST_REDIRECT:
        content_type = EVENT_STREAM_TYPE
    if media_type(content_type) == EVENT_STREAM_TYPE:
        return event_tracker
    if is_unframed_json(head.framing, content_type):
        return UnframedJsonBody()
    return OpaqueBody()

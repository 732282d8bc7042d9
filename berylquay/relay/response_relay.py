"""Passes the response of a call's present attempt on to the caller, buffered or as it arrives."""

from typing import Final

from returns.result import Result

from berylquay.net.body_framing import BodyFraming
from berylquay.net.persistent_http import RawResponseHead
from berylquay.platform.request_codec import forwarded_headers
from berylquay.relay.caller_connection import CallerConnection
from berylquay.relay.event_stream import EventTracker
from berylquay.relay.response_body import OpaqueBody, ResponseBody, select_response_body

FIRST_SERVER_ERROR: Final = 500
# Largest response body that is buffered before it is relayed, so that the request can still be
# sent to another backend server if the response breaks off.
MAX_BUFFERED_BODY_BYTES: Final = 131072


class ResponseRelay:
    """Relays one response to the caller, which several attempts may contribute to."""

    # Bytes of the body that were relayed as they arrived.
    relayed_bytes: int
    _caller: CallerConnection
    # Method of the caller's request.
    _method: bytes
    # Whether the route's successful responses are event streams.
    _is_streaming_route: bool
    # Whether another attempt may continue an event stream.
    _is_resumable: bool
    # Tracks the events that were relayed, over all attempts.
    _event_tracker: EventTracker
    # Head of the present attempt's response, or None before it arrives.
    _head: RawResponseHead | None
    # Status that the caller received, or 0 before the response was started.
    _started_status: int
    _body: ResponseBody
    # Body that is buffered, or None while the body is relayed as it arrives.
    _buffered_body: bytearray | None
    # Head and body of the newest failure that a server has answered completely and of which the
    # caller has nothing, or None.
    _failure: tuple[RawResponseHead, bytes] | None

    def __init__(
        self,
        caller: CallerConnection,
        method: bytes,
        *,
        is_streaming_route: bool,
        is_resumable: bool,
        last_event_id: int | None,
    ) -> None:
        self.relayed_bytes = 0
        self._caller = caller
        self._method = method
        self._is_streaming_route = is_streaming_route
        self._is_resumable = is_resumable
        # On other routes each run begins a stream, whatever the caller says that it has.
        self._event_tracker = EventTracker(last_event_id if is_resumable else None)
        self._head = None
        self._started_status = 0
        self._body = OpaqueBody()
        self._buffered_body = None
        self._failure = None

    @property
    def has_failure(self) -> bool:
        """Returns whether a server's complete failure can be sent in place of another answer."""
        return self._failure is not None and not self._caller.response_started

    @property
    def newest_event_id(self) -> int | None:
        """Returns the id of the newest event that the caller has, or None."""
        return self._event_tracker.newest_id

    @property
    def is_run_unfit(self) -> bool:
        """Returns whether the present run does not go on after the caller's newest event."""
        return self._event_tracker.is_run_unfit

    @property
    def is_end_uncertain(self) -> bool:
        """Returns whether the end of its connection is all that ends the present response.

        What was received then does not tell whether it is complete.
        """
        head = self._head
        is_unframed = head is not None and head.framing is BodyFraming.CONNECTION_END
        return is_unframed and not self._body.shows_its_end

    @property
    def event_count(self) -> int:
        """Returns how many events with an id the caller has received."""
        return self._event_tracker.event_count

    @property
    def can_resume(self) -> bool:
        """Returns whether another attempt may continue the event stream that has begun."""
        tracker = self._event_tracker
        is_position_known = tracker.newest_id is not None and tracker.is_position_known
        return self._is_resumable and is_position_known and tracker.holds_whole_events

    def begin(self, head: RawResponseHead) -> bool:
        """Decides whether the response is buffered or relayed as it arrives.

        Returns False if it does not continue the event stream that the caller has begun to receive.
        """
        self._head = head
        self._event_tracker.begin_run()
        self._body = select_response_body(
            self._method, head, self._event_tracker, is_streaming_route=self._is_streaming_route
        )
        if not (self._is_streaming_route and head.status < FIRST_SERVER_ERROR):
            self._buffered_body = bytearray()
        is_stream = self._body is self._event_tracker
        continues = is_stream and head.status == self._started_status
        return continues or not self._caller.response_started

    def feed(self, data: bytes) -> bool:
        """Relays or buffers a piece of the body; returns False if the caller reads too slowly."""
        data = self._body.feed(data)
        if self._buffered_body is not None:
            self._buffered_body += data
            if len(self._buffered_body) <= MAX_BUFFERED_BODY_BYTES:
                return True
            data, self._buffered_body = bytes(self._buffered_body), None
        if not data:
            return True
        self._start_response()
        self.relayed_bytes += len(data)
        return self._caller.send_body(data)

    def finish_body(self) -> Result[bytes, str]:
        """Returns the rest of the body, or why it is incomplete, once HTTP has delivered it all."""
        return self._body.finish()

    def keep_failure(self, rest: bytes) -> None:
        """Keeps a complete response that reports a failure, for the case that no other follows.

        Args:
            rest: Rest of the body, which follows on what is buffered.
        """
        if self._head is not None and self._buffered_body is not None:
            self._failure = self._head, bytes(self._buffered_body) + rest

    def send_failure(self) -> None:
        """Sends the failure that was kept, but its end."""
        if self._failure is not None:
            self._head, body = self._failure
            self._buffered_body = None
            self._start_response()
            self._caller.send_body(body)

    def send_rest(self, rest: bytes) -> None:
        """Sends all that the caller does not have of a complete response, but its end."""
        buffered_body, self._buffered_body = self._buffered_body, None
        self._start_response()
        self._caller.send_body(bytes(buffered_body or b"") + rest)

    def discard_attempt(self) -> None:
        """Forgets what was not relayed of an attempt that has failed."""
        self._buffered_body = None
        self._event_tracker.drop_partial_event()

    def _start_response(self) -> None:
        head = self._head
        if head is None or self._caller.response_started:
            return
        headers = forwarded_headers(head)
        if self._is_resumable:
            # The length would be wrong for a stream that another attempt continues.
            headers = [item for item in headers if item[0] != b"content-length"]
        self._started_status = head.status
        self._caller.start_response(head.status, head.reason, headers)

"""Runs one attempt on its connection and reports its progress and outcome as messages."""

from collections.abc import Callable, Sequence
from typing import Final

from returns.result import Success

from berylquay.backends.answer_end_check import INCARNATION_HEADER, AnswerEndCheck
from berylquay.backends.attempt_requests import build_attempt_request
from berylquay.backends.sse import EventSplitter, OversizedEventError
from berylquay.backends.stream_frames import EndFrame, TokenFrame, parse_frame
from berylquay.call_verdicts import Verdict
from berylquay.component_messages import (
    AttemptAnswered,
    AttemptCompleted,
    AttemptFailed,
    AttemptSent,
    AttemptTokens,
)
from berylquay.decisions.calls import Attempt
from berylquay.decisions.fleet import Address
from berylquay.decisions.response_end import EndVerdict
from berylquay.errors import TransportError
from berylquay.net.body_framing import STATUSES_WITHOUT_BODY, BodyFraming
from berylquay.net.http_client import STATUS_OK, HttpExchange, HttpResponseHead
from berylquay.net.json_end import CUT_OFF, JsonEndDetector, is_unframed_json
from berylquay.net.tcp_connections import TcpConnections

# Header with which a backend server states that a refused request was not started.
NOT_STARTED_HEADER: Final = "x-not-started"
# Header with the version of the model that an engine answers with.
MODEL_VERSION_HEADER: Final = "x-model-version"
STATUS_CLIENT_ERROR: Final = 400
STATUS_SERVER_ERROR: Final = 500
# Maximum size of the body of a service's response or of a refusal.
MAX_RESPONSE_BYTES: Final = 8 * 1024 * 1024
# Maximum number of bytes of a backend server's error body that a failure's detail quotes.
MAX_DETAIL_BYTES: Final = 200
# Longest accepted Retry-After of a backend server; a longer one is ignored.
MAX_RETRY_AFTER_S: Final = 3600.0

AttemptReport = AttemptSent | AttemptAnswered | AttemptTokens | AttemptCompleted | AttemptFailed
ReportCallback = Callable[[AttemptReport], None]
# Starts a check with the incarnation that the answer stated, and what to call with its verdict.
EndCheckStarter = Callable[[str, Callable[[EndVerdict, str], None]], AnswerEndCheck]


class UpstreamAttempt:
    """Owns the HTTP exchange of one attempt.

    The last report is `AttemptCompleted` or `AttemptFailed`; none follows it.
    """

    # The attempt that runs.
    _attempt: Attempt
    # Called with each report.
    _report: ReportCallback
    # Head of the response, or None before it arrives.
    _response_head: HttpResponseHead | None
    # Body of a service's response or of a refusal, as received so far.
    _body: bytearray
    # Splits an engine's stream into events.
    _splitter: EventSplitter
    # Whether the last report was made.
    _ended: bool
    # HTTP exchange on a connection that no other attempt uses.
    _http_exchange: HttpExchange
    # Starts the check of an answer whose end is uncertain, and the check in progress, or None.
    _start_end_check: EndCheckStarter
    _end_check: AnswerEndCheck | None

    def __init__(
        self,
        connections: TcpConnections,
        address: Address,
        attempt: Attempt,
        report: ReportCallback,
        start_end_check: EndCheckStarter,
    ) -> None:
        self._attempt = attempt
        self._start_end_check = start_end_check
        self._end_check = None
        self._report = report
        self._response_head = None
        self._body = bytearray()
        self._splitter = EventSplitter()
        self._ended = False
        self._http_exchange = HttpExchange(
            connections, address, build_attempt_request(attempt), self, self._on_sending
        )

    def cancel(self) -> None:
        """Closes the connection and reports whether the attempt may have run."""
        if not self._ended:
            self._fail(self._resolve_verdict(self._http_exchange.verdict), "cancelled")

    def on_response_head(self, head: HttpResponseHead) -> None:
        """Reports the head of a response unless its status is a server error (5xx)."""
        self._response_head = head
        if head.status < STATUS_SERVER_ERROR:
            version = head.headers.get(MODEL_VERSION_HEADER, "")
            incarnation = head.headers.get(INCARNATION_HEADER, "")
            self._report(AttemptAnswered(self._attempt.attempt_id, version, incarnation))

    def on_response_data(self, data: bytes) -> None:
        """Reports tokens, or collects the body of a service call or refusal."""
        if self._ended:
            return
        if self._attempt.call.is_generation and self._status == STATUS_OK:
            self._handle_stream_data(data)
            return
        self._body += data
        if len(self._body) > MAX_RESPONSE_BYTES:
            self._fail(Verdict.MAY_HAVE_RUN, "the answer is too long")

    def on_response_complete(self) -> None:
        """Reports the result of a service call, a refusal, or a stream without its end frame."""
        if self._ended:
            return
        refused = self._status >= STATUS_SERVER_ERROR or self._not_started
        if self._attempt.call.is_generation and self._status == STATUS_OK:
            self._fail(Verdict.MAY_HAVE_RUN, "the stream ended early")
        elif refused or self._attempt.call.is_generation:
            detail = bytes(self._body[:MAX_DETAIL_BYTES]).decode(errors="replace")
            self._fail(self._resolve_verdict(Verdict.MAY_HAVE_RUN), detail)
        else:
            self._handle_service_answer()

    def on_response_failed(self, error: TransportError) -> None:
        """Reports a transport error as the failure of the attempt."""
        if self._ended:
            return
        verdict = self._resolve_verdict(error.verdict)
        lost_connection = error.disconnected and verdict is Verdict.MAY_HAVE_RUN
        self._fail(verdict, error.detail, lost_connection)

    @property
    def _status(self) -> int:
        return self._response_head.status if self._response_head is not None else 0

    def _on_sending(self) -> None:
        self._report(AttemptSent(self._attempt.attempt_id))

    @property
    def _not_started(self) -> bool:
        headers = self._response_head.headers if self._response_head is not None else {}
        return self._status >= STATUS_CLIENT_ERROR and NOT_STARTED_HEADER in headers

    def _resolve_verdict(self, default: Verdict) -> Verdict:
        return Verdict.NOT_RUN if self._not_started else default

    def _handle_service_answer(self) -> None:
        """Completes the attempt, unless only the end of the connection has ended the answer."""
        head = self._response_head
        has_no_body = self._attempt.call.method == "HEAD" or self._status in STATUSES_WITHOUT_BODY
        if head is None or has_no_body or head.framing is not BodyFraming.CONNECTION_END:
            self._complete(0, bytes(self._body))
            return
        if is_unframed_json(head.framing, head.headers.get("content-type", "")):
            end_detector = JsonEndDetector()
            end_detector.feed(bytes(self._body))
            if not end_detector.is_complete:
                self._fail(Verdict.MAY_HAVE_RUN, CUT_OFF)
                return
            if end_detector.is_closed:
                self._complete(0, bytes(self._body))
                return
        incarnation = head.headers.get(INCARNATION_HEADER, "")
        self._end_check = self._start_end_check(incarnation, self._on_end_judged)

    def _on_end_judged(self, verdict: EndVerdict, reason: str) -> None:
        if self._ended:
            return
        if verdict is EndVerdict.WHOLE:
            self._complete(0, bytes(self._body))
        else:
            detail = f"the service ended with its answer: {reason}"
            self._fail(Verdict.MAY_HAVE_RUN, detail, lost_connection=True)

    def _handle_stream_data(self, data: bytes) -> None:
        try:
            events = self._splitter.feed(data)
        except OversizedEventError:
            self._fail(Verdict.MAY_HAVE_RUN, "a frame is too long")
            return
        tokens: list[TokenFrame] = []
        for event in events:
            parsed = parse_frame(event)
            if not isinstance(parsed, Success):
                self._report_tokens_and_fail(tokens, parsed.failure())
                return
            frame = parsed.unwrap()
            if frame.attempt_id != self._attempt.attempt_id:
                self._report_tokens_and_fail(tokens, "a frame of another attempt came back")
                return
            if isinstance(frame, EndFrame):
                self._report_tokens(tokens)
                self._complete(frame.total_tokens, b"")
                return
            tokens.append(frame)
        self._report_tokens(tokens)

    def _report_tokens(self, tokens: Sequence[TokenFrame]) -> None:
        consecutive_tokens: list[TokenFrame] = []
        for token in tokens:
            if consecutive_tokens and token.index != consecutive_tokens[-1].index + 1:
                self._report_consecutive(consecutive_tokens)
                consecutive_tokens = []
            consecutive_tokens.append(token)
        self._report_consecutive(consecutive_tokens)

    def _report_consecutive(self, consecutive_tokens: Sequence[TokenFrame]) -> None:
        if consecutive_tokens:
            texts = tuple(token.text for token in consecutive_tokens)
            self._report(
                AttemptTokens(self._attempt.attempt_id, consecutive_tokens[0].index, texts)
            )

    def _complete(self, total_tokens: int, body: bytes) -> None:
        self._finish()
        headers = self._response_head.headers if self._response_head is not None else {}
        content_type = headers.get("content-type", "application/json")
        self._report(
            AttemptCompleted(
                self._attempt.attempt_id, total_tokens, self._status, body, content_type
            )
        )

    def _report_tokens_and_fail(self, tokens: Sequence[TokenFrame], detail: str) -> None:
        self._report_tokens(tokens)
        self._fail(Verdict.MAY_HAVE_RUN, detail)

    def _fail(self, verdict: Verdict, detail: str, lost_connection: bool = False) -> None:
        self._finish()
        headers = self._response_head.headers if self._response_head is not None else {}
        retry_after_s = parse_retry_after(headers.get("retry-after", ""))
        self._report(
            AttemptFailed(self._attempt.attempt_id, verdict, detail, lost_connection, retry_after_s)
        )

    def _finish(self) -> None:
        self._ended = True
        self._http_exchange.cancel()
        if self._end_check is not None:
            self._end_check.cancel()


def parse_retry_after(text: str) -> float | None:
    """Returns the seconds in a Retry-After header.

    Returns None if the value is not a number or not between 0 and `MAX_RETRY_AFTER_S`.
    """
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if 0.0 <= seconds <= MAX_RETRY_AFTER_S else None

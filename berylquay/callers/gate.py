"""The gate: takes callers' requests off circuits.web and gives them their answers."""

import time
from socket import socket
from typing import Final

from attrs import define, evolve, field
from circuits import BaseComponent, Event, handler
from circuits.web.events import response, stream
from circuits.web.wrappers import Request, Response
from returns.result import Success

from berylquay.callers.answers import (
    REQUEST_ID_HEADER,
    VERDICT_HEADER,
    TokenEvents,
    end_event,
    refusal_body,
    refusal_event,
    refusal_status,
    retry_after_text,
    whole_answer,
)
from berylquay.callers.parsing import CHAT_PATH, SERVICE_PREFIX, RawRequest, parse_call
from berylquay.callers.server import CALLERS_CHANNEL, HttpServer
from berylquay.decisions.calls import Call
from berylquay.decisions.deployment import Configuration
from berylquay.messages import (
    AdmissionClosed,
    AnswersDrained,
    CallCompleted,
    CallerGone,
    CallReceived,
    CallRefused,
    ConfigurationInForce,
    Tick,
    TokensForCaller,
    TokensForCallers,
)
from berylquay.net.bus import BUS, post
from berylquay.verdicts import Refusal, RefusalReason, Verdict

# When a caller should come back to another host while this one stops.
STOPPING_RETRY_AFTER_S: Final = 1.0
# Ticks in a row without a waiting caller or unsent data after which every answer has been sent: an
# answer that was just handed to circuits.web reaches the server's buffer within one.
QUIET_TICKS: Final = 3
IDEMPOTENCY_KEY_HEADER: Final = "Idempotency-Key"
STATUS_NOT_FOUND: Final = 404
_UNKNOWN_PATH: Final = Refusal(
    RefusalReason.INVALID, Verdict.NOT_RUN, f"use {CHAT_PATH} or {SERVICE_PREFIX}NAME/..."
)
_STOPPING: Final = Refusal(
    RefusalReason.SHUTTING_DOWN, Verdict.NOT_RUN, "this host is stopping", STOPPING_RETRY_AFTER_S
)


@define(eq=False)
class _Pending:
    """A call whose caller waits."""

    call: Call
    response: Response
    events: TokenEvents
    texts: list[str] = field(factory=list)
    total_tokens: int = 0
    head_sent: bool = False


class Gate(BaseComponent):
    """Holds the callers that wait for answers."""

    channel = CALLERS_CHANNEL

    # Server that the callers are connected to.
    _server: HttpServer
    # Configuration that requests are checked against.
    _configuration: Configuration
    # Waiting callers by call id.
    _pending: dict[str, _Pending]
    # Call id by the caller's socket.
    _call_of_sock: dict[socket, str]
    # Whether new requests are refused.
    _closed: bool
    # Ticks in a row without a waiting caller or unsent data, counted while closed.
    _quiet_ticks: int

    def __init__(self, server: HttpServer) -> None:
        super().__init__()
        self._server = server
        self._closed = False
        self._quiet_ticks = 0
        self._configuration = Configuration()
        self._pending = {}
        self._call_of_sock = {}

    @handler("ConfigurationInForce", channel=BUS)
    def _on_configuration(self, message: ConfigurationInForce) -> None:
        self._configuration = message.configuration

    @handler("request", priority=1.0)
    def _on_request(self, event: Event, request: Request, answer: Response) -> bool:
        event.stop()
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        if self._closed:
            answer.close = True
            self._send_refusal(answer, _at_the_gate(request, _STOPPING), request_id)
            return True
        if request.path != CHAT_PATH and not request.path.startswith(SERVICE_PREFIX):
            self._send_refusal(answer, _UNKNOWN_PATH, request_id, STATUS_NOT_FOUND)
            return True
        parsed = parse_call(_raw_of(request), self._configuration, time.monotonic())
        if not isinstance(parsed, Success):
            self._send_refusal(answer, _at_the_gate(request, parsed.failure()), request_id)
            return True
        call = parsed.unwrap()
        self._pending[call.call_id] = _Pending(call, answer, TokenEvents(call))
        self._call_of_sock[request.sock] = call.call_id
        post(self, CallReceived(call))
        return True

    @handler("AdmissionClosed", channel=BUS)
    def _on_admission_closed(self, _message: AdmissionClosed) -> None:
        self._closed = True

    @handler("Tick", channel=BUS)
    def _on_tick(self, _message: Tick) -> None:
        if not self._closed:
            return
        quiet = not self._pending and not self._server.has_unsent_data
        self._quiet_ticks = self._quiet_ticks + 1 if quiet else 0
        if self._quiet_ticks == QUIET_TICKS:
            post(self, AnswersDrained())

    @handler("disconnect")
    def _on_disconnect(self, sock: socket) -> None:
        call_id = self._call_of_sock.pop(sock, None)
        if call_id is not None:
            del self._pending[call_id]
            post(self, CallerGone(call_id))

    @handler("TokensForCallers", channel=BUS)
    def _on_tokens(self, message: TokensForCallers) -> None:
        for tokens in message.batch:
            self._pass_on(tokens)

    def _pass_on(self, tokens: TokensForCaller) -> None:
        pending = self._pending.get(tokens.call_id)
        if pending is None:
            return
        pending.total_tokens += len(tokens.texts)
        text = "".join(tokens.texts)
        if not pending.call.wants_stream:
            pending.texts.append(text)
            return
        self._start_stream(pending)
        self._send_chunk(pending, pending.events.event(text))

    @handler("CallCompleted", channel=BUS)
    def _on_completed(self, message: CallCompleted) -> None:
        pending = self._forget(message.call_id)
        if pending is None:
            return
        if pending.call.wants_stream:
            self._start_stream(pending)
            self._send_chunk(pending, end_event(pending.call, pending.total_tokens))
            self.fire(stream(pending.response, None))
            return
        body = message.body
        if pending.call.is_generation:
            body = whole_answer(pending.call, "".join(pending.texts), pending.total_tokens)
        self._send_whole(pending, message.status, body, message.content_type)

    @handler("CallRefused", channel=BUS)
    def _on_refused(self, message: CallRefused) -> None:
        pending = self._forget(message.call_id)
        if pending is None:
            return
        if pending.head_sent:
            self._send_chunk(pending, refusal_event(message.refusal))
            self.fire(stream(pending.response, None))
            return
        self._send_refusal(pending.response, message.refusal, pending.call.request_id)

    def _forget(self, call_id: str) -> _Pending | None:
        pending = self._pending.pop(call_id, None)
        if pending is not None:
            del self._call_of_sock[pending.response.request.sock]
        return pending

    def _start_stream(self, pending: _Pending) -> None:
        if pending.head_sent:
            return
        pending.head_sent = True
        answer = pending.response
        answer.headers["Content-Type"] = "text/event-stream"
        answer.headers["Cache-Control"] = "no-store"
        answer.headers[REQUEST_ID_HEADER] = pending.call.request_id
        answer.stream = True
        # An empty tuple, since a list or None would give Content-Length: 0.
        answer.body = ()
        answer.prepare()
        # Written here and not by circuits.web, so that the chunks queue up behind the head.
        self._server.send(answer.request.sock, bytes(answer) + bytes(answer.headers))

    def _send_chunk(self, pending: _Pending, data: bytes) -> None:
        # circuits.web's own stream event costs three more events for each chunk.
        answer = pending.response
        chunk = b"%x\r\n%b\r\n" % (len(data), data) if answer.chunked else data
        self._server.send(answer.request.sock, chunk)

    def _send_whole(self, pending: _Pending, status: int, body: bytes, content_type: str) -> None:
        answer = pending.response
        answer.status = status
        answer.headers["Content-Type"] = content_type
        if pending.call.is_generation:
            answer.headers["Content-Type"] = "application/json"
        answer.headers[VERDICT_HEADER] = Verdict.COMPLETED.value
        answer.headers[REQUEST_ID_HEADER] = pending.call.request_id
        answer.body = body
        self.fire(response(answer))

    def _send_refusal(
        self, answer: Response, refusal: Refusal, request_id: str, status: int | None = None
    ) -> None:
        answer.status = status or refusal_status(refusal)
        answer.headers["Content-Type"] = "application/json"
        answer.headers[VERDICT_HEADER] = refusal.verdict.value
        if request_id:
            answer.headers[REQUEST_ID_HEADER] = request_id
        if refusal.retry_after_s is not None:
            answer.headers["Retry-After"] = retry_after_text(refusal.retry_after_s)
        answer.body = refusal_body(refusal)
        self.fire(response(answer))


def _at_the_gate(request: Request, refusal: Refusal) -> Refusal:
    """Returns the refusal of a request whose idempotency key, if any, was not looked at.

    Another host may have run the call under the same key: one that is not stopping, or that has a
    newer configuration.
    """
    if IDEMPOTENCY_KEY_HEADER not in request.headers:
        return refusal
    return evolve(refusal, verdict=Verdict.MAY_HAVE_RUN)


def _raw_of(request: Request) -> RawRequest:
    headers = request.headers
    return RawRequest(
        method=request.method,
        path=f"{request.path}?{request.qs}" if request.qs else request.path,
        tenant=headers.get("X-Tenant", ""),
        request_class=headers.get("X-Class", ""),
        deadline_ms=headers.get("X-Deadline-Ms", ""),
        request_id=headers.get(REQUEST_ID_HEADER, ""),
        repeatable=headers.get("X-Repeatable", ""),
        idempotency_key=headers.get(IDEMPOTENCY_KEY_HEADER, ""),
        body=request.body.read(),
    )

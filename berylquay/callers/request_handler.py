"""Accepts callers' requests from circuits.web, posts them as calls and sends the responses."""

import time
from socket import socket
from typing import Final

from attrs import define, evolve, field
from circuits import BaseComponent, Event, handler
from circuits.web.events import response, stream
from circuits.web.wrappers import Request, Response
from returns.result import Success

from berylquay.call_verdicts import Refusal, RefusalReason, Verdict
from berylquay.callers.parsing import CHAT_PATH, SERVICE_PREFIX, RawRequest, parse_call
from berylquay.callers.responses import (
    REQUEST_ID_HEADER,
    VERDICT_HEADER,
    TokenEventEncoder,
    completion_body,
    final_events,
    format_retry_after,
    refusal_body,
    refusal_event,
    refusal_status,
)
from berylquay.callers.server import CALLERS_CHANNEL, HttpServer
from berylquay.component_messages import (
    AdmissionClosed,
    AnswersDrained,
    CallCompleted,
    CallerGone,
    CallReceived,
    CallRefused,
    ConfigurationInForce,
    TokensForCaller,
    TokensForCallers,
)
from berylquay.decisions.calls import Call
from berylquay.decisions.deployment import Configuration
from berylquay.net.message_bus import BUS, post
from berylquay.net.process_messages import Tick

# Retry-After of a host that is stopping; the caller should then use another host.
STOPPING_RETRY_AFTER_S: Final = 1.0
# Number of consecutive ticks without a pending call or unsent data after which all responses have
# been sent: a response that was just passed to circuits.web reaches the server's buffer within one
# tick.
IDLE_TICKS: Final = 3
IDEMPOTENCY_KEY_HEADER: Final = "Idempotency-Key"
STATUS_NOT_FOUND: Final = 404
_UNKNOWN_PATH_REFUSAL: Final = Refusal(
    RefusalReason.INVALID, Verdict.NOT_RUN, f"use {CHAT_PATH} or {SERVICE_PREFIX}NAME/..."
)
_STOPPING_REFUSAL: Final = Refusal(
    RefusalReason.SHUTTING_DOWN, Verdict.NOT_RUN, "this host is stopping", STOPPING_RETRY_AFTER_S
)


@define(eq=False)
class _PendingCall:
    """A call whose caller waits for the response."""

    call: Call
    response: Response
    event_encoder: TokenEventEncoder
    token_texts: list[str] = field(factory=list)
    total_tokens: int = 0
    head_sent: bool = False


class CallerRequestHandler(BaseComponent):
    """Owns the pending calls and sends their callers tokens, results and refusals."""

    channel = CALLERS_CHANNEL

    # Server with the callers' connections.
    _server: HttpServer
    # Configuration that requests are validated against.
    _configuration: Configuration
    # Pending calls by call id.
    _pending: dict[str, _PendingCall]
    # Call id of the pending call by the caller's socket.
    _call_id_by_socket: dict[socket, str]
    # Whether new requests are refused.
    _admission_closed: bool
    # Consecutive ticks without a pending call or unsent data, counted while admission is closed.
    _idle_ticks: int

    def __init__(self, server: HttpServer) -> None:
        super().__init__()
        self._server = server
        self._admission_closed = False
        self._idle_ticks = 0
        self._configuration = Configuration()
        self._pending = {}
        self._call_id_by_socket = {}

    @handler("ConfigurationInForce", channel=BUS)
    def _on_configuration(self, message: ConfigurationInForce) -> None:
        self._configuration = message.configuration

    @handler("request", priority=1.0)
    def _on_request(self, event: Event, request: Request, http_response: Response) -> bool:
        event.stop()
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        if self._admission_closed:
            http_response.close = True
            self._send_refusal(
                http_response, _refusal_before_key_check(request, _STOPPING_REFUSAL), request_id
            )
            return True
        if request.path != CHAT_PATH and not request.path.startswith(SERVICE_PREFIX):
            self._send_refusal(http_response, _UNKNOWN_PATH_REFUSAL, request_id, STATUS_NOT_FOUND)
            return True
        parsed = parse_call(_to_raw_request(request), self._configuration, time.monotonic())
        if not isinstance(parsed, Success):
            self._send_refusal(
                http_response, _refusal_before_key_check(request, parsed.failure()), request_id
            )
            return True
        call = parsed.unwrap()
        self._pending[call.call_id] = _PendingCall(call, http_response, TokenEventEncoder(call))
        self._call_id_by_socket[request.sock] = call.call_id
        post(self, CallReceived(call))
        return True

    @handler("AdmissionClosed", channel=BUS)
    def _on_admission_closed(self, _message: AdmissionClosed) -> None:
        self._admission_closed = True

    @handler("Tick", channel=BUS)
    def _on_tick(self, _message: Tick) -> None:
        if not self._admission_closed:
            return
        idle = not self._pending and not self._server.has_unsent_data
        self._idle_ticks = self._idle_ticks + 1 if idle else 0
        if self._idle_ticks == IDLE_TICKS:
            post(self, AnswersDrained())

    @handler("disconnect")
    def _on_disconnect(self, sock: socket) -> None:
        call_id = self._call_id_by_socket.pop(sock, None)
        if call_id is not None:
            del self._pending[call_id]
            post(self, CallerGone(call_id))

    @handler("TokensForCallers", channel=BUS)
    def _on_tokens(self, message: TokensForCallers) -> None:
        for tokens in message.batch:
            self._forward_tokens(tokens)

    def _forward_tokens(self, tokens: TokensForCaller) -> None:
        pending = self._pending.get(tokens.call_id)
        if pending is None:
            return
        pending.total_tokens += len(tokens.texts)
        text = "".join(tokens.texts)
        if not pending.call.wants_stream:
            pending.token_texts.append(text)
            return
        self._start_stream(pending)
        self._send_chunk(pending, pending.event_encoder.encode(text))

    @handler("CallCompleted", channel=BUS)
    def _on_completed(self, message: CallCompleted) -> None:
        pending = self._remove_pending(message.call_id)
        if pending is None:
            return
        if pending.call.wants_stream:
            self._start_stream(pending)
            self._send_chunk(pending, final_events(pending.call, pending.total_tokens))
            self.fire(stream(pending.response, None))
            return
        body = message.body
        if pending.call.is_generation:
            body = completion_body(pending.call, "".join(pending.token_texts), pending.total_tokens)
        self._send_response(pending, message.status, body, message.content_type)

    @handler("CallRefused", channel=BUS)
    def _on_refused(self, message: CallRefused) -> None:
        pending = self._remove_pending(message.call_id)
        if pending is None:
            return
        if pending.head_sent:
            self._send_chunk(pending, refusal_event(message.refusal))
            self.fire(stream(pending.response, None))
            return
        self._send_refusal(pending.response, message.refusal, pending.call.request_id)

    def _remove_pending(self, call_id: str) -> _PendingCall | None:
        pending = self._pending.pop(call_id, None)
        if pending is not None:
            del self._call_id_by_socket[pending.response.request.sock]
        return pending

    def _start_stream(self, pending: _PendingCall) -> None:
        if pending.head_sent:
            return
        pending.head_sent = True
        http_response = pending.response
        http_response.headers["Content-Type"] = "text/event-stream"
        http_response.headers["Cache-Control"] = "no-store"
        http_response.headers[REQUEST_ID_HEADER] = pending.call.request_id
        http_response.stream = True
        # An empty tuple: with a list or None, circuits.web would send Content-Length: 0.
        http_response.body = ()
        http_response.prepare()
        # Written directly and not by circuits.web, so that the chunks are queued after the head.
        self._server.send(
            http_response.request.sock, bytes(http_response) + bytes(http_response.headers)
        )

    def _send_chunk(self, pending: _PendingCall, data: bytes) -> None:
        # Written directly: circuits.web's own stream event costs three more events for each chunk.
        http_response = pending.response
        chunk = b"%x\r\n%b\r\n" % (len(data), data) if http_response.chunked else data
        self._server.send(http_response.request.sock, chunk)

    def _send_response(
        self, pending: _PendingCall, status: int, body: bytes, content_type: str
    ) -> None:
        http_response = pending.response
        http_response.status = status
        http_response.headers["Content-Type"] = content_type
        if pending.call.is_generation:
            http_response.headers["Content-Type"] = "application/json"
        http_response.headers[VERDICT_HEADER] = Verdict.COMPLETED.value
        http_response.headers[REQUEST_ID_HEADER] = pending.call.request_id
        http_response.body = body
        self.fire(response(http_response))

    def _send_refusal(
        self, http_response: Response, refusal: Refusal, request_id: str, status: int | None = None
    ) -> None:
        http_response.status = status or refusal_status(refusal)
        http_response.headers["Content-Type"] = "application/json"
        http_response.headers[VERDICT_HEADER] = refusal.verdict.value
        if request_id:
            http_response.headers[REQUEST_ID_HEADER] = request_id
        if refusal.retry_after_s is not None:
            http_response.headers["Retry-After"] = format_retry_after(refusal.retry_after_s)
        http_response.body = refusal_body(refusal)
        self.fire(response(http_response))


def _refusal_before_key_check(request: Request, refusal: Refusal) -> Refusal:
    """Returns the refusal for a request that is refused before its idempotency key is looked up.

    With a key, the verdict becomes MAY_HAVE_RUN: another host, one that is not stopping or that has
    a newer configuration, may have run a call with the same key.
    """
    if IDEMPOTENCY_KEY_HEADER not in request.headers:
        return refusal
    return evolve(refusal, verdict=Verdict.MAY_HAVE_RUN)


def _to_raw_request(request: Request) -> RawRequest:
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

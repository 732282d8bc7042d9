"""Attempts: runs each attempt over a connection of its own to a backend server."""

import json
from typing import Final

from circuits import BaseComponent, handler

from berylquay.backends.sse import EventSplitter
from berylquay.decisions.calls import Attempt
from berylquay.decisions.fleet import Address
from berylquay.errors import TransportError
from berylquay.messages import (
    AttemptCancelled,
    AttemptCompleted,
    AttemptFailed,
    AttemptRequested,
    AttemptTokens,
    MembershipRead,
)
from berylquay.net.bus import BUS, post
from berylquay.net.http_client import HttpExchange, HttpHead, HttpRequest, json_request
from berylquay.net.outbound import OutboundConnections
from berylquay.verdicts import Verdict

# Header by which a backend server says that a refused request was not started.
NOT_STARTED_HEADER: Final = "x-not-started"
STATUS_OK: Final = 200
STATUS_SERVER_ERROR: Final = 500


class BackendAttempts(BaseComponent):
    """Owns the exchanges of all attempts in flight."""

    channel = BUS

    # Opens the connections.
    _outbound: OutboundConnections
    # Address by backend server.
    _addresses: dict[str, Address]
    # Running exchange by attempt id.
    _exchanges: dict[str, "_AttemptExchange"]

    def __init__(self, outbound: OutboundConnections) -> None:
        super().__init__()
        self._outbound = outbound
        self._addresses = {}
        self._exchanges = {}

    @handler("MembershipRead")
    def _on_membership(self, message: MembershipRead) -> None:
        self._addresses = {server.name: server.address for server in message.view.backends}

    @handler("AttemptRequested")
    def _on_requested(self, message: AttemptRequested) -> None:
        attempt = message.attempt
        address = self._addresses.get(attempt.backend)
        if address is None:
            failure = AttemptFailed(
                attempt.attempt_id, Verdict.NOT_RUN, "the backend server is gone", False
            )
            post(self, failure)
            return
        self._exchanges[attempt.attempt_id] = _AttemptExchange(self, attempt, address)

    @handler("AttemptCancelled")
    def _on_cancelled(self, message: AttemptCancelled) -> None:
        exchange = self._exchanges.pop(message.attempt_id, None)
        if exchange is not None:
            exchange.cancel()

    def start_exchange(
        self, address: Address, request: HttpRequest, user: "_AttemptExchange"
    ) -> HttpExchange:
        """Opens an exchange on behalf of an attempt."""
        return HttpExchange(self._outbound, address, request, user)

    def report(self, message: AttemptTokens | AttemptCompleted | AttemptFailed) -> None:
        """Posts what became of an attempt and forgets the attempt if it has ended."""
        if not isinstance(message, AttemptTokens):
            self._exchanges.pop(message.attempt_id, None)
        post(self, message)


class _AttemptExchange:
    """Follows one attempt's exchange and turns it into messages."""

    def __init__(self, owner: BackendAttempts, attempt: Attempt, address: Address) -> None:
        self._owner = owner
        self._attempt = attempt
        self._head: HttpHead | None = None
        self._body: list[bytes] = []
        self._splitter = EventSplitter()
        self._ended = False
        self._exchange = owner.start_exchange(address, _request_of(attempt), self)

    def cancel(self) -> None:
        """Closes the connection; the backend server sees its reader go."""
        self._exchange.cancel()

    def on_head(self, head: HttpHead) -> None:
        """Keeps the head until the body says more."""
        self._head = head

    def on_body(self, data: bytes) -> None:
        """Reports tokens, or collects the body of a service call or refusal."""
        streaming = self._attempt.call.is_generation and self._status == STATUS_OK
        if not streaming:
            self._body.append(data)
            return
        frames = [json.loads(event) for event in self._splitter.feed(data)]
        self._report_frames(frames)

    def on_end(self) -> None:
        """Reports the outcome of a service call or a refusal, or a stream without its end."""
        if self._ended:
            return
        body = b"".join(self._body)
        if self._status >= STATUS_SERVER_ERROR:
            self._fail(self._refusal_verdict(), body.decode(errors="replace")[:200], False)
        elif self._attempt.call.is_generation:
            self._fail(Verdict.MAY_HAVE_RUN, "the stream ended early", True)
        else:
            self._complete(0, self._status, body)

    def on_error(self, error: TransportError) -> None:
        """Reports a broken exchange."""
        if not self._ended:
            self._fail(error.verdict, error.detail, error.verdict is Verdict.MAY_HAVE_RUN)

    @property
    def _status(self) -> int:
        return self._head.status if self._head is not None else 0

    def _refusal_verdict(self) -> Verdict:
        headers = self._head.headers if self._head is not None else {}
        return Verdict.NOT_RUN if NOT_STARTED_HEADER in headers else Verdict.MAY_HAVE_RUN

    def _report_frames(self, frames: list[dict[str, object]]) -> None:
        texts: list[str] = []
        first_index: int | None = None
        total: int | None = None
        for frame in frames:
            if frame.get("attempt_id") != self._attempt.attempt_id:
                self.cancel()
                self._fail(Verdict.MAY_HAVE_RUN, "a frame of another attempt came back", False)
                return
            if "total_tokens" in frame:
                total = int(str(frame["total_tokens"]))
                continue
            if first_index is None:
                first_index = int(str(frame["index"]))
            texts.append(str(frame["text"]))
        if first_index is not None:
            self._owner.report(AttemptTokens(self._attempt.attempt_id, first_index, tuple(texts)))
        if total is not None:
            self.cancel()
            self._complete(total, STATUS_OK, b"")

    def _complete(self, total_tokens: int, status: int, body: bytes) -> None:
        self._ended = True
        headers = self._head.headers if self._head is not None else {}
        content_type = headers.get("content-type", "application/json")
        self._owner.report(
            AttemptCompleted(self._attempt.attempt_id, total_tokens, status, body, content_type)
        )

    def _fail(self, verdict: Verdict, detail: str, lost_connection: bool) -> None:
        self._ended = True
        retry_after = self._head.headers.get("retry-after") if self._head is not None else None
        self._owner.report(
            AttemptFailed(
                self._attempt.attempt_id,
                verdict,
                detail,
                lost_connection,
                float(retry_after) if retry_after is not None else None,
            )
        )


def _request_of(attempt: Attempt) -> HttpRequest:
    call = attempt.call
    if not call.is_generation:
        headers = (("X-Attempt-Id", attempt.attempt_id),)
        return HttpRequest(call.method, call.path, call.body, headers=headers)
    body = {
        "attempt_id": attempt.attempt_id,
        "model": call.model,
        "adapter": call.adapter,
        "prompt": call.prompt,
        "prompt_tokens": call.prompt_tokens,
        "max_tokens": call.max_output_tokens,
        "priority": call.spec.priority,
        "first_token": attempt.first_token,
    }
    return json_request("POST", "/v1/generate", body)

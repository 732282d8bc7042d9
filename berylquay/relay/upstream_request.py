"""Upstream requests: one attempt to send a request to a backend server, and its response."""

from collections.abc import Callable
from typing import Final, Protocol

from berylquay.call_verdicts import Verdict
from berylquay.decisions.attempt_outcomes import AttemptOutcome
from berylquay.decisions.backend_registry import BackendEntry
from berylquay.decisions.server_notices import ServerNotice
from berylquay.errors import TransportError
from berylquay.net.persistent_http import PersistentConnection, RawRequest, RawResponseHead
from berylquay.platform.request_codec import (
    decode_server_notice,
    is_declared_not_executed,
    is_misdirected,
)
from berylquay.platform.wire_names import ATTEMPT_ID
from berylquay.relay.gateway_transport import GatewayTransport

# Maximum time to establish a connection; sufficient unless two packets are lost in a row.
CONNECT_TIMEOUT_S: Final = 0.45
# The same through a gateway, which establishes a second connection after the first.
GATEWAY_CONNECT_TIMEOUT_S: Final = 2.0 * CONNECT_TIMEOUT_S
# Called with a backend server, what one of its answers states of it, and the monotonic time at
# which the request was sent that was answered.
NoticeListener = Callable[[BackendEntry, ServerNotice, float], None]


class UpstreamRequestHandler(Protocol):
    """Is notified of the progress of an upstream request."""

    def on_upstream_head(self, upstream: "UpstreamRequest", head: RawResponseHead) -> None:
        """Called with the head of the response.

        Not called if the head states that the request was not run, or reached another server.
        """

    def on_upstream_data(self, upstream: "UpstreamRequest", data: bytes) -> None:
        """Called with each piece of the response's body."""

    def on_upstream_complete(self, upstream: "UpstreamRequest") -> None:
        """Called when the response is complete."""

    def on_upstream_failed(
        self, upstream: "UpstreamRequest", outcome: AttemptOutcome, detail: str
    ) -> None:
        """Called when the request was not run or its response did not arrive completely."""


class UpstreamRequest:
    """Sends one request and classifies a failure by whether the request may have run."""

    backend: BackendEntry
    # Monotonic time at which the request was sent.
    started_s: float
    # Head of the response, or None before it was received.
    head: RawResponseHead | None
    # Whether the request has ended or was cancelled.
    ended: bool
    _handler: UpstreamRequestHandler
    _connection: PersistentConnection
    # Called with each answer's server and what the answer states of it.
    _on_notice: NoticeListener
    # Failure that the head of the response states, or None.
    _outcome: AttemptOutcome | None

    def __init__(
        self,
        handler: UpstreamRequestHandler,
        backend: BackendEntry,
        connection: PersistentConnection,
        request: RawRequest,
        *,
        call_id: str,
        on_notice: NoticeListener,
        now_s: float,
        may_send: Callable[[], bool] | None = None,
        may_reuse_without_echo: bool = False,
    ) -> None:
        self.backend = backend
        self.started_s = now_s
        self.head = None
        self.ended = False
        self._handler = handler
        self._connection = connection
        self._on_notice = on_notice
        self._outcome = None
        connection.start_request(
            request,
            self,
            ATTEMPT_ID if call_id else b"",
            call_id.encode("latin-1"),
            may_send,
            may_reuse_without_echo=may_reuse_without_echo,
        )

    @property
    def connection(self) -> PersistentConnection:
        """Returns the connection that the request was sent on."""
        return self._connection

    @property
    def framing(self) -> str:
        """Returns how the response marks the end of its body, for logs; empty before its head."""
        return "" if self.head is None else self.head.framing.value

    @property
    def outcome(self) -> AttemptOutcome | None:
        """Returns the failure that the head of the response states, or None."""
        return self._outcome

    @property
    def may_have_run(self) -> bool:
        """Tells whether the backend server may have begun to run what was sent."""
        # The connection has no pending request any more once the answer has ended.
        has_answer = self.head is not None
        is_sent = has_answer or self._connection.verdict is Verdict.MAY_HAVE_RUN
        return self._outcome is None and is_sent

    @property
    def gateway(self) -> GatewayTransport | None:
        """Returns the way through another host that the connection takes, or None."""
        transport = self._connection.transport
        return transport if isinstance(transport, GatewayTransport) else None

    @property
    def not_sent_outcome(self) -> AttemptOutcome:
        """Returns the outcome if the connection was not established: who is at fault."""
        gateway = self.gateway
        if gateway is not None and gateway.has_gateway_failed:
            return AttemptOutcome.GATEWAY_FAILED
        return AttemptOutcome.NOT_SENT

    def give_up_connecting(self) -> None:
        """Cancels the request, as its connection was not established in time."""
        if self.gateway is not None:
            self.gateway.give_up_connecting()
        self.cancel()

    def is_stuck_connecting(self, now_s: float) -> bool:
        """Tells whether establishing the connection has timed out."""
        is_connecting = not self.ended and not self._connection.connected
        timeout_s = CONNECT_TIMEOUT_S if self.gateway is None else GATEWAY_CONNECT_TIMEOUT_S
        return is_connecting and now_s - self.started_s > timeout_s

    def cancel(self) -> None:
        """Closes the connection, so that the backend server stops; makes no more handler calls."""
        if not self.ended:
            self.ended = True
            self._connection.close()

    def set_reading_paused(self, paused: bool) -> None:
        """Pauses reading the response, or resumes it."""
        if not self.ended:
            self._connection.set_reading_paused(paused)

    def on_response_head(self, head: RawResponseHead) -> None:
        """Handles the head of the response."""
        self.head = head
        if is_misdirected(head):
            # Another server may have answered; what it states is not of this one.
            self._outcome = AttemptOutcome.WRONG_SERVER
            return
        notice = decode_server_notice(head)
        self._on_notice(self.backend, notice, self.started_s)
        if notice.pause_s is not None and self.gateway is not None:
            self.gateway.pass_on_pause(notice.pause_s)
        if is_declared_not_executed(head):
            self._outcome = AttemptOutcome.REJECTED
        elif not self.ended:
            self._handler.on_upstream_head(self, head)

    def on_response_data(self, data: bytes) -> None:
        """Handles a piece of the body."""
        if self._outcome is None and not self.ended:
            self._handler.on_upstream_data(self, data)

    def on_response_complete(self) -> None:
        """Handles the end of the response."""
        if self.ended:
            return
        self.ended = True
        if self._outcome is None:
            self._handler.on_upstream_complete(self)
        else:
            status = 0 if self.head is None else self.head.status
            self._handler.on_upstream_failed(self, self._outcome, f"status {status}")

    def on_response_failed(self, error: TransportError) -> None:
        """Handles a response that ended early or did not arrive."""
        if self.ended:
            return
        self.ended = True
        outcome = self._outcome
        if outcome is None:
            may_have_run = error.verdict is Verdict.MAY_HAVE_RUN
            outcome = AttemptOutcome.CONNECTION_LOST if may_have_run else self.not_sent_outcome
        self._handler.on_upstream_failed(self, outcome, error.detail)

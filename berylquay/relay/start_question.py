"""Asks an engine which of its starts a connection leads to, before a stream goes on there.

The connection that is to carry the run is opened first, and the question is sent on another one.
The start that answers accepted both, unless the engine has started again in between: then the run's
connection is broken, and the run fails without an event.
"""

from collections.abc import Callable
from typing import Final

from attrs import define, field

from berylquay.decisions.attempt_outcomes import AttemptOutcome
from berylquay.decisions.backend_registry import BackendEntry
from berylquay.decisions.response_end import WaitingTime
from berylquay.net.persistent_http import PersistentConnection, RawResponseHead
from berylquay.platform.request_codec import (
    KVCacheHandle,
    decode_instance_statement,
    encode_report_request,
)
from berylquay.relay.services import RelayServices
from berylquay.relay.upstream_request import UpstreamRequest

# Time after which the question is given up; a sound engine may be silent for a second or so. The
# first one is for engines beside which others may be asked.
SHORT_ANSWER_TIMEOUT_S: Final = 0.5
ANSWER_TIMEOUT_S: Final = 2.0
MAX_ANSWER_BYTES: Final = 65536
NO_CONNECTION: Final = "the connection was not established in time"
NO_ANSWER: Final = "the engine did not state its start in time"


@define(eq=False)
class StartQuestion:
    """One question, and the run that waits for its answer."""

    _services: RelayServices
    backend: BackendEntry
    # KV cache that the run takes, or None.
    kv_handle: KVCacheHandle | None
    # Called with the question when it has an answer, and when it has failed: outcome and detail.
    _on_answered: "Callable[[StartQuestion], None]"
    _on_failed: "Callable[[StartQuestion, AttemptOutcome, str], None]"
    # The request, and the connection for the run; set by `send`.
    upstream: UpstreamRequest | None = field(default=None, init=False)
    _run_connection: PersistentConnection | None = field(default=None, init=False)
    _waiting_time: WaitingTime = field(factory=lambda: WaitingTime(0.0), init=False)
    _body: bytearray = field(factory=bytearray, init=False)

    def send(self, now_s: float) -> None:
        """Opens the connection for the run and sends the question on another one."""
        self._run_connection = self._services.acquire_connection(self.backend, True, now_s)
        self._waiting_time = WaitingTime(now_s)
        self._ask(now_s)

    def _ask(self, now_s: float) -> None:
        services, backend = self._services, self.backend
        self.upstream = UpstreamRequest(
            self,
            backend,
            services.acquire_connection(backend, True, now_s),
            encode_report_request(backend.address, backend.name),
            call_id="",
            on_notice=services.on_server_notice,
            now_s=now_s,
        )

    def on_tick(self, now_s: float, *, may_ask_others: bool) -> None:
        """Gives up the question if it is not answered in time.

        Args:
            now_s: Present monotonic time.
            may_ask_others: Whether the stream may go on at another engine.
        """
        upstream = self.upstream
        timeout_s = SHORT_ANSWER_TIMEOUT_S if may_ask_others else ANSWER_TIMEOUT_S
        if upstream is None or upstream.ended:
            return
        if upstream.is_stuck_connecting(now_s):
            upstream.give_up_connecting()
            self._fail(upstream.not_sent_outcome, NO_CONNECTION)
        elif self._waiting_time.on_tick(now_s) > timeout_s:
            upstream.cancel()
            self._fail(AttemptOutcome.SERVER_ERROR, NO_ANSWER)

    def cancel(self) -> None:
        """Closes the connections."""
        if self.upstream is not None:
            self.upstream.cancel()
        if self._run_connection is not None:
            self._run_connection.close()

    def on_upstream_head(self, upstream: UpstreamRequest, head: RawResponseHead) -> None:
        """Does nothing: the answer is evaluated once it is complete."""

    def on_upstream_data(self, upstream: UpstreamRequest, data: bytes) -> None:
        """Appends to the body, up to the size limit."""
        self._body += data[: MAX_ANSWER_BYTES - len(self._body)]

    def on_upstream_complete(self, upstream: UpstreamRequest) -> None:
        """Notes the start that has answered, and returns the run's connection to the pool."""
        connection, asked_s = self._run_connection, upstream.connection.established_s
        if upstream.head is None or connection is None or asked_s is None:
            return
        if connection.established_s is None or connection.established_s > asked_s:
            # The run's connection was established after the question was asked.
            self._body.clear()
            self._ask(upstream.started_s)
            return
        statement = decode_instance_statement(upstream.head, bytes(self._body))
        services, name = self._services, self.backend.name
        if statement.started_unix_ms and statement.name in ("", name):
            services.instance_probes.on_start_stated(
                self.backend, statement.started_unix_ms, asked_s
            )
        services.connection_pool.return_unused(name, connection)
        self._on_answered(self)

    def on_upstream_failed(
        self, upstream: UpstreamRequest, outcome: AttemptOutcome, detail: str
    ) -> None:
        """Passes on the failure; a lost question is no crash of what the engine runs."""
        if outcome is AttemptOutcome.CONNECTION_LOST:
            outcome = AttemptOutcome.SERVER_ERROR
        self._fail(outcome, detail)

    def _fail(self, outcome: AttemptOutcome, detail: str) -> None:
        self.cancel()
        self._on_failed(self, outcome, detail)

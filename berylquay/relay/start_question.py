"""Asks an engine which of its starts a connection leads to, before a stream goes on there.

The request that goes on with the stream follows on the same connection, so that no other start can
take it up in between.
"""

from collections.abc import Callable
from typing import Final

from attrs import define, field

from berylquay.decisions.attempt_outcomes import AttemptOutcome
from berylquay.decisions.backend_registry import BackendEntry
from berylquay.net.persistent_http import RawResponseHead
from berylquay.platform.request_codec import (
    KVCacheHandle,
    decode_instance_statement,
    encode_report_request,
)
from berylquay.relay.services import RelayServices
from berylquay.relay.upstream_request import UpstreamRequest

# Time after which the question is given up; a sound engine may be silent for a second or so.
ANSWER_TIMEOUT_S: Final = 1.2
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
    # Called with the question when an engine has stated its start, or 0 if it states none, and when
    # the question has failed: outcome and detail.
    _on_answered: "Callable[[StartQuestion, int], None]"
    _on_failed: "Callable[[StartQuestion, AttemptOutcome, str], None]"
    # The request; set by `send`.
    upstream: UpstreamRequest | None = field(default=None, init=False)
    _body: bytearray = field(factory=bytearray, init=False)

    def send(self, now_s: float) -> None:
        """Sends the question on a new connection: a kept one may be dead by now."""
        services, backend = self._services, self.backend
        self.upstream = UpstreamRequest(
            self,
            backend,
            services.acquire_connection(backend, True, now_s),
            encode_report_request(backend.address, backend.name),
            call_id="",
            on_notice=services.on_server_notice,
            now_s=now_s,
            may_reuse_without_echo=True,
        )

    def on_tick(self, now_s: float) -> None:
        """Gives up the question if it is not answered in time."""
        upstream = self.upstream
        if upstream is None or upstream.ended:
            return
        if upstream.is_stuck_connecting(now_s):
            upstream.give_up_connecting()
            self._on_failed(self, upstream.not_sent_outcome, NO_CONNECTION)
        elif now_s - upstream.started_s > ANSWER_TIMEOUT_S:
            upstream.cancel()
            self._on_failed(self, AttemptOutcome.SERVER_ERROR, NO_ANSWER)

    def cancel(self) -> None:
        """Closes the connection."""
        if self.upstream is not None:
            self.upstream.cancel()

    def on_upstream_head(self, upstream: UpstreamRequest, head: RawResponseHead) -> None:
        """Does nothing: the answer is evaluated once it is complete."""

    def on_upstream_data(self, upstream: UpstreamRequest, data: bytes) -> None:
        """Appends to the body, up to the size limit."""
        self._body += data[: MAX_ANSWER_BYTES - len(self._body)]

    def on_upstream_complete(self, upstream: UpstreamRequest) -> None:
        """Notes the start that the connection leads to, and passes it on."""
        if upstream.head is None:
            return
        statement = decode_instance_statement(upstream.head, bytes(self._body))
        started_unix_ms = statement.started_unix_ms
        if started_unix_ms:
            upstream.connection.server_started_unix_ms = started_unix_ms
            self._services.instance_probes.on_start_stated(
                self.backend, started_unix_ms, upstream.started_s
            )
        self._on_answered(self, started_unix_ms)

    def on_upstream_failed(
        self, upstream: UpstreamRequest, outcome: AttemptOutcome, detail: str
    ) -> None:
        """Passes on the failure; a lost question is no crash of what the engine runs."""
        if outcome is AttemptOutcome.CONNECTION_LOST:
            outcome = AttemptOutcome.SERVER_ERROR
        self._on_failed(self, outcome, detail)

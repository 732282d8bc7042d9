"""Requests to prefill engines: a disaggregated prefill, or the release of its KV cache."""

from typing import Final, Protocol

import logbook

from berylquay.decisions.attempt_outcomes import AttemptOutcome
from berylquay.net.persistent_http import RawResponseHead
from berylquay.platform.request_codec import KVCacheHandle, encode_release_request
from berylquay.relay.services import RelayServices
from berylquay.relay.upstream_request import UpstreamRequest

# Most bytes kept of the response to a prefill, which holds a handle and some numbers.
MAX_PREFILL_RESPONSE_BYTES: Final = 4096
# Timeout of the request that frees a KV cache.
RELEASE_TIMEOUT_S: Final = 1.0
_log = logbook.Logger("prompt-legs")


class PrefillHandler(Protocol):
    """Is notified of the result of a prefill request."""

    def on_prefill_response(self, upstream: UpstreamRequest, body: bytes) -> None:
        """Called when a response to the prefill request is complete, whatever its status.

        The body is cut off after `MAX_PREFILL_RESPONSE_BYTES`.
        """

    def on_prefill_failed(
        self, upstream: UpstreamRequest, outcome: AttemptOutcome, detail: str
    ) -> None:
        """Called when the prefill was not run or the response did not arrive completely.

        Args:
            upstream: The prefill request.
            outcome: How it ended.
            detail: Reason, for logs and refusals.
        """


class PrefillResponseCollector:
    """Collects the response to a prefill request and passes it to the relayed request."""

    _handler: PrefillHandler
    # Bytes of the body received so far.
    _body: bytes

    def __init__(self, handler: PrefillHandler) -> None:
        self._handler = handler
        self._body = b""

    def on_upstream_head(self, upstream: UpstreamRequest, head: RawResponseHead) -> None:
        """Does nothing: the body follows."""

    def on_upstream_data(self, upstream: UpstreamRequest, data: bytes) -> None:
        """Collects the body, up to the size limit."""
        self._body += data[: MAX_PREFILL_RESPONSE_BYTES - len(self._body)]

    def on_upstream_complete(self, upstream: UpstreamRequest) -> None:
        """Passes on the complete response."""
        self._handler.on_prefill_response(upstream, self._body)

    def on_upstream_failed(
        self, upstream: UpstreamRequest, outcome: AttemptOutcome, detail: str
    ) -> None:
        """Passes on the failure."""
        self._handler.on_prefill_failed(upstream, outcome, detail)


class _ReleaseResponseHandler:
    """Logs when a KV cache could not be released."""

    def __init__(self, engine: str) -> None:
        self._engine = engine

    def on_upstream_head(self, upstream: UpstreamRequest, head: RawResponseHead) -> None:
        """Does nothing: only the end matters."""

    def on_upstream_data(self, upstream: UpstreamRequest, data: bytes) -> None:
        """Ignores the body."""

    def on_upstream_complete(self, upstream: UpstreamRequest) -> None:
        """Does nothing: the KV cache is released."""

    def on_upstream_failed(
        self, upstream: UpstreamRequest, outcome: AttemptOutcome, detail: str
    ) -> None:
        """Logs the failure; the engine frees the KV cache when it expires."""
        _log.info("KV cache not released", engine=self._engine, end=outcome.value, detail=detail)


def release_kv_cache(services: RelayServices, kv_handle: KVCacheHandle, now_s: float) -> None:
    """Asks an engine to free a KV cache that no engine will fetch.

    Does nothing if the engine is no longer known, or wants no request now; the cache then expires.
    """
    entry = services.registry.get(kv_handle.engine)
    notices = services.registry.notices
    if (
        entry is None
        or notices.is_paused(entry.instance)
        or not notices.limits.has_permit(entry.instance)
    ):
        return
    connection = services.acquire_connection(entry, False, now_s)
    services.open_releases.append(
        UpstreamRequest(
            _ReleaseResponseHandler(kv_handle.engine),
            entry,
            connection,
            encode_release_request(kv_handle),
            call_id="",
            on_notice=services.on_server_notice,
            now_s=now_s,
        )
    )


def cancel_overdue_releases(services: RelayServices, now_s: float) -> None:
    """Gives up requests to free a KV cache whose answer has not ended in time."""
    for upstream in services.open_releases:
        if not upstream.ended and now_s - upstream.started_s > RELEASE_TIMEOUT_S:
            upstream.cancel()
            _log.info(
                "KV cache not released", engine=upstream.backend.name, detail="no answer in time"
            )
    services.open_releases = [each for each in services.open_releases if not each.ended]

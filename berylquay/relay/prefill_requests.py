"""Legs that concern a prompt alone: it is read at one engine for another, or its cache is freed."""

from typing import Final, Protocol

import logbook

from berylquay.decisions.attempt_outcomes import AttemptOutcome
from berylquay.net.kept_http import RawHead
from berylquay.platform.requests import KVCacheHandle, encode_release
from berylquay.relay.services import RelayServices
from berylquay.relay.upstream_request import UpstreamRequest

# Largest answer of an engine that has read a prompt: a handle and some numbers.
MAX_PREFILL_RESPONSE_BYTES: Final = 4096
_log = logbook.Logger("prompt-legs")


class PrefillHandler(Protocol):
    """Hears what has become of a prompt."""

    def on_prefill_response(self, upstream: UpstreamRequest, body: bytes) -> None:
        """Called with the whole answer of the engine that read it."""

    def on_prefill_failed(
        self, upstream: UpstreamRequest, outcome: AttemptOutcome, detail: str
    ) -> None:
        """Called when the engine gave no such answer."""


class PrefillResponseCollector:
    """Collects the answer of an engine that reads a prompt, and hands it to the exchange."""

    _handler: PrefillHandler
    # What has come of the answer's body.
    _body: bytes

    def __init__(self, handler: PrefillHandler) -> None:
        self._handler = handler
        self._body = b""

    def on_upstream_head(self, upstream: UpstreamRequest, head: RawHead) -> None:
        """Waits for the body."""

    def on_upstream_data(self, upstream: UpstreamRequest, data: bytes) -> None:
        """Collects the body."""
        self._body += data[: MAX_PREFILL_RESPONSE_BYTES - len(self._body)]

    def on_upstream_complete(self, upstream: UpstreamRequest) -> None:
        """Passes on the whole answer."""
        self._handler.on_prefill_response(upstream, self._body)

    def on_upstream_failed(
        self, upstream: UpstreamRequest, outcome: AttemptOutcome, detail: str
    ) -> None:
        """Passes on the failure."""
        self._handler.on_prefill_failed(upstream, outcome, detail)


class _ReleaseResponseHandler:
    """Hears whether a KV cache was freed."""

    def __init__(self, engine: str) -> None:
        self._engine = engine

    def on_upstream_head(self, upstream: UpstreamRequest, head: RawHead) -> None:
        """Waits for the end."""

    def on_upstream_data(self, upstream: UpstreamRequest, data: bytes) -> None:
        """Ignores the body."""

    def on_upstream_complete(self, upstream: UpstreamRequest) -> None:
        """Does nothing: the cache is free."""

    def on_upstream_failed(
        self, upstream: UpstreamRequest, outcome: AttemptOutcome, detail: str
    ) -> None:
        """Leaves the cache to its expiry."""
        _log.info("prompt not freed", engine=self._engine, end=outcome.value, detail=detail)


def release_kv_cache(services: RelayServices, kv_handle: KVCacheHandle, now_s: float) -> None:
    """Frees a KV cache that nobody will fetch."""
    entry = services.registry.get(kv_handle.engine)
    if entry is None:
        return
    connection = services.connection_pool.acquire(entry, False, now_s)
    UpstreamRequest(
        _ReleaseResponseHandler(kv_handle.engine),
        entry,
        connection,
        encode_release(kv_handle),
        call_id="",
        now_s=now_s,
    )

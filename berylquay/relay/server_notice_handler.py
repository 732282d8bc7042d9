"""Applies what backend servers state of themselves in answers, and tells other hosts who leaves."""

import time
from collections.abc import Callable
from random import Random
from typing import Final

import logbook

from berylquay.decisions.backend_registry import BackendEntry
from berylquay.decisions.server_notices import (
    MAX_PAUSE_S,
    ServerInstance,
    ServerNotice,
    ServerNotices,
)
from berylquay.relay.metrics import RelayMetrics
from berylquay.relay.report_fields import FIELD_ERRORS, compress_fields, decompress_fields

# First byte of a datagram that names a leaving server.
LEAVING_TAG: Final = b"\x04"
MS_PER_S: Final = 1000.0
_log = logbook.Logger("server-notices")


def encode_leaving_server(instance: ServerInstance) -> bytes:
    """Returns a datagram that names a leaving server."""
    return LEAVING_TAG + compress_fields([instance.name, instance.started_unix_ms])


def decode_leaving_server(data: bytes) -> ServerInstance | None:
    """Returns the leaving server, or None if the datagram does not name one."""
    try:
        name, started_unix_ms = decompress_fields(data[len(LEAVING_TAG) :])
        return ServerInstance(str(name), int(str(started_unix_ms)))
    except FIELD_ERRORS:
        return None


class ServerNoticeHandler:
    """Records notices, logs each change, and counts them."""

    _notices: ServerNotices
    _metrics: RelayMetrics
    _rng: Random
    # Called with each instance whose leaving this host has learned from an answer.
    _tell_others: Callable[[ServerInstance], None]

    def __init__(
        self,
        notices: ServerNotices,
        metrics: RelayMetrics,
        rng: Random,
        tell_others: Callable[[ServerInstance], None],
    ) -> None:
        self._notices = notices
        self._metrics = metrics
        self._rng = rng
        self._tell_others = tell_others

    def on_notice(self, backend: BackendEntry, notice: ServerNotice) -> None:
        """Applies what an answer of a server states."""
        if not notice.is_leaving and notice.pause_s is None:
            return
        if notice.is_leaving and self._notices.on_leaving(backend.instance):
            self._record_leaving(backend.instance, "answer")
            self._tell_others(backend.instance)
        if notice.pause_s is not None:
            self._pause(backend.instance, notice.pause_s, time.monotonic())

    def on_reported_leaving(self, instance: ServerInstance) -> None:
        """Applies what another host has learned."""
        if self._notices.on_leaving(instance):
            self._record_leaving(instance, "host")

    def on_tick(self, now_s: float) -> None:
        """Ends pauses that are over."""
        for instance in self._notices.on_tick(now_s):
            _log.info(
                "server pause ended",
                backend=instance.name,
                started_unix_ms=instance.started_unix_ms,
            )

    def _record_leaving(self, instance: ServerInstance, source: str) -> None:
        self._metrics.on_server_notice("leaving", source)
        _log.info(
            "server is leaving",
            backend=instance.name,
            started_unix_ms=instance.started_unix_ms,
            source=source,
        )

    def _pause(self, instance: ServerInstance, pause_s: float, now_s: float) -> None:
        lasts_s = self._notices.on_pause(instance, pause_s, self._rng, now_s)
        if lasts_s is None:
            return
        self._metrics.on_server_notice("paused", "answer")
        _log.info(
            "server paused",
            backend=instance.name,
            started_unix_ms=instance.started_unix_ms,
            source="answer",
            stated_ms=round(min(pause_s, MAX_PAUSE_S) * MS_PER_S),
            left_ms=round(lasts_s * MS_PER_S),
        )

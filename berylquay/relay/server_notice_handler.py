"""Applies what backend servers state of themselves in answers, and tells other hosts who leaves."""

import time
from collections.abc import Callable
from math import inf, isinf
from random import Random
from typing import Final

import logbook

from berylquay.decisions.arrival_bounds import ArrivalBounds
from berylquay.decisions.backend_registry import BackendEntry, BackendRegistry
from berylquay.decisions.server_instance import ServerInstance
from berylquay.decisions.server_notices import (
    MAX_PAUSE_S,
    ServerNotice,
    ServerNotices,
)
from berylquay.net.clocks import unix_ms_at
from berylquay.relay.metrics import RelayMetrics
from berylquay.relay.report_fields import FIELD_ERRORS, compress_fields, decompress_fields

# First byte of a datagram that names a leaving server.
LEAVING_TAG: Final = b"\x04"
# First byte of a datagram that names a server's limit.
LIMIT_TAG: Final = b"\x06"
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


def encode_server_limit(instance: ServerInstance, limit_per_s: float | None) -> bytes:
    """Returns a datagram that names a server's limit, or says that it has none any more."""
    return LIMIT_TAG + compress_fields([instance.name, instance.started_unix_ms, limit_per_s])


def decode_server_limit(data: bytes) -> tuple[ServerInstance, float | None] | None:
    """Returns the server and its limit, or None if the datagram does not name one."""
    try:
        name, started_unix_ms, limit_per_s = decompress_fields(data[len(LIMIT_TAG) :])
        instance = ServerInstance(str(name), int(str(started_unix_ms)))
        if limit_per_s is None:
            return instance, None
        value = float(str(limit_per_s))
        return (instance, value) if 0.0 <= value < inf else None
    except FIELD_ERRORS:
        return None


class ServerNoticeHandler:
    """Records notices, logs each change, and counts them."""

    _registry: BackendRegistry
    _notices: ServerNotices
    _metrics: RelayMetrics
    _rng: Random
    # Sends a datagram to all hosts of the fleet.
    _send_to_all: Callable[[bytes], None]

    def __init__(
        self,
        registry: BackendRegistry,
        metrics: RelayMetrics,
        rng: Random,
        send_to_all: Callable[[bytes], None],
    ) -> None:
        self._registry = registry
        self._notices = registry.notices
        self._metrics = metrics
        self._rng = rng
        self._send_to_all = send_to_all

    def on_notice(self, backend: BackendEntry, notice: ServerNotice, sent_s: float) -> None:
        """Applies what an answer of a server states.

        Args:
            backend: The server.
            notice: What the answer states.
            sent_s: Monotonic time at which the request was sent that was answered.
        """
        now_s, sent_unix_ms = time.monotonic(), unix_ms_at(sent_s)
        instance = self._registry.answering_instance(backend.instance, sent_unix_ms)
        if self._registry.newer_instance(instance) is not None:
            # It has ended since.
            return
        if notice.limit_per_s is not None:
            self._limit(instance, notice.limit_per_s, sent_s, now_s)
        if notice.is_leaving:
            self._leaving(backend.instance, sent_unix_ms)
        if notice.pause_s is not None:
            self._pause(instance, notice.pause_s, sent_unix_ms, now_s)

    def on_leaving_datagram(self, data: bytes, _arrival: ArrivalBounds) -> None:
        """Applies what another host has learned of a server that is leaving."""
        instance = decode_leaving_server(data)
        if instance is None:
            _log.warning("unreadable notice", size_bytes=len(data))
        elif self._notices.on_leaving(instance):
            self._record_leaving(instance, "host")

    def on_limit_datagram(self, data: bytes, arrival: ArrivalBounds) -> None:
        """Applies what another host has heard of a server's limit."""
        decoded = decode_server_limit(data)
        if decoded is None:
            _log.warning("unreadable notice", size_bytes=len(data))
            return
        instance, limit_per_s = decoded
        sent_unix_ms = unix_ms_at(arrival.earliest_s)
        if limit_per_s is not None:
            instance = self._registry.answering_instance(instance, sent_unix_ms)
        before = self._notices.limits.limit_of(instance)
        per_s = inf if limit_per_s is None else limit_per_s
        is_new = self._notices.on_limit(
            instance,
            per_s,
            sent_s=arrival.earliest_s,
            rng=self._rng,
            now_s=arrival.latest_s,
            sent_unix_ms=sent_unix_ms,
        )
        if is_new:
            self._record_limit(instance, before, "host")

    def on_tick(self, now_s: float) -> None:
        """Ends pauses that are over."""
        for instance in self._notices.on_tick(now_s):
            _log.info(
                "server pause ended",
                backend=instance.name,
                started_unix_ms=instance.started_unix_ms,
            )

    def _leaving(self, asked: ServerInstance, sent_unix_ms: int) -> None:
        newer = self._registry.newer_instance(asked)
        if newer is not None:
            is_own = newer.may_answer(sent_unix_ms, tolerance_ms=0)
            if is_own and self._notices.on_uncertain_leaving(newer):
                self._record_leaving(newer, "answer")
        elif self._notices.on_leaving(asked, sent_unix_ms):
            self._record_leaving(asked, "answer")
            self._send_to_all(encode_leaving_server(asked))

    def _record_leaving(self, instance: ServerInstance, source: str) -> None:
        self._metrics.on_server_notice("leaving", source)
        _log.info(
            "server is leaving",
            backend=instance.name,
            started_unix_ms=instance.started_unix_ms,
            source=source,
        )

    def _limit(self, instance: ServerInstance, per_s: float, sent_s: float, now_s: float) -> None:
        """Applies a limit, or that there is none, and logs a change."""
        if not isinf(per_s) or self._notices.limits.has_limit(instance.name):
            before = self._notices.limits.limit_of(instance)
            is_new = self._notices.on_limit(
                instance,
                per_s,
                sent_s=sent_s,
                rng=self._rng,
                now_s=now_s,
                sent_unix_ms=unix_ms_at(sent_s),
            )
            if is_new:
                self._record_limit(instance, before, "answer")
                after = self._notices.limits.limit_of(instance)
                if before is None or after is None:
                    # Each host hears by itself of a limit that changes.
                    self._send_to_all(encode_server_limit(instance, after))

    def _record_limit(self, instance: ServerInstance, before: float | None, source: str) -> None:
        limit_per_s = self._notices.limits.limit_of(instance)
        if limit_per_s is not None and before is None:
            self._metrics.on_server_notice("limited", source)
        _log.info(
            "server limit",
            backend=instance.name,
            started_unix_ms=instance.started_unix_ms,
            source=source,
            limit_per_s=limit_per_s,
            before=before,
            hosts=self._notices.limits.host_count,
        )

    def _pause(
        self, instance: ServerInstance, pause_s: float, sent_unix_ms: int, now_s: float
    ) -> None:
        lasts_s = self._notices.on_pause(instance, pause_s, self._rng, now_s, sent_unix_ms)
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

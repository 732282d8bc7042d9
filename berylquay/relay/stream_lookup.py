"""Looks up the software version of the stream that one call continues."""

from enum import Enum
from typing import Final

import logbook

from berylquay.decisions.relay_call import RelayCall
from berylquay.decisions.stream_versions import PENDING_VERSION, UNLISTED_VERSION
from berylquay.relay.services import RelayServices

# Time after which all hosts are asked, not the keepers alone, and the versions of the pool are read
# in the store. A reply takes a round trip between regions and up to a tick on each side.
ASK_ALL_AFTER_S: Final = 0.12
# Time after which the lookup is abandoned, unless this host or the first one of its group is about
# to read versions in the store.
LOOKUP_TIMEOUT_S: Final = 0.35
READ_TIMEOUT_S: Final = 1.0
# Sources of a version that is told to the present keepers.
LASTING_SOURCES: Final = frozenset({"store", "only-version"})
MS_PER_S: Final = 1000.0
_log = logbook.Logger("exchange")


class LookupState(Enum):
    """Progress of a lookup."""

    PENDING = "pending"
    FOUND = "found"
    # Nobody knows the version.
    FAILED = "failed"


class StreamLookup:
    """Asks the other hosts for the version unless this one knows it, within a time limit."""

    _services: RelayServices
    _call: RelayCall
    _started_s: float
    # Monotonic time from which all hosts are asked.
    _next_ask_s: float
    # Whether streams are read in the store for this lookup.
    _uses_store: bool

    def __init__(self, services: RelayServices, call: RelayCall, now_s: float) -> None:
        self._services = services
        self._call = call
        self._started_s = now_s
        self._next_ask_s = now_s + ASK_ALL_AFTER_S
        self._uses_store = False

    def start(self, now_s: float) -> LookupState:
        """Returns the version if this host knows it; otherwise asks the keepers of the stream."""
        state = self._finish_if_known("own", now_s)
        call_id = self._call.resumed_call_id
        if state is LookupState.PENDING and call_id:
            self._services.stream_versions.ask(call_id)
            self._request_read_if_needed(now_s)
        return state

    def on_tick(self, now_s: float) -> LookupState:
        """Returns whether the version has become known, or the time for that is over."""
        state = self._finish_if_known("host", now_s)
        if state is not LookupState.PENDING:
            return state
        self._request_read_if_needed(now_s)
        elapsed_s = now_s - self._started_s
        if elapsed_s >= ASK_ALL_AFTER_S and not self._is_record_current():
            self._services.pool_version_store.request_read(self._started_s, now_s)
        if elapsed_s >= LOOKUP_TIMEOUT_S:
            version = self._only_version(now_s) if self._is_record_current() else None
            if version is None and elapsed_s < READ_TIMEOUT_S and self._is_read_pending():
                return LookupState.PENDING
            return self._finish(version, "none" if version is None else "only-version", now_s)
        if now_s >= self._next_ask_s:
            self._next_ask_s = float("inf")
            if self._call.resumed_call_id:
                self._services.stream_versions.ask_all(self._call.resumed_call_id)
        return LookupState.PENDING

    def _request_read_if_needed(self, now_s: float) -> None:
        """Has the streams read in the store once the pool is known to have had several versions."""
        services, call_id = self._services, self._call.resumed_call_id
        if self._uses_store or not call_id or services.pool_version_store.is_read_missing:
            return
        if self._only_version(now_s) is None:
            self._uses_store = True
            services.stream_version_store.request_read(now_s, call_id)

    def _is_read_pending(self) -> bool:
        """Tells whether a read that is not complete may still show the version."""
        services = self._services
        if services.pool_version_store.is_read_missing or not self._is_record_current():
            return True
        return self._uses_store and services.stream_version_store.is_read_pending(self._started_s)

    def _is_record_current(self) -> bool:
        """Tells whether the pool's record was read after the call came, and so after its stream.

        The list of servers may be older, as may be what other hosts have said of it: the stream
        may have begun at a version that this host has not heard of.
        """
        return self._services.pool_version_store.is_record_read(
            self._call.pool.name, self._started_s
        )

    def _finish_if_known(self, source: str, now_s: float) -> LookupState:
        call_id, services = self._call.resumed_call_id, self._services
        if services.stream_versions.versions.find(call_id) in (None, PENDING_VERSION):
            source = "store"
        version = services.stream_versions.find(call_id)
        if version == UNLISTED_VERSION:
            return self._finish(None, "unlisted", now_s)
        if version is None or version == PENDING_VERSION:
            return LookupState.PENDING
        return self._finish(version, source, now_s)

    def _only_version(self, now_s: float) -> str | None:
        """Returns the only version that the stream can have begun at, or None."""
        services, pool = self._services, self._call.pool.name
        if services.stream_versions.find(self._call.resumed_call_id) is not None:
            # It is recorded that the version is not known.
            return None
        listed = [entry for entry in services.registry.all_entries() if entry.pool == pool]
        starts = services.server_starts
        if any(starts.has_newer(entry.name, entry.started_unix_ms) for entry in listed):
            return None
        return services.pool_versions.only_version(pool, listed, now_s)

    def _finish(self, version: str | None, source: str, now_s: float) -> LookupState:
        call, services = self._call, self._services
        call.stream_version = version
        if version is not None and call.resumed_call_id and source in LASTING_SOURCES:
            # The keepers that were told when the stream began are gone.
            services.stream_versions.on_stream_begun(call.resumed_call_id, version, now_s)
            services.stream_version_store.on_stream_begun(
                call.pool.name, call.resumed_call_id, version, now_s
            )
        services.metrics.on_stream_taken_up(source)
        _log.info(
            "stream taken up",
            id=call.call_id,
            resumes=call.resumed_call_id,
            after_event=call.resumed_after_event,
            software_version=version,
            source=source,
            waited_ms=round((now_s - self._started_s) * MS_PER_S),
            **services.pool_versions.describe_list(now_s),
        )
        return LookupState.FAILED if version is None else LookupState.FOUND

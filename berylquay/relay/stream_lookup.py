"""Looks up the software version of the stream that one call continues."""

from enum import Enum
from typing import Final

import logbook

from berylquay.decisions.relay_call import RelayCall
from berylquay.relay.services import RelayServices

# Time after which all hosts are asked, not the keepers alone. A reply takes a round trip between
# regions and up to a tick on each side.
ASK_ALL_AFTER_S: Final = 0.12
# Time after which the lookup is abandoned.
LOOKUP_TIMEOUT_S: Final = 0.35
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
    _has_asked_all: bool

    def __init__(self, services: RelayServices, call: RelayCall, now_s: float) -> None:
        self._services = services
        self._call = call
        self._started_s = now_s
        self._has_asked_all = False

    def start(self, now_s: float) -> LookupState:
        """Returns the version if this host knows it; otherwise asks the keepers of the stream."""
        state = self._finish_if_known("own", now_s)
        if state is LookupState.PENDING and self._call.resumed_call_id:
            self._services.stream_versions.ask(self._call.resumed_call_id)
        return state

    def on_tick(self, now_s: float) -> LookupState:
        """Returns whether the version has become known, or the time for that is over."""
        state = self._finish_if_known("host", now_s)
        if state is not LookupState.PENDING:
            return state
        elapsed_s = now_s - self._started_s
        if elapsed_s >= LOOKUP_TIMEOUT_S:
            return self._finish_without_reply(now_s)
        if elapsed_s >= ASK_ALL_AFTER_S and not self._has_asked_all:
            self._has_asked_all = True
            if self._call.resumed_call_id:
                self._services.stream_versions.ask_all(self._call.resumed_call_id)
        return LookupState.PENDING

    def _finish_if_known(self, source: str, now_s: float) -> LookupState:
        version = self._services.stream_versions.versions.find(self._call.resumed_call_id)
        return LookupState.PENDING if version is None else self._finish(version, source, now_s)

    def _finish_without_reply(self, now_s: float) -> LookupState:
        """Uses the only version that the pool has had, if there is no other."""
        services, pool = self._services, self._call.pool.name
        listed = [entry for entry in services.registry.all_entries() if entry.pool == pool]
        version = services.pool_versions.only_version(pool, listed, now_s)
        return self._finish(version, "none" if version is None else "only-version", now_s)

    def _finish(self, version: str | None, source: str, now_s: float) -> LookupState:
        call = self._call
        call.stream_version = version
        self._services.metrics.on_stream_taken_up(source)
        _log.info(
            "stream taken up",
            id=call.call_id,
            resumes=call.resumed_call_id,
            after_event=call.resumed_after_event,
            software_version=version,
            source=source,
            waited_ms=round((now_s - self._started_s) * MS_PER_S),
        )
        return LookupState.FAILED if version is None else LookupState.FOUND

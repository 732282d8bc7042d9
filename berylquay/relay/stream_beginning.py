"""Records the software version at which a resumable stream began.

The version is that of the start of the engine that sent the first event. An engine may have started
again, as other software, before its new entry is known. The start that the connection leads to is
therefore found out in the background; the first event does not wait for it.
"""

from attrs import define, field

from berylquay.decisions.relay_call import RelayCall
from berylquay.decisions.stream_versions import PENDING_VERSION, UNLISTED_VERSION
from berylquay.relay.services import RelayServices
from berylquay.relay.upstream_request import UpstreamRequest


@define(eq=False)
class StreamBeginning:
    """One run that begins a stream."""

    _services: RelayServices
    _call: RelayCall
    _upstream: UpstreamRequest
    # Whether the caller has a part of the stream, and whether its version is certain.
    _has_begun: bool = field(default=False, init=False)
    _is_certain: bool = field(default=False, init=False)

    def on_first_event(self, now_s: float) -> None:
        """Records the version, as far as it is known."""
        if not self._has_begun:
            self._has_begun = True
            self._update(now_s)

    @property
    def is_pending(self) -> bool:
        """Tells whether an answer of the engine may still show the version of a stream."""
        return self._has_begun and self._call.stream_version == PENDING_VERSION

    def on_tick(self, now_s: float) -> None:
        """Asks the engine for its start, and records the version once it is certain."""
        if not self._is_certain:
            self._update(now_s)

    def _update(self, now_s: float) -> None:
        version = self._find_version(now_s)
        if self._has_begun and version != self._call.stream_version:
            services, call = self._services, self._call
            call.stream_version = version
            services.stream_versions.on_stream_begun(call.call_id, version, now_s)
            services.stream_version_store.on_stream_begun(
                call.pool.name, call.call_id, version, now_s
            )

    def _find_version(self, now_s: float) -> str:
        """Returns the version of the start that the connection leads to, as far as it is known."""
        services, listed = self._services, self._upstream.backend
        connection, find_start = self._upstream.connection, services.connection_pool.find_start
        started_unix_ms = find_start(listed.name, connection)
        if started_unix_ms == listed.started_unix_ms or not listed.states_start:
            self._is_certain = True
            return listed.software_version
        if started_unix_ms:
            entry = services.registry.get(listed.name)
            self._is_certain = entry is not None and entry.started_unix_ms == started_unix_ms
            return entry.software_version if entry and self._is_certain else PENDING_VERSION
        starts = services.server_starts
        if starts.has_newer(listed.name, listed.started_unix_ms):
            # Either of the two may have begun the stream.
            return UNLISTED_VERSION
        if connection.established_s is not None:
            services.instance_probes.state_since(listed, connection.established_s, now_s)
        # Signs that come after the first event say nothing of the start that sent it.
        is_recorded = self._call.stream_version == listed.software_version
        if is_recorded or not starts.is_doubted(listed.name, listed.started_unix_ms):
            return listed.software_version
        return PENDING_VERSION

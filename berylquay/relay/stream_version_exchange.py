"""Exchange of the software versions at which event streams began, as datagrams between hosts.

A host tells the keepers of each stream that it begins, and asks them about a stream that its caller
takes up and that began elsewhere. Only the hosts that exchange load reports are keepers.
"""

from collections import defaultdict
from collections.abc import Callable
from typing import Final

import logbook
from attrs import define, field

from berylquay.decisions.fleet import Address
from berylquay.decisions.stream_versions import KEEPERS, StreamVersions, choose_keepers
from berylquay.relay.report_fields import FIELD_ERRORS, compress_fields, decompress_fields

# First byte of a datagram with versions of streams, and of one that asks for them.
STREAM_VERSIONS_TAG: Final = b"\x07"
STREAM_QUERY_TAG: Final = b"\x08"
# Streams in one datagram, so that it is never fragmented into more than a few packets.
MAX_STREAMS_PER_DATAGRAM: Final = 48
# Keepers that are asked: one more than were told, as the host that began the stream may be one.
ASKED_KEEPERS: Final = KEEPERS + 1
_log = logbook.Logger("stream-versions")


def encode_stream_versions(versions: dict[str, str]) -> bytes:
    """Returns a datagram with the versions of streams, by the id of the attempt that began them."""
    return STREAM_VERSIONS_TAG + compress_fields(
        [[call_id, versions[call_id]] for call_id in versions]
    )


def decode_stream_versions(data: bytes) -> dict[str, str] | None:
    """Returns the versions of streams, or None if the datagram does not contain any."""
    try:
        items = decompress_fields(data[len(STREAM_VERSIONS_TAG) :])
        return {str(call_id): str(version) for call_id, version in map(_as_pair, items)}
    except FIELD_ERRORS:
        return None


def encode_stream_query(reply_to: Address, call_id: str) -> bytes:
    """Returns a datagram that asks for the version of a stream."""
    return STREAM_QUERY_TAG + compress_fields([reply_to.ip, reply_to.port, call_id])


def decode_stream_query(data: bytes) -> tuple[Address, str] | None:
    """Returns where to send the reply, and the stream's id; None if the datagram is no query."""
    try:
        ip, port, call_id = decompress_fields(data[len(STREAM_QUERY_TAG) :])
        return Address(str(ip), int(str(port))), str(call_id)
    except FIELD_ERRORS:
        return None


def _as_pair(item: object) -> list[object]:
    if not isinstance(item, list):
        raise TypeError("not a list")
    return item


@define(kw_only=True)
class StreamVersionExchange:
    """Keeps versions of streams, tells and asks other hosts."""

    versions: StreamVersions = field(factory=StreamVersions, init=False)
    _host: str
    # Where this host receives datagrams.
    _address: Address
    # Returns the addresses of the other hosts that may be keepers, by name.
    _get_hosts: Callable[[], dict[str, Address]]
    _send: Callable[[bytes, Address], None]
    # Streams that were begun since the last tick.
    _begun: dict[str, str] = field(factory=dict, init=False)

    def on_stream_begun(self, call_id: str, software_version: str, now_s: float) -> None:
        """Records the version at which this host has begun a caller's stream."""
        self.versions.record(call_id, software_version, now_s)
        self._begun[call_id] = software_version

    def ask(self, call_id: str) -> None:
        """Asks the keepers of a stream for its version."""
        hosts = self._get_hosts()
        query = encode_stream_query(self._address, call_id)
        for keeper in choose_keepers(call_id, [self._host, *hosts], ASKED_KEEPERS):
            if keeper in hosts:
                self._send(query, hosts[keeper])

    def ask_all(self, call_id: str) -> None:
        """Asks all hosts: those that were told may have known other hosts than this one does."""
        query = encode_stream_query(self._address, call_id)
        for address in self._get_hosts().values():
            self._send(query, address)

    def on_versions_datagram(self, data: bytes, now_s: float) -> None:
        """Records versions that another host has told."""
        versions = decode_stream_versions(data)
        if versions is None:
            _log.warning("unreadable stream versions", size_bytes=len(data))
            return
        for call_id, software_version in versions.items():
            self.versions.record(call_id, software_version, now_s)

    def on_query_datagram(self, data: bytes, _now_s: float) -> None:
        """Replies to another host if the version that it asks for is known."""
        query = decode_stream_query(data)
        if query is None:
            _log.warning("unreadable stream query", size_bytes=len(data))
            return
        reply_to, call_id = query
        software_version = self.versions.find(call_id)
        if software_version is not None:
            self._send(encode_stream_versions({call_id: software_version}), reply_to)

    def on_tick(self, now_s: float) -> None:
        """Tells the keepers of the streams that were begun since the last tick."""
        self.versions.expire(now_s)
        if not self._begun:
            return
        hosts = self._get_hosts()
        by_keeper: defaultdict[str, dict[str, str]] = defaultdict(dict)
        for call_id, software_version in self._begun.items():
            for keeper in choose_keepers(call_id, hosts, KEEPERS):
                by_keeper[keeper][call_id] = software_version
        self._begun.clear()
        for keeper, versions in by_keeper.items():
            items = list(versions.items())
            for start in range(0, len(items), MAX_STREAMS_PER_DATAGRAM):
                chunk = dict(items[start : start + MAX_STREAMS_PER_DATAGRAM])
                self._send(encode_stream_versions(chunk), hosts[keeper])

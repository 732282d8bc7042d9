"""Exchange of the software versions at which event streams began, as datagrams between hosts.

A host tells the keepers of each stream that it begins, and asks them about a stream that its caller
takes up and that began elsewhere. Only the hosts that exchange load reports are keepers.
"""

from collections.abc import Callable
from typing import Final

import logbook
from attrs import define, field

from berylquay.decisions.arrival_bounds import ArrivalBounds
from berylquay.decisions.fleet import Address
from berylquay.decisions.stream_versions import (
    KEEPERS,
    PENDING_VERSION,
    StreamVersions,
    choose_keepers,
    choose_version,
)
from berylquay.relay.report_fields import (
    FIELD_ERRORS,
    compress_fields,
    decode_address,
    decompress_fields,
)

# First byte of a datagram with the version of a stream, and of one that asks for it.
STREAM_VERSION_TAG: Final = b"\x07"
STREAM_QUERY_TAG: Final = b"\x08"
# Keepers that are asked: one more than were told, as the host that began the stream may be one.
ASKED_KEEPERS: Final = KEEPERS + 1
_log = logbook.Logger("stream-versions")


def encode_stream_version(call_id: str, software_version: str) -> bytes:
    """Returns a datagram with the version of a stream and the id of the attempt that began it."""
    return STREAM_VERSION_TAG + compress_fields([call_id, software_version])


def decode_stream_version(data: bytes) -> tuple[str, str] | None:
    """Returns the id and the version of a stream, or None if the datagram does not contain them."""
    try:
        call_id, software_version = decompress_fields(data[len(STREAM_VERSION_TAG) :])
        return str(call_id), str(software_version)
    except FIELD_ERRORS:
        return None


def encode_stream_query(reply_to: Address, call_id: str) -> bytes:
    """Returns a datagram that asks for the version of a stream."""
    return STREAM_QUERY_TAG + compress_fields([reply_to.ip, reply_to.port, call_id])


def decode_stream_query(data: bytes) -> tuple[Address, str] | None:
    """Returns where to send the reply, and the stream's id; None if the datagram is no query."""
    try:
        ip, port, call_id = decompress_fields(data[len(STREAM_QUERY_TAG) :])
        return decode_address(ip, port), str(call_id)
    except FIELD_ERRORS:
        return None


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
    # Returns the version of a stream from what was written to the store, or None.
    _find_stored: Callable[[str], str | None] = lambda _call_id: None
    # Called with a stream's id and where to reply, if another host asks and this one can't tell.
    _on_unknown: Callable[[str, Address, float], None] = lambda _call_id, _reply_to, _now_s: None

    def find(self, call_id: str) -> str | None:
        """Returns the version at which a stream began, or None if it is not known."""
        known, stored = self.versions.find(call_id), self._find_stored(call_id)
        if known is None:
            return stored
        return choose_version(known, stored or PENDING_VERSION)

    def on_stream_begun(self, call_id: str, software_version: str, now_s: float) -> None:
        """Records the version at which this host has begun a caller's stream, and tells keepers.

        At once: a stream breaks off when its host is lost, and so does what was not told.
        """
        self.versions.record(call_id, software_version, now_s)
        hosts = self._get_hosts()
        data = encode_stream_version(call_id, software_version)
        for keeper in choose_keepers(call_id, hosts, KEEPERS):
            self._send(data, hosts[keeper])

    def ask(self, call_id: str) -> None:
        """Asks the keepers of a stream for its version."""
        hosts = self._get_hosts()
        query = encode_stream_query(self._address, call_id)
        for keeper in choose_keepers(call_id, [self._host, *hosts], ASKED_KEEPERS):
            if keeper in hosts:
                self._send(query, hosts[keeper])

    def ask_host(self, call_id: str, address: Address) -> None:
        """Asks one host."""
        self._send(encode_stream_query(self._address, call_id), address)

    def reply(self, call_id: str, reply_to: Address) -> bool:
        """Sends the version of a stream to another host; tells whether it is known."""
        software_version = self.find(call_id)
        if software_version is None:
            return False
        self._send(encode_stream_version(call_id, software_version), reply_to)
        return True

    def ask_all(self, call_id: str) -> None:
        """Asks all hosts: those that were told may have known other hosts than this one does."""
        query = encode_stream_query(self._address, call_id)
        for address in self._get_hosts().values():
            self._send(query, address)

    def on_version_datagram(self, data: bytes, arrival: ArrivalBounds) -> None:
        """Records a version that another host has told."""
        decoded = decode_stream_version(data)
        if decoded is None:
            _log.warning("unreadable stream version", size_bytes=len(data))
        else:
            self.versions.record(*decoded, arrival.latest_s)

    def on_query_datagram(self, data: bytes, arrival: ArrivalBounds) -> None:
        """Replies to another host if the version that it asks for is known."""
        query = decode_stream_query(data)
        if query is None:
            _log.warning("unreadable stream query", size_bytes=len(data))
            return
        reply_to, call_id = query
        if not self.reply(call_id, reply_to):
            self._on_unknown(call_id, reply_to, arrival.latest_s)

    def on_tick(self, now_s: float) -> None:
        """Forgets streams that callers do not take up any more."""
        self.versions.expire(now_s)

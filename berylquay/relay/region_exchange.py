"""Exchange between the regions of a large fleet: one summary a region instead of a report a host.

The first host of each region sums up what its hosts have in flight and sends the sum to a host of
each other region, whose first host passes it on within its region. What a host sends and receives
for this depends on the number of regions, not on the number of hosts.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import Any, Final

import logbook
from attrs import define, field, frozen

from berylquay.decisions.arrival_bounds import ArrivalBounds
from berylquay.decisions.engine_backlog import EngineLoad
from berylquay.decisions.fleet import Address
from berylquay.decisions.shared_polling import TopicReport
from berylquay.decisions.topology import Topology
from berylquay.relay.crash_reports import CRASH_REPORT_TAG
from berylquay.relay.datagram_wait import add_wait, split_wait
from berylquay.relay.demand_reports import DEMAND_TAG
from berylquay.relay.report_fields import (
    FIELD_ERRORS,
    AnnouncedSegment,
    compress_fields,
    decode_address,
    decode_loads,
    decode_segments,
    decode_topic_reports,
    decompress_fields,
    encode_loads,
    encode_topic_reports,
)
from berylquay.relay.server_notice_handler import LEAVING_TAG, LIMIT_TAG
from berylquay.relay.stream_version_exchange import STREAM_QUERY_TAG, STREAM_VERSION_TAG
from berylquay.relay.tenant_use_exchange import TENANT_USE_TAG
from berylquay.relay.topic_deltas import DELTA_TAG, TopicDelta, decode_delta
from berylquay.relay.usage_messages import USAGE_TAG
from berylquay.relay.version_datagrams import VERSION_RECORD_TAG

# First byte of a summary's datagram, and of one that the first host of the receiving region is to
# pass on in its region. The second is used once by a host that is not the first one itself.
SUMMARY_TAG: Final = b"\x01"
RELAY_TAG: Final = b"\x02"
RELAY_AT_ONCE_TAG: Final = b"\x03"
EXCHANGE_TAGS: Final = frozenset(
    {
        DELTA_TAG,
        SUMMARY_TAG,
        RELAY_TAG,
        RELAY_AT_ONCE_TAG,
        LEAVING_TAG,
        CRASH_REPORT_TAG,
        LIMIT_TAG,
        STREAM_VERSION_TAG,
        STREAM_QUERY_TAG,
        VERSION_RECORD_TAG,
        USAGE_TAG,
        DEMAND_TAG,
        TENANT_USE_TAG,
    }
)
SUMMARY_INTERVAL_S: Final = 0.25
# Time without a summary after which another host of a region is contacted.
CONTACT_TTL_S: Final = 1.5
# Hosts of a region that are contacted while its first host is not known.
TENTATIVE_CONTACT_HOSTS: Final = 2
# Segments a summary, and most that wait for the next ones; the oldest are dropped first.
MAX_SEGMENTS_PER_SUMMARY: Final = 64
MAX_PENDING_SEGMENTS: Final = 512
# Time after which a segment that was not sent is dropped, as it would count as just used elsewhere.
MAX_PENDING_AGE_S: Final = 1.0
# Longest wait of a datagram that is passed on without a log line.
UNLOGGED_WAIT_MS: Final = 250
MS_PER_S: Final = 1000.0
# Called with a datagram and when it has arrived.
NoticeHandler = Callable[[bytes, ArrivalBounds], None]
_log = logbook.Logger("region-exchange")


@frozen
class RegionSummary:
    """What the hosts of one region have in flight, and what they know of the store's topics."""

    region: str
    # First host of the region, and where it receives datagrams.
    host: str
    address: Address
    # Work in flight at engines of any region, by engine.
    loads: dict[str, EngineLoad]
    topic_reports: tuple[TopicReport, ...] = ()
    # Segments that hosts of the region have announced since the last summary.
    segments: tuple[AnnouncedSegment, ...] = ()


def encode_summary(summary: RegionSummary) -> bytes:
    """Returns the summary as a datagram."""
    return SUMMARY_TAG + compress_fields(
        [
            summary.region,
            summary.host,
            summary.address.ip,
            summary.address.port,
            encode_loads(summary.loads),
            encode_topic_reports(summary.topic_reports),
            [list(segment) for segment in summary.segments],
        ]
    )


def decode_summary(data: bytes) -> RegionSummary | None:
    """Returns the summary, or None if the datagram is not a complete summary."""
    try:
        fields: list[Any] = decompress_fields(data[len(SUMMARY_TAG) :])
        region, host, ip, port, loads, topic_reports, segments = fields
        return RegionSummary(
            str(region),
            str(host),
            decode_address(ip, port),
            decode_loads(loads),
            decode_topic_reports(topic_reports),
            decode_segments(segments),
        )
    except FIELD_ERRORS:
        return None


@frozen
class _Contact:
    """First host of another region."""

    host: str
    address: Address
    # Monotonic time at which its last summary arrived, at the earliest.
    heard_s: float


@define(kw_only=True)
class RegionExchange:
    """Sends this region's summaries and passes on those of the others."""

    _topology: Topology
    _host: str
    _address: Address
    # Returns the work in flight of this region's hosts.
    _get_loads: Callable[[float], dict[str, EngineLoad]]
    _get_topic_reports: Callable[[], tuple[TopicReport, ...]]
    _send: Callable[[bytes, Address], None]
    _send_to_group: Callable[[bytes], None]
    # Tells whether regions exchange summaries; in a small fleet all hosts report to all.
    _is_active: Callable[[], bool]
    # Called with each summary of another region and each delta.
    _on_summary: Callable[[RegionSummary, ArrivalBounds], None]
    _on_delta: Callable[[TopicDelta, ArrivalBounds], None]
    # Handlers of the other datagrams, by the first byte.
    _notice_handlers: Mapping[bytes, NoticeHandler]
    _rng: Random
    # Listed hosts of the other regions: address and data centre, by region and name.
    _listed: dict[str, dict[str, tuple[Address, str]]] = field(factory=dict, init=False)
    # First hosts of the other regions.
    _contacts: dict[str, _Contact] = field(factory=dict, init=False)
    _last_sent_s: float = field(default=float("-inf"), init=False)
    # Segments that hosts of this region have announced, to be sent with the next summaries: segment
    # id, engine, and the monotonic time from which it is cached. Hosts that are not the first one
    # collect them too, to be ready to replace it.
    _segments: "deque[tuple[str, str, float]]" = field(
        factory=lambda: deque(maxlen=MAX_PENDING_SEGMENTS), init=False
    )

    def on_segments(self, segments: Iterable[AnnouncedSegment], now_s: float) -> None:
        """Notes segments that a host of this region has announced."""
        for segment_id, engine, ready_in_ms in segments:
            self._segments.append((segment_id, engine, now_s + ready_in_ms / MS_PER_S))

    def add_host(self, host: str, address: Address, data_centre: str) -> None:
        """Adds a host from the store's list."""
        region = self._topology.region_of(data_centre)
        if region != self._topology.location.region:
            self._listed.setdefault(region, {})[host] = (address, data_centre)

    def listed_places(self) -> dict[str, tuple[Address, str]]:
        """Returns address and data centre of the listed hosts of the other regions, by name."""
        return {host: place for hosts in self._listed.values() for host, place in hosts.items()}

    def contact_places(self) -> dict[str, tuple[Address, str]]:
        """Returns the first hosts of the other regions, by name: address and a data centre there.

        The list is read seldom; hosts that have started since are not in it.
        """
        data_centres = {region: name for name, region in self._topology.regions.items()}
        return {
            contact.host: (contact.address, data_centres.get(region, region))
            for region, contact in self._contacts.items()
        }

    def region_rank(self, now_s: float) -> int:
        """Returns how many regions that were heard of sort before this one by name."""
        own = self._topology.location.region
        return sum(region < own for region in self._contacts if self._is_heard(region, now_s))

    def on_tick(self, now_s: float, *, is_first_host: bool) -> None:
        """Drops regions that have fallen silent, and sends a summary if one is due.

        Args:
            now_s: Present time.
            is_first_host: Whether this host is the first one of its region.
        """
        self._drop_silent_regions(now_s)
        if not is_first_host or now_s - self._last_sent_s < SUMMARY_INTERVAL_S:
            return
        self._last_sent_s = now_s
        summary = RegionSummary(
            self._topology.location.region,
            self._host,
            self._address,
            self._get_loads(now_s),
            self._get_topic_reports(),
            self._take_segments(now_s),
        )
        self.send_to_regions(encode_summary(summary), now_s)

    def send_to_regions(self, data: bytes, now_s: float) -> None:
        """Sends a datagram to each other region, where it reaches all hosts."""
        if not self._is_active():
            return
        for region, hosts in self._listed.items():
            if self._is_heard(region, now_s):
                self._send(RELAY_TAG + data, self._contacts[region].address)
                continue
            chosen = self._rng.sample(sorted(hosts), min(TENTATIVE_CONTACT_HOSTS, len(hosts)))
            for host in chosen:
                self._send(RELAY_TAG + data, hosts[host][0])

    def on_datagram(self, data: bytes, first_host: Address | None, arrival: ArrivalBounds) -> None:
        """Handles a datagram that is no load report, and passes it on in this region if asked to.

        Args:
            data: The datagram.
            first_host: Address of this region's first host, or None if this host is the first one.
            arrival: When the datagram has arrived.
        """
        data, earlier_wait_ms = split_wait(data)
        arrival = arrival.with_earlier_wait(earlier_wait_ms)
        if data.startswith((RELAY_TAG, RELAY_AT_ONCE_TAG)):
            self._relay(data, first_host, arrival)
            data = data[len(RELAY_TAG) :]
        if data.startswith(SUMMARY_TAG):
            summary = decode_summary(data)
            if summary is None:
                _log.warning("unreadable summary", size_bytes=len(data))
            elif summary.region != self._topology.location.region and self._is_active():
                self._note_contact(summary, arrival)
                self._on_summary(summary, arrival)
        elif data.startswith(DELTA_TAG):
            delta = decode_delta(data)
            if delta is None:
                _log.warning("unreadable delta", size_bytes=len(data))
            else:
                self._on_delta(delta, arrival)
        elif data[:1] in self._notice_handlers:
            self._notice_handlers[data[:1]](data, arrival)

    def _relay(self, data: bytes, first_host: Address | None, arrival: ArrivalBounds) -> None:
        content, wait_ms = data[len(RELAY_TAG) :], arrival.longest_wait_ms
        if wait_ms > UNLOGGED_WAIT_MS:
            _log.info("datagram passed on late", kind=content[:1].hex(), wait_ms=wait_ms)
        content = add_wait(content, wait_ms)
        if first_host is None or data.startswith(RELAY_AT_ONCE_TAG):
            self._send_to_group(content)
        else:
            self._send(RELAY_AT_ONCE_TAG + content, first_host)

    def _note_contact(self, summary: RegionSummary, arrival: ArrivalBounds) -> None:
        """Notes the first host of another region, unless the summary is too old."""
        if arrival.latest_s - arrival.earliest_s > CONTACT_TTL_S:
            return
        if summary.region not in self._contacts:
            _log.info("region discovered", region=summary.region, host=summary.host)
        self._contacts[summary.region] = _Contact(summary.host, summary.address, arrival.earliest_s)

    def _drop_silent_regions(self, now_s: float) -> None:
        for region in [region for region in self._contacts if not self._is_heard(region, now_s)]:
            _log.info("region timed out", region=region, after_s=CONTACT_TTL_S)
            del self._contacts[region]

    def _take_segments(self, now_s: float) -> tuple[AnnouncedSegment, ...]:
        count = min(MAX_SEGMENTS_PER_SUMMARY, len(self._segments))
        taken = [self._segments.popleft() for _ in range(count)]
        return tuple(
            (segment_id, engine, max(0, round((ready_s - now_s) * MS_PER_S)))
            for segment_id, engine, ready_s in taken
            if ready_s >= now_s - MAX_PENDING_AGE_S
        )

    def _is_heard(self, region: str, now_s: float) -> bool:
        contact = self._contacts.get(region)
        return contact is not None and now_s - contact.heard_s <= CONTACT_TTL_S

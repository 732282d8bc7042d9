"""Load reports between hosts: what each has in flight at engines, as CBOR in UDP datagrams.

A report replaces the one before, so a lost datagram only makes the data older; websockets would
resend data that is outdated by then. The interval grows with the number of hosts, which limits the
traffic that a host sends and receives. Datagrams are received at each tick and before each
placement, not as they arrive: waking the event loop for each one costs more than handling it.
"""

import socket
from collections.abc import Callable
from typing import Final

import cbor2
import logbook
from attrs import define, frozen

from berylquay.decisions.arrival_bounds import ArrivalBounds, ReceiveQueue
from berylquay.decisions.engine_backlog import EngineLoad
from berylquay.decisions.fleet import Address
from berylquay.decisions.load_sharing_scope import LoadSharingScope
from berylquay.decisions.shared_polling import TopicReport
from berylquay.net.unexpected_errors import UnexpectedErrors
from berylquay.relay.pending_updates import PendingUpdates
from berylquay.relay.region_exchange import EXCHANGE_TAGS
from berylquay.relay.report_fields import (
    FIELD_ERRORS,
    AnnouncedSegment,
    decode_address,
    decode_loads,
    decode_segments,
    decode_topic_reports,
    encode_loads,
    encode_topic_reports,
)

FORMAT_VERSION: Final = 3
MAX_DATAGRAM_BYTES: Final = 8192
# Datagrams received at once; the rest stays in the socket's buffer.
MAX_DATAGRAMS_PER_READ: Final = 256
# Minimum interval between reports of newly placed work, per recipient: hosts that place a prompt at
# the same moment choose the same engine until they receive each other's reports.
PLACEMENT_REPORT_INTERVAL_PER_HOST_S: Final = 0.001
# The same for other reports.
INTERVAL_PER_HOST_S: Final = 0.008
MIN_INTERVAL_S: Final = 0.05
# Interval between reports when nothing has changed; they show the others that the host is alive.
IDLE_INTERVAL_S: Final = 1.0
# Time without a report after which a host is assumed to be gone.
HOST_TTL_S: Final = 12.0
# Time without a report after which a host no longer counts as the first one of its group; a few
# idle intervals.
FIRST_HOST_TTL_S: Final = 3.0
# Prefix segments per report; the rest follows in the next ones.
MAX_SEGMENTS_PER_REPORT: Final = 24
_log = logbook.Logger("load-reports")


@frozen
class LoadReport:
    """What one host sends to the others."""

    host: str
    data_centre: str
    # Where it receives reports.
    address: Address
    # What it has in flight, by engine.
    loads: dict[str, EngineLoad]
    segments: tuple[AnnouncedSegment, ...]
    # Request contents in flight when a backend server was lost: fingerprint and backend server.
    crashes: tuple[tuple[str, str], ...] = ()
    # Backend servers that the host has newly found unresponsive.
    unresponsive: tuple[str, ...] = ()
    # Topics that the host has just read in the store.
    topic_reports: tuple[TopicReport, ...] = ()


def encode_report(report: LoadReport) -> bytes:
    """Returns the report as a datagram."""
    address = report.address
    fields = [
        FORMAT_VERSION,
        report.host,
        report.data_centre,
        address.ip,
        address.port,
        encode_loads(report.loads),
        [list(segment) for segment in report.segments],
        [list(crash) for crash in report.crashes],
        list(report.unresponsive),
        encode_topic_reports(report.topic_reports),
    ]
    return cbor2.dumps(fields)


def decode_report(data: bytes) -> LoadReport | None:
    """Returns the report, or None if the datagram is not a report of this format version."""
    try:
        (
            format_version,
            host,
            data_centre,
            ip,
            port,
            loads,
            segments,
            crashes,
            unresponsive,
            topic_reports,
        ) = cbor2.loads(data)
        if format_version != FORMAT_VERSION:
            return None
        return LoadReport(
            str(host),
            str(data_centre),
            decode_address(ip, port),
            decode_loads(loads),
            decode_segments(segments),
            tuple((str(fingerprint), str(backend)) for fingerprint, backend in crashes),
            tuple(str(backend) for backend in unresponsive),
            decode_topic_reports(topic_reports),
        )
    except FIELD_ERRORS:
        return None


@define
class _Peer:
    """Another live host."""

    name: str
    address: Address
    data_centre: str
    # Monotonic time at which its last report arrived, at the earliest.
    last_report_s: float
    # Whether it has sent a report; else it is only known from the store's list of hosts.
    has_reported: bool = False


class LoadGossip:
    """Sends this host's reports and receives those of the others."""

    _sock: socket.socket
    # This host's name and data centre, and where it listens.
    _host: str
    _data_centre: str
    _address: Address
    # Returns the load to report; called only when a report is due.
    _get_loads: Callable[[], dict[str, EngineLoad]]
    # Returns what each report says of topics besides this host's own reads.
    _get_standing_reports: Callable[[], tuple[TopicReport, ...]]
    _on_report: Callable[[LoadReport, ArrivalBounds], None]
    _on_report_sent: Callable[[LoadReport], None]
    # Called with each datagram of the exchange between regions.
    _on_exchange_datagram: Callable[[bytes, ArrivalBounds], None]
    # Read the monotonic clock, and the one that also runs while the machine is suspended.
    _clock: Callable[[], float]
    _boot_clock: Callable[[], float]
    # Bounds the time for which datagrams have waited in the socket's queue.
    _receive_queue: ReceiveQueue
    # Decides which hosts receive the reports.
    _scope: LoadSharingScope
    # Number of hosts in the store's list.
    listed_host_count: int
    # Other live hosts by name.
    _peers: dict[str, _Peer]
    # Hosts that receive the reports, or None if they must be determined again, and the number of
    # hosts for which they were determined.
    _recipients: list[_Peer] | None
    _recipients_host_count: int
    # Records errors that datagrams cause.
    _errors: UnexpectedErrors
    # Updates to send with the next reports.
    _pending_updates: PendingUpdates
    _last_loads: dict[str, EngineLoad]
    _last_sent_s: float
    # Monotonic time as of which datagrams were received last.
    _received_s: float

    def __init__(
        self,
        *,
        host: str,
        data_centre: str,
        address: Address,
        get_loads: Callable[[], dict[str, EngineLoad]],
        get_standing_reports: Callable[[], tuple[TopicReport, ...]],
        on_report: Callable[[LoadReport, ArrivalBounds], None],
        on_report_sent: Callable[[LoadReport], None],
        on_exchange_datagram: Callable[[bytes, ArrivalBounds], None],
        clock: Callable[[], float],
        boot_clock: Callable[[], float],
        scope: LoadSharingScope,
        pending_updates: PendingUpdates,
        errors: UnexpectedErrors | None = None,
    ) -> None:
        self._errors = errors or UnexpectedErrors()
        self._host = host
        self._data_centre = data_centre
        self._address = address
        self._get_loads = get_loads
        self._get_standing_reports = get_standing_reports
        self._on_report = on_report
        self._on_report_sent = on_report_sent
        self._on_exchange_datagram = on_exchange_datagram
        self._clock = clock
        self._boot_clock = boot_clock
        self._receive_queue = ReceiveQueue(boot_clock())
        self._scope = scope
        self.listed_host_count = 1
        self._peers = {}
        self._recipients = None
        self._recipients_host_count = 0
        self._pending_updates = pending_updates
        self._last_loads = {}
        self._last_sent_s = float("-inf")
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind((address.ip, address.port))
        self._received_s = float("-inf")

    @property
    def live_host_count(self) -> int:
        """Returns the number of hosts known to be alive, this one included."""
        return 1 + len(self._peers)

    @property
    def group_size(self) -> int:
        """Returns the number of hosts that exchange load reports, this one included."""
        return 1 + len(self._get_recipients())

    @property
    def host_rank(self) -> int:
        """Returns how many live hosts sort before this one by name."""
        return sum(name < self._host for name in self._peers)

    def rank_among_recipients(self, now_s: float) -> tuple[int, int]:
        """Returns this host's rank by name among itself and its recipients, and their number.

        Recipients that have not reported lately do not count for the rank.
        """
        return len(self._live_before(now_s)), self.group_size

    def first_live_before(self, now_s: float) -> Address | None:
        """Returns the address of the first live host by name, or None if it is this one."""
        before = self._live_before(now_s)
        return min(before, key=lambda peer: peer.name).address if before else None

    def first_name_before(self, now_s: float) -> str:
        """Returns the name of the first live host, or an empty string if it is this one."""
        return min((peer.name for peer in self._live_before(now_s)), default="")

    def _live_before(self, now_s: float) -> list[_Peer]:
        """Returns the recipients that sort before this host by name and have reported lately."""
        return [
            peer
            for peer in self._get_recipients()
            if peer.name < self._host
            and peer.has_reported
            and now_s - peer.last_report_s <= FIRST_HOST_TTL_S
        ]

    def add_peer(self, host: str, address: Address, data_centre: str, now_s: float) -> None:
        """Adds a host from the store's list; it is dropped again unless it sends reports."""
        if host != self._host and host not in self._peers:
            self._peers[host] = _Peer(host, address, data_centre, now_s)
            self._recipients = None

    def on_work_placed(self, now_s: float) -> None:
        """Sends a report of newly placed work at once, unless one was sent just before."""
        if now_s - self._last_sent_s >= PLACEMENT_REPORT_INTERVAL_PER_HOST_S * len(
            self._get_recipients()
        ):
            self._send(self._get_loads(), now_s)

    def on_tick(self, now_s: float) -> None:
        """Sends a report if one is due."""
        interval_s = max(MIN_INTERVAL_S, INTERVAL_PER_HOST_S * len(self._get_recipients()))
        if now_s - self._last_sent_s < interval_s:
            return
        self._drop_silent_peers(now_s)
        loads = self._get_loads()
        unchanged = loads == self._last_loads and self._pending_updates.is_empty()
        if unchanged and now_s - self._last_sent_s < IDLE_INTERVAL_S:
            return
        self._send(loads, now_s)

    def recipient_places(self) -> dict[str, tuple[Address, str]]:
        """Returns address and data centre of all hosts that receive reports, by name."""
        return {
            peer.name: (peer.address, peer.data_centre)
            for peer in self._get_recipients()
            if peer.has_reported
        }

    def recipient_addresses(self) -> dict[str, Address]:
        """Returns the addresses of all hosts that receive this one's reports, by name."""
        return {peer.name: peer.address for peer in self._get_recipients()}

    def peer_addresses(self) -> dict[str, Address]:
        """Returns the addresses of all other hosts that are known to be alive, by name."""
        return {peer.name: peer.address for peer in self._peers.values()}

    def send_to_recipients(self, data: bytes) -> None:
        """Sends a datagram to all hosts that receive this one's reports."""
        for peer in self._get_recipients():
            self.send(data, peer.address)

    def send(self, data: bytes, address: Address) -> None:
        """Sends a datagram."""
        try:
            self._sock.sendto(data, (address.ip, address.port))
        except (OSError, OverflowError) as error:
            # The next report or summary replaces this one; a lost delta makes the recipient read.
            _log.debug("report not sent", peer=str(address), detail=str(error))

    def _drop_silent_peers(self, now_s: float) -> None:
        silent = [peer for peer in self._peers.values() if now_s - peer.last_report_s > HOST_TTL_S]
        for peer in silent:
            if peer.has_reported:
                _log.info("host timed out", host=peer.name, after_s=HOST_TTL_S)
            del self._peers[peer.name]
            self._recipients = None

    def _send(self, loads: dict[str, EngineLoad], now_s: float) -> None:
        self._last_sent_s = now_s
        self._last_loads = loads
        pending_updates = self._pending_updates
        # The host may have stood still since `now_s`, and the ages are stated to others.
        stated_s = self._boot_clock()
        report = LoadReport(
            self._host,
            self._data_centre,
            self._address,
            loads,
            tuple(pending_updates.segments[:MAX_SEGMENTS_PER_REPORT]),
            tuple(pending_updates.crashes),
            tuple(pending_updates.unresponsive),
            (
                *(topic_read.to_report(stated_s) for topic_read in pending_updates.topic_reads),
                *self._get_standing_reports(),
            ),
        )
        del pending_updates.segments[:MAX_SEGMENTS_PER_REPORT]
        pending_updates.crashes.clear()
        pending_updates.unresponsive.clear()
        pending_updates.topic_reads.clear()
        self.send_to_recipients(encode_report(report))
        self._on_report_sent(report)

    def _get_recipients(self) -> list[_Peer]:
        host_count = max(self.live_host_count, self.listed_host_count)
        if self._recipients is None or host_count != self._recipients_host_count:
            self._recipients_host_count = host_count
            self._recipients = [
                peer
                for peer in self._peers.values()
                if self._scope.shares_load_with(peer.data_centre, host_count)
            ]
        return self._recipients

    def receive(self, now_s: float) -> None:
        """Handles the datagrams that have arrived; does nothing if called again at one time."""
        if now_s == self._received_s:
            return
        self._received_s = now_s
        for _ in range(MAX_DATAGRAMS_PER_READ):
            boot_s = self._boot_clock()
            try:
                data, _sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                self._receive_queue.on_empty(boot_s)
                return
            except OSError as error:
                _log.debug("receiving a report failed", detail=str(error))
                return
            arrival = self._receive_queue.bound_arrival(self._boot_clock(), self._clock())
            self._errors.run("datagram", self._handle_datagram, data, arrival)

    def _handle_datagram(self, data: bytes, arrival: ArrivalBounds) -> None:
        if data[:1] in EXCHANGE_TAGS:
            self._on_exchange_datagram(data, arrival)
            return
        report = decode_report(data)
        if report is None:
            _log.warning("unreadable report", size_bytes=len(data))
            return
        if report.host == self._host:
            return
        peer = self._peers.get(report.host)
        if peer is None:
            _log.info("host discovered", host=report.host, address=str(report.address))
        if peer is None or peer.data_centre != report.data_centre:
            self._peers[report.host] = _Peer(
                report.host,
                report.address,
                report.data_centre,
                arrival.earliest_s,
                has_reported=True,
            )
            self._recipients = None
        else:
            peer.address, peer.has_reported = report.address, True
            peer.last_report_s = max(peer.last_report_s, arrival.earliest_s)
        self._on_report(report, arrival)

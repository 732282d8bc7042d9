"""Exchange with the other hosts: load, cached segments, and what was read in the store.

Connects the datagrams of `load_reports` and `region_exchange` with the views that they update.
"""

import time
import uuid
from collections.abc import Mapping
from typing import Final

import logbook
from attrs import evolve

from berylquay.decisions.arrival_bounds import ArrivalBounds
from berylquay.decisions.backend_registry import IDENTITY_FIELDS
from berylquay.decisions.fleet import Address
from berylquay.decisions.shared_polling import TopicReport
from berylquay.net.clocks import boot_clock_s
from berylquay.relay.follower import TopicFollower
from berylquay.relay.load_reports import LoadGossip, LoadReport
from berylquay.relay.region_exchange import NoticeHandler, RegionExchange, RegionSummary
from berylquay.relay.report_fields import AnnouncedSegment
from berylquay.relay.services import RelayServices
from berylquay.relay.store_views import ConfigurationView
from berylquay.relay.topic_deltas import TopicDelta, encode_delta
from berylquay.settings.relay_settings import RelayOptions
from berylquay.whole_numbers import parse_whole_number

MS_PER_S: Final = 1000.0
# Stands for a topic in reports: its state is the version of the configuration in force.
CONFIGURATION_VERSION: Final = "configuration-version"
# Stands for a topic in reports: its state names the pools that the reporting host can't reach.
LOST_POOLS: Final = "lost-pools"
# Stands for a topic in reports: its state names the entries at whose addresses the reporting host
# has found other servers, or other roles.
MISDIRECTED_SERVERS: Final = "misdirected-servers"
# Stands for a topic in reports: its state names the start of the reporting host's process. Only in
# the first reports of a process.
HOST_START: Final = "host-start"
START_REPORTS_S: Final = 10.0
# Digits of the largest version of a configuration that hosts tell each other.
MAX_VERSION_DIGITS: Final = 39
# Most entries in a report of such servers, so that it fits into a datagram.
MAX_MISDIRECTED: Final = 16
_log = logbook.Logger("peer-exchange")


class PeerExchange:
    """Applies what other hosts send to the shared views, and sends them what this host knows."""

    _services: RelayServices
    # Followers of the store's topics, whose reads the hosts share.
    _followers: tuple[TopicFollower, ...]
    # Configuration in force, whose version the hosts tell each other.
    _configuration: ConfigurationView
    _gossip: LoadGossip
    _regions: RegionExchange
    # Name of this process's start, and its monotonic time.
    _own_start: str
    _started_s: float
    # Starts that other hosts have reported, by name.
    _host_starts: dict[str, str]

    def __init__(
        self,
        services: RelayServices,
        options: RelayOptions,
        followers: tuple[TopicFollower, ...],
        configuration: ConfigurationView,
        *,
        notice_handlers: Mapping[bytes, NoticeHandler],
    ) -> None:
        self._configuration = configuration
        self._services = services
        self._followers = followers
        self._own_start = uuid.uuid4().hex[:8]
        self._started_s = time.monotonic()
        self._host_starts = {}
        self._gossip = LoadGossip(
            host=options.host,
            data_centre=options.data_centre,
            address=options.peers_address,
            get_loads=services.backlog.own_loads,
            get_standing_reports=self._standing_reports,
            on_report=self._on_report,
            on_report_sent=self._on_report_sent,
            on_exchange_datagram=self._on_exchange_datagram,
            clock=time.monotonic,
            boot_clock=boot_clock_s,
            scope=services.load_sharing_scope,
            pending_updates=services.pending_updates,
            errors=services.errors,
        )
        self._regions = RegionExchange(
            topology=services.topology,
            host=options.host,
            address=options.peers_address,
            get_loads=services.backlog.group_loads,
            get_topic_reports=lambda: self._topic_reports(time.monotonic()),
            send=self._gossip.send,
            send_to_group=self._gossip.send_to_recipients,
            is_active=self._is_fleet_large,
            on_summary=self._on_region_summary,
            on_delta=self._on_delta,
            notice_handlers=notice_handlers,
            rng=services.rng,
        )

    @property
    def host_rank(self) -> int:
        """Returns how many live hosts sort before this one by name."""
        return self._gossip.host_rank

    @property
    def group_size(self) -> int:
        """Returns the number of hosts that exchange load reports, this one included."""
        return self._gossip.group_size

    def is_first_of_group(self, now_s: float) -> bool:
        """Tells whether this host is the first of those that exchange load reports."""
        return self._gossip.rank_among_recipients(now_s)[0] == 0

    def first_host_address(self, now_s: float) -> Address | None:
        """Returns the address of the first host of the group, or None if it is this one."""
        return self._gossip.first_live_before(now_s)

    def first_host_start(self, now_s: float) -> tuple[str, str]:
        """Returns name and start of the first host of the group, empty if it is this one."""
        host = self._gossip.first_name_before(now_s)
        return host, self._host_starts.get(host, "")

    def update_host_count(self, listed_host_count: int) -> int:
        """Sets the number of hosts in the store's list; returns that of the whole fleet."""
        self._gossip.listed_host_count = listed_host_count
        return max(self._gossip.live_host_count, listed_host_count)

    def add_host(self, host: str, address: Address, data_centre: str, now_s: float) -> None:
        """Adds a host from the store's list."""
        self._gossip.add_peer(host, address, data_centre, now_s)
        self._regions.add_host(host, address, data_centre)

    def receive(self, now_s: float) -> None:
        """Handles the datagrams that have arrived."""
        self._gossip.receive(now_s)

    def on_work_placed(self, now_s: float) -> None:
        """Reports newly placed work to the other hosts."""
        self._gossip.on_work_placed(now_s)

    def send_to_all(self, data: bytes) -> None:
        """Sends a datagram to all hosts of the fleet."""
        self._gossip.send_to_recipients(data)
        self._regions.send_to_regions(data, time.monotonic())

    def group_addresses(self) -> dict[str, Address]:
        """Returns the addresses of the hosts that exchange load reports with this one, by name."""
        return self._gossip.recipient_addresses()

    def fleet_addresses(self) -> dict[str, Address]:
        """Returns the addresses of the other hosts of the fleet, of all regions, by name.

        Hosts of another region are those of the store's list if the regions exchange summaries.
        """
        listed = {host: address for host, (address, _) in self._regions.listed_places().items()}
        return {**listed, **self._gossip.peer_addresses()}

    def fleet_places(self) -> dict[str, tuple[Address, str]]:
        """Returns address and data centre of the hosts that may be gateways, by name.

        These are the hosts that have reported to this one and, if the regions exchange summaries,
        those of other regions that are in the store's list or have sent a summary.
        """
        others = (
            {**self._regions.contact_places(), **self._regions.listed_places()}
            if self._is_fleet_large()
            else {}
        )
        return {**others, **self._gossip.recipient_places()}

    def send(self, data: bytes, address: Address) -> None:
        """Sends a datagram to one host."""
        self._gossip.send(data, address)

    def send_to_group(self, data: bytes) -> None:
        """Sends a datagram to the hosts that exchange load reports with this one."""
        self._gossip.send_to_recipients(data)

    def follow_topics(self, now_s: float) -> None:
        """Reads the store's topics when due, and passes on what was read."""
        rank, recipients = self._gossip.rank_among_recipients(now_s)
        region_rank = self._regions.region_rank(now_s)
        for follower in self._followers:
            follower.polling.poller_rank = rank + region_rank
            follower.polling.host_count = recipients + region_rank
            follower.on_tick(now_s)
            # Before the report of the same read, which makes hosts read that lack the changes.
            # The host may have stood still since the tick began, and the age is stated to others.
            for delta in follower.take_deltas(time.monotonic()):
                self._send_delta(delta)
            topic_read = follower.next_report(now_s)
            if topic_read is not None:
                self._services.pending_updates.topic_reads.append(topic_read)
        self._regions.on_tick(now_s, is_first_host=rank == 0)

    def on_tick(self, now_s: float) -> None:
        """Sends a load report if one is due."""
        self._gossip.on_tick(now_s)

    def _on_report(self, report: LoadReport, arrival: ArrivalBounds) -> None:
        arrived_s = arrival.earliest_s
        services = self._services
        services.backlog.on_peer_report(report.host, report.loads, arrived_s)
        self._record_segments(report.segments, arrived_s)
        self._regions.on_segments(report.segments, arrived_s)
        for backend in report.unresponsive:
            services.health.on_reported_unresponsive(backend, arrived_s)
        self._apply_topic_reports(report.topic_reports, report.host, arrival)
        for fingerprint, backend in report.crashes:
            # Retained in full: a content that crashes servers must not be forgotten too soon.
            services.crash_history.on_crash(backend, frozenset({fingerprint}), arrival.latest_s)

    def _on_report_sent(self, report: LoadReport) -> None:
        self._regions.on_segments(report.segments, time.monotonic())

    def _on_exchange_datagram(self, data: bytes, arrival: ArrivalBounds) -> None:
        first_host = self._gossip.first_live_before(arrival.latest_s)
        self._regions.on_datagram(data, first_host, arrival)

    def _on_region_summary(self, summary: RegionSummary, arrival: ArrivalBounds) -> None:
        arrived_s = arrival.earliest_s
        self._services.backlog.on_region_summary(summary.region, summary.loads, arrived_s)
        self._record_segments(summary.segments, arrived_s)
        self._apply_topic_reports(summary.topic_reports, summary.host, arrival)

    def _on_delta(self, delta: TopicDelta, arrival: ArrivalBounds) -> None:
        delta = evolve(delta, age_ms=delta.age_ms + arrival.longest_wait_ms)
        for follower in self._followers:
            if follower.topic == delta.topic:
                follower.on_delta(delta, arrival.latest_s)

    def _record_segments(self, segments: tuple[AnnouncedSegment, ...], now_s: float) -> None:
        for segment_id, engine, ready_in_ms in segments:
            ready_s = now_s + ready_in_ms / MS_PER_S
            self._services.prefix_cache_index.on_segment_used(segment_id, engine, now_s, ready_s)

    def _apply_topic_reports(
        self, reports: tuple[TopicReport, ...], host: str, arrival: ArrivalBounds
    ) -> None:
        now_s, arrived_s = arrival.latest_s, arrival.earliest_s
        for sent_report in reports:
            report = evolve(sent_report, age_ms=sent_report.age_ms + arrival.longest_wait_ms)
            if report.topic == LOST_POOLS:
                pools = report.state_hash.split("\n")
                self._services.path_monitor.on_lost_pools(host, pools, arrived_s)
            if report.topic == MISDIRECTED_SERVERS:
                self._on_misdirected_servers(report.state_hash.split("\n"), host, arrived_s)
            if report.topic == HOST_START:
                self._host_starts[host] = report.state_hash
            if report.topic == CONFIGURATION_VERSION:
                version = parse_whole_number(report.state_hash, MAX_VERSION_DIGITS)
                if version is not None:
                    self._configuration.on_peer_version(version, arrived_s)
            for follower in self._followers:
                if follower.topic == report.topic:
                    follower.on_peer_report(report, now_s, host)

    def _on_misdirected_servers(self, identities: list[str], host: str, now_s: float) -> None:
        """Backs off from servers that another host did not find, if it has read the same entry."""
        services = self._services
        for identity in identities:
            entry = services.registry.get(identity.split(" ", IDENTITY_FIELDS - 1)[-1])
            if entry is not None and entry.identity == identity:
                if not services.health.is_backing_off(entry.name, now_s):
                    _log.info("another server at the address", backend=entry.name, host=host)
                services.health.on_reported_misdirected(entry.name, now_s)

    def _version_report(self) -> tuple[TopicReport, ...]:
        """Returns the version in force, if other hosts must know it."""
        table = self._configuration.table
        if table is None or not self._configuration.reports_version:
            return ()
        return (TopicReport(CONFIGURATION_VERSION, str(table.version), 0),)

    def _standing_reports(self) -> tuple[TopicReport, ...]:
        """Returns what each report of this host says besides its own reads."""
        reports = list(self._version_report())
        services, now_s = self._services, time.monotonic()
        if now_s - self._started_s < START_REPORTS_S:
            reports.append(TopicReport(HOST_START, self._own_start, 0))
        names = services.health.misdirected_servers(now_s)
        entries = [entry for entry in map(services.registry.get, names) if entry is not None]
        for topic, state in (
            (LOST_POOLS, sorted(services.path_monitor.lost_pools)),
            (MISDIRECTED_SERVERS, [entry.identity for entry in entries[-MAX_MISDIRECTED:]]),
        ):
            if state:
                reports.append(TopicReport(topic, "\n".join(state), 0))
        return tuple(reports)

    def _topic_reports(self, now_s: float) -> tuple[TopicReport, ...]:
        """Returns reports on the topics that this host knows, as of when they were confirmed."""
        return self._standing_reports() + tuple(
            TopicReport(
                follower.topic,
                follower.state_hash,
                round((now_s - follower.confirmed_s) * MS_PER_S),
            )
            for follower in self._followers
            if follower.has_snapshot and follower.confirmed_s > float("-inf")
        )

    def _send_delta(self, delta: TopicDelta) -> None:
        data = encode_delta(delta)
        _log.info(
            "changes passed on",
            topic=delta.topic,
            records=len(delta.contents),
            size_bytes=None if data is None else len(data),
        )
        if data is not None:
            self.send_to_all(data)

    def _is_fleet_large(self) -> bool:
        services = self._services
        return not services.load_sharing_scope.is_full_mesh(services.live_host_count)

"""Shared polling of the store: which hosts read, and which rely on reports of their peers."""

from random import Random

import pytest
from attrs import define, field

from berylquay.decisions.backend_registry import BackendEntry, BackendRegistry, EntryState
from berylquay.decisions.fleet import Address
from berylquay.decisions.shared_polling import BEHIND_READ_INTERVAL_S, SharedPolling, TopicReport

MAX_AGE_S = 4.0
INTERVAL_S = 0.8
TIME_STEP_S = 0.02
# Time from a host's decision to read until the answer.
READ_S = 0.02
# Longest time from sending a report to its arrival.
MAX_REPORT_DELAY_S = 0.1


@define
class Simulation:
    """Hosts that poll a topic whose newest record is a number."""

    hosts: int
    seed: int = 1
    # Hosts that can't reach the store, and hosts whose reports are lost.
    without_store: set[int] = field(factory=set)
    without_reports: set[int] = field(factory=set)
    newest_record: int = 0
    read_count: int = 0
    now_s: float = 0.0
    polling: list[SharedPolling] = field(init=False)
    known_records: list[int] = field(init=False)
    _last_read_s: list[float] = field(init=False)
    _reports: list[tuple[float, int, TopicReport]] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Creates hosts that have read the topic at time 0."""
        self.polling = [
            SharedPolling(MAX_AGE_S, INTERVAL_S, rank, self.hosts) for rank in range(self.hosts)
        ]
        self.known_records = [0] * self.hosts
        self._last_read_s = [0.0] * self.hosts
        for host_polling in self.polling:
            host_polling.on_read(0.0)

    def run(self, until_s: float) -> float:
        """Runs until `until_s` and returns the greatest age of any host's view, in seconds.

        Hosts that can't reach the store are left out.
        """
        rng = Random(self.seed)
        max_age_s = 0.0
        while self.now_s < until_s:
            self.now_s += TIME_STEP_S
            for host, host_polling in enumerate(self.polling):
                self._receive_reports(host)
                if host not in self.without_store and self.now_s >= host_polling.next_read_s(
                    self._last_read_s[host]
                ):
                    self._read(host)
                own_report = host_polling.next_report(
                    "t", str(self.known_records[host]), self.now_s
                )
                if own_report is not None and host not in self.without_reports:
                    report = own_report.to_report(self.now_s)
                    arrives_s = self.now_s + rng.uniform(0.0, MAX_REPORT_DELAY_S)
                    self._reports += [
                        (arrives_s, peer, report) for peer in range(self.hosts) if peer != host
                    ]
                if host not in self.without_store:
                    max_age_s = max(max_age_s, self.now_s - host_polling.confirmed_s)
        return max_age_s

    def _read(self, host: int) -> None:
        self.read_count += 1
        self._last_read_s[host] = self.now_s
        self.known_records[host] = self.newest_record
        self.polling[host].on_read(self.now_s)

    def _receive_reports(self, host: int) -> None:
        due = [sent for sent in self._reports if sent[1] == host and sent[0] <= self.now_s]
        self._reports = [
            sent for sent in self._reports if not (sent[1] == host and sent[0] <= self.now_s)
        ]
        for _, _, report in due:
            self.polling[host].on_peer_report(report, str(self.known_records[host]), self.now_s)


@pytest.mark.parametrize("hosts", [1, 9, 30])
def test_reads_do_not_grow_with_the_number_of_hosts(hosts: int) -> None:
    simulation = Simulation(hosts)
    max_age_s = simulation.run(12.0)
    assert max_age_s < 0.6 * MAX_AGE_S
    assert simulation.read_count <= 12.0 / INTERVAL_S + 2


def test_a_change_reaches_all_hosts_soon() -> None:
    simulation = Simulation(30)
    simulation.run(5.0)
    simulation.newest_record = 7
    simulation.run(5.0 + INTERVAL_S + MAX_REPORT_DELAY_S + BEHIND_READ_INTERVAL_S + 3 * TIME_STEP_S)
    assert simulation.known_records == [7] * 30


@pytest.mark.parametrize("fault", ["without_store", "without_reports"])
def test_other_hosts_read_when_the_polling_host_fails(fault: str) -> None:
    """The first two hosts can't reach the store, or their reports are lost."""
    simulation = Simulation(30)
    simulation.run(3.0)
    getattr(simulation, fault).update({0, 1})
    assert simulation.run(15.0) < MAX_AGE_S
    # Each time one of the other hosts reads and the rest need not.
    assert simulation.read_count < 15.0 / INTERVAL_S + 12.0 / (0.6 * MAX_AGE_S) * 4


def test_hosts_without_peer_reports_read_in_time() -> None:
    simulation = Simulation(30, without_reports=set(range(30)))
    assert simulation.run(10.0) < 0.85 * MAX_AGE_S


def test_an_older_report_is_ignored() -> None:
    polling = SharedPolling(MAX_AGE_S, INTERVAL_S, poller_rank=3, host_count=9)
    polling.on_read(10.0)
    due_s = polling.next_read_s(10.0)
    polling.on_peer_report(TopicReport("t", "other", 500), "own", 10.4)
    assert polling.next_read_s(10.0) == due_s
    polling.on_peer_report(TopicReport("t", "other", 100), "own", 10.5)
    assert polling.next_read_s(10.0) == 10.0 + BEHIND_READ_INTERVAL_S


def test_a_state_hash_changes_with_the_state_and_not_with_heartbeats() -> None:
    def make_entry(heartbeat_number: int, state: EntryState) -> BackendEntry:
        return BackendEntry(
            "s", "app", Address("10.0.0.1", 80), "a", 6, state, heartbeat_number=heartbeat_number
        )

    first, second = BackendRegistry(), BackendRegistry()
    first.on_entry(make_entry(1, EntryState.READY))
    second.on_entry(make_entry(9, EntryState.READY))
    assert first.state_hash() == second.state_hash()
    second.on_entry(make_entry(10, EntryState.LEAVING))
    assert first.state_hash() != second.state_hash()
    first.on_entry(make_entry(10, EntryState.LEAVING))
    assert first.state_hash() == second.state_hash()

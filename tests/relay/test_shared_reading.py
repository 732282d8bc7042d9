"""Who reads the store and who relies on others' word, in a virtual world of hosts."""

from random import Random

import pytest
from attrs import define, field

from berylquay.decisions.backend_registry import BackendEntry, BackendRegistry, EntryState
from berylquay.decisions.fleet import Address
from berylquay.decisions.shared_polling import BEHIND_READ_INTERVAL_S, SharedPolling, TopicReport

BOUND_S = 4.0
INTERVAL_S = 0.8
STEP_S = 0.02
# From a host's decision to read until the answer, and from a report to its arrival.
READ_S = 0.02
REPORT_S = 0.1


@define
class World:
    """Hosts that read a topic whose newest record is a number."""

    hosts: int
    seed: int = 1
    # Hosts whose link to the store is cut, and hosts whose reports are lost.
    cut: set[int] = field(factory=set)
    mute: set[int] = field(factory=set)
    newest: int = 0
    calls: int = 0
    now_s: float = 0.0
    readings: list[SharedPolling] = field(init=False)
    known: list[int] = field(init=False)
    _sent_s: list[float] = field(init=False)
    _mail: list[tuple[float, int, TopicReport]] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Starts hosts that have just read the topic."""
        self.readings = [
            SharedPolling(BOUND_S, INTERVAL_S, rank, self.hosts) for rank in range(self.hosts)
        ]
        self.known = [0] * self.hosts
        self._sent_s = [0.0] * self.hosts
        for reading in self.readings:
            reading.on_read(0.0)

    def run(self, until_s: float) -> float:
        """Plays on and returns the greatest age of what any host knew."""
        rng = Random(self.seed)
        oldest_s = 0.0
        while self.now_s < until_s:
            self.now_s += STEP_S
            for host, reading in enumerate(self.readings):
                self._take_mail(host)
                if host not in self.cut and self.now_s >= reading.due_s(self._sent_s[host]):
                    self._read(host)
                own = reading.next_report("t", str(self.known[host]), self.now_s)
                if own is not None and host not in self.mute:
                    word = own.to_report(self.now_s)
                    arrives_s = self.now_s + rng.uniform(0.0, REPORT_S)
                    self._mail += [(arrives_s, o, word) for o in range(self.hosts) if o != host]
                if host not in self.cut:
                    oldest_s = max(oldest_s, self.now_s - reading.confirmed_s)
        return oldest_s

    def _read(self, host: int) -> None:
        self.calls += 1
        self._sent_s[host] = self.now_s
        self.known[host] = self.newest
        self.readings[host].on_read(self.now_s)

    def _take_mail(self, host: int) -> None:
        due = [m for m in self._mail if m[1] == host and m[0] <= self.now_s]
        self._mail = [m for m in self._mail if not (m[1] == host and m[0] <= self.now_s)]
        for _, _, word in due:
            self.readings[host].on_peer_report(word, str(self.known[host]), self.now_s)


@pytest.mark.parametrize("hosts", [1, 9, 30])
def test_calls_do_not_grow_with_the_fleet(hosts: int) -> None:
    world = World(hosts)
    oldest_s = world.run(12.0)
    assert oldest_s < 0.6 * BOUND_S
    assert world.calls <= 12.0 / INTERVAL_S + 2


def test_a_change_is_known_to_all_hosts_soon() -> None:
    world = World(30)
    world.run(5.0)
    world.newest = 7
    world.run(5.0 + INTERVAL_S + REPORT_S + BEHIND_READ_INTERVAL_S + 3 * STEP_S)
    assert world.known == [7] * 30


@pytest.mark.parametrize("trouble", ["cut", "mute"])
def test_others_read_when_the_reader_falls_silent(trouble: str) -> None:
    """The first host can't reach the store, or nobody hears it."""
    world = World(30)
    world.run(3.0)
    getattr(world, trouble).update({0, 1})
    assert world.run(15.0) < BOUND_S
    # One of the others reads each time, and spares the rest.
    assert world.calls < 15.0 / INTERVAL_S + 12.0 / (0.6 * BOUND_S) * 4


def test_hosts_that_hear_nobody_read_in_time() -> None:
    world = World(30, mute=set(range(30)))
    assert world.run(10.0) < 0.85 * BOUND_S


def test_an_older_word_says_nothing() -> None:
    reading = SharedPolling(BOUND_S, INTERVAL_S, poller_rank=3, host_count=9)
    reading.on_read(10.0)
    due_s = reading.due_s(10.0)
    reading.on_peer_report(TopicReport("t", "other", 500), "own", 10.4)
    assert reading.due_s(10.0) == due_s
    reading.on_peer_report(TopicReport("t", "other", 100), "own", 10.5)
    assert reading.due_s(10.0) == 10.0 + BEHIND_READ_INTERVAL_S


def test_a_mark_changes_with_what_matters_and_not_with_heartbeats() -> None:
    def entry(beat: int, state: EntryState) -> BackendEntry:
        return BackendEntry(
            "s", "app", Address("10.0.0.1", 80), "a", 6, state, heartbeat_number=beat
        )

    first, second = BackendRegistry(), BackendRegistry()
    first.on_entry(entry(1, EntryState.READY))
    second.on_entry(entry(9, EntryState.READY))
    assert first.state_hash() == second.state_hash()
    second.on_entry(entry(10, EntryState.LEAVING))
    assert first.state_hash() != second.state_hash()
    first.on_entry(entry(10, EntryState.LEAVING))
    assert first.state_hash() == second.state_hash()

"""Load: one change in the store under hundreds of hosts, each of which must know it.

Pattern: each host used to read the store for itself after every change, so the calls grew with the
fleet. One host reads; the others apply the records that it passes on.
"""

from collections.abc import Callable
from random import Random

import pytest
from attrs import define, field

from berylquay.decisions.store_era import StoreEra
from berylquay.platform.store_client import (
    KeyedRecord,
    NewestRecordsPage,
    RecordPage,
    encode_keyed_record,
)
from berylquay.relay.follower import FollowTimings, TopicFollower, TopicHandler
from berylquay.relay.topic_deltas import (
    DELTA_TAG,
    MAX_DELTA_DATAGRAM_BYTES,
    TopicDelta,
    decode_delta,
    encode_delta,
)

HOSTS = 195
MAX_STALENESS_S = 4.0
TICK_S = 0.025
DELTA = TopicDelta("t", "4", "6", 120, (b"one", b"two"))


@define
class SharedStore:
    """A topic without keys' deletion; answers on the next tick and counts the calls."""

    contents: list[bytes] = field(factory=list)
    read_count: int = 0


@define
class SharedStoreClient:
    """One host's client of the shared store."""

    store: SharedStore
    _answer: Callable[[], None] | None = None

    @property
    def busy(self) -> bool:
        return self._answer is not None

    def on_tick(self, _now_s: float) -> None:
        """Delivers the answer to the last call."""
        answer, self._answer = self._answer, None
        if answer is not None:
            answer()

    def read_newest(self, _topic: str, _after: str, on_result: Callable[..., None]) -> None:
        page = NewestRecordsPage((), False, len(self.store.contents))
        self._answer = lambda: on_result(page)

    def read(
        self,
        _topic: str,
        offset: int,
        _wait_s: float,
        on_result: Callable[..., None],
        timeout_s: float,
    ) -> None:
        self.store.read_count += 1
        end = len(self.store.contents)
        page = RecordPage(tuple(self.store.contents[offset:]), offset, end)
        self._answer = lambda: on_result(page)


@define
class LastValueHandler(TopicHandler):
    """Keeps the newest value of the only key."""

    value: bytes = b""

    def on_snapshot(self, records: dict[str, bytes], now_s: float) -> None:
        """Takes the value, if there is one."""
        self.value = records.get("k", b"")

    def on_record(self, record: KeyedRecord, now_s: float) -> None:
        """Takes the newer value."""
        self.value = record.value or b""


class Fleet:
    """Hosts that follow one topic and send each other reports and deltas without delay."""

    def __init__(self, hosts: int, lose_deltas: bool) -> None:
        self.store = SharedStore([encode_keyed_record("k", b"first")])
        self.now_s = 0.0
        self.lose_deltas = lose_deltas
        # Hosts that are gone, by rank.
        self.lost: set[int] = set()
        self.handlers = [LastValueHandler() for _ in range(hosts)]
        self.followers = [self._make_follower(handler) for handler in self.handlers]
        for rank, follower in enumerate(self.followers):
            follower.polling.poller_rank, follower.polling.host_count = rank, hosts

    def _make_follower(self, handler: TopicHandler) -> TopicFollower:
        return TopicFollower(
            "t",
            FollowTimings(0.8, 0.8, MAX_STALENESS_S),
            SharedStoreClient(self.store),  # type: ignore[arg-type]
            handler,
            Random(1),
            lambda: self.now_s,
            lambda: self.now_s,
            StoreEra(),
        )

    def run(self, duration_s: float) -> None:
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += TICK_S
            for rank, sender in enumerate(self.followers):
                if rank in self.lost:
                    continue
                sender.on_tick(self.now_s)
                deltas = sender.take_deltas(self.now_s)
                own_read = sender.next_report(self.now_s)
                for receiver in self.followers:
                    if receiver is sender:
                        continue
                    for delta in () if self.lose_deltas else deltas:
                        receiver.on_delta(delta, self.now_s)
                    if own_read is not None:
                        receiver.on_peer_report(own_read.to_report(self.now_s), self.now_s)


@pytest.mark.parametrize("lose_deltas", [False, True])
def test_a_change_reaches_all_hosts_and_is_read_once_unless_deltas_are_lost(
    lose_deltas: bool,
) -> None:
    fleet = Fleet(HOSTS, lose_deltas)
    fleet.run(2.0)
    reads_before = fleet.store.read_count
    fleet.store.contents.append(encode_keyed_record("k", b"second"))
    fleet.run(2.0)
    assert {handler.value for handler in fleet.handlers} == {b"second"}
    reads = fleet.store.read_count - reads_before
    if lose_deltas:
        assert reads >= HOSTS
    else:
        assert reads <= 4


def test_a_host_that_missed_a_change_reads_the_store_instead_of_applying_the_next() -> None:
    fleet = Fleet(2, lose_deltas=True)
    fleet.run(1.0)
    late = fleet.followers[1]
    skipped = TopicDelta("t", "2", "3", 10, (encode_keyed_record("k", b"third"),))
    assert not late.on_delta(skipped, fleet.now_s)
    assert fleet.handlers[1].value == b""


def test_a_delta_to_a_state_that_is_no_offset_is_ignored() -> None:
    fleet = Fleet(1, lose_deltas=True)
    fleet.run(1.0)
    junk = TopicDelta("t", "1", "junk", 10, (encode_keyed_record("k", b"junk"),))
    assert not fleet.followers[0].on_delta(junk, fleet.now_s)
    assert fleet.handlers[0].value == b""


def test_a_decoded_delta_equals_the_encoded_one() -> None:
    data = encode_delta(DELTA)
    assert data is not None
    assert decode_delta(data) == DELTA


@pytest.mark.parametrize("data", [b"", b"text", b"x\x9cjunk", b"\xff" * 40])
def test_a_datagram_that_is_no_delta_decodes_to_none(data: bytes) -> None:
    assert decode_delta(DELTA_TAG + data) is None


def test_a_delta_that_fits_into_no_datagram_is_not_passed_on() -> None:
    content = Random(1).randbytes(MAX_DELTA_DATAGRAM_BYTES)
    assert encode_delta(TopicDelta("t", "4", "5", 0, (content,))) is None


# Guards against a store that all hosts read at once, and hosts that can't read it and learn of no
# change, while the host that polls for the others is lost.
def test_a_change_is_passed_on_by_the_host_that_reads_in_place_of_a_lost_poller() -> None:
    fleet = Fleet(HOSTS, lose_deltas=False)
    fleet.run(2.0)
    fleet.lost.add(0)
    fleet.run(0.5)
    reads_before = fleet.store.read_count
    fleet.store.contents.append(encode_keyed_record("k", b"second"))
    fleet.run(MAX_STALENESS_S)
    assert {handler.value for handler in fleet.handlers[1:]} == {b"second"}
    assert fleet.store.read_count - reads_before < HOSTS / 10

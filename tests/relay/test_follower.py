"""How fresh a topic follower considers its view of the topic, without a network."""

from collections.abc import Callable
from random import Random

import pytest

from berylquay.decisions.store_era import StoreEra
from berylquay.platform.store_client import (
    CALL_TIMEOUT_S,
    KeyedRecord,
    NewestRecordsPage,
    RecordPage,
    StoreFailure,
    encode_keyed_record,
)
from berylquay.relay.follower import FollowTimings, TopicFollower, TopicHandler
from berylquay.relay.topic_deltas import TopicDelta


class FakeStoreClient:
    """Keeps the request that is in flight until the test answers it."""

    def __init__(self) -> None:
        self.result_handler: Callable[..., None] | None = None
        # Timeout of the last call.
        self.timeout_s = 0.0

    @property
    def busy(self) -> bool:
        return self.result_handler is not None

    @property
    def is_idle(self) -> bool:
        return not self.busy

    def on_tick(self, now_s: float) -> None:
        """Does nothing: the test decides when a request fails."""

    def read_newest(self, _topic: str, _after_key: str, on_result: Callable[..., None]) -> None:
        self.result_handler = on_result

    def read(
        self,
        _topic: str,
        _offset: int,
        _wait_s: float,
        on_result: Callable[..., None],
        timeout_s: float,
    ) -> None:
        self.result_handler, self.timeout_s = on_result, timeout_s

    def abandon_call(self) -> None:
        self.result_handler = None

    def complete(self, result: NewestRecordsPage | RecordPage | StoreFailure) -> None:
        handler, self.result_handler = self.result_handler, None
        assert handler is not None
        handler(result)


class IgnoringHandler(TopicHandler):
    """Ignores all records."""

    def on_snapshot(self, records: dict[str, bytes], now_s: float) -> None:
        """Ignores the snapshot."""

    def on_record(self, record: KeyedRecord, now_s: float) -> None:
        """Ignores the record."""


def make_follower(
    clock: Callable[[], float] = lambda: 0.0,
    boot_clock: Callable[[], float] | None = None,
    max_staleness_s: float = 2.5,
) -> tuple[TopicFollower, FakeStoreClient]:
    """Returns a follower that has read the newest records, up to offset 4, at 0 s."""
    store_client = FakeStoreClient()
    follower = TopicFollower(
        "t",
        FollowTimings(1.0, 0.05, max_staleness_s),
        store_client,  # type: ignore[arg-type]
        IgnoringHandler(),
        Random(1),
        clock,
        boot_clock or clock,
        StoreEra(),
    )
    follower.on_tick(0.0)
    store_client.complete(NewestRecordsPage((), has_more=False, end_offset=4))
    return follower, store_client


def test_a_read_in_flight_confirms_nothing() -> None:
    """Guards against a read that returns no records although a new record exists.

    Found by the hunt (mix, 45556787387).
    """
    now_s = 0.0
    follower, store_client = make_follower(lambda: now_s)
    now_s = 0.1
    follower.on_tick(now_s)
    now_s = 1.1
    store_client.complete(RecordPage((), 4, 4))
    assert follower.confirmed_s == 0.1
    follower.on_tick(1.15)
    # The store sends no further answer.
    now_s = 3.0
    follower.on_tick(now_s)
    assert follower.confirmed_s == 0.1
    store_client.complete(StoreFailure("no answer in time", 0, may_have_happened=True))
    assert follower.confirmed_s == 0.1


# Guards against knowledge that looks newer than it is after the machine was suspended.
def test_a_suspension_counts_in_the_age_of_what_a_host_knows() -> None:
    now_s, suspended_s = 0.0, 0.0
    follower, store_client = make_follower(lambda: now_s, lambda: now_s + suspended_s)
    now_s = 0.1
    follower.on_tick(now_s)
    # The answer comes before the suspension and is read after it.
    suspended_s = 30.0
    now_s = 0.2
    store_client.complete(RecordPage((), 4, 4))
    assert now_s - follower.confirmed_s == pytest.approx(30.1)
    own_read = follower.next_report(now_s)
    assert own_read is not None
    suspended_s = 50.0
    assert own_read.to_report(now_s + suspended_s).age_ms == 50100


# Guards against a connection that has gone silent and uses up the time until a change is known.
@pytest.mark.parametrize(
    ("max_staleness_s", "first_s"), [(2.5, 0.5), (4.0, 0.6), (5.0, 0.75), (9.0, CALL_TIMEOUT_S)]
)
def test_a_call_without_an_answer_is_soon_repeated(max_staleness_s: float, first_s: float) -> None:
    follower, client = make_follower(max_staleness_s=max_staleness_s)
    follower.on_tick(0.1)
    assert client.timeout_s == pytest.approx(first_s)
    client.complete(StoreFailure("no answer in time", 0, may_have_happened=True))
    follower.on_tick(0.2)
    # A store that is slow gets all its time then.
    assert (client.busy, client.timeout_s) == (True, CALL_TIMEOUT_S)
    client.complete(StoreFailure("no answer in time", 0, may_have_happened=True))
    follower.on_tick(0.19)
    assert client.is_idle


# Guards against hosts that call again at once a store that has rejected them.
def test_a_rejected_call_is_repeated_after_a_pause() -> None:
    follower, client = make_follower(max_staleness_s=4.0)
    follower.on_tick(0.1)
    client.complete(StoreFailure("too many calls", 429, may_have_happened=False))
    follower.on_tick(0.19)
    assert client.is_idle


# Guards against a host that tells others of an old state as of the time of a change: an answer that
# was on its way when the change was passed on to it sets its state back.
def test_an_answer_from_before_a_change_does_not_set_the_state_back() -> None:
    follower, client = make_follower(max_staleness_s=4.0)
    follower.on_tick(0.1)
    assert follower.on_delta(TopicDelta("t", "4", "5", 0, (encode_keyed_record("k", b"v"),)), 0.2)
    client.complete(RecordPage((), 4, 4))
    assert follower.state_hash == "5"

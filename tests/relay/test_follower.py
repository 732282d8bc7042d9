"""How fresh a follower takes what it knows to be, without a network."""

from collections.abc import Callable
from random import Random

from berylquay.platform.store import KeyedRecord, NewestPage, RecordPage, StoreFailure
from berylquay.relay.follower import FollowTimings, TopicFollower, TopicHandler


class FakeLane:
    """Keeps the call that is under way until the test answers it."""

    def __init__(self) -> None:
        self.answer: Callable[..., None] | None = None

    @property
    def busy(self) -> bool:
        return self.answer is not None

    def on_tick(self, now_s: float) -> None:
        """Does nothing: the test decides when a call fails."""

    def newest(self, _topic: str, _after: str, on_result: Callable[..., None]) -> None:
        self.answer = on_result

    def read(
        self, _topic: str, _offset: int, _wait_s: float, on_result: Callable[..., None]
    ) -> None:
        self.answer = on_result

    def give(self, result: NewestPage | RecordPage | StoreFailure) -> None:
        answer, self.answer = self.answer, None
        assert answer is not None
        answer(result)


class Ignore(TopicHandler):
    """Takes records and does nothing with them."""

    def on_snapshot(self, records: dict[str, bytes], now_s: float) -> None:
        """Ignores them."""

    def on_record(self, record: KeyedRecord, now_s: float) -> None:
        """Ignores it."""


def test_a_read_under_way_confirms_nothing() -> None:
    """Answers a read that brings nothing though something is new (hunt, mix, 45556787387)."""
    now_s = 0.0
    lane = FakeLane()
    follower = TopicFollower(
        "t", FollowTimings(1.0, 0.05, 2.5), lane, Ignore(), Random(1), lambda: now_s  # type: ignore[arg-type]
    )
    follower.on_tick(now_s)
    lane.give(NewestPage((), False, 4))
    now_s = 0.1
    follower.on_tick(now_s)
    now_s = 1.1
    lane.give(RecordPage((), 4, 4))
    assert follower.confirmed_s == 0.1
    follower.on_tick(1.15)
    # Nothing comes any more.
    now_s = 3.0
    follower.on_tick(now_s)
    assert follower.confirmed_s == 0.1
    lane.give(StoreFailure("no answer in time", 0, may_have_happened=True))
    assert follower.confirmed_s == 0.1

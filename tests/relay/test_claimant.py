"""Claims with payloads: what the owner of a claim receives, and when it may act."""

from collections.abc import Callable, Sequence
from random import Random

from attrs import define, field

from berylquay.decisions.order_claims import ClaimStep, ClaimTimes
from berylquay.platform.store_client import (
    CALL_TIMEOUT_S,
    MAX_READ_KB,
    AppendResult,
    RecordPage,
    StoreClient,
    StoreFailure,
)
from berylquay.relay.claimant import Claimant

TIMES = ClaimTimes(validity_s=2.0, in_flight_grace_s=5.0)


@define
class Log:
    """A topic, and the time."""

    records: list[bytes] = field(factory=list)
    now_s: float = 0.0
    # Whether the next append is carried out, and its response lost.
    loses_response: bool = False


class LogClient(StoreClient):
    """Answers each call at once."""

    def __init__(self, log: Log) -> None:
        self.log = log

    @property
    def busy(self) -> bool:
        return False

    def on_tick(self, now_s: float) -> None:
        pass

    def abandon_call(self) -> None:
        pass

    def read(
        self,
        topic: str,
        offset: int,
        long_poll_wait_s: float,
        on_result: Callable[[RecordPage | StoreFailure], None],
        *,
        max_kb: int = MAX_READ_KB,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        records = self.log.records
        on_result(RecordPage(tuple(records[offset:]), offset, len(records)))

    def append(
        self,
        topic: str,
        contents: Sequence[bytes],
        on_result: Callable[[AppendResult | StoreFailure], None],
        expected_end_offset: int | None = None,
    ) -> None:
        if expected_end_offset != len(self.log.records):
            on_result(StoreFailure("the topic has another end", 409, may_have_happened=False))
            return
        self.log.records += contents
        if self.log.loses_response:
            self.log.loses_response = False
            on_result(StoreFailure("no answer in time", 0, may_have_happened=True))
        else:
            on_result(AppendResult(expected_end_offset))


class Host:
    """A claimant that records what its listener receives."""

    def __init__(self, name: str, log: Log) -> None:
        self.log = log
        self.received: list[tuple[str, bytes, int]] = []
        self.claimant = Claimant(
            "usage", name, TIMES, LogClient(log), Random(1), listener=self, clock=lambda: log.now_s
        )

    def on_claim(self, holder: str, payload: bytes, offset: int, now_s: float) -> None:
        self.received.append((holder, payload, offset))

    def advance(self, payload: bytes, steps: int = 2) -> ClaimStep:
        """Takes some steps; returns the next one."""
        for _ in range(steps):
            self.claimant.advance(payload, self.log.now_s)
        return self.claimant.advance(payload, self.log.now_s)


def test_a_holder_may_act_only_under_a_claim_with_the_payload() -> None:
    """Guards against sending a report that the claim's record does not show."""
    log = Log()
    host = Host("a", log)
    assert host.advance(b"1") is ClaimStep.ORDER
    assert host.claimant.fencing_number() == 1
    assert host.claimant.advance(b"2", 0.0) is ClaimStep.APPEND
    assert host.claimant.advance(b"2", 0.0) is ClaimStep.ORDER
    assert host.claimant.fencing_number() == 2
    assert log.records == [b"a\n1", b"a\n2"]
    assert host.received == [("a", b"1", 0), ("a", b"2", 1)]
    log.now_s = 1.5
    assert host.claimant.remaining_s() == 0.5
    log.now_s = 2.0
    assert host.claimant.fencing_number() is None
    assert host.claimant.remaining_s() == 0.0


def test_each_record_is_received_once_in_order() -> None:
    """Guards against a record of an append whose response was lost being missed or repeated."""
    log = Log(loses_response=True)
    first, second = Host("a", log), Host("b", log)
    first.advance(b"1")
    assert first.claimant.fencing_number() is None
    log.now_s = 1.0
    assert first.advance(b"1") is ClaimStep.ORDER
    second.claimant.refresh(1.0)
    assert second.claimant.has_read_to_end
    expected = [("a", b"1", 0), ("a", b"1", 1)]
    assert first.received == second.received == expected
    assert second.advance(b"2") is ClaimStep.WAIT
    log.now_s = 1.0 + TIMES.takeover_delay_s
    assert second.advance(b"2") is ClaimStep.ORDER
    assert second.claimant.fencing_number() == 3


def test_a_claim_without_payload_is_the_holders_name() -> None:
    """Guards against a change of the records of role orders, which other versions read."""
    log = Log()
    assert Host("a", log).advance(b"") is ClaimStep.ORDER
    assert log.records == [b"a"]


def test_the_topic_is_read_again_in_a_new_era() -> None:
    """Guards against a claim of a former era that is used on, or a takeover without delay."""
    log = Log()
    host = Host("a", log)
    host.claimant.on_store_era(1)
    log.now_s = TIMES.takeover_delay_s
    assert host.advance(b"1") is ClaimStep.ORDER
    log.records.clear()
    host.claimant.on_store_era(2)
    assert host.claimant.fencing_number() is None
    assert host.advance(b"1") is ClaimStep.WAIT
    log.now_s += TIMES.takeover_delay_s
    assert host.advance(b"1") is ClaimStep.ORDER
    assert host.claimant.fencing_number() == (2 << 32) + 1

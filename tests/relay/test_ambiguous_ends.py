"""Answers whose end can be read in two ways: none is taken for the better one.

The connection of a process that was killed ends with FIN, as that of one that has sent all it had.
"""

import json
import struct
from collections.abc import Callable
from random import Random
from typing import Final

import pytest

from berylquay.decisions.fleet import Address
from berylquay.decisions.order_claims import ClaimTimes
from berylquay.decisions.store_era import StoreEra
from berylquay.net.tcp_connections import Connection, ConnectionHandler
from berylquay.platform.duty_client import DutyClient, DutyOutcome
from berylquay.platform.store_client import (
    AppendResult,
    NewestRecordsPage,
    RecordPage,
    StoreClient,
    StoreFailure,
)
from berylquay.relay.claimant import Claimant
from berylquay.relay.follower import FollowTimings, TopicFollower
from tests.relay.test_follower import FakeStoreClient, IgnoringHandler, make_follower
from tests.support.fake_connections import FakeConnections

ADDRESS: Final = Address("10.0.0.1", 80)
HEAD: Final = b"HTTP/1.1 200 OK\r\n\r\n"
RECORD: Final = struct.pack(">I", 3) + b"abc"
# The topic ends at offset 7, after the two records at 5 and 6.
PAGE: Final = struct.pack(">QQ", 7, 0) + RECORD + RECORD
ITEM: Final = {"key": "k", "value": "dg==", "offset": 4}
NEWEST: Final = json.dumps({"items": [ITEM], "endOffset": 7, "hasMore": False}).encode()
APPENDED: Final = json.dumps({"endOffset": 8, "offset": 7}).encode()
READ_OFFSET: Final = 5


class EndingConnections(FakeConnections):
    """Connections whose other end answers and closes."""

    def __init__(self) -> None:
        super().__init__()
        self.newest: Connection | None = None

    def open(self, address: Address, connection_handler: ConnectionHandler) -> Connection:
        self.newest = super().open(address, connection_handler)
        return self.newest

    def end(self, data: bytes, *, has_fin: bool = True) -> None:
        """Receives data and the end of the connection."""
        connection = self.newest
        assert connection is not None
        if data:
            connection.handler.on_data_received(data)
        if not connection.closed:
            connection.closed = True
            connection.peer_closed_cleanly = has_fin
            connection.handler.on_disconnected("closed")


def read_page(client: StoreClient, on_result: Callable[[object], None]) -> None:
    client.read("t", READ_OFFSET, 0.0, on_result)


def read_newest(client: StoreClient, on_result: Callable[[object], None]) -> None:
    client.read_newest("t", "", on_result)


def append(client: StoreClient, on_result: Callable[[object], None]) -> None:
    client.append("t", [b"abc"], on_result)


def call_store(call: Callable[..., None], answer: bytes) -> object:
    """Returns the result of a call that is answered without length and chunks."""
    connections = EndingConnections()
    results: list[object] = []
    call(StoreClient(connections, ADDRESS, StoreEra()), results.append)
    connections.end(HEAD + answer)
    assert len(results) == 1
    return results[0]


# Guards against an answer of the store that was cut off, and whose rest counts as nothing.
@pytest.mark.parametrize(
    ("call", "whole", "expected"),
    [
        (read_page, PAGE, RecordPage((b"abc", b"abc"), READ_OFFSET, 7)),
        (read_newest, NEWEST, NewestRecordsPage),
        (append, APPENDED, AppendResult(7)),
    ],
    ids=["log-read", "log-newest", "log-append"],
)
def test_an_unframed_answer_of_the_store_that_is_cut_off_is_not_whole(
    call: Callable[..., None], whole: bytes, expected: object
) -> None:
    result = call_store(call, whole)
    assert result == expected or type(result) is expected
    for length in range(len(whole)):
        result = call_store(call, whole[:length])
        if isinstance(result, RecordPage):
            # Between two records: the end offset shows that some are missing.
            assert result.next_offset < result.end_offset == 7
        else:
            assert isinstance(result, StoreFailure)
            assert result.may_have_happened


# Guards against a page that does not say whether others follow, and that is taken for the last one.
@pytest.mark.parametrize(
    "changes",
    [
        {"hasMore": None},
        {"hasMore": "true"},
        {"hasMore": 1},
        {"hasMore": True, "items": []},
        {"endOffset": None},
        {"endOffset": -1},
        {"endOffset": True},
        {"endOffset": 7.5},
    ],
    ids=str,
)
def test_a_page_that_does_not_tell_its_end_is_no_page(changes: dict[str, object]) -> None:
    fields = {**json.loads(NEWEST), **changes}
    for page in (fields, {k: v for k, v in fields.items() if k not in changes or v is not None}):
        assert isinstance(call_store(read_newest, json.dumps(page).encode()), StoreFailure)


# Guards against an append that counts as made at an offset that the answer does not state.
@pytest.mark.parametrize("offset", [None, -1, True, 7.5, "x"])
def test_an_append_without_its_offset_may_have_happened(offset: object) -> None:
    result = call_store(append, json.dumps({"offset": offset, "endOffset": 8}).encode())
    assert isinstance(result, StoreFailure)
    assert result.may_have_happened


# Guards against an append reported as not made although only 503, 429 and refusals say so.
@pytest.mark.parametrize(
    ("status", "may_have_happened"),
    [(503, False), (507, False), (429, False), (412, False), (409, False)]
    + [(500, True), (502, True), (504, True), (204, True)],
)
def test_the_status_tells_whether_an_append_was_made(status: int, may_have_happened: bool) -> None:
    connections = EndingConnections()
    results: list[object] = []
    append(StoreClient(connections, ADDRESS, StoreEra()), results.append)
    connections.end(b"HTTP/1.1 %d X\r\n\r\n" % status)
    (result,) = results
    assert isinstance(result, StoreFailure)
    assert (result.status, result.may_have_happened) == (status, may_have_happened)


# Guards against a call reported as not made since the kept connection ended before any byte.
@pytest.mark.parametrize("has_fin", [True, False], ids=["fin", "reset"])
@pytest.mark.parametrize("answer", [b"", b"HTTP/1.1 103 X\r\n\r\n", b"HTTP/1.1 200"])
def test_an_end_before_the_head_on_a_kept_connection_tells_nothing(
    answer: bytes, has_fin: bool
) -> None:
    connections = EndingConnections()
    results: list[object] = []
    store = StoreClient(connections, ADDRESS, StoreEra())
    append(store, results.append)
    assert connections.newest is not None
    first = connections.newest
    first.handler.on_data_received(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(APPENDED) + APPENDED
    )
    append(store, results.append)
    assert connections.newest is first
    connections.end(answer, has_fin=has_fin)
    assert results[0] == AppendResult(7)
    assert isinstance(results[1], StoreFailure)
    assert results[1].may_have_happened


# The same for a call to the platform's API for duties: another one must wait.
@pytest.mark.parametrize("has_fin", [True, False], ids=["fin", "reset"])
@pytest.mark.parametrize(
    "answer", [b"", b"HTTP/1.1 103 X\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{"]
)
def test_a_duty_call_whose_answer_breaks_off_may_still_be_carried_out(
    answer: bytes, has_fin: bool
) -> None:
    connections = EndingConnections()
    outcomes: list[DutyOutcome] = []
    client = DutyClient(connections, ADDRESS, 10.0, clock=lambda: 0.0)
    client.on_tick(1.0)
    client.report_usage("h-1", 7, 3, {"t": 4}, outcomes.append)
    connections.end(answer, has_fin=has_fin)
    assert outcomes == [DutyOutcome.FAILED]
    assert not client.may_send("/usage", 8)


# Guards against a status that states nothing of the call and is taken for a refusal, or for the end
# of a call that a server behind the one that answered may still carry out.
@pytest.mark.parametrize(
    ("status", "outcome", "may_run"),
    [
        (200, DutyOutcome.ACCEPTED, False),
        (204, DutyOutcome.FAILED, True),
        (302, DutyOutcome.FAILED, True),
        (400, DutyOutcome.REJECTED, False),
        (409, DutyOutcome.NONE_AVAILABLE, False),
        (429, DutyOutcome.RATE_LIMITED, False),
        (500, DutyOutcome.FAILED, True),
        (502, DutyOutcome.FAILED, True),
        (503, DutyOutcome.FAILED, False),
        (504, DutyOutcome.FAILED, True),
    ],
)
def test_only_some_statuses_say_what_became_of_a_duty_call(
    status: int, outcome: DutyOutcome, *, may_run: bool
) -> None:
    connections = EndingConnections()
    outcomes: list[DutyOutcome] = []
    client = DutyClient(connections, ADDRESS, 10.0, clock=lambda: 0.0)
    client.on_tick(1.0)
    client.report_usage("h-1", 7, 3, {"t": 4}, outcomes.append)
    connections.end(b"HTTP/1.1 %d X\r\n\r\n" % status)
    assert outcomes == [outcome]
    assert client.may_send("/usage", 8) is not may_run


# Guards against a page that ends before the topic's end and confirms that nothing else is new,
# here and at the hosts that take this one's reports.
@pytest.mark.parametrize("contents", [(), (b"\x01ka",)], ids=["no-record", "one-record"])
def test_a_page_that_ends_early_confirms_nothing(contents: tuple[bytes, ...]) -> None:
    now_s = 0.0
    follower, store_client = make_follower(lambda: now_s)
    follower.next_report(now_s)
    now_s = 1.0
    follower.on_tick(now_s)
    store_client.complete(RecordPage(contents, 4, 6))
    assert follower.confirmed_s == 0.0
    assert follower.next_report(5.0) is None
    assert not follower.take_deltas(now_s)
    now_s = 2.0
    follower.on_tick(now_s)
    store_client.complete(RecordPage((b"\x01ka", b"\x01kb")[len(contents) :], 4 + len(contents), 6))
    assert follower.confirmed_s == 2.0
    assert follower.next_offset == 6


# Guards against newest records that count as complete up to the request of their last page: a
# change after the first page may be missing.
def test_newest_records_are_complete_up_to_their_first_page() -> None:
    now_s = 0.0
    store_client = FakeStoreClient()
    follower = TopicFollower(
        "t",
        FollowTimings(1.0, 0.05, 2.5),
        store_client,  # type: ignore[arg-type]
        IgnoringHandler(),
        Random(1),
        lambda: now_s,
        lambda: now_s,
        StoreEra(),
    )
    follower.on_tick(now_s)
    page = call_store(read_newest, json.dumps({**json.loads(NEWEST), "hasMore": True}).encode())
    assert isinstance(page, NewestRecordsPage)
    store_client.complete(page)
    now_s = 1.0
    follower.on_tick(now_s)
    store_client.complete(NewestRecordsPage((), has_more=False, end_offset=9))
    assert follower.next_offset == 7
    assert follower.confirmed_s == 0.0


# Guards against a claim appended, or calls without a pause, after a page that ends early.
def test_a_claim_is_not_appended_after_a_page_that_ends_early() -> None:
    connections = EndingConnections()
    client = StoreClient(connections, ADDRESS, StoreEra())
    claimant = Claimant("t", "h", ClaimTimes(1.0, 2.0), client, Random(1))
    claimant.advance(b"", 1.0)
    connections.end(HEAD + struct.pack(">QQ", 1, 0))
    assert connections.newest is not None
    calls = list(connections.sent.values())
    claimant.advance(b"", 1.01)
    assert list(connections.sent.values()) == calls
    claimant.advance(b"", 9.0)
    assert b"/log-read" in connections.sent[id(connections.newest)]

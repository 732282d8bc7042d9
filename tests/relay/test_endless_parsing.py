"""Parsing of answers without end: in turns, and up to a bound."""

from collections.abc import Callable
from typing import Final

import pytest
from attrs import define, field

from berylquay.decisions.fleet import Address
from berylquay.errors import TransportError
from berylquay.net.persistent_http import (
    MAX_INFORMATIONAL_HEADS,
    MAX_PARTS_PER_TURN,
    MAX_SMALL_CHUNKS,
    PersistentConnection,
    RawRequest,
    RawResponseHead,
)
from berylquay.net.tcp_connections import Connection
from tests.support.fake_connections import FakeConnections

HEAD: Final = b"HTTP/1.1 200 OK\r\nAttempt-Id: id\r\nTransfer-Encoding: chunked\r\n\r\n"
END: Final = b"0\r\n\r\n"
RECEIVED_AT_ONCE: Final = 65536


class Turns(FakeConnections):
    """Connections whose deferred calls the test makes."""

    def __init__(self) -> None:
        super().__init__()
        self.deferred: list[Callable[[], None]] = []
        # Pauses and resumptions of reading, in order.
        self.pauses: list[bool] = []

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Records the call."""
        self.deferred.append(callback)

    def pause_reading(self, connection: Connection) -> None:
        """Records the pause."""
        self.pauses.append(True)

    def resume_reading(self, connection: Connection) -> None:
        """Records its end."""
        self.pauses.append(False)

    def run_turn(self) -> None:
        """Makes the deferred calls."""
        calls, self.deferred = self.deferred, []
        for call in calls:
            call()


@define
class Answer:
    """What the sender of the request is told."""

    statuses: list[int] = field(factory=list)
    body: bytes = b""
    pieces: int = 0
    is_complete: bool = False
    error: str = ""

    def on_response_head(self, head: RawResponseHead) -> None:
        self.statuses.append(head.status)

    def on_response_data(self, data: bytes) -> None:
        self.body += data
        self.pieces += 1

    def on_response_complete(self) -> None:
        self.is_complete = True

    def on_response_failed(self, error: TransportError) -> None:
        self.error = str(error)


@define
class Exchange:
    """One request that was sent."""

    turns: Turns = field(factory=Turns)
    answer: Answer = field(factory=Answer)
    idle: list[PersistentConnection] = field(factory=list)
    connection: PersistentConnection = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Sends the request."""
        self.connection = PersistentConnection(
            Address("127.0.0.1", 1), self.idle.append, lambda _connection: None, self.turns
        )
        self._send()

    def _send(self) -> None:
        request = RawRequest(b"GET", b"/", [(b"host", b"x")])
        self.connection.start_request(request, self.answer, b"attempt-id", b"id")

    def finish(self) -> int:
        """Makes deferred calls until there are none; returns in how many turns."""
        count = 0
        while self.turns.deferred:
            count += 1
            self.turns.run_turn()
        return count


def chunks(count: int) -> bytes:
    return b"1\r\nx\r\n" * count


# Guards against a server whose tiny chunks keep the loop from all other connections.
def test_an_answer_of_many_parts_is_parsed_in_turns() -> None:
    exchange = Exchange()
    exchange.connection.on_data_received(HEAD + chunks(1000) + END)
    assert len(exchange.answer.body) < MAX_PARTS_PER_TURN
    assert exchange.answer.pieces == 1
    assert exchange.turns.pauses == [True]
    assert exchange.finish() >= 1000 // MAX_PARTS_PER_TURN
    assert (len(exchange.answer.body), exchange.answer.is_complete) == (1000, True)
    assert exchange.turns.pauses[-1] is False
    assert exchange.idle == [exchange.connection]


# The same when the connection ends amid the turns.
def test_what_waits_to_be_parsed_is_passed_on_when_the_connection_ends() -> None:
    exchange = Exchange()
    exchange.connection.on_data_received(HEAD + chunks(1000))
    exchange.connection.on_disconnected("reset")
    assert len(exchange.answer.body) == 1000
    assert exchange.answer.error
    assert exchange.finish() == 1


def test_a_pause_by_the_caller_outlasts_the_parsing() -> None:
    exchange = Exchange()
    exchange.connection.on_data_received(HEAD + chunks(1000))
    exchange.connection.set_reading_paused(True)
    exchange.finish()
    assert exchange.turns.pauses[-1] is True
    exchange.connection.set_reading_paused(False)
    assert exchange.turns.pauses[-1] is False


def test_a_closed_connection_parses_no_more() -> None:
    exchange = Exchange()
    exchange.connection.on_data_received(HEAD + chunks(1000))
    exchange.connection.close()
    exchange.finish()
    assert len(exchange.answer.body) < MAX_PARTS_PER_TURN


# Guards against a faulty server that costs processor time until the deadline of each call.
@pytest.mark.parametrize(
    ("filler", "detail"),
    [
        (chunks(8192), "too many small chunks"),
        (b"HTTP/1.1 100 Continue\r\n\r\n" * 1000, "too many informational heads"),
    ],
)
def test_parts_without_end_are_given_up(filler: bytes, detail: str) -> None:
    exchange = Exchange()
    head = HEAD if filler.startswith(b"1") else b""
    received_bytes = 0
    exchange.connection.on_data_received(head + filler)
    while not exchange.answer.error:
        exchange.finish()
        received_bytes += len(filler)
        assert received_bytes < 10 * RECEIVED_AT_ONCE
        exchange.connection.on_data_received(filler)
        exchange.finish()
    assert detail in exchange.answer.error
    assert exchange.connection.closed


# Sound servers stay below the bounds: tokens as events, and a large body in chunks.
@pytest.mark.parametrize("chunk", [b"data: x\n\n", b"x" * 4096])
def test_an_answer_of_many_sound_chunks_is_complete(chunk: bytes) -> None:
    exchange = Exchange()
    framed = b"%x\r\n%b\r\n" % (len(chunk), chunk)
    exchange.connection.on_data_received(HEAD)
    for _ in range(2 * MAX_SMALL_CHUNKS):
        exchange.connection.on_data_received(framed)
    exchange.connection.on_data_received(END)
    exchange.finish()
    assert exchange.answer.is_complete
    assert exchange.answer.pieces == 2 * MAX_SMALL_CHUNKS


def test_an_answer_after_some_informational_heads_is_complete() -> None:
    exchange = Exchange()
    hints = b"HTTP/1.1 103 Early Hints\r\n\r\n" * MAX_INFORMATIONAL_HEADS
    exchange.connection.on_data_received(hints + HEAD + END)
    exchange.finish()
    assert exchange.answer.is_complete

"""Status lines of responses that are none of HTTP/1, whoever sends them."""

from typing import Final

import pytest
from attrs import define, field

from berylquay.call_verdicts import Verdict
from berylquay.decisions.fleet import Address
from berylquay.errors import TransportError
from berylquay.net.http_client import HttpExchange, HttpResponseHead, make_json_request
from berylquay.net.persistent_http import PersistentConnection, RawRequest, RawResponseHead
from tests.relay.test_ends_of_backend_answers import EndingConnections

ADDRESS: Final = Address("127.0.0.1", 1)
REST: Final = b" X\r\nContent-Length: 2\r\n\r\n{}"
BAD: Final = [
    b"HTTP/1.1 000",
    b"HTTP/1.1 001",
    b"HTTP/1.1 099",
    b"HTTP/1.1 20",
    b"HTTP/1.1 600",
    b"HTTP/1.1 999",
    b"HTTP/1.1 1000",
    b"HTTP/1.1 2x0",
    b"HTTP/0.9 200",
    b"HTTP/2.0 200",
]
GOOD: Final = {b"HTTP/1.0 200": 200, b"HTTP/1.1 599": 599, b"HTTP/1.2 204": 204}


@define
class Outcome:
    """What becomes of a request."""

    statuses: list[int] = field(factory=list)
    failures: list[tuple[str, Verdict]] = field(factory=list)
    completed: bool = False

    def on_response_head(self, head: RawResponseHead | HttpResponseHead) -> None:
        self.statuses.append(head.status)

    def on_response_data(self, _data: bytes) -> None:
        """Does nothing."""

    def on_response_complete(self) -> None:
        self.completed = True

    def on_response_failed(self, error: TransportError) -> None:
        self.failures.append((error.detail, error.verdict))


def connect(client: str, connections: EndingConnections, outcome: Outcome) -> None:
    """Sends a request by way of one of the two HTTP clients."""
    if client == "persistent":
        connection = PersistentConnection(ADDRESS, lambda _: None, lambda _: None, connections)
        connection.start_request(RawRequest(b"GET", b"/", [(b"host", b"h")]), outcome)
    else:
        request = make_json_request("POST", "/", {})
        HttpExchange(connections, ADDRESS, request, outcome).on_connected()


# Guards against the part of an answer that a server sent before it gave up the request, and that
# counts as the whole one.
@pytest.mark.parametrize("client", ["persistent", "single"])
@pytest.mark.parametrize(("status", "is_complete"), [(200, False), (413, True), (500, True)])
def test_an_end_before_the_request_was_received(
    client: str, status: int, *, is_complete: bool
) -> None:
    outcome, connections = Outcome(), EndingConnections()
    connect(client, connections, outcome)
    assert connections.newest is not None
    connections.receive(b"HTTP/1.1 %d X\r\n\r\npart" % status)
    connections.newest.has_undelivered = True
    connections.end(has_fin=True)
    assert outcome.completed == is_complete
    assert len(outcome.failures) == (not is_complete)


def receive(client: str, first_line: bytes) -> Outcome:
    """Returns what becomes of a request that is answered with a status line."""
    outcome, connections = Outcome(), EndingConnections()
    connect(client, connections, outcome)
    connections.receive(first_line + REST)
    return outcome


# Guards against a status such as 000 or 600, or another protocol's version, that counts as an
# answer.
@pytest.mark.parametrize("client", ["persistent", "single"])
@pytest.mark.parametrize("first_line", BAD)
def test_a_bad_status_line_is_no_answer(client: str, first_line: bytes) -> None:
    outcome = receive(client, first_line)
    assert not outcome.statuses
    ((detail, verdict),) = outcome.failures
    assert detail.startswith("bad HTTP answer: ")
    assert verdict is Verdict.MAY_HAVE_RUN


# Guards against unusual status lines that HTTP allows, and that are refused.
@pytest.mark.parametrize("client", ["persistent", "single"])
@pytest.mark.parametrize("first_line", GOOD)
def test_a_status_line_of_http_1_is_an_answer(client: str, first_line: bytes) -> None:
    outcome = receive(client, first_line)
    assert outcome.statuses == [GOOD[first_line]]
    assert not outcome.failures

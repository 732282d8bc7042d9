"""What a caller gets of an answer, by its framing, its kind of body and where and how it ends."""

import socket
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from enum import Enum
from itertools import product
from typing import Final

import h11
import pytest
from attrs import frozen

from berylquay.net.body_framing import BodyFraming
from tests.support.relay_fleet import HOST_NAME, PATHS, make_configuration, start_relay_fleet
from tests.support.scripted_backend import Ending, Script

EVENTS: Final = (b"id: 1\ndata: first\n\n", b"id: 2\ndata: second\n\n")
JSON_BODY: Final = b'{"answer": [1, 2, 3]}'
OTHER_BODY: Final = b"some bytes of no known kind"
INFORMATIONAL_HEAD: Final = b"HTTP/1.1 103 Early Hints\r\n\r\n"
DEADLINE_MS: Final = 1500
PARALLEL_CALLS: Final = 24


class Kind(Enum):
    """Kind of body; the value is the route."""

    STREAM = "stream"
    RESUMABLE_STREAM = "resumable"
    JSON = "once"
    OTHER = "many"

    @property
    def is_stream(self) -> bool:
        """Returns whether the body is an event stream."""
        return self in (Kind.STREAM, Kind.RESUMABLE_STREAM)


class Cut(Enum):
    """Where the backend server stops sending."""

    BEFORE_HEAD = "before the head"
    AFTER_INFORMATIONAL_HEAD = "after an informational head"
    # Within the first event, JSON document or run of bytes.
    WITHIN_FIRST_PART = "within the first part"
    BETWEEN_PARTS = "between parts"
    WITHIN_LAST_PART = "within the last part"
    NOWHERE = "nowhere"


class Outcome(Enum):
    """What a caller can tell of its answer."""

    COMPLETE = "complete"
    # The body, framed as complete, lacks its end: HTTP and the content can't tell.
    SHORT = "short"
    BROKEN_OFF = "broken off"
    BAD_GATEWAY = "502"
    DEADLINE = "504"


@frozen
class Case:
    """One row of the table."""

    framing: BodyFraming
    kind: Kind
    cut: Cut
    ending: Ending
    http_version: str

    @property
    def name(self) -> str:
        """Returns the name, which is also the body of the case's request."""
        parts = (self.framing, self.kind, self.cut, self.ending)
        return "-".join([*(part.value for part in parts), self.http_version])


def body_of(kind: Kind) -> bytes:
    if kind.is_stream:
        return b"".join(EVENTS)
    return JSON_BODY if kind is Kind.JSON else OTHER_BODY


def sent_body(case: Case) -> bytes:
    """Returns the part of the body that the backend server sends."""
    body = body_of(case.kind)
    length = {
        Cut.WITHIN_FIRST_PART: 5,
        Cut.BETWEEN_PARTS: len(EVENTS[0]) if case.kind.is_stream else len(body) // 2,
        Cut.WITHIN_LAST_PART: len(body) - 1,
        Cut.NOWHERE: len(body),
    }.get(case.cut, 0)
    return body[:length]


def make_script(case: Case) -> Script:
    if case.cut is Cut.BEFORE_HEAD:
        return Script(b"HTTP/1.1 200 O", case.ending)
    if case.cut is Cut.AFTER_INFORMATIONAL_HEAD:
        return Script(INFORMATIONAL_HEAD, case.ending)
    content_type = {Kind.JSON: b"application/json", Kind.OTHER: b"application/octet-stream"}.get(
        case.kind, b"text/event-stream"
    )
    body = sent_body(case)
    framing_header = b""
    if case.framing is BodyFraming.LENGTH:
        framing_header = b"Content-Length: %d\r\n" % len(body_of(case.kind))
    elif case.framing is BodyFraming.CHUNKED:
        framing_header = b"Transfer-Encoding: chunked\r\n"
        body = b"%x\r\n%b\r\n" % (len(body), body)
        if case.cut is Cut.NOWHERE:
            body += b"0\r\n\r\n"
    # A connection that serves one request must not be kept for the next case.
    head = (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: <id>\r\nServer-Seal: seal\r\nConnection: close\r\n"
        b"Content-Type: "
    )
    return Script(
        INFORMATIONAL_HEAD + head + content_type + b"\r\n" + framing_header + b"\r\n" + body,
        case.ending,
    )


def expected_outcome(case: Case) -> Outcome:
    no_answer = Outcome.DEADLINE if case.ending is Ending.SILENCE else Outcome.BAD_GATEWAY
    if case.cut in (Cut.BEFORE_HEAD, Cut.AFTER_INFORMATIONAL_HEAD):
        return no_answer
    if case.framing is not BodyFraming.CONNECTION_END:
        if case.cut is Cut.NOWHERE:
            return Outcome.COMPLETE
    elif case.ending is Ending.FIN:
        if case.cut is Cut.NOWHERE:
            return Outcome.COMPLETE
        if case.kind is Kind.OTHER or (case.kind.is_stream and case.cut is Cut.BETWEEN_PARTS):
            return Outcome.SHORT
    has_event = len(sent_body(case)) >= len(EVENTS[0])
    return Outcome.BROKEN_OFF if case.kind.is_stream and has_event else no_answer


CASES: Final = [
    Case(*values) for values in product(BodyFraming, Kind, Cut, Ending, ("HTTP/1.1", "HTTP/1.0"))
]


def observe(sock: socket.socket, case: Case) -> Outcome:
    """Sends the case's request, and classifies the answer as an HTTP client would."""
    body = case.name.encode()
    head = (
        f"POST {PATHS[case.kind.value]} {case.http_version}\r\nHost: {HOST_NAME}\r\n"
        f"Attempt-Id: {case.name.replace(' ', '-')}\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    sock.sendall(head.encode() + body)
    protocol = h11.Connection(our_role=h11.CLIENT)
    protocol.send(h11.Request(method="POST", target="/", headers=[("Host", HOST_NAME)]))
    protocol.send(h11.EndOfMessage())
    status, received = 0, b""
    try:
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(sock.recv(65536))
            elif isinstance(event, h11.Response):
                status = event.status_code
                assert (b"server-seal" in dict(event.headers)) is (status == 200)
            elif isinstance(event, h11.Data):
                received += event.data
            elif isinstance(event, h11.EndOfMessage):
                break
    except (ConnectionResetError, h11.RemoteProtocolError):
        assert status == 200
        assert body_of(case.kind).startswith(received)
        return Outcome.BROKEN_OFF
    if status != 200:
        return Outcome(str(status))
    assert body_of(case.kind).startswith(received)
    return Outcome.COMPLETE if received == body_of(case.kind) else Outcome.SHORT


@pytest.fixture(scope="module")
def outcomes(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[Case, Outcome]]:
    """Returns what the callers observed of all cases, at one relay host."""
    with start_relay_fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        fleet.put_configuration(make_configuration())
        scripts = {case.name.encode(): make_script(case) for case in CASES}
        for pool, role in (("lm", "decode"), ("app", "")):
            backend = fleet.add_scripted_backend(pool, pool, b"", Ending.RESET, role)
            backend.scripts.update(scripts)
        host = fleet.add_host()

        def observe_case(case: Case) -> Outcome:
            with socket.create_connection(("127.0.0.1", host.port), timeout=30) as sock:
                return observe(sock, case)

        # Cases with time-outs run beside the others.
        with ThreadPoolExecutor(PARALLEL_CALLS) as executor:
            yield dict(zip(CASES, executor.map(observe_case, CASES), strict=True))


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_a_caller_can_tell_what_it_got(case: Case, outcomes: dict[Case, Outcome]) -> None:
    assert outcomes[case] is expected_outcome(case)

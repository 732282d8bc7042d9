"""Answers of services to `berylquayd` whose end can be read in two ways."""

from collections.abc import Callable
from functools import partial
from typing import Final

import pytest
from attrs import evolve

from berylquay.backends.answer_end_check import AnswerEndCheck
from berylquay.backends.backend_prober import PROBE_TIMEOUT_S, BackendProber, _Probe
from berylquay.backends.upstream_attempt import AttemptReport, UpstreamAttempt
from berylquay.call_verdicts import Verdict
from berylquay.component_messages import AttemptCompleted, AttemptFailed, ProbeEnded
from berylquay.decisions.calls import Attempt
from berylquay.decisions.deployment import WorkKind
from berylquay.decisions.fleet import Address
from berylquay.net.tcp_connections import CONNECTION_REFUSED, Connection, ConnectionHandler
from tests.support.fake_connections import FakeConnections
from tests.test_routing import make_call

ADDRESS: Final = Address("10.0.0.1", 80)
UNFRAMED: Final = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
STATED: Final = b"X-Incarnation: one\r\n"
SAME: Final = b"HTTP/1.1 404 No\r\nContent-Length: 0\r\nX-Incarnation: one\r\n\r\n"
OTHER: Final = b"HTTP/1.1 404 No\r\nContent-Length: 0\r\nX-Incarnation: two\r\n\r\n"
SILENT: Final = b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"
STATE: Final = b'HTTP/1.1 200 OK\r\n\r\n{"incarnation": "one"}'
CUT_STATE: Final = b'HTTP/1.1 200 OK\r\n\r\n{"incarnation": "on'


class OpenedConnections(FakeConnections):
    """Connections that the test answers, in the order in which they were opened."""

    def __init__(self) -> None:
        super().__init__()
        self.opened: list[Connection] = []

    def open(self, address: Address, connection_handler: ConnectionHandler) -> Connection:
        connection = super().open(address, connection_handler)
        self.opened.append(connection)
        return connection

    def answer(self, data: bytes) -> None:
        """Accepts the newest connection, answers and closes with FIN."""
        connection = self.opened[-1]
        connection.handler.on_connected()
        connection.handler.on_data_received(data)
        self._end(connection, "closed", has_fin=True)

    def refuse(self) -> None:
        """Refuses the newest connection."""
        self._end(self.opened[-1], CONNECTION_REFUSED, has_fin=False)

    def _end(self, connection: Connection, detail: str, *, has_fin: bool) -> None:
        if not connection.closed:
            connection.closed = True
            connection.peer_closed_cleanly = has_fin
            connection.handler.on_disconnected(detail)


class ServiceCall:
    """An attempt at a service, its reports, and the time."""

    def __init__(self, method: str = "POST") -> None:
        self.connections = OpenedConnections()
        self.now_s = 10.0
        self.reports: list[AttemptReport] = []
        self.checks: list[AnswerEndCheck] = []
        call = make_call()
        call = evolve(
            call, class_spec=evolve(call.class_spec, kind=WorkKind.SERVICE_CALL), method=method
        )
        UpstreamAttempt(
            self.connections,
            ADDRESS,
            Attempt("a", evolve(call, path="/x"), "s"),
            self.reports.append,
            self._start_check,
        )

    def _start_check(self, incarnation: str, on_verdict: Callable[..., None]) -> AnswerEndCheck:
        check = AnswerEndCheck(
            self.connections, ADDRESS, incarnation, on_verdict, lambda: self.now_s
        )
        self.checks.append(check)
        return check

    def wait(self, seconds: float) -> None:
        """Lets time pass."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += 0.05
            for check in self.checks:
                check.on_tick(self.now_s)

    def answer_until_judged(self, response: bytes) -> None:
        """Answers all further questions alike."""
        while self.outcome is None:
            self.wait(0.2)
            if not self.connections.opened[-1].closed:
                self.connections.answer(response)

    @property
    def outcome(self) -> object:
        """Returns the body that the caller gets, the verdict of a failure, or None."""
        for report in self.reports:
            if isinstance(report, AttemptCompleted):
                return report.body
            if isinstance(report, AttemptFailed):
                return report.verdict, report.connection_lost
        return None


LOST: Final = (Verdict.MAY_HAVE_RUN, True)


# Guards against an answer taken for whole although the service was killed while it sent it.
@pytest.mark.parametrize(
    ("head", "response", "expected"),
    [
        (UNFRAMED + STATED, SAME, b"part"),
        (UNFRAMED + STATED, STATE, b"part"),
        (UNFRAMED + STATED, OTHER, LOST),
        (UNFRAMED + STATED, SILENT, None),
        (UNFRAMED + STATED, CUT_STATE, None),
        (UNFRAMED, SILENT, b"part"),
        (UNFRAMED, SAME, b"part"),
        (UNFRAMED, b"", None),
        (UNFRAMED, b"HTTP/1.1 404", None),
        (UNFRAMED, b"HTTP/1.1 103 X\r\n\r\n", None),
    ],
)
def test_an_answer_ended_by_its_connection_needs_a_service_that_runs(
    head: bytes, response: bytes, expected: object
) -> None:
    call = ServiceCall()
    call.connections.answer(head + b"\r\npart")
    assert not call.checks[0].is_done
    call.connections.answer(response)
    assert call.outcome == expected
    if expected is None:
        call.answer_until_judged(response)
        assert call.outcome == LOST
        assert 2.0 <= call.now_s - 10.0 <= 2.5


# Guards against an answer whose service has ended, and nothing listens there, or what listens is
# silent.
@pytest.mark.parametrize("is_refused", [True, False], ids=["refused", "silent"])
def test_an_answer_whose_service_has_ended_is_broken_off(is_refused: bool) -> None:
    call = ServiceCall()
    call.connections.answer(UNFRAMED + b"\r\npart")
    if is_refused:
        call.connections.refuse()
        assert not call.checks[0].is_done
        call.wait(0.2)
        call.connections.refuse()
    else:
        call.wait(2.1)
    assert call.outcome == LOST


# Guards against a refused connection that breaks off the answer of a service that runs.
def test_one_refused_connection_shows_nothing() -> None:
    call = ServiceCall()
    call.connections.answer(UNFRAMED + b"\r\npart")
    call.connections.refuse()
    call.wait(0.2)
    call.connections.answer(SILENT)
    assert call.outcome == b"part"


# Guards against questions about answers that show their end themselves.
@pytest.mark.parametrize(
    ("method", "answer", "body"),
    [
        ("POST", b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart", b"part"),
        ("POST", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", b""),
        ("POST", b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{}", b"{}"),
        ("POST", b"HTTP/1.1 204 X\r\n\r\n", b""),
        ("GET", b"HTTP/1.1 304 X\r\n\r\n", b""),
        ("HEAD", b"HTTP/1.1 200 OK\r\n\r\n", b""),
    ],
)
def test_an_answer_that_shows_its_end_is_whole(method: str, answer: bytes, body: bytes) -> None:
    call = ServiceCall(method)
    call.connections.answer(answer)
    assert call.outcome == body
    assert len(call.connections.opened) == 1


# Guards against a number that was cut off, and against a part of an answer after an early answer.
def test_a_json_number_and_an_answer_after_an_informational_one_are_checked() -> None:
    for answer in (
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n12",
        b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\n\r\npart",
    ):
        call = ServiceCall()
        call.connections.answer(answer)
        call.connections.refuse()
        call.wait(0.2)
        call.connections.refuse()
        assert call.outcome == LOST


class RecordingProber(BackendProber):
    """Records the outcome of each probe."""

    def __init__(self, connections: OpenedConnections) -> None:
        super().__init__(connections)
        self.ended: list[ProbeEnded] = []

    def on_probe_ended(self, message: ProbeEnded) -> None:
        """Records the outcome."""
        self.ended.append(message)


# Guards against a server that counts as alive since it was killed amid its answer to a probe.
@pytest.mark.parametrize(
    ("first", "second", "expected"),
    [
        (b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", None, (True, "")),
        (STATE, None, (True, "one")),
        (CUT_STATE, b"", (False, "")),
        (CUT_STATE, STATE, (True, "one")),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"", (False, "")),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"HTTP/1.1 200 OK\r\n\r\n", (True, "")),
        (b"HTTP/1.1 404 No\r\nContent-Length: 2\r\n\r\n{", None, (False, "")),
    ],
)
def test_a_probe_whose_answer_may_have_ended_with_the_server_is_repeated(
    first: bytes, second: bytes | None, expected: tuple[bool, str]
) -> None:
    connections = OpenedConnections()
    prober = RecordingProber(connections)
    start = partial(_Probe, prober, "s", ADDRESS, PROBE_TIMEOUT_S)
    start()
    connections.answer(first)
    if second is not None:
        assert not prober.ended
        connections.answer(second)
    assert [(ended.alive, ended.incarnation) for ended in prober.ended] == [expected]

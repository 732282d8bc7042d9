"""Calls to the platform's API for duties: what is sent, how often, and what a lost one means."""

from berylquay.decisions.fleet import Address
from berylquay.net.tcp_connections import Connection, ConnectionHandler
from berylquay.platform.duty_client import (
    CALL_TIMEOUT_S,
    UNANSWERED_CALL_S,
    DutyClient,
    DutyOutcome,
)
from berylquay.platform.wire_names import SCALE_PATH, USAGE_PATH
from tests.support.fake_connections import FakeConnections


class ApiConnections(FakeConnections):
    """Connections to an API whose answers the test gives."""

    def __init__(self) -> None:
        super().__init__()
        self.opened: list[Connection] = []

    def open(self, address: Address, connection_handler: ConnectionHandler) -> Connection:
        connection = super().open(address, connection_handler)
        self.opened.append(connection)
        return connection

    def answer(self, status: int) -> None:
        """Answers the call on the newest connection."""
        head = f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n"
        self.opened[-1].handler.on_data_received(head.encode())


class Api:
    """A client and its outcomes."""

    def __init__(self) -> None:
        self.connections = ApiConnections()
        self.client = DutyClient(self.connections, Address("10.0.0.1", 80), calls_per_s=10.0)
        self.outcomes: list[DutyOutcome] = []
        self.client.on_tick(1.0)

    def report(self, fencing_number: int = 7) -> None:
        self.client.report_usage("h-1", fencing_number, 3, {"t": 4}, self.outcomes.append)


def test_calls_carry_holder_and_fencing_number() -> None:
    api = Api()
    api.report()
    api.connections.answer(200)
    api.client.on_tick(1.2)
    api.client.order_servers("h-1", 9, "lm", "a", 6, spot=True, on_result=api.outcomes.append)
    assert len(api.connections.opened) == 1
    sent = api.connections.sent[id(api.connections.opened[0])]
    usage, _, scale = sent.partition(b"POST /scale HTTP/1.1\r\n")
    assert usage.startswith(b"POST /usage HTTP/1.1\r\n")
    assert b"duty-holder: h-1\r\nfence-token: 7\r\n" in usage
    assert usage.endswith(b'{"windowId": 3, "counts": {"t": 4}}')
    assert b"fence-token: 9\r\n" in scale
    assert scale.endswith(b'{"service": "lm", "zone": "a", "desired": 6, "spot": true}')


def test_each_status_has_its_outcome() -> None:
    """Guards against repeating a refused call, or taking a busy API's answer for a refusal."""
    api = Api()
    now_s = 1.0
    for status in (200, 409, 429, 400, 503):
        now_s += 5.0
        api.client.on_tick(now_s)
        assert not api.client.busy
        api.report()
        api.connections.answer(status)
    assert api.outcomes == [
        DutyOutcome.ACCEPTED,
        DutyOutcome.NONE_AVAILABLE,
        DutyOutcome.RATE_LIMITED,
        DutyOutcome.REJECTED,
        DutyOutcome.FAILED,
    ]


def test_calls_stay_below_the_rate() -> None:
    api = Api()
    api.report()
    api.connections.answer(200)
    assert api.client.busy
    api.client.on_tick(1.09)
    assert api.client.busy
    api.client.on_tick(1.11)
    assert not api.client.busy


def test_a_call_without_response_delays_calls_with_another_fencing_number() -> None:
    """Guards against a call that the API carries out after one with a higher number."""
    api = Api()
    api.report(7)
    timed_out_s = 1.0 + CALL_TIMEOUT_S
    api.client.on_tick(timed_out_s)
    assert api.outcomes == [DutyOutcome.FAILED]
    api.client.on_tick(timed_out_s + 0.2)
    assert not api.client.busy
    assert api.client.may_send(USAGE_PATH, 7)
    assert not api.client.may_send(USAGE_PATH, 8)
    assert api.client.may_send(SCALE_PATH, 8)
    api.client.on_tick(1.0 + UNANSWERED_CALL_S)
    assert api.client.may_send(USAGE_PATH, 8)


def test_an_idle_connection_is_not_used_again() -> None:
    """Guards against calls that are lost as the API closes the connection at the same moment."""
    api = Api()
    api.report()
    api.connections.answer(200)
    api.client.on_tick(4.0)
    api.report()
    assert len(api.connections.opened) == 2

"""Client of the platform's API for duties, which one host at a time carries out for the fleet.

One call at a time on one connection. The API neither checks the fencing tokens nor can be read, so
a call without a response counts as one that may still be carried out.
"""

import json
from collections.abc import Callable, Mapping
from enum import Enum
from typing import Final

import logbook
from attrs import define

from berylquay.call_verdicts import Verdict
from berylquay.decisions.fleet import Address
from berylquay.errors import TransportError
from berylquay.net.clocks import boot_clock_s
from berylquay.net.http_client import STATUS_OK
from berylquay.net.persistent_http import Headers, PersistentConnection, RawRequest, RawResponseHead
from berylquay.net.tcp_connections import TcpConnections
from berylquay.platform.wire_names import (
    DUTY_HOLDER,
    FENCE_TOKEN,
    SCALE_DESIRED,
    SCALE_PATH,
    SCALE_SERVICE,
    SCALE_SPOT,
    SCALE_ZONE,
    USAGE_COUNTS,
    USAGE_PATH,
    USAGE_WINDOW,
)

# Timeout of a call, with the time to connect.
CALL_TIMEOUT_S: Final = 1.0
# Time to connect after which a call is not sent any more. A host that was suspended while it
# connected would otherwise send the call long after its claim has ended.
CONNECT_TIMEOUT_S: Final = 0.5
# Time from the sending of a call without a response in which it may still be carried out; the
# operating system delivers it for up to `TCP_USER_TIMEOUT_MS`.
UNANSWERED_CALL_S: Final = 3.0
# Idle time after which a connection is not used again: the API may close it at any moment, and a
# call that is lost with it counts as one that may have been carried out.
MAX_IDLE_S: Final = 1.0
# Wait after the first failure in a row, doubled with each further one, and its upper limit.
MIN_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 1.0
STATUS_CONFLICT: Final = 409
STATUS_TOO_MANY_REQUESTS: Final = 429
STATUS_UNAVAILABLE: Final = 503
FIRST_CLIENT_ERROR: Final = 400
FIRST_SERVER_ERROR: Final = 500
_log = logbook.Logger("duties")


class DutyOutcome(Enum):
    """Outcome of a call."""

    ACCEPTED = "accepted"
    # Scaling: no server is available there now.
    NONE_AVAILABLE = "none_available"
    RATE_LIMITED = "rate_limited"
    # Refused for another reason, and not carried out at all.
    REJECTED = "rejected"
    # Server error, a status that states nothing, or no complete response: the call may have been
    # carried out, or may still be.
    FAILED = "failed"


@define(eq=False)
class _PendingCall:
    """The call in flight."""

    path: str
    fencing_number: int
    request: RawRequest
    # Time of the client's clock at which the call was begun.
    begun_s: float
    on_result: Callable[[DutyOutcome], None]
    is_sent: bool = False
    status: int = 0


class DutyClient:
    """Sends one call at a time to the API, at a limited rate."""

    _connections: TcpConnections
    _address: Address
    _call_interval_s: float
    _connection: PersistentConnection | None
    _call: _PendingCall | None
    # Monotonic clock that also runs while the host is suspended.
    _clock: Callable[[], float]
    # By path, the newest call that may still be carried out: fencing number, and time until which
    # that is so.
    _unanswered: dict[str, tuple[int, float]]
    # Monotonic time of the last tick, and before which no call is sent.
    _now_s: float
    _next_call_s: float
    _consecutive_failures: int

    def __init__(
        self,
        connections: TcpConnections,
        address: Address,
        calls_per_s: float,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self._connections = connections
        self._address = address
        self._clock = boot_clock_s if clock is None else clock
        self._call_interval_s = 1.0 / calls_per_s
        self._connection = None
        self._call = None
        self._unanswered = {}
        self._now_s = float("-inf")
        self._next_call_s = float("-inf")
        self._consecutive_failures = 0

    @property
    def busy(self) -> bool:
        """Tells whether no call can be sent now: one is in flight, or the next is not due yet."""
        return self._call is not None or self._now_s < self._next_call_s

    def may_send(self, path: str, fencing_number: int | None) -> bool:
        """Tells whether no older call with another fencing number may still be carried out.

        A call that is sent while it returns False could be carried out before such a call, whose
        lower fencing number would then come after the higher one.

        Args:
            path: `USAGE_PATH` or `SCALE_PATH`.
            fencing_number: Fencing number of the call to send; None for that of the next claim.
        """
        unanswered_number, until_s = self._unanswered.get(path, (fencing_number, 0.0))
        return unanswered_number == fencing_number or self._clock() >= until_s

    def on_tick(self, now_s: float) -> None:
        """Sends a call once its connection is established; fails one that takes too long."""
        self._now_s = now_s
        call = self._call
        if call is None:
            return
        elapsed_s = self._clock() - call.begun_s
        if elapsed_s >= CALL_TIMEOUT_S:
            self._fail("no answer in time", may_have_run=call.is_sent)
        elif not call.is_sent:
            self._send_if_connected(call, elapsed_s)

    def report_usage(
        self,
        holder: str,
        fencing_number: int,
        window_id: int,
        counts: Mapping[str, int],
        on_result: Callable[[DutyOutcome], None],
    ) -> None:
        """Reports the requests of each tenant in a window; only while not `busy`."""
        fields = {USAGE_WINDOW: window_id, USAGE_COUNTS: dict(counts)}
        self._send(USAGE_PATH, holder, fencing_number, fields, on_result)

    def order_servers(
        self,
        holder: str,
        fencing_number: int,
        pool: str,
        data_centre: str,
        count: int,
        *,
        spot: bool,
        on_result: Callable[[DutyOutcome], None],
    ) -> None:
        """Orders how many servers a pool has in a data centre; only while not `busy`."""
        fields: dict[str, object] = {
            SCALE_SERVICE: pool,
            SCALE_ZONE: data_centre,
            SCALE_DESIRED: count,
        }
        if spot:
            fields[SCALE_SPOT] = True
        self._send(SCALE_PATH, holder, fencing_number, fields, on_result)

    def on_response_head(self, head: RawResponseHead) -> None:
        """Stores the status."""
        if self._call is not None:
            self._call.status = head.status

    def on_response_data(self, data: bytes) -> None:
        """Does nothing: the status is the whole result."""

    def on_response_complete(self) -> None:
        """Passes on the outcome."""
        if self._call is None:
            return
        status = self._call.status
        outcome = _outcome_of(status)
        if outcome in (DutyOutcome.RATE_LIMITED, DutyOutcome.FAILED):
            self._back_off()
        else:
            self._consecutive_failures = 0
        if outcome is DutyOutcome.FAILED and status != STATUS_UNAVAILABLE:
            # A server behind the one that answered may still carry it out.
            self._keep_unanswered(self._call)
        self._finish(outcome, f"status {status}")

    def on_response_failed(self, error: TransportError) -> None:
        """Fails the call after the connection was lost."""
        self._fail(error.detail, may_have_run=error.verdict is Verdict.MAY_HAVE_RUN)

    def _send(
        self,
        path: str,
        holder: str,
        fencing_number: int,
        fields: Mapping[str, object],
        on_result: Callable[[DutyOutcome], None],
    ) -> None:
        body = json.dumps(fields).encode()
        headers: Headers = [
            (b"host", str(self._address).encode()),
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (DUTY_HOLDER, holder.encode()),
            (FENCE_TOKEN, str(fencing_number).encode()),
        ]
        request = RawRequest(b"POST", path.encode(), headers, body)
        self._call = _PendingCall(path, fencing_number, request, self._clock(), on_result)
        self._next_call_s = self._now_s + self._call_interval_s
        self._ensure_connection()
        self._send_if_connected(self._call, 0.0)

    def _send_if_connected(self, call: _PendingCall, elapsed_s: float) -> None:
        connection = self._connection
        if connection is None or connection.closed or elapsed_s >= CONNECT_TIMEOUT_S:
            self._fail("not connected", may_have_run=False)
        elif connection.connected:
            call.is_sent = True
            connection.start_request(call.request, self)

    def _ensure_connection(self) -> None:
        connection = self._connection
        if connection is not None and self._now_s - connection.idle_since_s > MAX_IDLE_S:
            connection.close()
        if connection is None or connection.closed:
            self._connection = PersistentConnection(
                self._address, self._on_idle, _ignore_connection_event, self._connections
            )

    def _on_idle(self, connection: PersistentConnection) -> None:
        connection.idle_since_s = self._now_s

    def _fail(self, detail: str, *, may_have_run: bool) -> None:
        """Ends the call without a response."""
        call = self._call
        if call is None:
            return
        if may_have_run:
            self._keep_unanswered(call)
        if self._connection is not None:
            # A connection whose response was abandoned can't carry another call.
            self._connection.close()
        self._back_off()
        self._finish(DutyOutcome.FAILED, detail)

    def _keep_unanswered(self, call: _PendingCall) -> None:
        self._unanswered[call.path] = (call.fencing_number, call.begun_s + UNANSWERED_CALL_S)

    def _back_off(self) -> None:
        delay_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0**self._consecutive_failures)
        self._consecutive_failures += 1
        self._next_call_s = self._now_s + max(self._call_interval_s, delay_s)

    def _finish(self, outcome: DutyOutcome, detail: str) -> None:
        call, self._call = self._call, None
        if call is None:
            return
        if outcome is not DutyOutcome.ACCEPTED:
            _log.info("duty call", path=call.path, outcome=outcome.value, detail=detail)
        call.on_result(outcome)


def _outcome_of(status: int) -> DutyOutcome:
    """Returns the outcome that a status states."""
    if status == STATUS_OK:
        return DutyOutcome.ACCEPTED
    if not FIRST_CLIENT_ERROR <= status < FIRST_SERVER_ERROR:
        return DutyOutcome.FAILED
    if status == STATUS_CONFLICT:
        return DutyOutcome.NONE_AVAILABLE
    if status == STATUS_TOO_MANY_REQUESTS:
        return DutyOutcome.RATE_LIMITED
    return DutyOutcome.REJECTED


def _ignore_connection_event(_connection: PersistentConnection) -> None:
    """Does nothing: the client tracks the state of its connection itself."""

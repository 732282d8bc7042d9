"""Legs: one send of a request to one backend server, and what comes back on it."""

from typing import Final, Protocol

from berylquay.decisions.attempt_outcomes import AttemptOutcome
from berylquay.decisions.backend_registry import BackendEntry
from berylquay.errors import TransportError
from berylquay.net.kept_http import KeptConnection, RawHead, RawRequest
from berylquay.platform.names import ATTEMPT_ID
from berylquay.platform.requests import is_other_server, says_not_run
from berylquay.verdicts import Verdict

# Time in which a connection is established, two lost packets not counted.
CONNECT_TIMEOUT_S: Final = 0.45
FIRST_SERVER_ERROR: Final = 500


class LegUser(Protocol):
    """Hears of a leg."""

    def on_leg_head(self, leg: "Leg", head: RawHead) -> None:
        """Called with the head of an answer that the backend server stands by."""

    def on_leg_data(self, leg: "Leg", data: bytes) -> None:
        """Called with each piece of that answer's body."""

    def on_leg_whole(self, leg: "Leg") -> None:
        """Called when that answer is whole."""

    def on_leg_failed(self, leg: "Leg", end: AttemptOutcome, detail: str) -> None:
        """Called when the attempt has ended without such an answer."""


class Leg:
    """Watches one send; the answer's failures are told apart by what they say of the request."""

    backend: BackendEntry
    # Monotonic time at which the leg began.
    started_s: float
    # Head of the answer, once it has come.
    head: RawHead | None
    # Whether the leg has ended or was given up.
    ended: bool
    _user: LegUser
    _connection: KeptConnection
    # What the answer's head says, if it is a failure.
    _end: AttemptOutcome | None

    def __init__(
        self,
        user: LegUser,
        backend: BackendEntry,
        connection: KeptConnection,
        request: RawRequest,
        *,
        call_id: str,
        now_s: float,
    ) -> None:
        self.backend = backend
        self.started_s = now_s
        self.head = None
        self.ended = False
        self._user = user
        self._connection = connection
        self._end = None
        connection.start(request, self, ATTEMPT_ID if call_id else b"", call_id.encode("latin-1"))

    @property
    def may_have_run(self) -> bool:
        """Tells whether the backend server may have begun to run what was sent."""
        return self._end is None and self._connection.verdict is Verdict.MAY_HAVE_RUN

    def is_stuck_connecting(self, now_s: float) -> bool:
        """Tells whether the connection takes too long to be established."""
        waits = not self.ended and not self._connection.connected
        return waits and now_s - self.started_s > CONNECT_TIMEOUT_S

    def cancel(self) -> None:
        """Closes the connection, at which the backend server stops; the user hears no more."""
        if not self.ended:
            self.ended = True
            self._connection.close()

    def hold_back(self, held: bool) -> None:
        """Stops reading the answer, or reads on."""
        if not self.ended:
            self._connection.hold_back(held)

    def on_answer_head(self, head: RawHead) -> None:
        """Takes the head of the answer."""
        self.head = head
        if is_other_server(head):
            self._end = AttemptOutcome.WRONG_SERVER
        elif says_not_run(head):
            self._end = AttemptOutcome.REJECTED
        elif not self.ended:
            self._user.on_leg_head(self, head)

    def on_answer_data(self, data: bytes) -> None:
        """Takes a piece of the body."""
        if self._end is None and not self.ended:
            self._user.on_leg_data(self, data)

    def on_answer_end(self) -> None:
        """Takes the end of the answer."""
        if self.ended:
            return
        self.ended = True
        if self._end is None:
            self._user.on_leg_whole(self)
        else:
            status = 0 if self.head is None else self.head.status
            self._user.on_leg_failed(self, self._end, f"status {status}")

    def on_answer_broken(self, error: TransportError) -> None:
        """Takes the early end of the answer."""
        if self.ended:
            return
        self.ended = True
        end = self._end
        if end is None:
            sent = error.verdict is Verdict.MAY_HAVE_RUN
            end = AttemptOutcome.CONNECTION_LOST if sent else AttemptOutcome.NOT_SENT
        self._user.on_leg_failed(self, end, error.detail)

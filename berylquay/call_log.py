"""Call log: one JSON line per finished call, with the ids needed to trace it."""

import time

import logbook
from attrs import define, field
from circuits import BaseComponent, handler

from berylquay.call_verdicts import Verdict
from berylquay.component_messages import (
    AttemptRequested,
    CallCompleted,
    CallerGone,
    CallReceived,
    CallRefused,
    ConfigurationInForce,
)
from berylquay.decisions.calls import Call
from berylquay.net.message_bus import BUS

_log = logbook.Logger("calls")


@define
class _OpenCall:
    """Data collected about an open call for its log line."""

    call: Call
    # Configuration revision in force when the call was received.
    revision: int
    # Attempt id and backend server name of each attempt, in order.
    attempts: list[tuple[str, str]] = field(factory=list)


class CallLog(BaseComponent):
    """Logs the outcome of each call."""

    channel = BUS

    # Open calls by call id.
    _open_calls: dict[str, _OpenCall]
    # Configuration revision in force.
    _revision: int

    def __init__(self) -> None:
        super().__init__()
        self._open_calls = {}
        self._revision = 0

    @handler("ConfigurationInForce")
    def _on_configuration(self, message: ConfigurationInForce) -> None:
        self._revision = message.configuration.revision

    @handler("CallReceived")
    def _on_received(self, message: CallReceived) -> None:
        self._open_calls[message.call.call_id] = _OpenCall(message.call, self._revision)

    @handler("AttemptRequested")
    def _on_attempt(self, message: AttemptRequested) -> None:
        attempt = message.attempt
        open_call = self._open_calls.get(attempt.call.call_id)
        if open_call is not None:
            open_call.attempts.append((attempt.attempt_id, attempt.backend))

    @handler("CallCompleted")
    def _on_completed(self, message: CallCompleted) -> None:
        self._log_ended(message.call_id, Verdict.COMPLETED.value, "", "")

    @handler("CallRefused")
    def _on_refused(self, message: CallRefused) -> None:
        refusal = message.refusal
        self._log_ended(
            message.call_id, refusal.verdict.value, refusal.reason.value, refusal.detail
        )

    @handler("CallerGone")
    def _on_caller_gone(self, message: CallerGone) -> None:
        self._log_ended(message.call_id, "", "caller-gone", "")

    def _log_ended(self, call_id: str, verdict: str, reason: str, detail: str) -> None:
        open_call = self._open_calls.pop(call_id, None)
        if open_call is None:
            return
        call = open_call.call
        _log.info(
            "call ended",
            request_id=call.request_id,
            tenant=call.tenant,
            request_class=call.class_spec.name,
            fingerprint=call.fingerprint,
            attempts=open_call.attempts,
            verdict=verdict,
            reason=reason,
            detail=detail,
            revision=open_call.revision,
            took_ms=round((time.monotonic() - call.received_s) * 1000.0, 1),
        )

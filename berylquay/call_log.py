"""The log of calls: one JSON line for each final answer, with what is needed to follow it up."""

import time

import logbook
from attrs import define, field
from circuits import BaseComponent, handler

from berylquay.decisions.calls import Call
from berylquay.messages import (
    AttemptRequested,
    CallCompleted,
    CallerGone,
    CallReceived,
    CallRefused,
    ConfigurationInForce,
)
from berylquay.net.bus import BUS
from berylquay.verdicts import Verdict

_log = logbook.Logger("calls")


@define
class _Trace:
    """What is known of an open call."""

    call: Call
    # Configuration revision at the call's receipt.
    revision: int
    # Id and backend server of each attempt, in order.
    attempts: list[tuple[str, str]] = field(factory=list)


class CallLog(BaseComponent):
    """Watches the messages of calls and logs how each ended."""

    channel = BUS

    # Open calls by call id.
    _traces: dict[str, _Trace]
    # Revision in force.
    _revision: int

    def __init__(self) -> None:
        super().__init__()
        self._traces = {}
        self._revision = 0

    @handler("ConfigurationInForce")
    def _on_configuration(self, message: ConfigurationInForce) -> None:
        self._revision = message.configuration.revision

    @handler("CallReceived")
    def _on_received(self, message: CallReceived) -> None:
        self._traces[message.call.call_id] = _Trace(message.call, self._revision)

    @handler("AttemptRequested")
    def _on_attempt(self, message: AttemptRequested) -> None:
        attempt = message.attempt
        trace = self._traces.get(attempt.call.call_id)
        if trace is not None:
            trace.attempts.append((attempt.attempt_id, attempt.backend))

    @handler("CallCompleted")
    def _on_completed(self, message: CallCompleted) -> None:
        self._end(message.call_id, Verdict.COMPLETED.value, "", "")

    @handler("CallRefused")
    def _on_refused(self, message: CallRefused) -> None:
        refusal = message.refusal
        self._end(message.call_id, refusal.verdict.value, refusal.reason.value, refusal.detail)

    @handler("CallerGone")
    def _on_caller_gone(self, message: CallerGone) -> None:
        self._end(message.call_id, "", "caller-gone", "")

    def _end(self, call_id: str, verdict: str, reason: str, detail: str) -> None:
        trace = self._traces.pop(call_id, None)
        if trace is None:
            return
        call = trace.call
        _log.info(
            "call ended",
            request_id=call.request_id,
            tenant=call.tenant,
            request_class=call.class_spec.name,
            fingerprint=call.fingerprint,
            attempts=trace.attempts,
            verdict=verdict,
            reason=reason,
            detail=detail,
            revision=trace.revision,
            took_ms=round((time.monotonic() - call.received_s) * 1000.0, 1),
        )

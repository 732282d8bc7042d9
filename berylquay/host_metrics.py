"""Prometheus metrics: latency histograms and outcome counters per tenant and class."""

import time
from typing import Final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render
from attrs import define
from circuits import BaseComponent, handler

from berylquay.call_verdicts import Verdict
from berylquay.component_messages import (
    AttemptRequested,
    CallCompleted,
    CallerGone,
    CallReceived,
    CallRefused,
    ConfigurationInForce,
    TokensForCaller,
    TokensForCallers,
)
from berylquay.decisions.calls import Call
from berylquay.net.message_bus import BUS

LATENCY_BUCKETS_S: Final = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 60.0)
TOKEN_GAP_BUCKETS_S: Final = (0.005, 0.01, 0.02, 0.03, 0.045, 0.06, 0.1, 0.25, 1.0, 5.0)


@define
class _CallTiming:
    """Times of one open call, from which its latencies are computed."""

    call: Call
    labels: dict[str, str]
    # Whether no attempt has been started yet.
    queued: bool = True
    # Monotonic time of the last tokens, or None before the first token.
    last_token_s: float | None = None


class HostMetrics(BaseComponent):
    """Updates the metrics from the messages about calls."""

    channel = BUS

    # Registry of all metrics of the process.
    registry: Registry
    # Times of open calls by call id.
    _call_timings: dict[str, _CallTiming]

    def __init__(self) -> None:
        super().__init__()
        self.registry = Registry()
        self._call_timings = {}
        self._queue_time = self._make_histogram(
            "queue_time_seconds", "From receipt to first attempt"
        )
        self._first_token = self._make_histogram(
            "first_token_seconds", "From receipt to first token"
        )
        self._token_gap = self._make_histogram(
            "token_gap_seconds", "Between tokens of an answer", TOKEN_GAP_BUCKETS_S
        )
        self._total_time = self._make_histogram(
            "request_seconds", "From receipt to the final answer"
        )
        self._outcomes = Counter(
            "berylquay_requests_total",
            "Final answers by verdict and reason",
            registry=self.registry,
        )
        self._revision = Gauge(
            "berylquay_configuration_revision", "Revision in force", registry=self.registry
        )
        self._open_calls = Gauge(
            "berylquay_open_requests", "Requests without a final answer", registry=self.registry
        )

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        self._open_calls.set({}, len(self._call_timings))
        content, _headers = render(self.registry, ["text/plain"])
        return content

    def _make_histogram(
        self, name: str, description: str, buckets: tuple[float, ...] = LATENCY_BUCKETS_S
    ) -> Histogram:
        full_name = f"berylquay_{name}"
        return Histogram(full_name, description, registry=self.registry, buckets=list(buckets))

    @handler("CallReceived")
    def _on_received(self, message: CallReceived) -> None:
        call = message.call
        labels = {"tenant": call.tenant, "class": call.class_spec.name}
        self._call_timings[call.call_id] = _CallTiming(call, labels)

    @handler("AttemptRequested")
    def _on_attempt(self, message: AttemptRequested) -> None:
        timing = self._call_timings.get(message.attempt.call.call_id)
        if timing is not None and timing.queued:
            timing.queued = False
            self._queue_time.add(timing.labels, time.monotonic() - timing.call.received_s)

    @handler("TokensForCallers")
    def _on_tokens(self, message: TokensForCallers) -> None:
        now_s = time.monotonic()
        for tokens in message.batch:
            self._observe_tokens(tokens, now_s)

    def _observe_tokens(self, tokens: TokensForCaller, now_s: float) -> None:
        timing = self._call_timings.get(tokens.call_id)
        if timing is None:
            return
        if timing.last_token_s is None:
            self._first_token.add(timing.labels, now_s - timing.call.received_s)
        else:
            self._token_gap.add(timing.labels, now_s - timing.last_token_s)
        timing.last_token_s = now_s

    @handler("CallCompleted")
    def _on_completed(self, message: CallCompleted) -> None:
        self._observe_end(message.call_id, Verdict.COMPLETED.value, "")

    @handler("CallRefused")
    def _on_refused(self, message: CallRefused) -> None:
        refusal = message.refusal
        self._observe_end(message.call_id, refusal.verdict.value, refusal.reason.value)

    @handler("CallerGone")
    def _on_caller_gone(self, message: CallerGone) -> None:
        self._observe_end(message.call_id, "caller-gone", "")

    @handler("ConfigurationInForce")
    def _on_configuration(self, message: ConfigurationInForce) -> None:
        self._revision.set({}, message.configuration.revision)

    def _observe_end(self, call_id: str, verdict: str, reason: str) -> None:
        timing = self._call_timings.pop(call_id, None)
        if timing is None:
            return
        self._total_time.add(timing.labels, time.monotonic() - timing.call.received_s)
        self._outcomes.inc({**timing.labels, "verdict": verdict, "reason": reason})

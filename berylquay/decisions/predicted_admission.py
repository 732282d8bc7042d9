"""The admission policy in use: admits what will be in time, by class, share and promise.

A call is judged by the predicted wait on the server that routing chose for it. The wait that is
allowed is longer for a tenant under its share and for a caller who comes back when told to, so that
these are still admitted while others are refused.
"""

from attrs import define, frozen

from berylquay.decisions.calls import Call
from berylquay.decisions.deployment import Deployment
from berylquay.decisions.latency_prediction import LatencyPredictor
from berylquay.decisions.prediction_correction import PredictionCorrection
from berylquay.decisions.routing import Candidate
from berylquay.decisions.tenant_shares import TenantShares
from berylquay.verdicts import Refusal, RefusalReason, Verdict


@frozen
class AdmissionLimits:
    """Bounds by which calls are admitted."""

    # Longest backlog that a call of a tenant over its share may join, whatever its priority.
    max_backlog_s: float = 3.5
    # Part of the class's deadline that may pass before the prefill starts, by priority.
    max_wait_deadline_fraction: float = 0.15
    # Factor on both waits for a tenant that is under its share.
    under_share_factor: float = 5
    # Factor on both waits for a tenant whose work is above so many times its share.
    excess_use_factor: float = 0.12
    excess_use_threshold: float = 1.75
    # Factor on both waits for a caller who comes back as told.
    retry_after_factor: float = 15
    # Factor on predicted times before anything was learned about the engines.
    initial_correction_factor: float = 1.0
    # Part of the time to the deadline that the predicted answer may take.
    deadline_fraction: float = 0.9
    # Part of the capacity that is promised to callers who are told to come back.
    reserved_capacity_fraction: float = 0.35
    # Shortest and longest time after which a caller is told to come back.
    min_retry_after_s: float = 1.0
    max_retry_after_s: float = 600.0


@define
class _Prediction:
    """What was predicted for an open call, without corrections."""

    sent_s: float
    time_to_first_token_s: float
    time_per_output_token_s: float
    # When its first token came, or None.
    first_token_at_s: float | None = None


class PredictedAdmission:
    """Admits by the predicted time to first token and to the last, by share and promise."""

    # Predicts waits.
    _predictor: LatencyPredictor
    # Bounds by which calls are admitted.
    _limits: AdmissionLimits
    # Work per second that this host may ask of the engines, in engine seconds.
    _capacity: float
    # Recent work of each tenant.
    _shares: TenantShares
    # Factors by which first tokens and the others are off their predictions.
    _first_token_correction: PredictionCorrection
    _token_correction: PredictionCorrection
    # Prediction for the call that was asked about last, and those of the open calls.
    _last_prediction: "_Prediction | None"
    _predictions: dict[str, "_Prediction"]
    # Time up to which the promised part of the capacity is given away.
    _reserved_until_s: float

    def __init__(
        self,
        deployment: Deployment,
        predictor: LatencyPredictor,
        capacity: float,
        limits: AdmissionLimits | None = None,
    ) -> None:
        self._predictor = predictor
        self._limits = limits or AdmissionLimits()
        self._capacity = capacity
        self._shares = TenantShares(deployment.tenants)
        self._first_token_correction = PredictionCorrection(self._limits.initial_correction_factor)
        self._token_correction = PredictionCorrection(self._limits.initial_correction_factor)
        self._last_prediction = None
        self._predictions = {}
        self._reserved_until_s = 0.0

    def set_capacity(self, capacity: float) -> None:
        """Takes the work per second that this host may ask of the engines from now on."""
        self._capacity = capacity

    def check_admission(
        self,
        call: Call,
        chosen: Candidate,
        now_s: float,
        honoured_retry_after: bool = False,
        decode_engine: Candidate | None = None,
    ) -> Refusal | None:
        """Returns None to admit the call, or the refusal to give at once."""
        if not call.is_generation:
            return None
        decode_candidate = decode_engine or chosen
        batch_wait_s = self._predictor.batch_wait_s(
            decode_candidate, call.class_spec.expected_output_tokens
        )
        # First tokens late by the priority of others must not make every backlog look longer.
        prefill_correction = min(1.0, self._first_token_correction.factor(now_s))
        prefill_s = self._predictor.prefill_s(chosen, call.prompt_tokens)
        prefill_wait_s = self._predictor.prefill_wait_s(chosen, now_s, call.class_spec.priority)
        token_s = self._predictor.token_s(decode_candidate)
        backlog_s = (
            self._predictor.prefill_wait_s(chosen, now_s) * prefill_correction + batch_wait_s
        )
        wait_s = prefill_wait_s * prefill_correction + batch_wait_s
        answer_s = wait_s + prefill_s * prefill_correction
        output_tokens = min(call.class_spec.expected_output_tokens, call.max_output_tokens)
        answer_s += output_tokens * token_s * self._token_correction.factor(now_s)
        self._last_prediction = _Prediction(now_s, prefill_wait_s + prefill_s, token_s)
        if answer_s > (call.deadline_s - now_s) * self._limits.deadline_fraction:
            late = RefusalReason.DEADLINE
            return self._refuse(call, late, "too late to be worth it", now_s, backlog_s)
        wait_factor = self._wait_factor(call, now_s, honoured_retry_after)
        wait_too_long = (
            wait_s
            > wait_factor * self._limits.max_wait_deadline_fraction * call.class_spec.deadline_s
        )
        if wait_too_long or backlog_s > wait_factor * self._limits.max_backlog_s:
            busy = RefusalReason.OVERLOADED
            return self._refuse(call, busy, "engines are busy", now_s, backlog_s)
        return None

    def on_started(self, call: Call, now_s: float) -> None:
        """Counts the call's work for its tenant."""
        self._shares.add_work(call.tenant, self._work_s(call), now_s)
        if self._last_prediction is not None:
            self._predictions[call.call_id] = self._last_prediction

    def on_first_token(self, call: Call, now_s: float) -> None:
        """Learns how far the first token was from what was predicted."""
        prediction = self._predictions.get(call.call_id)
        if prediction is None:
            return
        self._first_token_correction.observe(
            prediction.time_to_first_token_s, now_s - prediction.sent_s, now_s
        )
        prediction.first_token_at_s = now_s

    def on_ended(self, call: Call, output_tokens: int, now_s: float) -> None:
        """Learns how far the following tokens were from what was predicted."""
        prediction = self._predictions.pop(call.call_id, None)
        if prediction is None or prediction.first_token_at_s is None or output_tokens <= 1:
            return
        time_per_output_token_s = (now_s - prediction.first_token_at_s) / (output_tokens - 1)
        self._token_correction.observe(
            prediction.time_per_output_token_s, time_per_output_token_s, now_s
        )

    def _wait_factor(self, call: Call, now_s: float, returning: bool) -> float:
        """Returns the factor on the waits that the call may have."""
        if returning:
            return self._limits.retry_after_factor
        usage_ratio = self._shares.usage_ratio(call.tenant, now_s)
        if usage_ratio <= 1.0:
            return self._limits.under_share_factor
        return (
            self._limits.excess_use_factor
            if usage_ratio > self._limits.excess_use_threshold
            else 1.0
        )

    def _refuse(
        self, call: Call, reason: RefusalReason, detail: str, now_s: float, backlog_s: float
    ) -> Refusal:
        return Refusal(
            reason, Verdict.NOT_RUN, detail, self._reserve_retry_slot(call, now_s, backlog_s)
        )

    def _reserve_retry_slot(self, call: Call, now_s: float, backlog_s: float) -> float:
        """Returns after how long the caller will be admitted, and gives that time away."""
        reserved_capacity = self._capacity * self._limits.reserved_capacity_fraction
        earliest_s = now_s + max(self._limits.min_retry_after_s, backlog_s)
        slot_start_s = max(self._reserved_until_s, earliest_s)
        self._reserved_until_s = slot_start_s + self._work_s(call) / reserved_capacity
        return min(slot_start_s - now_s, self._limits.max_retry_after_s)

    def _work_s(self, call: Call) -> float:
        speed = self._predictor.speed
        return speed.work_s(call.prompt_tokens, call.class_spec.expected_output_tokens)

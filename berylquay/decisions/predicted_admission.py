"""Admission by predicted latency, the admission policy in use.

A call is admitted if its predicted wait on the server that routing chose is short enough and its
answer is predicted to meet the deadline. The permitted wait is longer for a tenant that is under
its share and for a caller that honoured a retry-after time, so that these are still admitted while
others are refused.
"""

from attrs import define, frozen

from berylquay.call_verdicts import Refusal, RefusalReason, Verdict
from berylquay.decisions.calls import Call
from berylquay.decisions.deployment import Deployment
from berylquay.decisions.latency_prediction import LatencyPredictor
from berylquay.decisions.prediction_correction import PredictionCorrection
from berylquay.decisions.routing import Candidate
from berylquay.decisions.tenants.shares import TenantShares


@frozen
class AdmissionLimits:
    """Limits by which calls are admitted."""

    # Longest backlog, of all priorities, that a call of a tenant over its share may join.
    max_backlog_s: float = 3.5
    # Fraction of the class's deadline that a call may wait before its prefill starts. Prefill work
    # of lower priority does not count.
    max_wait_deadline_fraction: float = 0.15
    # Factor on both limits for a tenant that is under its share.
    under_share_factor: float = 5
    # Factor on both limits for a tenant whose recent work exceeds the threshold, as a multiple of
    # its share.
    excess_use_factor: float = 0.12
    excess_use_threshold: float = 1.75
    # Factor on both limits for a caller that honoured a retry-after time.
    retry_after_factor: float = 15
    # Factor on predicted times before any times were observed.
    initial_correction_factor: float = 1.0
    # Fraction of the time left to the deadline that the predicted answer may take.
    deadline_fraction: float = 0.9
    # Fraction of the capacity that is reserved for refused callers at their retry-after times.
    reserved_capacity_fraction: float = 0.35
    # Shortest and longest retry-after time in a refusal.
    min_retry_after_s: float = 1.0
    max_retry_after_s: float = 600.0


@define
class _Prediction:
    """Uncorrected predictions for a call."""

    # Time of the admission check, just before the call is sent.
    checked_s: float
    time_to_first_token_s: float
    time_per_output_token_s: float
    # Time at which the first token arrived, or None.
    first_token_at_s: float | None = None


class PredictedAdmission:
    """Admits calls by predicted wait and completion time, tenant share and retry-after time."""

    # Predicts waiting and execution times.
    _predictor: LatencyPredictor
    # Limits by which calls are admitted.
    _limits: AdmissionLimits
    # Work that this host may send to the engines, in engine seconds per second.
    _capacity: float
    # Recent work of each tenant, relative to its share.
    _shares: TenantShares
    # Learned ratios of observed to predicted times, for the first token and for the following ones.
    _first_token_correction: PredictionCorrection
    _token_correction: PredictionCorrection
    # Prediction for the call that was checked last, and predictions of started calls by call id.
    _last_prediction: "_Prediction | None"
    _predictions: dict[str, "_Prediction"]
    # Time up to which the reserved capacity is already assigned to refused callers.
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
        """Sets the work that this host may send to the engines, in engine seconds per second."""
        self._capacity = capacity

    def check_admission(
        self,
        call: Call,
        chosen: Candidate,
        now_s: float,
        honoured_retry_after: bool = False,
        decode_engine: Candidate | None = None,
    ) -> Refusal | None:
        """Returns None to admit the call, or the refusal to answer with."""
        if not call.is_generation:
            return None
        decode_candidate = decode_engine or chosen
        batch_wait_s = self._predictor.batch_wait_s(
            decode_candidate, call.class_spec.expected_output_tokens
        )
        # First tokens that are late because other calls have priority must not make every backlog
        # look longer, so the correction only shortens times.
        prefill_correction = min(1.0, self._first_token_correction.factor(now_s))
        prefill_s = self._predictor.prefill_s(chosen, call.prompt_tokens)
        prefill_wait_s = self._predictor.prefill_wait_s(chosen, now_s, call.class_spec.priority)
        token_s = self._predictor.token_s(decode_candidate)
        backlog_s = (
            self._predictor.prefill_wait_s(chosen, now_s) * prefill_correction + batch_wait_s
        )
        wait_s = prefill_wait_s * prefill_correction + batch_wait_s
        completion_s = wait_s + prefill_s * prefill_correction
        output_tokens = min(call.class_spec.expected_output_tokens, call.max_output_tokens)
        completion_s += output_tokens * token_s * self._token_correction.factor(now_s)
        self._last_prediction = _Prediction(now_s, prefill_wait_s + prefill_s, token_s)
        if completion_s > (call.deadline_s - now_s) * self._limits.deadline_fraction:
            deadline = RefusalReason.DEADLINE
            return self._refuse(call, deadline, "too late to be worth it", now_s, backlog_s)
        wait_factor = self._wait_factor(call, now_s, honoured_retry_after)
        wait_too_long = (
            wait_s
            > wait_factor * self._limits.max_wait_deadline_fraction * call.class_spec.deadline_s
        )
        if wait_too_long or backlog_s > wait_factor * self._limits.max_backlog_s:
            overloaded = RefusalReason.OVERLOADED
            return self._refuse(call, overloaded, "engines are busy", now_s, backlog_s)
        return None

    def on_started(self, call: Call, now_s: float) -> None:
        """Adds the call's expected work to its tenant's use and keeps its prediction."""
        self._shares.add_work(call.tenant, self._work_s(call), now_s)
        if self._last_prediction is not None:
            self._predictions[call.call_id] = self._last_prediction

    def on_first_token(self, call: Call, now_s: float) -> None:
        """Updates the correction of predicted times to first token."""
        prediction = self._predictions.get(call.call_id)
        if prediction is None:
            return
        self._first_token_correction.observe(
            prediction.time_to_first_token_s, now_s - prediction.checked_s, now_s
        )
        prediction.first_token_at_s = now_s

    def on_ended(self, call: Call, output_tokens: int, now_s: float) -> None:
        """Updates the learned correction factor of predicted times per output token.

        A call without a prediction or with fewer than two output tokens is ignored.
        """
        prediction = self._predictions.pop(call.call_id, None)
        if prediction is None or prediction.first_token_at_s is None or output_tokens <= 1:
            return
        time_per_output_token_s = (now_s - prediction.first_token_at_s) / (output_tokens - 1)
        self._token_correction.observe(
            prediction.time_per_output_token_s, time_per_output_token_s, now_s
        )

    def _wait_factor(self, call: Call, now_s: float, honoured_retry_after: bool) -> float:
        """Returns the factor on the permitted wait and backlog of the call."""
        if honoured_retry_after:
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
        """Returns the retry-after time for a refused call and reserves capacity for its retry."""
        reserved_capacity = self._capacity * self._limits.reserved_capacity_fraction
        earliest_s = now_s + max(self._limits.min_retry_after_s, backlog_s)
        slot_start_s = max(self._reserved_until_s, earliest_s)
        self._reserved_until_s = slot_start_s + self._work_s(call) / reserved_capacity
        return min(slot_start_s - now_s, self._limits.max_retry_after_s)

    def _work_s(self, call: Call) -> float:
        speed = self._predictor.speed
        return speed.work_s(call.prompt_tokens, call.class_spec.expected_output_tokens)

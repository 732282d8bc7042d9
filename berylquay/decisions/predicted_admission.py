"""The admission policy in use: admits what will be in time, by class, share and promise.

A call is judged by the predicted wait on the server that routing chose for it. The wait that is
allowed is longer for a tenant under its share and for a caller who comes back when told to, so that
these are still admitted while others are refused.
"""

from attrs import frozen

from berylquay.decisions.calls import Call
from berylquay.decisions.deployment import Deployment
from berylquay.decisions.predictions import Predictor
from berylquay.decisions.routing import Candidate
from berylquay.decisions.shares import TenantShares
from berylquay.verdicts import Refusal, RefusalReason, Verdict


@frozen
class AdmissionLimits:
    """Bounds by which calls are admitted."""

    # Longest backlog that a call of a tenant over its share may join, whatever its priority.
    backlog_s: float = 2
    # Part of the class's deadline that may pass before the prefill starts, by priority.
    wait_part: float = 0.15
    # Factor on both waits for a tenant that is under its share.
    under_share: float = 5
    # Factor on both waits for a tenant whose work is above so many times its share.
    flooding: float = 0.3
    flood_use: float = 1.3
    # Factor on both waits for a caller who comes back as told.
    returning: float = 15
    # Part of the time to the deadline that the predicted answer may take.
    deadline_part: float = 0.9
    # Part of the capacity that is promised to callers who are told to come back.
    promised_part: float = 0.35
    # Shortest and longest time after which a caller is told to come back.
    min_retry_after_s: float = 1.0
    max_retry_after_s: float = 600.0


class PredictedAdmission:
    """Admits by the predicted time to first token and to the last, by share and promise."""

    # Predicts waits.
    _predictor: Predictor
    # Bounds by which calls are admitted.
    _limits: AdmissionLimits
    # Work per second that this host may ask of the engines, in engine seconds.
    _capacity: float
    # Recent work of each tenant.
    _shares: TenantShares
    # Time up to which the promised part of the capacity is given away.
    _promised_until_s: float

    def __init__(
        self,
        deployment: Deployment,
        predictor: Predictor,
        capacity: float,
        limits: AdmissionLimits | None = None,
    ) -> None:
        self._predictor = predictor
        self._limits = limits or AdmissionLimits()
        self._capacity = capacity
        self._shares = TenantShares(deployment.tenants)
        self._promised_until_s = 0.0

    def refusal_of(
        self,
        call: Call,
        chosen: Candidate,
        now_s: float,
        returning: bool = False,
        decoder: Candidate | None = None,
    ) -> Refusal | None:
        """Returns None to admit the call, or the refusal to give at once."""
        if not call.is_generation:
            return None
        sequences = decoder or chosen
        batch_wait_s = self._predictor.batch_wait_s(sequences, call.spec.expected_output_tokens)
        backlog_s = self._predictor.prefill_wait_s(chosen, now_s) + batch_wait_s
        wait_s = self._predictor.prefill_wait_s(chosen, now_s, call.spec.priority) + batch_wait_s
        answer_s = wait_s + self._predictor.prefill_s(chosen, call.prompt_tokens)
        answer_s += call.spec.expected_output_tokens * self._predictor.token_s(sequences)
        if answer_s > (call.deadline_s - now_s) * self._limits.deadline_part:
            late = RefusalReason.DEADLINE
            return self._refuse(call, late, "too late to be worth it", now_s, backlog_s)
        factor = self._patience(call, now_s, returning)
        too_long = wait_s > factor * self._limits.wait_part * call.spec.deadline_s
        if too_long or backlog_s > factor * self._limits.backlog_s:
            busy = RefusalReason.OVERLOADED
            return self._refuse(call, busy, "engines are busy", now_s, backlog_s)
        return None

    def on_started(self, call: Call, now_s: float) -> None:
        """Counts the call's work for its tenant."""
        self._shares.add(call.tenant, self._work_s(call), now_s)

    def on_first_token(self, call: Call, now_s: float) -> None:
        """Does nothing."""

    def on_ended(self, call: Call, output_tokens: int, now_s: float) -> None:
        """Does nothing."""

    def _patience(self, call: Call, now_s: float, returning: bool) -> float:
        """Returns the factor on the waits that the call may have."""
        if returning:
            return self._limits.returning
        use = self._shares.use_of(call.tenant, now_s)
        if use <= 1.0:
            return self._limits.under_share
        return self._limits.flooding if use > self._limits.flood_use else 1.0

    def _refuse(
        self, call: Call, reason: RefusalReason, detail: str, now_s: float, backlog_s: float
    ) -> Refusal:
        return Refusal(reason, Verdict.NOT_RUN, detail, self._promise(call, now_s, backlog_s))

    def _promise(self, call: Call, now_s: float, backlog_s: float) -> float:
        """Returns after how long the caller will be admitted, and gives that time away."""
        rate = self._capacity * self._limits.promised_part
        earliest_s = now_s + max(self._limits.min_retry_after_s, backlog_s)
        begin_s = max(self._promised_until_s, earliest_s)
        self._promised_until_s = begin_s + self._work_s(call) / rate
        return min(begin_s - now_s, self._limits.max_retry_after_s)

    def _work_s(self, call: Call) -> float:
        speed = self._predictor.speed
        return speed.work_s(call.prompt_tokens, call.spec.expected_output_tokens)

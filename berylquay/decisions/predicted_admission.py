"""The admission policy in use: admits what will be in time, by class, share and promise.

A call is judged by the predicted wait on the server that routing chose for it. The wait that is
allowed is longer for a tenant under its share and for a caller who comes back when told to, so that
these are still admitted while others are refused.
"""

from attrs import define, frozen

from berylquay.decisions.calls import Call
from berylquay.decisions.corrections import Correction
from berylquay.decisions.deployment import Deployment
from berylquay.decisions.predictions import Predictor
from berylquay.decisions.routing import Candidate
from berylquay.decisions.shares import TenantShares
from berylquay.verdicts import Refusal, RefusalReason, Verdict


@frozen
class AdmissionLimits:
    """Bounds by which calls are admitted."""

    # Longest backlog that a call of a tenant over its share may join, whatever its priority.
    backlog_s: float = 3.5
    # Part of the class's deadline that may pass before the prefill starts, by priority.
    wait_part: float = 0.15
    # Factor on both waits for a tenant that is under its share.
    under_share: float = 5
    # Factor on both waits for a tenant whose work is above so many times its share.
    flooding: float = 0.12
    flood_use: float = 1.75
    # Factor on both waits for a caller who comes back as told.
    returning: float = 15
    # Factor on predicted times before anything was learned about the engines.
    first_factor: float = 1.0
    # Part of the time to the deadline that the predicted answer may take.
    deadline_part: float = 0.9
    # Part of the capacity that is promised to callers who are told to come back.
    promised_part: float = 0.35
    # Shortest and longest time after which a caller is told to come back.
    min_retry_after_s: float = 1.0
    max_retry_after_s: float = 600.0


@define
class _Outlook:
    """What was predicted for an open call, without corrections."""

    sent_s: float
    first_token_s: float
    token_s: float
    # When its first token came, or None.
    begun_s: float | None = None


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
    # Factors by which first tokens and the others are off their predictions.
    _first_token: Correction
    _tokens: Correction
    # Prediction for the call that was asked about last, and those of the open calls.
    _predicted: "_Outlook | None"
    _outlooks: dict[str, "_Outlook"]
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
        self._first_token = Correction(self._limits.first_factor)
        self._tokens = Correction(self._limits.first_factor)
        self._predicted = None
        self._outlooks = {}
        self._promised_until_s = 0.0

    def set_capacity(self, capacity: float) -> None:
        """Takes the work per second that this host may ask of the engines from now on."""
        self._capacity = capacity

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
        # First tokens late by the priority of others must not make every backlog look longer.
        factor = min(1.0, self._first_token.factor(now_s))
        prefill_s = self._predictor.prefill_s(chosen, call.prompt_tokens)
        ahead_s = self._predictor.prefill_wait_s(chosen, now_s, call.spec.priority)
        token_s = self._predictor.token_s(sequences)
        backlog_s = self._predictor.prefill_wait_s(chosen, now_s) * factor + batch_wait_s
        wait_s = ahead_s * factor + batch_wait_s
        answer_s = wait_s + prefill_s * factor
        output_tokens = min(call.spec.expected_output_tokens, call.max_output_tokens)
        answer_s += output_tokens * token_s * self._tokens.factor(now_s)
        self._predicted = _Outlook(now_s, ahead_s + prefill_s, token_s)
        if answer_s > (call.deadline_s - now_s) * self._limits.deadline_part:
            late = RefusalReason.DEADLINE
            return self._refuse(call, late, "too late to be worth it", now_s, backlog_s)
        patience = self._patience(call, now_s, returning)
        too_long = wait_s > patience * self._limits.wait_part * call.spec.deadline_s
        if too_long or backlog_s > patience * self._limits.backlog_s:
            busy = RefusalReason.OVERLOADED
            return self._refuse(call, busy, "engines are busy", now_s, backlog_s)
        return None

    def on_started(self, call: Call, now_s: float) -> None:
        """Counts the call's work for its tenant."""
        self._shares.add(call.tenant, self._work_s(call), now_s)
        if self._predicted is not None:
            self._outlooks[call.call_id] = self._predicted

    def on_first_token(self, call: Call, now_s: float) -> None:
        """Learns how far the first token was from what was predicted."""
        outlook = self._outlooks.get(call.call_id)
        if outlook is None:
            return
        self._first_token.observe(outlook.first_token_s, now_s - outlook.sent_s, now_s)
        outlook.begun_s = now_s

    def on_ended(self, call: Call, output_tokens: int, now_s: float) -> None:
        """Learns how far the following tokens were from what was predicted."""
        outlook = self._outlooks.pop(call.call_id, None)
        if outlook is None or outlook.begun_s is None or output_tokens <= 1:
            return
        each_s = (now_s - outlook.begun_s) / (output_tokens - 1)
        self._tokens.observe(outlook.token_s, each_s, now_s)

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

"""Predictions of an engine's time to first token and of its time between tokens."""

from attrs import frozen

from berylquay.decisions.engine_speed import EngineSpeed
from berylquay.decisions.fleet import Role
from berylquay.decisions.routing import Candidate


@frozen
class LatencyPredictor:
    """Predicts from possibly stale load reports and from the calls that this host has sent since.

    All times are in seconds.
    """

    # Rates of the pool's engines.
    speed: EngineSpeed

    def prefill_wait_s(
        self, candidate: Candidate, now_s: float, priority: int | None = None
    ) -> float:
        """Returns how long a new prompt would wait for its prefill to start.

        Args:
            candidate: The engine.
            now_s: Present time.
            priority: Priority of the prompt, to count only the prompts that go before it; None
                counts all.
        """
        seconds_per_token = self.speed.prefill_s(1.0, *_prefill_state(candidate))
        tokens = self._backlog_tokens(candidate, seconds_per_token, now_s)
        fraction = 1.0 if priority is None else candidate.pending_fraction(priority)
        return tokens * fraction * seconds_per_token

    def prefill_s(self, candidate: Candidate, prompt_tokens: int) -> float:
        """Returns how long the prefill itself would take, assuming no cached prefix."""
        return self.speed.prefill_s(prompt_tokens, *_prefill_state(candidate))

    def batch_size(self, candidate: Candidate) -> int:
        """Returns the number of sequences that are in the batch or wait for it."""
        report = candidate.report
        if report is None:
            return candidate.in_flight
        known = report.running + report.waiting + candidate.started_since_report
        return max(known, candidate.in_flight, 0)

    def batch_wait_s(self, candidate: Candidate, output_tokens: float) -> float:
        """Returns how long a prefilled sequence would wait for a slot in the batch.

        The others are assumed to be as long as the sequence itself. So a short answer, which
        engines let pass by priority, gets a short wait, and in an overload long answers are the
        first to be turned away.
        """
        excess = self.batch_size(candidate) + 1 - self.speed.max_batch
        if excess <= 0:
            return 0.0
        return excess * output_tokens * self.token_s(candidate) / self.speed.max_batch

    def batch_delay_s(self, candidate: Candidate, output_tokens: float) -> float:
        """Returns by how much the other sequences in the batch delay the rest of an answer."""
        batch = min(self.batch_size(candidate), self.speed.max_batch)
        return batch * output_tokens * self.speed.token_per_sequence_s

    def token_s(self, candidate: Candidate) -> float:
        """Returns the time between tokens if one more sequence joined the batch."""
        batch = min(self.batch_size(candidate) + 1, self.speed.max_batch)
        prefilling = reported_role(candidate) is Role.MIXED
        return self.speed.token_s(batch, reported_role(candidate), prefilling)

    def _backlog_tokens(
        self, candidate: Candidate, seconds_per_token: float, now_s: float
    ) -> float:
        report = candidate.report
        if report is None:
            return candidate.pending_prompt_tokens
        done = (now_s - report.received_s) / seconds_per_token
        left = report.prefill_backlog_tokens + candidate.prompt_tokens_since_report - done
        return max(left, candidate.pending_prompt_tokens, 0.0)


def reported_role(candidate: Candidate) -> Role:
    """Returns the role that the engine reported last; mixed if it never reported."""
    return candidate.report.role if candidate.report else Role.MIXED


def _prefill_state(candidate: Candidate) -> tuple[Role, bool]:
    report = candidate.report
    return reported_role(candidate), report is not None and report.running > 0

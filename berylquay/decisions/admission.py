"""Admission control: decides whether a call starts now or is refused immediately.

`CallTracker` applies the policy after routing has chosen a backend server and before any byte is
sent, so that the verdict NOT_RUN of a refusal is guaranteed to be true. There are several policies,
hence the `Protocol`; the baseline admits every call.
"""

from typing import Protocol

from berylquay.call_verdicts import Refusal
from berylquay.decisions.calls import Call
from berylquay.decisions.routing import Candidate


class AdmissionPolicy(Protocol):
    """Admits or refuses calls, and is notified of the progress of admitted calls."""

    def check_admission(
        self,
        call: Call,
        chosen: Candidate,
        now_s: float,
        honoured_retry_after: bool = False,
        decode_engine: Candidate | None = None,
    ) -> Refusal | None:
        """Returns None to admit the call on the chosen server, or the refusal to answer with.

        Args:
            call: The call, before its first attempt.
            chosen: The backend server that routing chose, with its load.
            now_s: Present monotonic time.
            honoured_retry_after: Whether the caller retries after a refusal and waited for the
                retry-after time.
            decode_engine: The engine that decodes after prefill, or None if the chosen one also
                decodes.
        """

    def on_started(self, call: Call, now_s: float) -> None:
        """Called when an admitted call's first attempt was sent."""

    def on_first_token(self, call: Call, now_s: float) -> None:
        """Called when the first token of the answer arrived."""

    def on_ended(self, call: Call, output_tokens: int, now_s: float) -> None:
        """Called when an admitted call got its final answer, which had `output_tokens` tokens."""


class AdmitAll:
    """Admits every call."""

    def check_admission(
        self,
        call: Call,
        chosen: Candidate,
        now_s: float,
        honoured_retry_after: bool = False,
        decode_engine: Candidate | None = None,
    ) -> Refusal | None:
        """Always returns None."""
        return None

    def on_started(self, call: Call, now_s: float) -> None:
        """Does nothing."""

    def on_first_token(self, call: Call, now_s: float) -> None:
        """Does nothing."""

    def on_ended(self, call: Call, output_tokens: int, now_s: float) -> None:
        """Does nothing."""

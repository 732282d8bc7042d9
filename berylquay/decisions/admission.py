"""Admission: decides at the door whether a call starts now or is refused at once.

`CallFates` asks after routing has chosen a backend server and before any byte is sent, so that a
refusal is truthfully NOT_RUN. The policy varies, so it is a `Protocol`; the baseline admits all.
"""

from typing import Protocol

from berylquay.decisions.calls import Call
from berylquay.decisions.routing import Candidate
from berylquay.verdicts import Refusal


class AdmissionPolicy(Protocol):
    """Admits or refuses calls, and hears how the admitted ones go on."""

    def check_admission(
        self,
        call: Call,
        chosen: Candidate,
        now_s: float,
        honoured_retry_after: bool = False,
        decode_engine: Candidate | None = None,
    ) -> Refusal | None:
        """Returns None to admit the call on the chosen server, or the refusal to give at once.

        Args:
            call: The call, before its first attempt.
            chosen: The backend server that routing chose, with its load.
            now_s: Present monotonic time.
            honoured_retry_after: Whether the caller comes back after a refusal, having waited as
                it was told.
            decode_engine: The engine that takes over after prefill, or None if the chosen one
                goes on.
        """

    def on_started(self, call: Call, now_s: float) -> None:
        """Hears that an admitted call's first attempt was sent."""

    def on_first_token(self, call: Call, now_s: float) -> None:
        """Hears that the first token of the answer came."""

    def on_ended(self, call: Call, output_tokens: int, now_s: float) -> None:
        """Hears that an admitted call got its final answer after so many tokens."""


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
        """Returns None always."""
        return None

    def on_started(self, call: Call, now_s: float) -> None:
        """Does nothing."""

    def on_first_token(self, call: Call, now_s: float) -> None:
        """Does nothing."""

    def on_ended(self, call: Call, output_tokens: int, now_s: float) -> None:
        """Does nothing."""

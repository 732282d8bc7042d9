"""Legs that concern a prompt alone: it is read at one engine for another, or its cache is freed."""

from typing import Final, Protocol

import logbook

from berylquay.decisions.attempt_outcomes import AttemptOutcome
from berylquay.net.kept_http import RawHead
from berylquay.platform.requests import KeptPrompt, encode_release
from berylquay.relay.legs import Leg
from berylquay.relay.services import RelayServices

# Largest answer of an engine that has read a prompt: a handle and some numbers.
MAX_ANSWER_BYTES: Final = 4096
_log = logbook.Logger("prompt-legs")


class PromptUser(Protocol):
    """Hears what has become of a prompt."""

    def on_prefill_answer(self, leg: Leg, body: bytes) -> None:
        """Called with the whole answer of the engine that read it."""

    def on_prefill_failed(self, leg: Leg, end: AttemptOutcome, detail: str) -> None:
        """Called when the engine gave no such answer."""


class PromptReading:
    """Collects the answer of an engine that reads a prompt, and hands it to the exchange."""

    _exchange: PromptUser
    # What has come of the answer's body.
    _body: bytes

    def __init__(self, exchange: PromptUser) -> None:
        self._exchange = exchange
        self._body = b""

    def on_leg_head(self, leg: Leg, head: RawHead) -> None:
        """Waits for the body."""

    def on_leg_data(self, leg: Leg, data: bytes) -> None:
        """Collects the body."""
        self._body += data[: MAX_ANSWER_BYTES - len(self._body)]

    def on_leg_whole(self, leg: Leg) -> None:
        """Passes on the whole answer."""
        self._exchange.on_prefill_answer(leg, self._body)

    def on_leg_failed(self, leg: Leg, end: AttemptOutcome, detail: str) -> None:
        """Passes on the failure."""
        self._exchange.on_prefill_failed(leg, end, detail)


class _ReleaseUser:
    """Hears whether a KV cache was freed."""

    def __init__(self, engine: str) -> None:
        self._engine = engine

    def on_leg_head(self, leg: Leg, head: RawHead) -> None:
        """Waits for the end."""

    def on_leg_data(self, leg: Leg, data: bytes) -> None:
        """Ignores the body."""

    def on_leg_whole(self, leg: Leg) -> None:
        """Does nothing: the cache is free."""

    def on_leg_failed(self, leg: Leg, end: AttemptOutcome, detail: str) -> None:
        """Leaves the cache to its expiry."""
        _log.info("prompt not freed", engine=self._engine, end=end.value, detail=detail)


def release_prompt(services: RelayServices, kept: KeptPrompt, now_s: float) -> None:
    """Frees a KV cache that nobody will fetch."""
    entry = services.registry.get(kept.engine)
    if entry is None:
        return
    connection = services.connections.take(entry, False, now_s)
    Leg(_ReleaseUser(kept.engine), entry, connection, encode_release(kept), call_id="", now_s=now_s)

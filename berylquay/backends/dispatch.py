"""Dispatch: the shell around the fates of calls; passes messages in and posts what comes out."""

import time
from collections.abc import Sequence

from circuits import BaseComponent, handler

from berylquay.decisions.fates import CallFates, Command
from berylquay.messages import (
    AttemptCompleted,
    AttemptFailed,
    AttemptTokens,
    CallerGone,
    CallReceived,
    LoadReported,
    MembershipRead,
    Tick,
)
from berylquay.net.bus import BUS, post


class Dispatch(BaseComponent):
    """Drives the `CallFates` of this process."""

    channel = BUS

    # The decisions.
    _fates: CallFates

    def __init__(self, fates: CallFates) -> None:
        super().__init__()
        self._fates = fates

    @handler("CallReceived")
    def _on_call(self, message: CallReceived) -> None:
        self._post_all(self._fates.on_call(message.call, time.monotonic()))

    @handler("CallerGone")
    def _on_caller_gone(self, message: CallerGone) -> None:
        self._post_all(self._fates.on_caller_gone(message.call_id))

    @handler("AttemptTokens")
    def _on_tokens(self, message: AttemptTokens) -> None:
        self._post_all(self._fates.on_tokens(message))

    @handler("AttemptCompleted")
    def _on_completed(self, message: AttemptCompleted) -> None:
        self._post_all(self._fates.on_completed(message, time.monotonic()))

    @handler("AttemptFailed")
    def _on_failed(self, message: AttemptFailed) -> None:
        self._post_all(self._fates.on_failed(message, time.monotonic()))

    @handler("MembershipRead")
    def _on_membership(self, message: MembershipRead) -> None:
        self._fates.on_membership(message.view)

    @handler("LoadReported")
    def _on_load(self, message: LoadReported) -> None:
        self._fates.on_load(message.report)

    @handler("Tick")
    def _on_tick(self, message: Tick) -> None:
        self._post_all(self._fates.on_tick(message.now_s))

    def _post_all(self, commands: Sequence[Command]) -> None:
        for command in commands:
            post(self, command)

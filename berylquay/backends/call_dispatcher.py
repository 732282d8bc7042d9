"""Connects the `CallTracker` to the message bus: passes messages in and posts its commands."""

import time
from collections.abc import Sequence

import logbook
from circuits import BaseComponent, handler

from berylquay.component_messages import (
    AttemptAnswered,
    AttemptCompleted,
    AttemptFailed,
    AttemptSent,
    BackendDrainChanged,
    CallerGone,
    CallGranted,
    CallReceived,
    CallRefused,
    ConfigurationInForce,
    LoadReported,
    MembershipRead,
    PeerLinkChanged,
    PeerReceived,
    ProbeEnded,
    TokensArrived,
    TokensForCaller,
    TokensForCallers,
)
from berylquay.decisions.call_tracker import CallCommand, CallTracker
from berylquay.net.message_bus import BUS, post
from berylquay.net.process_messages import Tick
from berylquay.peers.payloads import CrashReport

_log = logbook.Logger("dispatch")


class CallDispatcher(BaseComponent):
    """Drives the `CallTracker` of this process."""

    channel = BUS

    # Decides on the attempts and outcomes of calls.
    _call_tracker: CallTracker
    # Whether non-repeatable calls wait for `CallGranted`.
    _requires_grant: bool

    def __init__(self, call_tracker: CallTracker, requires_grant: bool = False) -> None:
        super().__init__()
        self._call_tracker = call_tracker
        self._requires_grant = requires_grant

    @handler("CallReceived")
    def _on_call(self, message: CallReceived) -> None:
        if message.call.repeatable or not self._requires_grant:
            self._post_all(self._call_tracker.on_call(message.call, time.monotonic()))

    @handler("CallGranted")
    def _on_granted(self, message: CallGranted) -> None:
        self._post_all(self._call_tracker.on_call(message.call, time.monotonic()))

    @handler("CallerGone")
    def _on_caller_gone(self, message: CallerGone) -> None:
        self._post_all(self._call_tracker.on_caller_gone(message.call_id, time.monotonic()))

    @handler("AttemptSent")
    def _on_sent(self, message: AttemptSent) -> None:
        self._call_tracker.on_sent(message, time.monotonic())

    @handler("AttemptAnswered")
    def _on_answered(self, message: AttemptAnswered) -> None:
        self._post_all(self._call_tracker.on_answered(message, time.monotonic()))

    @handler("TokensArrived")
    def _on_tokens(self, message: TokensArrived) -> None:
        now_s = time.monotonic()
        caller_tokens: list[TokensForCaller] = []
        for tokens in message.batch:
            for command in self._call_tracker.on_tokens(tokens, now_s):
                if isinstance(command, TokensForCaller):
                    caller_tokens.append(command)
                    continue
                self._post_tokens(caller_tokens)
                post(self, command)
        self._post_tokens(caller_tokens)

    @handler("AttemptCompleted")
    def _on_completed(self, message: AttemptCompleted) -> None:
        self._post_all(self._call_tracker.on_completed(message, time.monotonic()))

    @handler("AttemptFailed")
    def _on_failed(self, message: AttemptFailed) -> None:
        self._post_all(self._call_tracker.on_failed(message, time.monotonic()))

    @handler("ProbeEnded")
    def _on_probe_ended(self, message: ProbeEnded) -> None:
        if not message.alive:
            _log.warning("backend server does not answer", backend=message.backend)
        self._post_all(self._call_tracker.on_probe_ended(message, time.monotonic()))

    @handler("PeerReceived")
    def _on_peer(self, message: PeerReceived) -> None:
        if isinstance(message.payload, CrashReport):
            report = message.payload
            contents = len(report.fingerprints)
            _log.warning(
                "peer lost a backend server",
                peer=message.host,
                backend=report.backend,
                contents=contents,
            )
        self._call_tracker.on_peer_payload(message.host, message.payload, time.monotonic())

    @handler("PeerLinkChanged")
    def _on_peer_link(self, message: PeerLinkChanged) -> None:
        if message.connected:
            self._post_all(self._call_tracker.on_peer_linked(message.host, time.monotonic()))

    @handler("MembershipRead")
    def _on_membership(self, message: MembershipRead) -> None:
        self._call_tracker.on_membership(message.view)

    @handler("ConfigurationInForce")
    def _on_configuration(self, message: ConfigurationInForce) -> None:
        self._call_tracker.on_configured_drains(message.configuration.draining)

    @handler("BackendDrainChanged")
    def _on_drain_changed(self, message: BackendDrainChanged) -> None:
        self._call_tracker.on_drain_changed(message.backend, message.draining)

    @handler("LoadReported")
    def _on_load(self, message: LoadReported) -> None:
        self._call_tracker.on_load(message.report)

    @handler("Tick")
    def _on_tick(self, message: Tick) -> None:
        self._post_all(self._call_tracker.on_tick(message.now_s))

    def _post_all(self, commands: Sequence[CallCommand]) -> None:
        for command in commands:
            if isinstance(command, CallRefused):
                _log_refusal(command)
            post(self, command)

    def _post_tokens(self, caller_tokens: list[TokensForCaller]) -> None:
        if caller_tokens:
            post(self, TokensForCallers(tuple(caller_tokens)))
            caller_tokens.clear()


def _log_refusal(message: CallRefused) -> None:
    refusal = message.refusal
    _log.info(
        "call refused",
        call=message.call_id,
        reason=refusal.reason.value,
        verdict=refusal.verdict.value,
        detail=refusal.detail,
    )

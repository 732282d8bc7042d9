"""An exchange: one request of a caller on its way to backend servers and back."""

import time
from collections.abc import Callable
from typing import Final

import logbook
from attrs import evolve

from berylquay.decisions.attempt_outcomes import (
    NOT_RUN_OUTCOMES,
    AttemptOutcome,
    make_refusal,
    may_retry,
    record_attempt_outcome,
)
from berylquay.decisions.backend_registry import BackendEntry, EntryState
from berylquay.decisions.engine_placement import Placement
from berylquay.decisions.fleet import Address, Role
from berylquay.decisions.relay_admission import AdmissionAction, admit
from berylquay.decisions.relay_call import GenerationRequest, RelayCall
from berylquay.decisions.service_routing import choose_server
from berylquay.net.http_client import STATUS_OK
from berylquay.net.kept_http import RawHead
from berylquay.platform.requests import (
    KeptPrompt,
    RunDetails,
    decode_kept_prompt,
    encode_prefill,
    encode_run,
    passed_headers,
)
from berylquay.relay.caller_connection import CallerConnection, CallerRequest
from berylquay.relay.event_stream import EventTracker, OversizedEventError
from berylquay.relay.legs import FIRST_SERVER_ERROR, Leg
from berylquay.relay.prompt_legs import PromptReading, release_prompt
from berylquay.relay.refusals import send_refusal
from berylquay.relay.services import RelayServices
from berylquay.verdicts import RefusalReason, Verdict

# Largest answer of a plain service that is collected before it is passed on, so that one that
# breaks off can still be asked for elsewhere.
COLLECTED_BYTES: Final = 131072
CONNECT_TIMED_OUT: Final = "the connection was not established in time"
# Time beyond the deadline in which the backend server's own answer to it is awaited.
DEADLINE_SLACK_S: Final = 0.1
# An engine on which nothing came for this many times the prediction, and the time besides, is
# silent.
PATIENCE: Final = 2.5
PATIENCE_S: Final = 0.4
# The same where another host has found the engine silent.
SUSPICIOUS_PATIENCE: Final = 1.5
SUSPICIOUS_PATIENCE_S: Final = 0.3
# Ranks of routes are spread over the engines' urgencies, 1 to 9.
RANK_STEP: Final = 2
# Times that a prompt is read apart; each one after the first counts as an extra send.
MAX_PREFILLS: Final = 2
HIGHEST_URGENCY: Final = 1
LOWEST_URGENCY: Final = 9
# Shared parts from this size on are told to the other hosts.
TOLD_PART_TOKENS: Final = 100
_log = logbook.Logger("exchange")


class RelayExchange:
    """Drives one call: places it, sends it, passes its answer on, and ends it once."""

    call: RelayCall
    caller: CallerConnection
    # Whether the final answer was given, or the caller has left.
    ended: bool
    _services: RelayServices
    _request: CallerRequest
    # Told once when the exchange has ended.
    _on_ended: Callable[["RelayExchange"], None]
    # Leg that reads the prompt at another engine, while it is open.
    _prefill_leg: Leg | None
    # Leg on which the request runs, while it is open.
    _run_leg: Leg | None
    _placement: Placement | None
    # Whether the call waits at this host until an engine has little to do.
    _held: bool
    # Prompt that an engine keeps for this call and that was not handed over.
    _kept_prompt: KeptPrompt | None
    # Prefill legs that were sent.
    _prefills: int
    # Prompt that was handed over on the open run leg, and the expected time to its first event.
    _handed_over: KeptPrompt | None
    _expected_first_s: float
    # Events passed on, for a stream that may be continued.
    _tracker: EventTracker | None
    # Answer that is collected before it is passed on, or None once it is passed on as it comes.
    _collected: bytearray | None
    # Monotonic time of the first byte of the body, or None before it.
    _first_byte_s: float | None
    # Engine whose backlog counts the prompt of the run.
    _reading_at: str | None
    # Bytes of the body that were passed on as they came.
    _passed_bytes: int

    def __init__(
        self,
        services: RelayServices,
        caller: CallerConnection,
        request: CallerRequest,
        call: RelayCall,
        *,
        resume_after: int | None,
        on_ended: Callable[["RelayExchange"], None],
    ) -> None:
        self.call = call
        self.ended = False
        self._services = services
        self.caller = caller
        self._request = request
        self._on_ended = on_ended
        self._prefill_leg = None
        self._run_leg = None
        self._placement = None
        self._held = False
        self._kept_prompt = None
        self._prefills = 0
        self._handed_over = None
        self._expected_first_s = 0.0
        self._tracker = EventTracker(resume_after) if call.route.resumable else None
        self._collected = None
        self._first_byte_s = None
        self._reading_at = None
        self._passed_bytes = 0

    def begin(self, now_s: float) -> None:
        """Places the call, or refuses it at once."""
        self._services.retries.on_call(self.call.pool.name, now_s)
        if self.call.generation is not None:
            self._place_generation(now_s, first=True)
        else:
            self._send_to_server(now_s)

    def cancel(self, now_s: float) -> None:
        """Stops all work for a caller that has left."""
        if not self.ended:
            self._end(now_s, "caller-gone")

    def on_tick(self, now_s: float) -> None:
        """Ends what takes too long."""
        call = self.call
        if now_s >= call.deadline_s + DEADLINE_SLACK_S:
            self._give_up_at_deadline(now_s)
            return
        for leg in (self._run_leg, self._prefill_leg):
            if leg is not None and leg.is_stuck_connecting(now_s):
                leg.cancel()
                self._fail_leg(leg, AttemptOutcome.NOT_SENT, CONNECT_TIMED_OUT, now_s)
                return
        if self._held:
            self._place_generation(now_s, first=True)
            return
        prefill, run = self._prefill_leg, self._run_leg
        if prefill is not None:
            if self._is_silent(prefill, now_s):
                self._give_up_silent(prefill, "the prompt was not read in time", now_s)
        elif run is not None and self._is_silent(run, now_s) and self._can_run_elsewhere(now_s):
            self._give_up_silent(run, "no event came in time", now_s)

    def _can_run_elsewhere(self, now_s: float) -> bool:
        """Tells whether a run could be given up for one at another engine."""
        call, services = self.call, self._services
        if not call.route.repeatable or len(set(call.sent_to)) >= call.route.max_attempts:
            return False
        has_room = services.retries.has_budget(call.pool.name, now_s)
        return has_room and any(e.role is not Role.PREFILL for e in self._usable_engines(now_s))

    def _is_silent(self, leg: Leg, now_s: float) -> bool:
        """Tells whether nothing came on a leg for longer than predicted, nor from its engine."""
        placement = self._placement
        if placement is None or self._first_byte_s is not None:
            return False
        patience_s = placement.first_token_s * PATIENCE + PATIENCE_S
        health, name = self._services.health, leg.backend.name
        if health.was_active_since(name, leg.started_s):
            # It is slow, or has much to do: what it has begun would be lost.
            return False
        if health.is_reported_unresponsive(name, now_s):
            patience_s = placement.first_token_s * SUSPICIOUS_PATIENCE + SUSPICIOUS_PATIENCE_S
        return now_s - leg.started_s > patience_s

    def _give_up_silent(self, leg: Leg, detail: str, now_s: float) -> None:
        """Ends a leg on which nothing comes; its engine is left alone for a while."""
        leg.cancel()
        self._services.health.on_unreachable(leg.backend.name, now_s)
        self._services.news.silent.add(leg.backend.name)
        self._fail_leg(leg, AttemptOutcome.CONNECTION_LOST, detail, now_s)

    def on_caller_ready(self) -> None:
        """Reads on from the backend server."""
        if self._run_leg is not None:
            self._run_leg.hold_back(held=False)

    # Placing.

    def _place_generation(self, now_s: float, first: bool) -> None:
        call, services = self.call, self._services
        generation = call.generation
        if generation is None:
            return
        engines = self._usable_engines(now_s)
        if not self._may_read_apart(now_s):
            engines = [engine for engine in engines if engine.role is not Role.PREFILL]
        objective_left_s = call.received_s + call.route.objective_s - now_s
        placement = services.placement.place(
            generation, engines, call.route.objective_s, objective_left_s, now_s
        )
        if placement is None:
            self._refuse(RefusalReason.NO_BACKEND, "no engine makes tokens", now_s)
            return
        # A prompt that is not read apart after all is a heavy load for an engine that makes tokens.
        is_checked = first or (placement.prefill_engine is None and not self.caller.head_sent)
        if is_checked and not self._is_admitted(placement, now_s):
            return
        self._held = False
        self._placement = placement
        self._log_placement(placement, "placed", now_s)
        if placement.prefill_engine is None:
            self._send_run(placement.decode_engine, None, now_s)
        else:
            self._send_prefill(placement.prefill_engine, placement, now_s)

    def _may_read_apart(self, now_s: float) -> bool:
        """Tells whether the prompt may be read apart; the first time that is no extra send."""
        if not self._prefills:
            return True
        has_room = self._services.retries.has_budget(self.call.pool.name, now_s)
        return has_room and self._prefills < MAX_PREFILLS

    def _is_admitted(self, placement: Placement, now_s: float) -> bool:
        """Tells whether the call goes out now; otherwise it is held, or was refused."""
        services = self._services
        admission = admit(
            self.call,
            placement,
            services.admission,
            host_count=services.live_hosts,
            rng=services.rng,
            now_s=now_s,
        )
        if admission.action is AdmissionAction.SEND:
            return True
        if admission.action is AdmissionAction.QUEUE:
            if not self._held:
                self._held = True
                self._log_placement(placement, "held", now_s)
            return False
        self._log_placement(placement, "refused", now_s)
        detail = "the first token would be too late"
        self._refuse(RefusalReason.OVERLOADED, detail, now_s, admission.retry_after_s)
        return False

    def _usable_engines(self, now_s: float) -> list[BackendEntry]:
        """Returns the engines that may be sent this call."""
        services, call = self._services, self.call
        attempts_left = call.route.max_attempts - len(set(call.sent_to))
        sound = [
            engine
            for engine in services.registry.ready_in_pool(call.pool.name)
            if not services.health.is_backing_off(engine.name, now_s)
        ]
        engines = services.scope.usable_engines(sound, services.live_hosts)
        return [
            engine
            for engine in engines
            if engine.role is Role.PREFILL
            or (engine.name not in call.sent_to if attempts_left else engine.name in call.sent_to)
        ]

    def _send_to_server(self, now_s: float) -> None:
        call, services = self.call, self._services
        server = choose_server(
            services.registry.ready_in_pool(call.pool.name),
            call.sent_to,
            in_flight=services.under_way,
            health=services.health,
            distances=services.distances,
            rng=services.rng,
            now_s=now_s,
        )
        if server is None:
            self._refuse(RefusalReason.NO_BACKEND, "no backend server is left to try", now_s)
            return
        self._send_run(server, None, now_s)

    # Sending.

    def _send_prefill(self, engine: BackendEntry, placement: Placement, now_s: float) -> None:
        call, services = self.call, self._services
        if self._prefills:
            services.retries.spend(call.pool.name, now_s)
        self._prefills += 1
        details = evolve(self._details(engine, now_s), copy_from=_address_of(placement.copy_from))
        request = self._request
        raw = encode_prefill(request.method, request.target, request.headers, request.body, details)
        services.backlog.add_prompt(engine.name, call.call_id, placement.prefill_cost_tokens)
        self._announce_parts(engine.name, placement, now_s)
        services.on_new_work(now_s)
        connection = services.connections.take(engine, False, now_s)
        self._prefill_leg = Leg(
            PromptReading(self), engine, connection, raw, call_id=call.call_id, now_s=now_s
        )

    def _send_run(self, backend: BackendEntry, kept: KeptPrompt | None, now_s: float) -> None:
        call, services = self.call, self._services
        if call.sent_to:
            services.retries.spend(call.pool.name, now_s)
        call.sent_to.append(backend.name)
        resume_after = None
        if self._tracker is not None and self.caller.head_sent:
            resume_after = self._tracker.newest_id
        details = self._details(backend, now_s, kept, resume_after)
        # Where a prompt that nobody has read yet was placed; plain calls have no placement.
        placement = self._placement if kept is None else None
        if placement is not None:
            details = evolve(details, copy_from=_address_of(placement.copy_from))
        request = self._request
        raw = encode_run(request.method, request.target, request.headers, request.body, details)
        self._kept_prompt = None
        self._handed_over = kept
        if call.generation is not None:
            services.backlog.add_stream(backend.name, call.call_id)
            if placement is not None:
                self._reading_at = backend.name
                services.backlog.add_prompt(
                    backend.name, call.call_id, placement.prefill_cost_tokens
                )
                self._announce_parts(backend.name, placement, now_s)
            services.on_new_work(now_s)
        else:
            services.under_way[backend.name] += 1
        connection = services.connections.take(backend, not call.route.repeatable, now_s)
        self._run_leg = Leg(self, backend, connection, raw, call_id=call.call_id, now_s=now_s)

    def _details(
        self,
        backend: BackendEntry,
        now_s: float,
        kept: KeptPrompt | None = None,
        resume_after: int | None = None,
    ) -> RunDetails:
        call = self.call
        urgency = None
        if call.generation is not None:
            urgency = min(LOWEST_URGENCY, HIGHEST_URGENCY + RANK_STEP * call.route.rank)
        return RunDetails(backend.name, call.remaining_s(now_s), urgency, kept, resume_after)

    # Prompts read at another engine.

    def on_prefill_answer(self, leg: Leg, body: bytes) -> None:
        """Hands the prompt over to an engine that makes tokens."""
        now_s = time.monotonic()
        if self.ended:
            return
        head = leg.head
        decoded = decode_kept_prompt(leg.backend.name, leg.backend.address, body)
        kept = decoded.value_or(None)
        if head is None or head.status != STATUS_OK or kept is None:
            self._fail_leg(leg, AttemptOutcome.SERVER_ERROR, "no handle for the prompt", now_s)
            return
        self._prefill_leg = None
        self._note_prompt_read(leg, now_s)
        self._kept_prompt = kept
        decoder = self._decoder_for(leg.backend, now_s)
        if decoder is None:
            self._refuse(RefusalReason.NO_BACKEND, "no engine makes tokens", now_s)
            return
        generation = self.call.generation
        if generation is not None:
            self._expected_first_s = self._services.placement.kv_transfer_to_first_event_s(
                generation, leg.backend, decoder, now_s
            )
        _log.info(
            "prompt handed over",
            id=self.call.call_id,
            reader=leg.backend.name,
            decoder=decoder.name,
            read_ms=_ms(now_s - leg.started_s),
            tokens=kept.tokens,
        )
        self._send_run(decoder, kept, now_s)

    def on_prefill_failed(self, leg: Leg, end: AttemptOutcome, detail: str) -> None:
        """Lets an engine that makes tokens read the prompt itself."""
        if not self.ended:
            self._fail_leg(leg, end, detail, time.monotonic())

    def _decoder_for(self, reader: BackendEntry, now_s: float) -> BackendEntry | None:
        generation = self.call.generation
        decoders = [e for e in self._usable_engines(now_s) if e.role is not Role.PREFILL]
        if generation is None:
            return None
        return self._services.placement.decode_engine_for(reader, generation, decoders, now_s)

    def _note_prompt_read(self, leg: Leg, now_s: float) -> None:
        services, call = self._services, self.call
        services.backlog.remove_prompt(leg.backend.name, call.call_id)
        services.health.on_answered(leg.backend.name, now_s)
        services.measures.on_attempt_ended(call.pool.name, "prompt-read")
        self._note_parts(leg.backend.name, now_s)
        if self._placement is not None:
            expected_s = self._placement.first_token_s
            services.speeds.on_prefilled(leg.backend.name, expected_s, now_s - leg.started_s)

    def _announce_parts(self, engine: str, placement: Placement, now_s: float) -> None:
        """Takes note of what an engine is about to read, and tells the other hosts."""
        generation = self.call.generation
        if generation is None:
            return
        for part in generation.segments[:-1]:
            ready_s = now_s + placement.first_token_s
            self._services.locations.on_segment_used(part.segment_id, engine, now_s, ready_s)
        self._tell_parts(generation, engine, _ms(placement.first_token_s))

    def _note_parts(self, engine: str, now_s: float) -> None:
        """Takes note of what an engine keeps from now on."""
        generation = self.call.generation
        if generation is None:
            return
        for part in generation.segments:
            self._services.locations.on_segment_used(part.segment_id, engine, now_s)
        self._tell_parts(generation, engine, 0)

    def _tell_parts(self, generation: GenerationRequest, engine: str, ready_in_ms: int) -> None:
        """Tells the other hosts which parts an engine reads, or has read."""
        for part in generation.segments[:-1]:
            if part.tokens >= TOLD_PART_TOKENS:
                self._services.news.parts.append((part.segment_id, engine, ready_in_ms))

    # The answer.

    def on_leg_head(self, leg: Leg, head: RawHead) -> None:
        """Begins to collect the answer, or to pass it on."""
        streams = self.call.route.streaming and head.status < FIRST_SERVER_ERROR
        if not streams:
            self._collected = bytearray()

    def on_leg_data(self, leg: Leg, data: bytes) -> None:
        """Passes on a piece of the answer."""
        if self.ended:
            return
        if self._first_byte_s is None:
            self._note_first_byte(leg)
        if self._collected is not None:
            self._collected += data
            if len(self._collected) <= COLLECTED_BYTES:
                return
            data, self._collected = bytes(self._collected), None
        if self._tracker is not None:
            try:
                data = self._tracker.feed(data)
            except OversizedEventError:
                leg.cancel()
                self._fail_leg(
                    leg, AttemptOutcome.CONNECTION_LOST, "oversized event", time.monotonic()
                )
                return
        self._pass_on(leg, data)

    def _pass_on(self, leg: Leg, data: bytes) -> None:
        if not data:
            return
        self._start_answer(leg)
        self._passed_bytes += len(data)
        if not self.caller.send(data):
            leg.hold_back(held=True)

    def _start_answer(self, leg: Leg) -> None:
        head = leg.head
        if head is not None and not self.caller.head_sent:
            headers = passed_headers(head)
            if self._tracker is not None and self.call.route.streaming:
                # A length would not hold for a stream that another run continues.
                headers = [item for item in headers if item[0] != b"content-length"]
            self.caller.start_answer(head.status, head.reason, headers)

    def on_leg_whole(self, leg: Leg) -> None:
        """Ends the answer, or asks elsewhere after a failure."""
        now_s = time.monotonic()
        head = leg.head
        if self.ended or head is None:
            return
        failed = head.status >= FIRST_SERVER_ERROR
        self._release_leg(leg)
        if failed and self._ask_elsewhere(
            leg, AttemptOutcome.SERVER_ERROR, f"status {head.status}", now_s
        ):
            return
        if self._tracker is not None and self._tracker.has_partial_event:
            self._fail_run(
                leg, AttemptOutcome.CONNECTION_LOST, "the stream ended within an event", now_s
            )
            return
        if not failed:
            self._services.health.on_answered(leg.backend.name, now_s)
            self._services.suspects.clear(self.call.fingerprint)
        self._services.measures.on_attempt_ended(self.call.pool.name, "answered")
        body, self._collected = self._collected, None
        self._start_answer(leg)
        if body:
            self.caller.send(bytes(body))
        # The exchange ends first: ending the answer may bring the caller's next request.
        self._end(now_s, "failed-at-backend" if failed else "answered", leg.backend.name)
        self.caller.end_answer()

    def on_leg_failed(self, leg: Leg, end: AttemptOutcome, detail: str) -> None:
        """Asks elsewhere, or gives up."""
        if not self.ended:
            self._fail_leg(leg, end, detail, time.monotonic())

    def _note_first_byte(self, leg: Leg) -> None:
        now_s = self._first_byte_s = time.monotonic()
        predicted_s = None
        if self._placement is not None:
            predicted_s = self._placement.first_token_s
        elapsed_s = now_s - self.call.received_s
        self._services.health.on_activity(leg.backend.name, now_s)
        if self._handed_over is not None:
            excess_s = now_s - leg.started_s - self._expected_first_s
            self._services.speeds.on_first_event(leg.backend.name, excess_s, now_s)
        self._services.measures.on_first_byte(self.call.route.name, elapsed_s, predicted_s)
        if self._reading_at is not None:
            self._services.backlog.remove_prompt(self._reading_at, self.call.call_id)
            self._note_parts(self._reading_at, now_s)
            if predicted_s is not None:
                self._services.speeds.on_prefilled(
                    self._reading_at, predicted_s, now_s - leg.started_s
                )
            self._reading_at = None

    # Failures.

    def _fail_leg(self, leg: Leg, end: AttemptOutcome, detail: str, now_s: float) -> None:
        if leg is self._prefill_leg:
            self._fail_prefill(leg, end, detail, now_s)
        else:
            self._release_leg(leg)
            self._fail_run(leg, end, detail, now_s)

    def _fail_prefill(self, leg: Leg, end: AttemptOutcome, detail: str, now_s: float) -> None:
        self._prefill_leg = None
        services, call = self._services, self.call
        services.backlog.remove_prompt(leg.backend.name, call.call_id)
        self._note_failure(leg, end, detail, "prefill", now_s)
        if end is not AttemptOutcome.NOT_SENT:
            # A call that failed counts as an extra arrival.
            services.retries.spend(call.pool.name, now_s)
        self._place_generation(now_s, first=False)

    def _fail_run(self, leg: Leg, end: AttemptOutcome, detail: str, now_s: float) -> None:
        if not self._ask_elsewhere(leg, end, detail, now_s):
            self._give_up_after(end, detail, now_s)

    def _ask_elsewhere(self, leg: Leg, end: AttemptOutcome, detail: str, now_s: float) -> bool:
        """Sends the call to another backend server, if that is allowed."""
        call, services = self.call, self._services
        kept, self._handed_over = self._handed_over, None
        if kept is not None and end is AttemptOutcome.REJECTED:
            # The engine that kept the prompt lost it, or could not be reached from the other.
            end = AttemptOutcome.KV_CACHE_UNAVAILABLE
            services.health.on_failed(kept.engine)
        self._note_failure(leg, end, detail, "run", now_s)
        if end is AttemptOutcome.NOT_SENT and call.sent_to:
            call.sent_to.pop()
        record_attempt_outcome(call, end)
        has_budget = services.retries.has_budget(call.pool.name, now_s)
        if self.caller.head_sent and not self._may_continue():
            return False
        if not may_retry(call, end, has_budget, now_s, services.attempts):
            return False
        self._collected = None
        if self._tracker is not None:
            self._tracker.drop_partial_event()
        if call.generation is not None:
            if not any(e.role is not Role.PREFILL for e in self._usable_engines(now_s)):
                return False
            self._place_generation(now_s, first=False)
        else:
            if not self._has_untried_server():
                return False
            self._send_to_server(now_s)
        return True

    def _may_continue(self) -> bool:
        tracker = self._tracker
        return tracker is not None and tracker.newest_id is not None

    def _has_untried_server(self) -> bool:
        servers = self._services.registry.ready_in_pool(self.call.pool.name)
        return any(server.name not in self.call.sent_to for server in servers)

    def _note_failure(
        self, leg: Leg, end: AttemptOutcome, detail: str, stage: str, now_s: float
    ) -> None:
        services, call = self._services, self.call
        name = leg.backend.name
        pause_s = 0.0
        if end is AttemptOutcome.NOT_SENT:
            pause_s = services.health.on_unreachable(name, now_s)
        elif end in (AttemptOutcome.CONNECTION_LOST, AttemptOutcome.SERVER_ERROR):
            services.health.on_failed(name)
        if end is AttemptOutcome.CONNECTION_LOST:
            services.suspects.on_crash(name, frozenset({call.fingerprint}), now_s)
            services.news.losses.append((call.fingerprint, name))
        if call.generation is not None:
            services.locations.on_prefill_cancelled(call.generation.segments, name, now_s)
        services.measures.on_attempt_ended(call.pool.name, end.value)
        entry = services.registry.get(name)
        _log.info(
            "attempt failed",
            id=call.call_id,
            stage=stage,
            backend=name,
            end=end.value,
            detail=detail,
            after_ms=_ms(now_s - leg.started_s),
            failure_rate=round(services.health.failure_rate(name), 3),
            paused_ms=_ms(pause_s),
            leaving=entry is None or entry.state is EntryState.LEAVING,
        )

    def _give_up_after(self, end: AttemptOutcome, detail: str, now_s: float) -> None:
        reason = (
            RefusalReason.OVERLOADED if end in NOT_RUN_OUTCOMES else RefusalReason.BACKEND_FAILED
        )
        self._refuse(reason, detail, now_s)

    def _give_up_at_deadline(self, now_s: float) -> None:
        leg = self._run_leg
        if leg is not None and leg.may_have_run:
            self.call.may_have_run = True
        self._refuse(RefusalReason.DEADLINE, "the time is over", now_s)

    def _refuse(
        self,
        reason: RefusalReason,
        detail: str,
        now_s: float,
        come_back_s: float | None = None,
    ) -> None:
        """Gives the final answer to a call that is given up."""
        default_s = self._services.attempts.retry_after_s
        refusal = make_refusal(self.call, reason, detail, come_back_s or default_s)
        head_sent = self.caller.head_sent
        self._end(now_s, f"refused-{reason.value}", verdict=refusal.verdict, detail=detail)
        if head_sent:
            # The answer has begun; it must not look complete.
            self.caller.abort()
        else:
            send_refusal(self.caller, refusal)

    # The end.

    def _release_leg(self, leg: Leg) -> None:
        """Takes the leg's work off the books."""
        services, call = self._services, self.call
        if leg is self._run_leg:
            self._run_leg = None
        if call.generation is not None:
            services.backlog.remove_stream(leg.backend.name, call.call_id)
            services.backlog.remove_prompt(leg.backend.name, call.call_id)
            self._reading_at = None
        else:
            services.under_way[leg.backend.name] -= 1

    def _end(
        self,
        now_s: float,
        outcome: str,
        backend: str = "",
        verdict: Verdict | None = None,
        detail: str = "",
    ) -> None:
        call = self.call
        self.ended = True
        self._held = False
        self._stop_legs(now_s)
        total_s = now_s - call.received_s
        self._services.measures.on_call_ended(call.route.name, outcome, total_s)
        first_s = None if self._first_byte_s is None else self._first_byte_s - call.received_s
        _log.info(
            "call ended",
            id=call.call_id,
            route=call.route.name,
            outcome=outcome,
            verdict="" if verdict is None else verdict.value,
            detail=detail,
            backend=backend,
            sent_to=call.sent_to,
            first_ms=None if first_s is None else _ms(first_s),
            total_ms=_ms(total_s),
            passed_bytes=self._passed_bytes,
            newest_event=None if self._tracker is None else self._tracker.newest_id,
            left_ms=_ms(call.remaining_s(now_s)),
            returning=call.is_caller_retry,
        )
        self._on_ended(self)

    def _stop_legs(self, now_s: float) -> None:
        prefill, run = self._prefill_leg, self._run_leg
        if prefill is not None:
            prefill.cancel()
            self._services.backlog.remove_prompt(prefill.backend.name, self.call.call_id)
            self._prefill_leg = None
        if run is not None:
            run.cancel()
            self._release_leg(run)
        if self._kept_prompt is not None:
            release_prompt(self._services, self._kept_prompt, now_s)
            self._kept_prompt = None

    def _log_placement(self, placement: Placement, outcome: str, now_s: float) -> None:
        call = self.call
        generation = call.generation
        _log.info(
            "generation " + outcome,
            id=call.call_id,
            route=call.route.name,
            reader=None if placement.prefill_engine is None else placement.prefill_engine.name,
            decoder=placement.decode_engine.name,
            copy_from=None if placement.copy_from is None else placement.copy_from.name,
            predicted_ms=_ms(placement.first_token_s),
            objective_ms=_ms(call.route.objective_s),
            to_read=placement.prefill_cost_tokens,
            prompt=0 if generation is None else generation.prompt_tokens,
            shared=0 if generation is None else generation.shared_tokens,
            waiting=self._services.backlog.waiting_prefill_tokens(
                (placement.prefill_engine or placement.decode_engine).name, now_s
            ),
            returning=call.is_caller_retry,
        )


def _address_of(engine: BackendEntry | None) -> Address | None:
    return None if engine is None else engine.address


def _ms(seconds: float) -> int:
    return round(seconds * 1000.0)

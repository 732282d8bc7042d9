"""Relays one request of a caller to backend servers, and the response back to the caller."""

import time
from collections.abc import Callable
from typing import Final

from attrs import evolve, frozen
from returns.result import Success

from berylquay.call_verdicts import RefusalReason
from berylquay.decisions.attempt_outcomes import (
    NOT_RUN_OUTCOMES,
    UNSENT_OUTCOMES,
    AttemptOutcome,
    make_refusal,
    may_retry,
    record_attempt_outcome,
)
from berylquay.decisions.backend_registry import BackendEntry
from berylquay.decisions.call_arrivals import CallArrivals
from berylquay.decisions.crash_history import Suspicion
from berylquay.decisions.engine_placement import Placement
from berylquay.decisions.fleet import Address
from berylquay.decisions.relay_admission import AdmissionAction, admit
from berylquay.decisions.relay_call import GenerationRequest, RelayCall
from berylquay.decisions.response_end import EndVerdict, WaitingTime
from berylquay.decisions.stream_versions import PENDING_VERSION, UNLISTED_VERSION
from berylquay.net.body_framing import BodyFraming
from berylquay.net.http_client import STATUS_OK
from berylquay.net.persistent_http import RawResponseHead
from berylquay.net.response_heads import FIRST_REDIRECTION
from berylquay.platform.request_codec import (
    KVCacheHandle,
    RunDetails,
    decode_kv_cache_handle,
    encode_prefill_request,
    encode_run_request,
    find_answer_fault,
    has_encoded_body,
)
from berylquay.relay.attempt_failures import PREFILL_STAGE, RUN_STAGE, record_failed_attempt
from berylquay.relay.call_logging import (
    CallEnd,
    FailedAttempt,
    log_call_ended,
    log_placement,
    log_quarantined_content,
    log_retry_not_allowed,
    log_second_run_prevented,
    log_sent_again,
    log_transfer,
)
from berylquay.relay.caller_authentication import CallerAuthenticator, KeyRefusal
from berylquay.relay.caller_connection import CallerConnection, CallerRequest
from berylquay.relay.engine_selection import EngineSelection
from berylquay.relay.plain_server_selection import PlainServerSelection
from berylquay.relay.prefill_requests import PrefillResponseCollector, release_kv_cache
from berylquay.relay.refusals import send_refusal
from berylquay.relay.response_end_check import RESUMPTION_FRACTION, ResponseEndCheck
from berylquay.relay.response_relay import FIRST_SERVER_ERROR, ResponseRelay
from berylquay.relay.segment_announcements import SegmentAnnouncements
from berylquay.relay.segment_crash_handler import is_content
from berylquay.relay.services import RelayServices
from berylquay.relay.start_question import StartQuestion
from berylquay.relay.stream_beginning import StreamBeginning
from berylquay.relay.stream_lookup import LookupState, StreamLookup
from berylquay.relay.upstream_request import UpstreamRequest

CONNECT_TIMED_OUT: Final = "the connection was not established in time"
# Time after the deadline for which the backend server's own response to it is awaited.
DEADLINE_SLACK_S: Final = 0.1
# An engine is unresponsive if it sends nothing for this multiple of the predicted time to the first
# token, plus the margin.
STALL_TIMEOUT_FACTOR: Final = 2.5
STALL_TIMEOUT_MARGIN_S: Final = 0.4
# The same if another host has reported the engine as unresponsive.
REPORTED_STALL_TIMEOUT_FACTOR: Final = 1.5
REPORTED_STALL_TIMEOUT_MARGIN_S: Final = 0.3
# Spreads the ranks of routes over the engines' urgency levels, 1 to 9.
URGENCY_PER_RANK: Final = 2
# Most disaggregated prefills of one call; each after the first is charged to the retry budget.
MAX_PREFILL_ATTEMPTS: Final = 2
# Most questions for the start of an engine before a run.
MAX_START_QUESTIONS: Final = 8
# Stage of an attempt that asks an engine for its start.
START_STAGE: Final = "start"
# Outcome of a call that a backend server has answered.
ANSWERED: Final = "answered"
HIGHEST_URGENCY: Final = 1
LOWEST_URGENCY: Final = 9


@frozen
class RunFailure:
    """A run that has failed, and how."""

    upstream: UpstreamRequest
    outcome: AttemptOutcome
    detail: str


class RelayedRequest:
    """Drives one call: places it, sends it, relays the response, and ends the call once."""

    call: RelayCall
    caller: CallerConnection
    # Whether the final response was given, or the caller has disconnected.
    ended: bool
    _services: RelayServices
    # Selects the engines of a generation call.
    _engines: EngineSelection
    # Selects the server of a call of a plain service.
    _plain_servers: PlainServerSelection
    # Tells the other hosts which segments engines cache because of this call.
    _announcements: SegmentAnnouncements
    _caller_request: CallerRequest
    # Checks the caller's key again before each send.
    _authenticator: CallerAuthenticator
    # Called once when the request has ended.
    _on_ended: Callable[["RelayedRequest"], None]
    # Open request for a disaggregated prefill, or None.
    _prefill_request: UpstreamRequest | None
    # Open request to the backend server that runs the call, or None.
    _run_request: UpstreamRequest | None
    _placement: Placement | None
    # The newest attempt that has failed, or None.
    _failed_attempt: FailedAttempt | None
    # Search for the software version of the stream that the call continues, while it lasts.
    _stream_lookup: StreamLookup | None
    # Open question to the engine at which the stream is to go on, or None, and how many were asked.
    _start_question: StartQuestion | None
    _start_questions: int
    # The run that begins the caller's stream, if the stream may be continued; else None.
    _beginning: StreamBeginning | None
    # Failure of that run, while the version at which the stream may go on is not known, and the
    # time for which it has been awaited.
    _unhandled_failure: RunFailure | None
    _waiting_time: WaitingTime
    # Whether the call is queued at this host until an engine has little work.
    _queued: bool
    # KV cache that a prefill engine keeps for this call and that was not sent to a decode engine.
    _pending_kv_handle: KVCacheHandle | None
    # Disaggregated prefills that were sent.
    _prefill_attempts: int
    # Arrivals of the call at backend servers, which the retry budget must allow.
    _arrivals: CallArrivals
    # KV cache that the open run request transfers, and the expected time from sending that request
    # to its first event.
    _transferred_kv_handle: KVCacheHandle | None
    _expected_first_event_delay_s: float
    # Check whether the server of the run request has ended with its answer, while it lasts.
    _end_check: ResponseEndCheck | None
    # Passes the response on to the caller.
    _response: ResponseRelay
    # How the call ends if the failure that the response relay keeps is sent, or None without one.
    _failure_end: CallEnd | None
    # Monotonic time of the first byte of the response body, or None before it.
    _first_byte_s: float | None
    # The same for the open run request.
    _run_first_byte_s: float | None
    # Monotonic time of the newest complete event of the open run request or, before the first one,
    # of its first byte; None before that, and while the caller reads too slowly.
    _newest_event_s: float | None
    # Engine that prefills the prompt as part of the run and whose backlog includes it, or None.
    _run_prefill_engine: str | None
    # Whether the call was counted as one that began to run at a server.
    _is_usage_counted: bool

    def __init__(
        self,
        services: RelayServices,
        caller: CallerConnection,
        request: CallerRequest,
        call: RelayCall,
        *,
        authenticator: CallerAuthenticator,
        last_event_id: int | None,
        on_ended: Callable[["RelayedRequest"], None],
    ) -> None:
        self.call = call
        self.ended = False
        self._services = services
        self._engines = EngineSelection(services, call)
        self._plain_servers = PlainServerSelection(services, call)
        self._announcements = SegmentAnnouncements(services, call)
        self.caller = caller
        self._caller_request = request
        self._authenticator = authenticator
        self._on_ended = on_ended
        self._prefill_request = None
        self._run_request = None
        self._placement = None
        self._failed_attempt = None
        self._stream_lookup = None
        self._start_question = None
        self._start_questions = 0
        self._beginning = None
        self._unhandled_failure = None
        self._waiting_time = WaitingTime(0.0)
        self._queued = False
        self._pending_kv_handle = None
        self._prefill_attempts = 0
        self._arrivals = CallArrivals(services.retry_budget, call.pool.name)
        self._transferred_kv_handle = None
        self._expected_first_event_delay_s = 0.0
        self._response = ResponseRelay(
            caller,
            request.method,
            is_streaming_route=call.route.streaming,
            is_resumable=call.route.resumable,
            last_event_id=last_event_id,
        )
        self._failure_end = None
        self._end_check = None
        self._first_byte_s = None
        self._run_first_byte_s = None
        self._newest_event_s = None
        self._run_prefill_engine = None
        self._is_usage_counted = False

    def start(self, now_s: float) -> None:
        """Places and sends the call, queues it, or refuses it."""
        self._services.retry_budget.on_call(self.call.pool.name, now_s)
        self._services.demand.on_call_started(self.call.pool.name)
        if self.call.resumed_after_event is None:
            self._begin(now_s)
        else:
            lookup = StreamLookup(self._services, self.call, now_s)
            self._on_lookup(lookup, lookup.start(now_s), now_s)

    def _begin(self, now_s: float) -> None:
        if self.call.generation is not None:
            if self.call.tenant is not None and not self.call.is_caller_retry:
                shares = self._services.tenant_use.shares
                shares.on_asked(self.call.tenant, self.call.generation.work_tokens, now_s)
            self._place_generation(now_s, is_first_placement=True)
        else:
            self._services.demand.on_request(self.call.pool.name, 0, 0, now_s)
            self._send_to_server(now_s)

    def _record_demand(
        self, generation: GenerationRequest, placement: Placement | None, now_s: float
    ) -> None:
        """Counts the arrival of a generation call with the prefill that its placement costs."""
        tokens = generation.prompt_tokens if placement is None else placement.prefill_cost_tokens
        self._services.demand.on_request(
            self.call.pool.name, tokens, generation.max_output_tokens, now_s
        )

    def _on_lookup(self, lookup: StreamLookup, state: LookupState, now_s: float) -> None:
        """Begins, or goes on waiting for the version of the stream that the caller takes up."""
        self._stream_lookup = lookup if state is LookupState.PENDING else None
        if state is LookupState.FOUND:
            self._begin(now_s)
        elif state is LookupState.FAILED:
            detail = "the software version of the stream is not known"
            self._refuse(RefusalReason.NO_BACKEND, detail, now_s)

    def cancel(self, now_s: float) -> None:
        """Cancels all work for a caller that has disconnected."""
        if not self.ended:
            self._end(CallEnd("caller-gone"), now_s)

    def refuse_for_shutdown(self, now_s: float) -> None:
        """Ends the call with an error response, as the process is about to end."""
        self._record_possible_run()
        self._refuse(RefusalReason.SHUTTING_DOWN, "the host has stopped", now_s)

    def on_tick(self, now_s: float) -> None:
        """Enforces the deadline, the connect and stall timeouts, and retries queued placement."""
        call = self.call
        if now_s >= call.deadline_s + DEADLINE_SLACK_S:
            self._refuse_at_deadline(now_s)
            return
        for upstream in (self._run_request, self._prefill_request):
            if upstream is not None and upstream.is_stuck_connecting(now_s):
                upstream.give_up_connecting()
                self._fail_upstream(upstream, upstream.not_sent_outcome, CONNECT_TIMED_OUT, now_s)
                return
        if self._beginning is not None:
            self._beginning.on_tick(now_s)
        if self._advance_waiting_step(now_s):
            return
        prefill_request, run_request = self._prefill_request, self._run_request
        if prefill_request is not None:
            if self._is_stalled(prefill_request, now_s):
                self._abandon_stalled(prefill_request, "the prompt was not read in time", now_s)
        elif (
            run_request is not None
            and self._is_stalled(run_request, now_s)
            and self._can_retry_elsewhere(now_s)
        ):
            self._abandon_stalled(run_request, "no event came in time", now_s)
        elif run_request is not None and self._completes_no_event(now_s):
            run_request.cancel()
            detail = "no event was completed in time"
            self._fail_upstream(run_request, AttemptOutcome.CONNECTION_LOST, detail, now_s)

    def _advance_waiting_step(self, now_s: float) -> bool:
        """Advances what the call waits for besides an open request; tells whether it does wait."""
        if self._end_check is not None:
            self._check_end(self._end_check, now_s)
        elif self._stream_lookup is not None:
            self._on_lookup(self._stream_lookup, self._stream_lookup.on_tick(now_s), now_s)
        elif self._queued:
            self._place_generation(now_s, is_first_placement=True)
        elif self._start_question is not None:
            name = self._start_question.backend.name
            may_ask_others = self._engines.can_decode(now_s, besides=name)
            self._start_question.on_tick(now_s, may_ask_others=may_ask_others)
        elif self._unhandled_failure is not None:
            self._handle_failure(self._unhandled_failure, now_s)
        else:
            return False
        return True

    def _completes_no_event(self, now_s: float) -> bool:
        """Tells whether a stream that has begun is past the time after which callers abandon it."""
        newest_s, route = self._newest_event_s, self.call.route
        return route.streaming and newest_s is not None and now_s - newest_s > route.stall_timeout_s

    def _can_retry_elsewhere(self, now_s: float) -> bool:
        """Tells whether the run may be abandoned and sent to another engine."""
        call = self.call
        if not call.route.repeatable or len(set(call.sent_to)) >= call.route.max_attempts:
            return False
        return self._arrivals.can_run(now_s) and self._engines.can_decode(now_s)

    def _is_stalled(self, upstream: UpstreamRequest, now_s: float) -> bool:
        """Tells whether an upstream request is overdue and its engine has shown no activity.

        False for calls without a placement, and once the response body has begun.
        """
        placement = self._placement
        if placement is None or self._first_byte_s is not None:
            return False
        stall_timeout_s = placement.first_token_s * STALL_TIMEOUT_FACTOR + STALL_TIMEOUT_MARGIN_S
        health, name = self._services.health, upstream.backend.name
        if health.was_active_since(name, upstream.started_s):
            # The engine is slow or busy; cancelling would lose the work that it has begun.
            return False
        if health.is_reported_unresponsive(name, now_s):
            stall_timeout_s = (
                placement.first_token_s * REPORTED_STALL_TIMEOUT_FACTOR
                + REPORTED_STALL_TIMEOUT_MARGIN_S
            )
        return now_s - upstream.started_s > stall_timeout_s

    def _abandon_stalled(self, upstream: UpstreamRequest, detail: str, now_s: float) -> None:
        """Cancels a stalled upstream request and backs off from its engine for a while."""
        upstream.cancel()
        services, name = self._services, upstream.backend.name
        if upstream.gateway is not None or not services.path_monitor.paths.is_lost(name):
            services.health.on_unreachable(name, now_s)
            services.pending_updates.unresponsive.add(name)
        if upstream.gateway is None:
            services.path_monitor.on_silent(upstream.backend, now_s)
        self._fail_upstream(upstream, AttemptOutcome.CONNECTION_LOST, detail, now_s)

    def on_caller_writable(self) -> None:
        """Resumes reading from the backend server."""
        if self._run_request is not None:
            self._run_request.set_reading_paused(paused=False)
            self._newest_event_s = time.monotonic()

    # Placement.

    def _place_generation(self, now_s: float, is_first_placement: bool) -> None:
        generation = self.call.generation
        if generation is None or self._prevent_second_run(now_s):
            return
        if self._refuse_if_quarantined(now_s):
            return
        placement = self._engines.choose_placement(
            generation, may_disaggregate=self._may_disaggregate_prefill(now_s), now_s=now_s
        )
        # Whoever comes back after a refusal was counted then, and counts again only when admitted.
        is_retry = self.call.is_caller_retry
        if is_first_placement and not self._queued and not is_retry:
            self._record_demand(generation, placement, now_s)
        if placement is None:
            self._refuse_without_engine(now_s)
            return
        # A prompt that the decode engine prefills after all is a heavy load for it: admit it again.
        needs_admission = is_first_placement or (
            placement.prefill_engine is None and not self.caller.response_started
        )
        if needs_admission and not self._is_admitted(placement, now_s):
            return
        if is_first_placement and is_retry:
            self._record_demand(generation, placement, now_s)
        self._queued = False
        self._placement = placement
        if needs_admission and self.call.tenant is not None:
            shares = self._services.tenant_use.shares
            shares.on_sent(self.call.tenant, generation.work_tokens, now_s)
        log_placement(self._services, self.call, placement, "placed", now_s)
        if placement.prefill_engine is None:
            self._send_run(placement.decode_engine, None, now_s)
        else:
            self._send_prefill(placement.prefill_engine, placement, now_s)

    def _prevent_second_run(self, now_s: float) -> bool:
        """Tells whether the call must not be sent, as it runs or may have run.

        An open run goes on. A call that may have run and can't be repeated is refused.
        """
        call, run_request = self.call, self._run_request
        if run_request is not None:
            log_second_run_prevented(call, run_request.backend.name, self._failed_attempt)
            return True
        if call.may_have_run and not call.route.repeatable:
            log_second_run_prevented(call, "", self._failed_attempt)
            self._refuse(RefusalReason.BACKEND_FAILED, "the call may have run", now_s)
            return True
        return False

    def _refuse_if_quarantined(self, now_s: float) -> bool:
        """Refuses the call if its content or a segment is quarantined; tells whether it did."""
        call, crash_history = self.call, self._services.crash_history
        quarantine = self._services.segment_crashes.find_quarantined(call, now_s)
        if quarantine is not None and not is_content(quarantine.segment):
            detail = f"prompts with segment {quarantine.segment} crash engines"
            remaining_s = quarantine.remaining_s
        elif quarantine or crash_history.suspicion_of(call.fingerprint) is Suspicion.QUARANTINED:
            detail = "requests with this content crash servers"
            log_quarantined_content(call, len(crash_history.crashes_of(call.fingerprint)))
            remaining_s = (
                quarantine.remaining_s
                if quarantine
                else crash_history.quarantine_remaining_s(call.fingerprint, now_s)
            )
        else:
            return False
        self._refuse(RefusalReason.QUARANTINED, detail, now_s, remaining_s)
        return True

    def _may_disaggregate_prefill(self, now_s: float) -> bool:
        """Tells whether a disaggregated prefill may be sent; the first needs no retry budget."""
        if not self._prefill_attempts:
            return True
        is_allowed = self._prefill_attempts < MAX_PREFILL_ATTEMPTS
        return is_allowed and self._arrivals.can_prefill(now_s)

    def _is_admitted(self, placement: Placement, now_s: float) -> bool:
        """Tells whether the call may be sent now; if not, queues or refuses it."""
        services = self._services
        admission = admit(
            self.call,
            placement,
            services.admission,
            host_count=services.live_host_count,
            rng=services.rng,
            now_s=now_s,
        )
        if self.call.tenant is not None:
            shares = services.tenant_use.shares
            admission = shares.adjust(admission, self.call, placement, services.admission, now_s)
        if admission.action is AdmissionAction.SEND:
            return True
        if admission.action is AdmissionAction.QUEUE:
            if not self._queued:
                self._queued = True
                log_placement(self._services, self.call, placement, "held", now_s)
            return False
        log_placement(self._services, self.call, placement, "refused", now_s)
        detail = "the first token would be too late"
        self._refuse(RefusalReason.OVERLOADED, detail, now_s, admission.retry_after_s)
        return False

    def _send_to_server(self, now_s: float) -> None:
        if self._prevent_second_run(now_s) or self._refuse_if_quarantined(now_s):
            return
        server = self._plain_servers.choose(now_s)
        if server is None:
            self._refuse(RefusalReason.NO_BACKEND, "no backend server is left to try", now_s)
            return
        self._send_run(server, None, now_s)

    # Sending.

    def _refuse_if_key_removed(self, now_s: float) -> bool:
        """Refuses the call if the newest configuration lacks its key; tells whether it did."""
        call = self.call
        identity = self._authenticator.identify(call.route, self._caller_request.headers, now_s)
        if isinstance(identity, KeyRefusal):
            is_undecided = identity.fault is None
            cause = "outdated" if is_undecided else "removed"
            self._services.metrics.tenants.on_key_refused(cause)
            reason = (
                RefusalReason.PLATFORM_UNAVAILABLE if is_undecided else RefusalReason.UNAUTHORIZED
            )
            self._refuse(reason, identity.detail, now_s)
            return True
        if identity.hides_key:
            call.tenant, call.tenant_rank, call.hides_key = identity.tenant, identity.rank, True
        return False

    def _send_prefill(self, engine: BackendEntry, placement: Placement, now_s: float) -> None:
        if self._refuse_if_key_removed(now_s):
            return
        if not self._arrivals.reserve_prefill(now_s):
            self._refuse_over_budget(now_s)
            return
        call, services = self.call, self._services
        self._arrivals.on_sent()
        self._prefill_attempts += 1
        details = evolve(
            self._run_details(engine, now_s), copy_source=_address_of(placement.copy_from)
        )
        request = self._caller_request
        raw_request = encode_prefill_request(
            request.method, request.target, request.headers, request.body, details
        )
        services.backlog.add_prompt(engine.name, call.call_id, placement.prefill_cost_tokens)
        services.placement.on_placed(placement, now_s)
        self._announcements.on_prefill_placed(engine.name, placement, now_s)
        services.on_work_placed(now_s)
        self._log_repeat(engine, PREFILL_STAGE)
        connection = services.acquire_connection(engine, False, now_s)
        self._prefill_request = UpstreamRequest(
            PrefillResponseCollector(self),
            engine,
            connection,
            raw_request,
            call_id=call.call_id,
            on_notice=services.on_server_notice,
            now_s=now_s,
        )

    def _send_run(
        self, backend: BackendEntry, kv_handle: KVCacheHandle | None, now_s: float
    ) -> None:
        if self._prevent_second_run(now_s) or self._refuse_if_key_removed(now_s):
            return
        call, services = self.call, self._services
        needs_start = call.stream_version is not None and backend.states_start
        if needs_start and not services.connection_pool.has_idle_at_start(backend, now_s):
            self._ask_start(backend, kv_handle, now_s)
            return
        if not self._arrivals.reserve_run(now_s):
            self._refuse_over_budget(now_s)
            return
        self._arrivals.on_sent()
        self._start_questions = 0
        call.sent_to.append(backend.name)
        last_event_id = self._response.newest_event_id if self.caller.response_started else None
        details = self._run_details(backend, now_s, kv_handle, last_event_id)
        # Placement of a prompt that this engine has still to prefill; plain calls have none.
        placement = self._placement if kv_handle is None else None
        if placement is not None:
            details = evolve(details, copy_source=_address_of(placement.copy_from))
        request = self._caller_request
        raw_request = encode_run_request(
            request.method, request.target, request.headers, request.body, details
        )
        self._pending_kv_handle = None
        self._run_first_byte_s = None
        self._newest_event_s = None
        self._transferred_kv_handle = kv_handle
        if call.generation is not None:
            services.backlog.add_stream(backend.name, call.call_id)
            if placement is not None:
                self._run_prefill_engine = backend.name
                services.backlog.add_prompt(
                    backend.name, call.call_id, placement.prefill_cost_tokens
                )
                services.placement.on_placed(placement, now_s)
                self._announcements.on_prefill_placed(backend.name, placement, now_s)
            services.on_work_placed(now_s)
        else:
            services.in_flight[backend.name] += 1
        self._log_repeat(backend, RUN_STAGE)
        connection = services.acquire_connection(
            backend, not call.route.repeatable, now_s, at_listed_start=needs_start
        )
        self._run_request = UpstreamRequest(
            self,
            backend,
            connection,
            raw_request,
            call_id=call.call_id,
            on_notice=services.on_server_notice,
            now_s=now_s,
        )
        may_be_continued = call.route.streaming and call.route.resumable
        if may_be_continued and call.stream_version is None:
            self._beginning = StreamBeginning(services, call, self._run_request)

    def _log_repeat(self, backend: BackendEntry, stage: str) -> None:
        """Logs that the call is about to be sent again, if an attempt has failed before."""
        if self._failed_attempt is not None:
            open_requests = (self._prefill_request, self._run_request)
            open_at = [upstream.backend.name for upstream in open_requests if upstream is not None]
            log_sent_again(self.call, backend.name, stage, self._failed_attempt, open_at)

    def _ask_start(
        self, engine: BackendEntry, kv_handle: KVCacheHandle | None, now_s: float
    ) -> None:
        """Asks an engine for its start before the caller's stream goes on there."""
        self._start_questions += 1
        # Other calls see the load that is about to come.
        self._services.backlog.add_stream(engine.name, self.call.call_id)
        self._start_question = StartQuestion(
            self._services, engine, kv_handle, self._on_start_stated, self._on_start_not_stated
        )
        self._start_question.send(now_s)

    def _on_start_stated(self, question: StartQuestion) -> None:
        """Sends the run if the engine is the start that is listed; else chooses another one."""
        now_s, engine = time.monotonic(), question.backend
        self._end_start_question()
        if self.ended:
            return
        # The engine may have closed the connection that is to carry the run.
        if self._services.connection_pool.has_idle_at_start(engine, now_s):
            self._send_run(engine, question.kv_handle, now_s)
        else:
            self.call.unproven_engines.add(engine.name)
            self._go_on_elsewhere(question, now_s)

    def _end_start_question(self) -> None:
        question, self._start_question = self._start_question, None
        if question is not None:
            self._services.backlog.remove_stream(question.backend.name, self.call.call_id)

    def _on_start_not_stated(
        self, question: StartQuestion, outcome: AttemptOutcome, detail: str
    ) -> None:
        """Chooses another engine, or another way to this one, as it has not answered."""
        now_s = time.monotonic()
        self._end_start_question()
        if self.ended:
            return
        if question.upstream is not None:
            record_failed_attempt(
                self._services,
                self.call,
                question.upstream,
                outcome,
                detail,
                stage=START_STAGE,
                wrote_s=None,
                now_s=now_s,
            )
        if outcome in UNSENT_OUTCOMES:
            # The engine backs off, or is tried by way of the next gateway.
            record_attempt_outcome(self.call, outcome)
        else:
            self.call.unproven_engines.add(question.backend.name)
        self._go_on_elsewhere(question, now_s)

    def _go_on_elsewhere(self, question: StartQuestion, now_s: float) -> None:
        """Places the continuation of the stream again, with the KV cache if there is one."""
        call, limits = self.call, self._services.attempts
        generation, kv_handle = call.generation, question.kv_handle
        is_given_up = (
            self._start_questions >= MAX_START_QUESTIONS
            or call.failed_connects >= limits.max_failed_connects
            or call.failed_gateways >= limits.max_failed_gateways
        )
        if generation is None or is_given_up:
            self._refuse_without_engine(now_s)
        elif kv_handle is None:
            self._place_generation(now_s, is_first_placement=False)
        else:
            self._send_to_decode_engine(generation, kv_handle, now_s)

    def _send_to_decode_engine(
        self, generation: GenerationRequest, kv_handle: KVCacheHandle, now_s: float
    ) -> None:
        """Sends the run to the best engine for a KV cache, or refuses it if none is left."""
        prefill_engine = self._services.registry.get(kv_handle.engine)
        decode_engine = None
        if prefill_engine is not None:
            decode_engine = self._engines.choose_decode_engine(
                generation, prefill_engine, None, now_s
            )
        if decode_engine is None:
            self._refuse_without_engine(now_s)
        else:
            self._send_run(decode_engine, kv_handle, now_s)

    def _run_details(
        self,
        backend: BackendEntry,
        now_s: float,
        kv_handle: KVCacheHandle | None = None,
        last_event_id: int | None = None,
    ) -> RunDetails:
        call = self.call
        urgency = None
        if call.generation is not None:
            urgency = min(LOWEST_URGENCY, HIGHEST_URGENCY + URGENCY_PER_RANK * call.rank)
        return RunDetails(
            backend.name,
            call.remaining_s(now_s),
            urgency,
            kv_handle,
            last_event_id,
            hides_key=call.hides_key,
            tenant=call.tenant,
        )

    # Disaggregated prefill.

    def on_prefill_response(self, upstream: UpstreamRequest, body: bytes) -> None:
        """Sends the call to a decode engine, with the handle of the prefilled KV cache."""
        now_s = time.monotonic()
        if self.ended:
            return
        head = upstream.head
        decoded = decode_kv_cache_handle(upstream.backend.name, upstream.backend.address, body)
        kv_handle = decoded.value_or(None)
        is_handle = head is not None and head.status == STATUS_OK and not has_encoded_body(head)
        if not is_handle or kv_handle is None:
            self._fail_upstream(
                upstream, AttemptOutcome.SERVER_ERROR, "no handle for the prompt", now_s
            )
            return
        self._prefill_request = None
        self._arrivals.on_prefill_accepted(now_s)
        self._record_prefill(upstream, now_s)
        self._pending_kv_handle = kv_handle
        if self._refuse_if_quarantined(now_s):
            return
        generation = self.call.generation
        decode_engine = None
        if generation is not None:
            planned = None if self._placement is None else self._placement.decode_engine
            decode_engine = self._engines.choose_decode_engine(
                generation, upstream.backend, planned, now_s
            )
        if generation is None or decode_engine is None:
            self._refuse_without_engine(now_s)
            return
        self._expected_first_event_delay_s = self._services.placement.kv_transfer_to_first_event_s(
            generation, upstream.backend, decode_engine, now_s
        )
        log_transfer(self.call, upstream, decode_engine.name, kv_handle.prompt_tokens, now_s)
        self._send_run(decode_engine, kv_handle, now_s)

    def on_prefill_failed(
        self, upstream: UpstreamRequest, outcome: AttemptOutcome, detail: str
    ) -> None:
        """Places the call again; without a prefill engine if no further prefill may be sent."""
        if not self.ended:
            self._fail_upstream(upstream, outcome, detail, time.monotonic())

    def _record_prefill(self, upstream: UpstreamRequest, now_s: float) -> None:
        services, call = self._services, self.call
        services.backlog.remove_prompt(upstream.backend.name, call.call_id)
        services.health.on_answered(upstream.backend.name, now_s)
        services.metrics.on_attempt_ended(call.pool.name, "prompt-read")
        self._announcements.on_prefilled(upstream.backend.name, now_s)
        if self._placement is not None:
            predicted_s = self._placement.first_token_s
            services.estimates.on_prefilled(
                upstream.backend.name, predicted_s, now_s - upstream.started_s
            )

    # Response.

    def on_upstream_head(self, upstream: UpstreamRequest, head: RawResponseHead) -> None:
        """Prepares to relay the response, unless it is no answer or does not continue a stream."""
        self._arrivals.on_arrived(time.monotonic())
        if self.call.generation is None:
            self._count_usage()
        fault = find_answer_fault(head)
        if not fault and not self._response.begin(head):
            fault = f"status {head.status} instead of the rest of the stream"
        if fault:
            upstream.cancel()
            self._fail_upstream(upstream, AttemptOutcome.SERVER_ERROR, fault, time.monotonic())
            return
        if head.framing is BodyFraming.CONNECTION_END:
            self._find_start(upstream, time.monotonic())

    def _find_start(self, upstream: UpstreamRequest, now_s: float) -> None:
        """Asks which start of an engine answers if there are signs that the listed one has ended.

        The end of the answer can then be told to be that start's.
        """
        backend, connection, services = upstream.backend, upstream.connection, self._services
        established_s = connection.established_s
        if (
            backend.states_start
            and established_s is not None
            and services.server_starts.is_doubted(backend.name, backend.started_unix_ms)
            and not services.connection_pool.find_start(backend.name, connection)
        ):
            services.instance_probes.state_since(backend, established_s, now_s)

    def on_upstream_data(self, upstream: UpstreamRequest, data: bytes) -> None:
        """Relays or buffers a piece of the response body."""
        if self.ended:
            return
        if self._run_first_byte_s is None:
            self._run_first_byte_s = time.monotonic()
        if self._first_byte_s is None:
            self._record_first_byte(upstream, self._run_first_byte_s)
        if upstream.head is not None and upstream.head.status < FIRST_REDIRECTION:
            self._count_usage()
        self._services.path_monitor.paths.has_new_data = True
        relayed_bytes = self._response.relayed_bytes
        is_caller_ready = self._response.feed(data)
        if self._response.is_run_unfit:
            upstream.cancel()
            detail = "the run did not go on after the newest event"
            self._fail_upstream(upstream, AttemptOutcome.SERVER_ERROR, detail, time.monotonic())
            return
        if self._newest_event_s is None or self._response.relayed_bytes > relayed_bytes:
            self._newest_event_s = time.monotonic()
        if self.caller.response_started:
            self._record_stream_begun(upstream)
        if not is_caller_ready:
            upstream.set_reading_paused(paused=True)
            self._newest_event_s = None

    def _count_usage(self) -> None:
        """Counts the call once, as one that began to run at a server."""
        tenant = self.call.tenant
        on_request_began = self._services.on_request_began
        if tenant is None or on_request_began is None or self._is_usage_counted:
            return
        self._is_usage_counted = True
        on_request_began(tenant)

    def _record_stream_begun(self, upstream: UpstreamRequest) -> None:
        """Records the version of the server whose events the caller has received first."""
        call = self.call
        if not call.route.streaming or call.stream_version is not None:
            return
        if self._beginning is None:
            call.stream_version = upstream.backend.software_version
        else:
            self._beginning.on_first_event(time.monotonic())

    def on_upstream_complete(self, upstream: UpstreamRequest) -> None:
        """Ends the response, or tries another backend server after a failure."""
        now_s = time.monotonic()
        if self.ended:
            return
        if self._response.is_end_uncertain:
            check = ResponseEndCheck(self._services, self.call, self._response, upstream, now_s)
            self._check_end(check, now_s)
        else:
            self._complete_response(upstream, now_s)

    def _check_end(self, check: ResponseEndCheck, now_s: float) -> None:
        """Completes the answer, takes it for broken off, or goes on waiting for the result."""
        verdict = check.judge(now_s)
        self._end_check = check if verdict is None else None
        if verdict is EndVerdict.WHOLE:
            self._complete_response(check.upstream, now_s)
        elif verdict is EndVerdict.AT_DEADLINE:
            self._refuse_at_deadline(now_s)
        elif verdict is not None:
            detail = f"the server may have ended with the answer: {check.evidence}"
            # Doubt is no crash: it must not count against the content.
            is_lost = verdict is EndVerdict.BROKEN_OFF
            outcome = AttemptOutcome.CONNECTION_LOST if is_lost else AttemptOutcome.SERVER_ERROR
            self._fail_upstream(check.upstream, outcome, detail, now_s)

    def _complete_response(self, upstream: UpstreamRequest, now_s: float) -> None:
        head = upstream.head
        if head is None:
            return
        failed = head.status >= FIRST_SERVER_ERROR
        self._release_upstream(upstream)
        body_end = self._response.finish_body()
        if not isinstance(body_end, Success):
            self._fail_run(upstream, AttemptOutcome.CONNECTION_LOST, body_end.failure(), now_s)
            return
        outcome = "failed-at-backend" if failed else ANSWERED
        end = CallEnd(outcome, upstream.backend.name, framing=upstream.framing)
        if failed:
            self._failure_end = end
            self._response.keep_failure(body_end.unwrap())
            detail = f"status {head.status}"
            if self._retry_elsewhere(upstream, AttemptOutcome.SERVER_ERROR, detail, now_s):
                return
        if not failed:
            self._services.health.on_answered(upstream.backend.name, now_s)
            self._services.crash_history.clear(self.call.fingerprint)
            self._services.segment_crashes.on_content_answered(self.call, now_s)
        if head.status < FIRST_REDIRECTION:
            self._services.segment_crashes.on_answered(self.call, now_s)
        self._response.send_rest(body_end.unwrap())
        self._end_answered(end, now_s)

    def _end_answered(self, end: CallEnd, now_s: float) -> None:
        """Ends the call and the response, of which the caller was sent all but its end."""
        self._services.metrics.on_attempt_ended(self.call.pool.name, "answered")
        # The call ends first: ending the response may bring the caller's next request.
        self._end(end, now_s)
        self.caller.end_response()

    def on_upstream_failed(
        self, upstream: UpstreamRequest, outcome: AttemptOutcome, detail: str
    ) -> None:
        """Tries another backend server, or refuses the call."""
        if not self.ended:
            self._fail_upstream(upstream, outcome, detail, time.monotonic())

    def _record_first_byte(self, upstream: UpstreamRequest, now_s: float) -> None:
        self._first_byte_s = now_s
        predicted_s = None
        if self._placement is not None:
            predicted_s = self._placement.first_token_s
        elapsed_s = now_s - self.call.received_s
        self._services.health.on_activity(upstream.backend.name, now_s)
        if self._transferred_kv_handle is not None:
            excess_s = now_s - upstream.started_s - self._expected_first_event_delay_s
            self._services.estimates.on_first_event(upstream.backend.name, excess_s, now_s)
        self._services.metrics.on_first_byte(self.call.route.name, elapsed_s, predicted_s)
        if self._run_prefill_engine is not None:
            self._services.backlog.remove_prompt(self._run_prefill_engine, self.call.call_id)
            self._announcements.on_prefilled(self._run_prefill_engine, now_s)
            if predicted_s is not None:
                self._services.estimates.on_prefilled(
                    self._run_prefill_engine, predicted_s, now_s - upstream.started_s
                )
            self._run_prefill_engine = None

    # Failures.

    def _fail_upstream(
        self, upstream: UpstreamRequest, outcome: AttemptOutcome, detail: str, now_s: float
    ) -> None:
        if upstream is self._prefill_request:
            self._fail_prefill(upstream, outcome, detail, now_s)
        else:
            self._release_upstream(upstream)
            self._fail_run(upstream, outcome, detail, now_s)

    def _fail_prefill(
        self, upstream: UpstreamRequest, outcome: AttemptOutcome, detail: str, now_s: float
    ) -> None:
        self._prefill_request = None
        services, call = self._services, self.call
        services.backlog.remove_prompt(upstream.backend.name, call.call_id)
        self._record_failure(upstream, outcome, detail, PREFILL_STAGE, now_s)
        self._record_arrival(outcome, now_s)
        if outcome is AttemptOutcome.GATEWAY_FAILED:
            # Nothing was sent, so the prefill may be tried by way of the next gateway.
            self._prefill_attempts -= 1
            record_attempt_outcome(call, outcome)
            if call.failed_gateways >= services.attempts.max_failed_gateways:
                self._refuse_after_failure(outcome, detail, now_s)
                return
        if not self._arrivals.reserve_run(now_s):
            self._refuse_over_budget(now_s)
            return
        self._place_generation(now_s, is_first_placement=False)

    def _record_arrival(self, outcome: AttemptOutcome, now_s: float) -> None:
        """Tells the retry budget whether the request that has failed reached a server."""
        if outcome in UNSENT_OUTCOMES:
            self._arrivals.on_not_arrived()
        else:
            self._arrivals.on_arrived(now_s)

    def _refuse_over_budget(self, now_s: float) -> None:
        log_retry_not_allowed(self._services, self.call, now_s)
        self._refuse(RefusalReason.OVERLOADED, "the retry budget is used up", now_s)

    def _fail_run(
        self, upstream: UpstreamRequest, outcome: AttemptOutcome, detail: str, now_s: float
    ) -> None:
        self._waiting_time = WaitingTime(now_s)
        self._handle_failure(RunFailure(upstream, outcome, detail), now_s)

    def _handle_failure(self, failure: RunFailure, now_s: float) -> None:
        """Goes on elsewhere, or refuses the call, once it is known which version has begun."""
        beginning = self._beginning
        if beginning is not None:
            beginning.on_tick(now_s)
            limit_s = self.call.route.stall_timeout_s * RESUMPTION_FRACTION
            if beginning.is_pending and self._waiting_time.on_tick(now_s) < limit_s:
                self._unhandled_failure = failure
                return
        self._beginning = self._unhandled_failure = None
        upstream, outcome, detail = failure.upstream, failure.outcome, failure.detail
        if not self._retry_elsewhere(upstream, outcome, detail, now_s):
            self._refuse_after_failure(outcome, detail, now_s)

    def _retry_elsewhere(
        self, upstream: UpstreamRequest, outcome: AttemptOutcome, detail: str, now_s: float
    ) -> bool:
        """Sends the call to another backend server if that is allowed; tells whether it did."""
        call, services = self.call, self._services
        kv_handle, self._transferred_kv_handle = self._transferred_kv_handle, None
        if kv_handle is not None and outcome is AttemptOutcome.REJECTED:
            # The prefill engine lost the KV cache, or the decode engine could not reach it.
            outcome = AttemptOutcome.KV_CACHE_UNAVAILABLE
            services.health.on_failed(kv_handle.engine)
        self._record_failure(upstream, outcome, detail, RUN_STAGE, now_s)
        if outcome in UNSENT_OUTCOMES and call.sent_to:
            call.sent_to.pop()
        record_attempt_outcome(call, outcome)
        self._record_arrival(outcome, now_s)
        if self.caller.response_started and not self._response.can_resume:
            return False
        if not self._has_server_left(now_s):
            return False
        has_budget = self._arrivals.reserve_run(now_s)
        if not may_retry(call, outcome, has_budget, now_s, services.attempts):
            if not has_budget:
                log_retry_not_allowed(services, call, now_s)
            return False
        self._response.discard_attempt()
        if call.generation is not None:
            self._place_generation(now_s, is_first_placement=False)
        else:
            self._send_to_server(now_s)
        return True

    def _has_server_left(self, now_s: float) -> bool:
        """Tells whether there is a server to which the call may be sent next."""
        if self.call.generation is not None:
            return self._engines.can_decode(now_s)
        return self._plain_servers.has_untried(now_s)

    def _record_failure(
        self,
        upstream: UpstreamRequest,
        outcome: AttemptOutcome,
        detail: str,
        stage: str,
        now_s: float,
    ) -> None:
        call = self.call
        self._failed_attempt = FailedAttempt(upstream.backend.name, stage, outcome, detail)
        if outcome is AttemptOutcome.CONNECTION_LOST and call.generation is None:
            # The request may have run although its answer was lost.
            self._count_usage()
        record_failed_attempt(
            self._services,
            call,
            upstream,
            outcome,
            detail,
            stage=stage,
            wrote_s=None if self._run_first_byte_s is None else now_s - self._run_first_byte_s,
            now_s=now_s,
        )

    def _refuse_without_engine(self, now_s: float) -> None:
        detail = "no engine makes tokens"
        if self.call.stream_version in (PENDING_VERSION, UNLISTED_VERSION):
            detail = "the software version of the stream is not known"
        elif self.call.stream_version is not None:
            detail += f" at version {self.call.stream_version}, where the stream began"
        self._refuse(RefusalReason.NO_BACKEND, detail, now_s)

    def _refuse_after_failure(self, outcome: AttemptOutcome, detail: str, now_s: float) -> None:
        reason = (
            RefusalReason.OVERLOADED
            if outcome in NOT_RUN_OUTCOMES
            else RefusalReason.BACKEND_FAILED
        )
        self._refuse(reason, detail, now_s)

    def _refuse_at_deadline(self, now_s: float) -> None:
        self._record_possible_run()
        self._refuse(RefusalReason.DEADLINE, "the time is over", now_s)

    def _record_possible_run(self) -> None:
        """Records that the open run, which is about to be cancelled, may have begun."""
        if self._run_request is not None and self._run_request.may_have_run:
            self.call.may_have_run = True

    def _refuse(
        self,
        reason: RefusalReason,
        detail: str,
        now_s: float,
        retry_after_s: float | None = None,
    ) -> None:
        """Ends the call with an error response to the caller.

        A failure that a server has answered before goes first: it is the answer to a run.
        """
        if self._failure_end is not None and self._response.has_failure:
            self._response.send_failure()
            self._end_answered(self._failure_end, now_s)
            return
        if reason is RefusalReason.OVERLOADED:
            self._services.demand.on_refused(self.call.pool.name, now_s)
        refusal = make_refusal(self.call, reason, detail, self._retry_after_s(retry_after_s, now_s))
        response_started = self.caller.response_started
        end = CallEnd(f"refused-{reason.value}", verdict=refusal.verdict, detail=detail)
        self._end(end, now_s)
        if response_started:
            # A response that has begun must not look complete.
            self.caller.abort()
        else:
            send_refusal(self.caller, refusal)

    def _retry_after_s(self, predicted_s: float | None, now_s: float) -> float:
        """Returns when the caller should come back.

        Args:
            predicted_s: Time after which the load allows the call, or None if that is not known.
            now_s: Present time.
        """
        services = self._services
        pause_s = services.registry.earliest_return_s(self.call.pool.name, now_s)
        return max(predicted_s or services.attempts.retry_after_s, pause_s or 0.0)

    # Completion.

    def _release_upstream(self, upstream: UpstreamRequest) -> None:
        """Removes the run's work from the load that is tracked for its backend server."""
        services, call = self._services, self.call
        if upstream is self._run_request:
            self._run_request = None
        if call.generation is not None:
            services.backlog.remove_stream(upstream.backend.name, call.call_id)
            services.backlog.remove_prompt(upstream.backend.name, call.call_id)
            self._run_prefill_engine = None
        else:
            services.in_flight[upstream.backend.name] -= 1

    def _end(self, end: CallEnd, now_s: float) -> None:
        call = self.call
        self.ended = True
        self._queued = False
        self._end_check = None
        self._beginning = self._unhandled_failure = None
        self._cancel_upstreams(now_s)
        self._arrivals.on_ended(now_s)
        self._services.demand.on_call_ended(
            call.pool.name, now_s - call.received_s, answered=end.outcome == ANSWERED
        )
        self._services.metrics.on_call_ended(call.route.name, end.outcome, now_s - call.received_s)
        if call.tenant is not None:
            was_answered = end.outcome == ANSWERED
            self._services.metrics.tenants.on_call_ended(call.tenant, was_answered=was_answered)
        first_byte_delay_s = (
            None if self._first_byte_s is None else self._first_byte_s - call.received_s
        )
        log_call_ended(call, end, self._response, first_byte_delay_s, now_s)
        self._on_ended(self)

    def _cancel_upstreams(self, now_s: float) -> None:
        prefill_request, run_request = self._prefill_request, self._run_request
        if self._start_question is not None:
            self._start_question.cancel()
            self._end_start_question()
        if prefill_request is not None:
            prefill_request.cancel()
            self._services.backlog.remove_prompt(prefill_request.backend.name, self.call.call_id)
            self._prefill_request = None
        if run_request is not None:
            if run_request.may_have_run and self.call.generation is None:
                self._count_usage()
            run_request.cancel()
            self._release_upstream(run_request)
        if self._pending_kv_handle is not None:
            release_kv_cache(self._services, self._pending_kv_handle, now_s)
            self._pending_kv_handle = None


def _address_of(engine: BackendEntry | None) -> Address | None:
    return None if engine is None else engine.address

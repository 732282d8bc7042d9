"""Log lines on a relayed request's decisions, from its placement to its final answer."""

import logbook
from attrs import frozen

from berylquay.call_verdicts import Verdict
from berylquay.decisions.attempt_outcomes import AttemptOutcome
from berylquay.decisions.engine_placement import Placement
from berylquay.decisions.relay_call import RelayCall
from berylquay.relay.response_relay import ResponseRelay
from berylquay.relay.services import RelayServices
from berylquay.relay.upstream_request import UpstreamRequest

_log = logbook.Logger("exchange")


@frozen
class CallEnd:
    """How a call has ended."""

    outcome: str
    # Server that has answered; empty if none has.
    backend: str = ""
    # Whether the call may have run, if this host has refused it.
    verdict: Verdict | None = None
    detail: str = ""
    # How the answer marked the end of its body; empty if there was none.
    framing: str = ""


@frozen
class FailedAttempt:
    """What a failed attempt tells about the next one for the same call."""

    backend: str
    # Whether the attempt was to prefill the prompt or to generate the answer.
    stage: str
    outcome: AttemptOutcome
    detail: str


def log_placement(
    services: RelayServices, call: RelayCall, placement: Placement, outcome: str, now_s: float
) -> None:
    """Logs where a prompt is placed, or would be if it was not queued or refused."""
    generation = call.generation
    _log.info(
        "generation " + outcome,
        id=call.call_id,
        route=call.route.name,
        reader=None if placement.prefill_engine is None else placement.prefill_engine.name,
        decoder=placement.decode_engine.name,
        copy_from=None if placement.copy_from is None else placement.copy_from.name,
        predicted_ms=to_ms(placement.first_token_s),
        objective_ms=to_ms(call.route.objective_s),
        to_read=placement.prefill_cost_tokens,
        prompt=0 if generation is None else generation.prompt_tokens,
        shared=0 if generation is None else generation.shared_tokens,
        waiting=services.backlog.waiting_prefill_tokens(
            (placement.prefill_engine or placement.decode_engine).name, now_s
        ),
        returning=call.is_caller_retry,
        software_version=placement.decode_engine.software_version,
        started_unix_ms=placement.decode_engine.started_unix_ms,
        resumes=call.resumed_call_id,
        after_event=call.resumed_after_event,
    )


def log_quarantined_content(call: RelayCall, losses: int) -> None:
    """Logs that a call is refused because servers were lost to its content."""
    _log.warning("content is quarantined", id=call.call_id, losses=losses)


def log_transfer(
    call: RelayCall, prefill: UpstreamRequest, decoder: str, tokens: int, now_s: float
) -> None:
    """Logs that a prompt is prefilled, and that another engine fetches its KV cache."""
    _log.info(
        "KV cache transfer started",
        id=call.call_id,
        reader=prefill.backend.name,
        decoder=decoder,
        read_ms=to_ms(now_s - prefill.started_s),
        tokens=tokens,
    )


def log_attempt_failed(
    call: RelayCall,
    upstream: UpstreamRequest,
    outcome: AttemptOutcome,
    detail: str,
    *,
    stage: str,
    failure_rate: float,
    backoff_s: float,
    is_leaving: bool,
    wrote_s: float | None,
    now_s: float,
) -> None:
    """Logs a failed attempt.

    Args:
        call: The call.
        upstream: The attempt.
        outcome: How it ended.
        detail: Reason of the failure.
        stage: Whether the attempt was to prefill the prompt or to generate the answer.
        failure_rate: Failure rate of the server.
        backoff_s: Time for which the server gets no requests from this host.
        is_leaving: Whether the server is leaving or gone.
        wrote_s: Time for which the answer had been arriving, or None if it had not begun to.
        now_s: Present time.
    """
    _log.info(
        "attempt failed",
        id=call.call_id,
        stage=stage,
        backend=upstream.backend.name,
        end=outcome.value,
        detail=detail,
        framing=upstream.framing,
        gateway=None if upstream.gateway is None else upstream.gateway.gateway,
        after_ms=to_ms(now_s - upstream.started_s),
        failure_rate=round(failure_rate, 3),
        paused_ms=to_ms(backoff_s),
        leaving=is_leaving,
        segments=call.shared_segment_ids,
        wrote_ms=None if wrote_s is None else to_ms(wrote_s),
    )


def log_sent_again(
    call: RelayCall, backend: str, stage: str, cause: FailedAttempt, open_at: list[str]
) -> None:
    """Logs that a call is sent to a server after another attempt has failed.

    Args:
        call: The call.
        backend: Name of the server.
        stage: Whether the server is to prefill the prompt or to generate the answer.
        cause: The attempt that has failed.
        open_at: Servers at which attempts of the call are still open.
    """
    _log.info(
        "sent again",
        id=call.call_id,
        stage=stage,
        backend=backend,
        failed_stage=cause.stage,
        failed_backend=cause.backend,
        end=cause.outcome.value,
        detail=cause.detail,
        may_have_run=call.may_have_run,
        repeatable=call.route.repeatable,
        open_at=open_at,
        sent_to=call.sent_to,
    )


def log_second_run_prevented(
    call: RelayCall, open_at: str, failed_attempt: FailedAttempt | None
) -> None:
    """Logs that a call is not sent, as it runs or may have run.

    Args:
        call: The call.
        open_at: Server at which a run of the call is open, or empty.
        failed_attempt: The newest attempt that has failed, or None.
    """
    _log.warning(
        "second run prevented",
        id=call.call_id,
        open_at=open_at,
        may_have_run=call.may_have_run,
        repeatable=call.route.repeatable,
        failed_stage="" if failed_attempt is None else failed_attempt.stage,
        failed_backend="" if failed_attempt is None else failed_attempt.backend,
        detail="" if failed_attempt is None else failed_attempt.detail,
    )


def log_unframed_end(
    call: RelayCall,
    upstream: UpstreamRequest,
    *,
    newest_event_id: int | None,
    verdict: str,
    evidence: str,
    checked_s: float,
) -> None:
    """Logs what the end of an answer without length and chunks was taken for.

    Args:
        call: The call.
        upstream: The attempt that brought the answer.
        newest_event_id: Id of the newest event that was received, or None.
        verdict: Value of an `EndVerdict`.
        evidence: What the verdict follows from.
        checked_s: Time for which the server was asked.
    """
    _log.info(
        "unframed answer ended",
        id=call.call_id,
        backend=upstream.backend.name,
        started_unix_ms=upstream.backend.started_unix_ms,
        gateway=None if upstream.gateway is None else upstream.gateway.gateway,
        newest_event=newest_event_id,
        verdict=verdict,
        evidence=evidence,
        checked_ms=to_ms(checked_s),
    )


def log_retry_not_allowed(services: RelayServices, call: RelayCall, now_s: float) -> None:
    """Logs that the retry budget leaves no room for a further attempt, with what was spent."""
    state = services.retry_budget.state(call.pool.name, now_s)
    _log.info(
        "retry not allowed",
        id=call.call_id,
        pool=call.pool.name,
        requests=state.requests,
        retries=state.retries,
        reserved=state.reserved,
        allowed=round(state.allowed, 2),
    )


def log_call_ended(
    call: RelayCall,
    end: CallEnd,
    response: ResponseRelay,
    first_byte_delay_s: float | None,
    now_s: float,
) -> None:
    """Logs the final answer, or that the caller has left."""
    _log.info(
        "call ended",
        id=call.call_id,
        route=call.route.name,
        outcome=end.outcome,
        verdict="" if end.verdict is None else end.verdict.value,
        detail=end.detail,
        backend=end.backend,
        framing=end.framing,
        sent_to=call.sent_to,
        first_ms=None if first_byte_delay_s is None else to_ms(first_byte_delay_s),
        total_ms=to_ms(now_s - call.received_s),
        passed_bytes=response.relayed_bytes,
        newest_event=response.newest_event_id,
        left_ms=to_ms(call.remaining_s(now_s)),
        returning=call.is_caller_retry,
        version=call.configuration_version,
        confirmed_ms=call.configuration_age_ms,
        **({"tenant": call.tenant} if call.hides_key else {}),
    )


def to_ms(seconds: float) -> int:
    """Returns a time in whole milliseconds."""
    return round(seconds * 1000.0)

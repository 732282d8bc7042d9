"""Records failed attempts: health, crashes, metrics and the log line."""

from collections.abc import Callable
from functools import partial
from typing import Final

from berylquay.decisions.attempt_outcomes import AttemptOutcome
from berylquay.decisions.backend_registry import EntryState
from berylquay.decisions.relay_call import RelayCall
from berylquay.relay.call_logging import log_attempt_failed
from berylquay.relay.path_monitor import PossibleCrash
from berylquay.relay.services import RelayServices
from berylquay.relay.upstream_request import UpstreamRequest

# Stage of an attempt that generates the answer.
RUN_STAGE: Final = "run"
# Stage of an attempt that prefills the prompt for another engine.
PREFILL_STAGE: Final = "prefill"


def record_failed_attempt(
    services: RelayServices,
    call: RelayCall,
    upstream: UpstreamRequest,
    outcome: AttemptOutcome,
    detail: str,
    *,
    stage: str,
    wrote_s: float | None,
    now_s: float,
) -> None:
    """Updates what this host knows of a server after an attempt at it has failed.

    Args:
        services: What the requests of the host share.
        call: The call.
        upstream: The attempt.
        outcome: How it ended.
        detail: Reason, for the log.
        stage: `RUN_STAGE`, `PREFILL_STAGE`, or that of a question for the start of an engine.
        wrote_s: For how long the answer had been arriving, or None before its first byte.
        now_s: Present monotonic time.
    """
    name = upstream.backend.name
    # What an ended start has failed says nothing of the one that is listed now.
    is_listed_start = services.registry.newer_instance(upstream.backend.instance) is None
    backoff_s = _record_health(services, upstream, outcome, now_s) if is_listed_start else 0.0
    entry = services.registry.get(name)
    is_leaving = (
        entry is None
        or entry.state is EntryState.LEAVING
        or services.registry.notices.is_leaving(entry.instance)
    )
    record_segments = partial(
        services.segment_crashes.on_attempt_failed,
        call,
        name,
        outcome,
        detail,
        wrote_s=wrote_s,
        now_s=now_s,
    )
    counts_for_segments = stage == RUN_STAGE and not is_leaving
    if outcome is AttemptOutcome.CONNECTION_LOST:
        _record_possible_crash(
            services, call, upstream, record_segments if counts_for_segments else None, now_s
        )
    elif counts_for_segments:
        record_segments()
    if call.generation is not None:
        services.prefix_cache_index.on_prefill_cancelled(call.generation.segments, name, now_s)
    services.metrics.on_attempt_ended(call.pool.name, outcome.value)
    log_attempt_failed(
        call,
        upstream,
        outcome,
        detail,
        stage=stage,
        failure_rate=services.health.failure_rate(name),
        backoff_s=backoff_s,
        is_leaving=is_leaving,
        wrote_s=wrote_s,
        now_s=now_s,
    )


def _record_health(
    services: RelayServices, upstream: UpstreamRequest, outcome: AttemptOutcome, now_s: float
) -> float:
    """Records a failure of the listed start of a server; returns the backoff."""
    health, name = services.health, upstream.backend.name
    if outcome is AttemptOutcome.NOT_SENT and not _has_lost_path(services, upstream, now_s):
        return health.on_unreachable(name, now_s)
    if outcome is AttemptOutcome.WRONG_SERVER:
        return health.on_misdirected(name, now_s)
    if outcome in (AttemptOutcome.CONNECTION_LOST, AttemptOutcome.SERVER_ERROR):
        health.on_failed(name)
    return 0.0


def _record_possible_crash(
    services: RelayServices,
    call: RelayCall,
    upstream: UpstreamRequest,
    record_segments: Callable[[], None] | None,
    now_s: float,
) -> None:
    """Counts the loss as a crash here, and for all hosts unless the path turns out to be at fault.

    Args:
        services: What the requests of the host share.
        call: The call.
        upstream: The attempt.
        record_segments: Counts the loss against the segments of the prompt; None if it does not.
        now_s: Present monotonic time.
    """
    name, fingerprint = upstream.backend.name, call.fingerprint

    def confirm() -> None:
        services.pending_updates.crashes.append((fingerprint, name))
        if record_segments is not None:
            record_segments()

    services.crash_history.on_crash(name, frozenset({fingerprint}), now_s)
    withdraw = partial(services.crash_history.withdraw, name, fingerprint, now_s)
    crash = PossibleCrash(confirm, withdraw)
    services.path_monitor.judge_crash(
        upstream.backend, crash, has_gateway=upstream.gateway is not None, now_s=now_s
    )


def _has_lost_path(services: RelayServices, upstream: UpstreamRequest, now_s: float) -> bool:
    """Tells whether the attempt shows that this host's path is lost, so that a gateway is used."""
    name, monitor = upstream.backend.name, services.path_monitor
    if upstream.gateway is not None or monitor.paths.is_lost(name):
        return False
    monitor.on_connect_failed(upstream.backend, now_s)
    return monitor.paths.is_lost(name)

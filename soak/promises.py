"""Checks the promises against what callers received and what backend servers were sent."""

import re
from collections import defaultdict
from collections.abc import Iterable, Sequence
from http import HTTPStatus
from typing import Final

from attrs import frozen

from soak.callers import DEADLINE_S, GENERATION_KINDS, Attempt
from soak.fleet import (
    EVENTS_PER_STREAM,
    LEASE_S,
    LIMIT_PER_S,
    MAX_APPLY_DELAY_S,
    PAUSE_S,
    RETRY_EXTRA,
    RETRY_RATIO,
    RETRY_WINDOW_S,
    ConfigurationVersion,
)
from soak.schedule import Fault, FaultKind

# Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES: Final = frozenset({401, 408, 421, 429, 503})
# Kinds of request with at-most-once execution.
AT_MOST_ONCE_KINDS: Final = frozenset({"once", "stream"})
# Tolerance of an answer after its deadline, and of the cancellation after a caller has left.
TOLERANCE_S: Final = 0.5
# Time after a fault of the store or its links until hosts are again guaranteed to be up to date.
SETTLING_S: Final = 5.0
# Time in which the close of a connection can cross a request that the host has not read.
CLOSE_RACE_S: Final = 0.2
# Requests that a server may get within a pause that it has asked for.
MAX_SENT_IN_PAUSE: Final = 2
# Time after which all hosts know the limit that a server has begun to name, and what may exceed it.
LIMIT_KNOWN_S: Final = 1.0
LIMIT_EXCESS_FACTOR: Final = 1.5
LIMIT_EXCESS_REQUESTS: Final = 5
# Time after the end of a pause in which orders sent before it may still arrive.
LATE_ORDER_S: Final = 0.3
_EVENT: Final = re.compile(rb"id: (\d+)\ndata: ([^x\n]*)x*\n\n")


@frozen
class BackendEvent:
    """One line of the backend servers' event file; its time is monotonic."""

    at_s: float
    backend: str
    # run, prefill, cancelled, paused, wrong-tenant or order.
    event: str
    call_id: str = ""
    holder: str = ""
    term: int = 0
    tenant: str = ""


@frozen
class Observations:
    """Everything that was observed in one seed; times are monotonic."""

    started_s: float
    # Time from which all faults have ended and the system must have recovered.
    recovered_s: float
    attempts: Sequence[Attempt]
    backend_events: Sequence[BackendEvent]
    faults: Sequence[Fault]
    versions: Sequence[ConfigurationVersion]
    # Drains of backend servers: name, time of acknowledgement, time of the end.
    drains: Sequence[tuple[str, float, float]]

    def is_disturbed(
        self, kinds: Iterable[FaultKind], target: str, from_s: float, until_s: float
    ) -> bool:
        """Returns whether such a fault overlapped a time span; an empty target means any target."""
        kind_set = set(kinds)
        return any(
            fault.kind in kind_set
            and target in ("", fault.target)
            and self.started_s + fault.start_s <= until_s
            and self.started_s + fault.end_s + TOLERANCE_S >= from_s
            for fault in self.faults
        )

    def is_connected(self, host: str, from_s: float, until_s: float) -> bool:
        """Returns whether a host ran and could reach a working store for a whole time span."""
        from_s -= SETTLING_S
        return not (
            self.is_disturbed(HOST_FAULTS, host, from_s, until_s)
            or self.is_disturbed(LINK_FAULTS, f"{host}-store", from_s, until_s)
            or self.is_disturbed([FaultKind.STORE], "", from_s, until_s)
        )


HOST_FAULTS: Final = (FaultKind.HOST_KILL, FaultKind.HOST_STOP, FaultKind.HOST_PAUSE)
LINK_FAULTS: Final = (FaultKind.LINK_CUT, FaultKind.LINK_DELAY, FaultKind.LINK_RESET)


def broken_promises(observations: Observations) -> list[str]:
    """Returns a line for each violation: the name of the check and what violated it."""
    checks = (
        _run_at_most_once,
        _refused_means_not_run,
        _answers_are_whole_and_ones_own,
        _final_answer_in_time,
        _nothing_for_callers_who_left,
        _extra_sends_within_the_budget,
        _one_holder_orders,
        _configuration_in_force,
        _removed_keys_run_nothing,
        _servers_see_the_tenant,
        _leaving_servers_left_alone,
        _statements_of_servers_heeded,
        _limits_of_servers_kept,
        _all_served_when_whole,
    )
    return [f"{check.__name__[1:]}: {line}" for check in checks for line in check(observations)]


def _runs_by_call(observations: Observations) -> dict[str, list[BackendEvent]]:
    runs: dict[str, list[BackendEvent]] = defaultdict(list)
    for event in observations.backend_events:
        if event.event == "run":
            runs[event.call_id].append(event)
    return runs


def _run_at_most_once(observations: Observations) -> Iterable[str]:
    runs = _runs_by_call(observations)
    for attempt in observations.attempts:
        call_runs = runs[attempt.call_id]
        if attempt.kind in AT_MOST_ONCE_KINDS and len(call_runs) > 1:
            yield f"{attempt.call_id} ran at {[event.backend for event in call_runs]}"


def _refused_means_not_run(observations: Observations) -> Iterable[str]:
    runs = _runs_by_call(observations)
    for attempt in observations.attempts:
        if attempt.status in NOT_RUN_STATUSES and runs[attempt.call_id]:
            yield f"{attempt.call_id} got {attempt.status} and ran"


def _answers_are_whole_and_ones_own(observations: Observations) -> Iterable[str]:
    for attempt in observations.attempts:
        error = _find_answer_error(attempt)
        if error:
            yield f"{attempt.call_id} ({attempt.kind}, {attempt.status}): {error}"


def _find_answer_error(attempt: Attempt) -> str:
    sealed = "server-seal" in attempt.headers
    if attempt.status == HTTPStatus.OK and not sealed:
        return "success that no backend server signed"
    if sealed and attempt.headers.get("attempt-id") != attempt.call_id:
        return f"answer to {attempt.headers.get('attempt-id')}"
    if attempt.status != HTTPStatus.OK:
        # The stand-ins seal no error answer except status 500.
        is_unexpected = sealed and attempt.status != HTTPStatus.INTERNAL_SERVER_ERROR
        return "a status that no backend server gave" if is_unexpected else ""
    if attempt.kind in GENERATION_KINDS:
        return _find_stream_error(attempt)
    wrong = attempt.complete and attempt.body != f'{{"echo": "{attempt.call_id}"}}'.encode()
    return f"body {attempt.body!r}" if wrong else ""


def _find_stream_error(attempt: Attempt) -> str:
    events = _EVENT.findall(attempt.body)
    numbers = [int(number) for number, _ in events]
    if numbers != list(range(1, len(numbers) + 1)):
        return f"events {numbers}"
    if any(data.decode() != attempt.call_id for _, data in events):
        return "events of another request"
    if attempt.complete and len(numbers) != EVENTS_PER_STREAM:
        return f"looks complete with {len(numbers)} events"
    return ""


def _final_answer_in_time(observations: Observations) -> Iterable[str]:
    runs = _runs_by_call(observations)
    for attempt in observations.attempts:
        duration_s = attempt.ended_s - attempt.sent_s
        is_excused = attempt.abandoned_s is not None or observations.is_disturbed(
            (FaultKind.HOST_KILL, FaultKind.HOST_PAUSE),
            attempt.host,
            attempt.sent_s,
            attempt.ended_s,
        )
        if is_excused:
            continue
        if duration_s > DEADLINE_S + TOLERANCE_S:
            yield f"{attempt.call_id} waited {duration_s:.2f} s at {attempt.host}"
        elif attempt.status is None and (runs[attempt.call_id] or duration_s > CLOSE_RACE_S):
            yield f"{attempt.call_id} got no answer from {attempt.host} after {duration_s:.2f} s"


def _nothing_for_callers_who_left(observations: Observations) -> Iterable[str]:
    abandoned = {a.call_id: a for a in observations.attempts if a.abandoned_s is not None}
    for event in observations.backend_events:
        attempt = abandoned.get(event.call_id)
        if attempt is None or event.event not in ("run", "prefill"):
            continue
        late_s = event.at_s - (attempt.abandoned_s or 0.0)
        disturbed = observations.is_disturbed(
            (*HOST_FAULTS, FaultKind.BACKEND_PAUSE, *LINK_FAULTS), "", attempt.sent_s, event.at_s
        )
        if late_s > TOLERANCE_S and not disturbed:
            yield (
                f"{event.call_id} reached {event.backend} {late_s:.2f} s"
                " after its caller had left"
            )


def _extra_sends_within_the_budget(observations: Observations) -> Iterable[str]:
    pools: dict[str, list[tuple[float, str]]] = {"app": [], "lm": []}
    for event in observations.backend_events:
        if event.event == "run":
            pool = "app" if event.backend.startswith("app") else "lm"
            pools[pool].append((event.at_s, event.call_id))
    for pool, arrivals in pools.items():
        retry_times_s = []
        seen: set[str] = set()
        for at_s, call_id in sorted(arrivals):
            if call_id in seen:
                retry_times_s.append(at_s)
            seen.add(call_id)
        sent_times_s = [a.sent_s for a in observations.attempts if _pool_of(a) == pool]
        for end_s in retry_times_s:
            retry_count = sum(end_s - RETRY_WINDOW_S < at_s <= end_s for at_s in retry_times_s)
            request_count = sum(
                end_s - 2.0 * RETRY_WINDOW_S < at_s <= end_s for at_s in sent_times_s
            )
            if retry_count > RETRY_RATIO * request_count + RETRY_EXTRA:
                yield f"{retry_count} extra sends to {pool} for {request_count} requests"
                return


def _pool_of(attempt: Attempt) -> str:
    return "lm" if attempt.kind in GENERATION_KINDS else "app"


def _one_holder_orders(observations: Observations) -> Iterable[str]:
    orders = sorted(
        (d for d in observations.backend_events if d.event == "order"), key=lambda d: d.at_s
    )
    for before, after in zip(orders, orders[1:], strict=False):
        is_excused = observations.is_disturbed(
            (FaultKind.HOST_PAUSE, *LINK_FAULTS), "", after.at_s - LATE_ORDER_S, after.at_s
        )
        if is_excused or before.holder == after.holder:
            continue
        if after.at_s - before.at_s < LEASE_S:
            yield f"{before.holder} and {after.holder} within {after.at_s - before.at_s:.2f} s"
        if after.term <= before.term:
            yield f"{after.holder} ordered with term {after.term} after {before.term}"


def _configuration_in_force(observations: Observations) -> Iterable[str]:
    for attempt in observations.attempts:
        if attempt.kind != "extra" or attempt.status not in (HTTPStatus.OK, HTTPStatus.NOT_FOUND):
            continue
        if not observations.is_connected(attempt.host, attempt.sent_s, attempt.ended_s):
            continue
        has_extra_route = attempt.status == HTTPStatus.OK
        if has_extra_route not in _routes_in_force(observations.versions, attempt):
            yield f"{attempt.call_id} at {attempt.host} got {attempt.status}"


def _routes_in_force(versions: Sequence[ConfigurationVersion], attempt: Attempt) -> set[bool]:
    """Returns the allowed answers to whether the optional route exists, by version in force."""
    applied_before_s = attempt.sent_s - MAX_APPLY_DELAY_S
    applied = [version for version in versions if version.acknowledged_s <= applied_before_s]
    newer = [v for v in versions if applied_before_s < v.acknowledged_s <= attempt.ended_s]
    return {version.has_extra_route for version in [*applied[-1:], *newer]}


def _removed_keys_run_nothing(observations: Observations) -> Iterable[str]:
    """A removable key is served while a version with it is in force, and refused otherwise."""
    for attempt in observations.attempts:
        is_judged = attempt.status in (HTTPStatus.OK, HTTPStatus.UNAUTHORIZED)
        if attempt.tenant is None or not is_judged:
            continue
        is_known = attempt.status == HTTPStatus.OK
        if not attempt.has_removable_key:
            if not is_known:
                yield f"{attempt.call_id} at {attempt.host} got 401 for a key that stays"
        elif observations.is_connected(
            attempt.host, attempt.sent_s, attempt.ended_s
        ) and is_known not in _routes_in_force(observations.versions, attempt):
            yield f"{attempt.call_id} at {attempt.host} got {attempt.status} for a removable key"


def _servers_see_the_tenant(observations: Observations) -> Iterable[str]:
    tenants = {attempt.call_id: attempt.tenant for attempt in observations.attempts}
    for event in observations.backend_events:
        tenant = tenants.get(event.call_id)
        if event.event == "wrong-tenant":
            yield f"{event.call_id} reached {event.backend} with a key, or as {event.tenant!r}"
        elif tenant is not None and event.event in ("run", "prefill") and event.tenant != tenant:
            yield f"{event.call_id} of {tenant} ran at {event.backend} as {event.tenant!r}"


def _leaving_servers_left_alone(observations: Observations) -> Iterable[str]:
    hosts = {attempt.call_id: attempt.host for attempt in observations.attempts}
    for event in observations.backend_events:
        if event.event not in ("run", "prefill"):
            continue
        for name, from_s, until_s in observations.drains:
            late_s = event.at_s - from_s - MAX_APPLY_DELAY_S
            host = hosts.get(event.call_id, "")
            is_excused = not observations.is_connected(
                host, from_s, event.at_s
            ) or observations.is_disturbed(
                (*LINK_FAULTS, FaultKind.BACKEND_PAUSE), name, from_s, event.at_s
            )
            if name == event.backend and late_s > 0.0 and event.at_s < until_s and not is_excused:
                yield f"{event.call_id} reached {name} {late_s:.2f} s too late"


def _statements_of_servers_heeded(observations: Observations) -> Iterable[str]:
    """A server gets nothing from a host that it told to leave it alone."""
    hosts = {attempt.call_id: attempt.host for attempt in observations.attempts}
    arrivals: dict[tuple[str, str], list[BackendEvent]] = defaultdict(list)
    for event in observations.backend_events:
        if event.event in ("run", "prefill", "paused") and event.call_id in hosts:
            arrivals[hosts[event.call_id], event.backend].append(event)
    sent_s = {attempt.call_id: attempt.sent_s for attempt in observations.attempts}
    for attempt in observations.attempts:
        name = attempt.headers.get("server-seal", "").removeprefix("seal-")
        if "server-leaving" not in attempt.headers:
            continue
        for event in arrivals[attempt.host, name]:
            is_late = sent_s[event.call_id] > attempt.ended_s + MAX_APPLY_DELAY_S
            if is_late and not _has_started_again(observations, attempt.host, name, attempt, event):
                yield f"{event.call_id} reached {name} after {attempt.host} knew that it leaves"
    for (host, name), events in arrivals.items():
        for asked in (event for event in events if event.event == "paused"):
            from_s, until_s = asked.at_s + TOLERANCE_S, asked.at_s + PAUSE_S
            within = [event for event in events if from_s < event.at_s <= until_s]
            is_excused = observations.is_disturbed(
                (*HOST_FAULTS, *LINK_FAULTS), "", asked.at_s, until_s
            )
            if len(within) > MAX_SENT_IN_PAUSE and not is_excused:
                yield f"{len(within)} requests of {host} reached {name} within its pause"


def _limits_of_servers_kept(observations: Observations) -> Iterable[str]:
    for fault in observations.faults:
        if fault.variant != "limit_per_s":
            continue
        from_s = observations.started_s + fault.start_s + LIMIT_KNOWN_S
        until_s = observations.started_s + fault.end_s
        count = sum(
            event.backend == fault.target
            and event.event in ("run", "prefill")
            and from_s < event.at_s <= until_s
            for event in observations.backend_events
        )
        allowed = LIMIT_EXCESS_FACTOR * LIMIT_PER_S * max(0.0, until_s - from_s)
        is_excused = observations.is_disturbed((*HOST_FAULTS, *LINK_FAULTS), "", from_s, until_s)
        if count > allowed + LIMIT_EXCESS_REQUESTS and not is_excused:
            yield f"{count} requests reached {fault.target} beyond its limit"


def _has_started_again(
    observations: Observations, host: str, server: str, attempt: Attempt, event: BackendEvent
) -> bool:
    """Returns whether the host or the server has started again, or was paused, in between."""
    ends_s = [
        observations.started_s + fault.end_s
        for fault in observations.faults
        if fault.target == server
        and (fault.kind is FaultKind.BACKEND_KILL or fault.variant == "leaving")
    ]
    return observations.is_disturbed(HOST_FAULTS, host, attempt.ended_s, event.at_s) or any(
        attempt.ended_s <= end_s <= event.at_s for end_s in ends_s
    )


def _all_served_when_whole(observations: Observations) -> Iterable[str]:
    for attempt in observations.attempts:
        is_checked = attempt.sent_s >= observations.recovered_s and attempt.abandoned_s is None
        may_be_refused = attempt.kind == "extra" or attempt.has_removable_key
        if is_checked and not may_be_refused and not _is_complete_success(attempt):
            yield f"{attempt.call_id} ({attempt.kind}) at {attempt.host} got {attempt.status}"


def _is_complete_success(attempt: Attempt) -> bool:
    return attempt.status == HTTPStatus.OK and attempt.complete

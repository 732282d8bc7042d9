"""The promises, checked from what callers got and from what the backend servers were given."""

import re
from collections import defaultdict
from collections.abc import Iterable, Sequence
from http import HTTPStatus
from typing import Final

from attrs import frozen

from soak.callers import DEADLINE_S, GENERATING, Attempt
from soak.fleet import (
    APPLY_S,
    EVENTS,
    LEASE_S,
    RETRY_EXTRA,
    RETRY_RATIO,
    RETRY_WINDOW_S,
    Version,
)
from soak.schedule import Fault, FaultKind

# Statuses that promise that a request has not run and never will.
NOT_RUN: Final = frozenset({408, 421, 429, 503})
# Kinds of request that run once at most.
ONCE: Final = frozenset({"once", "stream"})
# Time for an answer beyond the deadline, and after a caller has left for the word to spread.
SLACK_S: Final = 0.5
# Time after trouble of the store or its links until bounds on what is known hold again.
SETTLING_S: Final = 5.0
# Time in which a connection that ends crosses a request that the host has not read.
CROSSING_S: Final = 0.2
# Time after a pause in which late orders still arrive.
THAW_S: Final = 0.3
_EVENT: Final = re.compile(rb"id: (\d+)\ndata: ([^x\n]*)x*\n\n")


@frozen
class Deed:
    """One thing that a backend server did."""

    at_s: float
    backend: str
    # run, prefill, cancelled or order.
    event: str
    call_id: str = ""
    holder: str = ""
    term: int = 0


@frozen
class Evidence:
    """All that was seen in one seed; times are monotonic."""

    started_s: float
    # Time from which everything is whole and settled again.
    calm_s: float
    attempts: Sequence[Attempt]
    deeds: Sequence[Deed]
    faults: Sequence[Fault]
    versions: Sequence[Version]
    # Spans in which a backend server was said to leave.
    leaves: Sequence[tuple[str, float, float]]

    def disturbed(
        self, kinds: Iterable[FaultKind], target: str, from_s: float, until_s: float
    ) -> bool:
        """Tells whether a fault of these kinds touched a span; an empty target means any."""
        wanted = set(kinds)
        return any(
            fault.kind in wanted
            and target in ("", fault.target)
            and self.started_s + fault.at_s <= until_s
            and self.started_s + fault.until_s + SLACK_S >= from_s
            for fault in self.faults
        )

    def is_in_touch(self, host: str, from_s: float, until_s: float) -> bool:
        """Tells whether a host ran and reached the store, itself without trouble, all the while."""
        from_s -= SETTLING_S
        return not (
            self.disturbed(HOST_FAULTS, host, from_s, until_s)
            or self.disturbed(LINK_FAULTS, f"{host}-store", from_s, until_s)
            or self.disturbed([FaultKind.STORE], "", from_s, until_s)
        )


HOST_FAULTS: Final = (FaultKind.HOST_KILL, FaultKind.HOST_STOP, FaultKind.HOST_PAUSE)
LINK_FAULTS: Final = (FaultKind.LINK_CUT, FaultKind.LINK_DELAY, FaultKind.LINK_RESET)


def broken_promises(evidence: Evidence) -> list[str]:
    """Returns a line for each promise that was broken, and by what."""
    checks = (
        _run_at_most_once,
        _refused_means_not_run,
        _answers_are_whole_and_ones_own,
        _final_answer_in_time,
        _nothing_for_callers_who_left,
        _extra_sends_within_the_budget,
        _one_holder_orders,
        _configuration_in_force,
        _leaving_servers_left_alone,
        _all_served_when_whole,
    )
    return [f"{check.__name__[1:]}: {line}" for check in checks for line in check(evidence)]


def _runs(evidence: Evidence) -> dict[str, list[Deed]]:
    runs: dict[str, list[Deed]] = defaultdict(list)
    for deed in evidence.deeds:
        if deed.event == "run":
            runs[deed.call_id].append(deed)
    return runs


def _run_at_most_once(evidence: Evidence) -> Iterable[str]:
    runs = _runs(evidence)
    for attempt in evidence.attempts:
        found = runs[attempt.call_id]
        if attempt.kind in ONCE and len(found) > 1:
            yield f"{attempt.call_id} ran at {[deed.backend for deed in found]}"


def _refused_means_not_run(evidence: Evidence) -> Iterable[str]:
    runs = _runs(evidence)
    for attempt in evidence.attempts:
        if attempt.status in NOT_RUN and runs[attempt.call_id]:
            yield f"{attempt.call_id} got {attempt.status} and ran"


def _answers_are_whole_and_ones_own(evidence: Evidence) -> Iterable[str]:
    for attempt in evidence.attempts:
        fault = _fault_of_answer(attempt)
        if fault:
            yield f"{attempt.call_id} ({attempt.kind}, {attempt.status}): {fault}"


def _fault_of_answer(attempt: Attempt) -> str:
    sealed = "server-seal" in attempt.headers
    if attempt.status == HTTPStatus.OK and not sealed:
        return "success that no backend server signed"
    if sealed and attempt.headers.get("attempt-id") != attempt.call_id:
        return f"answer to {attempt.headers.get('attempt-id')}"
    if attempt.status != HTTPStatus.OK:
        # The stand-ins sign no failure but this one.
        signed = sealed and attempt.status != HTTPStatus.INTERNAL_SERVER_ERROR
        return "a status that no backend server gave" if signed else ""
    if attempt.kind in GENERATING:
        return _fault_of_stream(attempt)
    wrong = attempt.complete and attempt.body != f'{{"echo": "{attempt.call_id}"}}'.encode()
    return f"body {attempt.body!r}" if wrong else ""


def _fault_of_stream(attempt: Attempt) -> str:
    events = _EVENT.findall(attempt.body)
    numbers = [int(number) for number, _ in events]
    if numbers != list(range(1, len(numbers) + 1)):
        return f"events {numbers}"
    if any(data.decode() != attempt.call_id for _, data in events):
        return "events of another request"
    if attempt.complete and len(numbers) != EVENTS:
        return f"looks complete with {len(numbers)} events"
    return ""


def _final_answer_in_time(evidence: Evidence) -> Iterable[str]:
    runs = _runs(evidence)
    for attempt in evidence.attempts:
        took_s = attempt.ended_s - attempt.sent_s
        excused = attempt.left_s is not None or evidence.disturbed(
            (FaultKind.HOST_KILL, FaultKind.HOST_PAUSE),
            attempt.host,
            attempt.sent_s,
            attempt.ended_s,
        )
        if excused:
            continue
        if took_s > DEADLINE_S + SLACK_S:
            yield f"{attempt.call_id} waited {took_s:.2f} s at {attempt.host}"
        elif attempt.status is None and (runs[attempt.call_id] or took_s > CROSSING_S):
            yield f"{attempt.call_id} got no answer from {attempt.host} after {took_s:.2f} s"


def _nothing_for_callers_who_left(evidence: Evidence) -> Iterable[str]:
    left = {a.call_id: a for a in evidence.attempts if a.left_s is not None}
    for deed in evidence.deeds:
        attempt = left.get(deed.call_id)
        if attempt is None or deed.event not in ("run", "prefill"):
            continue
        late_s = deed.at_s - (attempt.left_s or 0.0)
        touched = evidence.disturbed(
            (*HOST_FAULTS, FaultKind.BACKEND_PAUSE, *LINK_FAULTS), "", attempt.sent_s, deed.at_s
        )
        if late_s > SLACK_S and not touched:
            yield f"{deed.call_id} reached {deed.backend} {late_s:.2f} s after its caller had left"


def _extra_sends_within_the_budget(evidence: Evidence) -> Iterable[str]:
    pools: dict[str, list[tuple[float, str]]] = {"app": [], "lm": []}
    for deed in evidence.deeds:
        if deed.event == "run":
            pool = "app" if deed.backend.startswith("app") else "lm"
            pools[pool].append((deed.at_s, deed.call_id))
    for pool, arrivals in pools.items():
        extras = []
        seen: set[str] = set()
        for at_s, call_id in sorted(arrivals):
            if call_id in seen:
                extras.append(at_s)
            seen.add(call_id)
        sent = [a.sent_s for a in evidence.attempts if _pool_of(a) == pool]
        for end_s in extras:
            count = sum(end_s - RETRY_WINDOW_S < at_s <= end_s for at_s in extras)
            asked = sum(end_s - 2.0 * RETRY_WINDOW_S < at_s <= end_s for at_s in sent)
            if count > RETRY_RATIO * asked + RETRY_EXTRA:
                yield f"{count} extra sends to {pool} for {asked} requests"
                return


def _pool_of(attempt: Attempt) -> str:
    return "lm" if attempt.kind in GENERATING else "app"


def _one_holder_orders(evidence: Evidence) -> Iterable[str]:
    orders = sorted((d for d in evidence.deeds if d.event == "order"), key=lambda d: d.at_s)
    for before, after in zip(orders, orders[1:], strict=False):
        thawed = evidence.disturbed(
            (FaultKind.HOST_PAUSE, *LINK_FAULTS), "", after.at_s - THAW_S, after.at_s
        )
        if thawed or before.holder == after.holder:
            continue
        if after.at_s - before.at_s < LEASE_S:
            yield f"{before.holder} and {after.holder} within {after.at_s - before.at_s:.2f} s"
        if after.term <= before.term:
            yield f"{after.holder} ordered with term {after.term} after {before.term}"


def _configuration_in_force(evidence: Evidence) -> Iterable[str]:
    for attempt in evidence.attempts:
        if attempt.kind != "extra" or attempt.status not in (HTTPStatus.OK, HTTPStatus.NOT_FOUND):
            continue
        if not evidence.is_in_touch(attempt.host, attempt.sent_s, attempt.ended_s):
            continue
        served = attempt.status == HTTPStatus.OK
        if served not in _routes_in_force(evidence.versions, attempt):
            yield f"{attempt.call_id} at {attempt.host} got {attempt.status}"


def _routes_in_force(versions: Sequence[Version], attempt: Attempt) -> set[bool]:
    """Returns whether the route that comes and goes may be there, as any version has it."""
    old_s = attempt.sent_s - APPLY_S
    applied = [version for version in versions if version.acknowledged_s <= old_s]
    newer = [v for v in versions if old_s < v.acknowledged_s <= attempt.ended_s]
    return {version.has_extra for version in [*applied[-1:], *newer]}


def _leaving_servers_left_alone(evidence: Evidence) -> Iterable[str]:
    hosts = {attempt.call_id: attempt.host for attempt in evidence.attempts}
    for deed in evidence.deeds:
        if deed.event not in ("run", "prefill"):
            continue
        for name, from_s, until_s in evidence.leaves:
            late_s = deed.at_s - from_s - APPLY_S
            host = hosts.get(deed.call_id, "")
            excused = not evidence.is_in_touch(host, from_s, deed.at_s) or evidence.disturbed(
                (*LINK_FAULTS, FaultKind.BACKEND_PAUSE), name, from_s, deed.at_s
            )
            if name == deed.backend and late_s > 0.0 and deed.at_s < until_s and not excused:
                yield f"{deed.call_id} reached {name} {late_s:.2f} s too late"


def _all_served_when_whole(evidence: Evidence) -> Iterable[str]:
    for attempt in evidence.attempts:
        calm = attempt.sent_s >= evidence.calm_s and attempt.left_s is None
        if calm and attempt.kind != "extra" and not _is_good(attempt):
            yield f"{attempt.call_id} ({attempt.kind}) at {attempt.host} got {attempt.status}"


def _is_good(attempt: Attempt) -> bool:
    return attempt.status == HTTPStatus.OK and attempt.complete

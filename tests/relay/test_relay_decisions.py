"""Retries, admission, server choice, health and events of relayed calls, without a network."""

from random import Random

import pytest
from attrs import evolve

from berylquay.decisions.attempt_outcomes import (
    AttemptLimits,
    AttemptOutcome,
    make_refusal,
    may_retry,
    record_attempt_outcome,
)
from berylquay.decisions.backend_health import BackendHealth, HealthOptions
from berylquay.decisions.backend_registry import BackendEntry, EntryState
from berylquay.decisions.engine_placement import Placement
from berylquay.decisions.fleet import Address
from berylquay.decisions.relay_admission import AdmissionAction, AdmissionOptions, admit
from berylquay.decisions.relay_call import RelayCall
from berylquay.decisions.route_table import Pool, RepeatRule, Route, WeightedPool
from berylquay.decisions.service_routing import choose_server
from berylquay.decisions.shared_retry_budget import RetryBudgetOptions, SharedRetryBudget
from berylquay.decisions.shutdown_schedule import ShutdownPhase, ShutdownSchedule
from berylquay.decisions.topology import Location, Topology
from berylquay.relay.event_stream import MAX_EVENT_BYTES, EventTracker, OversizedEventError
from berylquay.verdicts import RefusalReason, Verdict

ROUTE = Route(
    name="r",
    host="h",
    path_prefix="/",
    weighted_pools=(WeightedPool("app", 1.0),),
    repeat=RepeatRule.AT_MOST_ONCE,
    streaming=False,
    resumable=False,
    max_attempts=2,
    timeout_s=8.0,
    objective_s=0.8,
    rank=0,
)
REPEATABLE = evolve(ROUTE, repeat=RepeatRule.REPEATABLE)


def make_call(route: Route = ROUTE, **changes: object) -> RelayCall:
    call = RelayCall("id", route, Pool("app", 100), 0.0, 8.0, False, "content")
    for name, value in changes.items():
        setattr(call, name, value)
    return call


@pytest.mark.parametrize(
    ("route", "ends", "has_budget", "again"),
    [
        (ROUTE, [AttemptOutcome.NOT_SENT], False, True),
        (ROUTE, [AttemptOutcome.NOT_SENT] * 4, True, False),
        (ROUTE, [AttemptOutcome.REJECTED], True, True),
        (ROUTE, [AttemptOutcome.REJECTED], False, False),
        (ROUTE, [AttemptOutcome.REJECTED, AttemptOutcome.REJECTED], True, False),
        (ROUTE, [AttemptOutcome.WRONG_SERVER], True, True),
        (
            ROUTE,
            [AttemptOutcome.KV_CACHE_UNAVAILABLE, AttemptOutcome.KV_CACHE_UNAVAILABLE],
            True,
            True,
        ),
        (ROUTE, [AttemptOutcome.KV_CACHE_UNAVAILABLE], False, False),
        (ROUTE, [AttemptOutcome.CONNECTION_LOST], True, False),
        (ROUTE, [AttemptOutcome.SERVER_ERROR], True, False),
        (ROUTE, [AttemptOutcome.CONNECTION_LOST, AttemptOutcome.NOT_SENT], True, False),
        (REPEATABLE, [AttemptOutcome.CONNECTION_LOST], True, True),
        (REPEATABLE, [AttemptOutcome.SERVER_ERROR], True, True),
        (REPEATABLE, [AttemptOutcome.SERVER_ERROR], False, False),
        (REPEATABLE, [AttemptOutcome.SERVER_ERROR, AttemptOutcome.SERVER_ERROR], True, False),
    ],
)
def test_what_may_be_sent_again(
    route: Route, ends: list[AttemptOutcome], has_budget: bool, again: bool
) -> None:
    call = make_call(route)
    for number, end in enumerate(ends):
        if end is not AttemptOutcome.NOT_SENT:
            call.sent_to.append(f"s-{number}")
        record_attempt_outcome(call, end)
    assert may_retry(call, ends[-1], has_budget, 0.1, AttemptLimits()) is again


def test_nothing_is_sent_again_without_time() -> None:
    call = make_call(REPEATABLE)
    assert not may_retry(call, AttemptOutcome.NOT_SENT, True, 7.99, AttemptLimits())


def test_a_refusal_promises_only_what_is_known() -> None:
    call = make_call()
    record_attempt_outcome(call, AttemptOutcome.REJECTED)
    first = make_refusal(call, RefusalReason.OVERLOADED, "full", 0.5)
    assert (first.verdict, first.retry_after_s) == (Verdict.NOT_RUN, 0.5)
    record_attempt_outcome(call, AttemptOutcome.CONNECTION_LOST)
    second = make_refusal(call, RefusalReason.OVERLOADED, "full", 0.5)
    assert (second.verdict, second.retry_after_s) == (Verdict.MAY_HAVE_RUN, None)


@pytest.mark.parametrize("hosts", [1, 9, 91])
@pytest.mark.parametrize("seed", range(5))
def test_hosts_together_stay_within_the_budget(hosts: int, seed: int) -> None:
    """Answers a fault that fails every first attempt while requests come in bursts."""
    bounds = RetryBudgetOptions(ratio=0.2, window_s=10.0, extra_per_window=58.0)
    rng = Random(seed)
    parts = [SharedRetryBudget(bounds) for _ in range(hosts)]
    for part in parts:
        part.on_host_count(hosts)
    offered: list[float] = []
    spent: list[float] = []
    now_s = 0.0
    while now_s < 40.0:
        now_s += rng.expovariate(300.0 if int(now_s) % 7 < 2 else 20.0)
        part = rng.choice(parts)
        part.on_call("app", now_s)
        offered.append(now_s)
        while part.has_budget("app", now_s) and rng.random() < 0.9:
            part.spend("app", now_s)
            spent.append(now_s)
    for end_s in (spent[index] for index in range(0, len(spent), 7)):
        in_window = sum(end_s - 10.0 < at_s <= end_s for at_s in spent)
        requests = sum(end_s - 10.0 < at_s <= end_s for at_s in offered)
        assert in_window <= 0.2 * requests + 58.0


PLACEMENT = Placement(
    None,
    BackendEntry("e", "lm", Address("10.0.0.1", 80), "a", 64, EntryState.READY),
    first_token_s=0.3,
    prefill_wait_s=0.2,
    prefill_cost_tokens=1000,
)


@pytest.mark.parametrize(
    ("first_token_s", "wait_s", "returning", "now_s", "step"),
    [
        # In time.
        (0.3, 0.2, False, 0.0, AdmissionAction.SEND),
        # Late, and others may still be in time.
        (1.2, 1.0, False, 0.0, AdmissionAction.QUEUE),
        # Late, and the engine has little to do.
        (1.2, 0.05, False, 0.0, AdmissionAction.SEND),
        # Late, and told before when to come back.
        (1.2, 1.0, True, 0.0, AdmissionAction.SEND),
        # Any later, and the caller would give up.
        (1.2, 1.0, False, 1.1, AdmissionAction.SEND),
        # The caller would give up before its first token.
        (2.7, 2.5, False, 0.0, AdmissionAction.REFUSE),
        (2.7, 2.5, True, 0.0, AdmissionAction.REFUSE),
    ],
)
def test_admission(
    first_token_s: float, wait_s: float, returning: bool, now_s: float, step: AdmissionAction
) -> None:
    call = make_call(evolve(ROUTE, streaming=True), is_caller_retry=returning)
    placement = evolve(PLACEMENT, first_token_s=first_token_s, prefill_wait_s=wait_s)
    found = admit(call, placement, AdmissionOptions(), host_count=1, rng=Random(1), now_s=now_s)
    assert found.action is step
    assert (found.retry_after_s > 0.0) == (step is AdmissionAction.REFUSE)


def make_server(name: str, data_centre: str = "a") -> BackendEntry:
    return BackendEntry(name, "app", Address("10.0.0.1", 80), data_centre, 6, EntryState.READY)


def choose(
    servers: list[BackendEntry], health: BackendHealth, tried: tuple[str, ...] = ()
) -> str | None:
    distances = Topology(Location("a", "r"), {"a": "r", "b": "r", "c": "other"})
    found = choose_server(
        servers,
        tried,
        in_flight={},
        health=health,
        distances=distances,
        rng=Random(1),
        now_s=1.0,
    )
    return None if found is None else found.name


def test_a_server_is_chosen_near_sound_and_untried() -> None:
    servers = [make_server("far", "c"), make_server("near"), make_server("region", "b")]
    health = BackendHealth(HealthOptions())
    assert choose(servers, health) == "near"
    assert choose(servers, health, ("near",)) == "region"
    assert choose(servers, health, ("near", "region", "far")) is None
    for _ in range(5):
        health.on_failed("near")
    assert choose(servers, health) == "region"


def test_an_unreachable_server_is_left_alone_for_longer_each_time() -> None:
    health = BackendHealth(HealthOptions(initial_backoff_s=0.5, max_backoff_s=4.0))
    pauses = [health.on_unreachable("s", 0.0) for _ in range(5)]
    assert pauses == [0.5, 1.0, 2.0, 4.0, 4.0]
    assert health.is_backing_off("s", 3.9)
    health.on_answered("s", 0.1)
    assert not health.is_backing_off("s", 0.1)


def test_events_pass_whole_and_the_newest_id_is_known() -> None:
    tracker = EventTracker(None)
    assert tracker.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert (tracker.newest_id, tracker.has_partial_event) == (1, True)
    tracker.drop_partial_event()
    assert tracker.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
    assert (tracker.newest_id, tracker.has_partial_event) == (2, False)
    with pytest.raises(OversizedEventError):
        tracker.feed(b"x" * (MAX_EVENT_BYTES + 1))


@pytest.mark.parametrize(
    ("is_quiet", "elapsed_s", "phase"),
    [
        (False, 0.1, ShutdownPhase.ACCEPTING),
        (True, 2.0, ShutdownPhase.ACCEPTING),
        # A request taken 3.02 s after the signal outlived its process (hunt, meskel-field).
        (False, 3.0, ShutdownPhase.FINISHING),
        (True, 3.0, ShutdownPhase.FINISHING),
        (True, 3.3, ShutdownPhase.ENDED),
        (False, 7.0, ShutdownPhase.FINISHING),
        (False, 7.6, ShutdownPhase.ENDED),
    ],
)
def test_a_stop_goes_from_taking_over_finishing_to_its_end(
    is_quiet: bool, elapsed_s: float, phase: ShutdownPhase
) -> None:
    assert ShutdownSchedule(100.0, 8.0).phase(is_quiet, 100.0 + elapsed_s) is phase


def test_an_engine_that_was_heard_of_is_not_silent() -> None:
    """Answers overload, in which slow engines taken for silent ones would shed all load."""
    health = BackendHealth(HealthOptions())
    assert not health.was_active_since("s", 0.0)
    health.on_activity("s", 5.0)
    assert health.was_active_since("s", 4.9)
    assert not health.was_active_since("s", 5.1)


def test_another_hosts_word_of_silence_makes_impatient_and_does_not_exclude() -> None:
    health = BackendHealth(HealthOptions(peer_report_ttl_s=1.5))
    health.on_reported_unresponsive("s", 10.0)
    assert health.is_reported_unresponsive("s", 11.4)
    assert not health.is_backing_off("s", 11.4)
    assert not health.is_reported_unresponsive("s", 11.6)

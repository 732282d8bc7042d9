"""Retries, admission, server selection, health, events and shutdown, without a network."""

from random import Random

import pytest
from attrs import evolve
from returns.result import Failure, Success

from berylquay.call_verdicts import RefusalReason, Verdict
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
from berylquay.relay.event_stream import MAX_EVENT_BYTES, EventTracker

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
    ("route", "outcomes", "has_budget", "expected"),
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
def test_which_outcomes_allow_a_retry(
    route: Route, outcomes: list[AttemptOutcome], has_budget: bool, expected: bool
) -> None:
    call = make_call(route)
    for number, outcome in enumerate(outcomes):
        if outcome is not AttemptOutcome.NOT_SENT:
            call.sent_to.append(f"s-{number}")
        record_attempt_outcome(call, outcome)
    assert may_retry(call, outcomes[-1], has_budget, 0.1, AttemptLimits()) is expected


def test_no_retry_shortly_before_the_deadline() -> None:
    call = make_call(REPEATABLE)
    assert not may_retry(call, AttemptOutcome.NOT_SENT, True, 7.99, AttemptLimits())


def test_a_refusal_is_not_run_only_if_no_attempt_may_have_run() -> None:
    call = make_call()
    record_attempt_outcome(call, AttemptOutcome.REJECTED)
    first = make_refusal(call, RefusalReason.OVERLOADED, "full", 0.5)
    assert (first.verdict, first.retry_after_s) == (Verdict.NOT_RUN, 0.5)
    record_attempt_outcome(call, AttemptOutcome.CONNECTION_LOST)
    second = make_refusal(call, RefusalReason.OVERLOADED, "full", 0.5)
    assert (second.verdict, second.retry_after_s) == (Verdict.MAY_HAVE_RUN, None)


@pytest.mark.parametrize("hosts", [1, 9, 91])
@pytest.mark.parametrize("seed", range(5))
def test_all_hosts_together_stay_within_the_retry_budget(hosts: int, seed: int) -> None:
    """Guards against excess retries when every first attempt fails and requests come in bursts."""
    options = RetryBudgetOptions(ratio=0.2, window_s=10.0, extra_per_window=58.0)
    rng = Random(seed)
    budgets = [SharedRetryBudget(options) for _ in range(hosts)]
    for budget in budgets:
        budget.on_host_count(hosts, 0.0)
    request_times_s: list[float] = []
    retry_times_s: list[float] = []
    now_s = 0.0
    while now_s < 40.0:
        now_s += rng.expovariate(300.0 if int(now_s) % 7 < 2 else 20.0)
        budget = rng.choice(budgets)
        budget.on_call("app", now_s)
        request_times_s.append(now_s)
        while rng.random() < 0.9 and budget.reserve("app", 1, now_s):
            budget.spend("app", now_s)
            retry_times_s.append(now_s)
    for end_s in (retry_times_s[index] for index in range(0, len(retry_times_s), 7)):
        retries = sum(end_s - 10.0 < at_s <= end_s for at_s in retry_times_s)
        requests = sum(end_s - 10.0 < at_s <= end_s for at_s in request_times_s)
        assert retries <= 0.2 * requests + 58.0


PLACEMENT = Placement(
    None,
    BackendEntry("e", "lm", Address("10.0.0.1", 80), "a", 64, EntryState.READY),
    first_token_s=0.3,
    prefill_wait_s=0.2,
    prefill_cost_tokens=1000,
)


@pytest.mark.parametrize(
    ("first_token_s", "prefill_wait_s", "is_caller_retry", "now_s", "expected"),
    [
        # In time.
        (0.3, 0.2, False, 0.0, AdmissionAction.SEND),
        # Late, while other prompts may still be in time.
        (1.2, 1.0, False, 0.0, AdmissionAction.QUEUE),
        # Late, but the engine has few prefill tokens waiting.
        (1.2, 0.05, False, 0.0, AdmissionAction.SEND),
        # Late, but the caller was refused before and returns after its Retry-After.
        (1.2, 1.0, True, 0.0, AdmissionAction.SEND),
        # Late, and waiting longer would exceed the caller's stall timeout.
        (1.2, 1.0, False, 1.1, AdmissionAction.SEND),
        # The first token would come after the caller's stall timeout.
        (2.7, 2.5, False, 0.0, AdmissionAction.REFUSE),
        (2.7, 2.5, True, 0.0, AdmissionAction.REFUSE),
    ],
)
def test_admission(
    first_token_s: float,
    prefill_wait_s: float,
    is_caller_retry: bool,
    now_s: float,
    expected: AdmissionAction,
) -> None:
    call = make_call(evolve(ROUTE, streaming=True), is_caller_retry=is_caller_retry)
    placement = evolve(PLACEMENT, first_token_s=first_token_s, prefill_wait_s=prefill_wait_s)
    admission = admit(call, placement, AdmissionOptions(), host_count=1, rng=Random(1), now_s=now_s)
    assert admission.action is expected
    assert (admission.retry_after_s > 0.0) == (expected is AdmissionAction.REFUSE)


def make_server(name: str, data_centre: str = "a") -> BackendEntry:
    return BackendEntry(name, "app", Address("10.0.0.1", 80), data_centre, 6, EntryState.READY)


def choose(
    servers: list[BackendEntry], health: BackendHealth, tried: tuple[str, ...] = ()
) -> str | None:
    topology = Topology(Location("a", "r"), {"a": "r", "b": "r", "c": "other"})
    server = choose_server(
        servers,
        tried,
        in_flight={},
        health=health,
        topology=topology,
        rng=Random(1),
        now_s=1.0,
    )
    return None if server is None else server.name


def test_the_nearest_healthy_untried_server_is_chosen() -> None:
    servers = [make_server("remote", "c"), make_server("local"), make_server("region", "b")]
    health = BackendHealth(HealthOptions())
    assert choose(servers, health) == "local"
    assert choose(servers, health, ("local",)) == "region"
    assert choose(servers, health, ("local", "region", "remote")) is None
    for _ in range(5):
        health.on_failed("local")
    assert choose(servers, health) == "region"


def test_the_backoff_of_an_unreachable_server_doubles_up_to_a_limit() -> None:
    health = BackendHealth(HealthOptions(initial_backoff_s=0.5, max_backoff_s=4.0))
    backoffs_s = [health.on_unreachable("s", 0.0) for _ in range(5)]
    assert backoffs_s == [0.5, 1.0, 2.0, 4.0, 4.0]
    assert health.is_backing_off("s", 3.9)
    health.on_answered("s", 0.1)
    assert not health.is_backing_off("s", 0.1)


def test_only_complete_events_pass_and_the_newest_id_is_kept() -> None:
    tracker = EventTracker(None)
    assert tracker.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert tracker.newest_id == 1
    assert tracker.finish() == Failure("the stream ended within an event")
    tracker.drop_partial_event()
    assert tracker.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
    assert tracker.newest_id == 2
    assert tracker.finish() == Success(b"")


@pytest.mark.parametrize("extra_bytes", [1, MAX_EVENT_BYTES])
def test_an_event_too_large_to_hold_back_passes_whole_but_ends_resumption(extra_bytes: int) -> None:
    tracker = EventTracker(None)
    event = b"id: 1\ndata: " + b"x" * (MAX_EVENT_BYTES + extra_bytes) + b"\n\n"
    passed = tracker.feed(event[:-1])
    assert len(passed) >= len(event) - 2
    assert tracker.finish() == Failure("the stream ended within an event")
    passed += tracker.feed(event[-1:])
    assert passed == event
    assert tracker.finish() == Success(b"")
    assert not tracker.holds_whole_events


@pytest.mark.parametrize(
    ("stream", "is_complete"),
    [
        (b"", True),
        (b"data: a\n\n", True),
        (b"data: a\r\n\r\n", True),
        (b"data: a\r\r", True),
        (b"data: a\n\n: ping\n", True),
        (b"data: a\n\n\n", True),
        (b"data: a\n", False),
        (b"data: a\r\n", False),
        (b"data: a\n\n: pi", False),
        (b"data: a\n\nid: 2\n", False),
        (b"data: a\n\ndata", False),
    ],
)
def test_a_stream_is_complete_if_it_ends_between_events(stream: bytes, is_complete: bool) -> None:
    for piece_bytes in (1, 2, len(stream) or 1):
        tracker = EventTracker(None)
        pieces = [stream[at : at + piece_bytes] for at in range(0, len(stream), piece_bytes)]
        passed = b"".join(map(tracker.feed, pieces))
        rest = tracker.finish()
        assert isinstance(rest, Success) is is_complete
        if is_complete:
            assert passed + rest.unwrap() == stream


@pytest.mark.parametrize(
    ("is_idle", "elapsed_s", "phase"),
    [
        (False, 0.1, ShutdownPhase.ACCEPTING),
        (True, 2.0, ShutdownPhase.ACCEPTING),
        # A request accepted 3.02 s after the signal was cut off when the process ended (hunt,
        # meskel-field).
        (False, 3.0, ShutdownPhase.FINISHING),
        (True, 3.0, ShutdownPhase.FINISHING),
        (True, 3.3, ShutdownPhase.ENDED),
        (False, 7.0, ShutdownPhase.FINISHING),
        (False, 7.6, ShutdownPhase.ENDED),
    ],
)
def test_a_shutdown_accepts_then_finishes_then_ends(
    is_idle: bool, elapsed_s: float, phase: ShutdownPhase
) -> None:
    assert ShutdownSchedule(100.0, 8.0).phase(is_idle, 100.0 + elapsed_s) is phase


def test_a_recently_active_engine_is_not_unresponsive() -> None:
    """Guards against excluding all engines under overload, when slow ones seem unresponsive."""
    health = BackendHealth(HealthOptions())
    assert not health.was_active_since("s", 0.0)
    health.on_activity("s", 5.0)
    assert health.was_active_since("s", 4.9)
    assert not health.was_active_since("s", 5.1)


def test_a_peers_report_of_an_unresponsive_server_expires_and_causes_no_backoff() -> None:
    health = BackendHealth(HealthOptions(peer_report_ttl_s=1.5))
    health.on_reported_unresponsive("s", 10.0)
    assert health.is_reported_unresponsive("s", 11.4)
    assert not health.is_backing_off("s", 11.4)
    assert not health.is_reported_unresponsive("s", 11.6)

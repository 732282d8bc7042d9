"""Retries, admission, server choice, health and events of relayed calls, without a network."""

from random import Random

import pytest
from attrs import evolve

from berylquay.decisions.backend_health import BackendHealth, HealthLimits
from berylquay.decisions.backend_registry import BackendEntry, EntryState
from berylquay.decisions.distances import Distances, Place
from berylquay.decisions.engine_placement import Placement
from berylquay.decisions.fleet import Address
from berylquay.decisions.relay_admission import AdmissionOptions, AdmissionStep, admit
from berylquay.decisions.relay_call import RelayCall
from berylquay.decisions.relay_fates import (
    AttemptEnd,
    AttemptLimits,
    may_try_again,
    note_attempt_end,
    refuse,
)
from berylquay.decisions.route_table import Pool, PoolShare, RepeatRule, Route
from berylquay.decisions.server_choice import choose_server
from berylquay.decisions.shared_retries import RetryBounds, SharedRetries
from berylquay.decisions.stop_plan import StopPhase, StopPlan
from berylquay.relay.event_stream import MAX_EVENT_BYTES, EventTracker, OversizedEventError
from berylquay.verdicts import RefusalReason, Verdict

ROUTE = Route(
    name="r",
    host="h",
    path_prefix="/",
    shares=(PoolShare("app", 1.0),),
    repeat=RepeatRule.ONCE,
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
        (ROUTE, [AttemptEnd.NOT_SENT], False, True),
        (ROUTE, [AttemptEnd.NOT_SENT] * 4, True, False),
        (ROUTE, [AttemptEnd.REJECTED], True, True),
        (ROUTE, [AttemptEnd.REJECTED], False, False),
        (ROUTE, [AttemptEnd.REJECTED, AttemptEnd.REJECTED], True, False),
        (ROUTE, [AttemptEnd.OTHER_SERVER], True, True),
        (ROUTE, [AttemptEnd.CACHE_GONE, AttemptEnd.CACHE_GONE], True, True),
        (ROUTE, [AttemptEnd.CACHE_GONE], False, False),
        (ROUTE, [AttemptEnd.BROKEN], True, False),
        (ROUTE, [AttemptEnd.FAILED], True, False),
        (ROUTE, [AttemptEnd.BROKEN, AttemptEnd.NOT_SENT], True, False),
        (REPEATABLE, [AttemptEnd.BROKEN], True, True),
        (REPEATABLE, [AttemptEnd.FAILED], True, True),
        (REPEATABLE, [AttemptEnd.FAILED], False, False),
        (REPEATABLE, [AttemptEnd.FAILED, AttemptEnd.FAILED], True, False),
    ],
)
def test_what_may_be_sent_again(
    route: Route, ends: list[AttemptEnd], has_budget: bool, again: bool
) -> None:
    call = make_call(route)
    for number, end in enumerate(ends):
        if end is not AttemptEnd.NOT_SENT:
            call.sent_to.append(f"s-{number}")
        note_attempt_end(call, end)
    assert may_try_again(call, ends[-1], has_budget, 0.1, AttemptLimits()) is again


def test_nothing_is_sent_again_without_time() -> None:
    call = make_call(REPEATABLE)
    assert not may_try_again(call, AttemptEnd.NOT_SENT, True, 7.99, AttemptLimits())


def test_a_refusal_promises_only_what_is_known() -> None:
    call = make_call()
    note_attempt_end(call, AttemptEnd.REJECTED)
    first = refuse(call, RefusalReason.OVERLOADED, "full", 0.5)
    assert (first.verdict, first.retry_after_s) == (Verdict.NOT_RUN, 0.5)
    note_attempt_end(call, AttemptEnd.BROKEN)
    second = refuse(call, RefusalReason.OVERLOADED, "full", 0.5)
    assert (second.verdict, second.retry_after_s) == (Verdict.MAY_HAVE_RUN, None)


@pytest.mark.parametrize("hosts", [1, 9, 91])
@pytest.mark.parametrize("seed", range(5))
def test_hosts_together_stay_within_the_budget(hosts: int, seed: int) -> None:
    """Answers a fault that fails every first attempt while requests come in bursts."""
    bounds = RetryBounds(ratio=0.2, window_s=10.0, extra=58.0)
    rng = Random(seed)
    parts = [SharedRetries(bounds) for _ in range(hosts)]
    for part in parts:
        part.on_hosts(hosts)
    offered: list[float] = []
    spent: list[float] = []
    now_s = 0.0
    while now_s < 40.0:
        now_s += rng.expovariate(300.0 if int(now_s) % 7 < 2 else 20.0)
        part = rng.choice(parts)
        part.on_offered("app", now_s)
        offered.append(now_s)
        while part.has_room("app", now_s) and rng.random() < 0.9:
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
    wait_s=0.2,
    tokens_to_read=1000,
)


@pytest.mark.parametrize(
    ("first_token_s", "wait_s", "returning", "now_s", "step"),
    [
        # In time.
        (0.3, 0.2, False, 0.0, AdmissionStep.SEND),
        # Late, and others may still be in time.
        (1.2, 1.0, False, 0.0, AdmissionStep.HOLD),
        # Late, and the engine has little to do.
        (1.2, 0.05, False, 0.0, AdmissionStep.SEND),
        # Late, and told before when to come back.
        (1.2, 1.0, True, 0.0, AdmissionStep.SEND),
        # Any later, and the caller would give up.
        (1.2, 1.0, False, 1.1, AdmissionStep.SEND),
        # The caller would give up before its first token.
        (2.7, 2.5, False, 0.0, AdmissionStep.REFUSE),
        (2.7, 2.5, True, 0.0, AdmissionStep.REFUSE),
    ],
)
def test_admission(
    first_token_s: float, wait_s: float, returning: bool, now_s: float, step: AdmissionStep
) -> None:
    call = make_call(evolve(ROUTE, streaming=True), returning=returning)
    placement = evolve(PLACEMENT, first_token_s=first_token_s, wait_s=wait_s)
    found = admit(call, placement, AdmissionOptions(), hosts=1, rng=Random(1), now_s=now_s)
    assert found.step is step
    assert (found.retry_after_s > 0.0) == (step is AdmissionStep.REFUSE)


def make_server(name: str, data_centre: str = "a") -> BackendEntry:
    return BackendEntry(name, "app", Address("10.0.0.1", 80), data_centre, 6, EntryState.READY)


def choose(
    servers: list[BackendEntry], health: BackendHealth, tried: tuple[str, ...] = ()
) -> str | None:
    distances = Distances(Place("a", "r"), {"a": "r", "b": "r", "c": "other"})
    found = choose_server(
        servers,
        tried,
        under_way={},
        health=health,
        distances=distances,
        rng=Random(1),
        now_s=1.0,
    )
    return None if found is None else found.name


def test_a_server_is_chosen_near_sound_and_untried() -> None:
    servers = [make_server("far", "c"), make_server("near"), make_server("region", "b")]
    health = BackendHealth(HealthLimits())
    assert choose(servers, health) == "near"
    assert choose(servers, health, ("near",)) == "region"
    assert choose(servers, health, ("near", "region", "far")) is None
    for _ in range(5):
        health.on_failed("near")
    assert choose(servers, health) == "region"


def test_an_unreachable_server_is_left_alone_for_longer_each_time() -> None:
    health = BackendHealth(HealthLimits(first_pause_s=0.5, longest_pause_s=4.0))
    pauses = [health.on_unreachable("s", 0.0) for _ in range(5)]
    assert pauses == [0.5, 1.0, 2.0, 4.0, 4.0]
    assert health.is_paused("s", 3.9)
    health.on_answered("s", 0.1)
    assert not health.is_paused("s", 0.1)


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
        (False, 0.1, StopPhase.TAKING),
        (True, 2.0, StopPhase.TAKING),
        # A request taken 3.02 s after the signal outlived its process (hunt, meskel-field).
        (False, 3.0, StopPhase.FINISHING),
        (True, 3.0, StopPhase.FINISHING),
        (True, 3.3, StopPhase.ENDED),
        (False, 7.0, StopPhase.FINISHING),
        (False, 7.6, StopPhase.ENDED),
    ],
)
def test_a_stop_goes_from_taking_over_finishing_to_its_end(
    is_quiet: bool, elapsed_s: float, phase: StopPhase
) -> None:
    assert StopPlan(100.0, 8.0).phase(is_quiet, 100.0 + elapsed_s) is phase


def test_an_engine_that_was_heard_of_is_not_silent() -> None:
    """Answers overload, in which slow engines taken for silent ones would shed all load."""
    health = BackendHealth(HealthLimits())
    assert not health.was_heard_since("s", 0.0)
    health.on_heard("s", 5.0)
    assert health.was_heard_since("s", 4.9)
    assert not health.was_heard_since("s", 5.1)


def test_another_hosts_word_of_silence_makes_impatient_and_does_not_exclude() -> None:
    health = BackendHealth(HealthLimits(suspicion_s=1.5))
    health.on_suspected("s", 10.0)
    assert health.is_suspected("s", 11.4)
    assert not health.is_paused("s", 11.4)
    assert not health.is_suspected("s", 11.6)

"""Invariants of the configuration over the pure core, in drawn histories.

`BERYLQUAY_CASES` sets the number of histories; docs/proofs/configuration.md names the command.
"""

import os
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from berylquay.decisions.configuration_snapshots import snapshot_to_json
from berylquay.decisions.configuration_state import (
    Change,
    ChangeKind,
    ChangeStatus,
    change_to_fields,
)
from tests.support.configuration_model import Model, ModelHost, ModelLog

CASES = int(os.environ.get("BERYLQUAY_CASES", "150"))
HOSTS = 4
KINDS = (
    *("ask", "ask", "ask", "remove", "stray", "read", "read", "catch-up", "catch-up"),
    *("snapshot", "offer", "restart", "expire"),
)

host_numbers = st.integers(0, HOSTS - 1)
events = st.tuples(st.sampled_from(KINDS), host_numbers, host_numbers, st.integers(0, 3))


def new_model() -> Model:
    log = ModelLog()
    return Model([ModelHost(log) for _ in range(HOSTS)], log)


def play(model: Model, event: tuple[str, int, int, int]) -> None:
    kind, first, second, number = event
    host, other = model.hosts[first], model.hosts[second]
    if kind == "ask":
        # 0 copies: the append was dropped; 2 or 3: its answer was lost and it was retried.
        model.ask(host, f"d{second}", stale=number // 2 * 3, copies=number)
    elif kind == "remove":
        model.remove(host, f"d{second}")
    elif kind == "stray":
        model.land_stray()
    elif kind == "read":
        host.read()
    elif kind == "catch-up":
        host.read_to_end()
    elif kind == "snapshot":
        model.snapshot(host)
    elif kind == "offer":
        model.offer(host, other)
    elif kind == "restart":
        host.restart()
    else:
        expire(model, number)


def expire(model: Model, number: int) -> None:
    model.log.first_offset = min(model.log.next_offset, model.log.first_offset + number)


@settings(max_examples=CASES, derandomize=True, deadline=None)
@given(st.lists(events, min_size=40, max_size=100))
def test_every_host_has_what_the_log_adds_up_to_and_never_goes_back(
    history: list[tuple[str, int, int, int]],
) -> None:
    model = new_model()
    for event in history:
        play(model, event)
    heal(model)
    check_end(model)


def heal(model: Model) -> None:
    """Lets every host read on, and the ones that can help the others."""
    for host in model.hosts:
        host.read_to_end()
    able = [host for host in model.hosts if host.fold.up_to_date]
    if able:
        model.snapshot(able[0])
    for host in model.hosts:
        host.read_to_end()


def check_end(model: Model) -> None:
    able = [host for host in model.hosts if host.fold.up_to_date]
    newest = model.log.states[-1]
    if able:
        assert len(able) == HOSTS, "all hosts converge as soon as one of them can help"
        assert all(host.fold.state == newest for host in model.hosts)
    accepted = {
        change_id
        for change_id, outcome in model.log.outcomes.items()
        if outcome.status is ChangeStatus.ACCEPTED
    }
    refused_at_once = {
        change_id
        for change_id, outcome in model.answers.items()
        if outcome.status is not ChangeStatus.ACCEPTED
    }
    assert not accepted & refused_at_once, "a change that was refused has no effect"


@settings(max_examples=CASES, derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 2), min_size=2, max_size=8), st.integers(0, 20))
def test_of_racing_changes_exactly_one_wins(copies: list[int], earlier: int) -> None:
    model = new_model()
    host = model.hosts[0]
    host.read_to_end()
    for n in range(earlier):
        model.ask(host, f"d{n % 2}", stale=0, copies=1)
        host.read_to_end()
    state = host.fold.state
    assert state is not None
    racing = [
        Change(f"racing-{n}", ChangeKind.DRAIN, "engine-1", state.revision, f"operator {n}")
        for n in range(len(copies))
    ]
    # Each copy of each change lands in a drawn order, as retries after lost answers do.
    landings = [
        change for change, number in zip(racing, copies, strict=True) for _ in range(number)
    ]
    Random(earlier).shuffle(landings)
    for change in landings:
        model.log.append(change.change_id, change.kind.value, change_to_fields(change))
    outcomes = [model.log.outcomes[change.change_id] for change in dict.fromkeys(landings)]
    accepted = [o for o in outcomes if o.status is ChangeStatus.ACCEPTED]
    assert len(accepted) == (1 if landings else 0)
    for outcome in outcomes:
        if outcome.status is not ChangeStatus.ACCEPTED:
            assert outcome.winner is not None
            assert outcome.winner.change_id == accepted[0].change_id
            assert outcome.winner.revision == accepted[0].revision


@settings(max_examples=CASES, derandomize=True, deadline=None)
@given(st.integers(1, 12), st.integers(0, 12), st.integers(0, 4))
def test_host_starts_from_a_snapshot_after_the_changes_expired(
    changes: int, late: int, lag: int
) -> None:
    model = new_model()
    writer = model.hosts[0]
    writer.read_to_end()
    for n in range(changes):
        model.ask(writer, f"d{n % 2}", stale=0, copies=1)
        writer.read_to_end()
    state = writer.fold.state
    assert state is not None
    covered = state.applied_offset
    # Changes that land between the writer's last read and its snapshot are not in the snapshot.
    for n in range(lag):
        change = Change(f"lag-{n}", ChangeKind.DRAIN, f"e{n}", state.revision, "operator")
        model.log.append(change.change_id, change.kind.value, change_to_fields(change))
    model.log.append("snapshot", "snapshot", snapshot_to_json(state))
    for n in range(late):
        change = Change(f"late-{n}", ChangeKind.DRAIN, f"l{n}", state.revision, "operator")
        model.log.append(change.change_id, change.kind.value, change_to_fields(change))
    model.log.first_offset = covered + 1
    starting = model.hosts[1]
    starting.read_to_end()
    assert starting.fold.state == model.log.states[-1]
    # With one record more gone, changes between are missing, or the snapshot itself is.
    model.log.first_offset = covered + 2
    next_host = model.hosts[2]
    next_host.read_to_end()
    assert next_host.fold.has_gap
    assert next_host.fold.state is None


def test_late_copy_of_a_refused_change_has_no_effect() -> None:
    model = new_model()
    host = model.hosts[0]
    host.read_to_end()
    model.ask(host, "d0", stale=0, copies=1)
    # Lands after d0, whose class it claims too, and twice because its answer was lost.
    model.ask(host, "d2", stale=0, copies=2)
    host.read_to_end()
    model.remove(host, "d0")
    model.land_stray()
    host.read_to_end()
    assert host.fold.state is not None
    assert not host.fold.state.deployments

"""Invariants of the configuration state machine over random histories.

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
from tests.support.configuration_model import ConfigurationModel, ModelHost, ModelLog

CASES = int(os.environ.get("BERYLQUAY_CASES", "150"))
HOSTS = 4
KINDS = (
    *("ask", "ask", "ask", "remove", "stray", "read", "read", "catch-up", "catch-up"),
    *("snapshot", "offer", "restart", "expire"),
)

host_numbers = st.integers(0, HOSTS - 1)
events = st.tuples(st.sampled_from(KINDS), host_numbers, host_numbers, st.integers(0, 3))


def new_model() -> ConfigurationModel:
    log = ModelLog()
    return ConfigurationModel([ModelHost(log) for _ in range(HOSTS)], log)


def apply_event(model: ConfigurationModel, event: tuple[str, int, int, int]) -> None:
    kind, first, second, number = event
    host, other = model.hosts[first], model.hosts[second]
    if kind == "ask":
        # 0 copies: the append was dropped; 2 or 3: its answer was lost and it was retried.
        model.apply_deployment(host, f"d{second}", revisions_behind=number // 2 * 3, copies=number)
    elif kind == "remove":
        model.remove_deployment(host, f"d{second}")
    elif kind == "stray":
        model.append_delayed_copy()
    elif kind == "read":
        host.read_next_page()
    elif kind == "catch-up":
        host.read_to_end()
    elif kind == "snapshot":
        model.append_snapshot(host)
    elif kind == "offer":
        model.send_snapshot(host, other)
    elif kind == "restart":
        host.restart()
    else:
        expire_records(model, number)


def expire_records(model: ConfigurationModel, number: int) -> None:
    model.log.first_offset = min(model.log.next_offset, model.log.first_offset + number)


@settings(max_examples=CASES, derandomize=True, deadline=None)
@given(st.lists(events, min_size=40, max_size=100))
def test_every_host_matches_the_log_and_its_revision_never_decreases(
    history: list[tuple[str, int, int, int]],
) -> None:
    model = new_model()
    for event in history:
        apply_event(model, event)
    sync_hosts(model)
    check_convergence(model)


def sync_hosts(model: ConfigurationModel) -> None:
    """Lets every host read to the end, with a snapshot from a host that is up to date, if any."""
    for host in model.hosts:
        host.read_to_end()
    up_to_date = [host for host in model.hosts if host.state_machine.up_to_date]
    if up_to_date:
        model.append_snapshot(up_to_date[0])
    for host in model.hosts:
        host.read_to_end()


def check_convergence(model: ConfigurationModel) -> None:
    up_to_date = [host for host in model.hosts if host.state_machine.up_to_date]
    latest_state = model.log.states[-1]
    if up_to_date:
        assert len(up_to_date) == HOSTS, "all hosts converge as soon as one of them can help"
        assert all(host.state_machine.state == latest_state for host in model.hosts)
    accepted = {
        change_id
        for change_id, outcome in model.log.outcomes.items()
        if outcome.status is ChangeStatus.ACCEPTED
    }
    refused_without_append = {
        change_id
        for change_id, outcome in model.answers.items()
        if outcome.status is not ChangeStatus.ACCEPTED
    }
    assert not accepted & refused_without_append, "a change that was refused has no effect"


@settings(max_examples=CASES, derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 2), min_size=2, max_size=8), st.integers(0, 20))
def test_exactly_one_of_several_concurrent_changes_wins(
    copies: list[int], earlier_changes: int
) -> None:
    model = new_model()
    host = model.hosts[0]
    host.read_to_end()
    for n in range(earlier_changes):
        model.apply_deployment(host, f"d{n % 2}", revisions_behind=0, copies=1)
        host.read_to_end()
    state = host.state_machine.state
    assert state is not None
    concurrent = [
        Change(f"racing-{n}", ChangeKind.DRAIN, "engine-1", state.revision, f"operator {n}")
        for n in range(len(copies))
    ]
    # The copies are appended in random order, as with retries after lost answers.
    appended = [
        change for change, number in zip(concurrent, copies, strict=True) for _ in range(number)
    ]
    Random(earlier_changes).shuffle(appended)
    for change in appended:
        model.log.append(change.change_id, change.kind.value, change_to_fields(change))
    outcomes = [model.log.outcomes[change.change_id] for change in dict.fromkeys(appended)]
    accepted = [o for o in outcomes if o.status is ChangeStatus.ACCEPTED]
    assert len(accepted) == (1 if appended else 0)
    for outcome in outcomes:
        if outcome.status is not ChangeStatus.ACCEPTED:
            assert outcome.winner is not None
            assert outcome.winner.change_id == accepted[0].change_id
            assert outcome.winner.revision == accepted[0].revision


@settings(max_examples=CASES, derandomize=True, deadline=None)
@given(st.integers(1, 12), st.integers(0, 12), st.integers(0, 4))
def test_host_starts_from_a_snapshot_after_the_changes_expired(
    changes: int, changes_after_snapshot: int, changes_before_snapshot: int
) -> None:
    model = new_model()
    writer = model.hosts[0]
    writer.read_to_end()
    for n in range(changes):
        model.apply_deployment(writer, f"d{n % 2}", revisions_behind=0, copies=1)
        writer.read_to_end()
    state = writer.state_machine.state
    assert state is not None
    snapshot_offset = state.applied_offset
    # Changes appended between the writer's last read and its snapshot are not in the snapshot.
    for n in range(changes_before_snapshot):
        change = Change(f"lag-{n}", ChangeKind.DRAIN, f"e{n}", state.revision, "operator")
        model.log.append(change.change_id, change.kind.value, change_to_fields(change))
    model.log.append("snapshot", "snapshot", snapshot_to_json(state))
    for n in range(changes_after_snapshot):
        change = Change(f"late-{n}", ChangeKind.DRAIN, f"l{n}", state.revision, "operator")
        model.log.append(change.change_id, change.kind.value, change_to_fields(change))
    model.log.first_offset = snapshot_offset + 1
    starting = model.hosts[1]
    starting.read_to_end()
    assert starting.state_machine.state == model.log.states[-1]
    # If one more record has expired, a change after the snapshot's offset or the snapshot itself is
    # missing.
    model.log.first_offset = snapshot_offset + 2
    next_host = model.hosts[2]
    next_host.read_to_end()
    assert next_host.state_machine.has_gap
    assert next_host.state_machine.state is None


def test_late_copy_of_a_refused_change_has_no_effect() -> None:
    model = new_model()
    host = model.hosts[0]
    host.read_to_end()
    model.apply_deployment(host, "d0", revisions_behind=0, copies=1)
    # d2 is appended after d0, which has the same class, and twice because its answer was lost.
    model.apply_deployment(host, "d2", revisions_behind=0, copies=2)
    host.read_to_end()
    model.remove_deployment(host, "d0")
    model.append_delayed_copy()
    host.read_to_end()
    assert host.state_machine.state is not None
    assert not host.state_machine.state.deployments

"""What the registry believes as entries come, lapse with the store, and return."""

from attrs import evolve

from berylquay.decisions.backend_registry import (
    RECOVERY_GRACE_S,
    BackendEntry,
    BackendRegistry,
    EntryState,
)
from berylquay.decisions.fleet import Address

ENTRY = BackendEntry(
    name="i-1",
    pool="app",
    address=Address("10.0.0.1", 80),
    data_centre="fes-a",
    slots=6,
    state=EntryState.READY,
    started_unix_ms=100,
    heartbeat_number=1,
)


def test_a_heartbeat_alone_changes_nothing() -> None:
    registry = BackendRegistry()
    assert registry.on_entry(ENTRY) is not None
    assert registry.on_entry(evolve(ENTRY, heartbeat_number=2)) is None
    assert registry.ready_in_pool("app") == [ENTRY]


def test_a_leaving_server_takes_nothing_and_a_late_older_heartbeat_does_not_bring_it_back() -> None:
    registry = BackendRegistry()
    registry.on_entry(ENTRY)
    registry.on_entry(evolve(ENTRY, heartbeat_number=5, state=EntryState.LEAVING))
    assert registry.on_entry(evolve(ENTRY, heartbeat_number=4)) is None
    assert registry.ready_in_pool("app") == []


def test_a_late_heartbeat_does_not_bring_back_a_server_that_is_gone() -> None:
    registry = BackendRegistry()
    registry.on_entry(evolve(ENTRY, heartbeat_number=5))
    registry.on_removed("i-1", 0.0)
    assert registry.on_entry(evolve(ENTRY, heartbeat_number=4)) is None
    assert registry.all() == []


def test_a_restart_under_the_same_name_counts_anew() -> None:
    registry = BackendRegistry()
    registry.on_entry(evolve(ENTRY, heartbeat_number=50))
    change = registry.on_entry(evolve(ENTRY, started_unix_ms=200, heartbeat_number=1))
    assert change is not None and change.restarted


def test_an_entry_that_lapsed_while_the_store_was_away_is_kept_until_the_grace_ends() -> None:
    registry = BackendRegistry()
    registry.on_entry(ENTRY)
    registry.on_store_unreachable()
    assert registry.on_removed("i-1", 10.0) is None
    assert registry.drop_expired(100.0) == []
    registry.on_store_answered(100.0)
    assert registry.on_removed("i-1", 100.5) is None
    assert registry.drop_expired(100.0 + RECOVERY_GRACE_S - 0.1) == []
    assert registry.ready_in_pool("app") == [ENTRY]
    gone = registry.drop_expired(100.0 + RECOVERY_GRACE_S)
    assert [change.name for change in gone] == ["i-1"]


def test_an_entry_that_returns_within_the_grace_stays() -> None:
    registry = BackendRegistry()
    registry.on_entry(ENTRY)
    registry.on_store_unreachable()
    registry.on_removed("i-1", 10.0)
    registry.on_store_answered(20.0)
    registry.on_entry(evolve(ENTRY, heartbeat_number=9))
    assert registry.drop_expired(30.0) == []
    assert len(registry.ready_in_pool("app")) == 1


def test_a_snapshot_removes_what_it_does_not_hold() -> None:
    registry = BackendRegistry()
    registry.on_entry(ENTRY)
    other = evolve(ENTRY, name="i-2")
    changes = registry.on_snapshot([other], 0.0)
    assert {(change.name, change.after is None) for change in changes} == {
        ("i-1", True),
        ("i-2", False),
    }

"""The registry as entries are added, expire while the store is unreachable, and return."""

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

# Hash of the list that holds only ENTRY, computed by the release before spot servers.
HASH_BEFORE_SPOT_SERVERS = "aa66e92b21971b84"


def test_a_heartbeat_alone_is_no_change() -> None:
    registry = BackendRegistry()
    assert registry.on_entry(ENTRY) is not None
    assert registry.on_entry(evolve(ENTRY, heartbeat_number=2)) is None
    assert registry.ready_in_pool("app") == [ENTRY]


def test_a_leaving_server_is_not_ready_and_an_older_heartbeat_does_not_undo_that() -> None:
    registry = BackendRegistry()
    registry.on_entry(ENTRY)
    registry.on_entry(evolve(ENTRY, heartbeat_number=5, state=EntryState.LEAVING))
    assert registry.on_entry(evolve(ENTRY, heartbeat_number=4)) is None
    assert registry.ready_in_pool("app") == []


def test_an_older_heartbeat_does_not_restore_a_removed_server() -> None:
    registry = BackendRegistry()
    registry.on_entry(evolve(ENTRY, heartbeat_number=5))
    registry.on_removed("i-1", 0.0)
    assert registry.on_entry(evolve(ENTRY, heartbeat_number=4)) is None
    assert registry.all_entries() == []


def test_a_lower_heartbeat_number_after_a_restart_is_accepted() -> None:
    registry = BackendRegistry()
    registry.on_entry(evolve(ENTRY, heartbeat_number=50))
    change = registry.on_entry(evolve(ENTRY, started_unix_ms=200, heartbeat_number=1))
    assert change is not None and change.restarted


def test_an_entry_that_expired_while_the_store_was_unreachable_is_kept_for_the_grace_period() -> (
    None
):
    registry = BackendRegistry()
    registry.on_entry(ENTRY)
    registry.on_store_unreachable()
    assert registry.on_removed("i-1", 10.0) is None
    assert registry.drop_expired(100.0) == []
    registry.on_store_answered(100.0)
    assert registry.on_removed("i-1", 100.5) is None
    assert registry.drop_expired(100.0 + RECOVERY_GRACE_S - 0.1) == []
    assert registry.ready_in_pool("app") == [ENTRY]
    removed = registry.drop_expired(100.0 + RECOVERY_GRACE_S)
    assert [change.name for change in removed] == ["i-1"]


def test_an_entry_that_returns_within_the_grace_period_stays() -> None:
    registry = BackendRegistry()
    registry.on_entry(ENTRY)
    registry.on_store_unreachable()
    registry.on_removed("i-1", 10.0)
    registry.on_store_answered(20.0)
    registry.on_entry(evolve(ENTRY, heartbeat_number=9))
    assert registry.drop_expired(30.0) == []
    assert len(registry.ready_in_pool("app")) == 1


def test_a_snapshot_removes_entries_that_it_does_not_contain() -> None:
    registry = BackendRegistry()
    registry.on_entry(ENTRY)
    other = evolve(ENTRY, name="i-2")
    changes = registry.on_snapshot([other], 0.0)
    assert {(change.name, change.after is None) for change in changes} == {
        ("i-1", True),
        ("i-2", False),
    }


def test_entries_without_spot_fields_keep_their_hash() -> None:
    """Guards against hosts of two releases that read the whole list again at each report."""
    registry = BackendRegistry()
    registry.on_entry(ENTRY)
    assert registry.state_hash() == HASH_BEFORE_SPOT_SERVERS
    registry.on_entry(evolve(ENTRY, spot=True))
    assert registry.state_hash() != HASH_BEFORE_SPOT_SERVERS


def test_no_work_that_would_end_too_late_is_sent_to_a_server_that_is_reclaimed() -> None:
    """Guards against work that is lost when a spot server is reclaimed."""
    registry = BackendRegistry()
    entry = evolve(ENTRY, leaves_ms=2000)
    registry.on_entry(entry)
    registry.on_leaves_ms(entry, 10.0)
    # A copy of the same heartbeat that arrives late.
    registry.on_leaves_ms(entry, 11.0)
    assert registry.without_leaving_before([entry], 12.0) == [entry]
    assert registry.without_leaving_before([entry], 12.1) == []
    assert registry.is_reclaimed(entry)
    registry.on_removed(entry.name, 13.0)
    assert registry.without_leaving_before([entry], 99.0) == [entry]


def test_another_version_under_the_same_start_is_no_restart() -> None:
    registry = BackendRegistry()
    registry.on_entry(ENTRY)
    change = registry.on_entry(evolve(ENTRY, software_version="v2"))
    assert change is not None
    assert not change.restarted
    assert not change.is_back


# Guards against a registry that goes back and forth between two writers of one name.
def test_of_two_writers_of_a_name_the_later_start_counts() -> None:
    registry = BackendRegistry()
    earlier = evolve(ENTRY, started_unix_ms=1000, software_version="v1")
    later = evolve(ENTRY, started_unix_ms=2000, software_version="v2")
    changes = [
        registry.on_entry(evolve(entry, heartbeat_number=number))
        for number in range(1, 4)
        for entry in (earlier, later)
    ]
    assert [change is not None for change in changes] == [True, True] + [False] * 4
    assert registry.get(ENTRY.name) == later

"""Servers whose entry is gone for a while before the next start is listed under their name."""

from attrs import evolve

from berylquay.decisions.backend_registry import BackendEntry, BackendRegistry, EntryState
from berylquay.decisions.fleet import Address
from berylquay.decisions.segment_crash_history import (
    LostAttempt,
    SegmentCrashHistory,
    SegmentCrashLimits,
)
from tests.relay.test_crash_reports import Host

ENTRY = BackendEntry(
    "s", "app", Address("10.0.0.1", 80), "a", 4, EntryState.READY, started_unix_ms=1000
)


def test_a_later_start_of_a_name_that_was_gone_is_told_apart() -> None:
    registry = BackendRegistry()
    first = registry.on_entry(ENTRY)
    assert first is not None
    assert not first.is_back
    registry.on_removed("s", 5.0)
    later = registry.on_entry(evolve(ENTRY, started_unix_ms=2000))
    assert later is not None
    assert later.is_back
    registry.on_removed("s", 6.0)
    same = registry.on_entry(evolve(ENTRY, started_unix_ms=2000, heartbeat_number=7))
    assert same is not None
    assert not same.is_back


def lose(history: SegmentCrashHistory, content: str, now_s: float) -> None:
    history.on_attempt_lost(LostAttempt("s", content, ("part",)), now_s)


# Guards against broken connections to a new start that count as its crash, since the removal of the
# entry of the start before still confirms it.
def test_the_end_of_a_removed_start_confirms_no_crash_of_the_next_one() -> None:
    history = SegmentCrashHistory(SegmentCrashLimits())
    history.on_server_ended("s", 5.0)
    history.on_server_started("s")
    lose(history, "f", 6.0)
    assert history.crash_count("part") == 0
    history.on_server_ended("s", 7.0)
    assert history.crash_count("part") == 1


# Guards against crashes of two starts that count as one.
def test_crashes_of_two_starts_are_two() -> None:
    history = SegmentCrashHistory(SegmentCrashLimits())
    lose(history, "f", 1.0)
    history.on_server_ended("s", 1.5)
    history.on_server_started("s")
    lose(history, "g", 3.0)
    history.on_server_ended("s", 3.5)
    assert history.crash_count("part") == 2


def test_the_handler_counts_the_crashes_of_two_starts() -> None:
    host = Host()
    for at_s in (0.0, 1.5, 3.0):
        host.crash_history.on_crash("s", frozenset({"f"}), at_s)
        host.handler.on_entry_ended("s", restarted=False, now_s=at_s + 0.2)
        host.handler.on_server_back("s", at_s + 0.4)
    assert len(host.crash_history.crashes_of("f")) == 3

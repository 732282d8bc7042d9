"""What a server states after it has started again, while its entry is still of the start before."""

import time
from collections.abc import Callable
from random import Random
from typing import Final

import pytest
from attrs import evolve

from berylquay.decisions.arrival_bounds import ArrivalBounds
from berylquay.decisions.backend_registry import BackendEntry, BackendRegistry, EntryState
from berylquay.decisions.fleet import Address
from berylquay.decisions.server_notices import ServerNotice
from berylquay.relay.metrics import RelayMetrics
from berylquay.relay.server_notice_handler import ServerNoticeHandler, encode_server_limit

NO_LIMIT: Final = float("inf")
NOTICES: Final = {
    "leaving": ServerNotice(is_leaving=True, pause_s=None, limit_per_s=NO_LIMIT),
    "pause": ServerNotice(is_leaving=False, pause_s=60.0, limit_per_s=NO_LIMIT),
    "limit": ServerNotice(is_leaving=False, pause_s=None, limit_per_s=0.0),
}
# A time after which what is not certain has lapsed.
LONG_S: Final = 31.0


def now_unix_ms() -> int:
    return round(time.time() * 1000)


class Host:
    """A host's registry, with the entry of a server that has been running for ten minutes."""

    def __init__(self) -> None:
        self.registry = BackendRegistry()
        self.sent = list[bytes]()
        self.handler = ServerNoticeHandler(
            self.registry, RelayMetrics(), Random(1), self.sent.append
        )
        self.before = BackendEntry(
            "s",
            "lm",
            Address("10.0.0.1", 80),
            "a",
            1,
            EntryState.READY,
            started_unix_ms=now_unix_ms() - 600_000,
            heartbeat_number=300,
        )
        self.registry.on_entry(self.before)

    def on_answer(self, notice: str, sent_ago_s: float) -> None:
        """Answers a request that was sent by what the first entry says."""
        self.handler.on_notice(self.before, NOTICES[notice], time.monotonic() - sent_ago_s)

    def list_start(self, started_ago_s: float) -> None:
        """Applies the entry of a later start."""
        started_unix_ms = now_unix_ms() - round(started_ago_s * 1000)
        entry = evolve(self.before, started_unix_ms=started_unix_ms, heartbeat_number=1)
        self.registry.on_entry(entry)

    def may_send(self, after_s: float = 0.0) -> bool:
        self.handler.on_tick(time.monotonic() + after_s)
        return bool(self.registry.ready_in_pool("lm"))


# Guards against requests to a server that wants none, after its entry has come later than its
# answer: the answer counted for the start before, and was forgotten with it.
@pytest.mark.parametrize("notice", NOTICES)
@pytest.mark.parametrize("is_listed_first", [False, True])
def test_what_a_start_says_before_its_entry_holds(notice: str, *, is_listed_first: bool) -> None:
    host = Host()
    steps: list[Callable[[], None]] = [
        lambda: host.on_answer(notice, sent_ago_s=1.0),
        lambda: host.list_start(started_ago_s=3.0),
    ]
    for step in reversed(steps) if is_listed_first else steps:
        step()
    assert not host.may_send()


# Guards against a host that goes beyond the limit of a new start until its own first answer, since
# the host that has told it of the limit did not have the entry.
@pytest.mark.parametrize("is_listed_first", [False, True])
def test_a_limit_of_which_another_host_tells_holds(*, is_listed_first: bool) -> None:
    host = Host()
    if is_listed_first:
        host.list_start(started_ago_s=3.0)
    now_s = time.monotonic()
    data = encode_server_limit(host.before.instance, 0.0)
    host.handler.on_limit_datagram(data, ArrivalBounds(now_s - 0.1, now_s))
    if not is_listed_first:
        host.list_start(started_ago_s=3.0)
    assert not host.may_send()


# Guards against a new start that is held to what the start before has stated.
@pytest.mark.parametrize("notice", NOTICES)
@pytest.mark.parametrize("is_listed_first", [False, True])
def test_what_the_start_before_has_said_is_forgotten(notice: str, *, is_listed_first: bool) -> None:
    host = Host()
    steps: list[Callable[[], None]] = [
        lambda: host.on_answer(notice, sent_ago_s=5.0),
        lambda: host.list_start(started_ago_s=3.0),
    ]
    for step in reversed(steps) if is_listed_first else steps:
        step()
    assert host.may_send()
    assert host.registry.notices.names == set()


# Guards against a server that is never used again after a release in place: by a clock that is
# ahead, the answer of the start before seems to be of the new one.
@pytest.mark.parametrize("is_listed_first", [False, True])
def test_a_start_that_only_seems_to_leave_is_used_again(*, is_listed_first: bool) -> None:
    host = Host()
    if is_listed_first:
        host.list_start(started_ago_s=3.0)
    host.on_answer("leaving", sent_ago_s=1.0)
    if not is_listed_first:
        host.list_start(started_ago_s=3.0)
    assert not host.may_send()
    assert not host.may_send(after_s=LONG_S - 2.0)
    assert host.may_send(after_s=LONG_S)
    assert host.registry.notices.names == set()
    # Only what is certain is told to other hosts.
    assert len(host.sent) == (0 if is_listed_first else 1)


def test_a_start_that_does_leave_is_not_used_again() -> None:
    host = Host()
    host.on_answer("leaving", sent_ago_s=1.0)
    host.list_start(started_ago_s=3.0)
    entry = host.registry.get("s")
    assert entry is not None
    host.handler.on_notice(entry, NOTICES["leaving"], time.monotonic())
    assert not host.may_send()
    assert not host.may_send(after_s=2 * LONG_S)


# Guards against a late answer of the start before, which ended the pause that the new one wants.
def test_a_pause_of_an_earlier_start_replaces_none_of_a_later_one() -> None:
    host = Host()
    host.list_start(started_ago_s=3.0)
    entry = host.registry.get("s")
    assert entry is not None
    host.handler.on_notice(entry, NOTICES["pause"], time.monotonic())
    host.on_answer("pause", sent_ago_s=10.0)
    assert not host.may_send()


# Guards against start times of another clock, by which every statement seems to be of a new start.
def test_start_times_of_another_clock_tell_nothing() -> None:
    host = Host()
    host.before = evolve(host.before, name="other", started_unix_ms=1000)
    host.registry.on_entry(host.before)
    host.on_answer("leaving", sent_ago_s=1.0)
    host.on_answer("pause", sent_ago_s=1.0)
    host.registry.on_entry(evolve(host.before, started_unix_ms=2000))
    assert len(host.registry.ready_in_pool("lm")) == 2

"""Decisions about usage reports: true time, sums of counts, collectors, and who acts when."""

from attrs import evolve

from berylquay.decisions.duties.collectors import SILENT_AFTER_S, CollectorChoice
from berylquay.decisions.duties.true_time import TrueTime
from berylquay.decisions.duties.usage_counts import CollectedUsage
from berylquay.decisions.duties.usage_schedule import (
    ACT_DELAY_S,
    COLLECTOR_STAGGER_S,
    EARLIER_WINDOW_DELAY_S,
    ISOLATED_DELAY_S,
    MISSING_COUNTS_WAIT_S,
    TAKE_UP_DELAY_S,
    CollectorView,
    UsageAction,
    UsageSchedule,
)
from berylquay.relay.usage_messages import (
    CollectorAnswer,
    UsageCounts,
    decode_message,
    encode_answer,
    encode_counts,
)

MAX_DATAGRAM_BYTES = 8192
VIEW = CollectorView(rank=0, complete_id=10, is_isolated=False, is_holder=False, yields=False)
END_S = 55.0


def make_time(*others_s: float) -> TrueTime:
    """Returns the time of a host at monotonic time 10, whose wall clock shows 1010."""
    true_time = TrueTime()
    true_time.on_tick(1010.0, 10.0)
    for number, other_s in enumerate(others_s):
        true_time.on_clock(f"h-{number}", other_s, 10.0)
    return true_time


def test_a_host_with_a_wrong_clock_follows_the_others() -> None:
    """Guards against counts in a wrong window."""
    assert make_time(1010.2, 1009.9).offset_s() == 1000.0
    assert make_time(1013.0, 1013.1, 1013.2).offset_s() > 1003.0
    assert make_time(1013.0, 1010.1, 1010.2).offset_s() == 1000.0


def test_a_jump_counts_only_if_the_others_confirm_it() -> None:
    """Guards against following a wall clock that was set wrong, or never a corrected one."""
    steady = make_time(1010.1, 1010.2)
    steady.on_tick(1013.1, 10.1)
    assert steady.offset_s() == 1000.0
    corrected = make_time(1013.0, 1013.1)
    corrected.on_tick(1013.1, 10.1)
    assert corrected.own_offset_s == 1003.0


def test_datagrams_that_waited_show_no_time() -> None:
    """Guards against a suspended host that takes old datagrams for the present time."""
    true_time = make_time()
    for host in ("a", "b", "c"):
        true_time.on_clock(host, 1011.0, 16.0)
    assert true_time.offset_s() == 1000.0


def test_counts_of_a_window_add_up_over_processes_and_parts() -> None:
    """Guards against counts that are lost with a datagram or a restart, or added twice."""
    usage = CollectedUsage()
    usage.on_counts("h/1", 7, {"a": 3}, total=3, is_final=False)
    usage.on_counts("h/2", 7, {"a": 2}, total=6, is_final=True)
    assert not usage.is_complete(7, ["h/2"])
    usage.on_counts("h/2", 7, {"b": 4}, total=6, is_final=True)
    usage.on_counts("h/2", 7, {"a": 1}, total=1, is_final=False)
    assert usage.is_complete(7, ["h/2"])
    assert not usage.is_complete(7, ["h/1", "h/2"])
    assert usage.sums(7) == {"a": 5, "b": 4}


def test_counts_of_many_tenants_fit_into_datagrams() -> None:
    counts = {f"tenant-{number}": number for number in range(4900)}
    message = UsageCounts("h", "h-1", 5.5, 7, True, sum(counts.values()), counts)
    datagrams = encode_counts(message)
    assert max(map(len, datagrams)) <= MAX_DATAGRAM_BYTES
    received: dict[str, int] = {}
    for data in datagrams:
        part = decode_message(data)
        assert isinstance(part, UsageCounts)
        assert evolve(part, counts=counts) == message
        received.update(part.counts)
    assert received == counts


def test_datagrams_that_are_no_messages_are_refused() -> None:
    """Guards against an error that a peer's datagram causes."""
    answer = CollectorAnswer("h", 5.5, (1, 2))
    data = encode_answer(answer)
    assert decode_message(data) == answer
    not_numbers = [
        encode_answer(evolve(answer, time_s=float("nan"))),
        encode_answer(evolve(answer, done=(float("inf"),))),  # type: ignore[arg-type]
    ]
    for broken in (data[:-8], b"\x0b", b"\x0bnothing", data[:1] + b"\xff" * 40, *not_numbers):
        assert decode_message(broken) is None


def test_silent_hosts_are_no_collectors() -> None:
    """Guards against counts that are sent to hosts that have died, which the list still names."""
    choice = CollectorChoice("h-5")
    others = [f"h-{number}" for number in range(9) if number != 5]
    assert choice.choose(others, 0.0) == (["h-0", "h-1", "h-2"], [])
    for host in ("h-0", "h-1", "h-2"):
        choice.on_asked(host, 0.0)
    choice.on_heard("h-1")
    later_s = SILENT_AFTER_S + 0.1
    collectors, besides = choice.choose(others, later_s)
    assert collectors == ["h-1", "h-3", "h-4"]
    assert besides == ["h-0", "h-2", "h-5", "h-6"]
    choice.on_heard("h-0")
    assert choice.choose(others, later_s)[0] == ["h-0", "h-1", "h-3"]


def make_schedule() -> UsageSchedule:
    """Returns a schedule with windows of 5 s; window 10 ends at 55 s."""
    schedule = UsageSchedule(5.0, 10.0, 8, 10)
    assert schedule.end_s(10) == END_S
    return schedule


def first_action_s(schedule: UsageSchedule, view: CollectorView) -> float:
    """Returns how long after the window's end the host acts, in steps of 0.5 s."""
    delay_s = 0.0
    while schedule.next_action(view, END_S + delay_s) is None:
        delay_s += 0.5
    return delay_s


def test_collectors_act_one_after_the_other() -> None:
    """Guards against records by a host that lacks counts, while another one has them."""
    assert first_action_s(make_schedule(), VIEW) == ACT_DELAY_S
    second = evolve(VIEW, rank=1)
    assert first_action_s(make_schedule(), second) == ACT_DELAY_S + COLLECTOR_STAGGER_S
    assert first_action_s(make_schedule(), evolve(second, is_holder=True)) == ACT_DELAY_S
    incomplete = evolve(VIEW, complete_id=None)
    assert first_action_s(make_schedule(), incomplete) == ACT_DELAY_S + MISSING_COUNTS_WAIT_S
    isolated = evolve(VIEW, is_isolated=True)
    assert first_action_s(make_schedule(), isolated) == ACT_DELAY_S + ISOLATED_DELAY_S
    restarted = UsageSchedule(5.0, 10.0, 11, 10)
    assert first_action_s(restarted, VIEW) == ACT_DELAY_S + EARLIER_WINDOW_DELAY_S


def test_the_first_record_of_a_window_is_reported() -> None:
    """Guards against two reports of one window with different counts."""
    schedule = make_schedule()
    schedule.on_record(10, {"a": 1}, is_own=False)
    schedule.on_record(10, {"a": 2}, is_own=True)
    assert schedule.records[10].counts == {"a": 1}
    assert first_action_s(schedule, VIEW) == TAKE_UP_DELAY_S
    assert schedule.next_action(VIEW, END_S + 9.0) == (10, UsageAction.SEND)
    schedule.done.add(10)
    assert 10 not in schedule.open_ids(END_S + 9.0)


def test_an_overdue_window_without_a_record_is_given_up_after_a_restore() -> None:
    """Guards against a second report of a window whose record was lost with the store's era."""
    schedule = make_schedule()
    overdue_s = END_S + 10.1
    assert 10 in schedule.open_ids(overdue_s)
    schedule.on_store_restored(END_S + 3.0)
    assert 10 in schedule.open_ids(END_S + 9.0)
    assert 10 not in schedule.open_ids(overdue_s)
    schedule.on_record(10, {}, is_own=False)
    assert 10 in schedule.open_ids(overdue_s)


def test_a_window_before_the_start_without_a_record_is_given_up_after_a_restore() -> None:
    """Guards against a report without counts of a window whose record was lost with its hosts."""
    schedule = UsageSchedule(5.0, 10.0, 12, 10)
    schedule.on_store_restored(END_S + 0.3)
    assert schedule.open_ids(END_S + 9.0) == [11]
    schedule.on_record(10, {"a": 1}, is_own=False)
    assert schedule.open_ids(END_S + 9.0) == [10, 11]

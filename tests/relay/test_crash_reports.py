"""Datagrams on crashes between hosts: what they hold, and what a host makes of them."""

import pytest

from berylquay.decisions.arrival_bounds import ArrivalBounds
from berylquay.decisions.attempt_outcomes import AttemptOutcome
from berylquay.decisions.crash_history import CrashHistory, CrashHistoryLimits, Suspicion
from berylquay.decisions.relay_call import GenerationRequest, PromptSegment, RelayCall
from berylquay.decisions.route_table import Pool
from berylquay.decisions.segment_crash_history import (
    LostAttempt,
    Quarantine,
    SegmentCrashHistory,
    SegmentCrashLimits,
)
from berylquay.net.tcp_connections import CONNECTION_REFUSED
from berylquay.relay.crash_reports import (
    CRASH_REPORT_TAG,
    MAX_ENTRIES_PER_REPORT,
    CrashReport,
    PendingCrashReport,
    decode_crash_report,
    encode_crash_report,
)
from berylquay.relay.metrics import RelayMetrics
from berylquay.relay.report_fields import compress_fields
from berylquay.relay.segment_crash_handler import SegmentCrashHandler
from tests.relay.test_relay_decisions import ROUTE

REPORT = CrashReport(
    (LostAttempt("i-1", "f1", ("a", "b")), LostAttempt("i-2", "f2", ())),
    ("i-1",),
    ("c",),
    (Quarantine("b", 599.5),),
)
POOL = Pool("lm", 100)


class Host:
    """A handler, and the datagrams that it has sent to all hosts and to its group."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []
        self.repeated: list[bytes] = []
        self.saved: list[tuple[str, bool]] = []
        self.history = SegmentCrashHistory(SegmentCrashLimits())
        self.crash_history = CrashHistory(CrashHistoryLimits())
        self.handler = SegmentCrashHandler(
            self.history,
            self.crash_history,
            RelayMetrics(),
            send_to_all=self.sent.append,
            send_to_group=self.repeated.append,
            save=lambda segment, is_quarantined: self.saved.append((segment, is_quarantined)),
            get_group_size=lambda: 8,
        )

    def lose(self, number: int, detail: str = "reset", wrote_s: float | None = None) -> None:
        """Loses a prompt with the segments `first` and `poison`, one a second."""
        self.handler.on_attempt_failed(
            make_call(number),
            f"i-{number}",
            AttemptOutcome.CONNECTION_LOST,
            detail,
            wrote_s=wrote_s,
            now_s=float(number),
        )

    def find_refused(self, number: int) -> None:
        """Finds that connections to the engine of that number are refused."""
        self.handler.on_attempt_failed(
            make_call(100 + number),
            f"i-{number}",
            AttemptOutcome.NOT_SENT,
            CONNECTION_REFUSED,
            wrote_s=None,
            now_s=number + 0.2,
        )


def make_call(number: int) -> RelayCall:
    segments = ("first", "poison", f"own-{number}")
    generation = GenerationRequest(
        "m", 900, 4, tuple(PromptSegment(segment, 300) for segment in segments)
    )
    return RelayCall(
        f"id-{number}", ROUTE, POOL, 0.0, 100.0, False, f"content-{number}", generation
    )


def test_a_report_is_read_as_it_was_written() -> None:
    assert decode_crash_report(encode_crash_report(REPORT)) == REPORT


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\xff",
        compress_fields([]),
        compress_fields([[], [], []]),
        compress_fields([[["i-1", "f"]], [], [], []]),
        compress_fields([{}, [], [], []]),
        compress_fields([[], [], [], [["s", "soon"]]]),
        encode_crash_report(REPORT)[1:-20],
    ],
)
def test_an_unreadable_report_is_dropped(data: bytes) -> None:
    host = Host()
    assert decode_crash_report(CRASH_REPORT_TAG + data) is None
    host.handler.on_datagram(CRASH_REPORT_TAG + data, ArrivalBounds(1.0, 1.0))
    host.handler.on_tick(1.0)
    assert not host.sent


def test_a_long_report_is_divided() -> None:
    count = 2 * MAX_ENTRIES_PER_REPORT + 1
    pending = PendingCrashReport(lost=[LostAttempt(f"i-{n}", "f", ("a",)) for n in range(count)])
    sizes = []
    while (report := pending.take()) is not None:
        sizes.append(len(report.lost))
    assert sizes == [MAX_ENTRIES_PER_REPORT, MAX_ENTRIES_PER_REPORT, 1]


def test_hosts_find_the_cause_together_and_repeat_it_for_those_that_start() -> None:
    hosts = [Host(), Host(), Host()]
    for number in (1, 2, 3, 4):
        hosts[number % 2].lose(number)
        hosts[(number + 1) % 2].find_refused(number)
        for _ in range(2):
            for sender in hosts:
                sender.handler.on_tick(number + 0.5)
                for data in sender.sent:
                    for receiver in hosts:
                        if receiver is not sender:
                            receiver.handler.on_datagram(
                                data, ArrivalBounds(number + 0.5, number + 0.5)
                            )
                sender.sent.clear()
    for host in hosts:
        assert host.handler.find_quarantined(make_call(9), 5.0) is not None
        host.handler.on_tick(60.0)
    newcomer = Host()
    newcomer.handler.on_datagram(hosts[0].repeated[-1], ArrivalBounds(60.0, 60.0))
    assert newcomer.handler.find_quarantined(make_call(9), 60.0) is not None


# Guards against hosts of other regions of a large fleet, which get no load reports, that do not
# learn which contents crash servers.
def test_a_content_is_quarantined_on_hosts_that_only_get_crash_reports() -> None:
    host, other = Host(), Host()
    for number in (1, 2, 3):
        call = RelayCall(f"id-{number}", ROUTE, POOL, 0.0, 100.0, False, "same content")
        host.handler.on_attempt_failed(
            call,
            f"app-{number}",
            AttemptOutcome.CONNECTION_LOST,
            "reset",
            wrote_s=None,
            now_s=float(number),
        )
        host.handler.on_tick(number + 0.5)
    for data in host.sent:
        other.handler.on_datagram(data, ArrivalBounds(4.0, 4.0))
    assert other.crash_history.suspicion_of("same content") is Suspicion.QUARANTINED


def lose_content(host: Host, number: int, backend: str, now_s: float) -> None:
    """Loses one more attempt of the same plain request."""
    call = RelayCall(f"id-{number}", ROUTE, POOL, 0.0, 100.0, False, "same content")
    host.handler.on_attempt_failed(
        call, backend, AttemptOutcome.CONNECTION_LOST, "reset", wrote_s=None, now_s=now_s
    )
    host.handler.on_tick(now_s)


SAME_CALL = RelayCall("id-9", ROUTE, POOL, 0.0, 100.0, False, "same content")


def pass_on(sender: Host, receiver: Host, now_s: float) -> None:
    for data in sender.sent:
        receiver.handler.on_datagram(data, ArrivalBounds(now_s, now_s))
    sender.sent.clear()


# Guards against a request that crashes servers and is let through again as soon as its caller has
# waited for the time after which losses are forgotten (case 4 of the review).
@pytest.mark.parametrize("restarted", [False, True])
def test_a_content_that_crashes_servers_is_refused_for_long(restarted: bool) -> None:
    host, other = Host(), Host()
    for number in (1, 2, 3):
        now_s = 25.0 * number
        lose_content(host, number, f"app-{number % 2}", now_s)
        host.handler.on_entry_ended(f"app-{number % 2}", restarted=restarted, now_s=now_s + 4.0)
        host.handler.on_tick(now_s + 4.0)
    assert host.saved == [("content:same content", True)]
    pass_on(host, other, 80.0)
    newcomer = Host()
    newcomer.handler.on_stored_quarantines([segment for segment, _ in host.saved], 80.0)
    for each in (host, other, newcomer):
        found = each.handler.find_quarantined(SAME_CALL, 600.0)
        assert found is not None
        assert found.remaining_s > 0.0
        assert each.handler.quarantined_segments(600.0) == ["content:same content"]
        assert each.handler.find_quarantined(make_call(1), 600.0) is None


# Guards against sound contents that are refused for long by a host that lost its own paths: its
# attempts are lost and its connections refused, but no server's entry ends.
def test_a_content_lost_to_servers_that_live_on_is_not_refused_for_long() -> None:
    host, other = Host(), Host()
    for number in range(1, 9):
        lose_content(host, number, f"app-{number}", float(number))
        host.handler.on_attempt_failed(
            SAME_CALL,
            f"app-{number}",
            AttemptOutcome.NOT_SENT,
            CONNECTION_REFUSED,
            wrote_s=None,
            now_s=number + 0.2,
        )
        host.handler.on_tick(number + 0.3)
        pass_on(host, other, number + 0.4)
        other.handler.on_tick(number + 0.4)
    assert host.handler.find_quarantined(SAME_CALL, 9.0) is None
    assert other.handler.find_quarantined(SAME_CALL, 9.0) is None


# Guards against a sound content that is refused for long after all servers have ended at once.
def test_a_content_in_flight_in_a_power_loss_is_not_refused_for_long() -> None:
    host = Host()
    for number in range(1, 9):
        lose_content(host, number, f"app-{number}", 1.0 + 0.05 * number)
    for number in range(1, 9):
        host.handler.on_entry_ended(f"app-{number}", restarted=False, now_s=5.0)
    host.handler.on_tick(5.0)
    assert host.handler.find_quarantined(SAME_CALL, 5.0) is None


# Guards against a sound content that hosts suspect although another host has answered it.
def test_an_answer_clears_a_content_on_all_hosts() -> None:
    host, other = Host(), Host()
    for number in (1, 2, 3, 4):
        now_s = 5.0 * number
        lose_content(host, number, f"app-{number}", now_s)
        pass_on(host, other, now_s)
        for each in (host, other):
            each.crash_history.on_crash(f"app-{number}", frozenset({"same content"}), now_s)
            each.handler.on_entry_ended(f"app-{number}", restarted=False, now_s=now_s + 1.0)
            each.handler.on_tick(now_s + 1.0)
        assert host.handler.find_quarantined(SAME_CALL, now_s + 1.0) is None
        other.handler.on_content_answered(SAME_CALL, now_s + 2.0)
        other.handler.on_tick(now_s + 2.0)
        pass_on(other, host, now_s + 2.0)
        assert host.crash_history.suspicion_of("same content") is Suspicion.NONE


# Guards against a quarantine that refuses a content which a server has answered after all.
def test_an_answer_ends_the_quarantine_of_a_content() -> None:
    host, other = Host(), Host()
    for each in (host, other):
        each.handler.on_stored_quarantines(["content:same content"], 1.0)
    other.handler.on_content_answered(SAME_CALL, 2.0)
    other.handler.on_tick(2.0)
    pass_on(other, host, 2.0)
    for each in (host, other):
        assert each.handler.find_quarantined(SAME_CALL, 3.0) is None
        assert ("content:same content", False) in each.saved


# Guards against requests of one faulty server that are refused for long at all of them.
def test_few_crashes_of_one_server_alone_refuse_no_content_for_long() -> None:
    host = Host()
    for number in (1, 2, 3, 4):
        lose_content(host, number, "app", 6.0 * number)
        host.handler.on_entry_ended("app", restarted=True, now_s=6.0 * number + 3.0)
        host.handler.on_tick(6.0 * number + 3.0)
    assert host.handler.find_quarantined(SAME_CALL, 28.0) is None


# Guards against blame for an answer that had been arriving for long when its engine ended.
def test_an_answer_that_had_been_arriving_is_no_suspect() -> None:
    host = Host()
    for number in (1, 2, 3, 4):
        host.lose(number, wrote_s=2.0)
        host.find_refused(number)
    assert host.handler.find_quarantined(make_call(9), 5.0) is None
    host.handler.on_tick(5.0)
    reports = [decode_crash_report(data) for data in host.sent]
    assert not any(report is None or report.lost for report in reports)


# Guards against crashes of several starts of one server that count as a single one, so that the
# content goes on to crash it.
def test_each_start_of_a_server_crashes_by_itself() -> None:
    host = Host()
    for at_s in (0.0, 1.5, 3.0):
        host.crash_history.on_crash("i-1", frozenset({"f"}), at_s)
        # What another host has lost in the same crash, and reports when the server is back.
        host.handler.on_entry_ended("i-1", restarted=True, now_s=at_s + 0.4)
        host.crash_history.on_crash("i-1", frozenset({"f"}), at_s + 0.9)
    assert len(host.crash_history.crashes_of("f")) == 3
    assert host.crash_history.suspicion_of("f") is Suspicion.QUARANTINED


# Guards against losses that count as crashes of a server which has not started again.
def test_losses_of_one_start_count_once_within_seconds() -> None:
    host = Host()
    host.handler.on_entry_ended("i-1", restarted=True, now_s=0.0)
    host.handler.on_entry_ended("i-2", restarted=True, now_s=2.0)
    for at_s in (1.0, 2.5, 3.9):
        host.crash_history.on_crash("i-1", frozenset({"f"}), at_s)
    assert len(host.crash_history.crashes_of("f")) == 1


# Guards against sound content that is refused since connections to several servers broke.
def test_a_withdrawn_crash_does_not_count() -> None:
    history = CrashHistory(CrashHistoryLimits())
    for number in range(3):
        history.on_crash(f"i-{number}", frozenset({"f", "g"}), float(number))
    history.withdraw("i-1", "f", 1.0)
    history.withdraw("i-9", "f", 1.0)
    history.withdraw("i-1", "unknown", 1.0)
    assert [crash.backend for crash in history.crashes_of("f")] == ["i-0", "i-2"]
    assert history.suspicion_of("g") is Suspicion.QUARANTINED

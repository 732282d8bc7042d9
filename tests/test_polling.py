"""Polling of load reports: the rate is limited and spread over the engines at any fleet size."""

from collections import Counter

import pytest

from berylquay.decisions.fleet import Address, BackendKind, BackendServer, MembershipView
from berylquay.decisions.load_polling import PollLimits, PollSchedule

LIMITS = PollLimits()


def make_schedule(host: str, engine_count: int) -> PollSchedule:
    schedule = PollSchedule(host, "dc", LIMITS)
    address = Address("127.0.0.1", 1)
    backends = tuple(
        BackendServer(f"e{n}", BackendKind.ENGINE, address, "r", "dc", "lm")
        for n in range(engine_count)
    )
    schedule.on_membership(MembershipView(1, backends, ()))
    return schedule


@pytest.mark.parametrize(("engines", "polled"), [(0, 0), (5, 5), (9, 9), (414, LIMITS.max_engines)])
def test_polls_stay_within_the_rate_and_reach_every_polled_engine(
    engines: int, polled: int
) -> None:
    schedule = make_schedule("h", engines)
    poll_counts: Counter[str] = Counter()
    for step in range(400):
        for server in schedule.take_due(step * 0.025):
            poll_counts[server.name] += 1
            schedule.on_poll_ended(server.name)
    assert len(poll_counts) == polled
    assert sum(poll_counts.values()) <= LIMITS.max_polls_per_s * 10.0 + polled
    assert max(poll_counts.values(), default=0) - min(poll_counts.values(), default=0) <= 1


def test_engine_is_not_polled_again_while_a_poll_is_unanswered() -> None:
    schedule = make_schedule("h", 1)
    assert [server.name for server in schedule.take_due(0.0)] == ["e0"]
    assert not schedule.take_due(10.0)
    schedule.on_poll_ended("e0")
    assert schedule.take_due(20.0)


def test_hosts_of_a_data_centre_poll_different_engines() -> None:
    schedules = [make_schedule(f"host-{n}", 414) for n in range(12)]
    polled = {server.name for schedule in schedules for server in schedule.polled}
    assert len(polled) > 10 * LIMITS.max_engines

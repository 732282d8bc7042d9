"""Load reports: bounded questions, spread over the engines, whatever the size of the fleet."""

from collections import Counter

import pytest

from berylquay.decisions.fleet import Address, BackendKind, BackendServer, MembershipView
from berylquay.decisions.load_polling import PollLimits, PollSchedule

LIMITS = PollLimits()


def schedule(host: str, count: int) -> PollSchedule:
    made = PollSchedule(host, "dc", LIMITS)
    address = Address("127.0.0.1", 1)
    backends = tuple(
        BackendServer(f"e{n}", BackendKind.ENGINE, address, "r", "dc", "lm") for n in range(count)
    )
    made.on_membership(MembershipView(1, backends, ()))
    return made


@pytest.mark.parametrize(
    ("engines", "followed"), [(0, 0), (5, 5), (9, 9), (414, LIMITS.max_engines)]
)
def test_questions_stay_under_the_rate_and_reach_every_followed_engine(
    engines: int, followed: int
) -> None:
    polls = schedule("h", engines)
    asked: Counter[str] = Counter()
    for step in range(400):
        for server in polls.take_due(step * 0.025):
            asked[server.name] += 1
            polls.on_poll_ended(server.name)
    assert len(asked) == followed
    assert sum(asked.values()) <= LIMITS.max_polls_per_s * 10.0 + followed
    assert max(asked.values(), default=0) - min(asked.values(), default=0) <= 1


def test_engine_that_does_not_answer_is_not_asked_again_meanwhile() -> None:
    polls = schedule("h", 1)
    assert [server.name for server in polls.take_due(0.0)] == ["e0"]
    assert not polls.take_due(10.0)
    polls.on_poll_ended("e0")
    assert polls.take_due(20.0)


def test_hosts_of_a_data_centre_follow_different_engines() -> None:
    hosts = [schedule(f"host-{n}", 414) for n in range(12)]
    followed = {server.name for host in hosts for server in host.polled}
    assert len(followed) > 10 * LIMITS.max_engines

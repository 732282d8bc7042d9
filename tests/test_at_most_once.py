"""At most once, as an invariant over the pure decisions under faults drawn by seed."""

import os
from typing import Final

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from berylquay.messages import CallCompleted, CallRefused
from berylquay.verdicts import RefusalReason, Verdict
from tests.support.once_model import ModelHost, OnceModel

HOSTS: Final = 3
KEYS: Final = ("alarm-1", "ticket-0")
# More cases, for the run that docs/proofs/at-most-once.md reports.
CASES: Final = int(os.environ.get("ONCE_CASES", "200"))

hosts = st.integers(0, HOSTS - 1)


class FaultyHosts(RuleBasedStateMachine):
    """Sends the same keys to several hosts while hosts, log and links fail."""

    @initialize()
    def start(self) -> None:
        self.model = OnceModel(HOSTS)
        now_s = self.model.now_s
        self.keys = {
            key: self.model.hosts[number].core.issue_ticket("fes", now_s)
            for number, key in enumerate(KEYS[1:])
        }

    @rule(host=hosts, key=st.sampled_from(KEYS))
    def send(self, host: int, key: str) -> None:
        self.model.send(self.model.hosts[host], self.keys.get(key, key))

    @rule(seconds=st.sampled_from([0.03, 0.03, 0.5, 4.0]))
    def tick(self, seconds: float) -> None:
        self.model.tick(seconds)

    @rule(host=hosts)
    def read_log(self, host: int) -> None:
        self.model.read_log(self.model.hosts[host])

    @rule(host=hosts)
    def deliver(self, host: int) -> None:
        self.model.deliver(self.model.hosts[host])

    @rule(host=hosts, verdict=st.sampled_from(list(Verdict)))
    def finish(self, host: int, verdict: Verdict) -> None:
        self.model.finish(self.model.hosts[host], verdict)

    @rule(host=hosts)
    def progress(self, host: int) -> None:
        """Lets one host append, read and answer without a fault."""
        self.model.tick(0.03)
        while self.model.log.under_way:
            self.model.log.land()
        self.model.read_log(self.model.hosts[host])
        while self.model.hosts[host].mail and not self.model.hosts[host].paused:
            self.model.deliver(self.model.hosts[host])

    @rule(how=st.sampled_from(["land", "land_twice", "lose"]))
    def end_append(self, how: str) -> None:
        getattr(self.model.log, how)()

    @rule(host=hosts)
    def kill(self, host: int) -> None:
        self.model.kill(self.model.hosts[host])

    @rule(host=hosts)
    def pause_or_resume(self, host: int) -> None:
        chosen = self.model.hosts[host]
        (self.model.resume if chosen.paused else self.model.pause)(chosen)

    @rule(first=hosts, second=hosts)
    def cut_or_heal(self, first: int, second: int) -> None:
        if first == second:
            self.model.heal()
        else:
            self.model.cut_link(self.model.hosts[first], self.model.hosts[second])

    @rule(host=hosts)
    def lose_platform(self, host: int) -> None:
        self.model.hosts[host].core.on_reachability(False)

    @invariant()
    def holds(self) -> None:
        if hasattr(self, "model"):
            self.model.check()


TestFaultyHosts = FaultyHosts.TestCase
TestFaultyHosts.settings = settings(
    max_examples=CASES,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
    phases=(Phase.generate, Phase.shrink),
    suppress_health_check=list(HealthCheck),
)


def settle(model: OnceModel) -> None:
    """Lets everything that is under way arrive."""
    for _ in range(6):
        model.tick(0.03)
        while model.log.under_way:
            model.log.land()
        for host in model.hosts:
            model.read_log(host)
            while host.mail:
                model.deliver(host)


def verdict_of(model: OnceModel, call_id: str) -> tuple[RefusalReason, Verdict]:
    answer = model.answers[call_id]
    assert isinstance(answer, CallRefused)
    return answer.refusal.reason, answer.refusal.verdict


def hosts_of(model: OnceModel) -> tuple[ModelHost, ModelHost, ModelHost]:
    first, second, third = model.hosts
    return first, second, third


def test_key_runs_on_the_host_whose_claim_comes_first() -> None:
    model = OnceModel(3)
    first, second, _ = hosts_of(model)
    model.send(first, "k")
    loser = model.send(second, "k")
    settle(model)
    assert (len(first.running), len(second.running)) == (1, 0)
    assert verdict_of(model, loser) == (RefusalReason.DUPLICATE, Verdict.MAY_HAVE_RUN)


def test_repeated_key_gets_the_stored_answer_here_and_the_truth_elsewhere() -> None:
    model = OnceModel(3)
    first, second, _ = hosts_of(model)
    model.send(first, "k")
    settle(model)
    model.finish(first, Verdict.COMPLETED)
    settle(model)
    answer = model.answers[model.send(first, "k")]
    assert isinstance(answer, CallCompleted)
    assert answer.body == b"done"
    assert verdict_of(model, model.send(second, "k"))[1] is Verdict.COMPLETED


def test_key_that_was_not_run_can_be_sent_again_elsewhere() -> None:
    model = OnceModel(3)
    first, second, _ = hosts_of(model)
    model.send(first, "k")
    settle(model)
    model.finish(first, Verdict.NOT_RUN)
    settle(model)
    model.send(second, "k")
    settle(model)
    assert len(second.running) == 1


def test_claim_from_before_a_denial_does_not_run_after_it() -> None:
    model = OnceModel(3)
    first, second, _ = hosts_of(model)
    model.send(first, "k")
    model.pause(first)
    model.send(second, "k")
    settle(model)
    model.finish(second, Verdict.NOT_RUN)
    settle(model)
    model.resume(first)
    settle(model)
    assert first.running == []


def test_other_content_under_the_same_key_is_refused() -> None:
    model = OnceModel(3)
    first, second, _ = hosts_of(model)
    model.send(first, "k")
    settle(model)
    for host in (first, second):
        refused = model.send(host, "k", content="other")
        assert verdict_of(model, refused) == (RefusalReason.INVALID, Verdict.NOT_RUN)


def test_plain_key_is_refused_at_once_while_the_platform_is_away() -> None:
    model = OnceModel(3)
    first, _, _ = hosts_of(model)
    first.core.on_reachability(False)
    refused = model.send(first, "k")
    answer = model.answers[refused]
    assert isinstance(answer, CallRefused)
    assert verdict_of(model, refused) == (RefusalReason.PLATFORM_AWAY, Verdict.MAY_HAVE_RUN)
    assert answer.refusal.retry_after_s is not None


def test_ticket_runs_without_the_platform_on_any_linked_host() -> None:
    model = OnceModel(3)
    first, second, third = hosts_of(model)
    for host in model.hosts:
        host.core.on_reachability(False)
    ticket = first.core.issue_ticket("fes", model.now_s)
    model.send(second, ticket)
    settle(model)
    assert len(second.running) == 1
    for host in (first, third):
        refused = model.send(host, ticket)
        settle(model)
        assert verdict_of(model, refused) == (RefusalReason.DUPLICATE, Verdict.MAY_HAVE_RUN)


def test_ticket_of_a_killed_host_is_refused_as_may_have_run() -> None:
    model = OnceModel(3)
    first, second, _ = hosts_of(model)
    ticket = first.core.issue_ticket("fes", model.now_s)
    model.kill(first)
    for host in (model.hosts[0], second):
        refused = model.send(host, ticket)
        settle(model)
        assert verdict_of(model, refused) == (RefusalReason.DUPLICATE, Verdict.MAY_HAVE_RUN)


def test_ticket_of_another_tenant_or_an_old_one_does_not_run() -> None:
    model = OnceModel(3)
    first, _, _ = hosts_of(model)
    foreign = first.core.issue_ticket("tangier", model.now_s)
    assert verdict_of(model, model.send(first, foreign))[0] is RefusalReason.INVALID
    old = first.core.issue_ticket("fes", model.now_s - 700.0)
    assert verdict_of(model, model.send(first, old))[1] is Verdict.MAY_HAVE_RUN
    assert first.running == []


def test_dated_key_is_refused_once_it_is_too_old() -> None:
    model = OnceModel(3)
    first, _, _ = hosts_of(model)
    model.now_s = 1_000_000.0
    for age_s, runs in ((700.0, False), (-200.0, False), (5.0, True)):
        milliseconds = int((model.now_s - age_s) * 1000)
        digits = f"{milliseconds:012x}7000800000000000{abs(int(age_s)):04x}"
        model.send(first, digits)
        settle(model)
        assert bool(first.running) == runs

"""Invariants of call outcomes in `CallTracker` under seeded faults, in virtual time.

BERYLQUAY_CASES sets the number of seeded cases per property; CI runs fewer than docs/PROOFS.md
names.
"""

import os
from collections import Counter
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from berylquay.call_verdicts import RefusalReason
from berylquay.component_messages import CallCompleted, CallRefused
from berylquay.decisions.calls import Attempt, Call
from berylquay.decisions.crash_history import CrashHistoryLimits
from berylquay.decisions.retries import RetryLimits
from berylquay.decisions.server_health import EjectionLimits, ServerHealth
from tests.support.call_tracker_simulation import (
    Fault,
    Host,
    Simulation,
    expected_tokens,
    make_call,
    refusal_reason,
)

CASES = int(os.environ.get("BERYLQUAY_CASES", "25"))
seeded = settings(max_examples=CASES, deadline=None, derandomize=True, database=None)
seeds = st.integers(0, 2**32)

FAULT_KINDS = (
    "connect-refused",
    "connect-hang",
    "broken-unsent",
    "cut-in-head",
    "cut-after-request",
    "refused",
    "server-error",
    "cut",
    "lost-answer",
    "silent",
)
STREAM_FAULTS = ("cut", "silent", "duplicated", "reordered", "gap")


def _random_faults(kinds: tuple[str, ...], fault_fraction: float, token_limit: int = 5):  # type: ignore[no-untyped-def]
    def choose_fault(rng: Random, attempt: Attempt) -> Fault:
        if rng.random() >= fault_fraction:
            return Fault()
        return Fault(rng.choice(kinds), rng.randrange(token_limit))

    return choose_fault


def _outcome_of(host: Host, call: Call) -> CallCompleted | CallRefused:
    return host.outcomes[call.call_id][0]


@seeded
@given(seed=seeds, fault_fraction=st.floats(0.1, 1.0))
def test_not_run_refusals_are_true_and_unrepeatable_calls_run_at_most_once(
    seed: int, fault_fraction: float
) -> None:
    simulation = Simulation(
        seed, hosts=2, backends=4, choose_fault=_random_faults(FAULT_KINDS, fault_fraction)
    )
    rng = Random(seed)
    calls: list[tuple[Host, Call]] = []
    for n in range(20):
        call = make_call(
            simulation.now_s,
            f"f{n}",
            deadline_s=rng.choice((0.0, 0.001, 0.002, 0.003, 0.5, 4.0)),
            repeatable=rng.random() < 0.5,
            service=rng.random() < 0.5,
        )
        host = rng.choice(simulation.hosts)
        calls.append((host, call))
        simulation.offer_call(host, call)
        if rng.random() < 0.2:
            delay_s = rng.choice((0.0, 0.001, 0.002, 0.1))
            simulation.schedule(
                delay_s,
                lambda h=host, c=call: simulation.disconnect_caller(h, c.call_id),  # type: ignore[misc]
            )
        simulation.run(rng.choice((0.0, 0.001, 0.2)))
    simulation.run(20.0)
    simulation.check_invariants()
    for host, call in calls:
        if not call.repeatable:
            assert simulation.started_count(call.call_id) <= 1
        assert host.outcome_times_s[call.call_id] <= call.deadline_s + 0.2


@seeded
@given(seed=seeds, fault_fraction=st.floats(0.1, 0.9), upgrade=st.booleans())
def test_answers_are_complete_and_belong_to_their_call(
    seed: int, fault_fraction: float, upgrade: bool
) -> None:
    simulation = Simulation(
        seed, hosts=1, backends=4, choose_fault=_random_faults(STREAM_FAULTS, fault_fraction, 12)
    )
    host = simulation.hosts[0]
    calls = [make_call(simulation.now_s, f"f{n}", tokens=12, deadline_s=30.0) for n in range(12)]
    for call in calls:
        simulation.offer_call(host, call)
        simulation.run(0.05)
        if upgrade and simulation.rng.random() < 0.3:
            simulation.rng.choice(list(simulation.backends.values())).version = "2"
    simulation.run(40.0)
    simulation.check_invariants()
    for call in calls:
        received = host.tokens[call.call_id]
        complete_answers = [expected_tokens(call, version) for version in ("1", "2")]
        assert any(received == answer[: len(received)] for answer in complete_answers), received
        if isinstance(_outcome_of(host, call), CallCompleted):
            assert received in complete_answers


@seeded
@given(seed=seeds, fault_fraction=st.floats(0.0, 1.0))
def test_retries_stay_within_their_budget(seed: int, fault_fraction: float) -> None:
    simulation = Simulation(
        seed, hosts=1, backends=4, choose_fault=_random_faults(FAULT_KINDS[2:8], fault_fraction)
    )
    limits = RetryLimits()
    host = simulation.hosts[0]
    for n in range(300):
        simulation.offer_call(host, make_call(simulation.now_s, f"f{n}", deadline_s=3.0))
        simulation.run(simulation.rng.uniform(0.0, 0.05))
    simulation.run(6.0)
    simulation.check_invariants()
    assert simulation.retries(host) <= limits.budget_burst + limits.budget_ratio * host.call_count


@seeded
@given(seed=seeds, announced_by=st.sampled_from(("list", "configuration", "order")))
def test_leaving_server_gets_no_new_work(seed: int, announced_by: str) -> None:
    simulation = Simulation(
        seed, hosts=2, backends=3, choose_fault=_random_faults(("cut", "refused"), 0.3)
    )
    leaving, lag_s = "b1", 3.0
    call_ids_before: list[str] = []

    def announce_leaving() -> None:
        call_ids_before.extend(
            simulated.attempt.call.call_id
            for simulated in simulation.attempts_on(simulation.backends[leaving])
        )
        if announced_by == "list":
            simulation.publish_membership(frozenset({leaving}), lag_s)
        for host in simulation.hosts:
            if announced_by == "configuration":
                host.call_tracker.on_configured_drains(frozenset({leaving}))
            elif announced_by == "order":
                host.call_tracker.on_drain_changed(leaving, True)

    simulation.schedule(1.0, announce_leaving)
    announced_s = simulation.now_s + 1.0
    for n in range(60):
        simulation.offer_call(
            simulation.rng.choice(simulation.hosts), make_call(simulation.now_s, f"f{n}", tokens=20)
        )
        simulation.run(0.1)
    simulation.run(12.0)
    simulation.check_invariants()
    latest_allowed_s = announced_s + (lag_s if announced_by == "list" else 0.0)
    for host in simulation.hosts:
        request_times_s = [at_s for at_s, backend, _ in host.requests if backend == leaving]
        assert all(at_s <= latest_allowed_s for at_s in request_times_s)


@seeded
@given(seed=seeds, at_token=st.integers(0, 12), cut_server=st.booleans())
def test_unresponsive_connections_are_detected_within_5_s(
    seed: int, at_token: int, cut_server: bool
) -> None:
    fault_times_s: dict[str, float] = {}

    def choose_fault(rng: Random, attempt: Attempt) -> Fault:
        if attempt.call.call_id in fault_times_s or not attempt.call.repeatable:
            return Fault()
        fault_times_s[attempt.call.call_id] = simulation.now_s
        return Fault("silent", at_token) if rng.random() < 0.8 else Fault("connect-hang")

    simulation = Simulation(seed, hosts=1, backends=4, choose_fault=choose_fault)
    host = simulation.hosts[0]
    calls = [
        make_call(simulation.now_s, f"f{n}", tokens=12, deadline_s=30.0, repeatable=n % 3 != 0)
        for n in range(12)
    ]
    for call in calls:
        simulation.offer_call(host, call)
    if cut_server:
        simulation.rng.choice(list(simulation.backends.values())).reachable = False
    simulation.run(40.0)
    simulation.check_invariants()
    for call in calls:
        if call.repeatable and not cut_server:
            assert isinstance(_outcome_of(host, call), CallCompleted)
            assert host.tokens[call.call_id] == expected_tokens(call)
            assert host.outcome_times_s[call.call_id] - call.received_s <= 5.0
        if not call.repeatable:
            assert simulation.started_count(call.call_id) <= 1


@seeded
@given(seed=seeds, at_token=st.integers(0, 4))
def test_paused_stream_continues_if_no_other_server_is_left(seed: int, at_token: int) -> None:
    simulation = Simulation(
        seed, hosts=1, backends=1, choose_fault=lambda rng, a: Fault("paused", at_token)
    )
    host = simulation.hosts[0]
    call = make_call(simulation.now_s, "f", deadline_s=20.0)
    simulation.offer_call(host, call)
    simulation.run(20.0)
    simulation.check_invariants()
    assert host.tokens[call.call_id] == expected_tokens(call)


@seeded
@given(
    seed=seeds,
    hosts=st.integers(1, 4),
    backends=st.integers(4, 8),
    crash_token=st.integers(0, 6),
    service=st.booleans(),
    may_miss_quarantine=st.booleans(),
)
def test_poison_request_crashes_at_most_three_servers_and_other_calls_complete(
    *,
    seed: int,
    hosts: int,
    backends: int,
    crash_token: int,
    service: bool,
    may_miss_quarantine: bool,
) -> None:
    simulation = Simulation(seed, hosts=hosts, backends=backends)
    restart_s = simulation.rng.choice((None, 1.0, 5.0, 30.0))
    for backend in simulation.backends.values():
        backend.poison["poison"] = 0 if service else crash_token
        backend.restart_after_s = restart_s
    other_calls: list[tuple[Host, Call]] = []
    poison_calls: list[tuple[Host, Call]] = []
    for n in range(40):
        host = simulation.rng.choice(simulation.hosts)
        call = make_call(simulation.now_s, f"f{n}", tokens=30, deadline_s=60.0, service=service)
        other_calls.append((host, call))
        simulation.offer_call(host, call)
        if n in {10, 20} or simulation.rng.random() < 0.1:
            for sender in simulation.rng.sample(simulation.hosts, simulation.rng.randint(1, hosts)):
                poison = make_call(
                    simulation.now_s, "poison", tokens=8, deadline_s=60.0, service=service
                )
                poison_calls.append((sender, poison))
                simulation.offer_call(sender, poison)
        simulation.run(simulation.rng.uniform(0.0, 0.3))
    simulation.run(70.0)
    simulation.check_invariants()
    crashed = [
        backend for backend in simulation.backends.values() for _ in backend.crash_fingerprints
    ]
    assert len(crashed) <= CrashHistoryLimits().crashes_to_quarantine
    for host, call in other_calls:
        outcome = _outcome_of(host, call)
        assert isinstance(outcome, CallCompleted), outcome
        assert host.tokens[call.call_id] == expected_tokens(call)
    reasons = {refusal_reason(_outcome_of(host, call)) for host, call in poison_calls}
    assert None not in reasons
    assert may_miss_quarantine or RefusalReason.QUARANTINED in reasons


@seeded
@given(seed=seeds, hosts=st.integers(1, 4), backends=st.integers(4, 8), drain=st.booleans())
def test_poison_request_crashes_at_most_three_servers_amid_other_faults(
    seed: int, hosts: int, backends: int, drain: bool
) -> None:
    faults = _random_faults(("cut", "refused", "connect-refused", "server-error", "silent"), 0.1)
    simulation = Simulation(seed, hosts=hosts, backends=backends, choose_fault=faults)
    crash_token = simulation.rng.randrange(4)
    for backend in simulation.backends.values():
        backend.poison["poison"] = crash_token
        backend.restart_after_s = simulation.rng.choice((None, 1.0, 5.0))
    for n in range(40):
        sender = simulation.rng.choice(simulation.hosts)
        content = simulation.rng.choice(("poison", f"f{n}"))
        simulation.offer_call(
            sender, make_call(simulation.now_s, content, tokens=8, deadline_s=20.0)
        )
        if drain and n == simulation.rng.randrange(40):
            sender.call_tracker.on_drain_changed("b0", True)
        simulation.run(simulation.rng.uniform(0.0, 0.3))
    simulation.run(40.0)
    simulation.check_invariants()
    crashed = [
        backend for backend in simulation.backends.values() for _ in backend.crash_fingerprints
    ]
    assert len(crashed) <= CrashHistoryLimits().crashes_to_quarantine


@seeded
@given(seed=seeds, hosts=st.integers(2, 4))
def test_crash_reports_lost_on_a_cut_link_still_count(seed: int, hosts: int) -> None:
    simulation = Simulation(seed, hosts=hosts, backends=8)
    for backend in simulation.backends.values():
        backend.poison["poison"] = 0
    simulation.set_links(False)
    simulation.offer_call(
        simulation.hosts[0], make_call(simulation.now_s, "poison", deadline_s=30.0)
    )
    simulation.run(simulation.rng.uniform(0.0, 20.0))
    simulation.set_links(True)
    simulation.run(0.5)
    for host in simulation.hosts:
        simulation.offer_call(host, make_call(simulation.now_s, "poison", deadline_s=30.0))
        simulation.run(simulation.rng.uniform(0.0, 2.0))
    simulation.run(40.0)
    simulation.check_invariants()
    crashed = [
        backend for backend in simulation.backends.values() for _ in backend.crash_fingerprints
    ]
    assert len(crashed) <= CrashHistoryLimits().crashes_to_quarantine


@seeded
@given(seed=seeds, servers=st.integers(1, 300))
def test_probe_rate_is_limited_when_servers_recover(seed: int, servers: int) -> None:
    limits = EjectionLimits()
    health = ServerHealth(limits, Random(seed))
    down = {f"b{n}" for n in range(servers)}
    for backend in down:
        health.on_probe_failed(backend, 100.0)
    started: list[float] = []
    for n in range(1200):
        now_s = 100.0 + n * 0.025
        for backend in health.take_due_probes(now_s):
            started.append(now_s)
            if now_s < 110.0:
                health.on_probe_failed(backend, now_s)
            else:
                health.on_probe_succeeded(backend)
                down.discard(backend)
    assert not down
    per_second = Counter(int(at_s) for at_s in started)
    assert max(per_second.values()) <= 2 * limits.probes_per_s


@seeded
@given(seed=seeds)
def test_servers_get_work_again_after_an_outage(seed: int) -> None:
    simulation = Simulation(seed, hosts=2, backends=6)
    for backend in simulation.backends.values():
        backend.alive = False
    for n in range(40):
        simulation.offer_call(
            simulation.hosts[n % 2], make_call(simulation.now_s, f"f{n}", deadline_s=1.0)
        )
        simulation.run(0.05)
    for backend in simulation.backends.values():
        backend.alive = True
    simulation.run(13.0)
    call = make_call(simulation.now_s, "after")
    simulation.offer_call(simulation.hosts[0], call)
    simulation.run(2.0)
    simulation.check_invariants()
    assert isinstance(_outcome_of(simulation.hosts[0], call), CallCompleted)

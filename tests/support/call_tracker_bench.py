"""Benchmarks `CallTracker`: CPU time by fleet size, retries, recovery from unresponsive servers.

Run as `python -m tests.support.call_tracker_bench`. The first table is in CPU time; the others
are in virtual time and the same on every run.
"""

import time
from random import Random
from statistics import quantiles
from typing import Final

from berylquay.component_messages import (
    AttemptAnswered,
    AttemptCompleted,
    AttemptRequested,
    AttemptSent,
    AttemptTokens,
    CallCompleted,
)
from berylquay.decisions.available_servers import HostLocation
from berylquay.decisions.call_tracker import CallTracker, CallTrackerOptions
from berylquay.decisions.calls import Attempt
from berylquay.decisions.fleet import BackendKind, BackendServer, MembershipView
from berylquay.decisions.routing import LeastInFlight
from berylquay.peers.codec import encode_payload
from berylquay.peers.payloads import CrashReport, IsolationClaim
from tests.support.call_tracker_simulation import ADDRESS, LOCATION, Fault, Simulation, make_call

CALLS: Final = 2000
TOKENS: Final = 100
FLEET_SIZES: Final = (5, 50, 500, 5000)


def main() -> None:
    """Prints the tables."""
    print("servers  us/call  us/token")  # noqa: T201
    for servers in FLEET_SIZES:
        call_s, token_s = _processor_time(servers)
        print(f"{servers:7}  {call_s * 1e6:7.1f}  {token_s * 1e6:8.2f}")  # noqa: T201
    print(
        "share of failing attempts on one of 5 servers: retries / offered, completed"
    )  # noqa: T201
    for failure_fraction in (0.5, 1.0):
        for prefix in ("own", "one for all"):
            retries, completed = _retry_rates(failure_fraction, prefix == "own")
            print(
                f"{failure_fraction:4}, prefix {prefix}: {retries:6.2%}, {completed:6.2%}"
            )  # noqa: T201
    print("silence at token 50 of 100: seconds from silence to the whole answer")  # noqa: T201
    median_s, p99_s = _recovery_times()
    print(f"median {median_s:.2f}, 99th percentile {p99_s:.2f}")  # noqa: T201
    _print_message_sizes()


def _make_call_tracker(servers: int) -> CallTracker:
    call_tracker = CallTracker(
        LeastInFlight(), "bench", CallTrackerOptions(location=HostLocation("h", LOCATION[1]))
    )
    names = [f"b{n}" for n in range(servers)]
    backends = [BackendServer(n, BackendKind.ENGINE, ADDRESS, *LOCATION, pool="p") for n in names]
    call_tracker.on_membership(MembershipView(1, tuple(backends), ()))
    return call_tracker


def _processor_time(servers: int) -> tuple[float, float]:
    call_tracker = _make_call_tracker(servers)
    calls = [
        make_call(0.0, f"f{n}", prompt=f"p{n}", tokens=TOKENS, deadline_s=1e6) for n in range(CALLS)
    ]
    token_s = 0.0
    started_s = time.process_time()
    for n, call in enumerate(calls):
        now_s = n * 0.01
        requested = next(
            c for c in call_tracker.on_call(call, now_s) if isinstance(c, AttemptRequested)
        )
        attempt_id = requested.attempt.attempt_id
        call_tracker.on_sent(AttemptSent(attempt_id), now_s)
        call_tracker.on_answered(AttemptAnswered(attempt_id, "1", "i"), now_s)
        messages = [AttemptTokens(attempt_id, index, ("t",)) for index in range(TOKENS)]
        tokens_started_s = time.process_time()
        for message in messages:
            call_tracker.on_tokens(message, now_s)
        token_s += time.process_time() - tokens_started_s
        call_tracker.on_completed(AttemptCompleted(attempt_id, TOKENS, 200, b"", ""), now_s)
        call_tracker.on_tick(now_s)
    total_s = time.process_time() - started_s
    return (total_s - token_s) / CALLS, token_s / (CALLS * TOKENS)


def _retry_rates(failure_fraction: float, distinct_prefixes: bool) -> tuple[float, float]:
    def choose_fault(rng: Random, attempt: Attempt) -> Fault:
        failing = attempt.backend == "b0" and rng.random() < failure_fraction
        return Fault("server-error") if failing else Fault()

    simulation = Simulation(1, hosts=1, backends=5, choose_fault=choose_fault)
    host = simulation.hosts[0]
    for n in range(5000):
        prompt = f"p{n}" if distinct_prefixes else ""
        simulation.offer_call(host, make_call(simulation.now_s, f"f{n}", prompt=prompt))
        simulation.run(1 / 38)
    simulation.run(15.0)
    completed = sum(isinstance(finals[0], CallCompleted) for finals in host.outcomes.values())
    return simulation.retries(host) / host.call_count, completed / host.call_count


def _recovery_times() -> tuple[float, float]:
    unresponsive_since_s: dict[str, float] = {}

    def choose_fault(rng: Random, attempt: Attempt) -> Fault:
        if attempt.call.call_id in unresponsive_since_s:
            return Fault()
        unresponsive_since_s[attempt.call.call_id] = simulation.now_s + 50 * 0.02
        return Fault("silent", 50)

    recovery_s: list[float] = []
    for seed in range(20):
        simulation = Simulation(seed, hosts=1, backends=5, choose_fault=choose_fault)
        host = simulation.hosts[0]
        for n in range(40):
            simulation.offer_call(
                host,
                make_call(simulation.now_s, f"f{n}", prompt=f"p{n}", tokens=100, deadline_s=60.0),
            )
            simulation.run(0.01)
        simulation.run(60.0)
        recovery_s += [
            host.outcome_times_s[call_id] - unresponsive_since_s[call_id]
            for call_id, finals in host.outcomes.items()
            if isinstance(finals[0], CallCompleted)
        ]
    print(f"{len(recovery_s)} of 800 completed")  # noqa: T201
    percentiles = quantiles(recovery_s, n=100)
    return percentiles[49], percentiles[98]


def _print_message_sizes() -> None:
    fingerprint = "0" * 24
    for contents in (1, 64):
        report = CrashReport("engine-0001", (fingerprint,) * contents, 0.0)
        print(
            f"bytes of a report of {contents} contents: {len(encode_payload(report))}"
        )  # noqa: T201
    claim = IsolationClaim("engine-0001", fingerprint, held=True)
    print(f"bytes of a claim: {len(encode_payload(claim))}")  # noqa: T201


if __name__ == "__main__":
    main()

"""Measures the fates of calls: processor time by fleet size, retries, recovery from silence.

Run as `python -m tests.support.fates_bench`. The first table is in processor time; the others are
in virtual time and the same on every run.
"""

import time
from random import Random
from statistics import quantiles
from typing import Final

from berylquay.decisions.available_servers import HostLocation
from berylquay.decisions.call_tracker import CallTracker, CallTrackerOptions
from berylquay.decisions.calls import Attempt
from berylquay.decisions.fleet import BackendKind, BackendServer, MembershipView
from berylquay.decisions.routing import LeastInFlight
from berylquay.messages import (
    AttemptAnswered,
    AttemptCompleted,
    AttemptRequested,
    AttemptSent,
    AttemptTokens,
    CallCompleted,
)
from berylquay.peers.codec import encode_payload
from berylquay.peers.payloads import CrashReport, IsolationClaim
from tests.support.fates_world import ADDRESS, PLACE, Fault, World, make_call

CALLS: Final = 2000
TOKENS: Final = 100
FLEETS: Final = (5, 50, 500, 5000)


def main() -> None:
    """Prints the tables."""
    print("servers  us/call  us/token")  # noqa: T201
    for servers in FLEETS:
        call_s, token_s = _processor_time(servers)
        print(f"{servers:7}  {call_s * 1e6:7.1f}  {token_s * 1e6:8.2f}")  # noqa: T201
    print(
        "share of failing attempts on one of 5 servers: retries / offered, completed"
    )  # noqa: T201
    for share in (0.5, 1.0):
        for prefix in ("own", "one for all"):
            retries, completed = _retries(share, prefix == "own")
            print(f"{share:4}, prefix {prefix}: {retries:6.2%}, {completed:6.2%}")  # noqa: T201
    print("silence at token 50 of 100: seconds from silence to the whole answer")  # noqa: T201
    median_s, p99_s = _silence()
    print(f"median {median_s:.2f}, 99th percentile {p99_s:.2f}")  # noqa: T201
    _print_bytes()


def _fates(servers: int) -> CallTracker:
    fates = CallTracker(
        LeastInFlight(), "bench", CallTrackerOptions(location=HostLocation("h", PLACE[1]))
    )
    names = [f"b{n}" for n in range(servers)]
    backends = [BackendServer(n, BackendKind.ENGINE, ADDRESS, *PLACE, pool="p") for n in names]
    fates.on_membership(MembershipView(1, tuple(backends), ()))
    return fates


def _processor_time(servers: int) -> tuple[float, float]:
    fates = _fates(servers)
    calls = [
        make_call(0.0, f"f{n}", prompt=f"p{n}", tokens=TOKENS, deadline_s=1e6) for n in range(CALLS)
    ]
    token_s = 0.0
    begun_s = time.process_time()
    for n, call in enumerate(calls):
        now_s = n * 0.01
        requested = next(c for c in fates.on_call(call, now_s) if isinstance(c, AttemptRequested))
        attempt_id = requested.attempt.attempt_id
        fates.on_sent(AttemptSent(attempt_id), now_s)
        fates.on_answered(AttemptAnswered(attempt_id, "1", "i"), now_s)
        messages = [AttemptTokens(attempt_id, index, ("t",)) for index in range(TOKENS)]
        tokens_begun_s = time.process_time()
        for message in messages:
            fates.on_tokens(message, now_s)
        token_s += time.process_time() - tokens_begun_s
        fates.on_completed(AttemptCompleted(attempt_id, TOKENS, 200, b"", ""), now_s)
        fates.on_tick(now_s)
    total_s = time.process_time() - begun_s
    return (total_s - token_s) / CALLS, token_s / (CALLS * TOKENS)


def _retries(share: float, own_prefix: bool) -> tuple[float, float]:
    def draw(rng: Random, attempt: Attempt) -> Fault:
        failing = attempt.backend == "b0" and rng.random() < share
        return Fault("server-error") if failing else Fault()

    world = World(1, hosts=1, backends=5, draw_fault=draw)
    host = world.hosts[0]
    for n in range(5000):
        prompt = f"p{n}" if own_prefix else ""
        world.call(host, make_call(world.now_s, f"f{n}", prompt=prompt))
        world.run(1 / 38)
    world.run(15.0)
    completed = sum(isinstance(finals[0], CallCompleted) for finals in host.finals.values())
    return world.retries(host) / host.offered, completed / host.offered


def _silence() -> tuple[float, float]:
    silent_s: dict[str, float] = {}

    def draw(rng: Random, attempt: Attempt) -> Fault:
        if attempt.call.call_id in silent_s:
            return Fault()
        silent_s[attempt.call.call_id] = world.now_s + 50 * 0.02
        return Fault("silent", 50)

    took_s: list[float] = []
    for seed in range(20):
        world = World(seed, hosts=1, backends=5, draw_fault=draw)
        host = world.hosts[0]
        for n in range(40):
            world.call(
                host, make_call(world.now_s, f"f{n}", prompt=f"p{n}", tokens=100, deadline_s=60.0)
            )
            world.run(0.01)
        world.run(60.0)
        took_s += [
            host.final_s[call_id] - silent_s[call_id]
            for call_id, finals in host.finals.items()
            if isinstance(finals[0], CallCompleted)
        ]
    print(f"{len(took_s)} of 800 completed")  # noqa: T201
    cuts = quantiles(took_s, n=100)
    return cuts[49], cuts[98]


def _print_bytes() -> None:
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

"""Runs one seed: traffic with faults injected, then the check of the promises."""

import asyncio
import json
import time
from collections import Counter
from pathlib import Path
from random import Random
from typing import Final

from attrs import evolve, frozen

from soak.callers import Attempt, CallerSetup, run_caller
from soak.fleet import SoakFleet
from soak.promises import BackendEvent, Observations, broken_promises
from soak.schedule import Fault, draw_faults, draw_size

CALLER_COUNT: Final = 12
FAULT_PHASE_S: Final = 10.0
# Time after the last fault until all requests must succeed again, and how long that is checked.
RECOVERY_S: Final = 6.0
RECOVERED_PHASE_S: Final = 2.0
# Interval of the load balancer's readiness checks, here shorter than on the platform.
READINESS_POLL_INTERVAL_S: Final = 0.25
TRACEBACK_MARKER: Final = "Traceback (most recent call last)"


@frozen
class SeedResult:
    """Result of one seed."""

    summary: str
    # A line for each broken promise, each unexpected exit and each error in the logs.
    violations: list[str]


def run_seed(seed: int, length_s: float, directory: Path, hosts: int | None = None) -> SeedResult:
    """Runs a seed and checks the promises.

    Args:
        seed: Seed of the random numbers.
        length_s: Time span in which faults start, in seconds.
        directory: Directory for the logs and the timeline.
        hosts: Number of hosts, or None to draw it.
    """
    rng = Random(seed)
    size = draw_size(rng)
    if hosts is not None:
        size = evolve(size, hosts=hosts)
    faults = draw_faults(rng, size, length_s)
    fleet = SoakFleet(directory, size)
    try:
        fleet.start()
        observations = asyncio.run(_run_traffic(fleet, faults, length_s, rng))
        fleet.record_exits()
        broken_duty_rules = fleet.broken_duty_rules()
    finally:
        fleet.stop()
    violations = (
        broken_promises(observations)
        + fleet.unexpected_exits
        + broken_duty_rules
        + _find_log_errors(directory, size.host_names)
    )
    _write_timeline(directory, observations)
    statuses = Counter(str(attempt.status) for attempt in observations.attempts)
    status_counts = ", ".join(f"{count} x {status}" for status, count in statuses.most_common())
    return SeedResult(
        f"{len(faults)} faults, {len(observations.attempts)} requests ({status_counts})", violations
    )


async def _run_traffic(
    fleet: SoakFleet, faults: list[Fault], length_s: float, rng: Random
) -> Observations:
    started_s = time.monotonic()
    last_fault_end_s = max([length_s, *(fault.end_s for fault in faults)])
    recovered_s = started_s + last_fault_end_s + RECOVERY_S
    ready: dict[str, int] = {}
    attempts: list[Attempt] = []
    setup = CallerSetup(lambda: ready, recovered_s + RECOVERED_PHASE_S, attempts)
    callers = [
        asyncio.create_task(run_caller(number, Random(rng.random()), setup))
        for number in range(CALLER_COUNT)
    ]
    readiness_poller = asyncio.create_task(_watch_readiness(fleet, ready))
    ends_s = await asyncio.to_thread(inject_faults, fleet, faults, started_s)
    injection_done_s = time.monotonic()
    await asyncio.gather(*callers)
    readiness_poller.cancel()
    return Observations(
        started_s,
        max(recovered_s, injection_done_s + RECOVERY_S),
        attempts,
        _read_backend_events(fleet.directory / "witness.jsonl"),
        extend_faults(faults, ends_s),
        fleet.versions,
        fleet.drains,
    )


async def _watch_readiness(fleet: SoakFleet, ready: dict[str, int]) -> None:
    """Keeps `ready` up to date with the hosts that pass the load balancer's readiness check."""
    while True:
        for name in fleet.size.host_names:
            if await asyncio.to_thread(fleet.is_ready, name):
                ready[name] = fleet.hosts[name].port
            else:
                ready.pop(name, None)
        await asyncio.sleep(READINESS_POLL_INTERVAL_S)


def extend_faults(faults: list[Fault], ends_s: dict[Fault, float]) -> list[Fault]:
    """Returns the faults as they were: one ends later if ending another took time before it.

    Args:
        faults: Faults as drawn.
        ends_s: When each fault was ended, in seconds from the start of the traffic.
    """
    return [
        evolve(fault, duration_s=max(fault.end_s, ends_s[fault]) - fault.start_s)
        for fault in faults
    ]


def inject_faults(fleet: SoakFleet, faults: list[Fault], started_s: float) -> dict[Fault, float]:
    """Starts and ends all faults at their times; blocks, so it runs in a thread of its own.

    Returns when each fault was ended, in seconds from the start of the traffic.
    """
    ends_s: dict[Fault, float] = {}
    steps = [(fault.start_s, True, fault) for fault in faults]
    steps += [(fault.end_s, False, fault) for fault in faults]
    # Number of faults in progress, by target.
    disturbed: Counter[str] = Counter()
    for at_s, begins, fault in sorted(steps, key=lambda step: step[0]):
        while time.monotonic() < started_s + at_s:
            fleet.register_changed_roles(set(+disturbed))
            time.sleep(max(0.0, min(0.2, started_s + at_s - time.monotonic())))
        if begins:
            disturbed[fault.target] += 1
            fleet.begin_fault(fault)
        else:
            fleet.end_fault(fault)
            ends_s[fault] = time.monotonic() - started_s
            disturbed[fault.target] -= 1
    for _ in range(int(RECOVERY_S)):
        fleet.register_changed_roles(set())
        time.sleep(1.0)
    return ends_s


def _read_backend_events(file: Path) -> list[BackendEvent]:
    backend_events = []
    for line in file.read_text(encoding="utf-8").splitlines():
        value = json.loads(line)
        backend_events.append(
            BackendEvent(
                value["at_s"],
                value["backend"],
                value["event"],
                value.get("id", ""),
                value.get("holder", ""),
                value.get("term", 0),
                value.get("tenant", ""),
            )
        )
    return backend_events


def _find_log_errors(directory: Path, hosts: list[str]) -> list[str]:
    """Returns a line for each host whose log has a traceback or a line that is not JSON."""
    errors = []
    for host in hosts:
        text = (directory / f"{host}.log").read_text(encoding="utf-8")
        if TRACEBACK_MARKER in text:
            errors.append(f"{host} logged a traceback")
        errors += [
            f"{host} logged no JSON: {line[:80]}"
            for line in text.splitlines()
            if not line.startswith("{") and TRACEBACK_MARKER not in text
        ][:1]
    return errors


def _write_timeline(directory: Path, observations: Observations) -> None:
    """Writes the faults, requests and backend events in order of time, for debugging."""
    lines = [f"{fault.start_s:8.2f} {fault}" for fault in observations.faults]
    for attempt in observations.attempts:
        sent_s = attempt.sent_s - observations.started_s
        lines.append(
            f"{sent_s:8.2f} {attempt.call_id} {attempt.kind} {attempt.host} {attempt.status}"
            f" after {attempt.ended_s - attempt.sent_s:.3f} s,"
            f" left {attempt.abandoned_s is not None}"
        )
    for event in observations.backend_events:
        lines.append(f"{event.at_s - observations.started_s:8.2f} {event}")
    timeline = "\n".join(sorted(lines, key=lambda line: float(line[:8])))
    (directory / "story.txt").write_text(timeline, encoding="utf-8")

"""One seed from start to verdict: traffic, faults beside it, then the check of the promises."""

import asyncio
import json
import time
from collections import Counter
from pathlib import Path
from random import Random
from typing import Final

from attrs import frozen

from soak.callers import Attempt, CallerSetup, call_until_the_end
from soak.fleet import SoakFleet
from soak.promises import Deed, Evidence, broken_promises
from soak.schedule import Fault, draw_faults, draw_size

CALLERS: Final = 12
FAULTS_S: Final = 10.0
# Time after the last fault until all is served again, and time for which that is watched.
RECOVERY_S: Final = 6.0
CALM_S: Final = 2.0
# Interval between the balancer's questions, here shorter than on the platform.
READY_INTERVAL_S: Final = 0.25
TRACEBACK: Final = "Traceback (most recent call last)"


@frozen
class Outcome:
    """What one seed showed."""

    summary: str
    # A line for each broken promise.
    broken: list[str]


def play_seed(seed: int, length_s: float, directory: Path) -> Outcome:
    """Plays a seed and checks the promises."""
    rng = Random(seed)
    size = draw_size(rng)
    faults = draw_faults(rng, size, length_s)
    fleet = SoakFleet(directory, size)
    try:
        fleet.start()
        evidence = asyncio.run(_play(fleet, faults, length_s, rng))
        fleet.note_exits()
    finally:
        fleet.stop()
    broken = broken_promises(evidence) + fleet.exits + _faults_in_logs(directory, size.host_names)
    _write_story(directory, evidence)
    statuses = Counter(str(attempt.status) for attempt in evidence.attempts)
    shown = ", ".join(f"{count} x {status}" for status, count in statuses.most_common())
    return Outcome(f"{len(faults)} faults, {len(evidence.attempts)} requests ({shown})", broken)


async def _play(fleet: SoakFleet, faults: list[Fault], length_s: float, rng: Random) -> Evidence:
    started_s = time.monotonic()
    last_s = max([length_s, *(fault.until_s for fault in faults)])
    calm_s = started_s + last_s + RECOVERY_S
    ready: dict[str, int] = {}
    attempts: list[Attempt] = []
    setup = CallerSetup(lambda: ready, calm_s + CALM_S, attempts)
    callers = [
        asyncio.create_task(call_until_the_end(number, Random(rng.random()), setup))
        for number in range(CALLERS)
    ]
    balancer = asyncio.create_task(_watch_readiness(fleet, ready))
    await asyncio.to_thread(_bring_about, fleet, faults, started_s)
    healed_s = time.monotonic()
    await asyncio.gather(*callers)
    balancer.cancel()
    return Evidence(
        started_s,
        max(calm_s, healed_s + RECOVERY_S),
        attempts,
        _read_deeds(fleet.directory / "witness.jsonl"),
        faults,
        fleet.versions,
        fleet.leaves,
    )


async def _watch_readiness(fleet: SoakFleet, ready: dict[str, int]) -> None:
    """Keeps the hosts that take new connections, as the platform's balancer does."""
    while True:
        for name in fleet.size.host_names:
            if await asyncio.to_thread(fleet.is_ready, name):
                ready[name] = fleet.hosts[name].port
            else:
                ready.pop(name, None)
        await asyncio.sleep(READY_INTERVAL_S)


def _bring_about(fleet: SoakFleet, faults: list[Fault], started_s: float) -> None:
    """Begins and ends all faults at their times; runs in a thread of its own."""
    steps = [(fault.at_s, True, fault) for fault in faults]
    steps += [(fault.until_s, False, fault) for fault in faults]
    disturbed: set[str] = set()
    for at_s, begins, fault in sorted(steps, key=lambda step: step[0]):
        while time.monotonic() < started_s + at_s:
            fleet.renew_roles(disturbed)
            time.sleep(max(0.0, min(0.2, started_s + at_s - time.monotonic())))
        if begins:
            disturbed.add(fault.target)
            fleet.begin(fault)
        else:
            fleet.end(fault)
            disturbed.discard(fault.target)
    for _ in range(int(RECOVERY_S)):
        fleet.renew_roles(disturbed)
        time.sleep(1.0)


def _read_deeds(file: Path) -> list[Deed]:
    deeds = []
    for line in file.read_text(encoding="utf-8").splitlines():
        value = json.loads(line)
        deeds.append(
            Deed(
                value["at_s"],
                value["backend"],
                value["event"],
                value.get("id", ""),
                value.get("holder", ""),
                value.get("term", 0),
            )
        )
    return deeds


def _faults_in_logs(directory: Path, hosts: list[str]) -> list[str]:
    """Returns what the hosts' logs show that they should not."""
    faults = []
    for host in hosts:
        text = (directory / f"{host}.log").read_text(encoding="utf-8")
        if TRACEBACK in text:
            faults.append(f"{host} logged a traceback")
        faults += [
            f"{host} logged no JSON: {line[:80]}"
            for line in text.splitlines()
            if not line.startswith("{") and TRACEBACK not in text
        ][:1]
    return faults


def _write_story(directory: Path, evidence: Evidence) -> None:
    """Writes down the faults and the requests, for whoever looks for a cause."""
    lines = [f"{fault.at_s:8.2f} {fault}" for fault in evidence.faults]
    for attempt in evidence.attempts:
        sent_s = attempt.sent_s - evidence.started_s
        lines.append(
            f"{sent_s:8.2f} {attempt.call_id} {attempt.kind} {attempt.host} {attempt.status}"
            f" after {attempt.ended_s - attempt.sent_s:.3f} s, left {attempt.left_s is not None}"
        )
    for deed in evidence.deeds:
        lines.append(f"{deed.at_s - evidence.started_s:8.2f} {deed}")
    story = "\n".join(sorted(lines, key=lambda line: float(line[:8])))
    (directory / "story.txt").write_text(story, encoding="utf-8")

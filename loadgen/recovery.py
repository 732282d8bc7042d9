"""`python -m loadgen.recovery`: measures goodput around failures and the time until it recovers.

A steady open-loop load goes to three entry hosts in turn; a caller whose connection is refused
tries the next host, as behind the platform's load balancer. Each failure gets a fleet of its own.
"""

import argparse
import asyncio
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Final

from attrs import define, field

from examples.processes import Process
from loadgen.clients import HEAD_END, post_request
from tests.scenarios.conftest import wait_until_served
from tests.support.fleet import Fleet, start_fleet

RATE_PER_S: Final = 100
REQUESTS_PER_GENERATION: Final = 5
TOKENS: Final = 20
FAILURE_START_S: Final = 4.0
DURATION_S: Final = 16
ANSWER_TIMEOUT_S: Final = 12.0
# Fraction of the goodput before the failure from which it counts as recovered.
NORMAL_GOODPUT_FRACTION: Final = 0.95


@define
class OutcomeCounts:
    """Complete answers by the second in which their requests were sent, other outcomes in total."""

    started_s: float
    completed_by_second: Counter[int] = field(factory=Counter)
    other_outcomes: Counter[str] = field(factory=Counter)

    def add(self, sent_s: float, outcome: str) -> None:
        """Counts one outcome."""
        if outcome == "complete":
            self.completed_by_second[int(sent_s - self.started_s)] += 1
        else:
            self.other_outcomes[outcome] += 1


Failure = Callable[[Fleet], Awaitable[None]]


async def kill_one_host(fleet: Fleet) -> None:
    """Kills an entry host and starts it again after three seconds."""
    fleet.hosts[0].kill()
    await asyncio.sleep(3.0)
    await _restart(fleet, fleet.hosts[0])


async def restart_all_hosts(fleet: Fleet) -> None:
    """Kills every entry host and starts them all again at once."""
    for host in fleet.hosts:
        host.kill()
    await asyncio.gather(*(_restart(fleet, host) for host in fleet.hosts))


async def pause_one_host(fleet: Fleet) -> None:
    """Pauses an entry host for three seconds."""
    fleet.hosts[0].pause()
    await asyncio.sleep(3.0)
    fleet.hosts[0].resume()


async def kill_one_engine(fleet: Fleet) -> None:
    """Kills one of three engines and does not restart it."""
    fleet.engines[0].kill()


async def pause_platform(fleet: Fleet) -> None:
    """Pauses the log and the membership service for six seconds."""
    platform = [fleet.membership, *([fleet.log] if fleet.log is not None else [])]
    for process in platform:
        process.pause()
    await asyncio.sleep(6.0)
    for process in platform:
        process.resume()


FAILURES: Final[dict[str, Failure]] = {
    "host-killed": kill_one_host,
    "hosts-restarted": restart_all_hosts,
    "host-paused": pause_one_host,
    "engine-killed": kill_one_engine,
    "platform-away": pause_platform,
}


def main() -> None:
    """Runs the failures that the command line names."""
    parser = argparse.ArgumentParser(prog="loadgen.recovery", description=__doc__)
    parser.add_argument("failures", nargs="*", default=list(FAILURES))
    for name in parser.parse_args().failures:
        with tempfile.TemporaryDirectory() as directory:
            fleet = start_fleet(Path(directory), engines=3, services=2, hosts=3, with_log=True)
            try:
                for host in fleet.hosts:
                    wait_until_served(host)
                counts = asyncio.run(_run(fleet, FAILURES[name]))
            finally:
                fleet.processes.stop_all()
        _print(name, counts)


async def _run(fleet: Fleet, failure: Failure) -> OutcomeCounts:
    counts = OutcomeCounts(time.monotonic())
    callers: list[asyncio.Task[None]] = []
    failure_task = asyncio.create_task(_inject_failure(fleet, failure))
    for number in range(RATE_PER_S * DURATION_S):
        due_s = counts.started_s + number / RATE_PER_S
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        callers.append(asyncio.create_task(_call(fleet, number, counts)))
    await asyncio.gather(failure_task, *callers)
    return counts


async def _inject_failure(fleet: Fleet, failure: Failure) -> None:
    await asyncio.sleep(FAILURE_START_S)
    await failure(fleet)


async def _restart(fleet: Fleet, host: Process) -> None:
    settings = str(fleet.processes.directory / f"{host.name}.ini")
    start = fleet.processes.start
    await asyncio.to_thread(start, host.name, "berylquay.daemon", host.port, settings)


async def _call(fleet: Fleet, number: int, counts: OutcomeCounts) -> None:
    sent_s = time.monotonic()
    request = _chat(number) if number % REQUESTS_PER_GENERATION == 0 else _LOOKUP
    outcome = "connection refused by every host"
    for offset in range(len(fleet.hosts)):
        port = fleet.hosts[(number + offset) % len(fleet.hosts)].port
        try:
            outcome = await asyncio.wait_for(_exchange(port, request), ANSWER_TIMEOUT_S)
            break
        except ConnectionRefusedError:
            continue
        except TimeoutError:
            outcome = "no answer in time"
            break
        except (OSError, asyncio.IncompleteReadError):
            outcome = "connection lost"
            break
    counts.add(sent_s, outcome)


async def _exchange(port: int, request: bytes) -> str:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(request)
        head = await reader.readuntil(HEAD_END)
        body = await reader.read()
    finally:
        writer.close()
    status = head.split(b" ", 2)[1].decode()
    streamed = b"text/event-stream" in head
    if status != "200":
        return f"refused with {status}"
    return "complete" if not streamed or b"[DONE]" in body else "stream cut off"


def _chat(number: int) -> bytes:
    value = {
        "model": "cellar-lm",
        "messages": [{"role": "user", "content": f"question {number}"}],
        "max_tokens": TOKENS,
        "stream": True,
    }
    return post_request("/v1/chat/completions", value, _headers("quick-question"))


def _headers(request_class: str) -> dict[str, str]:
    return {"X-Tenant": "fes", "X-Class": request_class, "Connection": "close"}


_LOOKUP: Final = post_request("/v1/services/cellar-log/readings/7", {}, _headers("reading-lookup"))


def _print(name: str, counts: OutcomeCounts) -> None:
    normal = min(counts.completed_by_second[second] for second in range(1, int(FAILURE_START_S)))
    by_second = [counts.completed_by_second[second] for second in range(DURATION_S)]
    seconds_below = [
        n
        for n, count in enumerate(by_second)
        if n >= FAILURE_START_S and count < NORMAL_GOODPUT_FRACTION * normal
    ]
    recovery_s = (max(seconds_below) + 1 - FAILURE_START_S) if seconds_below else 0.0
    print(f"{name}: complete by second {by_second}")
    print(
        f"  back to normal after {recovery_s:.0f} s; others {dict(counts.other_outcomes)}",
        flush=True,
    )


if __name__ == "__main__":
    main()

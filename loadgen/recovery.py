"""`python -m loadgen.recovery`: goodput around failures, and the time until it is back to normal.

A steady open-loop load goes to three entry hosts in turn; a caller whose connection is refused asks
the next host, as behind the platform's balancer. Each failure gets a fleet of its own.
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
GENERATION_EVERY: Final = 5
TOKENS: Final = 20
FAILURE_S: Final = 4.0
DURATION_S: Final = 16
ANSWER_TIMEOUT_S: Final = 12.0
# Part of the goodput before the failure that counts as normal.
NORMAL_PART: Final = 0.95


@define
class Tally:
    """Outcomes by the second in which their requests were sent."""

    began_s: float
    complete: Counter[int] = field(factory=Counter)
    other: Counter[str] = field(factory=Counter)

    def add(self, sent_s: float, outcome: str) -> None:
        """Counts one outcome."""
        if outcome == "complete":
            self.complete[int(sent_s - self.began_s)] += 1
        else:
            self.other[outcome] += 1


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
    """Kills one of three engines for good."""
    fleet.engines[0].kill()


async def lose_platform(fleet: Fleet) -> None:
    """Takes the log and the membership list away for six seconds."""
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
    "platform-away": lose_platform,
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
                tally = asyncio.run(_run(fleet, FAILURES[name]))
            finally:
                fleet.processes.stop_all()
        _print(name, tally)


async def _run(fleet: Fleet, failure: Failure) -> Tally:
    tally = Tally(time.monotonic())
    callers: list[asyncio.Task[None]] = []
    breaking = asyncio.create_task(_break_later(fleet, failure))
    for number in range(RATE_PER_S * DURATION_S):
        due_s = tally.began_s + number / RATE_PER_S
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        callers.append(asyncio.create_task(_call(fleet, number, tally)))
    await asyncio.gather(breaking, *callers)
    return tally


async def _break_later(fleet: Fleet, failure: Failure) -> None:
    await asyncio.sleep(FAILURE_S)
    await failure(fleet)


async def _restart(fleet: Fleet, host: Process) -> None:
    settings = str(fleet.processes.directory / f"{host.name}.ini")
    start = fleet.processes.start
    await asyncio.to_thread(start, host.name, "berylquay.daemon", host.port, settings)


async def _call(fleet: Fleet, number: int, tally: Tally) -> None:
    sent_s = time.monotonic()
    request = _chat(number) if number % GENERATION_EVERY == 0 else _LOOKUP
    outcome = "connection refused by every host"
    for turn in range(len(fleet.hosts)):
        port = fleet.hosts[(number + turn) % len(fleet.hosts)].port
        try:
            outcome = await asyncio.wait_for(_ask(port, request), ANSWER_TIMEOUT_S)
            break
        except ConnectionRefusedError:
            continue
        except TimeoutError:
            outcome = "no answer in time"
            break
        except (OSError, asyncio.IncompleteReadError):
            outcome = "connection lost"
            break
    tally.add(sent_s, outcome)


async def _ask(port: int, request: bytes) -> str:
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


def _print(name: str, tally: Tally) -> None:
    before = min(tally.complete[second] for second in range(1, int(FAILURE_S)))
    by_second = [tally.complete[second] for second in range(DURATION_S)]
    low = [
        n for n, count in enumerate(by_second) if n >= FAILURE_S and count < NORMAL_PART * before
    ]
    back_s = (max(low) + 1 - FAILURE_S) if low else 0.0
    print(f"{name}: complete by second {by_second}")
    print(f"  back to normal after {back_s:.0f} s; others {dict(tally.other)}", flush=True)


if __name__ == "__main__":
    main()

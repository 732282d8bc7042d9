"""Case 5: the answer of the one runner that is left does not reach the caller."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (  # noqa: E402
    BROKEN,
    HELD,
    Arrival,
    Caller,
    Processes,
    Record,
    Reply,
    Runner,
    encode_reply,
    has_trouble,
    make_configuration,
    make_route,
    run_case,
)

RUNNERS = 3
CALLERS = 5
PERIOD_S = 0.25
LENGTH_S = 40.0
LOSS_AT_S = 3.0
# Runs that end with the runner's own 500, one in so many: the site's `error_share` is 0.14.
FAIL_ONE_IN = 7
# Longest time from a loss until the entry is gone and the machine counts as in touch.
JUDGED_FROM_S = LOSS_AT_S + 3 * 1.2 + 4.0
MOST_ALLOWED = 3


def make_work(runners: list[Runner], number: int):  # noqa: ANN201
    """Returns the work of a runner: 30 ms, and now and then its own failure."""

    async def work(arrival: Arrival) -> bytes:
        await asyncio.sleep(0.03)
        runner = runners[number]
        fails = int(arrival.headers["attempt-id"].rpartition("-")[2]) % FAIL_ONE_IN == 0
        headers = {"Content-Type": "application/json", **runner.seal(arrival)}
        if fails:
            body = json.dumps({"error": "the reading could not be fetched"}).encode()
            return encode_reply(500, headers, body)
        return encode_reply(200, headers, json.dumps({"reading": "x" * 780}).encode())

    return work


async def call_on(caller: Caller, number: int, replies: list[tuple[float, str, Reply]]) -> None:
    """Sends requests at a steady pace on one kept connection."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + LENGTH_S
    count = 0
    while loop.time() < end_s:
        count += 1
        attempt = f"{number}-{count}"
        began_s = loop.time()
        reply = await caller.send("GET", f"/lookup/{number}/{count}", attempt)
        replies.append((began_s, attempt, reply))
        await asyncio.sleep(PERIOD_S)
    caller.close()


async def case(processes: Processes, record: Record) -> int:
    """Loses two of three runners and judges what callers get from the third."""
    store = processes.start_store()
    await store.put(
        "keyed.op",
        "config",
        make_configuration(make_route("lookup", "idempotent", "log-app", maxAttempts=2)),
    )
    runners: list[Runner] = []
    for number in range(RUNNERS):
        runners.append(Runner(store, "log-app", number, make_work(runners, number), record))
        await runners[-1].start()
    address, relay = await asyncio.to_thread(processes.start_relay, store, "front-1")
    await asyncio.sleep(5.0)
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    replies: list[tuple[float, str, Reply]] = []
    calls = [
        asyncio.ensure_future(call_on(Caller(f"caller-{n}", address, record), n, replies))
        for n in range(CALLERS)
    ]
    await asyncio.sleep(LOSS_AT_S)
    if has_trouble():
        for runner in runners[1:]:
            runner.lose()
    await asyncio.gather(*calls)
    if relay.poll() is not None:
        raise RuntimeError("the relay has ended")
    ran = {arrival.headers["attempt-id"] for arrival in runners[0].ran}
    lost = [
        (attempt, reply)
        for sent_s, attempt, reply in replies
        if sent_s - began_s >= JUDGED_FROM_S
        and not reply.is_first
        and not reply.is_complete
        and attempt in ran
    ]
    for attempt, reply in lost:
        record.write(f"LOST {attempt}: status {reply.status}, {reply.detail}")
    record.say(
        f"{len(replies)} requests; {len(lost)} from kept connections were run by the sound runner"
        f" and closed without a complete answer; {MOST_ALLOWED} are allowed"
    )
    return BROKEN if len(lost) > MOST_ALLOWED else HELD


if __name__ == "__main__":
    run_case(str(Path(__file__).resolve().parent), case)

"""A host wakes from a freeze of one second in which its connections to the runners were reset."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab_2"))

from fleet import (  # noqa: E402
    Client,
    Peer,
    Record,
    Relay,
    Runner,
    Store,
    configuration,
    route,
    run_case,
    settings,
)

# TROUBLE=0 leaves out the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FREEZE_S = 1.0
# A sound runner may fall silent for a second or so.
SILENCE_S = 1.0
TRIED = "9c41d07be2a35f68"


class SilentRunner(Runner):
    """A sound model runner that falls silent once, for a second or so, and goes on."""

    silent_until_s = 0.0

    async def wait_for_turn(self, peer: Peer, attempt: str) -> None:
        """Waits until the request begins to run."""
        if attempt == TRIED and not self.silent_until_s:
            self.silent_until_s = time.monotonic() + SILENCE_S
        await asyncio.sleep(max(0.0, self.silent_until_s - time.monotonic()) + self.delay_s)


async def send(record: Record, client: Client, attempt: str) -> None:
    """Sends one request of a streaming route that may not be repeated, and reads the answer."""
    record.write("sent", id=attempt)
    headers = {
        "Attempt-Id": attempt,
        "Model": "m",
        "Token-Counts": "1460,40",
        "Prompt-Prefix": f"5c1e07a2:800,{attempt}:660",
        "Deadline-Ms": "10000",
    }
    client.send("POST", "/plan/1", headers, b"x" * 600)
    answer = await client.receive()
    record.write("answered", id=attempt, status=answer.status, complete=answer.is_complete)


async def case(record: Record, directory: Path) -> bool:
    """Returns whether no request has run twice."""
    store = Store(record)
    await store.start()
    store.put("keyed.op", "config", configuration([route("plan", "streaming", "lm")]))
    runners: list[Runner] = [Runner(record, store, "p-1", "lm", "prefill")]
    runners += [SilentRunner(record, store, f"d-{number}", "lm", "decode") for number in (1, 2)]
    for runner in runners:
        runner.events, runner.gap_s = 40, 0.02
        await runner.start()
        runner.register()
    relay = Relay(record, directory, "front-fes-a-1", settings(store))
    await relay.start()
    try:
        await relay.wait_ready()
        await asyncio.sleep(1.0)
        client = Client()
        await client.open(relay.port)
        for number in range(4):
            await send(record, client, f"00000000000000a{number}")
        if TROUBLE:
            relay.signal(signal.SIGSTOP)
        task = asyncio.create_task(send(record, client, TRIED))
        await asyncio.sleep(FREEZE_S / 2)
        if TROUBLE:
            record.write("reset", connections=sum(runner.reset_idle() for runner in runners))
        await asyncio.sleep(FREEZE_S / 2)
        if TROUBLE:
            relay.signal(signal.SIGCONT)
        await task
        await asyncio.sleep(3.0)
    finally:
        relay.signal(signal.SIGCONT)
        await relay.kill()
    runs = [attempt for runner in runners for attempt in runner.ran if attempt == TRIED]
    record.write("runs", id=TRIED, count=len(runs))
    return len(runs) <= 1


run_case(str(Path(__file__).parent), case)

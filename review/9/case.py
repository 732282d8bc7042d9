"""A faulty runner sends bytes that are no answer in place of some of its answers."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab_2"))

from fleet import (  # noqa: E402
    Peer,
    Record,
    Relay,
    Request,
    Runner,
    Store,
    ask,
    configuration,
    route,
    run_case,
    settings,
)

# TROUBLE=0 leaves out the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TRAFFIC_S = 15.0
INTERVAL_S = 0.02
# One in so many answers of the faulty runner is spoilt.
SPOILT_EVERY = 20
# Neither `Attempt-Id` nor `Server-Seal`, which all answers of runners bear.
SPOILT = b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n\x00\x9f\x07garbage\xff\x00"
SUCCESSES = range(200, 300)


class FaultyRunner(Runner):
    """A runner that spoils some of its answers."""

    answers = 0

    async def run(self, peer: Peer, request: Request) -> None:
        """Runs a request, and sends its answer or other bytes."""
        self.answers += 1
        if self.answers % SPOILT_EVERY or not TROUBLE:
            await super().run(peer, request)
            return
        attempt = request.headers.get("attempt-id", "")
        self.arrived.append(attempt)
        await asyncio.sleep(self.delay_s)
        self.record.write("spoilt", runner=self.name, id=attempt)
        peer.writer.write(SPOILT)
        await peer.writer.drain()


async def send(record: Record, port: int) -> bool:
    """Sends one request; returns whether its answer is a success without a seal."""
    attempt = os.urandom(8).hex()
    headers = {"Attempt-Id": attempt, "Deadline-Ms": "2000"}
    answer = await ask(port, "POST", "/book/1", headers, b"x" * 300)
    is_foreign = answer.status in SUCCESSES and "server-seal" not in answer.headers
    record.write(
        "answered",
        id=attempt,
        status=answer.status,
        seal=answer.headers.get("server-seal"),
        body=answer.body[:24],
    )
    return is_foreign


async def case(record: Record, directory: Path) -> bool:
    """Returns whether no client got a success without the seal of a runner."""
    store = Store(record)
    await store.start()
    routes = [route("book", "non_idempotent", "app")]
    store.put("keyed.op", "config", configuration(routes))
    kinds: tuple[type[Runner], ...] = (FaultyRunner, Runner, Runner)
    for number, kind in enumerate(kinds, 1):
        runner = kind(record, store, f"a-{number}", "app")
        await runner.start()
        runner.register()
    relay = Relay(record, directory, "front-fes-a-1", settings(store))
    foreign = sent = 0
    try:
        await relay.start()
        await relay.wait_ready()
        await asyncio.sleep(1.0)
        end_s = time.monotonic() + TRAFFIC_S
        while time.monotonic() < end_s:
            foreign += await send(record, relay.port)
            sent += 1
            await asyncio.sleep(INTERVAL_S)
    finally:
        await relay.kill()
    record.write("outcomes", sent=sent, without_seal=foreign)
    return foreign == 0


run_case(str(Path(__file__).parent), case)

"""Another writer writes one entry under the id of each runner; its service is none of ours."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab_2"))

from fleet import (  # noqa: E402
    STATUS_OK,
    Record,
    Relay,
    Runner,
    Store,
    ask,
    configuration,
    free_ports,
    has_trouble,
    route,
    run_case,
    settings,
)

TRAFFIC_S = 30.0
INTERVAL_S = 0.1
UNNAMED_SERVICE = "billing"
PATHS = ("plan", "book", "read")


async def send(record: Record, relay: Relay, path: str) -> bool:
    """Sends one request; returns whether it was served."""
    attempt = os.urandom(8).hex()
    headers = {"Attempt-Id": attempt, "Deadline-Ms": "3000"}
    if path == "plan":
        headers |= {"Model": "m", "Token-Counts": "628,32"}
        headers["Prompt-Prefix"] = f"5c1e07a2:198,{attempt}:430"
    try:
        answer = await ask(relay.port, "POST", f"/{path}/1", headers, b"x" * 300, timeout_s=4.0)
    except (OSError, TimeoutError) as error:
        record.write("failed", id=attempt, route=path, error=type(error).__name__)
        return False
    record.write("answered", id=attempt, route=path, status=answer.status)
    return answer.status == STATUS_OK and answer.is_complete


def write_as_another(record: Record, store: Store, runner: Runner) -> None:
    """Writes one entry under a runner's id: of a later start, and of a service that is not ours."""
    fields = {
        "service": UNNAMED_SERVICE,
        "address": f"127.0.0.1:{free_ports(1)[0]}",
        "zone": "fes-a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 1,
        "born": int(time.time() * 1000),
    }
    store.put("keyed.servers", runner.name, fields)
    record.write("entry of another writer", id=runner.name, entry=json.dumps(fields))


async def case(record: Record, directory: Path) -> bool:
    """Returns whether any request is served."""
    store = Store(record)
    await store.start()
    routes = [
        route("plan", "streaming", "lm"),
        route("book", "non_idempotent", "app"),
        route("read", "idempotent", "app", maxAttempts=2),
    ]
    store.put("keyed.op", "config", configuration(routes))
    runners = [Runner(record, store, f"a-{number}", "app") for number in (1, 2, 3)]
    runners.append(Runner(record, store, "p-1", "lm", "prefill"))
    runners += [Runner(record, store, f"d-{number}", "lm", "decode") for number in (1, 2)]
    for runner in runners:
        await runner.start()
        runner.register()
    relays = [
        Relay(record, directory, f"front-fes-a-{number}", settings(store)) for number in (1, 2, 3)
    ]
    served = sent = 0
    try:
        for relay in relays:
            await relay.start()
        for relay in relays:
            await relay.wait_ready()
        await asyncio.sleep(3.0)
        if has_trouble():
            for runner in runners:
                write_as_another(record, store, runner)
        # The runners have written their own entries again by then.
        await asyncio.sleep(3.0)
        end_s = time.monotonic() + TRAFFIC_S
        while time.monotonic() < end_s:
            served += await send(record, relays[sent % len(relays)], PATHS[sent // 3 % len(PATHS)])
            sent += 1
            await asyncio.sleep(INTERVAL_S)
    finally:
        for relay in relays:
            await relay.kill()
    record.write("served", count=served, sent=sent)
    return served > 0


run_case(str(Path(__file__).parent), case)

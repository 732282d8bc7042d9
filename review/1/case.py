"""Case 1: streams go on at another software version at a machine that stood still."""

import asyncio
import json
import secrets
import signal
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (  # noqa: E402
    BROKEN,
    HEARTBEAT_S,
    HELD,
    HOST,
    STATUS_OK,
    Processes,
    Record,
    Store,
    encode_reply,
    has_trouble,
    make_configuration,
    make_route,
    read_head,
    run_case,
)

# The split that the relay itself keeps for a pool of four; two of a new version join.
PREFILL_RUNNERS, DECODE_RUNNERS, JOINING_RUNNERS = 2, 2, 2
SHORT_CALLERS, SHORT_PAUSE_S = 36, 0.2
LONG_STREAMS = 30
# Seconds after the beginning of the freeze.
JOIN_AT_S, LONG_AT_S, THAW_AT_S = 4.0, 5.2, 6.9
SHORT_EVENTS, LONG_EVENTS, EVENT_INTERVAL_S = 2, 80, 0.05
TAKE_UP_TRIES, RETRY_PAUSE_S = 3, 0.4
MOST_ALLOWED = 2
ENGINE = {
    "slots": 64,
    "kvCapTokens": 565973,
    "kvTokenBytes": 163840,
    "linkMbps": 1400000.0,
    "handleTtlS": 5.0,
    "roleSwitchS": 3.0,
}


class ModelRunner:
    """A stand-in of a model runner whose events name the software version that made them."""

    def __init__(self, store: Store, record: Record, name: str, version: str, phase: str) -> None:
        """Takes the id, the software version and the phase."""
        self._store = store
        self._record = record
        self._name = name
        self._version = version
        self._phase = phase
        self._orders = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens and registers."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        port = server.sockets[0].getsockname()[1]
        self._record.write(f"runner {self._name} starts as {self._version}, {self._phase}")
        task = asyncio.ensure_future(self._beat_on(f"127.0.0.1:{port}"))
        self._tasks.add(task)

    async def _beat_on(self, address: str) -> None:
        born, seq = int(time.time() * 1000), 0
        while True:
            seq += 1
            entry = {
                "service": "cellar-lm",
                "address": address,
                "zone": "fes-a",
                "version": self._version,
                "slots": 64,
                "state": "ready",
                "coldLeftMs": 0,
                "seq": seq,
                "born": born,
                "phase": self._phase,
            }
            await self._store.put("keyed.servers", self._name, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                size = int(head[1].get("content-length", "0"))
                body = await reader.readexactly(size)
                await self._answer(head[0].split(" ")[1], head[1], body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, path: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        attempt = headers.get("attempt-id", "")
        echo = {"Attempt-Id": attempt, "Content-Type": "application/json"}
        is_prefill = headers.get("stage") == "prefill"
        if headers.get("expect-instance", self._name) != self._name:
            writer.write(encode_reply(421, {**echo, "Not-Executed": "1"}, b"{}"))
        elif path == "/report":
            state = {"phase": self._phase, "seq": self._orders}
            writer.write(encode_reply(STATUS_OK, echo, json.dumps(state).encode()))
        elif path == "/order":
            self._orders += 1
            self._phase = json.loads(body).get("phase", self._phase)
            writer.write(encode_reply(202, echo, b"{}"))
        elif path.startswith("/kv-handle/"):
            writer.write(encode_reply(STATUS_OK, echo, b"{}"))
        elif is_prefill != (self._phase == "prefill"):
            writer.write(encode_reply(421, {**echo, "Not-Executed": "1"}, b"{}"))
        elif is_prefill:
            handle = {"kvHandle": secrets.token_hex(6), "tokens": 200, "version": 1}
            writer.write(encode_reply(STATUS_OK, echo, json.dumps(handle).encode()))
        else:
            await self._stream(attempt, int(headers.get("last-event-id", "0")), writer)

    async def _stream(self, attempt: str, after: int, writer: asyncio.StreamWriter) -> None:
        is_long = attempt.startswith("long")
        if is_long:
            self._record.write(f"runner {self._name} runs {attempt} after event {after}")
        head = f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {attempt}\r\n"
        head += f"Server-Seal: {self._name}.{attempt}\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        for number in range(after + 1, (LONG_EVENTS if is_long else SHORT_EVENTS) + 1):
            event = f"id: {number}\ndata: {self._version} {self._name}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            if is_long:
                await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")


async def ask(
    address: tuple[str, int], attempt: str, after: int = 0, resumes: str = ""
) -> tuple[int, list[tuple[int, str]]]:
    """Sends one request; returns the status, and number and version of each event."""
    lines = [f"POST /question/{attempt} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {attempt}"]
    lines += ["Model: m", "Token-Counts: 200,40", "Prompt-Prefix: f1a0:100,0b0b:100"]
    lines += ["Deadline-Ms: 8000", f"Content-Length: {len(attempt)}", "Connection: close"]
    if resumes:
        lines += [f"Last-Event-Id: {after}", f"Resumes: {resumes}"]
    status, body = 0, b""
    try:
        async with asyncio.timeout(10.0):
            reader, writer = await asyncio.open_connection(*address)
            writer.write("\r\n".join([*lines, "", attempt]).encode())
            head = await read_head(reader)
            if head is not None:
                status = int(head[0].split(" ")[1])
                while data := await reader.read(65536):
                    body += data
            writer.close()
    except (OSError, TimeoutError):
        pass
    events, number = [], 0
    for line in body.split(b"\n"):
        if line.startswith(b"id: "):
            number = int(line[4:])
        elif line.startswith(b"data: "):
            events.append((number, line[6:].decode().split(" ")[0]))
    return status, events


async def call_on(address: tuple[str, int], number: int) -> None:
    """Sends short requests, until it is cancelled."""
    count = 0
    await asyncio.sleep(SHORT_PAUSE_S * number / SHORT_CALLERS)
    while True:
        count += 1
        await ask(address, f"short-{number}-{count}")
        await asyncio.sleep(SHORT_PAUSE_S)


async def read_long(
    first: tuple[str, int], second: tuple[str, int], number: int, record: Record
) -> tuple[str, ...]:
    """Reads a long stream and takes it up at the second machine if it breaks off.

    Returns the versions of its events, in order.
    """
    attempt = f"long-{number}"
    status, events = await ask(first, attempt)
    record.write(f"caller gets {status} for {attempt}, events {describe(events)}")
    for count in range(TAKE_UP_TRIES):
        if not events or events[-1][0] == LONG_EVENTS:
            break
        again = f"{attempt}-again-{count}"
        status, more = await ask(second, again, events[-1][0], attempt)
        record.write(f"caller gets {status} for {again}, events {describe(more)}")
        events += more
        if not more:
            await asyncio.sleep(RETRY_PAUSE_S)
    versions = tuple(dict.fromkeys(version for _, version in events))
    if len(versions) > 1:
        record.write(f"MIXED {attempt}: {describe(events)}")
    return versions


def describe(events: list[tuple[int, str]]) -> str:
    """Returns how many events are of each version, and the numbers of the first and the last."""
    if not events:
        return "none"
    counts = Counter(version for _, version in events)
    return f"{events[0][0]} to {events[-1][0]}, {dict(counts)}"


async def case(processes: Processes, record: Record) -> int:
    """Freezes a machine while a version joins, and kills the other one as it wakes."""
    store = processes.start_store()
    route = make_route(
        "question",
        "streaming",
        "cellar-lm",
        timeoutMs=8000,
        gapTargetMs=150,
        resumable=True,
        maxAttempts=2,
    )
    configuration = make_configuration(route)
    configuration["services"][0]["engine"] = ENGINE
    await store.put("keyed.op", "config", configuration)
    phases = ["prefill"] * PREFILL_RUNNERS + ["decode"] * DECODE_RUNNERS
    for number, phase in enumerate(phases):
        await ModelRunner(store, record, f"old-{number}", "v1", phase).start()
    first, _ = await asyncio.to_thread(processes.start_relay, store, "front-1")
    second, frozen = await asyncio.to_thread(processes.start_relay, store, "front-2")
    await asyncio.sleep(5.0)
    shorts = [asyncio.ensure_future(call_on(first, number)) for number in range(SHORT_CALLERS)]
    await asyncio.sleep(1.0)
    began_s = time.monotonic()
    if has_trouble():
        frozen.send_signal(signal.SIGSTOP)
        record.write("front-2 freezes")
    await asyncio.sleep(JOIN_AT_S)
    for number in range(JOINING_RUNNERS):
        await ModelRunner(store, record, f"new-{number}", "v2", "decode").start()
    await asyncio.sleep(began_s + LONG_AT_S - time.monotonic())
    longs = [
        asyncio.ensure_future(read_long(first, second, number, record))
        for number in range(LONG_STREAMS)
    ]
    await asyncio.sleep(began_s + THAW_AT_S - time.monotonic())
    if has_trouble():
        processes.started["front-1"].kill()
        frozen.send_signal(signal.SIGCONT)
        record.write("front-1 is killed, front-2 wakes")
        for short in shorts:
            short.cancel()
    streams = await asyncio.gather(*longs)
    for short in shorts:
        short.cancel()
    if frozen.poll() is not None:
        raise RuntimeError("front-2 has ended")
    counts = Counter(" then ".join(versions) or "nothing" for versions in streams)
    mixed = sum(len(versions) > 1 for versions in streams)
    record.say(
        f"{LONG_STREAMS} streams, by the versions of their events: {dict(counts)}; {mixed} hold"
        f" events of two versions, {MOST_ALLOWED} are allowed"
    )
    return BROKEN if mixed > MOST_ALLOWED else HELD


if __name__ == "__main__":
    run_case(str(Path(__file__).resolve().parent), case)

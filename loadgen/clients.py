"""Clients of the load generator: send requests over asyncio and time the answers."""

import asyncio
import json
import time
from collections.abc import Callable, Coroutine
from typing import Final

from attrs import define, field, frozen

CONTENT_LENGTH: Final = b"content-length: "
EVENT_PREFIX: Final = b"data: "
STREAM_END: Final = b"0\r\n\r\n"
HEAD_END: Final = b"\r\n\r\n"

Job = Callable[[], Coroutine[None, None, None]]


@frozen
class Target:
    """A loopback port and the bytes of the request to send there."""

    port: int
    request: bytes


@define
class Measurements:
    """Times and counts of many requests."""

    latencies_s: list[float] = field(factory=list)
    first_events_s: list[float] = field(factory=list)
    events: int = 0
    failures: int = 0


def post_request(path: str, value: object, headers: dict[str, str]) -> bytes:
    """Returns the bytes of a POST request with a JSON body."""
    body = json.dumps(value).encode()
    lines = [f"POST {path} HTTP/1.1", "Host: loadgen", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {text}" for name, text in headers.items()]
    return "\r\n".join(lines).encode() + HEAD_END + body


async def call_repeatedly(target: Target, count: int, measurements: Measurements) -> None:
    """Sends a request `count` times, one after another, on one connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", target.port)
    for _ in range(count):
        started_s = time.perf_counter()
        writer.write(target.request)
        head = await reader.readuntil(HEAD_END)
        start = head.lower().index(CONTENT_LENGTH) + len(CONTENT_LENGTH)
        await reader.readexactly(int(head[start : head.index(b"\r", start)]))
        measurements.latencies_s.append(time.perf_counter() - started_s)
        measurements.failures += b" 200 " not in head[:20]
    writer.close()


async def stream_once(target: Target, measurements: Measurements) -> None:
    """Sends one request and counts the events of its streamed answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", target.port)
    started_s = time.perf_counter()
    writer.write(target.request)
    head = await reader.readuntil(HEAD_END)
    if b" 200 " not in head[:20]:
        measurements.failures += 1
        writer.close()
        return
    tail = b""
    event_count = 0
    while not tail.endswith(STREAM_END):
        data = await reader.read(65536)
        if not data:
            measurements.failures += 1
            break
        if not event_count and EVENT_PREFIX in data:
            measurements.first_events_s.append(time.perf_counter() - started_s)
        event_count += data.count(EVENT_PREFIX)
        tail = (tail + data)[-len(STREAM_END) :]
    measurements.events += event_count
    measurements.latencies_s.append(time.perf_counter() - started_s)
    writer.close()


async def run_together(jobs: list[Job]) -> float:
    """Runs the jobs at the same time and returns how long they took, in seconds."""
    started_s = time.perf_counter()
    await asyncio.gather(*(job() for job in jobs))
    return time.perf_counter() - started_s

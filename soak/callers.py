"""Callers: keep connections open, send requests of every kind, and note what comes back."""

import asyncio
import time
from collections.abc import Callable
from random import Random
from typing import Final

import h11
from attrs import define, field, frozen

from soak.fleet import EXTRA_PATH
from tests.support.relay_fleet import HOST_NAME, PATHS

KINDS: Final = ("stream", "resumable", "once", "many", "extra")
KIND_WEIGHTS: Final = (3, 3, 3, 3, 1)
GENERATING: Final = ("stream", "resumable")
DEADLINE_S: Final = 2.0
# A caller waits longer than it says, so that an answer that is late is seen as that.
PATIENCE_S: Final = 4.0
LEAVING_SHARE: Final = 0.06
MOST_ON_A_CONNECTION: Final = 8
PAUSE_S: Final = (0.01, 0.25)
RECEIVE_BYTES: Final = 65536
SHARED_PARTS: Final = 4


@define
class Attempt:
    """One request and all that its caller saw."""

    call_id: str
    kind: str
    host: str
    sent_s: float
    status: int | None = None
    headers: dict[str, str] = field(factory=dict)
    body: bytes = b""
    # Whether the answer came to its end.
    complete: bool = False
    # When the caller left without waiting for the end, or None.
    left_s: float | None = None
    ended_s: float = 0.0


@frozen
class CallerSetup:
    """What all callers of a seed share."""

    # Hosts that take new connections, and their ports.
    ready_hosts: Callable[[], dict[str, int]]
    # Monotonic time at which they end.
    until_s: float
    attempts: list[Attempt]


async def call_until_the_end(number: int, rng: Random, setup: CallerSetup) -> None:
    """Sends requests one after the other, on connections that are kept for a while."""
    count = 0
    while time.monotonic() < setup.until_s:
        hosts = setup.ready_hosts()
        if not hosts:
            await asyncio.sleep(PAUSE_S[1])
            continue
        host = rng.choice(sorted(hosts))
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", hosts[host])
        except OSError:
            await asyncio.sleep(PAUSE_S[1])
            continue
        protocol = h11.Connection(our_role=h11.CLIENT)
        for _ in range(rng.randint(1, MOST_ON_A_CONNECTION)):
            count += 1
            attempt = _make_attempt(f"c{number}n{count}", host, rng)
            setup.attempts.append(attempt)
            leave_after_s = rng.uniform(0.01, 0.3) if rng.random() < LEAVING_SHARE else None
            await _ask(attempt, protocol, reader, writer, leave_after_s)
            if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
                break
            protocol.start_next_cycle()
            await asyncio.sleep(rng.uniform(*PAUSE_S))
            if time.monotonic() >= setup.until_s or reader.at_eof():
                break
        writer.close()


def _make_attempt(call_id: str, host: str, rng: Random) -> Attempt:
    kind = rng.choices(KINDS, KIND_WEIGHTS)[0]
    return Attempt(call_id, kind, host, time.monotonic())


async def _ask(
    attempt: Attempt,
    protocol: h11.Connection,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    leave_after_s: float | None,
) -> None:
    patience_s = PATIENCE_S if leave_after_s is None else leave_after_s
    try:
        _send(attempt, protocol, writer)
        async with asyncio.timeout(patience_s):
            await _read_answer(attempt, protocol, reader)
    except TimeoutError:
        if leave_after_s is not None:
            attempt.left_s = time.monotonic()
        writer.transport.abort()
        protocol.send_failed()
    except (OSError, h11.RemoteProtocolError):
        # The caller saw the connection end; what that means is judged later.
        protocol.send_failed()
    attempt.ended_s = time.monotonic()


def _send(attempt: Attempt, protocol: h11.Connection, writer: asyncio.StreamWriter) -> None:
    path = EXTRA_PATH if attempt.kind == "extra" else PATHS[attempt.kind]
    body = attempt.call_id.encode()
    headers = [
        ("Host", HOST_NAME),
        ("Attempt-Id", attempt.call_id),
        ("Deadline-Ms", str(int(DEADLINE_S * 1000.0))),
        ("Content-Length", str(len(body))),
    ]
    if attempt.kind in GENERATING:
        part = f"{sum(body) % SHARED_PARTS:04x}"
        headers += [
            ("Model", "m"),
            ("Token-Counts", "1500,8"),
            ("Prompt-Prefix", f"{part}:1200,{body.hex()}:300"),
        ]
    data = protocol.send(h11.Request(method="POST", target=path, headers=headers)) or b""
    data += protocol.send(h11.Data(data=body)) or b""
    data += protocol.send(h11.EndOfMessage()) or b""
    attempt.sent_s = time.monotonic()
    writer.write(data)


async def _read_answer(
    attempt: Attempt, protocol: h11.Connection, reader: asyncio.StreamReader
) -> None:
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await reader.read(RECEIVE_BYTES))
        elif isinstance(event, h11.Response):
            attempt.status = event.status_code
            attempt.headers = {name.decode(): value.decode() for name, value in event.headers}
        elif isinstance(event, h11.Data):
            attempt.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            attempt.complete = True
            return
        elif isinstance(event, h11.ConnectionClosed):
            return

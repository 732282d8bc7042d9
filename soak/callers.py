"""Callers: send requests of every kind on persistent connections and record the answers."""

import asyncio
import time
from collections.abc import Callable
from random import Random
from typing import Final

import h11
from attrs import define, field, frozen

from soak.fleet import EXTRA_ROUTE_PATH, TENANTS, key_of
from tests.support.relay_fleet import HOST_NAME, PATHS

REQUEST_KINDS: Final = ("stream", "resumable", "once", "many", "extra")
REQUEST_KIND_WEIGHTS: Final = (3, 3, 3, 3, 1)
GENERATION_KINDS: Final = ("stream", "resumable")
DEADLINE_S: Final = 2.0
# Longer than the deadline that a caller sends, so that a late answer is recorded as late.
ANSWER_TIMEOUT_S: Final = 4.0
ABANDON_PROBABILITY: Final = 0.06
# Of requests with a key that configuration versions remove and add again.
REMOVABLE_KEY_PROBABILITY: Final = 0.1
MAX_REQUESTS_PER_CONNECTION: Final = 8
PAUSE_RANGE_S: Final = (0.01, 0.25)
RECEIVE_BYTES: Final = 65536
SHARED_SEGMENTS: Final = 4


@define
class Attempt:
    """One request and everything that its caller observed; times are monotonic."""

    call_id: str
    kind: str
    host: str
    sent_s: float
    status: int | None = None
    headers: dict[str, str] = field(factory=dict)
    body: bytes = b""
    # Whether the answer was received to its end.
    complete: bool = False
    # Time at which the caller closed the connection before the end, or None.
    abandoned_s: float | None = None
    ended_s: float = 0.0
    # Tenant of the caller, or None if it sent no key, and whether its key is a removable one.
    tenant: str | None = None
    has_removable_key: bool = False


@frozen
class CallerSetup:
    """Settings and records that all callers of a seed share."""

    # Returns the ports of the hosts that accept new connections, by name.
    ready_hosts: Callable[[], dict[str, int]]
    # Monotonic time at which the callers stop.
    end_s: float
    attempts: list[Attempt]


async def run_caller(number: int, rng: Random, setup: CallerSetup) -> None:
    """Sends requests one after another, several on each connection, until `setup.end_s`."""
    count = 0
    while time.monotonic() < setup.end_s:
        hosts = setup.ready_hosts()
        if not hosts:
            await asyncio.sleep(PAUSE_RANGE_S[1])
            continue
        host = rng.choice(sorted(hosts))
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", hosts[host])
        except OSError:
            await asyncio.sleep(PAUSE_RANGE_S[1])
            continue
        protocol = h11.Connection(our_role=h11.CLIENT)
        for _ in range(rng.randint(1, MAX_REQUESTS_PER_CONNECTION)):
            count += 1
            attempt = _make_attempt(f"c{number}n{count}", host, rng)
            attempt.tenant = TENANTS[number % len(TENANTS)]
            setup.attempts.append(attempt)
            abandon_after_s = rng.uniform(0.01, 0.3) if rng.random() < ABANDON_PROBABILITY else None
            await _send_and_receive(attempt, protocol, reader, writer, abandon_after_s)
            if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
                break
            protocol.start_next_cycle()
            await asyncio.sleep(rng.uniform(*PAUSE_RANGE_S))
            if time.monotonic() >= setup.end_s or reader.at_eof():
                break
        writer.close()


def _make_attempt(call_id: str, host: str, rng: Random) -> Attempt:
    kind = rng.choices(REQUEST_KINDS, REQUEST_KIND_WEIGHTS)[0]
    attempt = Attempt(call_id, kind, host, time.monotonic())
    attempt.has_removable_key = kind != "extra" and rng.random() < REMOVABLE_KEY_PROBABILITY
    return attempt


async def _send_and_receive(
    attempt: Attempt,
    protocol: h11.Connection,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    abandon_after_s: float | None,
) -> None:
    timeout_s = ANSWER_TIMEOUT_S if abandon_after_s is None else abandon_after_s
    try:
        _send(attempt, protocol, writer)
        async with asyncio.timeout(timeout_s):
            await _read_answer(attempt, protocol, reader)
    except TimeoutError:
        if abandon_after_s is not None:
            attempt.abandoned_s = time.monotonic()
        writer.transport.abort()
        protocol.send_failed()
    except (OSError, h11.RemoteProtocolError):
        # The connection was lost; soak.promises decides later whether that was allowed.
        protocol.send_failed()
    attempt.ended_s = time.monotonic()


def _send(attempt: Attempt, protocol: h11.Connection, writer: asyncio.StreamWriter) -> None:
    path = EXTRA_ROUTE_PATH if attempt.kind == "extra" else PATHS[attempt.kind]
    body = attempt.call_id.encode()
    headers = [
        ("Host", HOST_NAME),
        ("Attempt-Id", attempt.call_id),
        ("Deadline-Ms", str(int(DEADLINE_S * 1000.0))),
        ("Content-Length", str(len(body))),
    ]
    if attempt.tenant is not None:
        key = key_of(attempt.tenant, is_removable=attempt.has_removable_key)
        headers += [("Authorization", f"Bearer {key}"), ("Tenant", "chosen-by-the-caller")]
    if attempt.kind in GENERATION_KINDS:
        shared_segment = f"{sum(body) % SHARED_SEGMENTS:04x}"
        headers += [
            ("Model", "m"),
            ("Token-Counts", "1500,8"),
            ("Prompt-Prefix", f"{shared_segment}:1200,{body.hex()}:300"),
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

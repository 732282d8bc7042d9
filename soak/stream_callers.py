"""Callers that read streams, take them up at any host, and note what each stream brought."""

import asyncio
from random import Random
from typing import Final

import h11
from attrs import define, field

from berylquay.net.http_client import STATUS_OK
from soak.stream_sites import EVENTS, RESUMABLE, StreamKind
from tests.support.relay_fleet import HOST_NAME

TAKE_UP_TRIES: Final = 8
RETRY_PAUSE_S: Final = 0.3
ANSWER_TIMEOUT_S: Final = 6.0
# Time by which an answer may come later than its deadline.
LATE_S: Final = 1.0


@define
class Stream:
    """What a caller has of one stream, over all its tries."""

    call_id: str
    kind: str
    # Numbers and versions of the events, in the order in which they arrived.
    events: list[tuple[int, str]] = field(factory=list)
    # Whether the last answer ended as complete.
    is_complete: bool = False
    # Hosts and statuses of the tries.
    tries: list[str] = field(factory=list)
    # Number of events of the whole stream.
    event_count: int = EVENTS
    # Whether an answer broke off after the last event.
    was_broken_after_last: bool = False
    # Bytes of an event that an answer has cut, though it ended as complete.
    cut_event: bytes = b""

    @property
    def versions(self) -> list[str]:
        """Returns the versions of the events, in the order in which each came first."""
        return list(dict.fromkeys(version for _number, version in self.events))

    def fault(self) -> str:
        """Returns what is wrong with the events, or an empty string."""
        numbers = [number for number, _version in self.events]
        if len(self.versions) > 1:
            return f"versions {self.versions}"
        if numbers != list(range(1, len(numbers) + 1)):
            return f"events {numbers}"
        if self.is_complete and len(numbers) < self.event_count:
            return f"ends as complete after {len(numbers)} events"
        if self.cut_event:
            return f"ends as complete with {self.cut_event!r}"
        return ""


@define
class CallerConnection:
    """A connection to a host, which may be kept for further requests."""

    host: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    protocol: h11.Connection = field(factory=lambda: h11.Connection(our_role=h11.CLIENT))

    @property
    def is_reusable(self) -> bool:
        """Tells whether another request may be sent."""
        states = {self.protocol.our_state, self.protocol.their_state}
        return states <= {h11.IDLE, h11.DONE} and not self.reader.at_eof()

    def start_next(self) -> None:
        """Prepares for the next request."""
        if self.protocol.our_state is h11.DONE:
            self.protocol.start_next_cycle()

    def close(self) -> None:
        """Closes the connection at once."""
        self.writer.transport.abort()


@define
class TryOptions:
    """How one request is sent, and how long its caller waits."""

    kind: StreamKind = RESUMABLE
    most_events: int = 0
    is_http_1_0: bool = False
    # Longest time without a byte, and of the whole answer.
    patience_s: float = ANSWER_TIMEOUT_S
    timeout_s: float = ANSWER_TIMEOUT_S


async def read_stream(
    connection: CallerConnection, stream: Stream, call_id: str, options: TryOptions
) -> str:
    """Sends one request, which goes on after the stream's newest event; returns what happened."""
    tried = f"{call_id} at host-{connection.host} after {len(stream.events)}:"
    status, rest = 0, b""
    protocol = connection.protocol
    stream.is_complete = False
    most_events = options.most_events or stream.event_count + 1
    error_name = ""
    try:
        async with asyncio.timeout(options.timeout_s):
            connection.start_next()
            connection.writer.write(_encode_request(protocol, stream, call_id, options))
            while len(stream.events) < most_events:
                event = protocol.next_event()
                if event is h11.NEED_DATA:
                    async with asyncio.timeout(options.patience_s):
                        protocol.receive_data(await connection.reader.read(65536))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data) and status == STATUS_OK:
                    *parts, rest = (rest + bytes(event.data)).split(b"\n\n")
                    stream.events += [_decode_event(part, call_id) for part in parts]
                elif isinstance(event, h11.EndOfMessage):
                    stream.is_complete = status == STATUS_OK
                    break
                elif isinstance(event, h11.ConnectionClosed):
                    break
    except (OSError, TimeoutError, h11.ProtocolError) as error:
        error_name = f" {type(error).__name__}"
    if stream.is_complete:
        stream.cut_event = rest
    elif status == STATUS_OK and len(stream.events) == stream.event_count:
        stream.was_broken_after_last = True
    version = " HTTP/1.0" if options.is_http_1_0 else ""
    return f"{tried}{version}{error_name} {status}, then {len(stream.events)}"


def _encode_request(
    protocol: h11.Connection, stream: Stream, call_id: str, options: TryOptions
) -> bytes:
    body, kind = call_id.encode(), options.kind
    headers = [
        ("Host", HOST_NAME),
        ("Attempt-Id", call_id),
        ("Deadline-Ms", str(kind.deadline_ms)),
        ("Token-Counts", f"{kind.prompt_tokens},{stream.event_count * kind.tokens_per_event}"),
        ("Event-Count", str(stream.event_count)),
        ("Content-Length", str(len(body))),
    ]
    if stream.events:
        headers += [("Last-Event-Id", str(stream.events[-1][0])), ("Resumes", stream.call_id)]
    target = f"{kind.path}{call_id}"
    data = protocol.send(h11.Request(method="POST", target=target, headers=headers)) or b""
    if options.is_http_1_0:
        data = data.replace(b" HTTP/1.1\r\n", b" HTTP/1.0\r\n", 1)
    data += protocol.send(h11.Data(data=body)) or b""
    return data + (protocol.send(h11.EndOfMessage()) or b"")


def _decode_event(text: bytes, call_id: str) -> tuple[int, str]:
    """Returns an event's number and version, with the request's id if that is another one."""
    first, _, second = text.decode().partition("\n")
    data, _, version = second.removeprefix("data: ").partition(" ")
    sent_id = data.rstrip("x")
    number = int(first.removeprefix("id: "))
    return number, version if sent_id == call_id else f"{version} of {sent_id}"


async def open_connection(host: int, port: int, timeout_s: float = 1.0) -> CallerConnection | None:
    """Returns a new connection to a host, or None if it does not accept one in time."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except (OSError, TimeoutError):
        return None
    return CallerConnection(host, reader, writer)


def choose_options(kind: StreamKind, rng: Random, http_1_0_share: float) -> TryOptions:
    """Returns the options of a caller on a site."""
    return TryOptions(
        kind,
        is_http_1_0=rng.random() < http_1_0_share,
        patience_s=kind.patience_s,
        timeout_s=kind.deadline_ms / 1000.0 + LATE_S,
    )

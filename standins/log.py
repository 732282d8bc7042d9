"""Stand-in for the platform's log service: append-only streams with offsets and expiry.

Offsets start at 1 in each stream. A read with `wait_s` is a long poll: it waits up to that time for
a new record. Faults: `away` (connections are aborted), `silent` (requests are not answered),
`delay_s` (slow responses), `drop_appends` (appends dropped before they take effect) and
`lose_answers` (responses lost after the append took effect).
"""

import asyncio
import contextlib
import time
from typing import Final

from attrs import define, field, frozen

from standins.http_server import Exchange, create_standin_parser, run_standin

# Time for which an unresponsive service keeps a connection open.
UNRESPONSIVE_HOLD_S: Final = 60.0


@frozen
class Record:
    """One record of a stream."""

    offset: int
    appended_s: float
    data: str


@define
class Stream:
    """One stream: its retained records and the offset of the next one."""

    records: list[Record] = field(factory=list)
    next_offset: int = 1

    def first_offset(self) -> int:
        """Returns the offset of the oldest retained record, or the next offset if there is none."""
        return self.records[0].offset if self.records else self.next_offset


@define
class LogService:
    """All streams, and the injected faults."""

    retention_s: float
    appends_per_s: float
    streams: dict[str, Stream] = field(factory=dict)
    unavailable: bool = False
    # Whether connections are accepted but requests are never answered.
    unresponsive: bool = False
    delay_s: float = 0.0
    # Number of upcoming appends whose connections are aborted before the append takes effect.
    appends_to_drop: int = 0
    # Number of upcoming appends whose responses are lost after the append took effect.
    responses_to_lose: int = 0
    append_count: int = 0
    read_count: int = 0
    # Set and replaced at each append and each change of the faults, to wake the waiting reads.
    append_event: asyncio.Event = field(factory=asyncio.Event)
    # Token bucket of the rate limit: appends allowed now, and when the bucket was last refilled.
    tokens: float = 0.0
    tokens_updated_s: float = field(factory=time.monotonic)

    async def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        request = exchange.request
        if request.path == "/faults":
            self._set_faults(request.json_body())
            await exchange.send_json(200, {})
            return
        if request.path == "/witness":
            await exchange.send_json(200, {"appends": self.append_count, "reads": self.read_count})
            return
        if self.unavailable:
            exchange.abort_connection()
            return
        if self.unresponsive:
            await asyncio.sleep(UNRESPONSIVE_HOLD_S)
            return
        await asyncio.sleep(self.delay_s)
        name = request.path.removeprefix("/v1/streams/").removesuffix("/records")
        stream = self.streams.setdefault(name, Stream())
        self._drop_expired(stream)
        if request.method == "POST":
            await self._append(exchange, stream)
        else:
            await self._read(exchange, stream)

    def _set_faults(self, faults: dict[str, object]) -> None:
        self.unavailable = bool(faults.get("away", False))
        self.unresponsive = bool(faults.get("silent", False))
        self.delay_s = float(str(faults.get("delay_s", 0.0)))
        self.appends_to_drop = int(str(faults.get("drop_appends", 0)))
        self.responses_to_lose = int(str(faults.get("lose_answers", 0)))
        self.retention_s = float(str(faults.get("retention_s", self.retention_s)))
        self._wake_waiting_reads()

    def _wake_waiting_reads(self) -> None:
        self.append_event.set()
        self.append_event = asyncio.Event()

    def _drop_expired(self, stream: Stream) -> None:
        oldest_s = time.monotonic() - self.retention_s
        stream.records = [record for record in stream.records if record.appended_s >= oldest_s]

    async def _append(self, exchange: Exchange, stream: Stream) -> None:
        if not self._take_token():
            await exchange.send_json(429, {"error": "too many appends"})
            return
        if self.appends_to_drop > 0:
            self.appends_to_drop -= 1
            exchange.abort_connection()
            return
        data = exchange.request.body.decode()
        record = Record(stream.next_offset, time.monotonic(), data)
        stream.records.append(record)
        stream.next_offset += 1
        self.append_count += 1
        self._wake_waiting_reads()
        if self.responses_to_lose > 0:
            self.responses_to_lose -= 1
            exchange.abort_connection()
            return
        await exchange.send_json(200, {"offset": record.offset})

    def _take_token(self) -> bool:
        now_s = time.monotonic()
        refilled = (now_s - self.tokens_updated_s) * self.appends_per_s
        self.tokens = min(self.tokens + refilled, self.appends_per_s)
        self.tokens_updated_s = now_s
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    async def _read(self, exchange: Exchange, stream: Stream) -> None:
        first_offset = int(exchange.request.query.get("from", "1"))
        max_records = int(exchange.request.query.get("max", "100"))
        self.read_count += 1
        await self._wait_for_append(
            stream, first_offset, float(exchange.request.query.get("wait_s", "0"))
        )
        if self.unavailable:
            exchange.abort_connection()
            return
        self._drop_expired(stream)
        records = [record for record in stream.records if record.offset >= first_offset][
            :max_records
        ]
        page = {
            "first_offset": stream.first_offset(),
            "next_offset": stream.next_offset,
            "records": [[record.offset, record.data] for record in records],
        }
        await exchange.send_json(200, page)

    async def _wait_for_append(self, stream: Stream, first_offset: int, wait_s: float) -> None:
        deadline_s = time.monotonic() + wait_s
        while stream.next_offset <= first_offset and not self.unavailable:
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0:
                return
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.append_event.wait(), remaining_s)


def main() -> None:
    """Runs the process that stands in for the platform's log service."""
    parser = create_standin_parser("Stand-in for the platform's log service.")
    parser.add_argument("--retention-s", type=float, default=3600.0)
    parser.add_argument("--appends-per-s", type=float, default=400.0)
    arguments = parser.parse_args()
    run_standin(arguments, LogService(arguments.retention_s, arguments.appends_per_s).handle)


if __name__ == "__main__":
    main()

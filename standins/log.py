"""Stand-in for the platform's log service: append-only streams with offsets and expiry.

Offsets start at 1 in each stream. A read with `wait_s` is held back for that time while there is
nothing new. Faults: away, silent, slow, appends that are dropped before they take effect, and
appends whose answers are lost after they took effect.
"""

import asyncio
import contextlib
import time
from typing import Final

from attrs import define, field, frozen

from standins.http_server import Exchange, run_standin, standin_parser

# Time for which a silent service holds a connection.
SILENCE_S: Final = 60.0


@frozen
class Record:
    """One record of a stream."""

    offset: int
    appended_s: float
    data: str


@define
class Stream:
    """One stream: its kept records and the offset of the next one."""

    records: list[Record] = field(factory=list)
    next_offset: int = 1

    def first_offset(self) -> int:
        """Returns the offset of the oldest record that is kept."""
        return self.records[0].offset if self.records else self.next_offset


@define
class LogService:
    """All streams."""

    retention_s: float
    appends_per_s: float
    streams: dict[str, Stream] = field(factory=dict)
    away: bool = False
    # Whether connections are accepted but never answered.
    silent: bool = False
    delay_s: float = 0.0
    # Number of coming appends that are cut off before the effect.
    drop_appends: int = 0
    # Number of coming appends whose answers are lost after the effect.
    lose_answers: int = 0
    appends: int = 0
    reads: int = 0
    # Set and replaced at each append, to wake the reads that are held back.
    appended: asyncio.Event = field(factory=asyncio.Event)
    # Appends that may be made now under the rate limit.
    allowance: float = 0.0
    allowance_s: float = field(factory=time.monotonic)

    async def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        request = exchange.request
        if request.path == "/faults":
            self._set_faults(request.value())
            await exchange.answer(200, {})
            return
        if request.path == "/witness":
            await exchange.answer(200, {"appends": self.appends, "reads": self.reads})
            return
        if self.away:
            exchange.abort()
            return
        if self.silent:
            await asyncio.sleep(SILENCE_S)
            return
        await asyncio.sleep(self.delay_s)
        name = request.path.removeprefix("/v1/streams/").removesuffix("/records")
        stream = self.streams.setdefault(name, Stream())
        self._expire(stream)
        if request.method == "POST":
            await self._append(exchange, stream)
        else:
            await self._read(exchange, stream)

    def _set_faults(self, value: dict[str, object]) -> None:
        self.away = bool(value.get("away", False))
        self.silent = bool(value.get("silent", False))
        self.delay_s = float(str(value.get("delay_s", 0.0)))
        self.drop_appends = int(str(value.get("drop_appends", 0)))
        self.lose_answers = int(str(value.get("lose_answers", 0)))
        self.retention_s = float(str(value.get("retention_s", self.retention_s)))
        self._wake_reads()

    def _wake_reads(self) -> None:
        self.appended.set()
        self.appended = asyncio.Event()

    def _expire(self, stream: Stream) -> None:
        oldest_s = time.monotonic() - self.retention_s
        stream.records = [record for record in stream.records if record.appended_s >= oldest_s]

    async def _append(self, exchange: Exchange, stream: Stream) -> None:
        if not self._take_allowance():
            await exchange.answer(429, {"error": "too many appends"})
            return
        if self.drop_appends > 0:
            self.drop_appends -= 1
            exchange.abort()
            return
        data = exchange.request.body.decode()
        record = Record(stream.next_offset, time.monotonic(), data)
        stream.records.append(record)
        stream.next_offset += 1
        self.appends += 1
        self._wake_reads()
        if self.lose_answers > 0:
            self.lose_answers -= 1
            exchange.abort()
            return
        await exchange.answer(200, {"offset": record.offset})

    def _take_allowance(self) -> bool:
        now_s = time.monotonic()
        gained = (now_s - self.allowance_s) * self.appends_per_s
        self.allowance = min(self.allowance + gained, self.appends_per_s)
        self.allowance_s = now_s
        if self.allowance < 1.0:
            return False
        self.allowance -= 1.0
        return True

    async def _read(self, exchange: Exchange, stream: Stream) -> None:
        first = int(exchange.request.query.get("from", "1"))
        most = int(exchange.request.query.get("max", "100"))
        self.reads += 1
        await self._wait_for_news(stream, first, float(exchange.request.query.get("wait_s", "0")))
        if self.away:
            exchange.abort()
            return
        self._expire(stream)
        records = [record for record in stream.records if record.offset >= first][:most]
        value = {
            "first_offset": stream.first_offset(),
            "next_offset": stream.next_offset,
            "records": [[record.offset, record.data] for record in records],
        }
        await exchange.answer(200, value)

    async def _wait_for_news(self, stream: Stream, first: int, wait_s: float) -> None:
        give_up_s = time.monotonic() + wait_s
        while stream.next_offset <= first and not self.away:
            left_s = give_up_s - time.monotonic()
            if left_s <= 0:
                return
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.appended.wait(), left_s)


def main() -> None:
    """Runs the log stand-in."""
    parser = standin_parser("Stand-in for the platform's log service.")
    parser.add_argument("--retention-s", type=float, default=3600.0)
    parser.add_argument("--appends-per-s", type=float, default=400.0)
    arguments = parser.parse_args()
    run_standin(arguments, LogService(arguments.retention_s, arguments.appends_per_s).handle)


if __name__ == "__main__":
    main()

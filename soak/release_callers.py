"""Callers of a soak over releases, who read streams to the end or leave after the first event."""

import asyncio
from collections import Counter
from random import Random
from typing import Final

from attrs import define, field

from soak.stream_callers import (
    RETRY_PAUSE_S,
    TAKE_UP_TRIES,
    CallerConnection,
    Stream,
    TryOptions,
    choose_options,
    open_connection,
    read_stream,
)
from soak.stream_sites import DEFAULT_SITE, NOT_RESUMABLE, RESUMABLE, Site
from tests.support.relay_fleet import RelayFleet

# Callers that read streams to the end, and those that leave after the first event, whose streams
# fill the hosts' queues with reports.
LONG_CALLERS: Final = 24
SHORT_CALLERS: Final = 24
SHORT_PAUSE_S: Final = 0.2
# On a site: probability that a connection is kept, and share of the requests in HTTP/1.0.
KEEP_PROBABILITY: Final = 0.6
HTTP_1_0_SHARE: Final = 0.15


@define
class ReleaseCallers:
    """All callers of one seed."""

    fleet: RelayFleet
    rng: Random
    site: Site
    # Hosts that run and do not stand still; the schedule changes it.
    live_hosts: set[int]
    streams: list[Stream] = field(factory=list)
    # What became of the tries to take a stream up: that it went on, or the status and error.
    take_ups: Counter[str] = field(factory=Counter)

    async def run(self, end_s: float) -> None:
        """Sends requests until a time of the event loop's clock."""
        read = self._read_long if self.site is DEFAULT_SITE else self._read_site
        callers = [read(number, end_s) for number in range(LONG_CALLERS)]
        callers += [self._leave_early(number, end_s) for number in range(SHORT_CALLERS)]
        await asyncio.gather(*callers)

    async def _read_long(self, number: int, end_s: float) -> None:
        loop, rng = asyncio.get_running_loop(), Random(self.rng.random())
        count = 0
        while loop.time() < end_s:
            count += 1
            options = TryOptions(RESUMABLE if number % 4 else NOT_RESUMABLE)
            stream = Stream(f"long-{number}-{count}", options.kind.name)
            self.streams.append(stream)
            await self._read(stream, stream.call_id, self._choose_host(rng), options)
            await self._take_up(stream, rng, options)
            await asyncio.sleep(rng.uniform(0.02, 0.3))

    async def _read_site(self, number: int, end_s: float) -> None:
        """Sends requests as a site has them, on connections that are kept for as long as they last.

        A kept connection is used even if its host was told to stop.
        """
        loop, rng = asyncio.get_running_loop(), Random(self.rng.random())
        connection: CallerConnection | None = None
        count = 0
        while loop.time() < end_s:
            count += 1
            options = choose_options(self.site.choose_kind(rng), rng, HTTP_1_0_SHARE)
            stream = Stream(
                f"long-{number}-{count}",
                options.kind.name,
                event_count=options.kind.draw_event_count(rng),
            )
            self.streams.append(stream)
            connection = await self._read(
                stream, stream.call_id, self._choose_host(rng), options, connection
            )
            await self._take_up(stream, rng, options)
            if connection is not None and rng.random() >= KEEP_PROBABILITY:
                connection.close()
                connection = None
            await asyncio.sleep(rng.uniform(0.02, 0.3))
        if connection is not None:
            connection.close()

    async def _take_up(self, stream: Stream, rng: Random, options: TryOptions) -> None:
        for attempt in range(TAKE_UP_TRIES if options.kind.is_resumable else 0):
            if stream.is_complete or not stream.events:
                return
            before = len(stream.events)
            call_id = f"{stream.call_id}-again-{attempt}"
            connection = await self._read(stream, call_id, self._choose_host(rng), options)
            if connection is not None:
                connection.close()
            has_gone_on = stream.is_complete or len(stream.events) > before
            answer = stream.tries[-1].rpartition(": ")[2].partition(",")[0]
            self.take_ups["went on" if has_gone_on else answer.removeprefix("HTTP/1.0 ")] += 1
            if len(stream.events) == before:
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _leave_early(self, number: int, end_s: float) -> None:
        loop, rng = asyncio.get_running_loop(), Random(self.rng.random())
        resumable = next(kind for kind in self.site.kinds if kind.is_resumable)
        options = TryOptions(resumable, most_events=1)
        count = 0
        while loop.time() < end_s:
            count += 1
            call_id = f"short-{number}-{count}"
            stream = Stream(call_id, resumable.name)
            await self._read(stream, call_id, self._choose_host(rng), options)
            await asyncio.sleep(SHORT_PAUSE_S)

    def _choose_host(self, rng: Random) -> int:
        return rng.choice(sorted(self.live_hosts) or [0])

    async def _read(
        self,
        stream: Stream,
        call_id: str,
        host: int,
        options: TryOptions,
        connection: CallerConnection | None = None,
    ) -> CallerConnection | None:
        """Sends one request; returns its connection if another request may follow."""
        if connection is None or not connection.is_reusable:
            connection = await open_connection(host, self.fleet.hosts[host].port)
        if connection is None:
            stream.is_complete = False
            stream.tries.append(f"{call_id} at host-{host}: no connection")
            return None
        stream.tries.append(await read_stream(connection, stream, call_id, options))
        if connection.is_reusable:
            return connection
        connection.close()
        return None

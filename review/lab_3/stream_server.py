"""A sound runner of a plain service that streams events, at one version of its software.

It writes its entry once it listens, and again every `HEARTBEAT_S`. Each event names the version
that made it. A stream goes on after `Last-Event-Id`, as PROTOCOL.md says; versions aren't checked.
"""

import argparse
import asyncio
import json
import time
from http import HTTPStatus

from attrs import define

from review.lab_3.lab import call_json, make_entry
from standins.http_server import Exchange, serve

HEARTBEAT_S = 1.2
EVENT_INTERVAL_S = 0.1


@define
class StreamServer:
    """One runner."""

    name: str
    version: str
    event_count: int
    born_unix_ms: int

    async def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        headers = exchange.request.headers
        about = (("Instance-Id", self.name),)
        if headers.get("expect-instance") != self.name:
            await exchange.send_json(HTTPStatus.MISDIRECTED_REQUEST, {}, about)
        elif exchange.request.path in ("/health", "/report"):
            statement = {"born": self.born_unix_ms, "version": self.version}
            await exchange.send_json(HTTPStatus.OK, statement, about)
        else:
            await self._stream(exchange)

    async def _stream(self, exchange: Exchange) -> None:
        headers = exchange.request.headers
        attempt = headers.get("attempt-id", "")
        await exchange.start_stream((("Attempt-Id", attempt), ("Server-Seal", f"s-{self.name}")))
        first = int(headers.get("last-event-id", "0")) + 1
        for event_id in range(first, self.event_count + 1):
            if exchange.is_closed():
                return
            await exchange.send_stream_bytes(f"id: {event_id}\ndata: {self.version}\n\n".encode())
            await asyncio.sleep(EVENT_INTERVAL_S)
        await exchange.end_response()


async def run(server: StreamServer, port: int, store_port: int, service: str) -> None:
    """Serves, and writes the entry at once and at each heartbeat."""
    serving = asyncio.ensure_future(serve("127.0.0.1", port, server.handle))
    await asyncio.sleep(0)
    number = 0
    while not serving.done():
        number += 1
        entry = {
            **make_entry(service, port),
            "version": server.version,
            "born": server.born_unix_ms,
            "seq": number,
        }
        record = {"topic": "keyed.servers", "key": server.name, "value": json.dumps(entry)}
        await asyncio.to_thread(call_json, store_port, "POST", "/put", record)
        await asyncio.sleep(HEARTBEAT_S)


def main() -> None:
    """Runs the process."""
    parser = argparse.ArgumentParser(description="A plain runner that streams events.")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--store", type=int, required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--version", required=True)
    parser.add_argument("--events", type=int, default=40)
    arguments = parser.parse_args()
    server = StreamServer(
        arguments.name, arguments.version, arguments.events, round(time.time() * 1000)
    )
    asyncio.run(run(server, arguments.port, arguments.store, arguments.service))


if __name__ == "__main__":
    main()

"""A sound runner of a plain service whose answers end with their connection.

It writes its entry once it listens, and again every `HEARTBEAT_S`. Its health check answers as
PROTOCOL.md shows it: a status and `Instance-Id`. Each answer has `PIECES` numbered lines, with
neither a length nor chunks.
"""

import argparse
import asyncio
import json
import time
from http import HTTPStatus
from pathlib import Path

from attrs import define

from review.lab_3.lab import call_json, make_entry
from standins.http_server import Exchange, serve

HEARTBEAT_S = 1.2
PIECES = 10
PIECE_INTERVAL_S = 0.1


@define
class UnframedServer:
    """One runner."""

    name: str
    born_unix_ms: int
    # File to which each run is written.
    witness: Path

    async def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        request, about = exchange.request, (("Instance-Id", self.name),)
        if request.headers.get("expect-instance") != self.name:
            await exchange.send_json(HTTPStatus.MISDIRECTED_REQUEST, {}, about)
        elif request.path == "/health":
            await exchange.send_raw_bytes(
                f"HTTP/1.1 200 OK\r\nInstance-Id: {self.name}\r\nContent-Length: 0\r\n"
                "Connection: close\r\n\r\n".encode()
            )
            exchange.close_connection()
        else:
            await self._run(exchange)

    async def _run(self, exchange: Exchange) -> None:
        attempt = exchange.request.headers.get("attempt-id", "")
        with self.witness.open("a", encoding="utf-8") as file:
            file.write(f"{attempt} run by the start {self.born_unix_ms}\n")
        headers = (("Attempt-Id", attempt), ("Server-Seal", f"s-{self.name}"))
        await exchange.start_unframed_response("text/plain", headers)
        for number in range(PIECES):
            await asyncio.sleep(PIECE_INTERVAL_S)
            await exchange.send_raw_bytes(f"{attempt} line {number}\n".ljust(80).encode())
        exchange.close_connection()


async def run(server: UnframedServer, port: int, address: int, store: int, service: str) -> None:
    """Serves, and writes the entry at once and at each heartbeat."""
    serving = asyncio.ensure_future(serve("127.0.0.1", port, server.handle))
    await asyncio.sleep(0)
    number = 0
    while not serving.done():
        number += 1
        entry = {**make_entry(service, address), "born": server.born_unix_ms, "seq": number}
        record = {"topic": "keyed.servers", "key": server.name, "value": json.dumps(entry)}
        await asyncio.to_thread(call_json, store, "POST", "/put", record)
        await asyncio.sleep(HEARTBEAT_S)


def main() -> None:
    """Runs the process."""
    parser = argparse.ArgumentParser(description="A plain runner with unframed answers.")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--address", type=int, required=True, help="port that its entry names")
    parser.add_argument("--store", type=int, required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--witness", type=Path, required=True)
    arguments = parser.parse_args()
    server = UnframedServer(arguments.name, round(time.time() * 1000), arguments.witness)
    ports = arguments.port, arguments.address, arguments.store
    asyncio.run(run(server, *ports, arguments.service))


if __name__ == "__main__":
    main()

"""A loopback TCP proxy whose links can be delayed, cut in one or both directions, reset or closed.

`POST /link` on the control port sets the state of one link: `name`, and any of `delay_s`,
`cut` (towards, back or both), `closed`; `reset` resets the open connections. `target_port` leads
new connections of the link to another port from then on.
"""

import argparse
import asyncio
import contextlib
import socket
import struct
from typing import Final

from attrs import define, field

from standins.http_server import MAX_RECEIVE_BYTES, Exchange, create_standin_parser, run_standin

# SO_LINGER with a time-out of zero: closing the socket sends a reset.
_RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
CUT_POLL_INTERVAL_S: Final = 0.01


@define(eq=False)
class Link:
    """One link: its listening port, its target port and its current faults."""

    name: str
    port: int
    target_port: int
    delay_s: float = 0.0
    cut: str = ""
    closed: bool = False
    server: asyncio.Server | None = None
    open_writers: set[asyncio.StreamWriter] = field(factory=set)

    async def set_state(self, state: dict[str, object]) -> None:
        """Applies a state; fields that it does not have return to normal."""
        self.delay_s = float(str(state.get("delay_s", 0.0)))
        self.cut = str(state.get("cut", ""))
        self.target_port = int(str(state.get("target_port", self.target_port)))
        closed = bool(state.get("closed", False))
        if state.get("reset") or closed:
            for writer in list(self.open_writers):
                _reset(writer)
        if closed and self.server is not None:
            self.server.close()
            self.server = None
        elif not closed and self.server is None:
            await self.listen()

    async def listen(self) -> None:
        """Starts accepting connections."""
        self.server = await asyncio.start_server(self._relay_connection, "127.0.0.1", self.port)

    async def _relay_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port
            )
        except OSError:
            _reset(writer)
            return
        self.open_writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._copy_data(reader, target_writer, "towards"),
                self._copy_data(target_reader, writer, "back"),
            )
        except OSError:
            _reset(writer)
            _reset(target_writer)
        finally:
            self.open_writers -= {writer, target_writer}
            writer.close()
            target_writer.close()

    async def _copy_data(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: str
    ) -> None:
        while data := await reader.read(MAX_RECEIVE_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            # Data held by a cut link arrives once the cut ends, as TCP would retransmit it.
            while self.cut in (direction, "both"):
                await asyncio.sleep(CUT_POLL_INTERVAL_S)
            writer.write(data)
            await writer.drain()
        # One end has closed; the other must be told even while it sends nothing itself.
        writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        sock: socket.socket | None = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()


@define
class LinkProxy:
    """All links, by name."""

    links: dict[str, Link]

    async def handle(self, exchange: Exchange) -> None:
        """Answers a request on the control port; the first one makes all links listen."""
        for link in self.links.values():
            if link.server is None and not link.closed:
                await link.listen()
        if exchange.request.path == "/link":
            value = exchange.request.json_body()
            link = self.links[str(value["name"])]
            await link.set_state(value)
            link.closed = link.server is None
        await exchange.send_json(200, {})


def _parse_link(text: str) -> Link:
    name, port, target_port = text.split(":")
    return Link(name, int(port), int(target_port))


def main() -> None:
    """Runs the proxy."""
    parser: argparse.ArgumentParser = create_standin_parser("Loopback proxy with faulty links.")
    parser.add_argument("links", nargs="+", type=_parse_link, metavar="NAME:PORT:TARGET_PORT")
    arguments = parser.parse_args()
    run_standin(arguments, LinkProxy({link.name: link for link in arguments.links}).handle)


if __name__ == "__main__":
    main()

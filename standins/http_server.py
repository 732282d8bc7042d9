"""Minimal asyncio HTTP server for the stand-ins, with control over each connection."""

import argparse
import asyncio
import json
import signal
from collections.abc import Awaitable, Callable
from typing import Final

import h11
from attrs import define, frozen

MAX_RECEIVE_BYTES: Final = 65536
JSON_CONTENT_TYPE: Final = "application/json"


@frozen
class StandinRequest:
    """A request to a stand-in."""

    method: str
    path: str
    query: dict[str, str]
    # Path and query string as received.
    target: str
    headers: dict[str, str]
    body: bytes

    def json_body(self) -> dict[str, object]:
        """Returns the body as a JSON object.

        An empty body, and JSON of another type, give an empty object; invalid JSON raises
        `ValueError`.
        """
        parsed = json.loads(self.body or b"{}")
        return parsed if isinstance(parsed, dict) else {}


@define
class Exchange:
    """A request and the methods that send its response."""

    request: StandinRequest
    protocol: h11.Connection
    writer: asyncio.StreamWriter
    reader: asyncio.StreamReader
    # Headers of every response.
    common_headers: tuple[tuple[str, str], ...] = ()

    async def send_json(
        self, status: int, value: object, headers: tuple[tuple[str, str], ...] = ()
    ) -> None:
        """Sends a complete JSON response."""
        body = json.dumps(value).encode()
        all_headers = [
            ("Content-Type", JSON_CONTENT_TYPE),
            ("Content-Length", str(len(body))),
            *self.common_headers,
            *headers,
        ]
        self._send(h11.Response(status_code=status, headers=all_headers))
        self._send(h11.Data(data=body))
        await self.end_response()

    async def send_not_modified(self) -> None:
        """Sends 304 in response to a conditional request."""
        self._send(h11.Response(status_code=304, headers=[]))
        await self.end_response()

    async def start_stream(self, headers: tuple[tuple[str, str], ...] = ()) -> None:
        """Sends the response head of a stream of server-sent events."""
        all_headers = [
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
            *self.common_headers,
            *headers,
        ]
        self._send(h11.Response(status_code=200, headers=all_headers))
        await self.writer.drain()

    async def start_unframed_response(
        self, content_type: str, headers: tuple[tuple[str, str], ...] = ()
    ) -> None:
        """Sends the head of a response that ends with its connection."""
        all_headers = [("Content-Type", content_type), ("Connection", "close")]
        all_headers += [*self.common_headers, *headers]
        lines = "".join(f"{name}: {value}\r\n" for name, value in all_headers)
        await self.send_raw_bytes(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())

    async def send_raw_bytes(self, data: bytes) -> None:
        """Sends bytes past the HTTP protocol."""
        self.writer.write(data)
        await self.writer.drain()

    def close_connection(self) -> None:
        """Closes the connection with FIN, whatever of the response is missing."""
        self.writer.close()

    async def send_event(self, value: object) -> None:
        """Sends one server-sent event."""
        self._send(h11.Data(data=b"data: " + json.dumps(value).encode() + b"\n\n"))
        await self.writer.drain()

    async def send_bytes(self, status: int, body: bytes) -> None:
        """Sends a complete response with a binary body."""
        headers = [("Content-Length", str(len(body))), *self.common_headers]
        self._send(h11.Response(status_code=status, headers=headers))
        self._send(h11.Data(data=body))
        await self.end_response()

    async def send_stream_bytes(self, data: bytes) -> None:
        """Sends raw bytes as part of a stream."""
        self._send(h11.Data(data=data))
        await self.writer.drain()

    def send_unsolicited_response(self, headers: tuple[tuple[str, str], ...]) -> None:
        """Sends a response that belongs to no request, ahead of the actual response."""
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
        self.writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n{lines}\r\nbad".encode())

    def is_closed(self) -> bool:
        """Returns whether the client has closed the connection."""
        return self.writer.transport.is_closing() or self.reader.at_eof()

    async def end_response(self) -> None:
        """Completes the response."""
        self._send(h11.EndOfMessage())
        await self.writer.drain()

    def abort_connection(self) -> None:
        """Aborts the connection without completing the response."""
        self.writer.transport.abort()

    def _send(self, event: h11.Event) -> None:
        data = self.protocol.send(event)
        if data:
            self.writer.write(data)


Handler = Callable[[Exchange], Awaitable[None]]


async def serve(ip: str, port: int, handler: Handler) -> None:
    """Serves requests until the task is cancelled."""

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await _serve_connection(reader, writer, handler)
        except (ConnectionError, h11.ProtocolError):
            writer.transport.abort()
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, ip, port)
    async with server:
        await server.serve_forever()


async def _serve_connection(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, handler: Handler
) -> None:
    protocol = h11.Connection(our_role=h11.SERVER)
    while True:
        request = await _read_request(reader, protocol)
        if request is None:
            return
        await handler(Exchange(request, protocol, writer, reader))
        if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
            return
        protocol.start_next_cycle()


async def _read_request(
    reader: asyncio.StreamReader, protocol: h11.Connection
) -> StandinRequest | None:
    head: h11.Request | None = None
    body: list[bytes] = []
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await reader.read(MAX_RECEIVE_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return _build_request(head, b"".join(body))
        else:
            return None


def _build_request(head: h11.Request, body: bytes) -> StandinRequest:
    path, _, query = head.target.decode().partition("?")
    pairs = [item.partition("=") for item in query.split("&") if item]
    return StandinRequest(
        method=head.method.decode(),
        path=path,
        query={name: value for name, _, value in pairs},
        target=head.target.decode(),
        headers={name.decode(): value.decode("latin-1") for name, value in head.headers},
        body=body,
    )


def create_standin_parser(description: str) -> argparse.ArgumentParser:
    """Returns a command-line parser with the options common to all stand-ins."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--ip", default="127.0.0.1", help="address to listen on")
    parser.add_argument("--port", type=int, required=True, help="port to listen on")
    return parser


def run_standin(arguments: argparse.Namespace, handler: Handler) -> None:
    """Serves requests until SIGTERM or SIGINT."""
    asyncio.run(_run(arguments.ip, arguments.port, handler))


async def _run(ip: str, port: int, handler: Handler) -> None:
    task = asyncio.ensure_future(serve(ip, port, handler))
    for signo in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signo, task.cancel)
    try:
        await task
    except asyncio.CancelledError:
        return

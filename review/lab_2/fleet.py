"""Stand-ins for the platform, servers and clients, and relay hosts as separate processes.

Used by the scripts in `review/6` and later. The relay hosts run with the command of
`deploy/system.toml`; all else runs in the process of the script. Every address is a loopback
address.
"""

import asyncio
import base64
import contextlib
import copy
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 20.0
STATUS_OK = 200
# Attempts to run a case, and the time for each.
ATTEMPTS = 2
ATTEMPT_S = 58.0
HEARTBEAT_S = 1.2
# Length of the two offsets before the records of a page.
PAGE_HEADER_BYTES = 16
MAX_KEYS_PER_PAGE = 500
Headers = dict[str, str]


class Record:
    """The record of one run: what was sent, answered and run, with the time since its start."""

    def __init__(self, path: Path) -> None:
        """Opens the file, which replaces the one of the run before."""
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def write(self, what: str, **fields: object) -> None:
        """Writes one line."""
        at_s = time.monotonic() - self._start_s
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at_s:8.3f} {what} {text}\n")
        self._file.flush()


class Request:
    """One HTTP request that a stand-in has received."""

    def __init__(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Splits the target."""
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        pairs = [item.partition("=") for item in query.split("&") if item]
        self.query = {name: value for name, _, value in pairs}


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers] | None:
    """Reads a first line and headers, whose names become lower case; None at the end."""
    try:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.strip().lower(): value.strip() for name, _, value in pairs}


class Peer:
    """One connection that a stand-in has accepted."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Wraps the streams."""
        self.reader, self.writer = reader, writer
        self.is_idle = True

    def reset(self) -> None:
        """Resets the connection."""
        sock = self.writer.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    async def send(self, status: int, body: bytes, headers: Headers | None = None) -> None:
        """Sends a whole answer with its length."""
        head = {"Content-Length": str(len(body)), **(headers or {})}
        await self.send_head(status, head)
        self.writer.write(body)
        await self.writer.drain()

    async def send_head(self, status: int, headers: Headers) -> None:
        """Sends status line and headers."""
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        self.writer.write(f"HTTP/1.1 {status} x\r\n{lines}\r\n".encode("latin-1"))
        await self.writer.drain()

    async def send_chunk(self, data: bytes) -> None:
        """Sends one chunk; an empty one ends the answer."""
        self.writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        await self.writer.drain()


class HttpStandin:
    """A small HTTP/1.1 server."""

    def __init__(self, record: Record) -> None:
        """Starts without a port."""
        self.record = record
        self.port = 0
        self.peers: set[Peer] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a free port, or on the one that it had before."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Ends as a killed process does: all connections end, and new ones are refused."""
        if self._server is not None:
            self._server.close()
        for peer in list(self.peers):
            peer.writer.transport.abort()

    def reset_idle(self) -> int:
        """Resets the connections on which no request is being answered."""
        idle = [peer for peer in self.peers if peer.is_idle]
        for peer in idle:
            peer.reset()
        return len(idle)

    async def handle(self, peer: Peer, request: Request) -> None:
        """Answers a request."""
        raise NotImplementedError

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Peer(reader, writer)
        self.peers.add(peer)
        try:
            while (head := await read_head(reader)) is not None:
                peer.is_idle = False
                method, target, _ = head[0].split(" ", 2)
                body = await reader.readexactly(int(head[1].get("content-length", "0")))
                await self.handle(peer, Request(method, target, head[1], body))
                peer.is_idle = True
                if writer.is_closing():
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.peers.discard(peer)
            writer.close()


class Topic:
    """Records of a topic of the store."""

    def __init__(self) -> None:
        """Starts empty."""
        self.first = 0
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}

    @property
    def end(self) -> int:
        """Returns the offset after the last record."""
        return self.first + len(self.records)

    def append(self, record: bytes, *, keyed: bool) -> None:
        """Appends one record."""
        if keyed:
            key = record[1 : 1 + record[0]].decode("utf-8", "replace")
            value = record[1 + record[0] :]
            if value:
                self.newest[key] = (self.end, value)
            else:
                self.newest.pop(key, None)
        self.records.append(record)


class Store(HttpStandin):
    """The platform's metadata store: a log with conditional appends and eras."""

    def __init__(self, record: Record) -> None:
        """Starts without topics, in the first era."""
        super().__init__(record)
        self.topics: dict[str, Topic] = {}
        self.era = 1
        self.changed = asyncio.Event()
        self.copies: list[tuple[float, dict[str, Topic]]] = []
        # Called after each append with the topic's name.
        self.on_append: Callable[[str], None] = lambda _name: None

    def put(self, topic: str, key: str, value: object) -> None:
        """Writes a keyed record for the operator or a server; None deletes the key."""
        content = b"" if value is None else json.dumps(value).encode()
        self.append(topic, [bytes([len(key)]) + key.encode() + content])

    def copy(self) -> dict[str, Topic]:
        """Returns a copy of all topics."""
        return copy.deepcopy(self.topics)

    def restore(self, topics: dict[str, Topic]) -> None:
        """Comes back from an older copy, in a new era."""
        self.topics = copy.deepcopy(topics)
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()
        self.record.write("store came back older", era=self.era)

    def _topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic())

    def append(self, name: str, records: list[bytes]) -> int:
        """Appends records and returns the offset of the first."""
        topic = self._topic(name)
        offset = topic.end
        for record in records:
            topic.append(record, keyed=name.startswith("keyed."))
        self.changed.set()
        self.changed = asyncio.Event()
        self.on_append(name)
        return offset

    async def handle(self, peer: Peer, request: Request) -> None:
        """Answers one call."""
        name = request.query.get("topic", "")
        if request.path == "/log-append":
            status, body = self._on_append(name, request)
        elif request.path == "/log-newest":
            status, body = 200, json.dumps(self._newest(name, request)).encode()
        elif request.path == "/log-read":
            status, body = await self._read(name, request)
        else:
            status, body = 404, b"{}"
        await peer.send(status, body, {"Store-Era": str(self.era)})

    def _on_append(self, name: str, request: Request) -> tuple[int, bytes]:
        if name in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        topic, at = self._topic(name), request.query.get("at")
        if at is not None and int(at) != topic.end:
            return 412, json.dumps({"endOffset": topic.end}).encode()
        records, position = [], 0
        while position < len(request.body):
            (length,) = struct.unpack_from(">I", request.body, position)
            records.append(request.body[position + 4 : position + 4 + length])
            position += 4 + length
        offset = self.append(name, records)
        return 200, json.dumps({"offset": offset, "endOffset": topic.end}).encode()

    def _newest(self, name: str, request: Request) -> dict[str, Any]:
        topic = self._topic(name)
        after = request.query.get("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in (
                (key, topic.newest[key]) for key in keys[:MAX_KEYS_PER_PAGE]
            )
        ]
        return {"items": items, "hasMore": len(keys) > MAX_KEYS_PER_PAGE, "endOffset": topic.end}

    async def _read(self, name: str, request: Request) -> tuple[int, bytes]:
        source = int(request.query["source"])
        end_s = time.monotonic() + int(request.query.get("waitMs", "0")) / 1000.0
        while True:
            topic, changed = self._topic(name), self.changed
            if source < topic.first or source > topic.end:
                return 410, json.dumps({"firstOffset": topic.first}).encode()
            left_s = end_s - time.monotonic()
            if topic.end > source or left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)
        body = struct.pack(">QQ", topic.end, topic.first)
        most = int(request.query.get("maxKb", "1024")) * 1024
        for record in topic.records[source - topic.first :]:
            if len(body) + len(record) > most and len(body) > PAGE_HEADER_BYTES:
                break
            body += struct.pack(">I", len(record)) + record
        return 200, body


class Runner(HttpStandin):
    """A runner of a service; a model runner if it has a phase."""

    def __init__(
        self, record: Record, store: Store, name: str, service: str, phase: str = ""
    ) -> None:
        """Starts without a port; `register` writes its entry."""
        super().__init__(record)
        self.store, self.name, self.service, self.phase = store, name, service, phase
        self.zone = "fes-a"
        self.version = "v1"
        self.born = int(time.time() * 1000)
        self.beat = 0
        self.orders = 0
        # Runs that have begun, by attempt id, and all arrivals.
        self.ran: list[str] = []
        self.arrived: list[str] = []
        self._beats: asyncio.Task[None] | None = None
        # Time until the first token or the answer of the next requests.
        self.delay_s = 0.02
        self.events = 4
        self.gap_s = 0.01

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Returns the runner's entry in the store."""
        self.beat += 1
        fields = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": 64 if self.phase else 6,
            "state": state,
            "coldLeftMs": 0,
            "seq": self.beat,
            "born": self.born,
        }
        if self.phase:
            fields["phase"] = self.phase
            fields["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return fields

    def register(self) -> None:
        """Writes the entry, and again with each heartbeat from now on."""
        self.store.put("keyed.servers", self.name, self.entry())
        if self._beats is None:
            self._beats = asyncio.create_task(self._beat())

    def stop_beats(self) -> None:
        """Writes no entries until `register` is called again."""
        if self._beats is not None:
            self._beats.cancel()
            self._beats = None

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.store.put("keyed.servers", self.name, self.entry())

    async def handle(self, peer: Peer, request: Request) -> None:
        """Answers a request."""
        expected = request.headers.get("expect-instance", self.name)
        if expected != self.name:
            await peer.send(421, b"", {"Instance-Id": self.name})
        elif request.path == "/health":
            await peer.send(200, b"", {"Instance-Id": self.name})
        elif request.path == "/report":
            await self._report(peer)
        elif request.path == "/order":
            await self._order(peer, request)
        elif request.path.startswith("/kv-handle/"):
            await peer.send(200, b"")
        elif request.headers.get("stage") == "prefill":
            await self._prefill(peer, request)
        else:
            await self.run(peer, request)

    async def _report(self, peer: Peer) -> None:
        report = {"phase": self.phase, "seq": self.orders, "born": self.born, "busy": False}
        report["models"] = [{"name": "m", "version": 1, "adapters": []}]
        body = json.dumps(report).encode()
        await peer.send(200, body, {"Content-Type": "application/json"})

    async def _order(self, peer: Peer, request: Request) -> None:
        fields = json.loads(request.body)
        if fields.get("expected", self.orders) != self.orders:
            await peer.send(409, b"{}")
            return
        self.orders += 1
        self.record.write("order", runner=self.name, phase=fields.get("phase"))
        self.phase = fields.get("phase", self.phase)
        self.register()
        await peer.send(202, b"{}")

    async def _prefill(self, peer: Peer, request: Request) -> None:
        attempt = request.headers.get("attempt-id", "")
        self.record.write("prefill", runner=self.name, id=attempt)
        await asyncio.sleep(0.01)
        body = {"kvHandle": os.urandom(6).hex(), "tokens": 100, "version": 1}
        headers = {"Content-Type": "application/json", "Attempt-Id": attempt}
        headers["Server-Seal"] = f"{self.name}.{attempt}"
        await peer.send(200, json.dumps(body).encode(), headers)

    async def run(self, peer: Peer, request: Request) -> None:
        """Runs a request: streams events, or sends one body."""
        attempt = request.headers.get("attempt-id", "")
        self.arrived.append(attempt)
        self.record.write("arrived", runner=self.name, id=attempt)
        await self.wait_for_turn(peer, attempt)
        if peer.reader.at_eof() or peer.writer.is_closing():
            self.record.write("left before it ran", runner=self.name, id=attempt)
            return
        self.ran.append(attempt)
        self.record.write("ran", runner=self.name, id=attempt)
        headers = {"Attempt-Id": attempt, "Server-Seal": f"{self.name}.{attempt}"}
        if not self.phase:
            await peer.send(200, f"result of {attempt}".encode(), headers)
            return
        headers |= {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        await peer.send_head(200, headers | {"Weight-Versions": "1"})
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            await peer.send_chunk(f"id: {number}\ndata: {attempt} {number}\n\n".encode())
            await asyncio.sleep(self.gap_s)
        await peer.send_chunk(b"")

    async def wait_for_turn(self, peer: Peer, attempt: str) -> None:
        """Waits until the request begins to run."""
        await asyncio.sleep(self.delay_s)


class Relay:
    """One relay host: its settings and its process."""

    def __init__(self, record: Record, directory: Path, name: str, settings: str) -> None:
        """Chooses ports and writes the settings.

        Args:
            record: Record of the run.
            directory: Temporary folder.
            name: Name of the host.
            settings: Sections of the settings file after `[listen]`.
        """
        self.record, self.name = record, name
        self.port, self.ready_port, self.peer_port, metrics_port = free_ports(4)
        self._log = directory / f"{name}.log"
        self._file = directory / f"{name}.ini"
        self._settings = f"""
[listen]
callers = 127.0.0.1:{self.port}
readiness = 127.0.0.1:{self.ready_port}
peers = 127.0.0.1:{self.peer_port}
metrics = 127.0.0.1:{metrics_port}
{settings}"""
        self.process: asyncio.subprocess.Process | None = None
        # How often the process was started.
        self.starts = 0

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        self.starts += 1
        self._write_settings()
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BERYLQUAY_NODE_FILE": str(self._file),
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("python3", "-m", "berylquay.relay"),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record.write("start", host=self.name)

    def change_settings(self, more: str) -> None:
        """Writes the settings file anew, with more lines at its end."""
        self._settings += more
        self._write_settings()

    def _write_settings(self) -> None:
        first_start = "true" if self.starts == 1 else "false"
        head = f"[host]\nname = {self.name}\ndata_centre = fes-a\nregion = fes\n"
        head += f"first_start = {first_start}\n[regions]\nfes-a = fes\n"
        self._file.write_text(head + self._settings, encoding="utf-8")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.record.write("signal", host=self.name, signal=number.name)

    async def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Tells whether `GET /ready` is answered with 200."""
        try:
            answer = await ask(self.ready_port, "GET", "/ready", {}, timeout_s=1.0)
        except (OSError, TimeoutError):
            return False
        return answer.status == STATUS_OK

    async def wait_ready(self) -> None:
        """Waits until the host is ready."""
        end_s = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > end_s:
                raise CannotRunError(f"{self.name} is not ready:\n{self.log()[-2000:]}")
            await asyncio.sleep(0.05)
        self.record.write("ready", host=self.name)

    def log(self) -> str:
        """Returns what the process has logged."""
        return self._log.read_text(encoding="utf-8", errors="replace")


class CannotRunError(Exception):
    """The case could not run."""


class Answer:
    """What a client has received; `is_complete` is false if the answer broke off."""

    def __init__(self, status: int, headers: Headers, body: bytes, *, is_complete: bool) -> None:
        """Keeps the parts."""
        self.status, self.headers, self.body = status, headers, body
        self.is_complete = is_complete


class Client:
    """A client that keeps its connection open for many requests."""

    def __init__(self) -> None:
        """Starts without a connection."""
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def open(self, port: int) -> None:
        """Connects to a host."""
        self._streams = await asyncio.open_connection("127.0.0.1", port)

    def close(self) -> None:
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].close()

    def send(self, method: str, target: str, headers: Headers, body: bytes = b"") -> None:
        """Sends a request."""
        if self._streams is None:
            raise CannotRunError("the client has no connection")
        fields = {"Host": "calls.example", **headers}
        if body:
            fields["Content-Length"] = str(len(body))
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        self._streams[1].write(
            f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode("latin-1") + body
        )

    async def receive(self) -> Answer:
        """Reads the answer."""
        if self._streams is None:
            raise CannotRunError("the client has no connection")
        return await read_answer(self._streams[0])


async def ask(
    port: int,
    method: str,
    target: str,
    headers: Headers,
    body: bytes = b"",
    *,
    timeout_s: float = 15.0,
) -> Answer:
    """Sends one request on a new connection and reads the answer."""
    client = Client()
    async with asyncio.timeout(timeout_s):
        await client.open(port)
        try:
            client.send(method, target, headers, body)
            return await client.receive()
        finally:
            client.close()


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Reads one answer; status 0 if the connection ends without one."""
    head = await read_head(reader)
    if head is None:
        return Answer(0, {}, b"", is_complete=False)
    status, headers, body = int(head[0].split(" ")[1]), head[1], b""
    try:
        if headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        body += getattr(error, "partial", b"")
        return Answer(status, headers, body, is_complete=False)
    return Answer(status, headers, body, is_complete=True)


def free_ports(count: int) -> list[int]:
    """Returns free ports below those that the system gives to outgoing connections."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(12000, 32000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            if port not in ports:
                ports.append(port)
    return ports


def settings(store: Store, more: str = "") -> str:
    """Returns settings with the bounds of the small deployments."""
    return f"""
[store]
address = 127.0.0.1:{store.port}
[limits]
memory_mb = 300
max_sockets = 4100
[bounds]
grace_s = 8
configuration_apply_ms = 2500
leaving_apply_ms = 2500
retry_ratio = 0.2
retry_window_s = 10
retry_extra = 58
lease_ms = 3000
{more}"""


def route(name: str, kind: str, service: str, **changes: object) -> dict[str, Any]:
    """Returns a route of a configuration."""
    return {
        "name": name,
        "host": "calls.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 10000 if kind == "streaming" else 4000,
        "goalMs": 800 if kind == "streaming" else 300,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "sessionAffinity": kind == "streaming",
        "resumable": False,
        "gapTargetMs": 200,
        **changes,
    }


def configuration(routes: list[dict[str, Any]], version: int = 1, **more: object) -> dict[str, Any]:
    """Returns a configuration with a model service `lm` and a plain service `app`."""
    engine = {
        "slots": 64,
        "kvCapTokens": 570809,
        "kvTokenBytes": 163840,
        "linkMbps": 1500000.0,
        "handleTtlS": 5,
        "roleSwitchS": 2,
    }
    services = [
        {"name": "lm", "healthPath": "/health", "maxConns": 370, "engine": engine},
        {"name": "app", "healthPath": "/health", "maxConns": 110},
    ]
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304}
    limits |= {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    fields = {"version": version, "routes": routes, "services": services, "limits": limits}
    return {**fields, **more}


def has_trouble() -> bool:
    """Tells whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: str, case: Callable[[Record, Path], Awaitable[bool]]) -> None:
    """Runs a case, and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    Args:
        folder: Folder of the case, in which `record.txt` is written.
        case: Runs the case in a temporary folder; returns whether the rule held. It ends the
            processes that it starts.
    """
    record = Record(Path(folder) / "record.txt")

    async def limited() -> bool:
        with tempfile.TemporaryDirectory() as directory:
            async with asyncio.timeout(ATTEMPT_S):
                return await case(record, Path(directory))

    # Another process may take a port between its choice and its use.
    for _ in range(ATTEMPTS):
        try:
            held = asyncio.run(limited())
        except Exception:  # noqa: BLE001 (any error means that the case could not run)
            record.write("could not run", error=traceback.format_exc())
            continue
        record.write("rule held" if held else "rule broken", trouble=has_trouble())
        sys.exit(0 if held else 1)
    sys.exit(2)

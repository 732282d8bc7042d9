"""What the scripts of this folder share: processes, the store, plain runners and callers.

Runners and callers are small stand-ins that live in the script's own process. The relay and the
store run as processes of their own, the relay with the command of the deploy file.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "calls.example"
HEARTBEAT_S = 1.2
STATUS_OK = 200
HELD = 0
# Not 1, with which Python exits by itself; `run.sh` exits with 1 for it.
BROKEN = 10
COULD_NOT_RUN = 20
START_TIMEOUT_S = 20.0


def has_trouble() -> bool:
    """Returns whether the script is to bring about its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(ip: str = "127.0.0.1") -> int:
    """Returns a port that is free now."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1])


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, path: Path) -> None:
        """Opens the file anew."""
        self._file = path.open("w", encoding="utf-8")
        self.started_s = time.monotonic()

    def write(self, text: str) -> None:
        """Writes one line with the time since the start."""
        self._file.write(f"{time.monotonic() - self.started_s:8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Writes one line and prints it."""
        self.write(text)
        print(text)


@dataclass
class Reply:
    """What a caller has received for one request."""

    # 0 if no status line came.
    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool
    # Whether the request was the first one of its connection.
    is_first: bool
    detail: str = ""


@dataclass
class Arrival:
    """A request that has reached a runner."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    at_s: float


def encode_reply(status: int, headers: Mapping[str, str], body: bytes) -> bytes:
    """Returns an HTTP answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def encode_request_head(
    method: str, path: str, attempt: str, body_bytes: int, deadline_ms: int
) -> bytes:
    """Returns the head of a caller's request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {attempt}"]
    lines.append(f"Deadline-Ms: {deadline_ms}")
    if body_bytes or method == "POST":
        lines.append(f"Content-Length: {body_bytes}")
    return "\r\n".join([*lines, "", ""]).encode()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Returns the first line and the headers, or None at the end of the connection."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = text[:-4].split("\r\n")
    pairs = [line.partition(":") for line in lines]
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


# Answers one request that the runner has begun to run: the bytes, or None to crash.
Work = Callable[[Arrival], Awaitable[bytes | None]]


@dataclass
class Runner:
    """A runner of a plain service, which registers itself and may crash."""

    store: "Store"
    service: str
    number: int
    work: Work
    record: Record
    ip: str = "127.0.0.1"
    down_s: float = 3.0
    port: int = 0
    born: int = 0
    incarnation: int = 0
    is_up: bool = False
    has_ended: bool = False
    crashes: list[float] = field(default_factory=list)
    ran: list[Arrival] = field(default_factory=list)
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _tasks: set["asyncio.Task[None]"] = field(default_factory=set)
    _seq: int = 0

    @property
    def name(self) -> str:
        """Returns the id of the present incarnation."""
        return f"{self.service}-{self.number}-{self.incarnation}"

    async def start(self) -> None:
        """Begins a new incarnation and registers it."""
        self.incarnation += 1
        self.born = int(time.time() * 1000)
        self._seq = 0
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.is_up = True
        await self._beat()
        self._spawn(self._beat_on(self.incarnation))

    def crash(self) -> None:
        """Ends the incarnation without a word; its entry is removed after three heartbeats."""
        if not self.is_up:
            return
        self.is_up = False
        self.crashes.append(time.monotonic())
        self.record.write(f"runner {self.name} crashes")
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._spawn(self._lapse(self.name))
        if not self.has_ended:
            self._spawn(self._come_back())

    def lose(self) -> None:
        """Crashes for good."""
        self.has_ended = True
        self.crash()

    def _spawn(self, coroutine: "Awaitable[None]") -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _come_back(self) -> None:
        await asyncio.sleep(self.down_s)
        await self.start()

    async def _lapse(self, name: str) -> None:
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.store.put("keyed.servers", name, None)

    async def _beat_on(self, incarnation: int) -> None:
        while self.is_up and self.incarnation == incarnation:
            await asyncio.sleep(HEARTBEAT_S)
            if self.is_up and self.incarnation == incarnation:
                await self._beat()

    async def _beat(self) -> None:
        self._seq += 1
        entry = {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": "fes-a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": self._seq,
            "born": self.born,
        }
        await self.store.put("keyed.servers", self.name, entry)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await read_head(reader)
        if head is None:
            return False
        first, headers = head
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        method, path, _ = first.split(" ")
        attempt = headers.get("attempt-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(encode_reply(421, {"Not-Executed": "1", "Attempt-Id": attempt}, b""))
            return True
        arrival = Arrival(method, path, headers, body, time.monotonic())
        self.ran.append(arrival)
        self.record.write(f"runner {self.name} runs {attempt} {method} {path}")
        incarnation = self.incarnation
        reply = await self.work(arrival)
        if incarnation != self.incarnation or not self.is_up:
            return False
        if reply is None:
            self.crash()
            return False
        self.record.write(f"runner {self.name} answers {attempt} with {reply[9:12].decode()}")
        writer.write(reply)
        await writer.drain()
        return True

    def seal(self, arrival: Arrival) -> dict[str, str]:
        """Returns the headers that each answer of a run bears."""
        attempt = arrival.headers.get("attempt-id", "")
        return {"Attempt-Id": attempt, "Server-Seal": f"{self.name}.{attempt}"}


class Caller:
    """A caller that sends one request after the other on a kept connection."""

    def __init__(self, name: str, address: tuple[str, int], record: Record) -> None:
        """Starts without a connection."""
        self._name = name
        self._address = address
        self._record = record
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def close(self) -> None:
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None

    async def send(
        self, method: str, path: str, attempt: str, body: bytes = b"", deadline_ms: int = 4000
    ) -> Reply:
        """Sends one request and returns what came back."""
        is_first = self._streams is None
        self._record.write(
            f"{self._name} sends {attempt} {method} {path}" + (" (new)" if is_first else "")
        )
        try:
            async with asyncio.timeout(deadline_ms / 1000.0 + 1.0):
                head = encode_request_head(method, path, attempt, len(body), deadline_ms)
                reply = await self._exchange(head + body, is_first)
        except (OSError, TimeoutError, asyncio.LimitOverrunError) as error:
            reply = Reply(0, {}, b"", False, is_first, type(error).__name__)
        self._record.write(
            f"{self._name} gets {reply.status or 'nothing'} for {attempt},"
            f" {len(reply.body)} bytes, {'complete' if reply.is_complete else 'INCOMPLETE'}"
            f" {reply.headers.get('server-seal', 'no seal')} {reply.detail}"
        )
        if not reply.is_complete or reply.headers.get("connection", "").lower() == "close":
            self.close()
        return reply

    async def _exchange(self, request: bytes, is_first: bool) -> Reply:
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self._address)
        reader, writer = self._streams
        writer.write(request)
        head = await read_head(reader)
        if head is None:
            return Reply(0, {}, b"", False, is_first, "closed without an answer")
        first, headers = head
        status = int(first.split(" ")[1])
        if "transfer-encoding" in headers:
            return await self._read_chunks(reader, status, headers, is_first)
        wanted = int(headers.get("content-length", "0"))
        try:
            received = await reader.readexactly(wanted)
        except asyncio.IncompleteReadError as error:
            detail = f"closed after {len(error.partial)} of {wanted} bytes"
            return Reply(status, headers, error.partial, False, is_first, detail)
        return Reply(status, headers, received, True, is_first)

    async def _read_chunks(
        self, reader: asyncio.StreamReader, status: int, headers: dict[str, str], is_first: bool
    ) -> Reply:
        """Reads a body in chunks to its end, or to that of the connection."""
        end, size = b"", 0
        while not end.endswith(b"0\r\n\r\n"):
            data = await reader.read(65536)
            if not data:
                return Reply(status, headers, b"", False, is_first, f"closed after {size} bytes")
            end, size = (end + data)[-5:], size + len(data)
        return Reply(status, headers, b"", True, is_first, f"{size} bytes of chunks")


class Store:
    """The project's stand-in of the platform's store, as a process."""

    def __init__(self, port: int) -> None:
        """Takes the port that it listens on."""
        self.port = port

    def put_now(self, topic: str, key: str, value: object) -> None:
        """Writes on behalf of the operator or a runner."""
        text = None if value is None else json.dumps(value)
        data = json.dumps({"topic": topic, "key": key, "value": text}).encode()
        url = f"http://127.0.0.1:{self.port}/put"
        with urllib.request.urlopen(urllib.request.Request(url, data=data), timeout=5):
            pass

    async def put(self, topic: str, key: str, value: object) -> None:
        """Writes without holding up the runners."""
        await asyncio.to_thread(self.put_now, topic, key, value)


class Processes:
    """The processes of a script; all are ended at its end."""

    def __init__(self) -> None:
        """Makes the temporary folder."""
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.started: dict[str, subprocess.Popen[bytes]] = {}
        self.ready_ports: dict[str, int] = {}

    def start(self, name: str, *command: str, **variables: str) -> subprocess.Popen[bytes]:
        """Starts a program at the repository's root, with the built libraries."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            **variables,
        }
        with (self.directory / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                list(command), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.started[name] = process
        return process

    def start_store(self) -> Store:
        """Starts the store and waits until it listens."""
        port = free_port()
        self.start(
            "store", sys.executable, "-m", "standins.platform_store", "--port", str(port), "--era=1"
        )
        wait_until_listening("127.0.0.1", port)
        return Store(port)

    def start_relay(
        self, store: Store, name: str, ip: str = "127.0.0.1"
    ) -> tuple[tuple[str, int], subprocess.Popen[bytes]]:
        """Starts a relay host and waits until it is ready; returns its callers' address."""
        ports = [free_port(ip) for _ in range(4)]
        path = self.directory / f"{name}.ini"
        path.write_text(make_settings(name, ip, ports, store.port), encoding="utf-8")
        process = self.start(
            name, "python3", "-m", "berylquay.relay", BERYLQUAY_NODE_FILE=str(path)
        )
        self.ready_ports[name] = ports[1]
        wait_until_listening(ip, ports[0])
        wait_until_ready(ip, ports[1])
        return (ip, ports[0]), process

    def end_all(self) -> None:
        """Ends what is still running and removes the folder."""
        for process in self.started.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def make_settings(name: str, ip: str, ports: list[int], store_port: int) -> str:
    """Returns what `deploy/host.ini` gives for a small deployment."""
    return f"""
[host]
name = {name}
data_centre = fes-a
region = fes
first_start = true

[regions]
fes-a = fes

[listen]
callers = {ip}:{ports[0]}
readiness = {ip}:{ports[1]}
peers = {ip}:{ports[2]}
metrics = {ip}:{ports[3]}

[store]
address = 127.0.0.1:{store_port}

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
"""


def make_route(name: str, kind: str, service: str, **changes: object) -> dict[str, object]:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 4000,
        "goalMs": 300,
        "priority": 2,
        "service": service,
        "maxAttempts": 1,
        "sessionAffinity": False,
        "resumable": False,
        **changes,
    }


def make_configuration(*routes: dict[str, object]) -> dict[str, object]:
    """Returns a configuration of plain services."""
    names = sorted({str(route["service"]) for route in routes})
    services = [{"name": name, "healthPath": "/health", "maxConns": 110} for name in names]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {"version": 7, "routes": list(routes), "services": services, "limits": limits}


def wait_until_listening(ip: str, port: int) -> None:
    """Waits until a process listens."""
    _wait(lambda: _can_connect(ip, port))


def wait_until_ready(ip: str, port: int) -> None:
    """Waits until a relay host says that it is ready."""
    _wait(lambda: _is_ready(ip, port))


def _wait(condition: Callable[[], bool]) -> None:
    end_s = time.monotonic() + START_TIMEOUT_S
    while not condition():
        if time.monotonic() > end_s:
            raise TimeoutError("a process did not start")
        time.sleep(0.05)


def _can_connect(ip: str, port: int) -> bool:
    with socket.socket() as sock:
        return sock.connect_ex((ip, port)) == 0


def _is_ready(ip: str, port: int) -> bool:
    try:
        with urllib.request.urlopen(f"http://{ip}:{port}/ready", timeout=2) as response:
            return bool(response.status == STATUS_OK)
    except OSError:
        return False


def run_case(folder: str, case: Callable[[Processes, Record], Awaitable[int]]) -> None:
    """Runs a case and exits with its result."""
    record = Record(Path(folder) / "record.txt")
    processes = Processes()
    result = COULD_NOT_RUN
    try:
        result = asyncio.run(case(processes, record))
    except Exception as error:  # noqa: BLE001 (whatever went wrong, the case could not run)
        record.say(f"the case could not run: {error!r}")
    finally:
        processes.end_all()
    record.say({HELD: "HELD", BROKEN: "BROKEN"}.get(result, "COULD NOT RUN"))
    sys.exit(result)

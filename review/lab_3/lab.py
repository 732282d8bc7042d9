"""A small deployment: the store, servers and relay hosts as processes, and a record of a case."""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from http import HTTPStatus
from http.client import HTTPConnection, HTTPException
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
IP = "127.0.0.1"
HOST_NAME = "calls.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
_GIVEN_PORTS: set[int] = set()


class CaseError(Exception):
    """The case could not run."""


def has_trouble() -> bool:
    """Tells whether the case includes its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Returns a port that is free for TCP and for UDP, another one each time."""
    while True:
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind((IP, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((IP, port))
            except OSError:
                continue
            if port not in _GIVEN_PORTS:
                _GIVEN_PORTS.add(port)
                return int(port)


def call_json(port: int, method: str, path: str, value: object = None) -> object:
    """Calls a stand-in and returns its JSON answer."""
    connection = HTTPConnection(IP, port, timeout=10)
    try:
        body = None if value is None else json.dumps(value)
        connection.request(method, path, body)
        return json.loads(connection.getresponse().read())
    finally:
        connection.close()


def wait_until(condition: Callable[[], bool], timeout_s: float, what: str) -> None:
    """Waits for a condition.

    Raises:
        CaseError: It was still false after `timeout_s`.
    """
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end_s:
            raise CaseError(f"timed out: {what}")
        time.sleep(0.02)


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_s = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text: str) -> None:
        """Writes a line with the time since the start."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started_s:8.3f} {text}\n")
            self._file.flush()


class Host:
    """One relay host: its settings and its present process."""

    def __init__(self, name: str, settings: Path, ports: list[int], log: Path) -> None:
        self.name = name
        self.settings = settings
        self.ports = ports
        self.log = log
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def callers_port(self) -> int:
        """Returns the port on which it accepts callers."""
        return self.ports[0]

    def is_ready(self) -> bool:
        """Tells whether it says that it is ready."""
        connection = HTTPConnection(IP, self.ports[1], timeout=2)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == HTTPStatus.OK
        except (OSError, HTTPException):
            return False
        finally:
            connection.close()


class Lab:
    """The processes of one case. Use as a context manager, so that all of them end."""

    def __init__(self, case_folder: Path) -> None:
        self.record = Record(case_folder)
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.hosts: list[Host] = []
        self.store_port = 0
        self._processes: list[subprocess.Popen[bytes]] = []
        self._environment = {
            **{name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ},
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }

    def __enter__(self) -> "Lab":
        """Returns the lab."""
        return self

    def __exit__(self, *_error: object) -> None:
        """Ends all processes and removes the temporary folder."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    def start(
        self, name: str, module: str, *arguments: str, **variables: str
    ) -> subprocess.Popen[bytes]:
        """Starts a Python module of the repository as a process."""
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                ["python3", "-m", module, *arguments],
                cwd=ROOT,
                env={**self._environment, **variables},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._processes.append(process)
        return process

    def start_standin(self, name: str, module: str, *arguments: str, port: int = 0) -> int:
        """Starts a stand-in that listens, and returns its port."""
        port = port or free_port()
        self.start(name, module, "--port", str(port), *arguments)
        wait_for_listener(port, name)
        return port

    def start_store(self) -> None:
        """Starts the stand-in of the platform's store, which states its era in all answers."""
        self.store_port = self.start_standin("store", "review.lab_3.store", "--era", "1")

    def put_bytes(self, topic: str, key: bytes, value: object) -> None:
        """Writes a record whose key may be any bytes, as another writer does."""
        fields = {"topic": topic, "key": key.hex(), "value": json.dumps(value)}
        call_json(self.store_port, "POST", "/put-bytes", fields)

    def put(self, topic: str, key: str, value: object) -> None:
        """Writes a record as the operator or a server does; None removes the key."""
        text = None if value is None else json.dumps(value)
        call_json(self.store_port, "POST", "/put", {"topic": topic, "key": key, "value": text})

    def register(self, name: str, pool: str, port: int, **changes: object) -> None:
        """Writes the entry of a server."""
        self.put("keyed.servers", name, {**make_entry(pool, port), **changes})

    def add_host(self, name: str, more_settings: str = "") -> Host:
        """Writes the settings of a relay host and starts it."""
        ports = [free_port() for _ in range(4)]
        settings = self.folder / f"{name}.ini"
        text = make_settings(name, ports, self.store_port) + more_settings
        settings.write_text(text, encoding="utf-8")
        host = Host(name, settings, ports, self.folder / f"{name}.log")
        self.hosts.append(host)
        self.start_host(host)
        return host

    def start_host(self, host: Host) -> None:
        """Starts the process of a host, by the command of the deploy file."""
        variables = {"BERYLQUAY_NODE_FILE": str(host.settings)}
        host.process = self.start(host.name, "berylquay.relay", **variables)
        self.record.write(f"start {host.name}")

    def restart_host(self, host: Host) -> None:
        """Starts a host again that has ended; it is not the first start of the whole system."""
        text = host.settings.read_text(encoding="utf-8")
        text = text.replace("first_start = true", "first_start = false")
        host.settings.write_text(text, encoding="utf-8")
        self.start_host(host)

    def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Waits until all hosts are ready."""
        wait_until(
            lambda: all(host.is_ready() for host in self.hosts), timeout_s, "hosts are not ready"
        )

    def kill(self, *hosts: Host) -> None:
        """Kills the processes of hosts at the same moment."""
        processes = [host.process for host in hosts if host.process is not None]
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()
        self.record.write(f"killed {[host.name for host in hosts]}")


def wait_for_listener(port: int, name: str) -> None:
    """Waits until something listens on a port."""

    def is_listening() -> bool:
        try:
            with socket.create_connection((IP, port), timeout=1):
                return True
        except OSError:
            return False

    wait_until(is_listening, 20.0, f"{name} does not listen")


def make_settings(name: str, ports: list[int], store_port: int) -> str:
    """Returns a settings file as the platform makes it from `deploy/host.ini`."""
    return f"""[host]
name = {name}
data_centre = fes-a
region = fes
first_start = true

[regions]
fes-a = fes

[listen]
callers = {IP}:{ports[0]}
readiness = {IP}:{ports[1]}
peers = {IP}:{ports[2]}
metrics = {IP}:{ports[3]}

[store]
address = {IP}:{store_port}

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


def make_entry(pool: str, port: int) -> dict[str, object]:
    """Returns the entry of a server as it writes it."""
    return {
        "service": pool,
        "address": f"{IP}:{port}",
        "zone": "fes-a",
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 1,
        "born": 1000,
    }


def make_route(name: str, kind: str, service: str, **changes: object) -> dict[str, object]:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 4000,
        "goalMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "sessionAffinity": False,
        "resumable": False,
        "gapTargetMs": 150,
        **changes,
    }


def run_case(case_folder: Path, case: Callable[[Lab], bool]) -> None:
    """Runs a case, which returns whether the rule was broken, and exits with its result."""
    try:
        with Lab(case_folder) as lab:
            is_broken = case(lab)
            lab.record.write("result: the rule was broken" if is_broken else "result: it held")
    except Exception as error:  # noqa: BLE001 (status 1 is for a broken rule only)
        print(f"the case could not run: {error!r}")  # noqa: T201
        sys.exit(NOT_RUN)
    sys.exit(BROKEN if is_broken else HELD)

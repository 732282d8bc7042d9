"""Starts processes for tests and demonstrations, and ends only the processes it started."""

import json
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path
from random import Random
from typing import Final

from attrs import define, field

START_TIMEOUT_S: Final = 20.0
POLL_INTERVAL_S: Final = 0.02
FIRST_PORT: Final = 12000
END_PORT: Final = 32000

_rng: Final = Random()
_returned_ports: Final[set[int]] = set()
# First port and end (exclusive) of the range that free ports are chosen from. It lies below the
# ephemeral port range, so that no outgoing connection takes a chosen port before the process binds
# it.
_port_range: list[int] = [FIRST_PORT, END_PORT]


def limit_port_range(first_port: int, end_port: int) -> None:
    """Limits `free_port` to a range, so that concurrent processes can use disjoint ranges.

    Args:
        first_port: Lowest port of the range.
        end_port: Port after the highest of the range.
    """
    _port_range[:] = [first_port, end_port]


def free_port() -> int:
    """Returns a random port that is free now and that this function has not returned before."""
    while True:
        port = _rng.randrange(*_port_range)
        if port not in _returned_ports and _is_free(port):
            _returned_ports.add(port)
            return port


def _is_free(port: int) -> bool:
    # Hosts listen for datagrams too.
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


@define
class Process:
    """One started process and the port that it listens on."""

    name: str
    port: int
    popen: subprocess.Popen[bytes]

    def url(self, path: str) -> str:
        """Returns the URL of a path on the process's HTTP server."""
        return f"http://127.0.0.1:{self.port}{path}"

    def get(self, path: str) -> dict[str, object]:
        """Sends a GET request and returns the JSON object in the response."""
        with urllib.request.urlopen(self.url(path), timeout=5) as response:
            value: dict[str, object] = json.load(response)
            return value

    def post(self, path: str, value: object, method: str = "POST") -> dict[str, object]:
        """Sends a JSON value and returns the JSON object in the response."""
        data = json.dumps(value).encode()
        request = urllib.request.Request(self.url(path), data=data, method=method)
        with urllib.request.urlopen(request, timeout=5) as response:
            result: dict[str, object] = json.load(response)
            return result

    def pause(self) -> None:
        """Suspends the process with SIGSTOP."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a suspended process with SIGCONT."""
        self.popen.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kills the process with SIGKILL and waits until it has exited."""
        self.popen.kill()
        self.popen.wait()

    def terminate(self) -> None:
        """Sends SIGTERM to the process."""
        self.popen.terminate()


@define
class Processes:
    """All processes of one test or demonstration."""

    directory: Path
    started: list[Process] = field(factory=list)

    def start(
        self, name: str, module: str, port: int, *arguments: str, source: Path | None = None
    ) -> Process:
        """Starts a Python module as a process and waits until it listens.

        Raises `RuntimeError` if it does not listen within `START_TIMEOUT_S`.

        Args:
            name: Name of the process and of its log.
            module: Module to run.
            port: Port that it listens on.
            arguments: Its arguments.
            source: Directory whose modules are run; None for the present one.
        """
        log = (self.directory / f"{name}.log").open("ab")
        command = [sys.executable, "-m", module, *arguments]
        popen = subprocess.Popen(command, stderr=log, stdout=log, cwd=source)
        log.close()
        process = Process(name, port, popen)
        self.started.append(process)
        self._wait_until_listening(process)
        return process

    def start_standin(self, name: str, module: str, *arguments: str) -> Process:
        """Starts a stand-in on a free port."""
        port = free_port()
        return self.start(name, f"standins.{module}", port, "--port", str(port), *arguments)

    def stop_all(self) -> None:
        """Kills every process that is still running."""
        for process in self.started:
            if process.popen.poll() is None:
                process.resume()
                process.kill()

    def _wait_until_listening(self, process: Process) -> None:
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if process.popen.poll() is not None:
                break
            with socket.socket() as sock:
                if sock.connect_ex(("127.0.0.1", process.port)) == 0:
                    return
            time.sleep(POLL_INTERVAL_S)
        text = (self.directory / f"{process.name}.log").read_text(encoding="utf-8")
        # The exception may keep the caller from storing this object, so stop the processes here.
        self.stop_all()
        raise RuntimeError(f"{process.name} does not listen: {text}")

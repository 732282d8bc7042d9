"""Starts real processes for tests and demonstrations and ends exactly those that it started."""

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
POLL_S: Final = 0.02
FIRST_PORT: Final = 12000
LAST_PORT: Final = 32000

_rng: Final = Random()
_taken: Final[set[int]] = set()
# Ports from which free ones are drawn: below the range for outgoing connections, so that none of
# those takes one meanwhile.
_drawn_from: list[int] = [FIRST_PORT, LAST_PORT]


def draw_ports_from(first: int, end: int) -> None:
    """Keeps this process to a range of ports, as others draw theirs at the same time."""
    _drawn_from[:] = [first, end]


def free_port() -> int:
    """Returns a port that nothing listens on now and that was not returned before."""
    while True:
        port = _rng.randrange(*_drawn_from)
        if port not in _taken and _is_free(port):
            _taken.add(port)
            return port


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
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
        """Returns the URL of a path on the process."""
        return f"http://127.0.0.1:{self.port}{path}"

    def get(self, path: str) -> dict[str, object]:
        """Returns the JSON value at the path."""
        with urllib.request.urlopen(self.url(path), timeout=5) as answer:
            value: dict[str, object] = json.load(answer)
            return value

    def post(self, path: str, value: object, method: str = "POST") -> dict[str, object]:
        """Sends a JSON value and returns the answer's."""
        data = json.dumps(value).encode()
        request = urllib.request.Request(self.url(path), data=data, method=method)
        with urllib.request.urlopen(request, timeout=5) as answer:
            result: dict[str, object] = json.load(answer)
            return result

    def pause(self) -> None:
        """Stops the process in its tracks."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets a paused process go on."""
        self.popen.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.popen.kill()
        self.popen.wait()

    def terminate(self) -> None:
        """Asks the process to stop."""
        self.popen.terminate()


@define
class Processes:
    """All processes of one test or demonstration."""

    directory: Path
    started: list[Process] = field(factory=list)

    def start(self, name: str, module: str, port: int, *arguments: str) -> Process:
        """Starts a Python module as a process and waits until it listens."""
        log = (self.directory / f"{name}.log").open("ab")
        popen = subprocess.Popen([sys.executable, "-m", module, *arguments], stderr=log, stdout=log)
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
        """Ends every process that is still running."""
        for process in self.started:
            if process.popen.poll() is None:
                process.resume()
                process.kill()

    def _wait_until_listening(self, process: Process) -> None:
        give_up_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < give_up_s:
            if process.popen.poll() is not None:
                break
            with socket.socket() as sock:
                if sock.connect_ex(("127.0.0.1", process.port)) == 0:
                    return
            time.sleep(POLL_S)
        text = (self.directory / f"{process.name}.log").read_text(encoding="utf-8")
        # Whoever started the others may never get hold of them.
        self.stop_all()
        raise RuntimeError(f"{process.name} does not listen: {text}")

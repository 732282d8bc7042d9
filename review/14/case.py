"""BUDGET: crashes of other engines keep a part that crashes engines from being found out."""

import threading
import time
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from subprocess import Popen

from review.lab_3.lab import (
    HOST_NAME,
    IP,
    Lab,
    call_json,
    free_port,
    has_trouble,
    make_route,
    run_case,
    wait_for_listener,
)

PREFILL_ENGINES = 14
DECODE_ENGINES = 26
# A quarter of the service's 40 engines.
CRASHING = 10
ROUNDS = 2
ROUND_INTERVAL_S = 9.3
DOWN_S = 2.0
POISON = "dead0001"
POISON_INTERVAL_S = 4.6
POISON_REQUESTS = 13
SOUND_INTERVAL_S = 0.035
CONTACT_S = 4.0
# The rule allows three requests.
ALLOWED = 3
FIFTH = 5
ENGINE = {"slots": 64, "kvCapTokens": 500000, "kvTokenBytes": 163840, "linkMbps": 1400000.0}


class Engines:
    """The engines, each of which starts again 2 s after it has ended."""

    def __init__(self, lab: Lab) -> None:
        self._lab = lab
        self.ports: dict[str, int] = {}
        self._roles: dict[str, str] = {}
        self._processes: dict[str, Popen[bytes]] = {}
        self._down_until_s: dict[str, float] = {}
        self._end = threading.Event()
        self._thread = threading.Thread(target=self._watch)
        # Names of the engines that the case has crashed, and times at which others have ended.
        self.crashed: set[str] = set()
        self.poison_crashes_s: list[float] = []

    def start(self) -> None:
        """Starts all engines."""
        for number in range(PREFILL_ENGINES + DECODE_ENGINES):
            name = f"lm-{number:02}"
            self.ports[name] = free_port()
            self._roles[name] = "prefill" if number < PREFILL_ENGINES else "decode"
            self._begin(name)
        for name in self.ports:
            self._set_up(name)
        self._thread.start()

    def stop(self) -> None:
        """Stops the supervision."""
        self._end.set()
        self._thread.join()

    def decode_engines_up(self) -> list[str]:
        """Returns the names of the decode engines that run."""
        return [
            name
            for name, role in self._roles.items()
            if role == "decode" and self._processes[name].poll() is None
        ]

    def crash(self, names: list[str]) -> None:
        """Crashes engines."""
        self.crashed.update(names)
        for name in names:
            self._processes[name].kill()
        self._lab.record.write(f"crash of {names}")

    def _begin(self, name: str) -> None:
        arguments = ("--name", name, "--role", self._roles[name], "--port", str(self.ports[name]))
        arguments += ("--events", "20", "--interval-ms", "100", "--born", str(self._born()))
        arguments += ("--witness", str(self._lab.folder / "witness.jsonl"))
        self._processes[name] = self._lab.start(name, "standins.platform_backend", *arguments)

    def _set_up(self, name: str) -> None:
        wait_for_listener(self.ports[name], name)
        call_json(self.ports[name], "POST", "/faults", {"crash_on_segment": POISON})
        born = self._born()
        self._lab.register(name, "lm", self.ports[name], phase=self._roles[name], born=born)

    @staticmethod
    def _born() -> int:
        return round(time.time() * 1000)

    def _watch(self) -> None:
        while not self._end.wait(0.02):
            now_s = time.monotonic()
            for name, process in self._processes.items():
                if process.poll() is None:
                    continue
                if name not in self._down_until_s:
                    self._down_until_s[name] = now_s + DOWN_S
                    if name not in self.crashed:
                        self.poison_crashes_s.append(now_s)
                        self._lab.record.write(f"{name} has ended by a request")
                elif now_s >= self._down_until_s[name]:
                    self.crashed.discard(name)
                    self._begin(name)
                    del self._down_until_s[name]
                    threading.Thread(target=self._set_up, args=(name,)).start()


def send(lab: Lab, attempt: str, prefix: str) -> str:
    """Sends a request; returns the status, or how the connection has ended."""
    connection = HTTPConnection(IP, lab.hosts[0].callers_port, timeout=10)
    headers = {
        "Host": HOST_NAME,
        "Attempt-Id": attempt,
        "Deadline-Ms": "8000",
        "Model": "m",
        "Token-Counts": "1460,20",
        "Prompt-Prefix": prefix,
    }
    try:
        connection.request("POST", "/stream/1", attempt.encode(), headers)
        response = connection.getresponse()
        response.read()
    except (OSError, HTTPException) as error:
        return type(error).__name__
    finally:
        connection.close()
    return str(response.status)


def send_sound(lab: Lab, end: threading.Event, results: dict[str, int]) -> None:
    """Sends requests without the part, several at a time, until the end."""

    def call(number: int) -> None:
        prefix = f"5c1e07a2:800,{number % 16:08x}:410,{number:08x}:250"
        result = send(lab, f"5{number:015x}", prefix)
        results[result] = results.get(result, 0) + 1

    number = 0
    threads = []
    while not end.wait(SOUND_INTERVAL_S):
        number += 1
        thread = threading.Thread(target=call, args=(number,))
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()


def send_poison(lab: Lab) -> None:
    """Sends the requests with the part that crashes engines, no two alike."""
    for number in range(POISON_REQUESTS):
        time.sleep(POISON_INTERVAL_S)
        prefix = f"5c1e07a2:800,{POISON}:410,{number + 0xF0000000:08x}:250"
        result = send(lab, f"d{number:015x}", prefix)
        lab.record.write(f"request {number} with the part: {result}")


def run(lab: Lab) -> bool:
    """Plays the case; returns whether the rule was broken."""
    lab.start_store()
    engines = Engines(lab)
    engines.start()
    route = make_route("stream", "streaming", "lm", timeoutMs=8000, goalMs=1500)
    services = [{"name": "lm", "healthPath": "/health", "maxConns": 400, "engine": ENGINE}]
    configuration = {"version": 1, "routes": [route], "services": services, "limits": {}}
    lab.put("keyed.op", "config", configuration)
    lab.add_host("host-0")
    lab.wait_ready()
    end, results = threading.Event(), {}
    sound = threading.Thread(target=send_sound, args=(lab, end, results))
    sound.start()
    poison = threading.Thread(target=send_poison, args=(lab,))
    poison.start()
    time.sleep(POISON_INTERVAL_S + 1.0)
    for _ in range(ROUNDS if has_trouble() else 0):
        engines.crash(engines.decode_engines_up()[:CRASHING])
        time.sleep(ROUND_INTERVAL_S)
    poison.join()
    end.set()
    sound.join()
    engines.stop()
    lab.record.write(f"sound requests: {results}")
    return check(lab, engines.poison_crashes_s)


def check(lab: Lab, crashes_s: list[float]) -> bool:
    """Tells whether too many requests with the part reached engines after the fifth crash.

    Each request with the part that reaches an engine crashes it, so crashes are what is counted.
    """
    lab.record.write(f"engines that requests with the part have crashed: {len(crashes_s)}")
    if len(crashes_s) < FIFTH:
        return False
    from_s = crashes_s[FIFTH - 1] + CONTACT_S
    late = sum(at_s > from_s for at_s in crashes_s)
    lab.record.write(f"of these later than {CONTACT_S} s after the fifth: {late}")
    return late > ALLOWED


if __name__ == "__main__":
    run_case(Path(__file__).parent, run)

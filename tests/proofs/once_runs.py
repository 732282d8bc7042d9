"""Seeded runs of at-most-once execution on real processes, checked against the services' logs.

Run as `python -m tests.proofs.once_runs --runs 20 --seed 1`. Each run sends every key several times
to randomly chosen hosts, while hosts are killed, paused and restarted and the log is unavailable,
slow or loses answers, up to two of these at once.
"""

import argparse
import json
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from http.client import HTTPException
from pathlib import Path
from random import Random
from typing import Final

from attrs import define, field

from examples.processes import Process
from tests.support.caller import Answer, ask
from tests.support.fleet import Fleet, start_fleet, start_host

HOSTS: Final = 3
KEYS: Final = 8
REQUESTS_PER_KEY: Final = 3
STARTUP_WAIT_S: Final = 4.0
STATUS_CREATED: Final = 201
PATH: Final = "/alarms/acknowledge"


@define
class KeyedRequest:
    """One request with an idempotency key, and its outcome."""

    key: str
    sent_s: float
    outcome: Future["Outcome"]


@define
class Outcome:
    """The answer that a caller received, or None, and the time of it."""

    answer: Answer | None
    ended_s: float

    @property
    def verdict(self) -> str:
        """Returns the answer's verdict, or an empty text without an answer."""
        return self.answer.headers["x-verdict"] if self.answer is not None else ""


@define
class Run:
    """One seeded run."""

    fleet: Fleet
    random: Random
    pool: ThreadPoolExecutor
    requests: list[KeyedRequest] = field(factory=list)
    faults: list[str] = field(factory=list)
    # Functions that end the active faults.
    fault_endings: list[Callable[[], object]] = field(factory=list)

    def execute(self) -> None:
        """Sends requests with all keys while faults are injected."""
        for number in range(KEYS):
            key = self._choose_key(number)
            for fault in self.random.sample(list(FAULTS), self.random.randint(0, 2)):
                self.faults.append(fault.__name__)
                fault(self)
            for _ in range(REQUESTS_PER_KEY):
                self._send(key)
                time.sleep(self.random.choice([0.0, 0.05, 0.4]))
            while self.fault_endings:
                self.fault_endings.pop()()

    def check(self) -> tuple[int, int, int]:
        """Checks the answers against the services' logs.

        Returns:
            the numbers of executed keys, of answers, and of requests without an answer.
        """
        outcomes = [request.outcome.result() for request in self.requests]
        time.sleep(1.0)
        executed = [key for service in self.fleet.services for key in _executed_keys(service)]
        assert len(executed) == len(set(executed)), f"a key ran twice: {executed}"
        for request, outcome in zip(self.requests, outcomes, strict=True):
            if outcome.verdict == "completed":
                assert request.key in executed, f"{request.key} was answered and did not run"
            if outcome.verdict == "not-run" and request.key in executed:
                assert self._was_sent_after(request.key, outcome.ended_s), self._describe_requests(
                    request.key
                )
        answered_count = sum(outcome.answer is not None for outcome in outcomes)
        return len(executed), answered_count, len(outcomes) - answered_count

    def _describe_requests(self, key: str) -> str:
        """Returns a text with all requests that used a key and their answers."""
        lines = [f"{key} ran"]
        for request in self.requests:
            if request.key == key:
                outcome = request.outcome.result()
                body = outcome.answer.body.decode() if outcome.answer is not None else "nothing"
                lines.append(f"{request.sent_s:.2f} to {outcome.ended_s:.2f}: {body}")
        return "\n".join(lines)

    def _was_sent_after(self, key: str, time_s: float) -> bool:
        """Returns whether a request with the key was sent after a time."""
        return any(request.key == key and request.sent_s > time_s for request in self.requests)

    def _choose_key(self, number: int) -> str:
        host = self.random.choice(self.fleet.hosts)
        if self.random.random() < 0.5:  # noqa: PLR2004
            answer = _answer_or_none(
                lambda: ask(host.port, "/v1/tickets", b"", {"X-Tenant": "fes"}, 2.0)
            )
            if answer is not None and answer.status == STATUS_CREATED:
                return str(answer.value()["ticket"])
        return f"alarm-{number}"

    def _send(self, key: str) -> None:
        port = self.random.choice(self.fleet.hosts).port
        self.requests.append(
            KeyedRequest(key, time.monotonic(), self.pool.submit(_send_keyed_call, port, key))
        )

    def kill_host(self) -> None:
        """Kills a host during the requests with this key, and restarts it afterwards."""
        number = self.random.randrange(HOSTS)
        host = self.fleet.hosts[number]
        self.pool.submit(self._kill_later, host, self.random.choice([0.0, 0.1, 0.3]))
        self.fault_endings.append(lambda: self._restart(number))

    def pause_host(self) -> None:
        """Pauses a host until the requests with this key have been sent."""
        host = self.random.choice(self.fleet.hosts)
        if host.popen.poll() is None:
            host.pause()
            self.fault_endings.append(host.resume)

    def log_away(self) -> None:
        """Makes the log unavailable."""
        self._log_fault({"away": True})

    def log_slow(self) -> None:
        """Delays the log's answers by 0.3 s."""
        self._log_fault({"delay_s": 0.3})

    def log_loses_answers(self) -> None:
        """Makes the log lose the next 2 answers after the appends have taken effect."""
        self._log_fault({"lose_answers": 2})

    def _log_fault(self, fault: dict[str, object]) -> None:
        assert self.fleet.log is not None
        log = self.fleet.log
        log.post("/faults", fault)
        self.fault_endings.append(lambda: log.post("/faults", {}))

    def _kill_later(self, host: Process, delay_s: float) -> None:
        time.sleep(delay_s)
        host.kill()

    def _restart(self, number: int) -> None:
        host = self.fleet.hosts[number]
        host.popen.wait(5)
        fleet = self.fleet
        fleet.hosts[number] = start_host(
            fleet.processes,
            host.name,
            fleet.membership.port,
            peer_port=self._peer_port(host.name),
            log=fleet.log,
        )

    def _peer_port(self, name: str) -> int:
        members = self.fleet.membership.get("/v1/members")["hosts"]
        assert isinstance(members, list)
        address = next(member["address"] for member in members if member["name"] == name)
        return int(address.rsplit(":", 1)[1])


FAULTS: Final = (
    Run.kill_host,
    Run.pause_host,
    Run.log_away,
    Run.log_slow,
    Run.log_loses_answers,
)


def _send_keyed_call(port: int, key: str) -> Outcome:
    headers = {"X-Tenant": "fes", "X-Class": "alarm-acknowledgement", "Idempotency-Key": key}
    body = json.dumps({"key": key}).encode()
    answer = _answer_or_none(
        lambda: ask(port, f"/v1/services/cellar-log{PATH}", body, headers, 12.0)
    )
    return Outcome(answer, time.monotonic())


def _answer_or_none(send_request: Callable[[], Answer]) -> Answer | None:
    try:
        return send_request()
    except (OSError, HTTPException):
        return None


def _executed_keys(service: Process) -> list[str]:
    entries = service.get("/witness")["entries"]
    assert isinstance(entries, list)
    return [json.loads(body)["key"] for _, path, body in entries if path == PATH]


def main() -> None:
    """Executes the runs and prints one line for each."""
    parser = argparse.ArgumentParser(description="Seeded runs of at most once on real processes.")
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        with tempfile.TemporaryDirectory() as directory, ThreadPoolExecutor(64) as pool:
            fleet = start_fleet(Path(directory), 0, 2, HOSTS, with_log=True)
            try:
                time.sleep(STARTUP_WAIT_S)
                run = Run(fleet, Random(seed), pool)
                run.execute()
                executed, answered, unanswered = run.check()
            finally:
                fleet.processes.stop_all()
        faults = ",".join(run.faults)
        print(  # noqa: T201
            f"seed {seed}: {executed} ran, {answered} answered, {unanswered} lost; {faults}"
        )


if __name__ == "__main__":
    main()

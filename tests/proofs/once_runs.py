"""Seeded runs of at most once on real processes, with the services' logs as witness.

Run as `python -m tests.proofs.once_runs --runs 20 --seed 1`. Each run sends every key several times
to hosts drawn by seed, while hosts are killed, paused and restarted and the log is away, slow or
loses answers, up to two of these at once.
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
SENDINGS: Final = 3
START_S: Final = 4.0
STATUS_CREATED: Final = 201
PATH: Final = "/alarms/acknowledge"


@define
class Sending:
    """One sending of a key and what came of it."""

    key: str
    sent_s: float
    outcome: Future["Outcome"]


@define
class Outcome:
    """What a caller got, and when."""

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
    sendings: list[Sending] = field(factory=list)
    faults: list[str] = field(factory=list)
    # Ends the fault that is on, if any.
    mend: list[Callable[[], object]] = field(factory=list)

    def play(self) -> None:
        """Sends all keys amid faults."""
        for number in range(KEYS):
            key = self._key(number)
            for fault in self.random.sample(list(FAULTS), self.random.randint(0, 2)):
                self.faults.append(fault.__name__)
                fault(self)
            for _ in range(SENDINGS):
                self._send(key)
                time.sleep(self.random.choice([0.0, 0.05, 0.4]))
            while self.mend:
                self.mend.pop()()

    def check(self) -> tuple[int, int, int]:
        """Checks the answers against the witness.

        Returns:
            the number of keys that ran, of answers, and of sendings without an answer.
        """
        outcomes = [sending.outcome.result() for sending in self.sendings]
        time.sleep(1.0)
        ran = [key for service in self.fleet.services for key in _keys_run(service)]
        assert len(ran) == len(set(ran)), f"a key ran twice: {ran}"
        for sending, outcome in zip(self.sendings, outcomes, strict=True):
            if outcome.verdict == "completed":
                assert sending.key in ran, f"{sending.key} was answered and did not run"
            if outcome.verdict == "not-run" and sending.key in ran:
                assert self._sent_after(sending.key, outcome.ended_s), self._story(sending.key)
        known = sum(outcome.answer is not None for outcome in outcomes)
        return len(ran), known, len(outcomes) - known

    def _story(self, key: str) -> str:
        """Returns everything that callers saw of a key."""
        lines = [f"{key} ran"]
        for sending in self.sendings:
            if sending.key == key:
                outcome = sending.outcome.result()
                body = outcome.answer.body.decode() if outcome.answer is not None else "nothing"
                lines.append(f"{sending.sent_s:.2f} to {outcome.ended_s:.2f}: {body}")
        return "\n".join(lines)

    def _sent_after(self, key: str, moment_s: float) -> bool:
        """Tells whether the key was sent again after a moment."""
        return any(sending.key == key and sending.sent_s > moment_s for sending in self.sendings)

    def _key(self, number: int) -> str:
        host = self.random.choice(self.fleet.hosts)
        if self.random.random() < 0.5:  # noqa: PLR2004
            answer = _try(lambda: ask(host.port, "/v1/tickets", b"", {"X-Tenant": "fes"}, 2.0))
            if answer is not None and answer.status == STATUS_CREATED:
                return str(answer.value()["ticket"])
        return f"alarm-{number}"

    def _send(self, key: str) -> None:
        port = self.random.choice(self.fleet.hosts).port
        self.sendings.append(Sending(key, time.monotonic(), self.pool.submit(_call, port, key)))

    def kill_host(self) -> None:
        """Kills a host amid what comes next, and starts it again afterwards."""
        number = self.random.randrange(HOSTS)
        host = self.fleet.hosts[number]
        self.pool.submit(self._kill_later, host, self.random.choice([0.0, 0.1, 0.3]))
        self.mend.append(lambda: self._restart(number))

    def pause_host(self) -> None:
        """Pauses a host until this key is done."""
        host = self.random.choice(self.fleet.hosts)
        if host.popen.poll() is None:
            host.pause()
            self.mend.append(host.resume)

    def log_away(self) -> None:
        """Takes the log away."""
        self._log_fault({"away": True})

    def log_slow(self) -> None:
        """Makes the log slow."""
        self._log_fault({"delay_s": 0.3})

    def log_loses_answers(self) -> None:
        """Lets the log lose answers after the effect."""
        self._log_fault({"lose_answers": 2})

    def _log_fault(self, value: dict[str, object]) -> None:
        assert self.fleet.log is not None
        log = self.fleet.log
        log.post("/faults", value)
        self.mend.append(lambda: log.post("/faults", {}))

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


def _call(port: int, key: str) -> Outcome:
    headers = {"X-Tenant": "fes", "X-Class": "alarm-acknowledgement", "Idempotency-Key": key}
    body = json.dumps({"key": key}).encode()
    answer = _try(lambda: ask(port, f"/v1/services/cellar-log{PATH}", body, headers, 12.0))
    return Outcome(answer, time.monotonic())


def _try(ask_once: Callable[[], Answer]) -> Answer | None:
    try:
        return ask_once()
    except (OSError, HTTPException):
        return None


def _keys_run(service: Process) -> list[str]:
    entries = service.get("/witness")["entries"]
    assert isinstance(entries, list)
    return [json.loads(body)["key"] for _, path, body in entries if path == PATH]


def main() -> None:
    """Plays the runs and prints one line for each."""
    parser = argparse.ArgumentParser(description="Seeded runs of at most once on real processes.")
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        with tempfile.TemporaryDirectory() as directory, ThreadPoolExecutor(64) as pool:
            fleet = start_fleet(Path(directory), 0, 2, HOSTS, with_log=True)
            try:
                time.sleep(START_S)
                run = Run(fleet, Random(seed), pool)
                run.play()
                ran, answered, lost = run.check()
            finally:
                fleet.processes.stop_all()
        faults = ",".join(run.faults)
        print(f"seed {seed}: {ran} ran, {answered} answered, {lost} lost; {faults}")  # noqa: T201


if __name__ == "__main__":
    main()

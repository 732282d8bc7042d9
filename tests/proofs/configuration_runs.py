"""Seeded runs of the configuration on processes: `python -m tests.proofs.configuration_runs`.

Each run draws changes, races, outages, silence, lost answers and restarts, two at a time or in a
row, and watches every host all the while. Host 0 is never restarted: when every host is restarted
after all records expired, nothing is left that could be kept.
"""

import argparse
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random
from threading import Event, Thread
from typing import Final

import grpc
from attrs import define, field

from berylquay.command.exit_codes import ExitCode
from berylquay.operators.generated import berylquay_pb2 as pb
from tests.support.configuration_fleet import CommandResult, ConfigurationFleet
from tests.support.fleet import EXAMPLES

HOSTS: Final = 3
STEPS: Final = 8
RETENTION_S: Final = 6.0
IN_FORCE_S: Final = 5.0
WATCH_INTERVAL_S: Final = 0.05
EVENTS: Final = ("change", "change", "race", "away", "pause", "lose", "drop", "restart", "wait")


@define
class Watcher:
    """Looks at every host at a short interval and notes what must not be seen."""

    fleet: ConfigurationFleet
    faults: list[str] = field(factory=list)
    samples: int = 0
    # Highest revision seen by host, over all its incarnations.
    highest: dict[str, int] = field(factory=dict)
    # Ids of all changes that were seen in force.
    seen_ids: set[str] = field(factory=set)
    _stop: Event = field(factory=Event)

    def run(self) -> None:
        """Watches until told to stop."""
        while not self._stop.is_set():
            for host in tuple(self.fleet.hosts):
                self._sample(host)
            time.sleep(WATCH_INTERVAL_S)

    def stop(self) -> None:
        """Ends the watching."""
        self._stop.set()

    def _sample(self, host: str) -> None:
        try:
            seen = self.fleet.configuration(host, timeout_s=1.0)
        except grpc.RpcError:
            return
        self.samples += 1
        self.seen_ids.update(last.change_id for last in seen.last_changes.values())
        self._check(host, seen)

    def _check(self, host: str, seen: pb.Configuration) -> None:
        before = self.highest.get(host, 0)
        if seen.revision >= before:
            self.highest[host] = seen.revision
        elif seen.revision or seen.deployments or seen.draining:
            # A host that has just started and has nothing in force yet has not gone back.
            self.faults.append(f"{host} went back from {before} to {seen.revision}")


@define
class Run:
    """One seeded run."""

    seed: int
    directory: Path
    rng: Random = field(init=False)
    fleet: ConfigurationFleet = field(init=False)
    results: list[CommandResult] = field(factory=list)
    story: list[str] = field(factory=list)
    faults: list[str] = field(factory=list)

    def play(self) -> Watcher:
        """Plays the run and returns what was watched."""
        self.rng = Random(self.seed)
        self.fleet = ConfigurationFleet(self.directory, RETENTION_S, linked=False)
        self.fleet.start(HOSTS)
        watcher = Watcher(self.fleet)
        thread = Thread(target=watcher.run, daemon=True)
        try:
            self._wait_for_all()
            thread.start()
            for _ in range(STEPS):
                self._step()
            self._heal(watcher)
        finally:
            watcher.stop()
            thread.join()
            self.fleet.processes.stop_all()
        self._check_results(watcher)
        return watcher

    def _step(self) -> None:
        event = self.rng.choice(EVENTS)
        self.story.append(event)
        log = self.fleet.log
        if event == "change":
            self._change(self.rng.choice(("drain", "undrain")))
        elif event == "race":
            self._race()
        elif event == "away":
            log.post("/faults", {"away": True})
            self._during_outage()
            log.post("/faults", {})
        elif event == "pause":
            log.pause()
            self._during_outage()
            log.resume()
        elif event == "lose":
            log.post("/faults", {"lose_answers": self.rng.randint(1, 3)})
        elif event == "drop":
            log.post("/faults", {"drop_appends": self.rng.randint(1, 3)})
        elif event == "restart":
            self._restart()
        else:
            time.sleep(self.rng.uniform(0.1, 3.0))

    def _host(self) -> str:
        return f"host-{self.rng.randrange(HOSTS)}"

    def _change(self, kind: str) -> None:
        host = self._host()
        self.results.append(self.fleet.command(host, kind, host))

    def _race(self) -> None:
        base = str(self.fleet.configuration("host-0").revision)
        file = str(EXAMPLES / self.rng.choice(("jamiat.ini", "meskel.ini")))
        hosts = [self._host() for _ in range(3)]
        line = ("apply", file, "--base", base)
        with ThreadPoolExecutor() as pool:
            results = list(pool.map(lambda host: self.fleet.command(host, *line), hosts))
        self.results += results
        accepted = [result for result in results if result.code == ExitCode.OK]
        unknown = [result for result in results if result.code == ExitCode.UNKNOWN_OUTCOME]
        if len(accepted) > 1:
            self.faults.append("two racing changes were accepted")
        if not accepted and not unknown and any(r.code == ExitCode.CONFLICT for r in results):
            won = [r.value()["winner"]["revision"] for r in results if r.code == ExitCode.CONFLICT]
            if min(won) <= int(base):
                self.faults.append("all racing changes lost to none")

    def _during_outage(self) -> None:
        second = self.rng.choice(("change", "restart", "wait"))
        self.story.append(f"({second})")
        if second == "change":
            self._change("drain")
        elif second == "restart":
            self._restart()
        else:
            time.sleep(self.rng.uniform(0.5, 4.0))

    def _restart(self) -> None:
        name = f"host-{self.rng.randrange(1, HOSTS)}"
        # Out of the watcher's sight while its ports change.
        self.fleet.hosts.pop(name).kill()
        self.fleet.start_host(name, f"dc-{name[-1]}")

    def _wait_for_all(self) -> None:
        for host in tuple(self.fleet.hosts):
            self.fleet.wait_for(host, lambda seen: seen.up_to_date)

    def _heal(self, watcher: Watcher) -> None:
        self.fleet.log.post("/faults", {})
        self._wait_for_all()
        last = self.fleet.command("host-0", "drain", "host-0")
        if last.code != ExitCode.OK:
            self.faults.append(f"the last change ended with {last.code}: {last.out}{last.error}")
            return
        revision = int(last.value()["revision"])
        begun_s = time.monotonic()
        for host in self.fleet.hosts:
            self.fleet.wait_for(host, lambda seen: seen.revision >= revision)
        if time.monotonic() - begun_s > IN_FORCE_S:
            self.faults.append("the last change was not in force everywhere in time")
        states = [self.fleet.configuration(host) for host in self.fleet.hosts]
        if any(state.last_changes != states[0].last_changes for state in states):
            self.faults.append("the hosts differ")
        if states[0].revision < max(watcher.highest.values()):
            self.faults.append("the end lies behind what was seen")

    def _check_results(self, watcher: Watcher) -> None:
        for result in self.results:
            if result.code in (ExitCode.REFUSED, ExitCode.CONFLICT) and result.out:
                change_id = result.value()["change_id"]
                if change_id in watcher.seen_ids:
                    self.faults.append(f"refused change {change_id} took effect")
        self.faults += watcher.faults


def main() -> None:
    """Plays the runs and prints one line for each."""
    parser = argparse.ArgumentParser(description="Seeded runs of the configuration on processes.")
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1, help="seed of the first run")
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        with tempfile.TemporaryDirectory() as directory:
            run = Run(seed, Path(directory))
            watcher = run.play()
        failed += bool(run.faults)
        codes = " ".join(str(int(result.code)) for result in run.results)
        verdict = "; ".join(run.faults) or "ok"
        story = " ".join(run.story)
        print(  # noqa: T201
            f"seed {seed}: {verdict} | {story} | exit codes {codes} | {watcher.samples} samples",
            flush=True,
        )
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()

"""Seeded runs of the configuration on processes: `python -m tests.proofs.configuration_runs`.

Each run executes random changes, races, outages, pauses, lost answers and restarts, one after the
other or two at once, and samples every host meanwhile. Host 0 is never restarted: if every host
were restarted after all records had expired, no copy of the configuration would be left.
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
MAX_PROPAGATION_S: Final = 5.0
SAMPLE_INTERVAL_S: Final = 0.05
EVENTS: Final = ("change", "change", "race", "away", "pause", "lose", "drop", "restart", "wait")


@define
class ConfigurationMonitor:
    """Samples every host's configuration at a short interval and records violations."""

    fleet: ConfigurationFleet
    violations: list[str] = field(factory=list)
    samples: int = 0
    # Highest revision seen at each host, over all its incarnations.
    highest_revisions: dict[str, int] = field(factory=dict)
    # Ids of all changes that were in force in a sample.
    seen_ids: set[str] = field(factory=set)
    _stop: Event = field(factory=Event)

    def run(self) -> None:
        """Samples the hosts until `stop` is called."""
        while not self._stop.is_set():
            for host in tuple(self.fleet.hosts):
                self._sample(host)
            time.sleep(SAMPLE_INTERVAL_S)

    def stop(self) -> None:
        """Makes `run` return."""
        self._stop.set()

    def _sample(self, host: str) -> None:
        try:
            configuration = self.fleet.configuration(host, timeout_s=1.0)
        except grpc.RpcError:
            return
        self.samples += 1
        self.seen_ids.update(
            last_change.change_id for last_change in configuration.last_changes.values()
        )
        self._check(host, configuration)

    def _check(self, host: str, configuration: pb.Configuration) -> None:
        highest_revision = self.highest_revisions.get(host, 0)
        if configuration.revision >= highest_revision:
            self.highest_revisions[host] = configuration.revision
        elif configuration.revision or configuration.deployments or configuration.draining:
            # An empty configuration is no violation: the host has just started.
            self.violations.append(
                f"{host} went back from {highest_revision} to {configuration.revision}"
            )


@define
class Run:
    """One seeded run."""

    seed: int
    directory: Path
    rng: Random = field(init=False)
    fleet: ConfigurationFleet = field(init=False)
    results: list[CommandResult] = field(factory=list)
    event_log: list[str] = field(factory=list)
    violations: list[str] = field(factory=list)

    def execute(self) -> ConfigurationMonitor:
        """Executes the run and returns the monitor with its samples."""
        self.rng = Random(self.seed)
        self.fleet = ConfigurationFleet(self.directory, RETENTION_S, linked=False)
        self.fleet.start(HOSTS)
        monitor = ConfigurationMonitor(self.fleet)
        thread = Thread(target=monitor.run, daemon=True)
        try:
            self._wait_until_all_up_to_date()
            thread.start()
            for _ in range(STEPS):
                self._step()
            self._end_faults_and_check(monitor)
        finally:
            monitor.stop()
            thread.join()
            self.fleet.processes.stop_all()
        self._check_results(monitor)
        return monitor

    def _step(self) -> None:
        event = self.rng.choice(EVENTS)
        self.event_log.append(event)
        log = self.fleet.log
        if event == "change":
            self._change(self.rng.choice(("drain", "undrain")))
        elif event == "race":
            self._race()
        elif event == "away":
            log.post("/faults", {"away": True})
            self._act_during_outage()
            log.post("/faults", {})
        elif event == "pause":
            log.pause()
            self._act_during_outage()
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
        base_revision = str(self.fleet.configuration("host-0").revision)
        file = str(EXAMPLES / self.rng.choice(("jamiat.ini", "meskel.ini")))
        hosts = [self._host() for _ in range(3)]
        command_line = ("apply", file, "--base", base_revision)
        with ThreadPoolExecutor() as pool:
            results = list(pool.map(lambda host: self.fleet.command(host, *command_line), hosts))
        self.results += results
        accepted = [result for result in results if result.code == ExitCode.OK]
        unknown = [result for result in results if result.code == ExitCode.UNKNOWN_OUTCOME]
        if len(accepted) > 1:
            self.violations.append("two racing changes were accepted")
        if not accepted and not unknown and any(r.code == ExitCode.CONFLICT for r in results):
            winner_revisions = [
                r.value()["winner"]["revision"] for r in results if r.code == ExitCode.CONFLICT
            ]
            if min(winner_revisions) <= int(base_revision):
                self.violations.append("all racing changes lost to none")

    def _act_during_outage(self) -> None:
        event = self.rng.choice(("change", "restart", "wait"))
        self.event_log.append(f"({event})")
        if event == "change":
            self._change("drain")
        elif event == "restart":
            self._restart()
        else:
            time.sleep(self.rng.uniform(0.5, 4.0))

    def _restart(self) -> None:
        name = f"host-{self.rng.randrange(1, HOSTS)}"
        # Removed from `hosts`, so that the monitor skips it while its ports change.
        self.fleet.hosts.pop(name).kill()
        self.fleet.start_host(name, f"dc-{name[-1]}")

    def _wait_until_all_up_to_date(self) -> None:
        for host in tuple(self.fleet.hosts):
            self.fleet.wait_for(host, lambda configuration: configuration.up_to_date)

    def _end_faults_and_check(self, monitor: ConfigurationMonitor) -> None:
        self.fleet.log.post("/faults", {})
        self._wait_until_all_up_to_date()
        last_change = self.fleet.command("host-0", "drain", "host-0")
        if last_change.code != ExitCode.OK:
            self.violations.append(
                f"the last change ended with {last_change.code}: "
                f"{last_change.out}{last_change.error}"
            )
            return
        revision = int(last_change.value()["revision"])
        started_s = time.monotonic()
        for host in self.fleet.hosts:
            self.fleet.wait_for(host, lambda configuration: configuration.revision >= revision)
        if time.monotonic() - started_s > MAX_PROPAGATION_S:
            self.violations.append("the last change was not in force everywhere in time")
        states = [self.fleet.configuration(host) for host in self.fleet.hosts]
        if any(state.last_changes != states[0].last_changes for state in states):
            self.violations.append("the hosts differ")
        if states[0].revision < max(monitor.highest_revisions.values()):
            self.violations.append("the end lies behind what was seen")

    def _check_results(self, monitor: ConfigurationMonitor) -> None:
        for result in self.results:
            if result.code in (ExitCode.REFUSED, ExitCode.CONFLICT) and result.out:
                change_id = result.value()["change_id"]
                if change_id in monitor.seen_ids:
                    self.violations.append(f"refused change {change_id} took effect")
        self.violations += monitor.violations


def main() -> None:
    """Executes the runs and prints one line for each; exits with 1 if one failed."""
    parser = argparse.ArgumentParser(description="Seeded runs of the configuration on processes.")
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1, help="seed of the first run")
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        with tempfile.TemporaryDirectory() as directory:
            run = Run(seed, Path(directory))
            monitor = run.execute()
        failed += bool(run.violations)
        codes = " ".join(str(int(result.code)) for result in run.results)
        result_text = "; ".join(run.violations) or "ok"
        event_log = " ".join(run.event_log)
        print(  # noqa: T201
            f"seed {seed}: {result_text} | {event_log} | exit codes {codes} | "
            f"{monitor.samples} samples",
            flush=True,
        )
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()

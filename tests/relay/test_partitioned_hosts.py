"""Relay hosts that are partitioned from all backend servers, while other hosts reach them."""

import json
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from http.client import HTTPException
from pathlib import Path
from threading import Thread

import pytest
from attrs import define, field

from tests.support.relay_fleet import PATHS, RelayFleet, make_configuration, wait_until

CUT_HOSTS = 3
SOUND_HOSTS = 2
# Time from the beginning of a cut after which callers must be served as well as elsewhere.
CONTACT_S = 4.0
MEASURED_S = 3.0
# First tries that may fail at cut hosts: 10, and 1 in 50 more.
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_SHARE = 0.02
# Callers a host; one that waits for a host that hangs must not keep the others from trying.
CALLERS_PER_HOST = 5
REQUEST_INTERVAL_S = 0.15


@define
class Partition:
    """The cut between some hosts and all servers."""

    file: Path
    ports: list[int]
    tarpit: socket.socket
    # Connections that fill the tarpit's backlog.
    fillers: list[socket.socket] = field(factory=list)

    @classmethod
    def make(cls, file: Path) -> "Partition":
        """Returns a partition that does not cut anything yet."""
        tarpit = socket.socket()
        tarpit.bind(("127.0.0.1", 0))
        tarpit.listen(0)
        partition = cls(file, [], tarpit)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(tarpit.getsockname())
            partition.fillers.append(filler)
        partition.set_mode("")
        return partition

    def set_mode(self, mode: str) -> None:
        """Cuts the hosts off in a way that `partitioned_host` knows, or heals the partition."""
        state = {"ports": self.ports, "mode": mode, "tarpit": self.tarpit.getsockname()[1]}
        temporary = self.file.with_suffix(".new")
        temporary.write_text(json.dumps(state), encoding="utf-8")
        temporary.replace(self.file)


@define
class Caller:
    """Sends requests of all kinds to one host, one after the other, until stopped."""

    fleet: RelayFleet
    host: int
    name: str
    # Time of sending, and whether the request was served, by request.
    results: list[tuple[float, bool, str]] = field(factory=list)
    stopped: bool = False

    def run(self) -> None:
        """Sends requests."""
        kinds = list(PATHS.values())
        while not self.stopped:
            number = len(self.results)
            path = kinds[number % len(kinds)]
            headers = {"Deadline-Ms": "2000"}
            if path in ("/stream/", "/resume/"):
                headers["Token-Counts"] = "40,4"
            call_id = f"{self.name}-{number}"
            sent_s = time.monotonic()
            try:
                answer = self.fleet.send_request(
                    path + call_id, call_id, call_id.encode(), headers, self.host
                )
                outcome = f"{answer.status} {answer.body[:60]!r}"
            except (OSError, HTTPException) as error:
                outcome = f"broken off: {error!r}"
            self.results.append((sent_s, outcome.startswith("200"), f"{path} {outcome}"))
            time.sleep(REQUEST_INTERVAL_S)


@contextmanager
def running_callers(fleet: RelayFleet) -> Iterator[list[Caller]]:
    callers = [
        Caller(fleet, host, f"caller-{host}-{number}")
        for host in range(CUT_HOSTS + SOUND_HOSTS)
        for number in range(CALLERS_PER_HOST)
    ]
    threads = [Thread(target=each.run) for each in callers]
    for thread in threads:
        thread.start()
    try:
        yield callers
    finally:
        for each in callers:
            each.stopped = True
        for thread in threads:
            thread.join()


def failures(callers: list[Caller], since_s: float) -> tuple[int, list[str]]:
    """Returns how many requests were sent since a time, and the outcomes of those not served."""
    results = [result for each in callers for result in each.results if result[0] >= since_s]
    return len(results), [outcome for _, was_served, outcome in results if not was_served]


def start_fleet(fleet: RelayFleet, directory: Path) -> Partition:
    fleet.put_configuration(make_configuration())
    for name in ("app-0", "app-1", "app-2"):
        fleet.add_backend(name, "app")
    fleet.add_backend("prefill-0", "lm", "prefill")
    for name in ("decode-0", "decode-1", "decode-2"):
        fleet.add_backend(name, "lm", "decode")
    partition = Partition.make(directory / "partition.json")
    partition.ports = [process.port for process in fleet.backends.values()]
    partition.set_mode("")
    for number in range(CUT_HOSTS + SOUND_HOSTS):
        is_cut = number < CUT_HOSTS
        fleet.add_host(f"host-{number}", partition_file=partition.file if is_cut else None)
    return partition


# Guards against callers of hosts that have lost all backend servers, while other hosts reach them.
@pytest.mark.parametrize("mode", ["refuse", "reset", "hang"])
def test_callers_of_partitioned_hosts_are_served(
    fleet: RelayFleet, tmp_path: Path, mode: str
) -> None:
    partition = start_fleet(fleet, tmp_path)
    with running_callers(fleet) as callers:
        wait_until(lambda: all(len(each.results) > 8 for each in callers))
        partition.set_mode(mode)
        time.sleep(CONTACT_S)
        measured_from_s = time.monotonic()
        time.sleep(MEASURED_S)
        partition.set_mode("")
        healed_s = time.monotonic()
        time.sleep(MEASURED_S)
    sent, failed = failures([each for each in callers if each.host < CUT_HOSTS], measured_from_s)
    assert len(failed) <= ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * sent, (sent, failed[:20])
    # The other hosts do not notice.
    sent, failed = failures([each for each in callers if each.host >= CUT_HOSTS], 0.0)
    assert len(failed) <= ALLOWED_FAILURE_SHARE * sent, (sent, failed[:20])
    sent, failed = failures(callers, healed_s + 1.0)
    assert len(failed) <= ALLOWED_FAILURE_SHARE * sent, (sent, failed[:20])

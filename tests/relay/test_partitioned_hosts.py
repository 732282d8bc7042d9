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
    # Most hosts that all exchange reports with each other, or None for the usual number.
    full_mesh_hosts: int | None = None
    # Connections that fill the tarpit's backlog.
    fillers: list[socket.socket] = field(factory=list)

    @classmethod
    def make(cls, file: Path, full_mesh_hosts: int | None = None) -> "Partition":
        """Returns a partition that does not cut anything yet."""
        tarpit = socket.socket()
        tarpit.bind(("127.0.0.1", 0))
        tarpit.listen(0)
        partition = cls(file, [], tarpit, full_mesh_hosts)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(tarpit.getsockname())
            partition.fillers.append(filler)
        partition.set_mode("")
        return partition

    def set_mode(self, mode: str) -> None:
        """Cuts the hosts off in a way that `partitioned_host` knows, or heals the partition."""
        state = {
            "ports": self.ports,
            "mode": mode,
            "tarpit": self.tarpit.getsockname()[1],
            "full_mesh_hosts": self.full_mesh_hosts,
        }
        temporary = self.file.with_suffix(".new")
        temporary.write_text(json.dumps(state), encoding="utf-8")
        temporary.replace(self.file)


@define
class Caller:
    """Sends requests of all kinds to one host, one after the other, until stopped."""

    fleet: RelayFleet
    host: int
    name: str
    # Paths of the routes that are used in turn.
    paths: tuple[str, ...] = tuple(PATHS.values())
    # Whether all requests have the same body.
    has_equal_bodies: bool = False
    # Time of sending, and whether the request was served, by request.
    results: list[tuple[float, bool, str]] = field(factory=list)
    stopped: bool = False

    def run(self) -> None:
        """Sends requests."""
        while not self.stopped:
            number = len(self.results)
            path = self.paths[number % len(self.paths)]
            headers = {"Deadline-Ms": "2000"}
            if path in ("/stream/", "/resume/"):
                headers["Token-Counts"] = "40,4"
            call_id = f"{self.name}-{number}"
            body = b"equal" if self.has_equal_bodies else call_id.encode()
            sent_s = time.monotonic()
            try:
                answer = self.fleet.send_request(path + call_id, call_id, body, headers, self.host)
                outcome = f"{answer.status} {answer.body[:60]!r}"
            except (OSError, HTTPException) as error:
                outcome = f"broken off: {error!r}"
            self.results.append((sent_s, outcome.startswith("200"), f"{path} {outcome}"))
            time.sleep(REQUEST_INTERVAL_S)


@contextmanager
def running_callers(
    fleet: RelayFleet,
    paths: tuple[str, ...] = tuple(PATHS.values()),
    *,
    has_equal_bodies: bool = False,
) -> Iterator[list[Caller]]:
    callers = [
        Caller(fleet, host, f"caller-{host}-{number}", paths, has_equal_bodies)
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


APP_SERVERS = ("app-0", "app-1", "app-2")
ENGINES = ("prefill-0", "decode-0", "decode-1", "decode-2")


def start_servers(fleet: RelayFleet) -> None:
    fleet.put_configuration(make_configuration())
    for name in APP_SERVERS:
        fleet.add_backend(name, "app")
    for name in ENGINES:
        fleet.add_backend(name, "lm", name.partition("-")[0])


def start_fleet(
    fleet: RelayFleet,
    directory: Path,
    cut_servers: tuple[str, ...] = APP_SERVERS + ENGINES,
    cut_hosts: int = CUT_HOSTS,
) -> Partition:
    start_servers(fleet)
    partition = Partition.make(directory / "partition.json")
    partition.ports = [fleet.backends[name].port for name in cut_servers]
    partition.set_mode("")
    for number in range(CUT_HOSTS + SOUND_HOSTS):
        is_cut = number < cut_hosts
        fleet.add_host(f"host-{number}", partition_file=partition.file if is_cut else None)
    return partition


def check_served(
    callers: list[Caller], cut_hosts: int, *, measured_from_s: float, healed_s: float
) -> None:
    """Checks that callers of cut and of other hosts are served, during the cut and after it."""
    cut = [each for each in callers if each.host < cut_hosts]
    sent, failed = failures(cut, measured_from_s)
    assert len(failed) <= ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * sent, (sent, failed[:20])
    # The other hosts do not notice.
    sent, failed = failures([each for each in callers if each.host >= cut_hosts], 0.0)
    assert len(failed) <= ALLOWED_FAILURE_SHARE * sent, (sent, failed[:20])
    sent, failed = failures(callers, healed_s + 1.0)
    assert len(failed) <= ALLOWED_FAILURE_SHARE * sent, (sent, failed[:20])


def play(
    fleet: RelayFleet,
    partition: Partition,
    mode: str,
    cut_hosts: int = CUT_HOSTS,
    *,
    paths: tuple[str, ...] = tuple(PATHS.values()),
    has_equal_bodies: bool = False,
) -> None:
    """Cuts the hosts off for a while amid requests, and checks who is served."""
    with running_callers(fleet, paths, has_equal_bodies=has_equal_bodies) as callers:
        wait_until(lambda: all(len(each.results) > 8 for each in callers))
        partition.set_mode(mode)
        time.sleep(CONTACT_S)
        measured_from_s = time.monotonic()
        time.sleep(MEASURED_S)
        partition.set_mode("")
        healed_s = time.monotonic()
        time.sleep(MEASURED_S)
    check_served(callers, cut_hosts, measured_from_s=measured_from_s, healed_s=healed_s)


# Guards against callers of hosts that have lost all backend servers, while other hosts reach them.
@pytest.mark.parametrize("mode", ["refuse", "reset", "hang"])
def test_callers_of_partitioned_hosts_are_served(
    fleet: RelayFleet, tmp_path: Path, mode: str
) -> None:
    play(fleet, start_fleet(fleet, tmp_path), mode)


# Guards against a host that takes an established connection for a working path.
@pytest.mark.parametrize("mode", ["reset-on-data", "silent"])
@pytest.mark.parametrize(
    "paths",
    [
        pytest.param((PATHS["many"],), id="repeatable"),
        pytest.param((PATHS["once"],), id="not-repeatable"),
        pytest.param((PATHS["stream"], PATHS["resumable"]), id="streams"),
    ],
)
def test_callers_are_served_where_connections_are_established_and_break(
    fleet: RelayFleet, tmp_path: Path, paths: tuple[str, ...], mode: str
) -> None:
    play(fleet, start_fleet(fleet, tmp_path), mode, paths=paths)


# Guards against sound content that all hosts refuse, as those that were cut off have lost requests
# with it at several servers.
def test_equal_contents_are_served_during_and_after_the_cut(
    fleet: RelayFleet, tmp_path: Path
) -> None:
    partition = start_fleet(fleet, tmp_path)
    play(fleet, partition, "reset-on-data", paths=(PATHS["once"],), has_equal_bodies=True)


# Guards against a host that has lost the servers of one service, or some of them, and refuses their
# callers because its connections to other servers succeed.
@pytest.mark.parametrize("mode", ["refuse", "hang"])
@pytest.mark.parametrize(
    "cut_servers",
    [
        pytest.param(APP_SERVERS, id="one-plain-service"),
        pytest.param(ENGINES, id="all-engines"),
        pytest.param(("app-0", "app-1", "decode-0", "decode-1"), id="some-of-each"),
    ],
)
def test_callers_of_hosts_that_lost_some_servers_are_served(
    fleet: RelayFleet, tmp_path: Path, cut_servers: tuple[str, ...], mode: str
) -> None:
    play(fleet, start_fleet(fleet, tmp_path, cut_servers), mode)


# Guards against a call that is given up after it has met gateways which are cut off as well.
@pytest.mark.parametrize("mode", ["refuse", "hang"])
def test_callers_are_served_where_one_gateway_is_left(
    fleet: RelayFleet, tmp_path: Path, mode: str
) -> None:
    cut_hosts = CUT_HOSTS + SOUND_HOSTS - 1
    play(fleet, start_fleet(fleet, tmp_path, cut_hosts=cut_hosts), mode, cut_hosts)


# Guards against callers that are refused where all hosts of a region are cut off, in a fleet so
# large that hosts hear single reports of their own region only.
@pytest.mark.parametrize("mode", ["refuse", "hang"])
def test_callers_are_served_where_a_whole_region_is_cut_off(
    fleet: RelayFleet, tmp_path: Path, mode: str
) -> None:
    start_servers(fleet)
    cut = Partition.make(tmp_path / "partition.json", full_mesh_hosts=2)
    cut.ports = [process.port for process in fleet.backends.values()]
    cut.set_mode("")
    other = Partition.make(tmp_path / "other.json", full_mesh_hosts=2)
    for number in range(CUT_HOSTS):
        fleet.add_host(f"fes-{number}", partition_file=cut.file)
    for number in range(SOUND_HOSTS):
        fleet.add_host(f"tanja-{number}", partition_file=other.file, data_centre="tanja-a")
    play(fleet, cut, mode)

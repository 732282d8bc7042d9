"""Streams of a new software version that are taken up at a host which was out of step meanwhile."""

import json
import signal
import socket
import time
from configparser import ConfigParser
from pathlib import Path
from typing import Final

import pytest

from berylquay.decisions.fleet import Address
from berylquay.relay.load_reports import LoadReport, encode_report
from tests.relay.test_partitioned_hosts import Partition
from tests.relay.test_stream_versions import (
    EVENT_INTERVAL_MS,
    EVENTS,
    REPORT_INTERVAL_S,
    OpenStream,
    resume,
)
from tests.support.relay_fleet import RelayFleet, make_configuration

OLD_ENGINES: Final = ("old-0", "old-1")
NEW_ENGINES: Final = ("new-0", "new-1", "new-2")
STREAMS: Final = 24
IN_STEP, OUT_OF_STEP = 0, 1
# Time for which the host is out of step before the streams begin.
OUT_OF_STEP_S: Final = 1.5
# Time for which a host stands still before its queue of datagrams fills up: it then holds reports
# from before the release, and none from after it.
QUEUE_FILLS_AFTER_S: Final = 2.5
# Time within which the versions of streams that have begun are in the store.
STREAMS_WRITTEN_AFTER_S: Final = 0.4
FEW_STREAMS: Final = 10
# More datagrams than the queue holds.
MORE_THAN_QUEUED: Final = 2000


def add_engines(fleet: RelayFleet, names: tuple[str, ...], version: str) -> None:
    for name in names:
        fleet.add_backend(
            name, "lm", "decode", "--events", str(EVENTS), "--interval-ms", str(EVENT_INTERVAL_MS)
        )
        fleet.register(name, "lm", "decode", seq=2, version=version)


def versions_of_runs(fleet: RelayFleet, call_id: str, names: tuple[str, ...]) -> list[str]:
    """Returns the versions of the engines that ran an attempt, of those that still run."""
    return [
        name.partition("-")[0] for name in names for run in fleet.runs(name) if run["id"] == call_id
    ]


# Guards against a stream that goes on at the old version, at a host that does not know the new one.
@pytest.mark.parametrize("leaving", ["old-stay", "old-leave"])
@pytest.mark.parametrize("mode", ["stopped", "store-hangs", "store-refuses"])
def test_a_host_that_was_out_of_step_continues_no_stream_at_another_version(
    fleet: RelayFleet, tmp_path: Path, mode: str, leaving: str
) -> None:
    fleet.put_configuration(make_configuration())
    add_engines(fleet, OLD_ENGINES, "v1")
    partition = Partition.make(tmp_path / "partition.json")
    partition.ports = [fleet.store.port]
    partition.set_mode("")
    fleet.add_host("host-0")
    fleet.add_host("host-1", partition_file=partition.file)
    out_of_step = fleet.hosts[OUT_OF_STEP].popen
    if mode == "stopped":
        out_of_step.send_signal(signal.SIGSTOP)
    else:
        partition.set_mode({"store-hangs": "hang", "store-refuses": "reset"}[mode])
    add_engines(fleet, NEW_ENGINES[:2], "v2")
    if leaving == "old-leave":
        fleet.register(OLD_ENGINES[0], "lm", "decode", seq=3, version="v1", state="draining")
    time.sleep(OUT_OF_STEP_S)
    streams = [OpenStream.begin(fleet, f"stream-{number}", IN_STEP) for number in range(STREAMS)]
    begun_at_new = {str(run["id"]) for run in fleet.runs(*NEW_ENGINES[:2])}
    for name in NEW_ENGINES[:2]:
        fleet.backends[name].kill()
    broken = [
        (stream, stream.read_to_end()) for stream in streams if stream.call_id in begun_at_new
    ]
    # A third engine of the new version joins, which only the host in step knows at first.
    add_engines(fleet, NEW_ENGINES[2:], "v2")
    if mode == "stopped":
        out_of_step.send_signal(signal.SIGCONT)
    results = []
    for stream, newest_event in broken:
        status, call_id = resume(fleet, stream, newest_event, OUT_OF_STEP)
        ran = versions_of_runs(fleet, call_id, (*OLD_ENGINES, NEW_ENGINES[-1]))
        results.append((status, newest_event, ran))
    partition.set_mode("")
    assert results
    crossed = [result for result in results if "old" in result[2]]
    assert not crossed, json.dumps(results)


def fill_queue(fleet: RelayFleet, host: int) -> None:
    """Fills a host's queue of datagrams with its own reports, which it ignores."""
    name = fleet.hosts[host].name
    settings = ConfigParser()
    settings.read(fleet.processes.directory / f"{name}.ini")
    ip, _, port = settings["listen"]["peers"].partition(":")
    data = encode_report(LoadReport(name, "fes-a", Address(ip, int(port)), {}, ()))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for _ in range(MORE_THAN_QUEUED):
            sock.sendto(data, (ip, int(port)))


# Guards against reports that waited in a host's queue while it stood still, and that it then takes
# for news: it believes that the pool has had one version, and continues streams of another there.
def test_a_host_that_stood_still_continues_no_stream_by_the_reports_in_its_queue(
    fleet: RelayFleet,
) -> None:
    fleet.put_configuration(make_configuration())
    add_engines(fleet, OLD_ENGINES, "v1")
    fleet.add_host("host-0")
    fleet.add_host("host-1")
    time.sleep(REPORT_INTERVAL_S)
    stood_still = fleet.hosts[OUT_OF_STEP].popen
    stood_still.send_signal(signal.SIGSTOP)
    time.sleep(QUEUE_FILLS_AFTER_S)
    fill_queue(fleet, OUT_OF_STEP)
    add_engines(fleet, NEW_ENGINES[:2], "v2")
    time.sleep(OUT_OF_STEP_S)
    numbers = range(FEW_STREAMS)
    streams = [OpenStream.begin(fleet, f"stream-{number}", IN_STEP) for number in numbers]
    begun_at_new = {str(run["id"]) for run in fleet.runs(*NEW_ENGINES[:2])}
    time.sleep(STREAMS_WRITTEN_AFTER_S)
    fleet.kill_hosts(IN_STEP)
    stood_still.send_signal(signal.SIGCONT)
    assert begun_at_new
    results = []
    for stream in streams:
        if stream.call_id in begun_at_new:
            newest_event = stream.read_to_end()
            status, call_id = resume(fleet, stream, newest_event, OUT_OF_STEP)
            ran = versions_of_runs(fleet, call_id, (*OLD_ENGINES, *NEW_ENGINES[:2]))
            results.append((status, newest_event, ran))
    crossed = [result for result in results if "old" in result[2]]
    assert not crossed, json.dumps(results)
    assert [result[0] for result in results] == [200] * len(results), json.dumps(results)

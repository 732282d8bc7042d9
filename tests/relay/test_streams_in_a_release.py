"""Streams of a new software version that are taken up at a host which was out of step meanwhile."""

import json
import signal
import time
from pathlib import Path
from typing import Final

import pytest

from tests.relay.test_partitioned_hosts import Partition
from tests.relay.test_stream_versions import EVENT_INTERVAL_MS, EVENTS, OpenStream, resume
from tests.support.relay_fleet import RelayFleet, make_configuration

OLD_ENGINES: Final = ("old-0", "old-1")
NEW_ENGINES: Final = ("new-0", "new-1", "new-2")
STREAMS: Final = 24
IN_STEP, OUT_OF_STEP = 0, 1
# Time for which the host is out of step before the streams begin.
OUT_OF_STEP_S: Final = 1.5


def add_engines(fleet: RelayFleet, names: tuple[str, ...], version: str) -> None:
    for name in names:
        fleet.add_backend(
            name, "lm", "decode", "--events", str(EVENTS), "--interval-ms", str(EVENT_INTERVAL_MS)
        )
        fleet.register(name, "lm", "decode", seq=2, version=version)


def versions_of_runs(fleet: RelayFleet, call_id: str) -> list[str]:
    """Returns the versions of the engines that ran an attempt; new-0 and new-1 are gone."""
    names = [*OLD_ENGINES, NEW_ENGINES[-1]]
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
        results.append((status, newest_event, versions_of_runs(fleet, call_id)))
    partition.set_mode("")
    assert results
    crossed = [result for result in results if "old" in result[2]]
    assert not crossed, json.dumps(results)

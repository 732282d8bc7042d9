"""What a host's next start lacks that was told to the start before it, under the same name."""

import time
from concurrent.futures import ThreadPoolExecutor
from typing import Final

import pytest

from berylquay.net.http_client import STATUS_OK
from tests.relay.test_stream_versions import (
    REPORT_INTERVAL_S,
    VERSIONS,
    OpenStream,
    resume,
    version_of_run,
)
from tests.support.relay_fleet import RelayFleet, make_configuration

STREAMS: Final = 24
# At this pace a stream lasts as long as its caller waits.
ENGINE_ARGUMENTS: Final = ("--events", "70", "--interval-ms", "50")
# Time after which the other host has heard of the new start.
HEARD_WITHIN_S: Final = 1.2


# Guards against streams that nobody knows any more because they were told to a host that was gone,
# and that is back under its name.
@pytest.mark.parametrize("restarted", [0, 1])
def test_streams_that_began_while_a_host_was_away_go_on(fleet: RelayFleet, restarted: int) -> None:
    fleet.put_configuration(make_configuration())
    for name, version in VERSIONS.items():
        fleet.add_backend(name, "lm", "decode", *ENGINE_ARGUMENTS)
        fleet.register(name, "lm", "decode", seq=2, version=version)
    for number in range(2):
        fleet.add_host(f"host-{number}")
    other = 1 - restarted
    time.sleep(REPORT_INTERVAL_S)
    fleet.kill_hosts(restarted)
    with ThreadPoolExecutor(STREAMS) as pool:
        streams = list(
            pool.map(lambda n: OpenStream.begin(fleet, f"stream-{n}", other), range(STREAMS))
        )
        fleet.restart_hosts(restarted)
        time.sleep(HEARD_WITHIN_S)
        fleet.kill_hosts(other)
        after = list(pool.map(OpenStream.read_to_end, streams))
        results = list(
            pool.map(lambda n: resume(fleet, streams[n], after[n], restarted), range(STREAMS))
        )
    runs = [
        (version_of_run(fleet, stream.call_id), version_of_run(fleet, call_id))
        for stream, (_, call_id) in zip(streams, results, strict=True)
    ]
    assert not [run for run in runs if run[1] and run[0] != run[1]]
    served = [status for status, _ in results if status == STATUS_OK]
    print(f"{len(served)} of {STREAMS} go on; {len(VERSIONS)} engines")
    assert len(served) >= STREAMS * 0.7, results

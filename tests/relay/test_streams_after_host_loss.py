"""Streams that callers continue after all relay host processes were killed and started again."""

import time
from concurrent.futures import ThreadPoolExecutor
from typing import Final

import pytest
from attrs import evolve, frozen

from berylquay.net.http_client import STATUS_OK
from tests.relay.test_stream_versions import OpenStream, resume
from tests.support.relay_fleet import RelayFleet, make_configuration, wait_until

HOSTS: Final = 3
STREAMS: Final = 24
# At the engines' pace a stream takes two seconds.
ENGINE_ARGUMENTS: Final = ("--events", "40", "--interval-ms", "50")
# Longer than the interval between two reports of an idle host.
REPORT_INTERVAL_S: Final = 1.5


@frozen
class Continuation:
    """One attempt of a caller to continue a stream."""

    # Ids of the attempt that began the stream, and of this one.
    begun_by: str
    call_id: str
    status: int
    started_s: float
    # Versions of the engines that ran these attempts; None if none has run.
    begun_at: str | None = None
    continued_at: str | None = None


def served_share(continuations: list[Continuation]) -> float:
    """Returns the share that was served; none may be joined from two versions."""
    for continuation in continuations:
        assert continuation.continued_at in (None, continuation.begun_at), continuation
    return sum(item.status == STATUS_OK for item in continuations) / len(continuations)


def start_fleet(fleet: RelayFleet, versions: dict[str, str]) -> None:
    """Starts engines of the versions, and the hosts."""
    fleet.put_configuration(make_configuration())
    for name, version in versions.items():
        fleet.add_backend(name, "lm", "decode", *ENGINE_ARGUMENTS)
        fleet.register(name, "lm", "decode", seq=2, version=version)
    for number in range(HOSTS):
        fleet.add_host(f"host-{number}")
    time.sleep(REPORT_INTERVAL_S)


def begin_streams(fleet: RelayFleet, prefix: str = "stream") -> list[OpenStream]:
    return [
        OpenStream.begin(fleet, f"{prefix}-{number}", number % HOSTS) for number in range(STREAMS)
    ]


def continue_streams(
    fleet: RelayFleet, streams: list[OpenStream], versions: dict[str, str]
) -> list[Continuation]:
    """Continues all streams at the same time, each once."""

    def continue_stream(number: int) -> Continuation:
        stream = streams[number]
        started_s = time.monotonic()
        status, call_id = resume(fleet, stream, stream.read_to_end(), number % HOSTS)
        return Continuation(stream.call_id, call_id, status, started_s)

    with ThreadPoolExecutor(len(streams)) as pool:
        results = list(pool.map(continue_stream, range(len(streams))))
    runs = {
        str(run["id"]): version for name, version in versions.items() for run in fleet.runs(name)
    }
    return [
        evolve(result, begun_at=runs[result.begun_by], continued_at=runs.get(result.call_id))
        for result in results
    ]


# Guards against continuations that nobody serves, or that are served at another software version,
# once no host remembers the streams.
@pytest.mark.parametrize(
    ("versions", "least_served"),
    [
        ({"decode-0": "v1", "decode-1": "v1", "decode-2": "v1"}, 0.8),
        ({"decode-0": "v1", "decode-1": "v2", "decode-2": "v1", "decode-3": "v2"}, 0.7),
    ],
)
def test_streams_go_on_after_the_loss_of_all_hosts(
    fleet: RelayFleet, versions: dict[str, str], least_served: float
) -> None:
    start_fleet(fleet, versions)
    streams = begin_streams(fleet)
    # Longer than the interval between two appends of collected streams.
    time.sleep(0.3)
    fleet.kill_hosts(*range(HOSTS))
    fleet.restart_hosts(*range(HOSTS))
    results = continue_streams(fleet, streams, versions)
    share = served_share(results)
    print(f"{share:.2f} of {len(results)} continuations served")
    assert share >= least_served, results


# Guards against a continuation at another version, and one that is not refused at once, after the
# servers of the version that began it have gone.
def test_streams_of_a_version_that_is_gone_are_refused(fleet: RelayFleet) -> None:
    versions = {"decode-0": "v1", "decode-1": "v2"}
    start_fleet(fleet, versions)
    streams = begin_streams(fleet)
    time.sleep(0.3)
    fleet.kill_hosts(*range(HOSTS))
    fleet.put("keyed.servers", "decode-0", None)
    fleet.restart_hosts(*range(HOSTS))
    results = continue_streams(fleet, streams, versions)
    of_present = [result for result in results if result.begun_at == "v2"]
    assert served_share(results) < 1.0
    assert served_share(of_present) >= 0.7, results
    assert {result.status for result in results if result.begun_at == "v1"} == {503}


# Guards against a version that counts as the only one because the store has forgotten another.
def test_a_store_that_came_back_older_does_not_tell_the_version(fleet: RelayFleet) -> None:
    versions = {"decode-0": "v1", "decode-1": "v2"}
    start_fleet(fleet, {"decode-0": "v1"})
    copied_s = time.monotonic()
    fleet.add_backend("decode-1", "lm", "decode", *ENGINE_ARGUMENTS)
    fleet.register("decode-1", "lm", "decode", seq=2, version="v2")
    wait_until(lambda: ["v1", "v2"] in _written_versions(fleet))
    time.sleep(REPORT_INTERVAL_S)
    streams = begin_streams(fleet)
    fleet.kill_hosts(*range(HOSTS))
    # The copy is of before the second version was recorded; its server is gone.
    fleet.put("keyed.servers", "decode-1", None)
    fleet.store.post("/restore", {"copy_age_s": time.monotonic() - copied_s})
    fleet.restart_hosts(*range(HOSTS))
    results = continue_streams(fleet, streams, versions)
    assert {result.begun_at for result in results} == {"v1", "v2"}
    assert served_share(results) < 1.0


# Guards against hosts that begin streams at a version which the record lacks.
def test_a_stream_begins_at_a_recorded_version(fleet: RelayFleet) -> None:
    start_fleet(fleet, {"decode-0": "v1"})
    fleet.store.post("/faults", {"refuse_appends": True})
    fleet.add_backend("decode-1", "lm", "decode", *ENGINE_ARGUMENTS)
    fleet.register("decode-1", "lm", "decode", seq=2, version="v2")
    time.sleep(REPORT_INTERVAL_S)
    begin_streams(fleet)
    assert not fleet.runs("decode-1")
    fleet.store.post("/faults", {})
    wait_until(lambda: ["v1", "v2"] in _written_versions(fleet))
    time.sleep(REPORT_INTERVAL_S)
    begin_streams(fleet, "later")
    assert fleet.runs("decode-1")


def _written_versions(fleet: RelayFleet) -> list[object]:
    """Returns the versions of each record that the hosts have written."""
    return [
        line["present"]
        for host in range(HOSTS)
        for line in fleet.log_lines(host)
        if line["message"] == "pool versions written"
    ]

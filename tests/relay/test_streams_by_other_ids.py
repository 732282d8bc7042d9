"""Streams that callers take up without the id of the attempt that brought their first event."""

from concurrent.futures import ThreadPoolExecutor
from typing import Final

import pytest

from tests.relay.test_stream_versions import (
    PROMPT_HEADERS,
    OpenStream,
    resume,
    start_engines,
    version_of_run,
)
from tests.support.relay_fleet import PATHS, RelayFleet

STREAMS: Final = 16


# Guards against a guess at the version of a stream whose caller names a later attempt, or none.
@pytest.mark.parametrize("names", ["later", "none", "unknown"])
def test_a_stream_is_not_joined_if_its_first_attempt_is_not_named(
    fleet: RelayFleet, names: str
) -> None:
    start_engines(fleet)
    for number in range(2):
        fleet.add_host(f"host-{number}")

    def take_up(stream: OpenStream) -> tuple[int, str, str]:
        stream.sock.close()
        _, again = resume(fleet, stream, 2, host=0)
        call_id = f"{stream.call_id}-third"
        headers = {**PROMPT_HEADERS, "Last-Event-Id": "40"}
        if names != "none":
            headers["Resumes"] = again if names == "later" else "never-sent"
        path = f"{PATHS['resumable']}{stream.call_id}"
        answer = fleet.send_request(path, call_id, headers=headers, host=1)
        return answer.status, stream.call_id, call_id

    with ThreadPoolExecutor(STREAMS) as pool:
        streams = list(pool.map(lambda n: OpenStream.begin(fleet, f"stream-{n}"), range(STREAMS)))
        results = list(pool.map(take_up, streams))
    statuses = sorted(status for status, _, _ in results)
    print(names, statuses)
    for _, begun, continued in results:
        runs = version_of_run(fleet, continued)
        assert not runs or runs == version_of_run(fleet, begun)
    assert statuses == [503] * STREAMS

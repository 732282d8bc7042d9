"""Streams of engines with different software versions, at relay host processes."""

import json
import socket
import time
from itertools import count

from attrs import define, field

from tests.support.relay_fleet import HOST_NAME, PATHS, RelayFleet, make_configuration

VERSIONS = {"decode-0": "v1", "decode-1": "v2", "decode-2": "v1", "decode-3": "v2"}
STREAMS = 16
# At the engines' pace a stream takes two seconds.
EVENTS = 40
EVENT_INTERVAL_MS = 50
# Longer than the interval between two reports of an idle host.
REPORT_INTERVAL_S = 1.5
PROMPT_HEADERS = {"Token-Counts": "20,40", "Deadline-Ms": "3500"}


def start_engines(fleet: RelayFleet) -> None:
    fleet.put_configuration(make_configuration())
    for name, version in VERSIONS.items():
        fleet.add_backend(
            name, "lm", "decode", "--events", str(EVENTS), "--interval-ms", str(EVENT_INTERVAL_MS)
        )
        fleet.register(name, "lm", "decode", seq=2, version=version)


@define
class OpenStream:
    """A stream that a caller has begun to receive."""

    call_id: str
    sock: socket.socket
    received: bytes = field(default=b"")

    @classmethod
    def begin(cls, fleet: RelayFleet, call_id: str, host: int = 0) -> "OpenStream":
        """Sends a prompt and reads until the first event."""
        headers = {"Host": HOST_NAME, "Attempt-Id": call_id, "Content-Length": "0"}
        lines = [f"{name}: {value}" for name, value in {**headers, **PROMPT_HEADERS}.items()]
        sock = fleet.connect(host)
        # No two contents are alike: the host refuses one that is lost at several engines.
        target = f"{PATHS['resumable']}{call_id}"
        head = "\r\n".join((f"POST {target} HTTP/1.1", *lines, "", ""))
        sock.sendall(head.encode())
        stream = cls(call_id, sock)
        while b"id: 1\n" not in stream.received:
            assert stream._receive(), stream.received
        return stream

    def _receive(self) -> bool:
        data = self.sock.recv(65536)
        self.received += data
        return bool(data)

    def read_to_end(self) -> int:
        """Reads until the connection ends and returns the id of the newest event."""
        try:
            while self._receive():
                pass
        except ConnectionResetError:
            # Reported to callers of an answer that has broken off.
            self.sock.close()
        return max(
            int(line.removeprefix(b"id: "))
            for line in self.received.split(b"\n")
            if line.startswith(b"id: ")
        )


def version_of_run(fleet: RelayFleet, call_id: str) -> list[str]:
    """Returns the versions of the engines that have run an attempt."""
    return [
        version
        for name, version in VERSIONS.items()
        for run in fleet.runs(name)
        if run["id"] == call_id
    ]


def resume(fleet: RelayFleet, stream: OpenStream, after_event: int, host: int) -> tuple[int, str]:
    """Takes up a stream at a host; returns the status, and the attempt's id."""
    call_id = f"{stream.call_id}-again"
    headers = {
        **PROMPT_HEADERS,
        "Last-Event-Id": str(after_event),
        "Resumes": stream.call_id,
    }
    answer = fleet.send_request(
        f"{PATHS['resumable']}{stream.call_id}", call_id, headers=headers, host=host
    )
    return answer.status, call_id


# Guards against a caller's stream that goes on at another software version than it began with.
def test_a_stream_that_a_caller_takes_up_stays_at_its_version(fleet: RelayFleet) -> None:
    start_engines(fleet)
    for number in range(3):
        fleet.add_host(f"host-{number}")
    # The hosts know each other by the store's list or by their reports.
    time.sleep(REPORT_INTERVAL_S)
    streams = [OpenStream.begin(fleet, f"stream-{number}") for number in range(STREAMS)]
    # The host that has begun the streams is lost, with what it knows of them.
    fleet.hosts[0].kill()
    results = []
    for stream, host in zip(streams, (1, 2) * STREAMS, strict=False):
        status, call_id = resume(fleet, stream, stream.read_to_end(), host)
        begun, continued = version_of_run(fleet, stream.call_id), version_of_run(fleet, call_id)
        results.append((status, begun, continued))
    crossed = [result for result in results if result[2] and result[1] != result[2]]
    assert not crossed, json.dumps(results)
    served = [status for status, _, _ in results if status == 200]
    assert len(served) >= STREAMS - 1, json.dumps(results)


# Guards against a host that continues an answer at an engine of another software version.
def test_an_answer_is_continued_at_its_version_only(fleet: RelayFleet) -> None:
    start_engines(fleet)
    fleet.add_host()
    for name in VERSIONS:
        fleet.backends[name].post("/faults", {"break_after": 3})
    numbers = count()
    end_s = time.monotonic() + 6.0
    continued = 0
    while time.monotonic() < end_s and continued < 8:
        call_id = f"broken-{next(numbers)}"
        OpenStream.begin(fleet, call_id).read_to_end()
        versions = version_of_run(fleet, call_id)
        assert len(set(versions)) == 1, (call_id, versions)
        continued += len(versions) > 1
    assert continued

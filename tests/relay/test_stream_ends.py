"""What callers see of the end of a stream: taken up elsewhere, host stopped, slow callers."""

import signal
import socket
import time
from typing import Final

import h11
import pytest

from tests.relay.test_ended_servers import Answer, read_answer
from tests.support.raw_sockets import RECEIVE_BYTES
from tests.support.relay_fleet import HOST_NAME, PATHS, RelayFleet, make_configuration, wait_until
from tests.support.stream_engine import EngineRun, RunEnd, RunFleet

EVENTS: Final = 20
INTERVAL_MS: Final = 50
# Time until a few events have come.
BEGUN_S: Final = 0.3
# Longer than the interval between two reports of an idle host.
REPORT_INTERVAL_S: Final = 1.5


def send(
    fleet: RelayFleet,
    kind: str,
    call_id: str,
    host: int = 0,
    http_version: str = "1.1",
    **more: str,
) -> socket.socket:
    """Sends a prompt on a new connection, which is kept."""
    headers = {"Host": HOST_NAME, "Attempt-Id": call_id, "Content-Length": "0"}
    headers |= {"Token-Counts": "300,400", "Deadline-Ms": "30000"}
    headers |= {name.replace("_", "-"): value for name, value in more.items()}
    lines = [f"{name}: {value}" for name, value in headers.items()]
    sock = fleet.connect(host)
    target = f"{PATHS[kind]}{call_id}"
    sock.sendall("\r\n".join((f"POST {target} HTTP/{http_version}", *lines, "", "")).encode())
    return sock


def read(sock: socket.socket) -> Answer:
    protocol = h11.Connection(our_role=h11.CLIENT)
    protocol.send(h11.Request(method="POST", target="/", headers=[("Host", HOST_NAME)]))
    protocol.send(h11.EndOfMessage())
    return read_answer(sock, protocol)


def read_to_close(sock: socket.socket) -> tuple[bytes, bool]:
    """Returns all that comes, and whether the connection ends with a reset."""
    received = b""
    try:
        while data := sock.recv(RECEIVE_BYTES):
            received += data
    except ConnectionResetError:
        return received, True
    return received, False


def events_of(answer: Answer) -> list[tuple[int, str]]:
    """Returns id and attempt of each event."""
    blocks = [block.split(b"\n") for block in answer.body.split(b"\n\n") if block]
    return [
        (int(lines[0].removeprefix(b"id: ")), lines[1].removeprefix(b"data: ").decode().rstrip("x"))
        for lines in blocks
    ]


def start(fleet: RelayFleet, hosts: int = 1, events: int = EVENTS, **faults: object) -> None:
    routes = make_configuration()["routes"]
    assert isinstance(routes, list)
    longer = [{**route, "timeoutMs": 30_000} for route in routes]
    fleet.put_configuration(make_configuration(routes=longer))
    for number in range(2):
        arguments = ("--events", str(events), "--interval-ms", str(INTERVAL_MS))
        fleet.add_backend(f"decode-{number}", "lm", "decode", *arguments)
        fleet.backends[f"decode-{number}"].post("/faults", faults)
    for number in range(hosts):
        fleet.add_host(f"host-{number}")


# Guards against runs that are mixed up while a first host still relays the stream that its caller
# has taken up at another one, or at the same.
@pytest.mark.parametrize("unframed", [True, False], ids=["unframed", "chunked"])
@pytest.mark.parametrize("host", [0, 1], ids=["same-host", "other-host"])
def test_a_stream_that_is_taken_up_while_it_goes_on_is_two_whole_runs(
    fleet: RelayFleet, host: int, unframed: bool
) -> None:
    start(fleet, hosts=2, unframed=unframed)
    time.sleep(REPORT_INTERVAL_S)
    first = send(fleet, "resumable", "first")
    time.sleep(BEGUN_S)
    second = send(fleet, "resumable", "second", host, Last_Event_Id="3", Resumes="first")
    taken_up, begun = read(second), read(first)
    assert begun.is_complete
    assert events_of(begun) == [(number, "first") for number in range(1, EVENTS + 1)]
    assert taken_up.is_complete
    assert events_of(taken_up) == [(number, "second") for number in range(4, EVENTS + 1)]


# Guards against an end that looks complete to a caller whose host ends: HTTP/1.0 has nothing but
# the end of the connection, HTTP/1.1 the last chunk.
@pytest.mark.parametrize("stop", ["killed", "out-of-grace"])
@pytest.mark.parametrize("unframed", [True, False], ids=["unframed", "chunked"])
def test_a_stream_whose_host_ends_is_not_complete(
    fleet: RelayFleet, unframed: bool, stop: str
) -> None:
    start(fleet, events=400, unframed=unframed)
    callers = {
        (kind, version): send(fleet, kind, f"{kind}-{version}", http_version=version)
        for kind in ("stream", "resumable")
        for version in ("1.0", "1.1")
    }
    time.sleep(BEGUN_S)
    fleet.hosts[0].popen.send_signal(signal.SIGKILL if stop == "killed" else signal.SIGTERM)
    for (kind, version), sock in callers.items():
        sock.settimeout(15.0)
        received, was_reset = read_to_close(sock)
        head, _, body = received.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200"), (kind, version, head)
        assert body.count(b"id: ") >= 2
        assert (b"chunked" in head.lower()) is (version == "1.1")
        assert not body.endswith(b"0\r\n\r\n"), (kind, version)
        if version == "1.0":
            assert was_reset, (kind, version)


# Guards against a second run that begins before the first one's events, or is joined elsewhere than
# after the newest, where a prefill engine has read the prompt for each.
@pytest.mark.parametrize("break_after", [0, 1, 3])
def test_a_disaggregated_stream_goes_on_after_its_newest_event(
    engine_fleet: RelayFleet, break_after: int
) -> None:
    fleet = engine_fleet
    fleet.backends["decode-0"].post("/faults", {"break_after": break_after})
    joined = 0
    for number in range(6):
        call_id = f"call-{number}"
        answer = read(send(fleet, "resumable", call_id, Token_Counts="3000,40"))
        assert answer.is_complete, answer
        assert events_of(answer) == [(event_id, call_id) for event_id in range(1, 5)]
        runs = [run for run in fleet.runs("decode-0", "decode-1") if run["id"] == call_id]
        headers = [run["headers"] for run in runs]
        newest_ids = {item.get("last-event-id", "0") for item in headers if isinstance(item, dict)}
        assert newest_ids <= {"0", str(break_after)}
        joined += len(runs) > 1
    assert joined
    assert fleet.executed_requests("prefill-0")


# More than the kernel takes for the caller, and less than it takes on both sides of the host.
BIG_EVENTS: Final = 120
BIG_EVENT_BYTES: Final = 50_000
SLOW_RECEIVE_BYTES: Final = 200_000
# Time for which the caller reads nothing; the engine ends well within it.
SILENCE_S: Final = 1.2


def big_event(event_id: int) -> bytes:
    return f"id: {event_id}\ndata: {'x' * BIG_EVENT_BYTES}\n\n".encode()


BIG_STREAM: Final = tuple(big_event(number) for number in range(1, BIG_EVENTS + 1))


# Guards against a stream that is cut off, or looks complete, because its server ends while the host
# does not read from it: its caller is slow.
@pytest.mark.parametrize("is_unframed", [True, False], ids=["unframed", "chunked"])
@pytest.mark.parametrize("end", ["whole", "server-gone", "fin", "reset"])
@pytest.mark.parametrize("kind", ["stream", "resumable"])
def test_a_slow_caller_sees_how_its_stream_ended(
    run_fleet: RunFleet, kind: str, end: str, is_unframed: bool
) -> None:
    is_whole = end == "whole"
    pieces = BIG_STREAM if is_whole else BIG_STREAM[: BIG_EVENTS - 10]
    run_end = {"whole": RunEnd.COMPLETE, "reset": RunEnd.RESET}.get(end, RunEnd.FIN)
    if end == "fin" and is_unframed:
        # Within an event: otherwise the engine, which goes on, has sent all.
        pieces = (*pieces, b"id: 0\nda")
    run = EngineRun(pieces, run_end, is_unframed=is_unframed, interval_s=0.0)
    sock, protocol = run_fleet.begin(kind, "call", run, Deadline_Ms="3900")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BYTES)
    wait_until(lambda: bool(run_fleet.requests))
    if end == "server-gone":
        for engine in run_fleet.engines:
            engine.stop()
    time.sleep(SILENCE_S)
    assert sum(engine.sent_answers for engine in run_fleet.engines) == 1
    answer = read_answer(sock, protocol)
    blocks = [block for block in answer.body.split(b"\n\n") if block]
    ids = [int(block.partition(b"\n")[0].removeprefix(b"id: ")) for block in blocks]
    assert ids == list(range(1, len(ids) + 1))
    assert answer.is_complete is is_whole
    if is_whole:
        assert answer.body == b"".join(BIG_STREAM)
    elif end != "reset":
        assert len(ids) == BIG_EVENTS - 10

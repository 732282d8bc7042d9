"""Streams without length and chunks whose server ends, or goes on, when they do."""

import socket
import time

import h11
import pytest
from attrs import define

from tests.relay.test_stream_versions import PROMPT_HEADERS
from tests.support.relay_fleet import HOST_NAME, PATHS, RelayFleet, make_configuration

EVENTS = 20
EVENT_INTERVAL_MS = 50
# Time after which the server is killed, between two events.
KILL_AFTER_S = 0.325


@define
class Received:
    """What a caller has received of a stream."""

    event_ids: list[int]
    is_complete: bool


def start(fleet: RelayFleet, engines: int) -> None:
    fleet.put_configuration(make_configuration())
    for number in range(engines):
        name = f"decode-{number}"
        arguments = ("--events", str(EVENTS), "--interval-ms", str(EVENT_INTERVAL_MS))
        fleet.add_backend(name, "lm", "decode", *arguments)
        fleet.backends[name].post("/faults", {"unframed": True})
    fleet.add_host()


def begin(fleet: RelayFleet, kind: str, call_id: str) -> tuple[socket.socket, h11.Connection]:
    protocol = h11.Connection(our_role=h11.CLIENT)
    headers = [("Host", HOST_NAME), ("Attempt-Id", call_id), *PROMPT_HEADERS.items()]
    target = f"{PATHS[kind]}{call_id}"
    data = protocol.send(h11.Request(method="GET", target=target, headers=headers)) or b""
    sock = fleet.connect()
    sock.sendall(data + (protocol.send(h11.EndOfMessage()) or b""))
    return sock, protocol


def read(sock: socket.socket, protocol: h11.Connection) -> Received:
    body, is_complete = b"", False
    try:
        while not isinstance(event := protocol.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                protocol.receive_data(sock.recv(65536))
            elif isinstance(event, h11.Data):
                body += event.data
        is_complete = True
    except (OSError, h11.RemoteProtocolError):
        pass
    finally:
        sock.close()
    lines = [line for line in body.split(b"\n") if line.startswith(b"id: ")]
    return Received([int(line.removeprefix(b"id: ")) for line in lines], is_complete)


# Guards against a stream that looks whole because the kernel has closed a killed server's
# connections as it closes those of a server that has sent all.
@pytest.mark.parametrize("kind", ["stream", "resumable"])
def test_a_stream_whose_server_was_killed_between_events_is_not_complete(
    fleet: RelayFleet, kind: str
) -> None:
    start(fleet, engines=1)
    stream = begin(fleet, kind, "call-1")
    time.sleep(KILL_AFTER_S)
    fleet.backends["decode-0"].kill()
    received = read(*stream)
    assert 0 < len(received.event_ids) < EVENTS
    assert not received.is_complete


# The same where another server can go on.
def test_a_resumable_stream_goes_on_when_its_server_was_killed_between_events(
    fleet: RelayFleet,
) -> None:
    start(fleet, engines=2)
    stream = begin(fleet, "resumable", "call-1")
    time.sleep(KILL_AFTER_S)
    (run,) = fleet.runs("decode-0", "decode-1")
    ran = next(name for name in fleet.backends if run in fleet.runs(name))
    fleet.backends[ran].kill()
    assert read(*stream) == Received(list(range(1, EVENTS + 1)), True)


@pytest.mark.parametrize("kind", ["stream", "resumable"])
def test_a_whole_stream_is_complete(fleet: RelayFleet, kind: str) -> None:
    start(fleet, engines=1)
    assert read(*begin(fleet, kind, "call-1")) == Received(list(range(1, EVENTS + 1)), True)

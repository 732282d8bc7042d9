"""Streams that have begun and broken off, and whose next engine answers with something else."""

import time
from pathlib import Path
from typing import Final

import pytest

from tests.relay.test_gateways import has_line
from tests.relay.test_partitioned_hosts import Partition
from tests.support.relay_fleet import (
    HOST_NAME,
    PATHS,
    RETRY_EXTRA,
    RelayFleet,
    make_configuration,
    wait_until,
)
from tests.support.scripted_backend import Ending, Script, ScriptedBackend

EVENT_STREAM: Final = b"Content-Type: text/event-stream\r\n"
OK: Final = b"HTTP/1.1 200 OK\r\nAttempt-Id: <id>\r\nServer-Seal: seal\r\n"
EVENTS: Final = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
# What only an answer of the second engine holds.
MARK: Final = b"second-engine"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def with_length(head: bytes, body: bytes) -> bytes:
    return head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def error_head(status: bytes, more: bytes = b"") -> bytes:
    return b"HTTP/1.1 %b\r\nAttempt-Id: <id>\r\n%b" % (status, more)


BROKEN: Final = Script(
    OK + EVENT_STREAM + b"Transfer-Encoding: chunked\r\n\r\n" + chunk(EVENTS), Ending.RESET
)
COMPLETE: Final = Script(
    OK + EVENT_STREAM + b"Transfer-Encoding: chunked\r\n\r\n" + chunk(EVENTS) + b"0\r\n\r\n",
    Ending.FIN,
)
# Answers to the request that goes on after event 2.
SECOND_ANSWERS: Final[dict[str, Script]] = {
    "500-text": Script(with_length(error_head(b"500 Error"), MARK), Ending.FIN),
    "500-event-stream": Script(
        with_length(error_head(b"500 Error", EVENT_STREAM), b"id: 3\ndata: %b\n\n" % MARK),
        Ending.FIN,
    ),
    "500-chunked": Script(
        error_head(b"500 Error", EVENT_STREAM + b"Transfer-Encoding: chunked\r\n")
        + b"\r\n"
        + chunk(b"data: %b\n\n" % MARK)
        + b"0\r\n\r\n",
        Ending.SILENCE,
    ),
    "500-until-close": Script(error_head(b"500 Error") + b"\r\n" + MARK, Ending.FIN),
    "503-not-executed": Script(
        with_length(error_head(b"503 Busy", b"Not-Executed: 1\r\n"), MARK), Ending.FIN
    ),
    "503-executed": Script(with_length(error_head(b"503 Busy"), MARK), Ending.FIN),
    "404-json": Script(
        with_length(
            error_head(b"404 Not Found", b"Content-Type: application/json\r\n"),
            b'{"e": "%b"}' % MARK,
        ),
        Ending.FIN,
    ),
    "421": Script(with_length(error_head(b"421 Misdirected"), MARK), Ending.FIN),
    "302": Script(
        with_length(error_head(b"302 Found", b"Location: /second-engine\r\n"), MARK), Ending.FIN
    ),
    "204": Script(error_head(b"204 No Content", b"X: second-engine\r\n") + b"\r\n", Ending.FIN),
    "200-html": Script(
        with_length(OK + b"Content-Type: text/html\r\n", b"<p>%b</p>" % MARK), Ending.FIN
    ),
    "200-json": Script(
        with_length(OK + b"Content-Type: application/json\r\n", b'{"id": "%b"}' % MARK), Ending.FIN
    ),
    "no-http": Script(MARK + b" is down\r\n\r\n", Ending.FIN),
    "head-broken-off": Script(error_head(b"500 Error", b"X: second-engine"), Ending.RESET),
    "head-of-another": Script(
        with_length(OK.replace(b"<id>", b"other") + EVENT_STREAM, b"id: 3\ndata: %b\n\n" % MARK),
        Ending.FIN,
    ),
    "informational-then-500": Script(
        b"HTTP/1.1 103 Hints\r\nX: second-engine\r\n\r\n"
        + with_length(error_head(b"500 Error"), MARK),
        Ending.FIN,
    ),
    "silence": Script(b"", Ending.SILENCE),
}


def start_engines(fleet: RelayFleet, second: Script) -> list[ScriptedBackend]:
    """Starts engines at which streams break off, and that answer their continuation otherwise."""
    fleet.put_configuration(make_configuration())
    engines = []
    for number in range(2):
        engine = fleet.add_scripted_backend(f"engine-{number}", "lm", b"", Ending.FIN, "decode")
        engine.default_script, engine.resumption_script = BROKEN, second
        engines.append(engine)
    return engines


def receive_all(
    fleet: RelayFleet, http_version: str, call_id: str, target: str = PATHS["resumable"]
) -> tuple[bytes, bool]:
    """Sends a prompt; returns what the caller receives, and whether its connection was reset."""
    headers = {
        "Host": HOST_NAME,
        "Attempt-Id": call_id,
        "Content-Length": "0",
        "Token-Counts": "20,4",
        "Deadline-Ms": "2000",
    }
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join((f"POST {target} HTTP/{http_version}", *lines, "", ""))
    received = b""
    with fleet.connect() as sock:
        sock.settimeout(5.0)
        sock.sendall(head.encode())
        try:
            while data := sock.recv(65536):
                received += data
        except ConnectionResetError:
            return received, True
        except TimeoutError:
            # The connection is kept, so the answer has looked complete, or has not ended.
            return received + b"<kept>", False
    return received, False


def check_stream(received: bytes, *, was_reset: bool, http_version: str) -> None:
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert body.count(b"id: 1\n") == 1
    assert MARK not in received
    assert received.count(b"HTTP/1.") == 1
    assert b"<kept>" not in received
    # Neither framing, nor the end of the connection, says that the stream is complete.
    assert b"0\r\n\r\n" not in body
    if http_version == "1.0" and b"chunked" not in head.lower():
        assert was_reset
    assert b"content-length" not in head.lower()


# Guards against an error's text, or its head, in the middle of a stream, and against a stream that
# ends as if it were complete.
@pytest.mark.parametrize("http_version", ["1.1", "1.0"])
@pytest.mark.parametrize("kind", SECOND_ANSWERS)
def test_an_error_is_no_part_of_a_stream(fleet: RelayFleet, kind: str, http_version: str) -> None:
    engines = start_engines(fleet, SECOND_ANSWERS[kind])
    fleet.add_host(retry_extra=RETRY_EXTRA)
    received, was_reset = receive_all(fleet, http_version, "call")
    assert sum(len(engine.requests) for engine in engines) > 1
    check_stream(received, was_reset=was_reset, http_version=http_version)


# The same by way of another host.
@pytest.mark.parametrize("kind", SECOND_ANSWERS)
def test_an_error_in_a_tunnel_is_no_part_of_a_stream(
    fleet: RelayFleet, tmp_path: Path, kind: str
) -> None:
    engines = start_engines(fleet, SECOND_ANSWERS[kind])
    for engine in engines:
        engine.default_script = COMPLETE
    partition = Partition.make(tmp_path / "partition.json")
    partition.ports = [engine.port for engine in engines]
    partition.set_mode("")
    fleet.add_host("host-0", partition_file=partition.file)
    fleet.add_host("host-1")
    partition.set_mode("refuse")

    def uses_gateway() -> bool:
        receive_all(fleet, "1.1", f"first-{time.monotonic()}")
        return has_line(fleet, 0, "paths to servers lost") and any(
            engine.requests for engine in engines
        )

    wait_until(uses_gateway)
    # Before, a failure would count against the engines, or the content, of the request to check.
    for engine in engines:
        engine.default_script = BROKEN
        engine.requests.clear()
    received, was_reset = receive_all(fleet, "1.1", "call")
    assert sum(len(engine.requests) for engine in engines) > 1
    check_stream(received, was_reset=was_reset, http_version="1.1")

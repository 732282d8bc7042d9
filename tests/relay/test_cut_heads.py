"""Servers that stop in the middle of an answer's head: no caller gets a success."""

from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Final

import pytest

from tests.relay.test_errors_after_broken_streams import BROKEN, check_stream, receive_all
from tests.relay.test_gateways import has_line
from tests.relay.test_partitioned_hosts import Partition
from tests.support.relay_fleet import HOST_NAME, PATHS, RelayFleet, make_configuration, wait_until
from tests.support.scripted_backend import Ending, Script, ScriptedBackend

OK: Final = b"HTTP/1.1 200 OK\r\nAttempt-Id: <id>\r\nServer-Seal: seal\r\n"
EVENTS: Final = b"Content-Type: text/event-stream\r\n"
HEADS: Final = {
    "length": OK + b"Content-Length: 4\r\n\r\n",
    "empty": OK + b"Content-Length: 0\r\n\r\n",
    "chunked": OK + EVENTS + b"Transfer-Encoding: chunked\r\n\r\n",
    "until-close": OK + EVENTS + b"\r\n",
    "http-1.0": OK.replace(b"1.1", b"1.0") + b"\r\n",
    "no-content": OK.replace(b"200 OK", b"204 No Content") + b"\r\n",
    "informational": b"HTTP/1.1 103 Hints\r\nX: y\r\n\r\n" + OK + b"Content-Length: 4\r\n\r\n",
}
# Distance between two cuts in a head; the last four bytes are all tried.
STEP_BYTES: Final = 3
CALLERS: Final = 8
FAILURES: Final = (b"502", b"504")
COMPLETE: Final = OK + b"Content-Length: 2\r\n\r\nok"


def cut_heads(ending: Ending) -> dict[bytes, Script]:
    """Returns a script for each cut, by the body of the request that it answers."""
    return {
        f"{kind}-{cut}".encode(): Script(head[:cut], ending)
        for kind, head in HEADS.items()
        for cut in (*range(0, len(head) - 4, STEP_BYTES), *range(len(head) - 4, len(head)))
    }


def start_server(fleet: RelayFleet, pool: str, ending: Ending) -> ScriptedBackend:
    fleet.put_configuration(make_configuration())
    role = "decode" if pool == "lm" else ""
    server = fleet.add_scripted_backend("server-0", pool, COMPLETE, Ending.SILENCE, role)
    server.scripts = cut_heads(ending)
    return server


def send(fleet: RelayFleet, path: str, body: bytes) -> bytes:
    """Sends one request and returns all that comes back before the connection ends."""
    lines = [
        f"POST {PATHS[path]} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"Attempt-Id: {path}-{body.decode()}",
        f"Content-Length: {len(body)}",
        "Token-Counts: 20,4",
        "Deadline-Ms: 3000",
        "Connection: close",
    ]
    received = b""
    with fleet.connect() as sock:
        sock.settimeout(8.0)
        sock.sendall("\r\n".join((*lines, "", "")).encode() + body)
        try:
            while data := sock.recv(65536):
                received += data
        except ConnectionResetError:
            pass
    return received


def check_failures(fleet: RelayFleet, path: str, scripts: Mapping[bytes, Script]) -> None:
    """Checks that each request ends with a failure that does not promise that it has not run."""
    with ThreadPoolExecutor(CALLERS) as callers:
        answers = dict(
            zip(scripts, callers.map(lambda body: send(fleet, path, body), scripts), strict=True)
        )
    wrong = {
        body: answer
        for body, answer in answers.items()
        if answer and answer.split(b" ", 2)[1] not in FAILURES
    }
    assert not wrong


# Guards against a success, or an empty body, made of a head that has not ended.
@pytest.mark.parametrize("ending", [Ending.FIN, Ending.RESET])
@pytest.mark.parametrize("path", ["once", "many", "stream", "resumable"])
def test_a_cut_head_is_no_success(fleet: RelayFleet, path: str, ending: Ending) -> None:
    server = start_server(fleet, "lm" if path in ("stream", "resumable") else "app", ending)
    fleet.add_host()
    check_failures(fleet, path, server.scripts)
    assert len(server.requests) >= len(server.scripts)


# The same on connections that have carried an answer before.
@pytest.mark.parametrize("ending", [Ending.FIN, Ending.RESET])
def test_a_cut_head_on_a_kept_connection_is_no_success(fleet: RelayFleet, ending: Ending) -> None:
    server = start_server(fleet, "app", ending)
    server.first_answer = COMPLETE
    fleet.add_host()
    for body, script in server.scripts.items():
        assert send(fleet, "many", b"first-" + body).startswith(b"HTTP/1.1 200")
        check_failures(fleet, "many", {body: script})


# The same by way of another host.
@pytest.mark.parametrize("ending", [Ending.FIN, Ending.RESET])
@pytest.mark.parametrize("path", ["once", "many"])
def test_a_cut_head_in_a_tunnel_is_no_success(
    fleet: RelayFleet, tmp_path: Path, path: str, ending: Ending
) -> None:
    server = start_server(fleet, "app", ending)
    partition = Partition.make(tmp_path / "partition.json")
    partition.ports = [server.port]
    partition.set_mode("")
    fleet.add_host("host-0", partition_file=partition.file)
    fleet.add_host("host-1")
    partition.set_mode("refuse")

    def uses_gateway() -> bool:
        send(fleet, path, b"first")
        return has_line(fleet, 0, "paths to servers lost") and bool(server.requests)

    wait_until(uses_gateway)
    check_failures(fleet, path, server.scripts)


# The same when the rest of a stream is asked for at another engine.
@pytest.mark.parametrize("ending", [Ending.FIN, Ending.RESET])
@pytest.mark.parametrize("kind", ["length", "chunked", "until-close", "informational"])
def test_a_cut_head_does_not_end_a_stream(fleet: RelayFleet, kind: str, ending: Ending) -> None:
    fleet.put_configuration(make_configuration())
    engines = [
        fleet.add_scripted_backend(f"engine-{number}", "lm", b"", Ending.FIN, "decode")
        for number in range(2)
    ]
    fleet.add_host()
    head = HEADS[kind]
    for cut in range(0, len(head), 4 * STEP_BYTES):
        for engine in engines:
            engine.default_script = BROKEN
            engine.resumption_script = Script(head[:cut], ending)
        received, was_reset = receive_all(
            fleet, "1.1", f"call-{cut}", f"{PATHS['resumable']}{cut}/"
        )
        check_stream(received, was_reset=was_reset, http_version="1.1")
    assert sum(
        b"last-event-id" in request.lower() for engine in engines for request in engine.requests
    )

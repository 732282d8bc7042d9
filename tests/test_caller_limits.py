"""Callers that send malformed, slow, pipelined or oversized requests."""

import contextlib
import json
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import pytest

from examples.processes import Process, Processes
from tests.support.caller import ask_model
from tests.support.fleet import start_host

CASES: Final = json.loads(
    (Path(__file__).parents[1] / "test-data/callers/bad_requests.json").read_text(encoding="utf-8")
)
REQUEST: Final = b"GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n"


@pytest.fixture(scope="module")
def host(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Process]:
    processes = Processes(tmp_path_factory.mktemp("limits"))
    membership = processes.start_standin("membership", "membership")
    yield start_host(processes, "host-0", membership.port, "request_timeout_s = 1")
    processes.stop_all()


def _send_and_read(port: int, data: bytes) -> bytes:
    with socket.create_connection(("127.0.0.1", port), timeout=10) as sock:
        with contextlib.suppress(ConnectionError):
            sock.sendall(data)
        return _read_to_end(sock)


def _read_to_end(sock: socket.socket) -> bytes:
    chunks: list[bytes] = []
    sock.settimeout(0.5)
    with contextlib.suppress(TimeoutError, ConnectionError):
        while chunk := sock.recv(65536):
            chunks.append(chunk)
    return b"".join(chunks)


@pytest.mark.parametrize("case", CASES, ids=[case["name"].replace(" ", "-") for case in CASES])
def test_bad_request_is_refused_with_its_status(host: Process, case: dict[str, object]) -> None:
    answer = _send_and_read(host.port, _request_bytes(case))
    assert answer.startswith(f"HTTP/1.1 {case['status']} ".encode()), answer[:200]
    if "verdict" in case:
        assert f"X-Verdict: {case['verdict']}".encode() in answer
    _assert_serving(host)


def _request_bytes(case: dict[str, object]) -> bytes:
    if "raw" in case:
        return str(case["raw"]).encode("latin-1")
    repeated = case["repeat"]
    assert isinstance(repeated, list)
    head, filler, count = repeated
    return (str(head) + str(filler) * int(count)).encode()


def _assert_serving(host: Process) -> None:
    answer = ask_model(host.port, "fes", "quick-question", "cellar-lm", "hello")
    assert answer.status == 503
    assert answer.value()["error"] is not None


def test_incomplete_request_times_out(host: Process) -> None:
    with socket.create_connection(("127.0.0.1", host.port), timeout=10) as sock:
        sock.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n{")
        time.sleep(1.2)
        assert _read_to_end(sock).startswith(b"HTTP/1.1 408 ")


def test_pipelined_request_never_gets_the_first_ones_answer(host: Process) -> None:
    answer = _send_and_read(host.port, REQUEST + REQUEST)
    assert answer.count(b"HTTP/1.1 404") <= 1
    _assert_serving(host)


def test_connection_serves_one_request_after_another(host: Process) -> None:
    with socket.create_connection(("127.0.0.1", host.port), timeout=10) as sock:
        for _ in range(3):
            sock.sendall(REQUEST)
            assert _read_to_end(sock).startswith(b"HTTP/1.1 404 ")

"""The engine stand-in's orders: the witness that the proofs of authority rest on."""

import threading
import time
import urllib.error
from collections.abc import Iterator
from http.client import HTTPConnection, IncompleteRead
from json import dumps
from pathlib import Path

import pytest

from examples.processes import Process, Processes

ROLE_ORDER = {"kind": "role", "role": "decode"}


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    started = Processes(tmp_path)
    yield started
    started.stop_all()


def start_engine(processes: Processes, checks: str, name: str = "engine") -> Process:
    arguments = ["--name", name, "--model", "m@1", "--checks-fencing", checks, "--change-ms", "100"]
    return processes.start_standin(name, "engine", *arguments)


def order(engine: Process, order_id: str, number: int) -> int:
    try:
        engine.post("/v1/orders", {"order_id": order_id, "fencing_number": number, **ROLE_ORDER})
    except urllib.error.HTTPError as error:
        return error.code
    return 202


def wait_until_idle(engine: Process) -> None:
    while engine.get("/v1/state")["order_under_way"]:
        time.sleep(0.01)


def kinds(engine: Process) -> list[str]:
    entries = engine.get("/witness")["entries"]
    assert isinstance(entries, list)
    return [entry[0] for entry in entries]


@pytest.mark.parametrize(("checks", "status"), [("yes", 409), ("no", 202)])
def test_old_fencing_number_is_refused_only_where_it_is_checked(
    processes: Processes, checks: str, status: int
) -> None:
    engine = start_engine(processes, checks)
    assert order(engine, "new", 7) == 202
    wait_until_idle(engine)
    assert engine.get("/v1/state")["role"] == "decode"
    assert order(engine, "old", 6) == status


def test_repeated_order_has_no_second_effect(processes: Processes) -> None:
    engine = start_engine(processes, "yes")
    assert [order(engine, "one", 1), order(engine, "one", 1), order(engine, "two", 1)] == [
        202,
        202,
        409,
    ]
    wait_until_idle(engine)
    assert kinds(engine).count("order-accepted") == 1
    assert "order-conflict" in kinds(engine)


def test_order_cuts_off_what_runs(processes: Processes) -> None:
    engine = start_engine(processes, "yes")
    cut = threading.Event()
    body = {"attempt_id": "a", "model": "m", "prompt": "p", "prompt_tokens": 1, "max_tokens": 9999}

    def generate() -> None:
        connection = HTTPConnection("127.0.0.1", engine.port, timeout=10)
        connection.request("POST", "/v1/generate", body=dumps(body))
        try:
            connection.getresponse().read()
        except (IncompleteRead, ConnectionError):
            cut.set()

    thread = threading.Thread(target=generate)
    thread.start()
    while engine.get("/v1/state")["running"] == 0:
        time.sleep(0.01)
    assert order(engine, "one", 1) == 202
    thread.join(timeout=10)
    assert cut.is_set()
    assert kinds(engine)[:3] == ["started", "order-received", "cut-off"]

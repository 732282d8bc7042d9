"""The order sender on real processes, paused at critical points until its order has expired."""

import json
import socket
import threading
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from pathlib import Path

import pytest

from berylquay.authority.send_request import SendRequest, encode_send_request
from berylquay.decisions.fleet import Address
from examples.processes import Process, Processes, free_port

# Lifetime of an order, and the time for which a sender is kept stopped beyond it.
ORDER_LIFETIME_S = 0.6
EXTRA_PAUSE_S = 0.3


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    started = Processes(tmp_path)
    yield started
    started.stop_all()


def start_engine(processes: Processes, checks: str = "no") -> Process:
    arguments = ("--name", "e", "--model", "m", "--checks-fencing", checks, "--change-ms", "50")
    return processes.start_standin("e", "engine", *arguments)


def start_sender(processes: Processes, name: str = "sender", *arguments: str) -> Process:
    port = free_port()
    module = "tests.authority.pausing_sender" if arguments else "berylquay.authority.sender"
    return processes.start(name, module, port, "--port", str(port), *arguments)


def send(
    sender: Process, port: int, order_id: str, term: int, lifetime_s: float = ORDER_LIFETIME_S
) -> str:
    """Sends an order through the sender and returns the outcome, or "died" without an answer."""
    body = {"order_id": order_id, "fencing_number": term, "kind": "role", "role": "decode"}
    expires_s = time.monotonic() + lifetime_s
    payload = encode_send_request(SendRequest(Address("127.0.0.1", port), expires_s, term, body))
    request = urllib.request.Request(sender.url("/v1/orders"), json.dumps(payload).encode())
    try:
        with urllib.request.urlopen(request, timeout=20) as answer:
            return str(json.load(answer)["outcome"])
    except (OSError, urllib.error.URLError):
        return "died"


def received_orders(engine: Process) -> list[str]:
    entries = engine.get("/witness")["entries"]
    assert isinstance(entries, list)
    return [entry[1] for entry in entries if entry[0] == "order-received"]


def accepted_orders(engine: Process) -> list[str]:
    entries = engine.get("/witness")["entries"]
    assert isinstance(entries, list)
    return [entry[1] for entry in entries if entry[0] == "order-accepted"]


def is_stopped(process: Process) -> bool:
    stat = Path(f"/proc/{process.popen.pid}/stat").read_text(encoding="utf-8")
    return stat.rsplit(")", 1)[1].split()[0] == "T"


def wait_until_stopped(process: Process) -> None:
    while not is_stopped(process):
        time.sleep(0.01)


def pause_past_the_order(processes: Processes, engine: Process, *arguments: str) -> str:
    """Pauses a sender until its order has expired and a successor has sent one, and resumes it.

    Returns:
        the outcome of the paused sender's order.
    """
    old_sender = start_sender(processes, "old", *arguments)
    outcomes: list[str] = []
    thread = threading.Thread(
        target=lambda: outcomes.append(send(old_sender, engine.port, "old", 1))
    )
    thread.start()
    wait_until_stopped(old_sender)
    time.sleep(ORDER_LIFETIME_S + EXTRA_PAUSE_S)
    successor = start_sender(processes, "successor")
    assert send(successor, engine.port, "new", 2) == "accepted"
    while engine.get("/v1/state")["order_under_way"]:
        time.sleep(0.01)
    old_sender.resume()
    thread.join(timeout=20)
    time.sleep(0.2)
    return outcomes[0]


@pytest.mark.parametrize("point", ["before-arming", "amid-arming", "after-arming", "before-write"])
def test_order_of_a_paused_sender_never_reaches_an_engine_after_it_expired(
    processes: Processes, point: str
) -> None:
    engine = start_engine(processes)
    outcome = pause_past_the_order(processes, engine, "--pause-at", point)
    assert received_orders(engine) == ["new"]
    assert outcome == ("not-sent" if point in {"before-arming", "amid-arming"} else "died")


def test_a_check_without_the_timer_lets_a_late_order_through(processes: Processes) -> None:
    engine = start_engine(processes)
    pause_past_the_order(processes, engine, "--pause-at", "before-write", "--timer", "no")
    assert accepted_orders(engine) == ["new", "old"]


def test_an_engine_that_checks_fencing_refuses_the_late_order(processes: Processes) -> None:
    engine = start_engine(processes, checks="yes")
    pause_past_the_order(processes, engine, "--pause-at", "before-write", "--timer", "no")
    assert received_orders(engine) == ["new", "old"]
    assert accepted_orders(engine) == ["new"]


def test_order_that_waits_for_its_connection_is_not_sent_after_it_expired(
    processes: Processes,
) -> None:
    # A listener whose queue is full drops new connections, as a network partition does.
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        port = int(listener.getsockname()[1])
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", port))
        sender = start_sender(processes)
        started_s = time.monotonic()
        assert send(sender, port, "late", 1) == "not-sent"
        assert time.monotonic() - started_s < ORDER_LIFETIME_S + EXTRA_PAUSE_S
        for filler in fillers:
            filler.close()
        listener.settimeout(2.0)
        assert read_late_bytes(listener) == b""


def read_late_bytes(listener: socket.socket) -> bytes:
    """Returns the bytes that arrive once the listener accepts connections again."""
    received = b""
    deadline_s = time.monotonic() + 1.5
    while time.monotonic() < deadline_s:
        try:
            sock, _ = listener.accept()
            sock.settimeout(0.5)
            received += sock.recv(4096)
            sock.close()
        except OSError:
            continue
    return received


def test_sender_refuses_an_older_term_and_an_expired_order(processes: Processes) -> None:
    engine = start_engine(processes)
    sender = start_sender(processes)
    assert send(sender, engine.port, "new", 7) == "accepted"
    assert send(sender, engine.port, "older", 6) == "not-sent"
    assert send(sender, engine.port, "expired", 7, lifetime_s=-0.1) == "not-sent"
    assert received_orders(engine) == ["new"]


def test_lost_answer_is_reported_as_unknown_and_the_sender_keeps_running(
    processes: Processes,
) -> None:
    engine = start_engine(processes)
    engine.post("/faults", {"lose_order_answers": 1})
    sender = start_sender(processes)
    assert send(sender, engine.port, "one", 1) == "unknown"
    assert engine.get("/v1/state")["last_order"] == "one"
    time.sleep(ORDER_LIFETIME_S)
    assert send(sender, engine.port, "one", 1) == "accepted"
    assert accepted_orders(engine) == ["one"]
